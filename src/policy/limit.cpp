/** @file limit.cpp The concurrency limit of one target. */
#include "policy/limit_base.h"

#include "policy/number_func.h"

namespace waxwing {

namespace {

constexpr std::uint32_t max_slots = 65536;                     ///< More slots count as this many.
constexpr duration hint_duration = std::chrono::seconds(2);    ///< Duration of a hint.
constexpr duration min_window = std::chrono::milliseconds(20); ///< Shortest window that may be set.
constexpr duration max_window = std::chrono::seconds(5);       ///< Longest window that may be set.
constexpr double full_sample_count = 24.0; ///< Successes that end a measurement before its time limit.
constexpr double min_sample_count = 8.0;   ///< Successes needed to evaluate a measurement at its time limit.
/** A measurement ends after this time, with however many successes it has. */
constexpr double max_measurement_seconds = 1.5;
constexpr double settling_run_times = 1.5; ///< Settling time after a change of the limit, in run times.
/** Successes in the measurements that a trial is compared with. */
constexpr double max_history_successes = 100.0;
/** Growth of the run time between measurements that still counts as steady. */
constexpr double max_steady_growth = 1.15;
constexpr double max_settling_seconds = 1.5; ///< Longest settling time.
constexpr double cut_factor = 0.7;           ///< Limit of a downward trial, relative to the current one.
constexpr double small_cut_factor = 0.85;    ///< The same, for a smaller probe.
constexpr double min_raise_factor = 1.4; ///< Limit of the first upward trial, relative to the current one.
constexpr double max_raise_factor = 2.0; ///< The same, at most, for later upward trials.
/** Throughput that a cut may lose, relative to the cut of the calls in progress. */
constexpr double max_loss_ratio = 0.25;
/** Throughput that a raise must gain, relative to the raise of the calls in progress. */
constexpr double min_gain_ratio = 0.5;
/** Standard errors from the required gain that make a result clear. */
constexpr double min_standard_errors = 1.5;
constexpr double min_step = 0.05; ///< A trial that changes the calls in progress by a smaller ratio fails.
/** Ratio of a measurement in which the limit must be reached. */
constexpr double min_full_ratio = 0.25;
constexpr double min_cut_full_ratio = 0.2; ///< The same, for a downward trial.
/** Ratio of calls in progress to the limit up to which a target is unloaded. */
constexpr double max_unloaded_ratio = 0.5;
/** Ratio of a measurement at the limit up to which the limit may drift up. */
constexpr double max_drift_full_ratio = 0.05;
constexpr double baseline_weight = 0.1; ///< Weight of an unloaded measurement in the unloaded run time.
constexpr double drift_factor = 1.02;   ///< Rise of the limit after each measurement that may drift up.
/** The limit is cut if the target refuses a greater ratio of the calls. */
constexpr double max_refused_ratio = 0.05;
constexpr double refused_cut_factor = 0.8; ///< Limit after refusals, relative to the calls in progress.
/** A raise that too few calls needed is undone if the run time grows by more. */
constexpr double slowdown_factor = 1.1;
/** A raise that gains less schedules an early, smaller probe below the limit. */
constexpr double probe_gain = 0.95;
/** Ratio of a trial at the limit that makes its gain reliable. */
constexpr double min_loaded_ratio = 0.6;
/** A cut that seems to gain more shows a target that changed meanwhile. */
constexpr double changed_gain = 1.45;
/** A probe must gain at least this; a cut that does is followed by another one. */
constexpr double grown_gain = 1.05;
/** A run time that fell below this ratio shows that the target recovered. */
constexpr double recovered_ratio = 0.7;
/** Consecutive suspected cuts that must fail before the longer run time is accepted as unloaded. */
constexpr unsigned min_cut_failures = 2;
constexpr unsigned min_suspect_count = 2; ///< Consecutive measurements above the tolerance before a trial.
constexpr duration min_backoff = std::chrono::seconds(1); ///< Pause after a first failed trial.
constexpr duration max_backoff = std::chrono::seconds(4); ///< Longest pause after repeated failed trials.
constexpr duration min_probe_interval = std::chrono::seconds(3); ///< Time between probes, at first.
/** Time between probes, at most, if they keep failing. */
constexpr duration max_probe_interval = std::chrono::seconds(24);

/** Returns twice @p backoff, within the bounds of a backoff. */
duration longer_backoff(duration backoff)
{
    return std::clamp(backoff * 2, min_backoff, max_backoff);
}

} // namespace

double limit_measurement::error_square() const
{
    const double mean = mean_run();
    const double variance = std::max(m_run_square_sum / m_successes - mean * mean, 0.0);
    return mean > 0.0 ? variance / (mean * mean * m_successes) : 0.0;
}

void limit_measurement::merge(const limit_measurement& other)
{
    m_successes += other.m_successes;
    m_run_seconds += other.m_run_seconds;
    m_run_square_sum += other.m_run_square_sum;
    m_idle_seconds += other.m_idle_seconds;
    m_refused += other.m_refused;
    m_full_call_seconds += other.m_full_call_seconds;
    m_call_seconds += other.m_call_seconds;
    m_full_seconds += other.m_full_seconds;
    m_total_seconds += other.m_total_seconds;
}

concurrency_limit::concurrency_limit(const limit_settings& settings)
    : m_cut_backoff(min_backoff), m_raise_backoff(min_backoff), m_probe_interval(min_probe_interval)
{
    configure(settings);
    m_limit = m_slots;
}

void concurrency_limit::configure(const limit_settings& settings)
{
    m_slots = std::clamp(settings.m_slots, 1U, max_slots);
    m_floor = std::clamp(settings.m_floor, 1U, m_slots);
    m_window = std::clamp(settings.m_window, min_window, max_window);
    m_tolerance = clamp_number(settings.m_tolerance, 1.0, 1.0e6);
    set_limit(m_limit);
}

void concurrency_limit::set_limit(double limit)
{
    m_limit = std::clamp(limit, static_cast<double>(m_floor), static_cast<double>(m_slots));
}

std::uint32_t concurrency_limit::value(instant now) const
{
    const auto current_limit = static_cast<std::uint32_t>(m_limit);
    return now < m_hint_until ? std::min(current_limit, std::max(m_hinted_limit, m_floor)) : current_limit;
}

void concurrency_limit::hint(instant now, std::uint32_t slots)
{
    m_hinted_limit = slots;
    m_hint_until = add_saturating(now, hint_duration);
    if (m_trial != trial::none) {
        set_limit(m_reference_limit);
    }
    m_trial = trial::none;
    begin_measurement(now, hint_duration);
}

void concurrency_limit::begin_measurement(instant now, duration settling)
{
    m_measurement = limit_measurement{};
    m_settled_at = add_saturating(now, settling);
    m_measurement.m_began_at = m_settled_at;
}

void concurrency_limit::advance(instant now, std::size_t running, bool full)
{
    if (!m_started) {
        m_started = true;
        m_accounted_until = now;
        begin_measurement(now, duration::zero());
    }
    const double time = to_seconds(elapsed(std::max(m_accounted_until, m_settled_at), now));
    m_accounted_until = std::max(m_accounted_until, now);
    m_measurement.m_total_seconds += time;
    m_measurement.m_call_seconds += time * static_cast<double>(running);
    m_measurement.m_full_call_seconds += full ? time * static_cast<double>(running) : 0.0;
    m_measurement.m_full_seconds += full ? time : 0.0;
    const bool enough = m_measurement.m_successes >= full_sample_count &&
                        m_measurement.m_total_seconds >= to_seconds(m_window);
    if (enough || m_measurement.m_total_seconds >= max_measurement_seconds) {
        end_measurement(now);
    }
}

void concurrency_limit::record(duration run_time, duration slot_duration, run_end end)
{
    if (m_accounted_until < m_settled_at || end == run_end::cancelled || end == run_end::failed) {
        return;
    }
    if (end == run_end::refused) {
        m_measurement.m_refused += 1.0;
        return;
    }
    const double run = std::max(to_seconds(run_time), 0.0);
    m_measurement.m_successes += 1.0;
    m_measurement.m_run_seconds += run;
    m_measurement.m_run_square_sum += run * run;
    m_measurement.m_idle_seconds += std::max(to_seconds(slot_duration) - run, 0.0);
}

void concurrency_limit::end_measurement(instant now)
{
    const double answer_count = m_measurement.m_successes + m_measurement.m_refused;
    if (m_measurement.m_refused >= 2.0 && m_measurement.m_refused > answer_count * max_refused_ratio) {
        set_limit(std::floor(std::min(m_limit, m_measurement.m_call_seconds / m_measurement.m_total_seconds) *
                             refused_cut_factor));
        m_trial = trial::none;
        m_next_raise_at = add_saturating(now, m_raise_backoff);
        m_raise_backoff = longer_backoff(m_raise_backoff);
        begin_measurement(now, duration::zero());
        return;
    }
    const bool saturated = m_measurement.m_full_seconds >= min_full_ratio * m_measurement.m_total_seconds &&
                           m_measurement.m_successes >= min_sample_count;
    const bool can_judge = m_trial != trial::none && m_measurement.m_successes >= min_sample_count;
    if (!saturated && !can_judge) {
        end_idle_measurement(now);
        return;
    }
    const double limit = m_limit;
    if (m_trial == trial::none) {
        end_plain_measurement(now);
    }
    else if (!end_trial(now)) {
        return;
    }
    const double settling = std::min(settling_run_times * m_last_run_seconds, max_settling_seconds);
    begin_measurement(now, m_limit == limit ? duration::zero() : from_seconds(settling));
}

void concurrency_limit::end_idle_measurement(instant now)
{
    m_history = limit_measurement{};
    if (m_trial != trial::none) {
        set_limit(m_reference_limit);
        m_trial = trial::none;
    }
    if (m_measurement.m_successes >= min_sample_count) {
        const double run = m_measurement.mean_run();
        m_last_run_seconds = run;
        const bool unloaded =
            m_measurement.m_call_seconds <= max_unloaded_ratio * m_limit * m_measurement.m_total_seconds;
        if (m_baseline_seconds == 0.0 || run < m_baseline_seconds) {
            m_baseline_seconds = run;
        }
        else if (unloaded) {
            m_baseline_seconds += (run - m_baseline_seconds) * baseline_weight;
        }
        const bool free =
            m_measurement.m_full_seconds <= max_drift_full_ratio * m_measurement.m_total_seconds;
        set_limit(free ? m_limit * drift_factor : m_limit);
        m_suspect_count = run > m_baseline_seconds * m_tolerance ? m_suspect_count : 0;
    }
    begin_measurement(now, duration::zero());
}

void concurrency_limit::end_plain_measurement(instant now)
{
    const double run = m_measurement.mean_run();
    if (run < m_last_run_seconds * recovered_ratio) {
        m_next_raise_at = now;
        m_raise_backoff = min_backoff;
        m_probe_interval = min_probe_interval;
    }
    const double allowed = max_steady_growth + std::sqrt(m_measurement.error_square());
    const bool steady = run <= m_last_run_seconds * allowed;
    const bool same =
        steady && run * allowed >= m_last_run_seconds && m_history.m_successes < max_history_successes;
    if (!same) {
        m_history = limit_measurement{};
    }
    m_history.merge(m_measurement);
    m_last_run_seconds = run;
    m_baseline_seconds = m_baseline_seconds == 0.0 ? 0.0 : std::min(m_baseline_seconds, run);
    const bool suspect = m_baseline_seconds == 0.0 || run > m_baseline_seconds * m_tolerance;
    m_suspect_count = suspect ? m_suspect_count + 1 : 0;
    const bool due = suspect ? steady && m_suspect_count >= min_suspect_count && now >= m_next_cut_at
                             : now >= m_next_probe_at;
    const bool may_cut = m_limit > static_cast<double>(m_floor);
    const bool may_raise = m_limit < static_cast<double>(m_slots) && now >= m_next_raise_at;
    if (may_cut && due) {
        m_trial_suspected = suspect;
        begin_trial(now, trial::down);
    }
    else if (may_raise && !suspect) {
        begin_trial(now, trial::up);
    }
}

void concurrency_limit::begin_trial(instant now, trial next)
{
    m_reference = m_history;
    m_reference_limit = m_limit;
    m_trial = next;
    m_next_probe_at = add_saturating(now, m_probe_interval);
    const double whole_limit = std::floor(m_limit);
    const double cut = !m_trial_suspected && m_small_probe ? small_cut_factor : cut_factor;
    set_limit(next == trial::down ? std::min(whole_limit - 1.0, std::floor(whole_limit * cut))
                                  : std::max(whole_limit + 1.0, std::floor(whole_limit * m_raise_factor)));
}

bool concurrency_limit::end_idle_trial(instant now)
{
    if (m_measurement.m_total_seconds < max_measurement_seconds) {
        return false;
    }
    const bool slower = m_measurement.mean_run() > m_reference.mean_run() * slowdown_factor;
    if (m_trial == trial::up && slower) {
        set_limit(m_reference_limit);
        m_next_raise_at = add_saturating(now, min_backoff);
    }
    m_history = limit_measurement{};
    m_trial = trial::none;
    return true;
}

bool concurrency_limit::end_trial(instant now)
{
    const bool down = m_trial == trial::down;
    if (m_measurement.m_full_seconds <
        (down ? min_cut_full_ratio : min_loaded_ratio) * m_measurement.m_total_seconds) {
        return end_idle_trial(now);
    }
    const double idle = (m_measurement.m_idle_seconds + m_reference.m_idle_seconds) /
                        (m_measurement.m_successes + m_reference.m_successes);
    const double before = m_reference.mean_run();
    const double after = m_measurement.mean_run();
    const bool loaded = m_measurement.m_full_seconds >= min_loaded_ratio * m_measurement.m_total_seconds;
    const double step = m_measurement.mean_running() / std::max(m_reference.mean_running(), 1.0e-9);
    const double gain = step * (before + idle) / std::max(after + idle, 1.0e-12);
    const double min_cut_gain = m_trial_suspected ? 1.0 - max_loss_ratio * (1.0 - step) : grown_gain;
    const double min_gain = down ? min_cut_gain : 1.0 + min_gain_ratio * (step - 1.0);
    const double run_ratio = after / std::max(after + idle, 1.0e-12);
    const double error =
        gain * run_ratio * std::sqrt(m_reference.error_square() + m_measurement.error_square());
    const bool clear = std::abs(gain - min_gain) >= min_standard_errors * error;
    if (!clear && m_measurement.m_total_seconds < max_measurement_seconds) {
        return false;
    }
    m_last_run_seconds = after;
    const trial ended_trial = m_trial;
    m_trial = trial::none;
    const bool changed = down && loaded && gain > changed_gain && !m_target_changed;
    m_target_changed = changed;
    m_history = m_measurement;
    if (changed) {
        set_limit(m_reference_limit);
        m_history = limit_measurement{};
        m_baseline_seconds = std::min(m_baseline_seconds, after);
        m_suspect_count = 0;
        return true;
    }
    const bool moved = std::abs(step - 1.0) >= min_step;
    settle_trial(now, ended_trial, moved && gain >= min_gain, loaded ? gain : 1.0);
    return true;
}

void concurrency_limit::settle_trial(instant now, trial ended_trial, bool better, double gain)
{
    const double run = m_measurement.mean_run();
    if (!better) {
        set_limit(m_reference_limit);
        m_last_run_seconds = m_reference.mean_run();
    }
    if (ended_trial == trial::up) {
        m_raise_factor =
            better ? std::min(m_raise_factor * min_raise_factor, max_raise_factor) : min_raise_factor;
        m_next_raise_at = better ? now : add_saturating(now, m_raise_backoff);
        m_raise_backoff = better ? min_backoff : longer_backoff(m_raise_backoff);
        if (gain < probe_gain && m_probe_interval <= 2 * min_probe_interval) {
            m_next_probe_at = add_saturating(now, min_backoff);
            m_small_probe = true;
        }
        if (better && m_limit < static_cast<double>(m_slots)) {
            begin_trial(now, trial::up);
        }
        return;
    }
    m_small_probe = !better && !m_trial_suspected && !m_small_probe;
    if (!better) {
        m_cut_failures = m_trial_suspected ? m_cut_failures + 1 : 0;
        const bool accepted = m_baseline_seconds == 0.0 || m_cut_kept || m_cut_failures >= min_cut_failures;
        m_baseline_seconds = accepted && m_trial_suspected ? run : std::min(m_baseline_seconds, run);
        m_cut_failures = accepted ? 0 : m_cut_failures;
        m_cut_kept = m_cut_kept && !accepted;
        m_suspect_count = 0;
        m_next_cut_at = add_saturating(now, m_cut_backoff);
        m_cut_backoff = longer_backoff(m_cut_backoff);
        m_probe_interval = std::min(m_probe_interval * 2, max_probe_interval);
        return;
    }
    m_cut_failures = 0;
    m_cut_kept = true;
    m_cut_backoff = min_backoff;
    m_probe_interval = min_probe_interval;
    m_next_raise_at = add_saturating(now, min_backoff);
    const bool suspect = m_baseline_seconds == 0.0 || run > m_baseline_seconds * m_tolerance;
    m_trial_suspected = suspect;
    if ((suspect || gain >= grown_gain) && m_limit > static_cast<double>(m_floor)) {
        begin_trial(now, trial::down);
    }
}

} // namespace waxwing
