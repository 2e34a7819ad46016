/** @file policy_caller_share_test.cpp Tests of the shares of callers. */
#include "policy/policy.h"

#include <criterion/criterion.h>
#include <limits>
#include <rapidcheck.h>
#include <string>

using namespace waxwing;

namespace {

random_source draws(5); ///< For the places of requests.

constexpr instant start_time{std::chrono::seconds(1000)};
const caller_name known{"club"};

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
        shares.put(known, settings);
        instant now = start_time;
        std::vector<std::int64_t> admitted;
        std::int64_t latest = std::numeric_limits<std::int64_t>::min();
        for (const std::int8_t step : *rc::gen::arbitrary<std::vector<std::int8_t>>()) {
            now += std::chrono::milliseconds(step);
            latest = std::max(latest, (now - start_time).count());
            const share_decision decision = shares.decide(now, known, draws);
            RC_ASSERT(decision.m_admitted == (decision.m_retry_after == duration::zero()));
            if (decision.m_admitted) {
                admitted.push_back(latest);
            }
        }
        const std::int64_t slack = period * (burst - 1);
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            for (std::size_t last = first; last < admitted.size(); ++last) {
                const std::int64_t most = (admitted[last] - admitted[first] + slack) / period + 1;
                RC_ASSERT(static_cast<std::int64_t>(last - first) + 1 <= most);
            }
        }
    }));
}

Test(caller_shares, admit_again_after_the_hint)
{
    caller_shares shares({}, 1);
    shares.put(known, {10.0, 2.0, 1.0});
    cr_assert(shares.decide(start_time, known, draws).m_admitted);
    cr_assert(shares.decide(start_time, known, draws).m_admitted);
    const share_decision refused = shares.decide(start_time, known, draws);
    cr_assert(!refused.m_admitted);
    cr_assert(!shares.decide(start_time + refused.m_retry_after - duration(1), known, draws).m_admitted);
    cr_assert(shares.decide(start_time + refused.m_retry_after, known, draws).m_admitted);
}

Test(caller_shares, bound_invented_names_together)
{
    caller_shares shares({1.0, 2.0, 1.0}, 42);
    std::size_t admitted = 0;
    for (int count = 0; count < 100'000; ++count) {
        admitted += shares.decide(start_time, {"invented" + std::to_string(count)}, draws).m_admitted ? 1 : 0;
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
        differ +=
            one.decide(start_time, name, draws).m_admitted != two.decide(start_time, name, draws).m_admitted;
    }
    cr_assert(differ > 0);
}

/** What callers get where all below @p threshold is shed: the share of @p rates that passes, a second. */
static std::vector<double> shared_out(const std::vector<std::pair<int, double>>& callers,
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

Test(caller_shares, shed_what_a_flood_asks_above_the_others_first)
{
    const std::vector<double> passed = shared_out({{9, 1.0}, {1, 1.0}}, 200);
    cr_assert(passed[1] > 0.9, "the quiet caller got %f of 1", passed[1]);
    cr_assert(passed[0] > 0.9 && passed[0] < 1.6, "the flood got %f", passed[0]);
}

Test(caller_shares, give_by_weight_where_all_ask_too_much)
{
    const std::vector<double> passed = shared_out({{6, 3.0}, {6, 1.0}}, 192);
    cr_assert(passed[0] > 2.0 * passed[1] && passed[0] < 4.0 * passed[1], "%f and %f", passed[0], passed[1]);
}

Test(caller_shares, spread_one_caller_evenly_over_the_cohorts)
{
    const std::vector<double> passed = shared_out({{4, 1.0}}, 64);
    cr_assert(passed[0] > 2.7 && passed[0] < 3.3, "%f of 4 passed a threshold of a quarter", passed[0]);
}

Test(caller_shares, are_total_over_hostile_numbers)
{
    const double none = std::numeric_limits<double>::quiet_NaN();
    const double most = std::numeric_limits<double>::infinity();
    for (const double value : {none, most, -most, 0.0, -1.0}) {
        caller_shares shares({value, value, value}, 0);
        shares.put(known, {value, value, value});
        for (const instant now : {start_time, instant::min(), instant::max()}) {
            shares.decide(now, known, draws);
            cr_assert(shares.decide(now, {""}, draws).m_retry_after >= duration::zero());
        }
        shares.remove(known);
        shares.remove(known);
    }
}
