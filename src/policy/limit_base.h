/** @file limit_base.h The concurrency limit of one target. */
#ifndef WAXWING_POLICY_LIMIT_BASE_H
#define WAXWING_POLICY_LIMIT_BASE_H

#include "policy/admission_base.h"

namespace waxwing {

/**
 * Measurement of a target at one limit: sums over the successful runs that ended during it, and integrals
 * over its time.
 */
struct limit_measurement {
    instant m_began_at{};          ///< Start of the measurement.
    double m_successes = 0.0;      ///< Successful runs.
    double m_run_seconds = 0.0;    ///< Sum of run times.
    double m_run_square_sum = 0.0; ///< Sum of squared run times, in square seconds.
    /** Sum of the time in which runs held their slot without running, waiting for sub-calls. */
    double m_idle_seconds = 0.0;
    double m_refused = 0.0;           ///< Calls that the target refused for overload.
    double m_full_call_seconds = 0.0; ///< Integral of the calls in progress over m_full_seconds.
    double m_call_seconds = 0.0;      ///< Integral of the calls in progress over m_total_seconds.
    double m_full_seconds = 0.0;      ///< Time in which the limit was reached.
    double m_total_seconds = 0.0;     ///< Duration of the measurement.

    /** Adds @p other, a measurement at the same limit. */
    void merge(const limit_measurement& other);

    /** Returns the mean run time, in seconds. @pre There was a success. */
    double mean_run() const { return m_run_seconds / m_successes; }

    /**
     * Returns the mean number of calls in progress while the limit was reached; zero if it never was.
     */
    double mean_running() const { return m_full_seconds > 0.0 ? m_full_call_seconds / m_full_seconds : 0.0; }

    /** Returns the squared relative standard error of the mean run time. @pre There was a success. */
    double error_square() const;
};

/**
 * Finds how many calls one target should run at a time, by trials: a lower limit is kept if throughput does
 * not fall with it, a higher one if throughput grows. Thread safety: none; one owner.
 */
class concurrency_limit {
public:
    explicit concurrency_limit(const limit_settings& settings);

    /** Applies @p settings. */
    void configure(const limit_settings& settings);

    /** Returns the limit at @p now. */
    std::uint32_t value(instant now) const;

    /** Lowers the limit to @p slots, but not below the floor, for two seconds. Ends a trial in progress. */
    void hint(instant now, std::uint32_t slots);

    /**
     * Accounts for the time up to @p now, in which @p running calls ran; @p full if the limit was reached:
     * calls waited, or all usable slots were in use.
     */
    void advance(instant now, std::size_t running, bool full);

    /** Counts a run that ended: it took @p run_time, and held its slot for @p slot_duration. */
    void record(duration run_time, duration slot_duration, run_end end);

private:
    /** The current trial. */
    enum class trial {
        none, ///< No trial: the limit is unchanged.
        down, ///< Whether throughput falls with a lower limit.
        up    ///< Whether throughput grows with a higher limit.
    };

    /** Starts a new measurement; runs that end within @p settling are not counted. */
    void begin_measurement(instant now, duration settling);

    /** Evaluates a measurement that is long enough. */
    void end_measurement(instant now);

    /** Evaluates a measurement in which the limit was reached for too short a time, or too few runs
     * succeeded. */
    void end_idle_measurement(instant now);

    /** Evaluates a measurement without a trial, and may start a trial. */
    void end_plain_measurement(instant now);

    /** Evaluates a trial. @return false if the measurement must go on for a clear result. */
    bool end_trial(instant now);

    /**
     * Evaluates a trial in which the limit was reached for too short a time.
     * @return false if the measurement must go on.
     */
    bool end_idle_trial(instant now);

    /**
     * Applies the result of @p ended_trial: keeps its limit if @p better, else restores the previous one, and
     * schedules the next trials. @p gain is the factor by which throughput changed; 1 if unreliable.
     */
    void settle_trial(instant now, trial ended_trial, bool better, double gain);

    /** Starts the trial @p next, with the measurements at the current limit as its reference. */
    void begin_trial(instant now, trial next);

    /** Sets the limit, clamped to its bounds. */
    void set_limit(double limit);

    std::uint32_t m_floor = 1;             ///< The limit never falls below.
    std::uint32_t m_slots = 1;             ///< The limit never rises above.
    duration m_window{};                   ///< Shortest measurement.
    double m_tolerance = 2.0;              ///< Run times above the unloaded one by this factor are suspect.
    double m_limit = 1.0;                  ///< The current limit, also during a trial.
    std::uint32_t m_hinted_limit = 1;      ///< Upper bound of the limit until m_hint_until.
    instant m_hint_until = instant::min(); ///< End of the hint.

    limit_measurement m_measurement; ///< The current measurement.
    limit_measurement m_history;     ///< Sum of the steady measurements at the current limit.
    bool m_small_probe = false;      ///< Whether the next probe makes the smaller cut.
    limit_measurement m_reference;   ///< The measurements before the trial.
    double m_reference_limit = 1;    ///< The limit before the trial.
    trial m_trial = trial::none;     ///< The current trial.
    instant m_accounted_until{};     ///< Time is accounted for up to here.
    instant m_settled_at{};          ///< The current measurement counts from then on.
    bool m_started = false;          ///< Whether the first measurement has started.
    double m_baseline_seconds = 0.0; ///< Run time without congestion; zero if unknown.
    double m_last_run_seconds = 0.0; ///< Mean run time of the previous measurement.
    unsigned m_cut_failures = 0;     ///< Consecutive failed cuts that were made on suspicion.
    bool m_cut_kept = false; ///< Whether a cut was kept since the unloaded run time was last set by a trial.
    unsigned m_suspect_count = 0; ///< Consecutive measurements above the tolerance.
    /** Whether the downward trial follows a suspicion; otherwise it is a probe. */
    bool m_trial_suspected = false;
    bool m_target_changed = false; ///< Whether the last trial showed that the target changed meanwhile.
    double m_raise_factor = 1.4;   ///< Factor of the next upward trial.
    instant m_next_cut_at{};       ///< No downward trial on suspicion before.
    instant m_next_raise_at{};     ///< No upward trial before.
    instant m_next_probe_at{};     ///< Next probe: a downward trial without suspicion.
    duration m_cut_backoff{};      ///< Pause after the next downward trial that fails.
    duration m_raise_backoff{};    ///< Pause after the next upward trial that fails.
    duration m_probe_interval{};   ///< Time between probes.
};

} // namespace waxwing

#endif
