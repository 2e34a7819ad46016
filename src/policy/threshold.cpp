/** @file threshold.cpp Shedding thresholds of the call tree below an entry, learnt from answers. */
#include "policy/threshold_base.h"

#include "policy/number_func.h"

namespace waxwing {

namespace {

constexpr double probe_ratio = 1.0 / 64.0; ///< Ratio of the requests below the threshold that pass as probes.
/** Time for which a threshold holds in full. */
constexpr duration hold_duration = std::chrono::milliseconds(500);
/** Time over which it then fades to zero. */
constexpr duration fade_duration = std::chrono::milliseconds(1000);
/** Time constant of the average over answers. */
constexpr duration averaging_window = std::chrono::milliseconds(50);

} // namespace

double threshold_table::faded_threshold(const entry& last, instant now)
{
    const duration age = elapsed(last.m_learnt_at, now);
    if (age <= hold_duration) {
        return last.m_threshold;
    }
    const double remaining_ratio = 1.0 - to_seconds(age - hold_duration) / to_seconds(fade_duration);
    return last.m_threshold * std::max(remaining_ratio, 0.0);
}

void threshold_table::learn(instant now, const kind_name& kind, priority threshold)
{
    auto position = m_entries.find(kind);
    if (position == m_entries.end()) {
        m_entries.emplace(kind, entry{static_cast<double>(threshold.m_value), now});
        return;
    }
    entry& last = position->second;
    const double old = faded_threshold(last, now);
    const double weight =
        1.0 - std::exp(-to_seconds(elapsed(last.m_learnt_at, now)) / to_seconds(averaging_window));
    last.m_threshold = old + (static_cast<double>(threshold.m_value) - old) * weight;
    last.m_learnt_at = std::max(last.m_learnt_at, now);
}

bool threshold_table::should_shed(instant now, const kind_name& kind, priority request_priority,
                                  random_source& random)
{
    return request_priority < current(now, kind) && random_unit(random) >= probe_ratio;
}

priority threshold_table::current(instant now, const kind_name& kind) const
{
    const auto position = m_entries.find(kind);
    if (position == m_entries.end()) {
        return {};
    }
    return {static_cast<std::uint16_t>(std::lround(faded_threshold(position->second, now)))};
}

} // namespace waxwing
