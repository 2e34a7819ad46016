/** @file entry_attempt.cpp The attempts of a call: sending, retrying, deadlines. */
#include "call/entry_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Retries of the baseline with fixed slots, at each hop. */
constexpr unsigned baseline_retries = 3;

/** Attempts of one call at most: nine in ten calls pass targets that refuse 80 of 100. */
constexpr unsigned most_attempts = 10;

/** Targets that one request may cost. */
constexpr std::uint8_t most_crashes = 2;

/** Time after a deadline in which the target's node still may answer what became of the attempt. */
constexpr duration answer_grace = std::chrono::milliseconds(50);

/** Statuses by which a target says that it failed in a way that may pass. */
constexpr std::uint16_t bad_gateway = 502;
constexpr std::uint16_t gateway_timeout = 504;

/** Tells whether @p given is a target's answer that another attempt may better. */
bool is_passing_failure(const answer& given)
{
    return given.m_rule == rule::none && given.m_status >= bad_gateway && given.m_status <= gateway_timeout;
}

/** Tells how routing should see @p given. */
route_result result_of(const answer& given)
{
    if (given.m_rule == rule::none) {
        return is_passing_failure(given) && !given.m_final ? route_result::failed : route_result::succeeded;
    }
    const bool failed = given.m_rule == rule::link_lost || given.m_rule == rule::target_lost ||
                        given.m_rule == rule::target_crashed || given.m_rule == rule::target_unreachable;
    return failed ? route_result::failed : route_result::refused;
}

} // namespace

/** Sends the next attempt of @p current, or ends it where no target is left. */
void entry::send_attempt(instant now, call_number number, open_call& current,
                         std::vector<entry_action>& actions)
{
    const std::optional<node_id> node = choose_node(now, current);
    if (!node.has_value()) {
        answer ended = current.m_attempts == 0 ? refusal(rule::no_target) : std::move(current.m_last);
        finish(now, number, std::move(ended), actions);
        return;
    }
    current.m_node = *node;
    current.m_attempt = new_attempt();
    current.m_lent = current.m_tokens.lend();
    ++current.m_attempts;
    ++m_counters.m_attempts;
    m_counters.m_retries += current.m_attempts > 1 ? 1 : 0;
    m_attempts.emplace(current.m_attempt, number);
    router_of(current.m_call.m_service).on_sent(*node);
    set_time(number, current, current.m_deadline + answer_grace);
    call sent = current.m_call;
    sent.m_context.m_time_left = current.m_deadline - now;
    sent.m_context.m_retry_tokens = current.m_lent;
    sent.m_context.m_repeat |= !current.m_reached.empty();
    actions.emplace_back(entry_send{*node, current.m_attempt, std::move(sent)});
}

/**
 * Chooses where to send the next attempt: to a node not tried yet, while the kind allows another target; then
 * to the target that refused the longest ago, since targets that refuse a part of their calls may take the
 * next.
 */
std::optional<node_id> entry::choose_node(instant now, const open_call& current)
{
    std::optional<node_id> chosen;
    if (current.m_reached.size() < current.m_kind->m_attempts) {
        chosen = router_of(current.m_call.m_service)
                     .pick(now, current.m_call.m_service, current.m_tried, m_random);
    }
    const bool again = !chosen.has_value() && !current.m_refusers.empty();
    return again ? current.m_refusers.front() : chosen;
}

/** Takes note of whether the attempt of @p current that ended with @p given reached a target. */
void entry::note_reached(open_call& current, const answer& given)
{
    const bool refused = given.m_rule == rule::target_refused;
    std::erase(current.m_refusers, current.m_node);
    if (given.m_state == run_state::not_run && !refused) {
        return;
    }
    if (refused) {
        current.m_refusers.push_back(current.m_node);
    }
    if (std::find(current.m_reached.begin(), current.m_reached.end(), current.m_node) ==
        current.m_reached.end()) {
        current.m_reached.push_back(current.m_node);
    }
}

void entry::on_answer(instant now, attempt_id attempt, const answer& given,
                      std::vector<entry_action>& actions)
{
    const auto position = m_attempts.find(attempt);
    if (position == m_attempts.end()) {
        ++m_counters.m_wasted;
        return;
    }
    const call_number number = position->second;
    const open_call& current = m_calls.at(number);
    if (given.m_rule == rule::none || given.m_rule == rule::shed || given.m_rule == rule::queue_timeout) {
        m_thresholds.learn(now, current.m_kind->m_name, given.m_load.m_threshold);
    }
    router_of(current.m_call.m_service).on_end(now, current.m_node, result_of(given), &given.m_load);
    end_attempt(now, number, given, actions);
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
    answer given = refusal(rule::target_unreachable);
    given.m_retry_tokens = current.m_lent;
    end_attempt(now, number, given, actions);
}

void entry::on_peer_lost(instant now, const node_id& node, std::vector<entry_action>& actions)
{
    std::vector<call_number> lost;
    for (const auto& [attempt, number] : m_attempts) {
        if (m_calls.at(number).m_node == node) {
            lost.push_back(number);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const call_number number : lost) {
        router_of(m_calls.at(number).m_call.m_service).on_end(now, node, route_result::failed, nullptr);
        end_attempt(now, number, refusal(rule::link_lost, run_state::unknown), actions);
    }
}

/** Ends the attempt in flight of the call @p number, and goes on to a retry or to the caller. */
void entry::end_attempt(instant now, call_number number, const answer& given,
                        std::vector<entry_action>& actions)
{
    open_call& current = m_calls.at(number);
    m_attempts.erase(current.m_attempt);
    current.m_attempt = attempt_id{};
    current.m_tokens.return_tokens(given.m_retry_tokens, current.m_lent);
    current.m_lent = 0;
    current.m_tried.push_back(current.m_node);
    current.m_may_have_run |= given.m_state != run_state::not_run;
    note_reached(current, given);
    if (given.m_rule == rule::target_crashed) {
        ++current.m_call.m_crashes;
    }
    if (may_retry(now, current, given)) {
        retry_later(now, number, current, given);
        return;
    }
    finish(now, number, given, actions);
}

/** Decides whether another attempt may follow @p given, and pays for it. */
bool entry::may_retry(instant now, const open_call& current, const answer& given)
{
    const bool failed = given.m_rule != rule::none || is_passing_failure(given);
    const bool may_have_run = given.m_state != run_state::not_run;
    if (!failed || (may_have_run && !current.m_call.m_idempotent) || current.m_waiters.empty()) {
        return false;
    }
    if (now >= current.m_deadline || m_settings.m_mode == control_mode::none) {
        return false;
    }
    if (m_settings.m_mode == control_mode::fixed_slots) {
        return current.m_attempts <= baseline_retries;
    }
    const bool helps = info_of(given.m_rule).m_retry_elsewhere || may_have_run;
    const bool ended = given.m_rule == rule::deadline_expired || current.m_call.m_crashes >= most_crashes;
    if (given.m_final || !helps || ended || current.m_tokens.available() == 0) {
        return false;
    }
    const bool reached = may_have_run || given.m_rule == rule::target_refused;
    if (!reached) {
        return true;
    }
    const bool target_left =
        current.m_reached.size() < current.m_kind->m_attempts || !current.m_refusers.empty();
    return target_left && current.m_attempts < most_attempts &&
           budget_of(current.m_call.m_service, current.m_retry)
               .try_spend(now, current.m_call.m_context.m_priority);
}

/** Spends a token and waits for the backoff. */
void entry::retry_later(instant now, call_number number, open_call& current, answer given)
{
    current.m_tokens.spend();
    current.m_last = std::move(given);
    set_time(number, current, now + retry_backoff(current.m_retry, current.m_attempts, m_random));
}

void entry::set_time(call_number number, open_call& current, instant when)
{
    m_times.erase({current.m_next, number});
    current.m_next = when;
    m_times.emplace(when, number);
}

void entry::tick(instant now, std::vector<entry_action>& actions)
{
    while (!m_times.empty() && m_times.begin()->first <= now) {
        const call_number number = m_times.begin()->second;
        open_call& current = m_calls.at(number);
        if (current.m_attempt.m_value == 0 && now < current.m_deadline) {
            send_attempt(now, number, current, actions);
            continue;
        }
        if (current.m_attempt.m_value == 0) {
            finish(now, number, std::move(current.m_last), actions);
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
    return m_times.empty() ? instant::max() : m_times.begin()->first;
}

retry_budget& entry::budget_of(const service_name& service, const retry_settings& settings)
{
    retry_budget& budget = m_budgets.try_emplace(service, settings).first->second;
    budget.configure(settings);
    return budget;
}

} // namespace waxwing
