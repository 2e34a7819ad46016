/** @file run_estimate_base.h Lower estimate of the run time of a call. */
#ifndef WAXWING_POLICY_RUN_ESTIMATE_BASE_H
#define WAXWING_POLICY_RUN_ESTIMATE_BASE_H

#include "policy/number_func.h"

namespace waxwing {

/**
 * Tracks the tenth percentile of the run times, so that a call refused for lack of time would almost
 * certainly have missed its deadline. Decays without successes, so that it cannot keep out the calls that
 * would correct it. Thread safety: none; one owner.
 */
class run_estimate {
public:
    /** Records the run time of a success. */
    void record(instant now, duration run_time)
    {
        constexpr double increase_factor = 1.022;
        constexpr double decrease_factor = 0.82;
        const double run_seconds = std::max(to_seconds(run_time), min_seconds);
        const double previous = m_seconds == 0.0 ? run_seconds : m_seconds;
        m_seconds = run_seconds < previous ? std::max(previous * decrease_factor, run_seconds)
                                           : std::min(previous * increase_factor, run_seconds);
        m_recorded_at = now;
    }

    /** Returns the estimate at @p now; zero if nothing was recorded. */
    duration value(instant now) const
    {
        constexpr double half_life_seconds = 0.5;
        const double age = to_seconds(elapsed(m_recorded_at, now));
        return from_seconds(m_seconds * std::exp2(-age / half_life_seconds));
    }

private:
    static constexpr double min_seconds = 1.0e-6; ///< Shorter run times count as this.

    double m_seconds = 0.0;  ///< Estimate at m_recorded_at; zero if nothing was recorded.
    instant m_recorded_at{}; ///< Time of the last record.
};

} // namespace waxwing

#endif
