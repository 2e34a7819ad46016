/** @file runner_end.cpp End of calls at the node beside the target: answers, failures and crashes. */
#include "call/runner_base.h"

#include <algorithm>
#include <set>

namespace waxwing {

namespace {

/** Delay of the answers after a crash; the other nodes know of the crash by then. */
constexpr duration crash_answer_delay = std::chrono::milliseconds(20);

} // namespace

void runner::cancel(instant now, attempt_id attempt, std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    open_call& current = position->second;
    if (std::exchange(current.m_cancelled, true)) {
        return;
    }
    ++m_counters.m_cancelled;
    if (current.m_stage == stage::queued && m_admission.cancel(attempt)) {
        refuse(now, attempt, refusal(rule::cancelled), actions);
        return;
    }
    if (current.m_stage == stage::running && current.m_call.m_idempotent) {
        actions.emplace_back(runner_abort{attempt});
    }
}

void runner::on_peer_lost(instant now, const node_id& node, std::vector<runner_action>& actions)
{
    std::vector<attempt_id> lost_calls;
    for (const auto& [attempt, current] : m_calls) {
        if (current.m_origin == node) {
            lost_calls.push_back(attempt);
        }
    }
    std::sort(lost_calls.begin(), lost_calls.end());
    for (const attempt_id attempt : lost_calls) {
        cancel(now, attempt, actions);
    }
}

/** Returns whether the target reports in @p response that it did not run the call. */
bool runner::is_target_refusal(const open_call& current, const answer& response) const
{
    if (current.m_refusal_status != 0 && response.m_status == current.m_refusal_status) {
        return true;
    }
    const request_dialect& dialect = m_settings.m_dialect;
    if (dialect.m_wrong_instance != 0 && response.m_status == dialect.m_wrong_instance) {
        return true;
    }
    if (!dialect.m_not_run.empty() && find_header(response.m_headers, dialect.m_not_run) != nullptr) {
        return true;
    }
    const std::string* const outcome =
        dialect.m_adds_own_headers ? find_header(response.m_headers, outcome_header) : nullptr;
    return outcome != nullptr && run_state_of(*outcome) == run_state::not_run;
}

void runner::on_target_answer(instant now, attempt_id attempt, answer response,
                              std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    const open_call& current = position->second;
    const running_call* const running = m_running.find(attempt);
    const bool sub_call_failed = running != nullptr && running->m_sub_call_failed;
    // A target whose sub-call has timed out answers before the answer to that sub-call arrives.
    const bool sub_call_open = running != nullptr && running->m_open_sub_calls > 0;
    run_end end = response.m_status >= min_failure_status ? run_end::failed : run_end::succeeded;
    if (is_target_refusal(current, response) && !sub_call_failed) {
        response = refusal(rule::target_refused);
        end = run_end::refused;
    }
    else {
        response.m_state = run_state::ran;
        response.m_rule = rule::none;
        response.m_headers = end_to_end_headers(response.m_headers);
        response.m_final = end == run_end::failed && (sub_call_failed || sub_call_open);
        end = response.m_final ? run_end::cancelled : end;
        m_counters.m_succeeded += end == run_end::succeeded ? 1 : 0;
    }
    if (end != run_end::refused) {
        broadcast(m_quarantine.on_completed(now, current.m_call.m_fingerprint), actions);
    }
    end_run(now, attempt, std::move(response), end, actions);
}

void runner::on_target_failure(instant now, attempt_id attempt, target_failure failure,
                               std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    open_call& current = position->second;
    if (failure == target_failure::lost) {
        const bool crash_known = m_crash_answers_at != instant::max();
        current.m_stage = stage::interrupted;
        if (!crash_known) {
            probe(actions);
        }
        return;
    }
    answer response = refusal(rule::target_unreachable);
    if (failure == target_failure::not_sent && !current.m_cancelled && m_closed == rule::none) {
        probe(actions);
    }
    if (failure == target_failure::timeout) {
        response = refusal(rule::deadline_expired, run_state::unknown);
    }
    if (failure == target_failure::aborted) {
        response = refusal(rule::cancelled, run_state::unknown);
    }
    const bool aborted = failure == target_failure::aborted;
    end_run(now, attempt, std::move(response), aborted ? run_end::cancelled : run_end::failed, actions);
}

/** Requests a probe of the target, unless one is in progress. */
void runner::probe(std::vector<runner_action>& actions)
{
    if (!m_probe_pending) {
        m_probe_pending = true;
        actions.emplace_back(runner_probe{});
    }
}

void runner::on_probe(instant now, bool accepts, std::vector<runner_action>& actions)
{
    m_probe_pending = false;
    if (!accepts) {
        on_target_crash(now, actions);
        return;
    }
    end_interrupted(now, rule::target_lost, actions);
}

/** Answers all interrupted calls with @p reason. */
void runner::end_interrupted(instant now, rule reason, std::vector<runner_action>& actions)
{
    std::vector<attempt_id> interrupted;
    for (const auto& [attempt, current] : m_calls) {
        if (current.m_stage == stage::interrupted) {
            interrupted.push_back(attempt);
        }
    }
    std::sort(interrupted.begin(), interrupted.end());
    for (const attempt_id attempt : interrupted) {
        answer response = refusal(reason, run_state::unknown);
        end_run(now, attempt, std::move(response), run_end::failed, actions);
    }
}

/**
 * Handles a crash of the target: the requests that were running become suspects, and no new run starts. Their
 * answers are delayed until the other nodes know of the suspects, since an earlier re-send could crash
 * another target before its node is informed.
 */
void runner::on_target_crash(instant now, std::vector<runner_action>& actions)
{
    std::set<std::uint64_t> exclusive;
    std::set<std::uint64_t> others;
    for (auto& [attempt, current] : m_calls) {
        if (current.m_stage == stage::interrupted || current.m_stage == stage::running) {
            (current.m_exclusive ? exclusive : others).insert(current.m_call.m_fingerprint);
            current.m_stage = stage::interrupted;
        }
    }
    std::erase_if(others, [&](std::uint64_t fingerprint) { return exclusive.contains(fingerprint); });
    std::vector<quarantine_record> changed =
        m_quarantine.on_crash(now, {exclusive.begin(), exclusive.end()}, true);
    const std::vector<quarantine_record> changed_others =
        m_quarantine.on_crash(now, {others.begin(), others.end()}, false);
    changed.insert(changed.end(), changed_others.begin(), changed_others.end());
    broadcast(changed, actions);
    actions.emplace_back(runner_crash{exclusive.size() + others.size()});
    m_crash_answers_at = now + crash_answer_delay;
    close(now, rule::target_unreachable, actions);
}

/** Releases the slot of @p attempt and answers it. */
void runner::end_run(instant now, attempt_id attempt, answer response, run_end end,
                     std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    const open_call ended_call = std::move(position->second);
    m_calls.erase(position);
    duration waited{};
    response.m_retry_tokens = ended_call.m_call.m_context.m_retry_tokens;
    if (const running_call* const running = m_running.find(attempt)) {
        waited = running->m_waited;
        response.m_retry_tokens = running->m_tokens.available();
        response.m_load.m_threshold = std::max(response.m_load.m_threshold, running->m_threshold);
        m_running.remove(attempt);
    }
    if (m_settings.m_mode != control_mode::none) {
        m_admission.finish(now, attempt, now - ended_call.m_started_at - waited, end, m_admission_actions);
    }
    send_answer(now, attempt, ended_call, std::move(response), actions);
    apply(now, actions);
}

void runner::on_quarantine(instant now, const std::vector<quarantine_record>& records)
{
    m_quarantine.merge(now, records);
}

std::string runner::quarantine_snapshot(instant now) const
{
    const std::vector<quarantine_record> records = m_quarantine.records(now);
    return records.empty() ? std::string{} : encode_quarantine(records);
}

bool runner::release(instant now, const std::string& name, std::vector<runner_action>& actions)
{
    for (const quarantine_record& record : m_quarantine.records(now)) {
        if (m_quarantine.name_of(record.m_fingerprint) == name) {
            broadcast(m_quarantine.release(now, record.m_fingerprint), actions);
            return true;
        }
    }
    return false;
}

void runner::broadcast(const std::vector<quarantine_record>& records,
                       std::vector<runner_action>& actions) const
{
    if (records.empty()) {
        return;
    }
    runner_spread update{encode_quarantine(records), {}};
    for (const quarantine_record& record : records) {
        update.m_changes.push_back({m_quarantine.name_of(record.m_fingerprint), record.m_suspicion});
    }
    actions.emplace_back(std::move(update));
}

std::vector<std::pair<std::string, suspicion>> runner::suspects(instant now) const
{
    std::vector<std::pair<std::string, suspicion>> suspicions;
    for (const quarantine_record& record : m_quarantine.records(now)) {
        suspicions.emplace_back(m_quarantine.name_of(record.m_fingerprint), record.m_suspicion);
    }
    return suspicions;
}

} // namespace waxwing
