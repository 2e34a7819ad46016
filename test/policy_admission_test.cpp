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

/** Feeds an admission and tracks the state of each call. */
struct admission_tracker {
    explicit admission_tracker(const admission_settings& settings) : m_admission(settings) {}

    /** Returns whether starting @p attempt respects importance and exclusive runs. */
    bool may_start(attempt_id attempt)
    {
        const admission_request& request = m_waiting.at(attempt);
        for (const auto& [other, waiting] : m_waiting) {
            if (!waiting.m_exclusive && waiting.m_priority.importance() > request.m_priority.importance()) {
                return false;
            }
        }
        const bool exclusive_running = m_last_exclusive && m_running.count(*m_last_exclusive) == 1;
        m_last_exclusive = request.m_exclusive ? std::optional(attempt) : std::nullopt;
        return !exclusive_running && (!request.m_exclusive || m_running.empty());
    }

    /**
     * Applies the pending actions to the tracked calls. @return false if an action concerns a call that is
     * not waiting, or starts one out of order.
     */
    bool apply_actions()
    {
        bool valid = true;
        for (const admission_action& action : m_actions) {
            if (const auto* started = std::get_if<admission_start>(&action)) {
                valid = valid && m_waiting.count(started->m_attempt) == 1 && may_start(started->m_attempt);
                m_waiting.erase(started->m_attempt);
                m_running.insert(started->m_attempt);
            }
            else {
                valid = valid && m_waiting.erase(std::get<admission_refuse>(action).m_attempt) == 1;
            }
        }
        m_actions.clear();
        return valid;
    }

    admission m_admission;                             ///< The object under test.
    std::vector<admission_action> m_actions;           ///< Actions not applied yet.
    std::map<attempt_id, admission_request> m_waiting; ///< Calls offered and neither started nor refused.
    std::optional<attempt_id> m_last_exclusive;        ///< The call started last, if it is exclusive.
    std::set<attempt_id> m_running;                    ///< Calls started and not finished.
};

/** Returns a request with the attempt @p number. */
admission_request make_request(std::uint64_t number, std::uint8_t importance, std::uint8_t cohort = 0,
                               instant deadline = start_time + std::chrono::hours(1))
{
    return {{number}, {static_cast<std::uint16_t>(importance * 256 + cohort)}, 0, deadline, false};
}

/** Returns settings with @p slots. */
admission_settings make_settings(std::uint32_t slots)
{
    admission_settings settings;
    settings.m_limit.m_slots = slots;
    return settings;
}

/** Returns the rule by which @p action refuses a call; none if it starts one. */
rule refusal_rule(const admission_action& action)
{
    const auto* refused = std::get_if<admission_refuse>(&action);
    return refused == nullptr ? rule::none : refused->m_rule;
}

/** Returns the attempt that @p action concerns. */
std::uint64_t attempt_number(const admission_action& action)
{
    return std::visit([](const auto& decision) { return decision.m_attempt.m_value; }, action);
}

} // namespace

Test(admission, each_call_gets_one_answer)
{
    cr_assert(rc::check("each offered call is started, refused or cancelled, once", [] {
        admission_settings settings;
        settings.m_limit.m_slots = *rc::gen::inRange(0U, 12U);
        settings.m_queue_capacity = *rc::gen::inRange(0U, 12U);
        admission_tracker tracker(settings);
        instant now = start_time;
        std::uint64_t last_number = 0;
        const auto steps =
            *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
        for (const std::uint16_t step : steps) {
            now += std::chrono::milliseconds(step % 32);
            const attempt_id attempt{last_number == 0 ? 0 : step % last_number + 1};
            switch (step / 32 % 8) {
            case 0:
                RC_ASSERT(tracker.m_admission.cancel(attempt) == (tracker.m_waiting.erase(attempt) == 1));
                break;
            case 1:
                tracker.m_admission.tick(now, tracker.m_actions);
                RC_ASSERT(tracker.m_admission.next_tick() > now);
                break;
            case 2:
            case 3:
            case 4:
                tracker.m_admission.finish(now, attempt, std::chrono::milliseconds(step % 32),
                                           run_end::succeeded, tracker.m_actions);
                tracker.m_running.erase(attempt);
                break;
            default:
                const admission_request request{{++last_number},
                                                {step},
                                                static_cast<std::uint8_t>(step % 5),
                                                now + std::chrono::milliseconds(step % 500),
                                                step % 17 == 0};
                tracker.m_waiting.emplace(request.m_attempt, request);
                tracker.m_admission.offer(now, request, tracker.m_actions);
            }
            RC_ASSERT(tracker.apply_actions());
            const load_report report = tracker.m_admission.report(now);
            RC_ASSERT(report.m_in_progress == tracker.m_running.size());
            RC_ASSERT(report.m_queued == tracker.m_waiting.size());
            RC_ASSERT(tracker.m_running.size() <= std::max(1U, settings.m_limit.m_slots));
            RC_ASSERT(tracker.m_waiting.size() <= settings.m_queue_capacity);
        }
        tracker.m_admission.close(rule::draining, tracker.m_actions);
        RC_ASSERT(tracker.apply_actions());
        RC_ASSERT(tracker.m_waiting.empty());
    }));
}

Test(admission, leaves_headroom_to_important_calls)
{
    admission control(make_settings(10));
    std::vector<admission_action> actions;
    for (std::uint64_t number = 1; number <= 12; ++number) {
        control.offer(start_time, make_request(number, 100), actions);
    }
    cr_assert(actions.size() == 9 && control.report(start_time).m_queued == 3);
    control.offer(start_time, make_request(13, 192), actions);
    cr_assert(actions.size() == 10 && attempt_number(actions.back()) == 13);
    control.offer(start_time, make_request(14, 255), actions);
    cr_assert(actions.size() == 10);
    control.finish(start_time, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    cr_assert(actions.size() == 11 && attempt_number(actions.back()) == 14);
}

Test(admission, evicts_the_lowest_priority_when_the_queue_is_full)
{
    admission_settings settings = make_settings(1);
    settings.m_queue_capacity = 2;
    admission control(settings);
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 200), actions);
    control.offer(start_time, make_request(2, 100, 7), actions);
    control.offer(start_time, make_request(3, 100, 5), actions);
    control.offer(start_time, make_request(4, 200), actions);
    cr_assert(attempt_number(actions.back()) == 3 && refusal_rule(actions.back()) == rule::overloaded);
    control.offer(start_time, make_request(5, 100, 6), actions);
    cr_assert(attempt_number(actions.back()) == 5 && refusal_rule(actions.back()) == rule::overloaded);
    control.finish(start_time, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    cr_assert(attempt_number(actions.back()) == 4 && refusal_rule(actions.back()) == rule::none);
}

Test(admission, starts_deeper_calls_first_and_then_the_oldest)
{
    admission control(make_settings(1));
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 100), actions);
    control.offer(start_time, make_request(2, 100), actions);
    control.offer(start_time, make_request(3, 100), actions);
    admission_request sub_call = make_request(4, 100);
    sub_call.m_depth = 3;
    control.offer(start_time, sub_call, actions);
    for (const std::uint64_t ended : {1, 4, 2}) {
        cr_assert(attempt_number(actions.back()) == ended);
        control.finish(start_time, {ended}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    }
    cr_assert(attempt_number(actions.back()) == 3);
}

Test(admission, refuses_waiting_calls_at_their_expiry)
{
    admission control(make_settings(1));
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 200), actions);
    control.offer(start_time, make_request(2, 200), actions);
    control.offer(start_time, make_request(3, 200, 0, start_time + std::chrono::milliseconds(50)), actions);
    std::map<std::uint64_t, std::pair<rule, instant>> refused;
    actions.clear();
    for (instant now = control.next_tick(); now < start_time + std::chrono::seconds(1) && refused.size() < 2;
         now = control.next_tick()) {
        control.tick(now, actions);
        cr_assert(control.next_tick() > now);
        for (const admission_action& action : actions) {
            refused[attempt_number(action)] = {refusal_rule(action), now};
        }
        actions.clear();
    }
    cr_assert(refused[2] == std::pair(rule::queue_timeout, start_time + std::chrono::milliseconds(300)));
    cr_assert(refused[3] == std::pair(rule::deadline_expired, start_time + std::chrono::milliseconds(50)));
}

/**
 * At the start of a surge, the queue at the end of a call chain grows to half a second, until the entries
 * refuse more. Sub-calls that can still end by their deadline must not be refused meanwhile.
 */
Test(admission, a_sub_call_waits_while_it_can_end_in_time_and_a_whole_request_a_short_time)
{
    admission control(make_settings(1));
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 200), actions);
    const instant deadline = start_time + std::chrono::milliseconds(700);
    admission_request sub_call = make_request(2, 128, 0, deadline);
    sub_call.m_depth = 3;
    control.offer(start_time, sub_call, actions);
    control.offer(start_time, make_request(3, 200, 0, deadline), actions);
    actions.clear();
    const instant slot_freed_at = start_time + std::chrono::milliseconds(500);
    for (instant now = control.next_tick(); now < slot_freed_at; now = control.next_tick()) {
        control.tick(now, actions);
    }
    cr_assert(actions.size() == 1 && attempt_number(actions[0]) == 3);
    cr_assert(refusal_rule(actions[0]) == rule::queue_timeout);
    control.finish(slot_freed_at, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    cr_assert(attempt_number(actions.back()) == 2 && refusal_rule(actions.back()) == rule::none);
}

Test(admission, refuses_calls_that_cannot_finish_until_the_estimate_decays)
{
    admission control(make_settings(4));
    std::vector<admission_action> actions;
    for (std::uint64_t number = 1; number <= 50; ++number) {
        control.offer(start_time, make_request(number, 200), actions);
        control.finish(start_time, {number}, std::chrono::milliseconds(100), run_end::succeeded, actions);
    }
    control.offer(start_time, make_request(98, 200, 0, start_time + std::chrono::milliseconds(60)), actions);
    cr_assert(refusal_rule(actions.back()) == rule::deadline_expired);
    const instant later = start_time + std::chrono::seconds(2);
    control.offer(later, make_request(99, 200, 0, later + std::chrono::milliseconds(60)), actions);
    cr_assert(attempt_number(actions.back()) == 99 && refusal_rule(actions.back()) == rule::none);
}

Test(admission, starts_an_exclusive_call_within_a_bounded_time)
{
    admission control(make_settings(4));
    std::vector<admission_action> actions;
    std::uint64_t last_number = 0;
    std::uint64_t exclusive_number = 0;
    instant exclusive_started_at = instant::max();
    instant blocked_until{};
    std::multimap<instant, std::uint64_t> ends;
    for (int step = 0; step < 1000; ++step) {
        const instant now = start_time + std::chrono::milliseconds(step);
        while (!ends.empty() && ends.begin()->first <= now) {
            control.finish(now, {ends.begin()->second}, std::chrono::milliseconds(20), run_end::succeeded,
                           actions);
            ends.erase(ends.begin());
        }
        admission_request request = make_request(++last_number, 100, 50);
        request.m_exclusive = step == 500;
        exclusive_number = request.m_exclusive ? last_number : exclusive_number;
        if (step % 10 == 0) {
            control.offer(now, request, actions);
        }
        for (const admission_action& action : actions) {
            cr_assert(refusal_rule(action) == rule::none);
            ends.emplace(now + std::chrono::milliseconds(20), attempt_number(action));
            exclusive_started_at = attempt_number(action) == exclusive_number ? now : exclusive_started_at;
            blocked_until = blocked_until == instant{} && now > exclusive_started_at ? now : blocked_until;
        }
        actions.clear();
    }
    cr_assert(exclusive_started_at <= start_time + std::chrono::milliseconds(525));
    cr_assert(blocked_until <= start_time + std::chrono::milliseconds(550));
}

Test(admission, refuses_an_exclusive_call_that_waits_too_long)
{
    admission control(make_settings(4));
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 100), actions);
    admission_request exclusive = make_request(2, 100);
    exclusive.m_exclusive = true;
    control.offer(start_time, exclusive, actions);
    control.offer(start_time, make_request(3, 100), actions);
    cr_assert(actions.size() == 1);
    control.tick(start_time + std::chrono::milliseconds(100), actions);
    cr_assert(actions.size() == 2 && attempt_number(actions.back()) == 3);
    control.tick(start_time + std::chrono::milliseconds(300), actions);
    cr_assert(actions.size() == 3 && refusal_rule(actions.back()) == rule::suspect_waiting);
}

Test(admission, hint_lowers_the_limit_temporarily)
{
    admission control(make_settings(10));
    control.hint(start_time, 3);
    cr_assert(control.report(start_time).m_limit == 3);
    control.hint(start_time, 0);
    cr_assert(control.report(start_time).m_limit == 2);
    cr_assert(control.report(start_time + std::chrono::seconds(2)).m_limit == 10);
    control.hint(start_time, 100);
    cr_assert(control.report(start_time).m_limit == 10);
}

Test(admission, closes_and_reopens)
{
    admission control(make_settings(1));
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 100), actions);
    control.offer(start_time, make_request(2, 100), actions);
    control.close(rule::draining, actions);
    control.offer(start_time, make_request(3, 100), actions);
    cr_assert(actions.size() == 3 && refusal_rule(actions[1]) == rule::draining);
    cr_assert(refusal_rule(actions[2]) == rule::draining && control.report(start_time).m_in_progress == 1);
    control.reopen();
    control.finish(start_time, {1}, std::chrono::milliseconds(1), run_end::succeeded, actions);
    control.offer(start_time, make_request(4, 100), actions);
    cr_assert(actions.size() == 4 && refusal_rule(actions.back()) == rule::none);
}

Test(admission, sheds_lookups_and_admits_orders_under_overload)
{
    admission control(make_settings(20));
    std::vector<admission_action> actions;
    random_source random(11);
    std::multimap<instant, std::uint64_t> ends;
    std::map<std::uint64_t, bool> orders;
    int lost_orders = 0;
    int ended = 0;
    int late_refusals = 0;
    int timeouts = 0;
    for (int step = 0; step < 16'000; ++step) {
        const instant now = start_time + std::chrono::microseconds(500) * step;
        const bool steady = step >= 4000 && step < 12'000;
        const int period = step < 12'000 ? 5 : 30;
        for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
            control.finish(now, {ends.begin()->second}, std::chrono::milliseconds(50), run_end::succeeded,
                           actions);
            ended += steady ? 1 : 0;
        }
        if (step % period < 3) {
            const std::uint64_t number = static_cast<std::uint64_t>(step) + 1;
            orders[number] = random() % 5 == 0;
            const admission_request request =
                make_request(number, orders[number] ? 200 : 100, static_cast<std::uint8_t>(random()));
            const priority before = control.report(now).m_threshold;
            control.offer(now, request, actions);
            const bool below = request.m_priority < before && before == control.report(now).m_threshold;
            const auto shed =
                std::find_if(actions.begin(), actions.end(), [number](const admission_action& action) {
                    return attempt_number(action) == number && refusal_rule(action) == rule::shed;
                });
            cr_assert(!below || shed != actions.end());
        }
        for (const admission_action& action : actions) {
            const bool started = refusal_rule(action) == rule::none;
            lost_orders += !started && orders[attempt_number(action)] ? 1 : 0;
            late_refusals += !started && step >= 15'000 ? 1 : 0;
            timeouts += steady && refusal_rule(action) == rule::queue_timeout ? 1 : 0;
            if (started) {
                ends.emplace(now + std::chrono::milliseconds(50), attempt_number(action));
            }
        }
        actions.clear();
        if (step >= 4000 && step < 12'000) {
            cr_assert(control.report(now).m_threshold.importance() == 100);
        }
    }
    cr_assert(lost_orders == 0, "%d", lost_orders);
    cr_assert(ended >= 1600 * 95 / 100, "%d", ended);
    cr_assert(late_refusals == 0, "%d", late_refusals);
    cr_assert(timeouts <= 4800 / 200, "%d", timeouts);
}

Test(admission, handles_extreme_settings_and_times)
{
    const double not_a_number = std::numeric_limits<double>::quiet_NaN();
    const std::uint32_t max_count = std::numeric_limits<std::uint32_t>::max();
    for (const std::uint32_t slots : {0U, 1U, max_count}) {
        for (const duration length : {duration::min(), duration::zero(), duration::max()}) {
            admission control({{slots, slots, length, not_a_number}, length, length, slots, not_a_number, 0});
            std::vector<admission_action> actions;
            std::uint64_t number = 0;
            for (const instant now : {instant::min(), start_time, instant::max(), start_time}) {
                for (const instant deadline : {instant::min(), now, instant::max()}) {
                    control.offer(now, {{++number}, {65535}, 255, deadline, number % 2 == 0}, actions);
                    control.finish(now, {number}, length, static_cast<run_end>(number % 4), actions);
                    control.tick(now, actions);
                    control.hint(now, slots);
                }
            }
            control.configure({{slots, 1, length, -not_a_number}, length, length, 0, -1.0, 255});
            control.close(rule::none, actions);
            cr_assert(actions.size() == number, "%zu", actions.size());
        }
    }
}

/**
 * The load of the korero surge: twice the capacity of the target, half of it sub-calls of requests that other
 * nodes have admitted. Refusing a sub-call wastes the calls above it, so the threshold must shed whole
 * requests only.
 */
Test(admission, under_overload_the_threshold_sheds_whole_requests_and_no_sub_call)
{
    constexpr std::uint32_t slots = 10;
    constexpr duration run_time = std::chrono::milliseconds(20);
    constexpr duration arrival_interval = std::chrono::milliseconds(1);
    admission_settings settings = make_settings(slots);
    settings.m_limit.m_floor = slots;
    admission control(settings);
    std::vector<admission_action> actions;
    std::multimap<instant, attempt_id> ends;
    std::map<attempt_id, bool> is_sub_call;
    random_source random(7);
    std::size_t roots_shed = 0;
    std::size_t sub_calls_shed = 0;
    instant now = start_time;
    for (std::uint64_t number = 1; number <= 4000; ++number) {
        now += arrival_interval;
        while (!ends.empty() && ends.begin()->first <= now) {
            control.finish(now, ends.begin()->second, run_time, run_end::succeeded, actions);
            ends.erase(ends.begin());
        }
        admission_request request = make_request(number, 128, static_cast<std::uint8_t>(random() % 256));
        request.m_depth = number % 2 == 0 ? 3 : 0;
        is_sub_call[request.m_attempt] = request.m_depth > 0;
        control.offer(now, request, actions);
        control.tick(now, actions);
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

/** A target whose own call times out answers at once. A refusal at that moment comes too late to tell it why.
 */
Test(admission, a_sub_call_is_refused_before_its_caller_times_out)
{
    admission control(make_settings(1));
    std::vector<admission_action> actions;
    control.offer(start_time, make_request(1, 200), actions);
    const instant deadline = start_time + std::chrono::milliseconds(700);
    admission_request sub_call = make_request(2, 128, 0, deadline);
    sub_call.m_depth = 3;
    control.offer(start_time, sub_call, actions);
    actions.clear();
    const instant answered_by = deadline - std::chrono::milliseconds(10);
    for (instant now = control.next_tick(); now <= answered_by; now = control.next_tick()) {
        control.tick(now, actions);
    }
    cr_assert(actions.size() == 1 && attempt_number(actions[0]) == 2);
}

/** A target fails nearly half of its runs while its health check passes; half a minute later it is sound
 * again. */
Test(admission, a_target_that_fails_reports_a_lower_limit_until_it_recovers)
{
    admission control(make_settings(20));
    std::vector<admission_action> actions;
    instant now = start_time;
    std::uint64_t attempt = 0;
    const auto run = [&](bool failed) {
        now += std::chrono::milliseconds(10);
        control.offer(now, make_request(++attempt, 200), actions);
        control.finish(now, {attempt}, std::chrono::milliseconds(1),
                       failed ? run_end::failed : run_end::succeeded, actions);
    };
    for (int count = 0; count < 200; ++count) {
        run(count % 200 == 7);
    }
    cr_assert(control.report(now).m_limit >= 18, "one failure in two hundred is no grey failure");
    for (int count = 0; count < 100; ++count) {
        run(count % 9 < 4);
    }
    cr_assert(control.report(now).m_limit <= 5);
    for (int count = 0; count < 100; ++count) {
        run(false);
    }
    cr_assert(control.report(now).m_limit >= 18);
    for (int count = 0; count < 100; ++count) {
        run(true);
    }
    cr_assert(control.report(now).m_limit == 1);
    now += std::chrono::seconds(6);
    cr_assert(control.report(now).m_limit > 10, "a target that gets no calls is tried again");
}

namespace {

/** Offers @p offers_per_second calls, each of which runs for 90 ms, for ten seconds. @return the starts. */
std::vector<instant> starts_of(admission& control, std::uint64_t offers_per_second)
{
    constexpr duration run_time = std::chrono::milliseconds(90);
    std::vector<admission_action> actions;
    std::multimap<instant, attempt_id> ends;
    std::vector<instant> starts;
    std::uint64_t attempt = 0;
    for (instant now = start_time; now < start_time + std::chrono::seconds(10);
         now += std::chrono::milliseconds(1)) {
        for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
            control.finish(now, ends.begin()->second, run_time, run_end::succeeded, actions);
        }
        const auto milliseconds = static_cast<std::uint64_t>(to_milliseconds(now - start_time));
        while (attempt * 1000 < offers_per_second * milliseconds) {
            ++attempt;
            control.offer(now, make_request(attempt, 128, static_cast<std::uint8_t>(attempt * 37)), actions);
        }
        if (control.next_tick() <= now) {
            control.tick(now, actions);
        }
        for (const admission_action& action : std::exchange(actions, {})) {
            if (const auto* const started = std::get_if<admission_start>(&action)) {
                starts.push_back(now);
                ends.emplace(now + run_time, started->m_attempt);
            }
        }
    }
    return starts;
}

/** Returns the greatest number of @p starts in four seconds. */
std::size_t most_in_four_seconds(const std::vector<instant>& starts)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last) {
        for (; starts[last] - starts[first] >= std::chrono::seconds(4); ++first) {
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

/** A target with 139 slots names 33.2 calls a second and is sent 200. */
Test(admission, a_target_gets_no_more_calls_than_the_rate_that_it_names)
{
    admission control(make_settings(139));
    std::vector<admission_action> actions;
    control.limit_starts(start_time, 33.2, actions);
    const std::vector<instant> starts = starts_of(control, 200);
    cr_assert(most_in_four_seconds(starts) <= 204, "33.2 a second, by one and a half, and 5");
    cr_assert(starts.size() >= 300, "%zu starts do not use the rate", starts.size());
}

/** Peers must not send a limited target what its slots could hold. */
Test(admission, a_target_that_names_a_rate_reports_the_calls_that_it_can_hold_at_that_rate)
{
    admission control(make_settings(139));
    std::vector<admission_action> actions;
    control.limit_starts(start_time, 40.0, actions);
    starts_of(control, 100);
    const instant now = start_time + std::chrono::seconds(10);
    cr_assert(control.report(now).m_limit <= 5);
    control.limit_starts(now, std::nullopt, actions);
    cr_assert(control.report(now).m_limit > 100);
}

/** Only an answer of the target can lift its limit, so it must get a call now and then. */
Test(admission, a_target_that_takes_no_calls_is_asked_again)
{
    admission control(make_settings(139));
    std::vector<admission_action> actions;
    control.limit_starts(start_time, 0.0, actions);
    const std::vector<instant> starts = starts_of(control, 20);
    cr_assert(starts.size() >= 4 && most_in_four_seconds(starts) <= 5);
}

Test(admission, calls_start_at_once_when_the_target_no_longer_names_a_rate)
{
    admission control(make_settings(139));
    std::vector<admission_action> actions;
    control.limit_starts(start_time, 10.0, actions);
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt) {
        control.offer(start_time, make_request(attempt, 200), actions);
    }
    actions.clear();
    control.limit_starts(start_time + std::chrono::milliseconds(1), std::nullopt, actions);
    cr_assert(actions.size() >= 2 && control.report(start_time).m_queued == 0);
}

/** What can't start within the longest time in queue may find room at another target. */
Test(admission, calls_beyond_the_rate_of_a_target_are_sent_elsewhere_at_once)
{
    admission control(make_settings(139));
    std::vector<admission_action> actions;
    control.limit_starts(start_time, 10.0, actions);
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
        control.offer(start_time, make_request(attempt, 200), actions);
    }
    const auto refused = std::count_if(actions.begin(), actions.end(), [](const admission_action& action) {
        return refusal_rule(action) == rule::overloaded;
    });
    cr_assert(refused >= 5, "%td of 10 calls were refused", refused);
}
