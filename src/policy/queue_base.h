/** @file queue_base.h The calls that wait or run at one target. */
#ifndef WAXWING_POLICY_QUEUE_BASE_H
#define WAXWING_POLICY_QUEUE_BASE_H

#include "policy/admission_base.h"

#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <deque>

namespace waxwing {

/** One call that waits or runs; lives in a call_pool. */
struct held_call {
    /** Hook of an ordered set. */
    using set_hook = boost::intrusive::set_member_hook<>;
    /** Hook of the index by attempt. */
    using index_hook = boost::intrusive::unordered_set_member_hook<>;

    admission_request m_request; ///< What was offered.
    instant m_offered{};         ///< When it was offered.
    instant m_started{};         ///< When it was started, where it runs.
    instant m_expires{};         ///< When it is refused, where it waits.
    std::int64_t m_order = 0;    ///< Greater goes first among equals.
    bool m_running = false;      ///< Whether it runs.
    bool m_important = false;    ///< Whether it could use the headroom when it started.
    set_hook m_rank_hook;        ///< In the order of starting.
    set_hook m_expiry_hook;      ///< In the order of expiry.
    index_hook m_index_hook;     ///< By attempt.
};

/** Orders calls so that the best is the last: priority, alone before others, depth, then m_order. */
struct rank_less {
    bool operator()(const held_call& a, const held_call& b) const;
};

/** Orders calls by the time at which they expire. */
struct expiry_less {
    bool operator()(const held_call& a, const held_call& b) const { return a.m_expires < b.m_expires; }
};

/**
 * Holds calls in a pool, so that no memory is asked for once it has grown to its working size, and orders
 * those that wait. Thread safety: none needed; one owner.
 */
class call_table {
public:
    call_table();
    ~call_table();
    call_table(const call_table&) = delete;
    call_table& operator=(const call_table&) = delete;

    /** Makes a call that neither waits nor runs. @pre The attempt is not held yet. */
    held_call& add(const admission_request& request, instant now);

    /** Finds the call with @p attempt; null where it is not held. */
    held_call* find(attempt_id attempt);

    /** Puts @p call into the queue, to be refused at @p expires; newest first among equals by choice. */
    void enqueue(held_call& call, instant expires, bool newest_first);

    /** Marks @p call as running from @p now. @pre It does not wait. */
    void start(held_call& call, instant now);

    /** Takes @p call out of the queue. @pre It waits. */
    void dequeue(held_call& call);

    /** Forgets @p call. @pre It does not wait. */
    void drop(held_call& call);

    /** Finds the waiting call that goes first; null where none waits. */
    held_call* best();

    /** Finds the waiting call that goes last; null where none waits. */
    held_call* worst();

    /** Finds the waiting call that goes next after @p call; null where there is none. */
    held_call* next_after(held_call& call);

    /** Finds the waiting call that goes next before @p call; null where there is none. */
    held_call* next_before(held_call& call);

    /** Finds the waiting call that expires first; null where none waits. */
    held_call* first_to_expire();

    /** Counts the calls that wait. */
    std::size_t waiting() const { return m_waiting; }

    /** Counts the calls that run. */
    std::size_t running() const { return m_running; }

private:
    /** Hash and equality of the index. */
    struct attempt_key {
        using type = attempt_id;
        const type& operator()(const held_call& call) const { return call.m_request.m_attempt; }
    };
    template<held_call::set_hook held_call::*Hook, class Less>
    using ordered =
        boost::intrusive::multiset<held_call,
                                   boost::intrusive::member_hook<held_call, held_call::set_hook, Hook>,
                                   boost::intrusive::compare<Less>>;
    using index = boost::intrusive::unordered_set<
        held_call, boost::intrusive::member_hook<held_call, held_call::index_hook, &held_call::m_index_hook>,
        boost::intrusive::key_of_value<attempt_key>, boost::intrusive::hash<std::hash<attempt_id>>,
        boost::intrusive::equal<std::equal_to<attempt_id>>>;

    /** Doubles the buckets of the index. */
    void grow();

    std::deque<held_call> m_pool;                               ///< All calls, free ones included.
    std::vector<held_call*> m_free;                             ///< Calls of the pool not in use.
    std::vector<index::bucket_type> m_buckets;                  ///< Of the index.
    index m_index;                                              ///< By attempt.
    ordered<&held_call::m_rank_hook, rank_less> m_ranked;       ///< Those that wait, the best last.
    ordered<&held_call::m_expiry_hook, expiry_less> m_expiries; ///< Those that wait.
    std::size_t m_waiting = 0;                                  ///< Size of m_ranked.
    std::size_t m_running = 0;                                  ///< Calls that run.
    std::int64_t m_sequence = 0;                                ///< Calls queued so far.
};

} // namespace waxwing

#endif
