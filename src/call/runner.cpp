/** @file runner.cpp Calls at the node beside their target: arrival, admission, answers. */
#include "call/runner_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Derives the salt of the names of held requests, which are to be the same on every node. */
std::uint64_t salt_of(const std::string& shared_key)
{
    return fingerprint_of("quarantine", shared_key, "", "");
}

constexpr std::size_t recent_room = 16'384; ///< Attempts remembered against repeated messages.

} // namespace

runner::runner(const runner_settings& settings, running_calls& running)
    : m_settings(settings), m_running(running), m_admission(admission_settings{}),
      m_quarantine(settings.m_quarantine, salt_of(settings.m_shared_key))
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

/** Gives admission the service's policy for the target's size. */
void runner::configure_admission()
{
    admission_settings policy;
    if (m_config == nullptr) {
        return;
    }
    const auto service = m_config->m_services.find(m_settings.m_service);
    if (service != m_config->m_services.end()) {
        const auto named = m_config->m_admissions.find(service->second.m_admission);
        policy = named == m_config->m_admissions.end() ? policy : named->second;
    }
    policy.m_limit.m_slots = m_settings.m_slots;
    policy.m_limit.m_floor = std::min(policy.m_limit.m_floor, m_settings.m_slots);
    if (m_settings.m_mode == control_mode::fixed_slots) {
        policy.m_limit.m_floor = m_settings.m_slots;
        policy.m_headroom_ratio = 0.0;
    }
    m_admission.configure(policy);
}

void runner::on_call(instant now, const node_id& origin, attempt_id attempt, call received,
                     std::vector<runner_action>& actions)
{
    if (is_repeated(attempt)) {
        return;
    }
    ++m_counters.m_arrived;
    open_call arrived;
    arrived.m_origin = origin;
    arrived.m_arrived = now;
    arrived.m_deadline = now + received.m_context.m_time_left;
    arrived.m_call = std::move(received);
    if (m_config != nullptr) {
        const auto service = m_config->m_services.find(arrived.m_call.m_service);
        if (service != m_config->m_services.end()) {
            arrived.m_refusal_status = service->second.m_refusal_status;
        }
    }
    const suspicion held = m_quarantine.look_up(now, arrived.m_call.m_fingerprint);
    arrived.m_exclusive = held == suspicion::suspect || arrived.m_call.m_crashes > 0;
    const bool wrong_service = arrived.m_call.m_service != m_settings.m_service;
    const open_call& current = m_calls.insert_or_assign(attempt, std::move(arrived)).first->second;
    if (held == suspicion::quarantined || wrong_service) {
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

/** Tells whether @p attempt came before, among the last ones. */
bool runner::is_repeated(attempt_id attempt)
{
    if (!m_recent.insert(attempt).second) {
        return true;
    }
    m_recent_order.push_back(attempt);
    if (m_recent_order.size() > recent_room) {
        m_recent.erase(m_recent_order.front());
        m_recent_order.pop_front();
    }
    return false;
}

/** Carries out what admission has decided. */
void runner::apply(instant now, std::vector<runner_action>& actions)
{
    while (!m_admission_actions.empty()) {
        const std::vector<admission_action> decided = std::exchange(m_admission_actions, {});
        for (const admission_action& action : decided) {
            if (const auto* const started = std::get_if<admission_start>(&action)) {
                start(now, started->m_attempt, actions);
                continue;
            }
            const auto& refused = std::get<admission_refuse>(action);
            answer given = refusal(refused.m_rule);
            given.m_retry_after = refused.m_retry_after;
            refuse(now, refused.m_attempt, std::move(given), actions);
        }
    }
}

/** Answers @p attempt, which did not get a slot. */
void runner::refuse(instant now, attempt_id attempt, answer given, std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    const open_call ended = std::move(position->second);
    m_calls.erase(position);
    ++m_counters.m_refused;
    given.m_final = given.m_rule == rule::shed || given.m_rule == rule::queue_timeout;
    given.m_retry_tokens = ended.m_call.m_context.m_retry_tokens;
    send_answer(now, attempt, ended, std::move(given), actions);
}

void runner::send_answer(instant now, attempt_id attempt, const open_call& ended, answer given,
                         std::vector<runner_action>& actions)
{
    const priority below = given.m_load.m_threshold;
    given.m_load = m_admission.report(now);
    given.m_load.m_threshold = std::max(given.m_load.m_threshold, below);
    const bool started = ended.m_stage != stage::queued;
    runner_answer told{ended.m_origin,
                       attempt,
                       std::move(given),
                       {},
                       ended.m_call.m_kind,
                       ended.m_call.m_context.m_priority,
                       {},
                       now - ended.m_arrived};
    told.m_request_id = request_id_of(m_settings.m_dialect, ended.m_call.m_headers);
    told.m_waited = started ? ended.m_started - ended.m_arrived : told.m_took;
    actions.emplace_back(std::move(told));
}

/** Runs @p attempt, which was granted a slot. */
void runner::start(instant now, attempt_id attempt, std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        m_admission.finish(now, attempt, duration::zero(), run_end::cancelled, m_admission_actions);
        return;
    }
    position->second.m_started = now;
    run(now, attempt, position->second, actions);
}

/** Sends @p current to the target, unless its time is over. */
void runner::run(instant now, attempt_id attempt, open_call& current, std::vector<runner_action>& actions)
{
    const bool late = now >= current.m_deadline;
    if (late || current.m_unwanted || m_closed != rule::none) {
        const rule why = current.m_unwanted ? rule::cancelled : rule::deadline_expired;
        answer given = refusal(late || current.m_unwanted ? why : m_closed);
        end_run(now, attempt, std::move(given), run_end::cancelled, actions);
        return;
    }
    ++m_counters.m_started;
    current.m_stage = stage::running;
    running_call started;
    started.m_context = current.m_call.m_context;
    started.m_caller = current.m_call.m_caller;
    started.m_deadline = current.m_deadline;
    started.m_request_id = request_id_of(m_settings.m_dialect, current.m_call.m_headers);
    started.m_tokens = retry_tokens(current.m_call.m_context.m_retry_tokens);
    m_running.add(attempt, started);
    call sent = current.m_call;
    current.m_call.m_body.clear();
    const duration left = current.m_deadline - now;
    add_fields(current, attempt, left, sent);
    actions.emplace_back(runner_run{attempt, std::move(sent), left});
}

/** Adds to @p sent the fields by which the target learns what concerns this run. */
void runner::add_fields(const open_call& current, attempt_id attempt, duration left, call& sent) const
{
    const request_dialect& dialect = m_settings.m_dialect;
    const call_context& context = current.m_call.m_context;
    if (dialect.m_adds_own_headers) {
        sent.m_headers.push_back(
            {std::string(context_header), write_context({context.m_root, attempt, context.m_depth})});
    }
    sent.m_headers.push_back({std::string(dialect.m_deadline), std::to_string(to_milliseconds(left))});
    if (!dialect.m_instance.empty() && !m_instance.empty()) {
        sent.m_headers.push_back({std::string(dialect.m_instance), m_instance});
    }
}

void runner::tick(instant now, std::vector<runner_action>& actions)
{
    if (now >= m_tell_crash_at) {
        m_tell_crash_at = instant::max();
        end_held(now, rule::target_crashed, actions);
    }
    m_admission.tick(now, m_admission_actions);
    apply(now, actions);
}

instant runner::next_tick() const
{
    return std::min(m_admission.next_tick(), m_tell_crash_at);
}

void runner::close(rule why, std::vector<runner_action>& actions)
{
    m_closed = why;
    m_admission.close(why, m_admission_actions);
    apply(instant{}, actions);
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

} // namespace waxwing
