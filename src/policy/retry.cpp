/** @file retry.cpp Limits on retries. */
#include "policy/retry_base.h"

#include "policy/number_func.h"

#include <utility>

namespace waxwing {

namespace {

constexpr double max_floor = 1'000.0;       ///< Highest floor, in retries a second.
constexpr double min_allowance_ratio = 0.1; ///< Ratio of the allowance that the lowest priority may use.
constexpr unsigned rank_bits = 4;      ///< Priorities that differ only in this many low bits share a rank.
constexpr unsigned max_doublings = 30; ///< The backoff doubles no more often.

/** Returns the second that contains @p now. */
std::int64_t second_of(instant now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

std::uint16_t retry_tokens::lend()
{
    const auto lent = static_cast<std::uint16_t>(m_available / 2U + m_available % 2U);
    m_available = static_cast<std::uint16_t>(m_available - lent);
    m_lent = static_cast<std::uint16_t>(m_lent + lent);
    return lent;
}

void retry_tokens::return_tokens(std::uint16_t returned, std::uint16_t lent)
{
    lent = std::min(lent, m_lent);
    m_lent = static_cast<std::uint16_t>(m_lent - lent);
    m_available = static_cast<std::uint16_t>(m_available + std::min(returned, lent));
}

void retry_tokens::settle(std::uint16_t returned, std::uint16_t& lent)
{
    return_tokens(returned, lent);
    lent = 0;
}

bool retry_tokens::spend()
{
    if (m_available == 0) {
        return false;
    }
    --m_available;
    return true;
}

void retry_budget::advance(instant now)
{
    const std::int64_t second = second_of(now);
    if (second <= m_current_second) {
        return;
    }
    for (std::int64_t passed = std::max(m_current_second + 1, second - window_seconds); passed <= second;
         ++passed) {
        m_requests[slot_of(passed)] = m_spent[slot_of(passed)] = 0;
    }
    m_current_second = second;
    if (second >= m_rank_end_second) {
        m_previous_ranks = second < m_rank_end_second + window_seconds ? std::move(m_ranks) : rank_counts{};
        m_ranks.clear();
        m_rank_end_second = second + window_seconds;
    }
}

double retry_budget::sum(const second_counts& counts, std::int64_t seconds) const
{
    double total = 0.0;
    for (std::int64_t back = 0; back < std::min(seconds, m_current_second + 1); ++back) {
        total += counts[slot_of(m_current_second - back)];
    }
    return total;
}

void retry_budget::on_request(instant now, priority request_priority)
{
    advance(now);
    ++m_requests[slot_of(m_current_second)];
    ++m_ranks[static_cast<std::uint16_t>(request_priority.m_value >> rank_bits)];
}

void retry_budget::charge(instant now)
{
    advance(now);
    ++m_spent[slot_of(m_current_second)];
}

double retry_budget::allowance_ratio(priority request_priority) const
{
    const auto rank = static_cast<std::uint16_t>(request_priority.m_value >> rank_bits);
    double below = 0.0;
    double all = 0.0;
    for (const rank_counts* const counts : {&m_ranks, &m_previous_ranks}) {
        for (const auto& [other, count] : *counts) {
            all += count;
            below += other < rank ? count : other == rank ? count / 2.0 : 0.0;
        }
    }
    const double rank_ratio = all == 0.0 ? 1.0 : below / all;
    return min_allowance_ratio + (1.0 - min_allowance_ratio) * rank_ratio * rank_ratio;
}

bool retry_budget::try_spend(instant now, priority request_priority)
{
    advance(now);
    const double spent = sum(m_spent, window_seconds + 1);
    const double allowed = allowance(now);
    if (spent + 1.0 > allowed || spent >= allowed * allowance_ratio(request_priority)) {
        return false;
    }
    charge(now);
    return true;
}

double retry_budget::allowance(instant now) const
{
    const double ratio = clamp_number(m_settings.m_budget_ratio, 0.0, 1.0);
    const double floor = clamp_number(m_settings.m_budget_floor, 0.0, max_floor);
    const std::int64_t passed =
        std::clamp<std::int64_t>(second_of(now) - m_current_second, 0, window_seconds);
    return floor * window_seconds + ratio * sum(m_requests, window_seconds - passed);
}

duration retry_backoff(const retry_settings& settings, unsigned attempt, random_source& random)
{
    const double base_seconds = std::max(0.0, to_seconds(settings.m_base_backoff));
    const double max_seconds = std::max(0.0, to_seconds(settings.m_max_backoff));
    const unsigned doublings = std::min(std::max(attempt, 1U), max_doublings);
    const double bound = std::min(std::ldexp(base_seconds, static_cast<int>(doublings)), max_seconds);
    return from_seconds(bound * random_unit(random));
}

} // namespace waxwing
