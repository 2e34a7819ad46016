/** @file caller_share.cpp Rate limits and fair shares of callers at an entry. */
#include "policy/caller_share_base.h"

#include "policy/number_func.h"
#include "policy/rate_limiter_base.h"

#include <array>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace waxwing {

namespace {

constexpr double min_rate = 1.0e-6; ///< Requests a second; a rate of zero counts as this.
constexpr double max_rate = 1.0e9;  ///< Requests a second.
constexpr double max_burst = 1.0e9; ///< Requests.
constexpr double min_weight = 1e-3; ///< A weight of zero counts as this.
constexpr double max_weight = 1.0e6;
constexpr double rate_decay_seconds = 0.5; ///< Time constant of a caller's average rate.
constexpr double rank_decay_seconds = 1.0; ///< Time constant of the histogram of demands.
/** The histogram is reset when the weight of a new value reaches this. */
constexpr double max_increment = 1.0e12;
constexpr int buckets_per_octave = 4; ///< Resolution of the histogram.
constexpr int rank_buckets = 192;     ///< Buckets of the histogram; they span 48 octaves.
constexpr unsigned cohort_count = 256;

/** The limits and state of one caller or bucket. */
struct caller_entry {
    double m_rate = min_rate;     ///< Sustained requests a second.
    double m_burst = 1.0;         ///< Requests at once.
    double m_weight = min_weight; ///< Share under overload, relative to other callers.
    rate_limiter m_limiter;       ///< Limits the rate.
    double m_demand = 0.0;        ///< Requests a second divided by weight, at m_demand_at.
    instant m_demand_at{};        ///< When m_demand was computed.
};

/** Ranks values among recent ones by a histogram whose counts decay exponentially. */
class decaying_histogram {
public:
    /**
     * Returns the ratio of recent values that are below @p value, and then counts @p value.
     * @pre @p value >= 0.
     */
    double rank(instant now, double value)
    {
        if (m_total <= 0.0) {
            m_scale_since = now;
        }
        const double position =
            std::log2(std::max(value, min_value)) * buckets_per_octave + rank_buckets / 2.0;
        const double clamped = std::clamp(position, 0.0, rank_buckets - 1.0);
        const auto bucket = static_cast<std::size_t>(clamped);
        double below = 0.0;
        for (std::size_t index = 0; index < bucket; ++index) {
            below += m_counts[index];
        }
        below += m_counts[bucket] * (clamped - std::floor(clamped));
        const double below_ratio = m_total > 0.0 ? below / m_total : 0.0;
        count(now, bucket);
        return below_ratio;
    }

private:
    static constexpr double min_value = 1.0e-12;

    /**
     * Counts one value. Newer values get an exponentially greater weight, so that older counts decay without
     * being updated.
     */
    void count(instant now, std::size_t bucket)
    {
        const double increment = std::exp(to_seconds(elapsed(m_scale_since, now)) / rank_decay_seconds);
        if (!(increment < max_increment)) {
            m_counts.fill(0.0);
            m_total = 0.0;
            m_scale_since = now;
        }
        const double added = increment < max_increment ? increment : 1.0;
        m_counts[bucket] += added;
        m_total += added;
    }

    std::array<double, rank_buckets> m_counts{};
    double m_total = 0.0;
    instant m_scale_since{}; ///< When a new value had a weight of one.
};

/**
 * Applies @p settings to @p entry and keeps the state of its rate limiter, so that a change grants no second
 * burst.
 */
void apply_settings(caller_entry& entry, const share_settings& settings)
{
    entry.m_rate = clamp_number(settings.m_rate, min_rate, max_rate);
    entry.m_burst = clamp_number(settings.m_burst, 1.0, max_burst);
    entry.m_weight = clamp_number(settings.m_weight, min_weight, max_weight);
}

/** Returns the requests a second divided by weight of @p entry at @p now. */
double decayed_demand(const caller_entry& entry, instant now)
{
    return entry.m_demand * std::exp(-to_seconds(elapsed(entry.m_demand_at, now)) / rate_decay_seconds);
}

} // namespace

/** The callers and the histogram of their demands. */
struct caller_shares::state {
    std::uint64_t m_salt = 0;                                     ///< Seed of the hash that selects a bucket.
    std::unordered_map<caller_name, caller_entry> m_callers;      ///< Configured callers.
    std::array<caller_entry, unknown_caller_buckets> m_buckets{}; ///< All other callers.
    decaying_histogram m_demands; ///< Values drawn for the requests of all callers.

    /** Returns the entry or bucket that @p caller counts against. */
    caller_entry& entry_of(const caller_name& caller);
};

caller_entry& caller_shares::state::entry_of(const caller_name& caller)
{
    const auto position = m_callers.find(caller);
    if (position != m_callers.end()) {
        return position->second;
    }
    const std::uint64_t hash = XXH3_64bits_withSeed(caller.m_value.data(), caller.m_value.size(), m_salt);
    return m_buckets[hash % unknown_caller_buckets];
}

caller_shares::caller_shares(const share_settings& unknown, std::uint64_t salt)
    : m_state(std::make_unique<state>())
{
    m_state->m_salt = salt;
    for (caller_entry& entry : m_state->m_buckets) {
        apply_settings(entry, unknown);
    }
}

caller_shares::~caller_shares() = default;
caller_shares::caller_shares(caller_shares&&) noexcept = default;
caller_shares& caller_shares::operator=(caller_shares&&) noexcept = default;

void caller_shares::put(const caller_name& caller, const share_settings& settings)
{
    apply_settings(m_state->m_callers[caller], settings);
}

void caller_shares::remove(const caller_name& caller)
{
    m_state->m_callers.erase(caller);
}

share_decision caller_shares::decide(instant now, const caller_name& caller, random_source& random)
{
    state& impl = *m_state;
    caller_entry& entry = impl.entry_of(caller);
    entry.m_demand = decayed_demand(entry, now) + 1.0 / (rate_decay_seconds * entry.m_weight);
    entry.m_demand_at = std::max(entry.m_demand_at, now);
    const duration wait = entry.m_limiter.wait(now, entry.m_rate, entry.m_burst);
    if (wait > duration::zero()) {
        return {false, wait, 0};
    }
    entry.m_limiter.consume(now, entry.m_rate);
    const double rank = impl.m_demands.rank(now, entry.m_demand * random_unit(random));
    const double cohort = (1.0 - rank) * cohort_count;
    return {true, {}, static_cast<std::uint8_t>(std::min(cohort, cohort_count - 1.0))};
}

} // namespace waxwing
