/** @file entry_sub_call.cpp Sub-calls at an entry: who makes them, and what they borrow from it. */
#include "call/entry_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Parent's deadlines end a little later than their sub-calls', so that answers still get through. */
constexpr duration sub_call_margin = std::chrono::milliseconds(1);

/** A target's sub-call repeats its deadline to within this: both sides round down to milliseconds. */
constexpr duration deadline_rounding = std::chrono::milliseconds(1);

} // namespace

/**
 * Begins a sub-call. Where the call that makes it does not run here (any more), nothing that it says is
 * believed but the depth: it is a request of its own, without retry tokens.
 */
answer entry::prepare_sub_call(instant now, const parent_reference& reference, open_call& opened)
{
    call_context& context = opened.m_call.m_context;
    context.m_root = reference.m_root;
    context.m_depth = reference.m_depth < 255 ? static_cast<std::uint8_t>(reference.m_depth + 1) : 255;
    opened.m_is_sub_call = true;
    running_call* const parent = m_running.find(reference.m_attempt);
    if (parent == nullptr || parent->m_context.m_root != reference.m_root) {
        return prepare_root(now, opened);
    }
    opened.m_deadline = std::min(opened.m_deadline, parent->m_deadline - sub_call_margin);
    return begin_sub_call(now, opened, reference.m_attempt, *parent);
}

/** Joins the call of @p opened to the running call @p parent that makes it. */
answer entry::begin_sub_call(instant now, open_call& opened, attempt_id parent_id, running_call& parent)
{
    call_context& context = opened.m_call.m_context;
    context.m_root = parent.m_context.m_root;
    context.m_priority = parent.m_context.m_priority;
    context.m_repeat = parent.m_context.m_repeat;
    context.m_depth = static_cast<std::uint8_t>(std::min(parent.m_context.m_depth + 1, 255));
    opened.m_call.m_caller = parent.m_caller;
    opened.m_granted = parent.m_tokens.lend();
    opened.m_tokens = retry_tokens(opened.m_granted);
    opened.m_parent = parent_id;
    opened.m_is_sub_call = true;
    running_calls::begin_sub_call(parent, now);
    return answer{};
}

/**
 * Finds the running call that makes the request, where the request carries no context: a target names its
 * sub-calls by the id of the call that makes them, a dot, and a part of their own. Targets that do not are
 * known by the deadline, which they hand on.
 */
std::optional<attempt_id> entry::parent_of(const entry_request& request, instant deadline) const
{
    if (!request.m_local || m_settings.m_dialect.m_request_id.empty()) {
        return std::nullopt;
    }
    const std::string id = request_id_of(m_settings.m_dialect, request.m_headers);
    const std::size_t dot = id.rfind('.');
    if (dot != std::string::npos) {
        const std::optional<attempt_id> named = m_running.with_request_id(id.substr(0, dot));
        if (named.has_value()) {
            return named;
        }
    }
    return m_running.nearest(deadline, deadline_rounding);
}

/** Gives the tokens back to the call that made this sub-call, and tells it how this ended. */
void entry::settle_parent(instant now, const open_call& current, const answer& given)
{
    running_call* const parent = current.m_parent.has_value() ? m_running.find(*current.m_parent) : nullptr;
    if (parent == nullptr) {
        return;
    }
    parent->m_tokens.return_tokens(current.m_tokens.available(), current.m_granted);
    running_calls::end_sub_call(*parent, now);
    parent->m_threshold = std::max(parent->m_threshold, given.m_load.m_threshold);
    parent->m_sub_call_failed |= given.m_rule != rule::none || given.m_final;
}

} // namespace waxwing
