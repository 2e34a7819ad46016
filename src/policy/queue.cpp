/** @file queue.cpp Table of the calls that wait or run at one target. */
#include "policy/queue_base.h"

#include <tuple>

namespace waxwing {

namespace {

constexpr std::size_t initial_bucket_count = 256; ///< Buckets of a new index.

} // namespace

bool rank_less::operator()(const call_entry& a, const call_entry& b) const
{
    const auto rank = [](const call_entry& call) {
        const admission_request& request = call.m_request;
        return std::make_tuple(request.m_priority.importance(), request.m_exclusive,
                               request.m_priority.m_value, request.m_depth, call.m_order);
    };
    return rank(a) < rank(b);
}

call_table::call_table() : m_buckets(initial_bucket_count), m_index({m_buckets.data(), m_buckets.size()}) {}

call_table::~call_table()
{
    m_by_rank.clear();
    m_by_expiry.clear();
    m_index.clear();
}

void call_table::grow()
{
    std::vector<index::bucket_type> buckets(m_buckets.size() * 2);
    m_index.rehash({buckets.data(), buckets.size()});
    m_buckets.swap(buckets);
}

call_entry& call_table::add(const admission_request& request, instant now)
{
    if (m_free.empty()) {
        m_free.push_back(&m_pool.emplace_back());
    }
    if (m_index.size() >= m_buckets.size()) {
        grow();
    }
    call_entry& call = *m_free.back();
    m_free.pop_back();
    call.m_request = request;
    call.m_offered_at = now;
    call.m_running = false;
    m_index.insert(call);
    return call;
}

call_entry* call_table::find(attempt_id attempt)
{
    const auto position = m_index.find(attempt);
    return position == m_index.end() ? nullptr : &*position;
}

void call_table::enqueue(call_entry& call, instant expires_at, bool newest_first)
{
    ++m_sequence;
    call.m_order = newest_first ? m_sequence : -m_sequence;
    call.m_expires_at = expires_at;
    m_by_rank.insert(call);
    m_by_expiry.insert(call);
    ++m_waiting;
}

void call_table::start(call_entry& call, instant now)
{
    call.m_running = true;
    call.m_started_at = now;
    ++m_running;
}

void call_table::dequeue(call_entry& call)
{
    m_by_rank.erase(m_by_rank.iterator_to(call));
    m_by_expiry.erase(m_by_expiry.iterator_to(call));
    --m_waiting;
}

void call_table::erase(call_entry& call)
{
    m_running -= call.m_running ? 1 : 0;
    m_index.erase(m_index.iterator_to(call));
    m_free.push_back(&call);
}

call_entry* call_table::best()
{
    return m_by_rank.empty() ? nullptr : &*m_by_rank.rbegin();
}

call_entry* call_table::worst()
{
    return m_by_rank.empty() ? nullptr : &*m_by_rank.begin();
}

call_entry* call_table::next_after(call_entry& call)
{
    auto position = m_by_rank.iterator_to(call);
    return position == m_by_rank.begin() ? nullptr : &*std::prev(position);
}

call_entry* call_table::next_before(call_entry& call)
{
    const auto position = std::next(m_by_rank.iterator_to(call));
    return position == m_by_rank.end() ? nullptr : &*position;
}

call_entry* call_table::first_to_expire()
{
    return m_by_expiry.empty() ? nullptr : &*m_by_expiry.begin();
}

} // namespace waxwing
