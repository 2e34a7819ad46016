/** @file entry_attempt.cpp Attempts of a call: their targets, sending, retries and deadlines. */
#include "call/entry_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Maximum retries at each hop in the mode control_mode::fixed_slots. */
constexpr unsigned baseline_retries = 3;

/** Maximum attempts of one call. With 10 attempts, nine in ten calls succeed at targets that refuse 80 % of
 * their calls. */
constexpr unsigned max_attempts = 10;

/** Maximum number of targets that one request may crash. */
constexpr std::uint8_t max_crashes = 2;

/** Time after the deadline in which the target's node may still report the outcome of the attempt. */
constexpr duration answer_grace_period = std::chrono::milliseconds(50);

constexpr std::uint16_t internal_error = 500;
constexpr std::uint16_t not_implemented = 501;
constexpr std::uint16_t gateway_timeout = 504;

/** Returns whether @p response is a target's own failure, so that an attempt at another target may succeed.
 */
bool is_transient_failure(const answer& response)
{
    return response.m_rule == rule::none && response.m_status >= internal_error &&
           response.m_status <= gateway_timeout && response.m_status != not_implemented;
}

/** Returns the result to record in routing for @p response. */
route_result route_result_of(const answer& response)
{
    if (response.m_rule == rule::none) {
        return is_transient_failure(response) && !response.m_final ? route_result::failed
                                                                   : route_result::succeeded;
    }
    const bool failed = response.m_rule == rule::link_lost || response.m_rule == rule::target_lost ||
                        response.m_rule == rule::target_crashed ||
                        response.m_rule == rule::target_unreachable;
    return failed ? route_result::failed : route_result::refused;
}

/** Returns what the cancelled attempt with @p response means to a caller that still waits: the target's node
 * had lost its link to this one. */
answer lost_attempt(const answer& response)
{
    answer lost = response;
    lost.m_rule = response.m_state == run_state::not_run ? rule::target_unreachable : rule::link_lost;
    return lost;
}

} // namespace

/** Sends the next attempt of @p current, or ends the call if no target is left. */
void entry::send_attempt(instant now, call_number number, open_call& current,
                         std::vector<entry_action>& actions)
{
    const std::optional<node_id> node = choose_node(now, current);
    if (!node.has_value()) {
        answer response =
            current.m_attempts == 0 ? refusal(rule::no_target) : std::move(current.m_last_answer);
        finish(now, number, std::move(response), actions);
        return;
    }
    current.m_node = *node;
    current.m_attempt = new_attempt();
    current.m_lent_tokens = current.m_tokens.lend();
    ++current.m_attempts;
    ++m_counters.m_attempts;
    m_counters.m_retries += current.m_attempts > 1 ? 1 : 0;
    m_attempts.emplace(current.m_attempt, number);
    router_of(current.m_call.m_service).on_sent(*node);
    schedule_tick(number, current, current.m_deadline + answer_grace_period);
    call outbound = current.m_call;
    outbound.m_context.m_time_left = current.m_deadline - now;
    outbound.m_context.m_retry_tokens = current.m_lent_tokens;
    outbound.m_context.m_repeat |= !current.m_reached_nodes.empty();
    actions.emplace_back(entry_send{*node, current.m_attempt, std::move(outbound)});
}

/** Chooses the service of the next request of @p kind. A split uses smooth weighted round robin, so that each
 * part gets its exact portion at any time. */
const service_name& entry::choose_service(const kind_object& kind)
{
    if (kind.m_split.empty()) {
        return kind.m_service;
    }
    split_state& split = m_splits[kind.m_name];
    if (split.m_parts != kind.m_split) {
        split.m_parts = kind.m_split;
        split.m_credits.assign(kind.m_split.size(), 0);
    }
    std::int64_t sum = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < kind.m_split.size(); ++index) {
        sum += kind.m_split[index].m_weight;
        split.m_credits[index] += kind.m_split[index].m_weight;
        best = split.m_credits[index] > split.m_credits[best] ? index : best;
    }
    split.m_credits[best] -= sum;
    return kind.m_split[best].m_service;
}

/**
 * Chooses the node of the next attempt: one not tried yet, while the kind allows another target; otherwise
 * the one whose target refused least recently, since a target that refuses only some of its calls may accept
 * the next one.
 */
std::optional<node_id> entry::choose_node(instant now, const open_call& current)
{
    std::optional<node_id> node;
    if (current.m_reached_nodes.size() < current.m_kind->m_attempts) {
        node = router_of(current.m_call.m_service)
                   .pick(now, current.m_call.m_service, current.m_tried_nodes, m_random);
    }
    const bool use_refusing_node = !node.has_value() && !current.m_refusing_nodes.empty();
    return use_refusing_node ? current.m_refusing_nodes.front() : node;
}

/** Records whether the attempt of @p current that ended with @p response reached a target. */
void entry::record_reached(open_call& current, const answer& response)
{
    const bool refused = response.m_rule == rule::target_refused;
    std::erase(current.m_refusing_nodes, current.m_node);
    if (response.m_state == run_state::not_run && !refused) {
        return;
    }
    if (refused) {
        current.m_refusing_nodes.push_back(current.m_node);
    }
    if (std::find(current.m_reached_nodes.begin(), current.m_reached_nodes.end(), current.m_node) ==
        current.m_reached_nodes.end()) {
        current.m_reached_nodes.push_back(current.m_node);
    }
}

void entry::on_answer(instant now, attempt_id attempt, const answer& response,
                      std::vector<entry_action>& actions)
{
    const auto position = m_attempts.find(attempt);
    if (position == m_attempts.end()) {
        ++m_counters.m_wasted;
        return;
    }
    const call_number number = position->second;
    const open_call& current = m_calls.at(number);
    if (response.m_rule == rule::cancelled && !current.m_waiters.empty()) {
        on_answer(now, attempt, lost_attempt(response), actions);
        return;
    }
    if (response.m_rule == rule::none || response.m_rule == rule::shed ||
        response.m_rule == rule::queue_timeout) {
        m_thresholds.learn(now, current.m_kind->m_name, response.m_load.m_threshold);
    }
    router_of(current.m_call.m_service)
        .on_end(now, current.m_node, route_result_of(response), &response.m_load);
    end_attempt(now, number, response, actions);
}

void entry::on_undelivered(instant now, attempt_id attempt, std::vector<entry_action>& actions)
{
    const auto position = m_attempts.find(attempt);
    if (position == m_attempts.end()) {
        return;
    }
    const call_number number = position->second;
    open_call& current = m_calls.at(number);
    router_of(current.m_call.m_service).on_end(now, current.m_node, route_result::failed, nullptr);
    answer response = refusal(rule::target_unreachable);
    response.m_retry_tokens = current.m_lent_tokens;
    end_attempt(now, number, response, actions);
}

void entry::on_peer_lost(instant now, const node_id& node, std::vector<entry_action>& actions)
{
    std::vector<call_number> lost_calls;
    for (const auto& [attempt, number] : m_attempts) {
        if (m_calls.at(number).m_node == node) {
            lost_calls.push_back(number);
        }
    }
    std::sort(lost_calls.begin(), lost_calls.end());
    for (const call_number number : lost_calls) {
        router_of(m_calls.at(number).m_call.m_service).on_end(now, node, route_result::failed, nullptr);
        end_attempt(now, number, refusal(rule::link_lost, run_state::unknown), actions);
    }
}

/** Ends the attempt in flight of the call @p number; then schedules a retry or answers the caller. */
void entry::end_attempt(instant now, call_number number, const answer& response,
                        std::vector<entry_action>& actions)
{
    open_call& current = m_calls.at(number);
    m_attempts.erase(current.m_attempt);
    current.m_attempt = attempt_id{};
    current.m_tokens.return_tokens(response.m_retry_tokens, current.m_lent_tokens);
    current.m_lent_tokens = 0;
    current.m_tried_nodes.push_back(current.m_node);
    current.m_may_have_run |= response.m_state != run_state::not_run;
    record_reached(current, response);
    if (response.m_rule == rule::target_crashed) {
        ++current.m_call.m_crashes;
    }
    if (may_retry(now, current, response)) {
        retry_later(now, number, current, response);
        return;
    }
    finish(now, number, response, actions);
}

/** Returns whether another attempt may follow @p response, and if so charges it to the retry budget. */
bool entry::may_retry(instant now, const open_call& current, const answer& response)
{
    const bool failed = response.m_rule != rule::none || is_transient_failure(response);
    const bool may_have_run = response.m_state != run_state::not_run;
    if (!failed || (may_have_run && !current.m_call.m_idempotent) || current.m_waiters.empty()) {
        return false;
    }
    if (now >= current.m_deadline || m_settings.m_mode == control_mode::none) {
        return false;
    }
    if (m_settings.m_mode == control_mode::fixed_slots) {
        return current.m_attempts <= baseline_retries;
    }
    const bool retry_helps = info_of(response.m_rule).m_retry_elsewhere || may_have_run;
    const bool retry_forbidden =
        response.m_rule == rule::deadline_expired || current.m_call.m_crashes >= max_crashes;
    if (response.m_final || !retry_helps || retry_forbidden || current.m_tokens.available() == 0) {
        return false;
    }
    const bool reached = may_have_run || response.m_rule == rule::target_refused;
    if (!reached) {
        return true;
    }
    const bool target_left =
        current.m_reached_nodes.size() < current.m_kind->m_attempts || !current.m_refusing_nodes.empty();
    return target_left && current.m_attempts < max_attempts &&
           budget_of(current.m_call.m_service, current.m_retry)
               .try_spend(now, current.m_call.m_context.m_priority);
}

/** Spends a retry token and schedules the next attempt after the backoff. */
void entry::retry_later(instant now, call_number number, open_call& current, answer response)
{
    current.m_tokens.spend();
    current.m_last_answer = std::move(response);
    schedule_tick(number, current, now + retry_backoff(current.m_retry, current.m_attempts, m_random));
}

void entry::schedule_tick(call_number number, open_call& current, instant tick_at)
{
    m_tick_times.erase({current.m_next_tick_at, number});
    current.m_next_tick_at = tick_at;
    m_tick_times.emplace(tick_at, number);
}

void entry::begin_stop(instant end)
{
    m_stop_at = end;
    for (auto& [number, current] : m_calls) {
        current.m_deadline = std::min(current.m_deadline, end);
        schedule_tick(number, current, std::min(current.m_next_tick_at, end + answer_grace_period));
    }
}

void entry::tick(instant now, std::vector<entry_action>& actions)
{
    end_late_token_waits(now, actions);
    while (!m_tick_times.empty() && m_tick_times.begin()->first <= now) {
        const call_number number = m_tick_times.begin()->second;
        open_call& current = m_calls.at(number);
        if (current.m_attempt.m_value == 0 && now < current.m_deadline) {
            send_attempt(now, number, current, actions);
            continue;
        }
        if (current.m_attempt.m_value == 0) {
            finish(now, number, std::move(current.m_last_answer), actions);
            continue;
        }
        actions.emplace_back(entry_cancel{current.m_node, current.m_attempt});
        router_of(current.m_call.m_service).on_end(now, current.m_node, route_result::refused, nullptr);
        current.m_may_have_run = true;
        finish(now, number, refusal(rule::deadline_expired, run_state::unknown), actions);
    }
}

instant entry::next_tick() const
{
    const instant call_at = m_tick_times.empty() ? instant::max() : m_tick_times.begin()->first;
    return m_token_wait_ends.empty() ? call_at : std::min(call_at, m_token_wait_ends.begin()->first);
}

retry_budget& entry::budget_of(const service_name& service, const retry_settings& settings)
{
    retry_budget& budget = m_budgets.try_emplace(service, settings).first->second;
    budget.configure(settings);
    return budget;
}

} // namespace waxwing
