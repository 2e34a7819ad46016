/** @file threshold.cpp Thresholds of a subtree, as an entry learns them from answers. */
#include "policy/threshold_base.h"

#include "policy/number_func.h"

namespace waxwing {

namespace {

constexpr double probe_share = 1.0 / 64.0;                      ///< Calls below the threshold that pass.
constexpr duration hold_time = std::chrono::milliseconds(500);  ///< A threshold holds in full so long.
constexpr duration fade_time = std::chrono::milliseconds(1000); ///< Then it fades to zero over this time.
constexpr duration mean_time = std::chrono::milliseconds(50);   ///< Answers are averaged over this time.

} // namespace

double threshold_table::faded(const entry& known, instant now)
{
    const duration age = elapsed(known.m_seen, now);
    if (age <= hold_time) {
        return known.m_threshold;
    }
    const double left = 1.0 - to_seconds(age - hold_time) / to_seconds(fade_time);
    return known.m_threshold * std::max(left, 0.0);
}

void threshold_table::learn(instant now, const kind_name& kind, priority seen)
{
    auto position = m_entries.find(kind);
    if (position == m_entries.end()) {
        m_entries.emplace(kind, entry{static_cast<double>(seen.m_value), now});
        return;
    }
    entry& known = position->second;
    const double old = faded(known, now);
    const double weight = 1.0 - std::exp(-to_seconds(elapsed(known.m_seen, now)) / to_seconds(mean_time));
    known.m_threshold = old + (static_cast<double>(seen.m_value) - old) * weight;
    known.m_seen = std::max(known.m_seen, now);
}

bool threshold_table::should_shed(instant now, const kind_name& kind, priority wanted, random_source& random)
{
    return wanted < current(now, kind) && random_unit(random) >= probe_share;
}

priority threshold_table::current(instant now, const kind_name& kind) const
{
    const auto position = m_entries.find(kind);
    if (position == m_entries.end()) {
        return {};
    }
    return {static_cast<std::uint16_t>(std::lround(faded(position->second, now)))};
}

} // namespace waxwing
