/** @file policy_limit_test.cpp Tests of the concurrency limit with simulated targets and time. */
#include "policy/limit_base.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <limits>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

constexpr instant start_time{std::chrono::seconds(1000)};
constexpr duration step_duration = std::chrono::milliseconds(5);

/**
 * A fluid model of a target: returns its run time in seconds from the calls in progress and the time in
 * seconds.
 */
using target_model = std::function<double(double running, double time)>;

/** Simulates a concurrency limit in front of a target. */
struct limit_simulation {
    limit_simulation(std::uint32_t slots, target_model model) : m_model(std::move(model))
    {
        limit_settings settings;
        settings.m_slots = slots;
        m_limit.configure(settings);
    }

    /** Runs for @p seconds, at the limit if @p full. @return the mean limit. */
    double run(double seconds, bool full = true)
    {
        double sum = 0.0;
        const int steps = static_cast<int>(seconds / to_seconds(step_duration));
        for (int step = 0; step < steps; ++step) {
            m_time += to_seconds(step_duration);
            const instant now =
                start_time + std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_time));
            const double running = full ? m_limit.value(now) : std::max(m_limit.value(now) * 0.3, 1.0);
            const double run_time = m_model(running, m_time);
            m_completed += running * to_seconds(step_duration) / run_time;
            m_limit.advance(now, static_cast<std::size_t>(running), full);
            for (; m_completed >= 1.0; m_completed -= 1.0) {
                const auto run =
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>(run_time));
                m_limit.record(run, run, run_end::succeeded);
            }
            sum += m_limit.value(now);
        }
        return sum / steps;
    }

    target_model m_model;
    concurrency_limit m_limit{{1, 65536, {}, 2.0}}; ///< The object under test.
    double m_time = 0.0;                            ///< Seconds since the start.
    double m_completed = 0.0;                       ///< Completed runs that are not recorded yet.
};

} // namespace

Test(concurrency_limit, keeps_the_limit_when_all_calls_slow_alike)
{
    for (const std::uint32_t slots : {10U, 35U, 160U}) {
        limit_simulation simulation(slots, [](double, double time) { return time < 5.0 ? 0.02 : 0.08; });
        simulation.run(5.0, false);
        const double mean = simulation.run(20.0);
        cr_assert(mean >= 0.95 * slots, "%u slots: %f", slots, mean);
    }
}

Test(concurrency_limit, cuts_the_limit_under_congestion_and_recovers)
{
    for (const std::uint32_t slots : {10U, 35U, 160U}) {
        const double cores = 0.4 * slots;
        limit_simulation simulation(slots, [cores](double running, double time) {
            const bool congested = time >= 5.0 && time < 15.0;
            const double overload = std::max(running / cores, 1.0);
            return congested ? 0.02 * overload * overload : 0.02;
        });
        simulation.run(5.0, false);
        simulation.run(2.0);
        const double congested_mean = simulation.run(8.0);
        cr_assert(congested_mean <= 1.5 * cores + 1.0, "%u slots: %f", slots, congested_mean);
        simulation.run(3.0);
        const double recovered_mean = simulation.run(5.0);
        cr_assert(recovered_mean >= 0.9 * slots, "%u slots: %f", slots, recovered_mean);
    }
}

Test(concurrency_limit, does_not_drift_up_in_a_long_overload)
{
    limit_simulation simulation(100, [](double running, double) {
        const double overload = std::max(running / 30.0, 1.0);
        return 0.02 * overload * overload;
    });
    simulation.run(10.0);
    for (int minute = 0; minute < 5; ++minute) {
        const double mean = simulation.run(60.0);
        cr_assert(mean <= 45.0, "%f", mean);
    }
}

Test(concurrency_limit, backs_off_after_raises_without_gain)
{
    limit_simulation simulation(100, [](double running, double) {
        const double overload = std::max(running / 30.0, 1.0);
        return 0.02 * overload * overload;
    });
    simulation.run(20.0);
    int raises = 0;
    double last = simulation.run(0.1);
    for (int count = 0; count < 200; ++count) {
        const double next = simulation.run(0.1);
        raises += next > last * 1.2 ? 1 : 0;
        last = next;
    }
    cr_assert(raises <= 10, "%d", raises);
}

Test(concurrency_limit, adapts_to_a_target_that_became_slower)
{
    limit_simulation simulation(50, [](double, double time) { return time < 5.0 ? 0.01 : 0.1; });
    simulation.run(5.0);
    simulation.run(10.0);
    cr_assert(simulation.run(60.0) >= 0.97 * 50);
}

Test(concurrency_limit, cuts_on_refusals_by_the_target)
{
    concurrency_limit limit({2, 100, std::chrono::milliseconds(200), 2.0});
    instant now = start_time;
    double sum = 0.0;
    constexpr int half = 2000;
    for (int step = 0; step < 2 * half; ++step) {
        now += step_duration;
        sum += step >= half ? limit.value(now) : 0.0;
        limit.advance(now, limit.value(now), true);
        limit.record(std::chrono::milliseconds(20), std::chrono::milliseconds(20), run_end::succeeded);
        if (limit.value(now) > 40) {
            limit.record(duration::zero(), duration::zero(), run_end::refused);
        }
    }
    const double mean = sum / half;
    cr_assert(mean >= 30.0 && mean <= 45.0, "%f", mean);
}

Test(concurrency_limit, stays_within_floor_and_slots)
{
    cr_assert(rc::check("the limit stays between floor and slots for extreme settings and times", [] {
        const auto floor = *rc::gen::oneOf(rc::gen::inRange(0U, 4U), rc::gen::arbitrary<std::uint32_t>());
        const auto slots = *rc::gen::arbitrary<std::uint32_t>();
        const double tolerance = *rc::gen::element(0.0, 2.0, std::numeric_limits<double>::quiet_NaN());
        concurrency_limit limit({floor, slots, duration(*rc::gen::arbitrary<std::int64_t>()), tolerance});
        instant clock = start_time;
        const std::uint32_t max_limit = std::clamp(slots, 1U, 65536U);
        for (const auto& [when, run] :
             *rc::gen::arbitrary<std::vector<std::pair<std::int64_t, std::int64_t>>>()) {
            clock += std::chrono::milliseconds(when & 4095);
            const instant now = when % 13 == 0 ? instant(duration(when)) : clock;
            limit.advance(now, static_cast<std::size_t>(run & 255), (run & 1) != 0);
            for (int count = 0; count < 30; ++count) {
                limit.record(duration(run), duration(when), static_cast<run_end>(run & 3));
            }
            if (when % 7 == 0) {
                limit.hint(now, static_cast<std::uint32_t>(run));
            }
            if (when % 5 == 0) {
                limit.configure({floor, slots, duration(run), tolerance});
            }
            RC_ASSERT(limit.value(now) >= std::clamp(floor, 1U, max_limit));
            RC_ASSERT(limit.value(now) <= max_limit);
        }
    }));
}
