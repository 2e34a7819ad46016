/** @file entry_quota.cpp Requests at an entry that wait for a token of their organisation's quota. */
#include "call/entry_base.h"

#include <algorithm>

namespace waxwing {

/** Asks for a token for @p request, which has passed check_request. It goes on in on_quota, unless its
 * deadline passes or its caller leaves before. */
void entry::wait_for_token(entry_request request, request_fields fields, open_call new_call,
                           std::vector<entry_action>& actions)
{
    const call_number number = ++m_last_number;
    new_call.m_deadline = std::min(new_call.m_deadline, m_stop_at);
    actions.emplace_back(entry_take_token{number, new_call.m_organisation});
    m_token_wait_ends.emplace(new_call.m_deadline, number);
    m_token_wait_exchanges.emplace(request.m_exchange, number);
    m_token_waits.emplace(number, token_wait{std::move(request), std::move(fields), std::move(new_call)});
}

/** Removes the waiting request @p number. @return it; none if it does not wait any more. */
std::optional<entry::token_wait> entry::end_token_wait(call_number number)
{
    const auto position = m_token_waits.find(number);
    if (position == m_token_waits.end()) {
        return std::nullopt;
    }
    token_wait ended = std::move(position->second);
    m_token_waits.erase(position);
    m_token_wait_ends.erase({ended.m_call.m_deadline, number});
    m_token_wait_exchanges.erase(ended.m_request.m_exchange);
    return ended;
}

void entry::on_quota(instant now, std::uint64_t waiter, const quota_decision& decision,
                     std::vector<entry_action>& actions)
{
    std::optional<token_wait> ended = end_token_wait(waiter);
    if (!ended.has_value()) {
        return; // Its token, if it has got one, expires.
    }
    if (decision.m_outcome == quota_outcome::granted) {
        ended->m_call.m_token_expires_at = decision.m_expires_at;
        accept(now, std::move(ended->m_request), ended->m_fields, std::move(ended->m_call), actions);
        return;
    }
    answer response = refusal(decision.m_rule);
    response.m_retry_after = decision.m_retry_after;
    refuse(now, ended->m_request, true, ended->m_call, std::move(response), actions);
}

/** Refuses the requests whose deadline has passed while they waited. */
void entry::end_late_token_waits(instant now, std::vector<entry_action>& actions)
{
    while (!m_token_wait_ends.empty() && m_token_wait_ends.begin()->first <= now) {
        const std::optional<token_wait> ended = end_token_wait(m_token_wait_ends.begin()->second);
        refuse(now, ended->m_request, true, ended->m_call, refusal(rule::deadline_expired), actions);
    }
}

/** Returns the token that @p current has spent, if any. @pre It has not run and will not. */
void entry::return_token(const open_call& current, std::vector<entry_action>& actions)
{
    if (current.m_token_expires_at.has_value()) {
        actions.emplace_back(entry_return_token{current.m_organisation, *current.m_token_expires_at});
    }
}

} // namespace waxwing
