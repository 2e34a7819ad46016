/** @file runner.cpp Calls at the node beside the target: arrival, admission and answers. */
#include "call/runner_base.h"

#include "call/organisation_func.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Derives the salt of the names of quarantined requests from @p shared_key, so that the names are the same
 * on all nodes. */
std::uint64_t quarantine_salt(const std::string& shared_key)
{
    return fingerprint_of("quarantine", shared_key, "", "");
}

constexpr std::size_t max_recent_attempts = 16'384; ///< Attempts remembered to detect repeated messages.

} // namespace

runner::runner(const runner_settings& settings, running_calls& running)
    : m_settings(settings), m_running(running), m_admission(admission_settings{}),
      m_quarantine(settings.m_quarantine, quarantine_salt(settings.m_shared_key))
{
}

void runner::configure(std::shared_ptr<const config_set> set)
{
    m_config = std::move(set);
    configure_admission();
}

void runner::set_target(const service_name& service, std::uint32_t slots, std::string instance)
{
    m_settings.m_service = service;
    m_instance = std::move(instance);
    m_settings.m_slots = std::max(slots, 1U);
    configure_admission();
}

/** Configures admission with the service's policy and the target's number of slots. */
void runner::configure_admission()
{
    admission_settings settings;
    if (m_config == nullptr) {
        return;
    }
    const auto service = m_config->m_services.find(m_settings.m_service);
    if (service != m_config->m_services.end()) {
        const auto policy = m_config->m_admissions.find(service->second.m_admission);
        settings = policy == m_config->m_admissions.end() ? settings : policy->second;
    }
    settings.m_headroom_importance = headroom_importance(*m_config, settings.m_headroom_importance);
    settings.m_limit.m_slots = m_settings.m_slots;
    settings.m_limit.m_floor = std::min(settings.m_limit.m_floor, m_settings.m_slots);
    if (m_settings.m_mode == control_mode::fixed_slots) {
        settings.m_limit.m_floor = m_settings.m_slots;
        settings.m_headroom_ratio = 0.0;
    }
    m_admission.configure(settings);
}

void runner::on_call(instant now, const node_id& origin, attempt_id attempt, call incoming,
                     std::vector<runner_action>& actions, rule refusing_rule)
{
    if (is_repeated(attempt)) {
        return;
    }
    ++m_counters.m_arrived;
    open_call new_call;
    new_call.m_origin = origin;
    new_call.m_arrived_at = now;
    new_call.m_deadline = now + incoming.m_context.m_time_left;
    new_call.m_call = std::move(incoming);
    if (m_config != nullptr) {
        const auto service = m_config->m_services.find(new_call.m_call.m_service);
        if (service != m_config->m_services.end()) {
            new_call.m_refusal_status = service->second.m_refusal_status;
        }
    }
    const suspicion known_suspicion = m_quarantine.look_up(now, new_call.m_call.m_fingerprint);
    new_call.m_exclusive = is_suspected(known_suspicion) || new_call.m_call.m_crashes > 0;
    const bool wrong_service = new_call.m_call.m_service != m_settings.m_service;
    const open_call& current = m_calls.insert_or_assign(attempt, std::move(new_call)).first->second;
    if (refusing_rule != rule::none) {
        refuse(now, attempt, refusal(refusing_rule), actions);
        return;
    }
    if (known_suspicion == suspicion::quarantined || wrong_service) {
        refuse(now, attempt, refusal(wrong_service ? rule::target_unreachable : rule::quarantined), actions);
        return;
    }
    if (m_settings.m_mode == control_mode::none) {
        start(now, attempt, actions);
        return;
    }
    const admission_request request{attempt, current.m_call.m_context.m_priority,
                                    current.m_call.m_context.m_depth, current.m_deadline,
                                    current.m_exclusive};
    m_admission.offer(now, request, m_admission_actions);
    apply(now, actions);
}

/** Returns whether @p attempt is among the attempts received recently, and remembers it. */
bool runner::is_repeated(attempt_id attempt)
{
    if (!m_recent_attempts.insert(attempt).second) {
        return true;
    }
    m_recent_order.push_back(attempt);
    if (m_recent_order.size() > max_recent_attempts) {
        m_recent_attempts.erase(m_recent_order.front());
        m_recent_order.pop_front();
    }
    return false;
}

/** Carries out the decisions of admission. */
void runner::apply(instant now, std::vector<runner_action>& actions)
{
    while (!m_admission_actions.empty()) {
        const std::vector<admission_action> decisions = std::exchange(m_admission_actions, {});
        for (const admission_action& action : decisions) {
            if (const auto* const start_action = std::get_if<admission_start>(&action)) {
                start(now, start_action->m_attempt, actions);
                continue;
            }
            const auto& refuse_action = std::get<admission_refuse>(action);
            answer response = refusal(refuse_action.m_rule);
            response.m_retry_after = refuse_action.m_retry_after;
            refuse(now, refuse_action.m_attempt, std::move(response), actions);
        }
    }
}

/** Answers @p attempt with a refusal; it did not get a slot. */
void runner::refuse(instant now, attempt_id attempt, answer response, std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    const open_call ended_call = std::move(position->second);
    m_calls.erase(position);
    ++m_counters.m_refused;
    response.m_final = response.m_rule == rule::shed || response.m_rule == rule::queue_timeout;
    response.m_retry_tokens = ended_call.m_call.m_context.m_retry_tokens;
    send_answer(now, attempt, ended_call, std::move(response), actions);
}

void runner::send_answer(instant now, attempt_id attempt, const open_call& ended_call, answer response,
                         std::vector<runner_action>& actions)
{
    const priority sub_call_threshold = response.m_load.m_threshold;
    response.m_load = m_admission.report(now);
    response.m_load.m_threshold = std::max(response.m_load.m_threshold, sub_call_threshold);
    const bool started = ended_call.m_stage != stage::queued;
    runner_answer reply{ended_call.m_origin,
                        attempt,
                        std::move(response),
                        {},
                        ended_call.m_call.m_kind,
                        ended_call.m_call.m_context.m_priority,
                        {},
                        now - ended_call.m_arrived_at};
    reply.m_request_id = request_id_of(m_settings.m_dialect, ended_call.m_call.m_headers);
    reply.m_waited = started ? ended_call.m_started_at - ended_call.m_arrived_at : reply.m_took;
    actions.emplace_back(std::move(reply));
}

/** Starts the run of @p attempt, which got a slot. */
void runner::start(instant now, attempt_id attempt, std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        m_admission.finish(now, attempt, duration::zero(), run_end::cancelled, m_admission_actions);
        return;
    }
    position->second.m_started_at = now;
    run(now, attempt, position->second, actions);
}

/** Sends @p current to the target, unless it has expired, was cancelled or the runner is closed. */
void runner::run(instant now, attempt_id attempt, open_call& current, std::vector<runner_action>& actions)
{
    const bool is_expired = now >= current.m_deadline;
    if (is_expired || current.m_cancelled || m_closed != rule::none) {
        const rule reason = current.m_cancelled ? rule::cancelled : rule::deadline_expired;
        answer response = refusal(is_expired || current.m_cancelled ? reason : m_closed);
        end_run(now, attempt, std::move(response), run_end::cancelled, actions);
        return;
    }
    ++m_counters.m_started;
    current.m_stage = stage::running;
    running_call running;
    running.m_context = current.m_call.m_context;
    running.m_caller = current.m_call.m_caller;
    running.m_deadline = current.m_deadline;
    running.m_request_id = request_id_of(m_settings.m_dialect, current.m_call.m_headers);
    running.m_tokens = retry_tokens(current.m_call.m_context.m_retry_tokens);
    m_running.add(attempt, running);
    call outbound = current.m_call;
    current.m_call.m_body.clear(); // The outbound copy keeps it until it is sent.
    const duration time_left = current.m_deadline - now;
    add_target_headers(current, attempt, time_left, outbound);
    actions.emplace_back(runner_run{attempt, std::move(outbound), time_left});
}

/** Adds to @p outbound the headers for the target: the context, the time left and the instance. */
void runner::add_target_headers(const open_call& current, attempt_id attempt, duration time_left,
                                call& outbound) const
{
    const request_dialect& dialect = m_settings.m_dialect;
    const call_context& context = current.m_call.m_context;
    if (dialect.m_adds_own_headers) {
        outbound.m_headers.push_back(
            {std::string(context_header), write_context({context.m_root, attempt, context.m_depth})});
    }
    outbound.m_headers.push_back(
        {std::string(dialect.m_deadline), std::to_string(to_milliseconds(time_left))});
    if (!dialect.m_instance.empty() && !m_instance.empty()) {
        outbound.m_headers.push_back({std::string(dialect.m_instance), m_instance});
    }
}

void runner::tick(instant now, std::vector<runner_action>& actions)
{
    if (now >= m_crash_answers_at) {
        m_crash_answers_at = instant::max();
        end_interrupted(now, rule::target_crashed, actions);
    }
    m_admission.tick(now, m_admission_actions);
    apply(now, actions);
}

instant runner::next_tick() const
{
    return std::min(m_admission.next_tick(), m_crash_answers_at);
}

void runner::close(instant now, rule reason, std::vector<runner_action>& actions)
{
    m_closed = reason;
    m_admission.close(reason, m_admission_actions);
    apply(now, actions);
}

void runner::reopen()
{
    m_closed = rule::none;
    m_admission.reopen();
}

void runner::hint(instant now, std::uint32_t slots)
{
    m_admission.hint(now, slots);
}

void runner::limit_rate(instant now, std::optional<double> rate, std::vector<runner_action>& actions)
{
    m_admission.limit_starts(now, rate, m_admission_actions);
    apply(now, actions);
}

} // namespace waxwing
