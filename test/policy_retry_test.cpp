/** @file policy_retry_test.cpp Tests of the limits on retries. */
#include "policy/policy.h"

#include <criterion/criterion.h>
#include <limits>
#include <numeric>
#include <random>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

constexpr instant start_time{std::chrono::seconds(1000)};

/** A call of a call tree, and the loan that it got. */
struct tree_call {
    retry_tokens m_tokens;        ///< The tokens that its node has.
    std::size_t m_parent = 0;     ///< Index of the calling call.
    std::uint16_t m_loan = 0;     ///< The loan that the caller has not settled yet.
    std::uint16_t m_returned = 0; ///< Tokens returned with the answer.
    bool m_answered = false;      ///< Whether it answered; its tokens were then returned.
};

/** Returns the number of tokens that can still be spent in @p calls. */
unsigned spendable(const std::vector<tree_call>& calls)
{
    return std::accumulate(calls.begin(), calls.end(), 0U, [](unsigned sum, const tree_call& call) {
        return sum + (call.m_answered ? 0U : call.m_tokens.available());
    });
}

} // namespace

Test(retry_tokens, never_grow_over_a_tree)
{
    cr_assert(rc::check("retries and tokens never exceed the grant, with lost and duplicate answers", [] {
        const auto granted = *rc::gen::inRange<std::uint16_t>(0, 40);
        std::vector<tree_call> calls{{retry_tokens(granted), 0, 0, 0, false}};
        unsigned spent = 0;
        for (const std::uint16_t step : *rc::gen::arbitrary<std::vector<std::uint16_t>>()) {
            const std::size_t index = step / 8 % calls.size();
            tree_call& call = calls[index];
            if (step % 8 < 3 && !call.m_answered) {
                const std::uint16_t loan = call.m_tokens.lend();
                calls.push_back({retry_tokens(loan), index, loan, 0, false});
            }
            else if (step % 8 < 5 && !call.m_answered) {
                spent += call.m_tokens.spend() ? 1 : 0;
            }
            else if (index > 0) {
                call.m_returned = call.m_answered ? call.m_returned : call.m_tokens.available();
                call.m_answered = true;
                tree_call& parent = calls[call.m_parent];
                if (step % 8 < 7 && !parent.m_answered) {
                    parent.m_tokens.settle(call.m_returned, call.m_loan);
                }
            }
            RC_ASSERT(spent + spendable(calls) <= granted);
        }
    }));
}

Test(retry_tokens, lend_the_larger_half_and_take_back_at_most_the_loan)
{
    retry_tokens tokens(3);
    std::uint16_t loan = tokens.lend();
    cr_assert(loan == 2 && tokens.available() == 1);
    tokens.settle(std::numeric_limits<std::uint16_t>::max(), loan);
    cr_assert(tokens.available() == 3 && loan == 0);
    tokens.return_tokens(5, 5);
    cr_assert(tokens.available() == 3);
}

Test(retry_budget, bounds_the_sum_over_nodes_in_any_window)
{
    cr_assert(
        rc::check("retries in any 10 s stay within the ratio of the requests around, plus the floors", [] {
            constexpr duration window = std::chrono::seconds(10);
            retry_settings settings;
            settings.m_budget_ratio = *rc::gen::inRange(0, 50) / 100.0;
            settings.m_budget_floor = *rc::gen::inRange(0, 5) / 10.0;
            std::vector<retry_budget> nodes(*rc::gen::inRange<std::size_t>(1, 6), retry_budget(settings));
            std::vector<instant> requests;
            std::vector<instant> spent;
            instant now = start_time;
            for (const std::uint32_t step : *rc::gen::container<std::vector<std::uint32_t>>(
                     800, rc::gen::inRange<std::uint32_t>(0, 1U << 20U))) {
                now += std::chrono::milliseconds(step % 97);
                retry_budget& node = nodes[step / 97 % nodes.size()];
                const priority request_priority{static_cast<std::uint16_t>(step)};
                if (step % 3 != 0) {
                    node.on_request(now, request_priority);
                    requests.push_back(now);
                }
                else if (node.try_spend(now, request_priority)) {
                    spent.push_back(now);
                }
            }
            const auto count = [](const std::vector<instant>& times, instant from, instant to) {
                return static_cast<double>(
                    std::count_if(times.begin(), times.end(),
                                  [from, to](instant time) { return time >= from && time < to; }));
            };
            const double floors =
                settings.m_budget_floor * to_seconds(window) * static_cast<double>(nodes.size());
            for (instant from = start_time - window; from < now; from += std::chrono::milliseconds(500)) {
                const double request_count = count(requests, from - window, from + window);
                RC_ASSERT(count(spent, from, from + window) <=
                          settings.m_budget_ratio * request_count + floors + 1e-6);
            }
        }));
}

Test(retry_budget, counts_retries_that_it_did_not_decide_on)
{
    retry_settings settings;
    settings.m_budget_floor = 0.0;
    retry_budget budget(settings);
    for (int count = 0; count < 100; ++count) {
        budget.on_request(start_time, priority_of(128, 7));
    }
    for (int count = 0; count < 10; ++count) {
        cr_assert(budget.allowance(start_time) >= 10.0);
        budget.charge(start_time);
    }
    cr_assert(!budget.try_spend(start_time, priority_of(255, 255)));
}

/**
 * Targets at the end of a tree of ten calls refuse 55 of 100 calls at random; one in four requests is an
 * order of higher priority. The budget covers the retries of only some of the orders. Spent evenly, it would
 * complete hardly any of them, so it must complete some of them whole.
 */
Test(retry_budget, completes_whole_requests_when_the_budget_is_short)
{
    constexpr unsigned calls = 10;
    constexpr double refused_ratio = 0.55;
    constexpr duration arrival_interval = std::chrono::milliseconds(3);
    retry_settings settings;
    settings.m_budget_ratio = 0.15;
    settings.m_budget_floor = 0.1;
    retry_budget budget(settings);
    random_source random(11);
    std::uniform_real_distribution<double> chance;
    instant now = start_time;
    unsigned completed = 0;
    unsigned retries = 0;
    for (int number = 0; number < 8'000; ++number) {
        now += arrival_interval;
        const bool failing = number >= 4'000;
        const auto cohort = static_cast<std::uint8_t>(random());
        const priority request_priority = priority_of(number % 4 == 0 ? 224 : 160, cohort);
        bool succeeding = true;
        for (unsigned call = 0; call < calls && succeeding; ++call) {
            budget.on_request(now, request_priority);
            while (succeeding && failing && chance(random) < refused_ratio) {
                succeeding = budget.try_spend(now, request_priority);
                retries += succeeding ? 1 : 0;
            }
        }
        completed += failing && succeeding && number % 4 == 0 ? 1 : 0;
    }
    const double retries_per_request = calls * refused_ratio / (1.0 - refused_ratio);
    const double possible = retries / retries_per_request;
    cr_assert(completed >= 0.5 * possible, "%u orders of %.0f that %u retries can carry", completed, possible,
              retries);
}

Test(retry_budget, forgets_old_requests_and_keeps_the_floor)
{
    retry_settings settings;
    retry_budget budget(settings);
    for (int count = 0; count < 1000; ++count) {
        budget.on_request(start_time, priority_of(128, 7));
    }
    cr_assert(budget.allowance(start_time) > 90.0);
    const instant later = start_time + std::chrono::seconds(30);
    cr_assert(budget.allowance(later) < 11.0);
    cr_assert(budget.try_spend(later, priority_of(128, 7)));
}

Test(retry_budget, handles_extreme_settings_and_times)
{
    retry_settings settings;
    settings.m_budget_ratio = std::numeric_limits<double>::quiet_NaN();
    settings.m_budget_floor = std::numeric_limits<double>::infinity();
    retry_budget budget(settings);
    for (const instant now : {instant::max(), instant::min(), start_time}) {
        budget.on_request(now, priority{});
        cr_assert(budget.allowance(now) >= 0.0 && budget.allowance(now) <= 10'010.0);
    }
}

Test(retry_backoff, has_full_jitter_within_its_bound)
{
    cr_assert(rc::check("delays are below twice the base, doubled for each further attempt", [] {
        const retry_settings settings;
        random_source random(*rc::gen::arbitrary<std::uint64_t>());
        const auto attempt = *rc::gen::inRange(1U, 20U);
        const duration bound = std::min(settings.m_base_backoff * (1 << attempt), settings.m_max_backoff);
        duration sum{};
        constexpr int draw_count = 400;
        for (int count = 0; count < draw_count; ++count) {
            const duration backoff = retry_backoff(settings, attempt, random);
            RC_ASSERT(backoff >= duration::zero() && backoff < bound);
            sum += backoff;
        }
        RC_ASSERT(sum / draw_count > bound * 2 / 5 && sum / draw_count < bound * 3 / 5);
    }));
}

Test(retry_backoff, handles_extreme_settings_and_times)
{
    random_source random(1);
    retry_settings settings;
    settings.m_base_backoff = duration::max();
    settings.m_max_backoff = duration::max();
    cr_assert(retry_backoff(settings, std::numeric_limits<unsigned>::max(), random) >= duration::zero());
    settings.m_base_backoff = duration::min();
    cr_assert(retry_backoff(settings, 0, random) == duration::zero());
}
