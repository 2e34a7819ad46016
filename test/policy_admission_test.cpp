/** @file policy_admission_test.cpp Tests of admission. */
#include "policy/policy.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <limits>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace waxwing;

namespace {

constexpr instant start_time{std::chrono::seconds(1000)};

/** Drives an admission and keeps the books of what became of each call. */
struct books {
    explicit books(const admission_settings& settings) : m_admission(settings) {}

    /** Tells whether the call @p attempt goes before all that wait, and alone where it must. */
    bool may_start(attempt_id attempt)
    {
        const admission_request& request = m_waiting.at(attempt);
        for (const auto& [other, waiting] : m_waiting) {
            if (!waiting.m_exclusive && waiting.m_priority.importance() > request.m_priority.importance()) {
                return false;
            }
        }
        const bool beside = m_alone_running && m_running.count(*m_alone_running) == 1;
        m_alone_running = request.m_exclusive ? std::optional(attempt) : std::nullopt;
        return !beside && (!request.m_exclusive || m_running.empty());
    }

    /** Notes what was decided. @return false where a call is answered twice, never offered, or out of turn.
     */
    bool settle()
    {
        bool right = true;
        for (const admission_action& action : m_actions) {
            if (const auto* started = std::get_if<admission_start>(&action)) {
                right = right && m_waiting.count(started->m_attempt) == 1 && may_start(started->m_attempt);
                m_waiting.erase(started->m_attempt);
                m_running.insert(started->m_attempt);
            }
            else {
                right = right && m_waiting.erase(std::get<admission_refuse>(action).m_attempt) == 1;
            }
        }
        m_actions.clear();
        return right;
    }

    admission m_admission;                             ///< What is tested.
    std::vector<admission_action> m_actions;           ///< Not noted yet.
    std::map<attempt_id, admission_request> m_waiting; ///< Offered and not answered.
    std::optional<attempt_id> m_alone_running;         ///< The last call that ran alone.
    std::set<attempt_id> m_running;                    ///< Started and not finished.
};

/** Makes a call with the number @p number. */
admission_request call_of(std::uint64_t number, std::uint8_t importance, std::uint8_t cohort = 0,
                          instant deadline = start_time + std::chrono::hours(1))
{
    return {{number}, {static_cast<std::uint16_t>(importance * 256 + cohort)}, 0, deadline, false};
}

/** Makes settings with @p slots. */
admission_settings slots_of(std::uint32_t slots)
{
    admission_settings settings;
    settings.m_limit.m_slots = slots;
    return settings;
}

/** Gives the rule by which @p action refuses; none where it starts. */
rule rule_of_action(const admission_action& action)
{
    const auto* refused = std::get_if<admission_refuse>(&action);
    return refused == nullptr ? rule::none : refused->m_rule;
}

/** Gives the attempt that @p action is about. */
std::uint64_t number_of(const admission_action& action)
{
    return std::visit([](const auto& decided) { return decided.m_attempt.m_value; }, action);
}

} // namespace

Test(admission, each_call_gets_one_answer)
{
    cr_assert(rc::check("each offered call is started, refused or cancelled, once", [] {
        admission_settings settings;
        settings.m_limit.m_slots = *rc::gen::inRange(0U, 12U);
        settings.m_queue_capacity = *rc::gen::inRange(0U, 12U);
        books all(settings);
        instant now = start_time;
        std::uint64_t last = 0;
        const auto steps =
            *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
        for (const std::uint16_t step : steps) {
            now += std::chrono::milliseconds(step % 32);
            const attempt_id some{last == 0 ? 0 : step % last + 1};
            switch (step / 32 % 8) {
            case 0:
                RC_ASSERT(all.m_admission.cancel(some) == (all.m_waiting.erase(some) == 1));
                break;
            case 1:
                all.m_admission.tick(now, all.m_actions);
                RC_ASSERT(all.m_admission.next_tick() > now);
                break;
            case 2:
            case 3:
            case 4:
                all.m_admission.finish(now, some, std::chrono::milliseconds(step % 32), run_end::succeeded,
                                       all.m_actions);
                all.m_running.erase(some);
                break;
            default:
                const admission_request request{{++last},
                                                {step},
                                                static_cast<std::uint8_t>(step % 5),
                                                now + std::chrono::milliseconds(step % 500),
                                                step % 17 == 0};
                all.m_waiting.emplace(request.m_attempt, request);
                all.m_admission.offer(now, request, all.m_actions);
            }
            RC_ASSERT(all.settle());
            const load_report report = all.m_admission.report(now);
            RC_ASSERT(report.m_in_progress == all.m_running.size());
            RC_ASSERT(report.m_queued == all.m_waiting.size());
            RC_ASSERT(all.m_running.size() <= std::max(1U, settings.m_limit.m_slots));
            RC_ASSERT(all.m_waiting.size() <= settings.m_queue_capacity);
        }
        all.m_admission.close(rule::draining, all.m_actions);
        RC_ASSERT(all.settle());
        RC_ASSERT(all.m_waiting.empty());
    }));
}

Test(admission, leaves_headroom_to_important_calls)
{
    admission gate(slots_of(10));
    std::vector<admission_action> actions;
    for (std::uint64_t number = 1; number <= 12; ++number) {
        gate.offer(start_time, call_of(number, 100), actions);
    }
    cr_assert(actions.size() == 9 && gate.report(start_time).m_queued == 3);
    gate.offer(start_time, call_of(13, 192), actions);
    cr_assert(actions.size() == 10 && number_of(actions.back()) == 13);
    gate.offer(start_time, call_of(14, 255), actions);
    cr_assert(actions.size() == 10);
    gate.finish(start_time, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    cr_assert(actions.size() == 11 && number_of(actions.back()) == 14);
}

Test(admission, evicts_the_lowest_for_want_of_room)
{
    admission_settings settings = slots_of(1);
    settings.m_queue_capacity = 2;
    admission gate(settings);
    std::vector<admission_action> actions;
    gate.offer(start_time, call_of(1, 200), actions);
    gate.offer(start_time, call_of(2, 100, 7), actions);
    gate.offer(start_time, call_of(3, 100, 5), actions);
    gate.offer(start_time, call_of(4, 200), actions);
    cr_assert(number_of(actions.back()) == 3 && rule_of_action(actions.back()) == rule::overloaded);
    gate.offer(start_time, call_of(5, 100, 6), actions);
    cr_assert(number_of(actions.back()) == 5 && rule_of_action(actions.back()) == rule::overloaded);
    gate.finish(start_time, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    cr_assert(number_of(actions.back()) == 4 && rule_of_action(actions.back()) == rule::none);
}

Test(admission, runs_deeper_calls_first_and_then_the_oldest)
{
    admission gate(slots_of(1));
    std::vector<admission_action> actions;
    gate.offer(start_time, call_of(1, 100), actions);
    gate.offer(start_time, call_of(2, 100), actions);
    gate.offer(start_time, call_of(3, 100), actions);
    admission_request deep = call_of(4, 100);
    deep.m_depth = 3;
    gate.offer(start_time, deep, actions);
    for (const std::uint64_t ended : {1, 4, 2}) {
        cr_assert(number_of(actions.back()) == ended);
        gate.finish(start_time, {ended}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    }
    cr_assert(number_of(actions.back()) == 3);
}

Test(admission, refuses_what_waited_too_long_at_its_time)
{
    admission gate(slots_of(1));
    std::vector<admission_action> actions;
    gate.offer(start_time, call_of(1, 200), actions);
    gate.offer(start_time, call_of(2, 200), actions);
    gate.offer(start_time, call_of(3, 200, 0, start_time + std::chrono::milliseconds(50)), actions);
    std::map<std::uint64_t, std::pair<rule, instant>> refused;
    actions.clear();
    for (instant now = gate.next_tick(); now < start_time + std::chrono::seconds(1) && refused.size() < 2;
         now = gate.next_tick()) {
        gate.tick(now, actions);
        cr_assert(gate.next_tick() > now);
        for (const admission_action& action : actions) {
            refused[number_of(action)] = {rule_of_action(action), now};
        }
        actions.clear();
    }
    cr_assert(refused[2] == std::pair(rule::queue_timeout, start_time + std::chrono::milliseconds(300)));
    cr_assert(refused[3] == std::pair(rule::deadline_expired, start_time + std::chrono::milliseconds(50)));
}

/** The beginning of a surge at the end of a chain: a queue of half a second, until the entries refuse more.
 */
Test(admission, a_sub_call_waits_until_its_deadline_and_a_whole_request_a_short_time)
{
    admission gate(slots_of(1));
    std::vector<admission_action> actions;
    gate.offer(start_time, call_of(1, 200), actions);
    const instant deadline = start_time + std::chrono::milliseconds(700);
    admission_request deep = call_of(2, 128, 0, deadline);
    deep.m_depth = 3;
    gate.offer(start_time, deep, actions);
    gate.offer(start_time, call_of(3, 200, 0, deadline), actions);
    actions.clear();
    const instant freed = start_time + std::chrono::milliseconds(500);
    for (instant now = gate.next_tick(); now < freed; now = gate.next_tick()) {
        gate.tick(now, actions);
    }
    cr_assert(actions.size() == 1 && number_of(actions[0]) == 3);
    cr_assert(rule_of_action(actions[0]) == rule::queue_timeout);
    gate.finish(freed, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    cr_assert(number_of(actions.back()) == 2 && rule_of_action(actions.back()) == rule::none);
}

Test(admission, refuses_what_cant_finish_until_the_estimate_fades)
{
    admission gate(slots_of(4));
    std::vector<admission_action> actions;
    for (std::uint64_t number = 1; number <= 50; ++number) {
        gate.offer(start_time, call_of(number, 200), actions);
        gate.finish(start_time, {number}, std::chrono::milliseconds(100), run_end::succeeded, actions);
    }
    gate.offer(start_time, call_of(98, 200, 0, start_time + std::chrono::milliseconds(60)), actions);
    cr_assert(rule_of_action(actions.back()) == rule::deadline_expired);
    const instant later = start_time + std::chrono::seconds(2);
    gate.offer(later, call_of(99, 200, 0, later + std::chrono::milliseconds(60)), actions);
    cr_assert(number_of(actions.back()) == 99 && rule_of_action(actions.back()) == rule::none);
}

Test(admission, gives_a_call_that_runs_alone_its_turn)
{
    admission gate(slots_of(4));
    std::vector<admission_action> actions;
    std::uint64_t last = 0;
    std::uint64_t alone = 0;
    instant alone_started = instant::max();
    instant blocked_until{};
    std::multimap<instant, std::uint64_t> ends;
    for (int step = 0; step < 1000; ++step) {
        const instant now = start_time + std::chrono::milliseconds(step);
        while (!ends.empty() && ends.begin()->first <= now) {
            gate.finish(now, {ends.begin()->second}, std::chrono::milliseconds(20), run_end::succeeded,
                        actions);
            ends.erase(ends.begin());
        }
        admission_request request = call_of(++last, 100, 50);
        request.m_exclusive = step == 500;
        alone = request.m_exclusive ? last : alone;
        if (step % 10 == 0) {
            gate.offer(now, request, actions);
        }
        for (const admission_action& action : actions) {
            cr_assert(rule_of_action(action) == rule::none);
            ends.emplace(now + std::chrono::milliseconds(20), number_of(action));
            alone_started = number_of(action) == alone ? now : alone_started;
            blocked_until = blocked_until == instant{} && now > alone_started ? now : blocked_until;
        }
        actions.clear();
    }
    cr_assert(alone_started <= start_time + std::chrono::milliseconds(525));
    cr_assert(blocked_until <= start_time + std::chrono::milliseconds(550));
}

Test(admission, gives_up_a_call_that_cant_run_alone_soon)
{
    admission gate(slots_of(4));
    std::vector<admission_action> actions;
    gate.offer(start_time, call_of(1, 100), actions);
    admission_request alone = call_of(2, 100);
    alone.m_exclusive = true;
    gate.offer(start_time, alone, actions);
    gate.offer(start_time, call_of(3, 100), actions);
    cr_assert(actions.size() == 1);
    gate.tick(start_time + std::chrono::milliseconds(100), actions);
    cr_assert(actions.size() == 2 && number_of(actions.back()) == 3);
    gate.tick(start_time + std::chrono::milliseconds(300), actions);
    cr_assert(actions.size() == 3 && rule_of_action(actions.back()) == rule::suspect_waiting);
}

Test(admission, lowers_by_a_hint_for_a_while_and_never_raises)
{
    admission gate(slots_of(10));
    gate.hint(start_time, 3);
    cr_assert(gate.report(start_time).m_limit == 3);
    gate.hint(start_time, 0);
    cr_assert(gate.report(start_time).m_limit == 2);
    cr_assert(gate.report(start_time + std::chrono::seconds(2)).m_limit == 10);
    gate.hint(start_time, 100);
    cr_assert(gate.report(start_time).m_limit == 10);
}

Test(admission, closes_and_reopens)
{
    admission gate(slots_of(1));
    std::vector<admission_action> actions;
    gate.offer(start_time, call_of(1, 100), actions);
    gate.offer(start_time, call_of(2, 100), actions);
    gate.close(rule::draining, actions);
    gate.offer(start_time, call_of(3, 100), actions);
    cr_assert(actions.size() == 3 && rule_of_action(actions[1]) == rule::draining);
    cr_assert(rule_of_action(actions[2]) == rule::draining && gate.report(start_time).m_in_progress == 1);
    gate.reopen();
    gate.finish(start_time, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    gate.offer(start_time, call_of(4, 100), actions);
    cr_assert(actions.size() == 4 && rule_of_action(actions.back()) == rule::none);
}

Test(admission, sheds_lookups_and_admits_orders_under_overload)
{
    admission gate(slots_of(20));
    std::vector<admission_action> actions;
    random_source random(11);
    std::multimap<instant, std::uint64_t> ends;
    std::map<std::uint64_t, bool> orders;
    int lost_orders = 0;
    int ended = 0;
    int waste = 0;
    int timeouts = 0;
    for (int step = 0; step < 16'000; ++step) {
        const instant now = start_time + std::chrono::microseconds(500) * step;
        const bool settled = step >= 4000 && step < 12'000;
        const int period = step < 12'000 ? 5 : 30;
        for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
            gate.finish(now, {ends.begin()->second}, std::chrono::milliseconds(50), run_end::succeeded,
                        actions);
            ended += settled ? 1 : 0;
        }
        if (step % period < 3) {
            const std::uint64_t number = static_cast<std::uint64_t>(step) + 1;
            orders[number] = random() % 5 == 0;
            const admission_request request =
                call_of(number, orders[number] ? 200 : 100, static_cast<std::uint8_t>(random()));
            const priority before = gate.report(now).m_threshold;
            gate.offer(now, request, actions);
            const bool below = request.m_priority < before && before == gate.report(now).m_threshold;
            const auto shed =
                std::find_if(actions.begin(), actions.end(), [number](const admission_action& action) {
                    return number_of(action) == number && rule_of_action(action) == rule::shed;
                });
            cr_assert(!below || shed != actions.end());
        }
        for (const admission_action& action : actions) {
            const bool started = rule_of_action(action) == rule::none;
            lost_orders += !started && orders[number_of(action)] ? 1 : 0;
            waste += !started && step >= 15'000 ? 1 : 0;
            timeouts += settled && rule_of_action(action) == rule::queue_timeout ? 1 : 0;
            if (started) {
                ends.emplace(now + std::chrono::milliseconds(50), number_of(action));
            }
        }
        actions.clear();
        if (step >= 4000 && step < 12'000) {
            cr_assert(gate.report(now).m_threshold.importance() == 100);
        }
    }
    cr_assert(lost_orders == 0, "%d", lost_orders);
    cr_assert(ended >= 1600 * 95 / 100, "%d", ended);
    cr_assert(waste == 0, "%d", waste);
    cr_assert(timeouts <= 4800 / 200, "%d", timeouts);
}

Test(admission, is_total_over_hostile_numbers)
{
    const double none = std::numeric_limits<double>::quiet_NaN();
    const std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    for (const std::uint32_t slots : {0U, 1U, most}) {
        for (const duration length : {duration::min(), duration::zero(), duration::max()}) {
            admission gate({{slots, slots, length, none}, length, length, slots, none, 0});
            std::vector<admission_action> actions;
            std::uint64_t number = 0;
            for (const instant now : {instant::min(), start_time, instant::max(), start_time}) {
                for (const instant deadline : {instant::min(), now, instant::max()}) {
                    gate.offer(now, {{++number}, {65535}, 255, deadline, number % 2 == 0}, actions);
                    gate.finish(now, {number}, length, static_cast<run_end>(number % 4), actions);
                    gate.tick(now, actions);
                    gate.hint(now, slots);
                }
            }
            gate.configure({{slots, 1, length, -none}, length, length, 0, -1.0, 255});
            gate.close(rule::none, actions);
            cr_assert(actions.size() == number, "%zu", actions.size());
        }
    }
}

/**
 * The load of the korero surge: twice what the target carries, half of it sub-calls of requests that other
 * nodes have admitted. Refusing a sub-call wastes the calls above it, so the threshold must fall on whole
 * requests alone.
 */
Test(admission, under_overload_the_threshold_sheds_whole_requests_and_no_sub_call)
{
    constexpr std::uint32_t slots = 10;
    constexpr duration run_time = std::chrono::milliseconds(20);
    constexpr duration interval = std::chrono::milliseconds(1);
    admission_settings settings = slots_of(slots);
    settings.m_limit.m_floor = slots;
    admission tested(settings);
    std::vector<admission_action> actions;
    std::multimap<instant, attempt_id> ends;
    std::map<attempt_id, bool> is_sub_call;
    random_source random(7);
    std::size_t roots_shed = 0;
    std::size_t sub_calls_shed = 0;
    instant now = start_time;
    for (std::uint64_t number = 1; number <= 4000; ++number) {
        now += interval;
        while (!ends.empty() && ends.begin()->first <= now) {
            tested.finish(now, ends.begin()->second, run_time, run_end::succeeded, actions);
            ends.erase(ends.begin());
        }
        admission_request request = call_of(number, 128, static_cast<std::uint8_t>(random() % 256));
        request.m_depth = number % 2 == 0 ? 3 : 0;
        is_sub_call[request.m_attempt] = request.m_depth > 0;
        tested.offer(now, request, actions);
        tested.tick(now, actions);
        for (const admission_action& action : std::exchange(actions, {})) {
            if (const auto* const started = std::get_if<admission_start>(&action)) {
                ends.emplace(now + run_time, started->m_attempt);
                continue;
            }
            const auto& refused = std::get<admission_refuse>(action);
            if (refused.m_rule == rule::shed) {
                (is_sub_call.at(refused.m_attempt) ? sub_calls_shed : roots_shed) += 1;
            }
        }
    }
    cr_assert(sub_calls_shed == 0, "%zu sub-calls were shed", sub_calls_shed);
    cr_assert(roots_shed > 500, "%zu whole requests were shed", roots_shed);
}
