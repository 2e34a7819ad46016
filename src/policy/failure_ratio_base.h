/** @file failure_ratio_base.h Ratio of the runs of a target that fail. */
#ifndef WAXWING_POLICY_FAILURE_RATIO_BASE_H
#define WAXWING_POLICY_FAILURE_RATIO_BASE_H

#include "policy/number_func.h"

namespace waxwing {

/**
 * Tracks which part of the recent runs of a target failed. Decays without runs, so that a target that gets
 * few of them is tried again. Thread safety: none; one owner.
 */
class failure_ratio {
public:
    /** Records the end of a run. */
    void record(instant now, bool failed)
    {
        constexpr double run_weight = 1.0 / 24.0;
        m_ratio = value(now);
        m_ratio += ((failed ? 1.0 : 0.0) - m_ratio) * run_weight;
        m_recorded_at = now;
    }

    /** Returns the ratio at @p now, from 0 to 1. */
    double value(instant now) const
    {
        constexpr double half_life_seconds = 2.0;
        return m_ratio * std::exp2(-to_seconds(elapsed(m_recorded_at, now)) / half_life_seconds);
    }

private:
    double m_ratio = 0.0;    ///< Ratio at m_recorded_at.
    instant m_recorded_at{}; ///< Time of the last record.
};

} // namespace waxwing

#endif
