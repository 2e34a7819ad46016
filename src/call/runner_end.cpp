/** @file runner_end.cpp The end of calls at the node beside their target: answers, failures, crashes. */
#include "call/runner_base.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::uint16_t first_failure_status = 500;
constexpr duration news_time = std::chrono::milliseconds(20); ///< Other nodes have heard of a crash by then.

} // namespace

void runner::cancel(instant now, attempt_id attempt, std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    open_call& current = position->second;
    current.m_unwanted = true;
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
    std::vector<attempt_id> lost;
    for (const auto& [attempt, current] : m_calls) {
        if (current.m_origin == node) {
            lost.push_back(attempt);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const attempt_id attempt : lost) {
        cancel(now, attempt, actions);
    }
}

/** Tells whether the target's answer says that it did not run the call. */
bool runner::was_refused(const open_call& current, const answer& given) const
{
    if (current.m_refusal_status != 0 && given.m_status == current.m_refusal_status) {
        return true;
    }
    const request_dialect& dialect = m_settings.m_dialect;
    if (dialect.m_wrong_instance != 0 && given.m_status == dialect.m_wrong_instance) {
        return true;
    }
    if (!dialect.m_not_run.empty() && find_header(given.m_headers, dialect.m_not_run) != nullptr) {
        return true;
    }
    const std::string* const outcome =
        dialect.m_adds_own_headers ? find_header(given.m_headers, outcome_header) : nullptr;
    return outcome != nullptr && run_state_of(*outcome) == run_state::not_run;
}

void runner::on_target_answer(instant now, attempt_id attempt, answer given,
                              std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    const open_call& current = position->second;
    const running_call* const running = m_running.find(attempt);
    const bool sub_call_failed = running != nullptr && running->m_sub_call_failed;
    run_end end = given.m_status >= first_failure_status ? run_end::failed : run_end::succeeded;
    if (was_refused(current, given) && !sub_call_failed) {
        given = refusal(rule::target_refused);
        end = run_end::refused;
    }
    else {
        given.m_state = run_state::ran;
        given.m_rule = rule::none;
        given.m_headers = end_to_end_headers(given.m_headers);
        given.m_final = end == run_end::failed && sub_call_failed;
        end = given.m_final ? run_end::cancelled : end;
        m_counters.m_succeeded += end == run_end::succeeded ? 1 : 0;
    }
    spread(m_quarantine.on_completed(now, current.m_call.m_fingerprint), actions);
    end_run(now, attempt, std::move(given), end, actions);
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
        const bool known = m_tell_crash_at != instant::max();
        current.m_stage = stage::held;
        if (!known) {
            probe(actions);
        }
        return;
    }
    answer given = refusal(rule::target_unreachable);
    if (failure == target_failure::not_sent && !current.m_unwanted && m_closed == rule::none) {
        probe(actions);
    }
    if (failure == target_failure::timeout) {
        given = refusal(rule::deadline_expired, run_state::unknown);
    }
    if (failure == target_failure::aborted) {
        given = refusal(rule::cancelled, run_state::unknown);
    }
    const bool unwanted = failure == target_failure::aborted;
    end_run(now, attempt, std::move(given), unwanted ? run_end::cancelled : run_end::failed, actions);
}

/** Asks whether the target accepts connections, once at a time. */
void runner::probe(std::vector<runner_action>& actions)
{
    if (!m_probing) {
        m_probing = true;
        actions.emplace_back(runner_probe{});
    }
}

void runner::on_probe(instant now, bool accepts, std::vector<runner_action>& actions)
{
    m_probing = false;
    if (!accepts) {
        target_died(now, actions);
        return;
    }
    end_held(now, rule::target_lost, actions);
}

/** Answers the calls whose connection broke. */
void runner::end_held(instant now, rule why, std::vector<runner_action>& actions)
{
    std::vector<attempt_id> held;
    for (const auto& [attempt, current] : m_calls) {
        if (current.m_stage == stage::held) {
            held.push_back(attempt);
        }
    }
    std::sort(held.begin(), held.end());
    for (const attempt_id attempt : held) {
        answer given = refusal(why, run_state::unknown);
        end_run(now, attempt, std::move(given), run_end::failed, actions);
    }
}

/**
 * Takes note that the target died: what ran there is suspected, and nothing new starts. Its answers wait
 * until other nodes have heard, so that no re-send overtakes the news.
 */
void runner::target_died(instant now, std::vector<runner_action>& actions)
{
    std::vector<std::uint64_t> running;
    bool alone = false;
    for (auto& [attempt, current] : m_calls) {
        if (current.m_stage == stage::held || current.m_stage == stage::running) {
            running.push_back(current.m_call.m_fingerprint);
            alone |= current.m_exclusive;
            current.m_stage = stage::held;
        }
    }
    std::sort(running.begin(), running.end());
    running.erase(std::unique(running.begin(), running.end()), running.end());
    spread(m_quarantine.on_crash(now, running, alone && running.size() == 1), actions);
    actions.emplace_back(runner_crash{running.size()});
    m_tell_crash_at = now + news_time;
    close(rule::target_unreachable, actions);
}

/** Frees the slot of @p attempt and answers it. */
void runner::end_run(instant now, attempt_id attempt, answer given, run_end end,
                     std::vector<runner_action>& actions)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end()) {
        return;
    }
    const open_call ended = std::move(position->second);
    m_calls.erase(position);
    duration waited{};
    given.m_retry_tokens = ended.m_call.m_context.m_retry_tokens;
    if (const running_call* const running = m_running.find(attempt)) {
        waited = running->m_waited;
        given.m_retry_tokens = running->m_tokens.available();
        given.m_load.m_threshold = std::max(given.m_load.m_threshold, running->m_threshold);
        m_running.remove(attempt);
    }
    if (m_settings.m_mode != control_mode::none) {
        m_admission.finish(now, attempt, now - ended.m_started - waited, end, m_admission_actions);
    }
    send_answer(now, attempt, ended, std::move(given), actions);
    apply(now, actions);
}

void runner::on_quarantine(instant now, const std::vector<quarantine_record>& records)
{
    m_quarantine.merge(now, records);
}

std::string runner::quarantine_snapshot(instant now) const
{
    const std::vector<quarantine_record> held = m_quarantine.records(now);
    return held.empty() ? std::string{} : encode_quarantine(held);
}

bool runner::release(instant now, const std::string& name, std::vector<runner_action>& actions)
{
    for (const quarantine_record& held : m_quarantine.records(now)) {
        if (m_quarantine.name_of(held.m_fingerprint) == name) {
            spread(m_quarantine.release(now, held.m_fingerprint), actions);
            return true;
        }
    }
    return false;
}

void runner::spread(const std::vector<quarantine_record>& changed, std::vector<runner_action>& actions) const
{
    if (!changed.empty()) {
        actions.emplace_back(runner_spread{encode_quarantine(changed)});
    }
}

std::vector<std::pair<std::string, suspicion>> runner::suspects(instant now) const
{
    std::vector<std::pair<std::string, suspicion>> listed;
    for (const quarantine_record& held : m_quarantine.records(now)) {
        listed.emplace_back(m_quarantine.name_of(held.m_fingerprint), held.m_suspicion);
    }
    return listed;
}

} // namespace waxwing
