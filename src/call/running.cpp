/** @file running.cpp Table of running calls. */
#include "call/running_base.h"

namespace waxwing {

void running_calls::add(attempt_id attempt, const running_call& running)
{
    if (m_calls.emplace(attempt, running).second) {
        m_deadlines.emplace(running.m_deadline, attempt);
        if (!running.m_request_id.empty()) {
            m_request_ids.insert_or_assign(running.m_request_id, attempt);
        }
    }
}

void running_calls::remove(attempt_id attempt)
{
    const auto position = m_calls.find(attempt);
    if (position != m_calls.end()) {
        m_deadlines.erase({position->second.m_deadline, attempt});
        const auto by_request_id = m_request_ids.find(position->second.m_request_id);
        if (by_request_id != m_request_ids.end() && by_request_id->second == attempt) {
            m_request_ids.erase(by_request_id);
        }
        m_calls.erase(position);
    }
}

std::optional<attempt_id> running_calls::with_request_id(const std::string& request_id) const
{
    const auto position = m_request_ids.find(request_id);
    return position == m_request_ids.end() ? std::nullopt : std::optional(position->second);
}

std::optional<attempt_id> running_calls::nearest(instant deadline, duration tolerance) const
{
    const auto after = m_deadlines.lower_bound({deadline, attempt_id{}});
    std::optional<attempt_id> nearest_call;
    duration distance = tolerance;
    if (after != m_deadlines.end() && after->first - deadline <= distance) {
        nearest_call = after->second;
        distance = after->first - deadline;
    }
    if (after != m_deadlines.begin() && deadline - std::prev(after)->first <= distance) {
        nearest_call = std::prev(after)->second;
    }
    return nearest_call;
}

running_call* running_calls::find(attempt_id attempt)
{
    const auto position = m_calls.find(attempt);
    return position == m_calls.end() ? nullptr : &position->second;
}

void running_calls::begin_sub_call(running_call& parent, instant now)
{
    if (parent.m_open_sub_calls == 0) {
        parent.m_waiting_since = now;
    }
    ++parent.m_open_sub_calls;
}

void running_calls::end_sub_call(running_call& parent, instant now)
{
    if (parent.m_open_sub_calls == 0) {
        return;
    }
    --parent.m_open_sub_calls;
    if (parent.m_open_sub_calls == 0) {
        parent.m_waited += now - parent.m_waiting_since;
    }
}

} // namespace waxwing
