/** @file runner_test.cpp Tests of the calls at the node beside the target. */
#include "call/call.h"

#include <criterion/criterion.h>

using namespace waxwing;

namespace {

constexpr instant start_time{std::chrono::hours(1)};

/** A runner with one call in progress at its target. */
struct runner_fixture {
    running_calls m_running;
    runner m_runner{settings(), m_running};
    std::vector<runner_action> m_actions;

    static runner_settings settings()
    {
        runner_settings values;
        values.m_self = node_id{"n"};
        values.m_service = service_name{"front"};
        values.m_slots = 4;
        return values;
    }

    runner_fixture()
    {
        m_runner.configure(std::make_shared<config_set>());
        call incoming;
        incoming.m_service = service_name{"front"};
        incoming.m_idempotent = true;
        incoming.m_context.m_time_left = std::chrono::seconds(5);
        m_runner.on_call(start_time, node_id{"o"}, attempt_id{1}, std::move(incoming), m_actions);
        cr_assert(m_running.find(attempt_id{1}) != nullptr);
        m_actions.clear();
    }

    /** Ends the run with the status 500. @return the answer that goes up. */
    answer fail()
    {
        answer response;
        response.m_status = 500;
        m_runner.on_target_answer(start_time, attempt_id{1}, response, m_actions);
        return std::get<runner_answer>(m_actions.back()).m_answer;
    }
};

} // namespace

/** A target fails since a sub-call failed or is late: another run would make the same sub-calls again. */
Test(runner, a_failure_caused_by_a_sub_call_is_final)
{
    runner_fixture own_failure;
    cr_assert(!own_failure.fail().m_final);
    runner_fixture failed_sub_call;
    failed_sub_call.m_running.find(attempt_id{1})->m_sub_call_failed = true;
    cr_assert(failed_sub_call.fail().m_final);
    runner_fixture late_sub_call;
    running_calls::begin_sub_call(*late_sub_call.m_running.find(attempt_id{1}), start_time);
    cr_assert(late_sub_call.fail().m_final);
}

/** The time for which a refused call has waited is logged; callers that give up twice count once. */
Test(runner, a_close_refuses_waiting_calls_with_their_real_waiting_time)
{
    runner_fixture fixture;
    for (std::uint64_t number = 2; number <= 10; ++number) {
        call incoming;
        incoming.m_service = service_name{"front"};
        incoming.m_idempotent = true;
        incoming.m_context.m_time_left = std::chrono::seconds(5);
        fixture.m_runner.on_call(start_time, node_id{"o"}, attempt_id{number}, std::move(incoming),
                                 fixture.m_actions);
    }
    fixture.m_actions.clear();
    fixture.m_runner.cancel(start_time, attempt_id{1}, fixture.m_actions);
    fixture.m_runner.cancel(start_time, attempt_id{1}, fixture.m_actions);
    cr_assert(fixture.m_runner.counters().m_cancelled == 1 && fixture.m_actions.size() == 1);
    fixture.m_actions.clear();
    const duration waited = std::chrono::milliseconds(200);
    fixture.m_runner.close(start_time + waited, rule::draining, fixture.m_actions);
    cr_assert(!fixture.m_actions.empty());
    for (const runner_action& action : fixture.m_actions) {
        cr_assert(std::get<runner_answer>(action).m_took == waited);
    }
}

/** Two targets go down at once while both run the same lookup; a third one is sent it afterwards. */
Test(runner, a_lookup_that_ran_at_two_targets_that_died_is_run_by_a_third)
{
    const auto records_of = [](const std::vector<runner_action>& actions) {
        std::vector<quarantine_record> records;
        for (const runner_action& action : actions) {
            if (const auto* const spread = std::get_if<runner_spread>(&action)) {
                const auto decoded = decode_quarantine(spread->m_payload);
                records.insert(records.end(), decoded.value().begin(), decoded.value().end());
            }
        }
        return records;
    };
    const auto crash = [&](runner_fixture& target) {
        target.m_actions.clear();
        target.m_runner.on_probe(start_time, false, target.m_actions);
        return records_of(target.m_actions);
    };
    const auto send_to = [](runner_fixture& target) {
        call lookup;
        lookup.m_service = service_name{"front"};
        lookup.m_idempotent = true;
        lookup.m_context.m_time_left = std::chrono::seconds(5);
        target.m_actions.clear();
        target.m_runner.on_call(start_time, node_id{"o"}, attempt_id{2}, std::move(lookup), target.m_actions);
    };
    runner_fixture first;
    runner_fixture second;
    runner_fixture third;
    runner_fixture fourth;
    const std::vector<quarantine_record> suspected = crash(first);
    for (runner_fixture* const peer : {&second, &third, &fourth}) {
        peer->m_runner.on_quarantine(start_time, suspected);
    }
    const std::vector<quarantine_record> suspected_again = crash(second);
    third.m_runner.on_quarantine(start_time, suspected_again);
    fourth.m_runner.on_quarantine(start_time, suspected_again);
    third.m_runner.cancel(start_time, attempt_id{1}, third.m_actions);
    third.m_runner.on_target_failure(start_time, attempt_id{1}, target_failure::aborted, third.m_actions);
    send_to(third);
    cr_assert(std::holds_alternative<runner_run>(third.m_actions.back()));
    // A third target dies with it, which ran nothing else: the request is refused from now on.
    const std::vector<quarantine_record> quarantined = crash(third);
    cr_assert(quarantined.size() == 1 && quarantined.front().m_suspicion == suspicion::quarantined);
    fourth.m_runner.on_quarantine(start_time, quarantined);
    send_to(fourth);
    cr_assert(std::get<runner_answer>(fourth.m_actions.back()).m_answer.m_rule == rule::quarantined);
}

/** A target that has no room refuses a suspect without running it. */
Test(runner, a_suspect_that_the_target_refuses_to_run_stays_a_suspect)
{
    runner_fixture fixture;
    const std::uint64_t fingerprint = 0;
    fixture.m_runner.on_quarantine(start_time, {{fingerprint, suspicion::suspect, 1, duration::zero()}});
    answer response;
    response.m_status = 503;
    response.m_headers = {{std::string(outcome_header), std::string(to_string(run_state::not_run))}};
    fixture.m_runner.on_target_answer(start_time, attempt_id{1}, response, fixture.m_actions);
    cr_assert(std::get<runner_answer>(fixture.m_actions.back()).m_answer.m_rule == rule::target_refused);
    const auto suspects = fixture.m_runner.suspects(start_time);
    cr_assert(suspects.size() == 1 && suspects.front().second == suspicion::suspect);
}

/** Each change of a record is reported once, by the node that makes it. */
Test(runner, changes_of_suspicions_are_reported_for_the_log)
{
    runner_fixture fixture;
    fixture.m_runner.on_probe(start_time, false, fixture.m_actions);
    const auto& crash = std::get<runner_spread>(fixture.m_actions.front());
    cr_assert(crash.m_changes.size() == 1 && crash.m_changes.front().m_suspicion == suspicion::suspect);
    const std::string name = crash.m_changes.front().m_fingerprint;
    cr_assert(fixture.m_runner.suspects(start_time).front().first == name);
    fixture.m_actions.clear();
    cr_assert(fixture.m_runner.release(start_time, name, fixture.m_actions));
    const auto& release = std::get<runner_spread>(fixture.m_actions.front());
    cr_assert(release.m_changes.size() == 1 && release.m_changes.front().m_fingerprint == name);
    cr_assert(release.m_changes.front().m_suspicion == suspicion::none);
}
