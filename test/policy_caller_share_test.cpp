/** @file policy_caller_share_test.cpp Tests of rate limits and fair shares of callers. */
#include "policy/policy.h"

#include <criterion/criterion.h>
#include <limits>
#include <rapidcheck.h>
#include <string>

using namespace waxwing;

namespace {

random_source random_draws(5); ///< For the cohorts of requests.

constexpr instant start_time{std::chrono::seconds(1000)};
const caller_name known_caller{"club"};

} // namespace

Test(caller_shares, admits_at_most_the_exact_bound_in_any_interval)
{
    cr_assert(rc::check("at most floor((t + tau) / T) + 1 in any interval, also where the clock jumps", [] {
        const std::int64_t period = *rc::gen::inRange<std::int64_t>(1, 50) * 1'000'000;
        const int burst = *rc::gen::inRange(1, 6);
        share_settings settings;
        settings.m_rate = 1.0e9 / static_cast<double>(period);
        settings.m_burst = burst;
        caller_shares shares({}, 1);
        shares.put(known_caller, settings);
        instant now = start_time;
        std::vector<std::int64_t> admitted;
        std::int64_t latest = std::numeric_limits<std::int64_t>::min();
        for (const std::int8_t step : *rc::gen::arbitrary<std::vector<std::int8_t>>()) {
            now += std::chrono::milliseconds(step);
            latest = std::max(latest, (now - start_time).count());
            const share_decision decision = shares.decide(now, known_caller, random_draws);
            RC_ASSERT(decision.m_admitted == (decision.m_retry_after == duration::zero()));
            if (decision.m_admitted) {
                admitted.push_back(latest);
            }
        }
        const std::int64_t slack = period * (burst - 1);
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            for (std::size_t last = first; last < admitted.size(); ++last) {
                const std::int64_t max_admitted = (admitted[last] - admitted[first] + slack) / period + 1;
                RC_ASSERT(static_cast<std::int64_t>(last - first) + 1 <= max_admitted);
            }
        }
    }));
}

Test(caller_shares, admit_again_after_the_hint)
{
    caller_shares shares({}, 1);
    shares.put(known_caller, {10.0, 2.0, 1.0});
    cr_assert(shares.decide(start_time, known_caller, random_draws).m_admitted);
    cr_assert(shares.decide(start_time, known_caller, random_draws).m_admitted);
    const share_decision refused = shares.decide(start_time, known_caller, random_draws);
    cr_assert(!refused.m_admitted);
    cr_assert(!shares.decide(start_time + refused.m_retry_after - duration(1), known_caller, random_draws)
                   .m_admitted);
    cr_assert(shares.decide(start_time + refused.m_retry_after, known_caller, random_draws).m_admitted);
}

Test(caller_shares, limit_unknown_callers_by_shared_buckets)
{
    caller_shares shares({1.0, 2.0, 1.0}, 42);
    std::size_t admitted = 0;
    for (int count = 0; count < 100'000; ++count) {
        admitted +=
            shares.decide(start_time, {"invented" + std::to_string(count)}, random_draws).m_admitted ? 1 : 0;
    }
    cr_assert(admitted == 2 * unknown_caller_buckets, "%zu", admitted);
}

Test(caller_shares, choose_buckets_by_the_salt)
{
    caller_shares one({1.0, 1.0, 1.0}, 1);
    caller_shares two({1.0, 1.0, 1.0}, 2);
    int differ = 0;
    for (int count = 0; count < 1000; ++count) {
        const caller_name name{std::to_string(count)};
        differ += one.decide(start_time, name, random_draws).m_admitted !=
                  two.decide(start_time, name, random_draws).m_admitted;
    }
    cr_assert(differ > 0);
}

/**
 * Returns how many requests of each caller pass, in each millisecond step, if cohorts below @p threshold are
 * shed. @p callers are pairs of requests in each step and weight.
 */
static std::vector<double> admitted_rates(const std::vector<std::pair<int, double>>& callers,
                                          std::uint8_t threshold)
{
    random_source random(7);
    caller_shares shares({}, 1);
    std::vector<double> passed(callers.size());
    for (std::size_t caller = 0; caller < callers.size(); ++caller) {
        shares.put({std::to_string(caller)}, {1e6, 1e6, callers[caller].second});
    }
    constexpr int steps = 20'000;
    for (int step = 0; step < steps; ++step) {
        const instant now = start_time + step * std::chrono::milliseconds(1);
        for (std::size_t caller = 0; caller < callers.size(); ++caller) {
            for (int count = 0; count < callers[caller].first; ++count) {
                const share_decision decision = shares.decide(now, {std::to_string(caller)}, random);
                passed[caller] += decision.m_cohort >= threshold ? 1.0 / steps : 0.0;
            }
        }
    }
    return passed;
}

Test(caller_shares, shed_the_excess_of_a_flooding_caller_first)
{
    const std::vector<double> passed = admitted_rates({{9, 1.0}, {1, 1.0}}, 200);
    cr_assert(passed[1] > 0.9, "the quiet caller got %f of 1", passed[1]);
    cr_assert(passed[0] > 0.9 && passed[0] < 1.6, "the flooding caller got %f", passed[0]);
}

Test(caller_shares, share_capacity_by_weight_under_overload)
{
    const std::vector<double> passed = admitted_rates({{6, 3.0}, {6, 1.0}}, 192);
    cr_assert(passed[0] > 2.0 * passed[1] && passed[0] < 4.0 * passed[1], "%f and %f", passed[0], passed[1]);
}

Test(caller_shares, spread_one_caller_evenly_over_the_cohorts)
{
    const std::vector<double> passed = admitted_rates({{4, 1.0}}, 64);
    cr_assert(passed[0] > 2.7 && passed[0] < 3.3, "%f of 4 passed a threshold of a quarter", passed[0]);
}

Test(caller_shares, handle_extreme_settings_and_times)
{
    const double not_a_number = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    for (const double value : {not_a_number, infinity, -infinity, 0.0, -1.0}) {
        caller_shares shares({value, value, value}, 0);
        shares.put(known_caller, {value, value, value});
        for (const instant now : {start_time, instant::min(), instant::max()}) {
            shares.decide(now, known_caller, random_draws);
            cr_assert(shares.decide(now, {""}, random_draws).m_retry_after >= duration::zero());
        }
        shares.remove(known_caller);
        shares.remove(known_caller);
    }
}
