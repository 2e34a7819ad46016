/** @file queue_base.h Table of the calls that wait or run at one target. */
#ifndef WAXWING_POLICY_QUEUE_BASE_H
#define WAXWING_POLICY_QUEUE_BASE_H

#include "policy/admission_base.h"

#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <deque>

namespace waxwing {

/** A call that waits or runs; owned by a call_table. */
struct call_entry {
    using set_hook = boost::intrusive::set_member_hook<>;
    using index_hook = boost::intrusive::unordered_set_member_hook<>;

    admission_request m_request; ///< The offered call.
    instant m_offered_at{};
    instant m_started_at{};   ///< Set while it runs.
    instant m_expires_at{};   ///< Refused at that time; set while it waits.
    std::int64_t m_order = 0; ///< Greater starts first among equal calls.
    bool m_running = false;
    bool m_important = false; ///< Whether it could use the headroom when it started.
    set_hook m_rank_hook;     ///< Orders waiting calls by rank.
    set_hook m_expiry_hook;   ///< Orders waiting calls by expiry.
    index_hook m_index_hook;  ///< By attempt.
};

/**
 * Orders calls so that the one to start first is the last: by importance, exclusive calls before others,
 * cohort, depth, then m_order.
 */
struct rank_less {
    bool operator()(const call_entry& a, const call_entry& b) const;
};

/** Orders calls by expiry. */
struct expiry_less {
    bool operator()(const call_entry& a, const call_entry& b) const
    {
        return a.m_expires_at < b.m_expires_at;
    }
};

/**
 * Holds calls in a pool, which allocates no memory once it has grown to its working size, and orders the
 * waiting ones. Thread safety: none; one owner.
 */
class call_table {
public:
    call_table();
    ~call_table();
    call_table(const call_table&) = delete;
    call_table& operator=(const call_table&) = delete;

    /** Adds a call that neither waits nor runs. @pre The table has no call with its attempt. */
    call_entry& add(const admission_request& request, instant now);

    /** Returns the call with @p attempt; null if there is none. */
    call_entry* find(attempt_id attempt);

    /**
     * Queues @p call until @p expires_at. Among equal calls, it starts first if @p newest_first, otherwise
     * last.
     */
    void enqueue(call_entry& call, instant expires_at, bool newest_first);

    /** Marks @p call as running from @p now. @pre It does not wait. */
    void start(call_entry& call, instant now);

    /** Removes @p call from the queue. @pre It waits. */
    void dequeue(call_entry& call);

    /** Removes @p call from the table. @pre It does not wait. */
    void erase(call_entry& call);

    /** Returns the waiting call that starts first; null if none waits. */
    call_entry* best();

    /** Returns the waiting call that starts last; null if none waits. */
    call_entry* worst();

    /** Returns the waiting call that starts directly after @p call; null if there is none. */
    call_entry* next_after(call_entry& call);

    /** Returns the waiting call that starts directly before @p call; null if there is none. */
    call_entry* next_before(call_entry& call);

    /** Returns the waiting call that expires first; null if none waits. */
    call_entry* first_to_expire();

    /** Returns the number of waiting calls. */
    std::size_t waiting() const { return m_waiting; }

    /** Returns the number of running calls. */
    std::size_t running() const { return m_running; }

private:
    /** Key of the index. */
    struct attempt_key {
        using type = attempt_id;
        const type& operator()(const call_entry& call) const { return call.m_request.m_attempt; }
    };
    template<call_entry::set_hook call_entry::*Hook, class Less>
    using ordered =
        boost::intrusive::multiset<call_entry,
                                   boost::intrusive::member_hook<call_entry, call_entry::set_hook, Hook>,
                                   boost::intrusive::compare<Less>>;
    using index = boost::intrusive::unordered_set<
        call_entry,
        boost::intrusive::member_hook<call_entry, call_entry::index_hook, &call_entry::m_index_hook>,
        boost::intrusive::key_of_value<attempt_key>, boost::intrusive::hash<std::hash<attempt_id>>,
        boost::intrusive::equal<std::equal_to<attempt_id>>>;

    /** Doubles the number of buckets of the index. */
    void grow();

    std::deque<call_entry> m_pool;                          ///< All calls, including unused ones.
    std::vector<call_entry*> m_free;                        ///< Unused calls of the pool.
    std::vector<index::bucket_type> m_buckets;              ///< Buckets of m_index.
    index m_index;                                          ///< By attempt.
    ordered<&call_entry::m_rank_hook, rank_less> m_by_rank; ///< Waiting calls, the first to start last.
    /** Waiting calls, the first to expire first. */
    ordered<&call_entry::m_expiry_hook, expiry_less> m_by_expiry;
    std::size_t m_waiting = 0;   ///< Size of m_by_rank.
    std::size_t m_running = 0;   ///< Running calls.
    std::int64_t m_sequence = 0; ///< Number of calls queued so far.
};

} // namespace waxwing

#endif
