/** @file queue.cpp The calls that wait or run at one target. */
#include "policy/queue_base.h"

#include <tuple>

namespace waxwing {

namespace {

constexpr std::size_t first_buckets = 256; ///< Buckets of the index at first.

} // namespace

bool rank_less::operator()(const held_call& a, const held_call& b) const
{
    const auto rank = [](const held_call& call) {
        const admission_request& request = call.m_request;
        return std::make_tuple(request.m_priority.importance(), request.m_exclusive,
                               request.m_priority.m_value, request.m_depth, call.m_order);
    };
    return rank(a) < rank(b);
}

call_table::call_table() : m_buckets(first_buckets), m_index({m_buckets.data(), m_buckets.size()}) {}

call_table::~call_table()
{
    m_ranked.clear();
    m_expiries.clear();
    m_index.clear();
}

void call_table::grow()
{
    std::vector<index::bucket_type> buckets(m_buckets.size() * 2);
    m_index.rehash({buckets.data(), buckets.size()});
    m_buckets.swap(buckets);
}

held_call& call_table::add(const admission_request& request, instant now)
{
    if (m_free.empty()) {
        m_free.push_back(&m_pool.emplace_back());
    }
    if (m_index.size() >= m_buckets.size()) {
        grow();
    }
    held_call& call = *m_free.back();
    m_free.pop_back();
    call.m_request = request;
    call.m_offered = now;
    call.m_running = false;
    m_index.insert(call);
    return call;
}

held_call* call_table::find(attempt_id attempt)
{
    const auto position = m_index.find(attempt);
    return position == m_index.end() ? nullptr : &*position;
}

void call_table::enqueue(held_call& call, instant expires, bool newest_first)
{
    ++m_sequence;
    call.m_order = newest_first ? m_sequence : -m_sequence;
    call.m_expires = expires;
    m_ranked.insert(call);
    m_expiries.insert(call);
    ++m_waiting;
}

void call_table::start(held_call& call, instant now)
{
    call.m_running = true;
    call.m_started = now;
    ++m_running;
}

void call_table::dequeue(held_call& call)
{
    m_ranked.erase(m_ranked.iterator_to(call));
    m_expiries.erase(m_expiries.iterator_to(call));
    --m_waiting;
}

void call_table::drop(held_call& call)
{
    m_running -= call.m_running ? 1 : 0;
    m_index.erase(m_index.iterator_to(call));
    m_free.push_back(&call);
}

held_call* call_table::best()
{
    return m_ranked.empty() ? nullptr : &*m_ranked.rbegin();
}

held_call* call_table::worst()
{
    return m_ranked.empty() ? nullptr : &*m_ranked.begin();
}

held_call* call_table::next_after(held_call& call)
{
    auto position = m_ranked.iterator_to(call);
    return position == m_ranked.begin() ? nullptr : &*std::prev(position);
}

held_call* call_table::next_before(held_call& call)
{
    const auto position = std::next(m_ranked.iterator_to(call));
    return position == m_ranked.end() ? nullptr : &*position;
}

held_call* call_table::first_to_expire()
{
    return m_expiries.empty() ? nullptr : &*m_expiries.begin();
}

} // namespace waxwing
