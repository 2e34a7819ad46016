/** @file start_rate_base.h The rate at which calls start at a target that names one. */
#ifndef WAXWING_POLICY_START_RATE_BASE_H
#define WAXWING_POLICY_START_RATE_BASE_H

#include "policy/rate_limiter_base.h"

#include <optional>

namespace waxwing {

/** Limits the starts of calls to the rate that a target names, if it does. Thread safety: none; one owner. */
class start_rate {
public:
    /** Sets the rate in calls a second; none if the target names no limit. */
    void set(std::optional<double> rate)
    {
        m_rate = rate ? std::optional(clamp_number(*rate, min_rate, max_rate)) : std::nullopt;
    }

    /** Returns how long the next call has to wait at @p now; zero if it may start. */
    duration wait(instant now) const
    {
        const double burst = std::max(1.0, m_rate.value_or(1.0) * burst_seconds);
        return m_rate ? m_limiter.wait(now, *m_rate, burst) : duration::zero();
    }

    /** Counts a start. @pre wait() is zero. */
    void count_start(instant now)
    {
        if (m_rate) {
            m_limiter.consume(now, *m_rate);
        }
    }

    /** Returns how many calls may start within @p length; at least one. None if there is no limit. */
    std::optional<double> starts_within(duration length) const
    {
        return m_rate ? std::optional(std::max(*m_rate * to_seconds(length), 1.0)) : std::nullopt;
    }

    /** Records that a call has held its slot for @p slot_duration. */
    void record_slot_duration(duration slot_duration)
    {
        constexpr double weight = 0.05;
        const double seconds = to_seconds(slot_duration);
        m_mean_slot_seconds +=
            m_mean_slot_seconds == 0.0 ? seconds : (seconds - m_mean_slot_seconds) * weight;
    }

    /** Returns the mean number of calls in progress at the rate; none without a limit or a recorded call. */
    std::optional<double> mean_in_progress() const
    {
        const bool is_known = m_rate && m_mean_slot_seconds > 0.0;
        return is_known ? std::optional(*m_rate * m_mean_slot_seconds) : std::nullopt;
    }

private:
    /** A target that names a lower rate gets calls at this rate, in calls a second, as only its next answer
     * can lift the limit. */
    static constexpr double min_rate = 0.5;
    static constexpr double max_rate = 1.0e6; ///< Higher rates count as this.
    /** Time for which starts may be saved up, so that calls that arrive unevenly use the whole rate. */
    static constexpr double burst_seconds = 0.1;

    std::optional<double> m_rate;     ///< Calls a second; none if the target names no limit.
    rate_limiter m_limiter;           ///< Limits the starts to m_rate.
    double m_mean_slot_seconds = 0.0; ///< Mean time that a call holds its slot; zero if unknown.
};

} // namespace waxwing

#endif
