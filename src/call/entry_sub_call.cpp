/** @file entry_sub_call.cpp Sub-calls at an entry: finding the parent call and lending its retry tokens. */
#include "call/entry_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A sub-call's deadline ends this much before its parent's, so that its answer still arrives in time. */
constexpr duration sub_call_margin = std::chrono::milliseconds(1);

/** Maximum difference between a parent's deadline and the one that its target passes on: both sides round
 * down to milliseconds. */
constexpr duration deadline_rounding = std::chrono::milliseconds(1);

} // namespace

/** Returns the running call that @p reference names; null if it does not run here. */
running_call* entry::parent_call(const parent_reference& reference)
{
    running_call* const parent = m_running.find(reference.m_attempt);
    return parent != nullptr && parent->m_context.m_root == reference.m_root ? parent : nullptr;
}

/**
 * Prepares a sub-call that carries a context. If its parent call does not run here, or no longer does, the
 * sub-call is treated as a request of its own: it gets no retry tokens, and of its context only the root id
 * and the depth are used.
 */
answer entry::prepare_sub_call(instant now, const parent_reference& reference, open_call& new_call)
{
    call_context& context = new_call.m_call.m_context;
    context.m_root = reference.m_root;
    context.m_depth = reference.m_depth < 255 ? static_cast<std::uint8_t>(reference.m_depth + 1) : 255;
    new_call.m_is_sub_call = true;
    running_call* const parent = parent_call(reference);
    if (parent == nullptr) {
        return prepare_root(now, new_call);
    }
    new_call.m_deadline = std::min(new_call.m_deadline, parent->m_deadline - sub_call_margin);
    return begin_sub_call(now, new_call, reference.m_attempt, *parent);
}

/** Makes @p new_call a sub-call of the running call @p parent. */
answer entry::begin_sub_call(instant now, open_call& new_call, attempt_id parent_id, running_call& parent)
{
    call_context& context = new_call.m_call.m_context;
    context.m_root = parent.m_context.m_root;
    context.m_priority = parent.m_context.m_priority;
    context.m_repeat = parent.m_context.m_repeat;
    context.m_depth = static_cast<std::uint8_t>(std::min(parent.m_context.m_depth + 1, 255));
    new_call.m_call.m_caller = parent.m_caller;
    if (!new_call.m_config->m_organisations.empty()) {
        new_call.m_organisation.m_value = parent.m_caller.m_value;
    }
    new_call.m_granted_tokens = parent.m_tokens.lend();
    new_call.m_tokens = retry_tokens(new_call.m_granted_tokens);
    new_call.m_parent = parent_id;
    new_call.m_is_sub_call = true;
    running_calls::begin_sub_call(parent, now);
    return answer{};
}

/**
 * Finds the parent call of a request without a context. A target forms the id of a sub-call from the id of
 * the parent call, a dot and a suffix of its own. The sub-calls of targets that do not do so are matched by
 * their deadline, which targets pass on.
 */
std::optional<attempt_id> entry::parent_of(const entry_request& request, instant deadline) const
{
    if (!request.m_local || m_settings.m_dialect.m_request_id.empty()) {
        return std::nullopt;
    }
    const std::string id = request_id_of(m_settings.m_dialect, request.m_headers);
    const std::size_t dot = id.rfind('.');
    if (dot != std::string::npos) {
        const std::optional<attempt_id> parent = m_running.with_request_id(id.substr(0, dot));
        if (parent.has_value()) {
            return parent;
        }
    }
    return m_running.nearest(deadline, deadline_rounding);
}

/** Returns the retry tokens of the sub-call @p current to its parent call and records the outcome there. */
void entry::update_parent(instant now, const open_call& current, const answer& response)
{
    running_call* const parent = current.m_parent.has_value() ? m_running.find(*current.m_parent) : nullptr;
    if (parent == nullptr) {
        return;
    }
    parent->m_tokens.return_tokens(current.m_tokens.available(), current.m_granted_tokens);
    running_calls::end_sub_call(*parent, now);
    parent->m_threshold = std::max(parent->m_threshold, response.m_load.m_threshold);
    parent->m_sub_call_failed |=
        response.m_rule != rule::none || response.m_final || response.m_status >= min_failure_status;
}

} // namespace waxwing
