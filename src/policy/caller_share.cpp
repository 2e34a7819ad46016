/** @file caller_share.cpp Shares of callers at an entry. */
#include "policy/caller_share_base.h"

#include "policy/number_func.h"

#include <array>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace waxwing {

namespace {

constexpr double rate_least = 1.0e-6;     ///< Requests a second; a rate of zero admits next to nothing.
constexpr double rate_most = 1.0e9;       ///< Requests a second.
constexpr double burst_most = 1.0e9;      ///< Requests.
constexpr double weight_least = 1e-3;     ///< A weight of zero counts as this.
constexpr double weight_most = 1.0e6;     ///< Highest weight.
constexpr double rate_memory = 0.5;       ///< Seconds over which a caller's rate is averaged.
constexpr double rank_memory = 1.0;       ///< Seconds over which places are ranked.
constexpr double most_increment = 1.0e12; ///< Greater counts are scaled down.
constexpr int buckets_per_octave = 4;     ///< Resolution of the ranking.
constexpr int rank_buckets = 192;         ///< Of places; they span 48 octaves.
constexpr unsigned cohorts = 256;         ///< Number of cohorts.

/** Gives the time between requests at @p rate a second, to the nearest nanosecond. */
duration interval(double rate)
{
    constexpr double second = 1.0e9;
    return duration(std::max<duration::rep>(std::llround(second / rate), 1));
}

/** An allowance by the generic cell rate algorithm: one instant is its whole state. */
class allowance {
public:
    /** Tells how long after @p now one more request conforms, at @p rate a second and @p burst at once. */
    duration wait(instant now, double rate, double burst) const
    {
        const duration slack = from_seconds(to_seconds(interval(rate)) * (burst - 1.0));
        return elapsed(add_saturating(now, slack), m_next);
    }

    /** Counts one request. @pre It conforms. */
    void take(instant now, double rate) { m_next = add_saturating(std::max(m_next, now), interval(rate)); }

private:
    instant m_next = instant::min(); ///< When the next request comes at the sustained rate.
};

/** What is held for one caller or bucket. */
struct share_row {
    double m_rate = rate_least;     ///< Sustained requests a second.
    double m_burst = 1.0;           ///< Requests at once.
    double m_weight = weight_least; ///< Share under overload.
    allowance m_own;                ///< The bound by rate.
    double m_asked = 0.0;           ///< Requests a second over weight, at m_asked_at.
    instant m_asked_at{};           ///< When m_asked was computed.
};

/** Ranks numbers among those seen lately, by a histogram whose old counts fade. */
class fading_rank {
public:
    /** Gives the share of the numbers seen lately that are below @p value, and counts it. @pre @p value >= 0.
     */
    double rank(instant now, double value)
    {
        if (m_total <= 0.0) {
            m_begun = now;
        }
        const double position =
            std::log2(std::max(value, least_value)) * buckets_per_octave + rank_buckets / 2.0;
        const double clamped = std::clamp(position, 0.0, rank_buckets - 1.0);
        const auto bucket = static_cast<std::size_t>(clamped);
        double below = 0.0;
        for (std::size_t index = 0; index < bucket; ++index) {
            below += m_counts[index];
        }
        below += m_counts[bucket] * (clamped - std::floor(clamped));
        const double share = m_total > 0.0 ? below / m_total : 0.0;
        count(now, bucket);
        return share;
    }

private:
    static constexpr double least_value = 1.0e-12;

    /** Counts one number; newer ones count more, so that older ones need no touch to fade. */
    void count(instant now, std::size_t bucket)
    {
        const double increment = std::exp(to_seconds(elapsed(m_begun, now)) / rank_memory);
        if (!(increment < most_increment)) {
            m_counts.fill(0.0);
            m_total = 0.0;
            m_begun = now;
        }
        const double added = increment < most_increment ? increment : 1.0;
        m_counts[bucket] += added;
        m_total += added;
    }

    std::array<double, rank_buckets> m_counts{};
    double m_total = 0.0;
    instant m_begun{}; ///< When a count was worth one.
};

/** Sets the settings of @p row, without a second allowance. */
void assign(share_row& row, const share_settings& settings)
{
    row.m_rate = clamp_number(settings.m_rate, rate_least, rate_most);
    row.m_burst = clamp_number(settings.m_burst, 1.0, burst_most);
    row.m_weight = clamp_number(settings.m_weight, weight_least, weight_most);
}

/** Computes the requests a second over weight of @p row at @p now. */
double asked_rate(const share_row& row, instant now)
{
    return row.m_asked * std::exp(-to_seconds(elapsed(row.m_asked_at, now)) / rate_memory);
}

} // namespace

/** The rows, and the ranking of the places drawn. */
struct caller_shares::state {
    std::uint64_t m_salt = 0;                                  ///< Of the hash that chooses a bucket.
    std::unordered_map<caller_name, share_row> m_rows;         ///< Callers of the configuration.
    std::array<share_row, unknown_caller_buckets> m_buckets{}; ///< All other names.
    fading_rank m_ranks;                                       ///< Of the places of all callers.

    /** Finds the row that @p caller counts against. */
    share_row& row_of(const caller_name& caller);
};

share_row& caller_shares::state::row_of(const caller_name& caller)
{
    const auto position = m_rows.find(caller);
    if (position != m_rows.end()) {
        return position->second;
    }
    const std::uint64_t hash = XXH3_64bits_withSeed(caller.m_value.data(), caller.m_value.size(), m_salt);
    return m_buckets[hash % unknown_caller_buckets];
}

caller_shares::caller_shares(const share_settings& unknown, std::uint64_t salt)
    : m_state(std::make_unique<state>())
{
    m_state->m_salt = salt;
    for (share_row& row : m_state->m_buckets) {
        assign(row, unknown);
    }
}

caller_shares::~caller_shares() = default;
caller_shares::caller_shares(caller_shares&&) noexcept = default;
caller_shares& caller_shares::operator=(caller_shares&&) noexcept = default;

void caller_shares::put(const caller_name& caller, const share_settings& settings)
{
    assign(m_state->m_rows[caller], settings);
}

void caller_shares::remove(const caller_name& caller)
{
    m_state->m_rows.erase(caller);
}

share_decision caller_shares::decide(instant now, const caller_name& caller, random_source& random)
{
    state& own = *m_state;
    share_row& row = own.row_of(caller);
    row.m_asked = asked_rate(row, now) + 1.0 / (rate_memory * row.m_weight);
    row.m_asked_at = std::max(row.m_asked_at, now);
    const duration wait = row.m_own.wait(now, row.m_rate, row.m_burst);
    if (wait > duration::zero()) {
        return {false, wait, 0};
    }
    row.m_own.take(now, row.m_rate);
    const double rank = own.m_ranks.rank(now, row.m_asked * random_unit(random));
    const double place = (1.0 - rank) * cohorts;
    return {true, {}, static_cast<std::uint8_t>(std::min(place, cohorts - 1.0))};
}

} // namespace waxwing
