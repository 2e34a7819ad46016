/** @file target_task_test.cpp Tests of what the node learns from the answers of its target. */
#include "node/target_task_base.h"
#include "test/http_loop.h"

#include <criterion/criterion.h>

using namespace waxwing;

namespace {

constexpr request_dialect dialect{"Time", "Id", "Origin", "Instance", "Not-Run",
                                  421,    true, false,    "Limit",    "Leaving"};

/** Reads the chart of the target. */
chart target_chart()
{
    const std::string path =
        std::string(WAXWING_CHARTS) + "/" + std::string(chart_file(chart_subject::target));
    return chart::read(path, read_file(path).value(), chart_events(chart_subject::target),
                       chart_actions(chart_subject::target))
        .value();
}

/** A target task and the server that is its target. */
struct target_fixture {
    guarded_loop m_guard;
    chart m_chart = target_chart();
    std::unique_ptr<http_server> m_server;
    std::vector<exchange_id> m_received; ///< Requests at the server that are not answered.
    std::vector<target_output> m_outputs;
    target_task m_task{m_guard.m_loop, dialect, m_chart,
                       [this](target_output&& output) { m_outputs.push_back(std::move(output)); }};
    std::uint64_t m_last_attempt = 0;

    target_fixture()
    {
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        m_server = std::move(http_server::open(m_guard.m_loop, settings, [this](http_server_event&& event) {
                                 if (const auto* const request = std::get_if<http_request>(&event)) {
                                     m_received.push_back(request->m_exchange);
                                 }
                             }).value());
        announce(1);
    }

    void announce(std::uint64_t started_at, std::uint64_t sequence = 1,
                  target_intent intent = target_intent::serve)
    {
        target_announcement announcement;
        announcement.m_service.m_value = "front";
        announcement.m_address = m_server->address();
        announcement.m_slots = 10;
        announcement.m_instance = "i-1";
        announcement.m_incarnation.m_value = started_at;
        announcement.m_sequence = sequence;
        announcement.m_intent = intent;
        m_task.announce(announcement);
    }

    /** Sends a call to the target. @pre The one before has been answered. */
    void send()
    {
        runner_run run;
        run.m_attempt.m_value = ++m_last_attempt;
        run.m_call.m_method = "GET";
        run.m_call.m_path = "/";
        run.m_call.m_headers = {{"Id", std::to_string(m_last_attempt)}};
        run.m_time_left = std::chrono::seconds(5);
        m_task.run(std::move(run));
        run_until([this] { return !m_received.empty(); });
    }

    /** Answers the call at the target with @p headers, and waits for the outcome. */
    void answer(header_list headers)
    {
        headers.push_back({"Id", std::to_string(m_last_attempt)});
        m_server->reply({m_received.back(), 200, std::move(headers), ""});
        m_received.clear();
        run_until([this] { return last<run_answered>() != nullptr; });
        std::erase_if(m_outputs, [](const auto& each) { return std::holds_alternative<run_answered>(each); });
    }

    template<class Output>
    const Output* last() const
    {
        const Output* found = nullptr;
        for (const target_output& output : m_outputs) {
            const auto* const matching = std::get_if<Output>(&output);
            found = matching == nullptr ? found : matching;
        }
        return found;
    }

    /** Returns the rate that the task reported last; none where it reported no limit, or its end. */
    std::optional<double> rate() const
    {
        const auto* const limited = last<target_rate_limited>();
        return limited == nullptr ? std::nullopt : limited->m_rate;
    }

    template<class Condition>
    void run_until(Condition is_met)
    {
        while (!is_met()) {
            timer step(m_guard.m_loop, [this] { m_guard.m_loop.stop(); });
            step.set(std::chrono::milliseconds(1));
            m_guard.m_loop.run();
        }
    }
};

} // namespace

Test(target_task, a_target_that_names_a_rate_is_limited_until_an_answer_lacks_it)
{
    target_fixture fixture;
    fixture.send();
    fixture.answer({});
    cr_assert(fixture.rate() == std::nullopt);
    fixture.send();
    fixture.answer({{"limit", "33.2"}});
    cr_assert(fixture.rate() == 33.2);
    fixture.send();
    fixture.answer({});
    cr_assert(fixture.rate() == std::nullopt);
}

Test(target_task, a_rate_that_cannot_be_read_leaves_the_last_limit_in_force)
{
    target_fixture fixture;
    fixture.send();
    fixture.answer({{"Limit", "12"}});
    for (const char* const text : {"", "many", "-1", "inf", "nan", "1e3", "5 a second", "0x10"}) {
        fixture.send();
        fixture.answer({{"Limit", text}});
        cr_assert(fixture.rate() == 12.0, "%s", text);
    }
}

/** A server may start again under the id that it had; it then knows nothing of before. */
Test(target_task, a_limit_ends_with_the_incarnation_that_named_it)
{
    target_fixture fixture;
    fixture.send();
    fixture.answer({{"Limit", "12"}});
    fixture.send();
    fixture.announce(2);
    cr_assert(fixture.rate() == std::nullopt);
    fixture.answer({{"Limit", "3"}});
    cr_assert(fixture.rate() == std::nullopt, "the answer came from the incarnation before");
}

/** The announcement that a server leaves may come seconds late; its answers say so before. */
Test(target_task, a_target_that_says_in_an_answer_that_it_leaves_gets_no_new_work)
{
    target_fixture fixture;
    fixture.send();
    fixture.answer({{"Leaving", "0"}});
    cr_assert(fixture.m_task.state() == target_state::ready);
    fixture.send();
    fixture.answer({{"leaving", "1"}});
    cr_assert(fixture.m_task.state() == target_state::draining);
    const auto* const gate = fixture.last<calls_gate>();
    cr_assert(gate != nullptr && !gate->m_open && gate->m_why == rule::draining);
    fixture.announce(1, 2);
    cr_assert(fixture.m_task.state() == target_state::draining, "a late announcement revokes nothing");
    fixture.announce(2);
    cr_assert(fixture.m_task.state() == target_state::ready, "a new incarnation serves");
}

/** An answer of the incarnation before says nothing about the new one. */
Test(target_task, a_restarted_target_is_not_drained_by_an_answer_from_before)
{
    target_fixture fixture;
    fixture.send();
    fixture.announce(2);
    fixture.answer({{"Leaving", "1"}});
    cr_assert(fixture.m_task.state() == target_state::ready);
}

/** Only the departures that the node records bind its next process. */
Test(target_task, departures_by_announcement_and_by_answer_are_reported)
{
    target_fixture by_announcement;
    cr_assert(by_announcement.last<target_departed>() == nullptr);
    by_announcement.announce(1, 2, target_intent::drain);
    cr_assert((by_announcement.last<target_departed>()->m_departure == target_departure{"i-1", {1}}));
    target_fixture by_answer;
    by_answer.send();
    by_answer.answer({{"Leaving", "1"}});
    cr_assert((by_answer.last<target_departed>()->m_departure == target_departure{"i-1", {1}}));
    target_fixture unknown;
    unknown.announce(2, 0, target_intent::leave);
    cr_assert((unknown.last<target_departed>()->m_departure == target_departure{"i-1", {2}}));
    cr_assert(unknown.m_task.state() == target_state::draining);
}

/** A target may leave before its first announcement has arrived, and without a start time. */
Test(target_task, the_departure_of_a_process_that_is_not_known_is_reported)
{
    target_fixture fixture;
    target_announcement departure;
    departure.m_instance = "i-2";
    departure.m_intent = target_intent::leave;
    fixture.m_task.announce(departure);
    const auto* const reported = fixture.last<target_departed>();
    cr_assert(reported != nullptr && reported->m_departure.m_instance == "i-2");
    cr_assert(reported->m_departure.m_is_bound && reported->m_departure.m_incarnation.m_value > 0);
    cr_assert(fixture.m_task.state() == target_state::ready, "the known target serves on");
}

Test(target_task, a_target_whose_departure_is_restored_late_is_drained)
{
    target_fixture fixture;
    cr_assert(fixture.m_task.state() == target_state::ready);
    fixture.m_task.restore_departure({"i-1", {1}});
    cr_assert(fixture.m_task.state() == target_state::draining);
    fixture.announce(1, 9);
    cr_assert(fixture.m_task.state() == target_state::draining);
    fixture.announce(2);
    cr_assert(fixture.m_task.state() == target_state::ready);
}
