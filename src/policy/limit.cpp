/** @file limit.cpp The concurrency limit of one target. */
#include "policy/limit_base.h"

#include "policy/number_func.h"

namespace waxwing {

namespace {

constexpr std::uint32_t slots_most = 65536;                      ///< More slots count as this many.
constexpr duration hint_time = std::chrono::seconds(2);          ///< A hint holds so long.
constexpr duration window_least = std::chrono::milliseconds(20); ///< Shortest window that may be set.
constexpr duration window_most = std::chrono::seconds(5);        ///< Longest window that may be set.
constexpr double samples_least = 24.0;                           ///< Successes that a leg should have.
constexpr double samples_few = 8.0;                              ///< Successes that a long leg must have.
constexpr double leg_most = 1.5;          ///< Seconds after which a leg is judged as it is.
constexpr double settle_runs = 1.5;       ///< Settling time after a change of the limit, in run times.
constexpr double history_most = 100.0;    ///< Successes in the legs that a trial is compared to.
constexpr double steady_growth = 1.15;    ///< Growth of the run time from leg to leg that is still steady.
constexpr double settle_most = 1.5;       ///< Seconds; longest settling time.
constexpr double cut_factor = 0.7;        ///< Limit of a downward trial.
constexpr double small_cut_factor = 0.85; ///< Limit of each second probe.
constexpr double raise_least = 1.4;       ///< Limit of the first upward trial.
constexpr double raise_most = 2.0;        ///< Limit of later upward trials.
constexpr double loss_allowed = 0.25;     ///< Loss of throughput, as a share of the cut, that a cut may cost.
constexpr double gain_needed = 0.5;       ///< Gain, as a share of the raise, that a raise must bring.
constexpr double clear_errors = 1.5;      ///< Standard errors that make an answer clear.
constexpr double step_least = 0.05;       ///< A smaller change of the calls in progress proves nothing.
constexpr double full_share = 0.25;       ///< Share of a leg in which the limit must hold calls back.
constexpr double held_least = 0.2;        ///< Share of a downward trial in which it must do so.
constexpr double quiet_share = 0.5;    ///< Share of the limit in progress up to which a target is unloaded.
constexpr double free_share = 0.05;    ///< Share of a leg held back up to which the limit may drift up.
constexpr double base_weight = 0.1;    ///< Weight of an unloaded leg in the unloaded run time.
constexpr double drift_factor = 1.02;  ///< Rise of the limit for each unloaded leg.
constexpr double refused_share = 0.05; ///< Share of refusals by the target that cuts the limit.
constexpr double refused_factor = 0.8; ///< Cut on refusals, of the calls in progress.
constexpr double slower_share = 1.1;   ///< Growth of the run time that takes back a raise without need.
constexpr double shrunk_gain = 0.95;   ///< A raise that gains less asks for a probe below the limit.
constexpr double loaded_share = 0.6;   ///< Share of a trial held back that tells how much a cut gained.
constexpr double changed_gain =
    1.45;                           ///< A cut that seems to gain more shows a target that changed meanwhile.
constexpr double grown_gain = 1.05; ///< Throughput that rose by it asks for one more cut.
constexpr double recovered_share = 0.7; ///< A run time that fell to it means that the target changed.
constexpr unsigned failures_least =
    2; ///< Suspected cuts in a row that must fail before a target counts as changed.
constexpr unsigned suspect_least = 2;                    ///< Legs above the tolerance before a trial.
constexpr duration rest_least = std::chrono::seconds(1); ///< Rest after a first failed trial.
constexpr duration rest_most = std::chrono::seconds(4);  ///< Rest after repeated failed trials.
constexpr duration probe_least =
    std::chrono::seconds(3); ///< Time between trials without suspicion, at first.
constexpr duration probe_most = std::chrono::seconds(24); ///< The same, where they never succeed.

/** Gives twice @p rest, within the bounds of a rest. */
duration longer_rest(duration rest)
{
    return std::clamp(rest * 2, rest_least, rest_most);
}

} // namespace

double limit_leg::error_square() const
{
    const double mean = mean_run();
    const double variance = std::max(m_square / m_count - mean * mean, 0.0);
    return mean > 0.0 ? variance / (mean * mean * m_count) : 0.0;
}

void limit_leg::merge(const limit_leg& other)
{
    m_count += other.m_count;
    m_run += other.m_run;
    m_square += other.m_square;
    m_idle += other.m_idle;
    m_refused += other.m_refused;
    m_running += other.m_running;
    m_all += other.m_all;
    m_full += other.m_full;
    m_time += other.m_time;
}

concurrency_limit::concurrency_limit(const limit_settings& settings)
    : m_cut_rest(rest_least), m_raise_rest(rest_least), m_probe_rest(probe_least)
{
    configure(settings);
    m_limit = m_slots;
}

void concurrency_limit::configure(const limit_settings& settings)
{
    m_slots = std::clamp(settings.m_slots, 1U, slots_most);
    m_floor = std::clamp(settings.m_floor, 1U, m_slots);
    m_window = std::clamp(settings.m_window, window_least, window_most);
    m_tolerance = clamp_number(settings.m_tolerance, 1.0, 1.0e6);
    set_limit(m_limit);
}

void concurrency_limit::set_limit(double limit)
{
    m_limit = std::clamp(limit, static_cast<double>(m_floor), static_cast<double>(m_slots));
}

std::uint32_t concurrency_limit::value(instant now) const
{
    const auto found = static_cast<std::uint32_t>(m_limit);
    return now < m_hint_until ? std::min(found, std::max(m_hinted, m_floor)) : found;
}

void concurrency_limit::hint(instant now, std::uint32_t slots)
{
    m_hinted = slots;
    m_hint_until = add_saturating(now, hint_time);
    if (m_trial != trial::none) {
        set_limit(m_reference_limit);
    }
    m_trial = trial::none;
    begin_leg(now, hint_time);
}

void concurrency_limit::begin_leg(instant now, duration settling)
{
    m_leg = limit_leg{};
    m_settled = add_saturating(now, settling);
    m_leg.m_began = m_settled;
}

void concurrency_limit::advance(instant now, std::size_t running, bool full)
{
    if (!m_started) {
        m_started = true;
        m_counted = now;
        begin_leg(now, duration::zero());
    }
    const double time = to_seconds(elapsed(std::max(m_counted, m_settled), now));
    m_counted = std::max(m_counted, now);
    m_leg.m_time += time;
    m_leg.m_all += time * static_cast<double>(running);
    m_leg.m_running += full ? time * static_cast<double>(running) : 0.0;
    m_leg.m_full += full ? time : 0.0;
    const bool enough = m_leg.m_count >= samples_least && m_leg.m_time >= to_seconds(m_window);
    if (enough || m_leg.m_time >= leg_most) {
        end_leg(now);
    }
}

void concurrency_limit::record(duration run_time, duration held, run_end end)
{
    if (m_counted < m_settled || end == run_end::cancelled || end == run_end::failed) {
        return;
    }
    if (end == run_end::refused) {
        m_leg.m_refused += 1.0;
        return;
    }
    const double run = std::max(to_seconds(run_time), 0.0);
    m_leg.m_count += 1.0;
    m_leg.m_run += run;
    m_leg.m_square += run * run;
    m_leg.m_idle += std::max(to_seconds(held) - run, 0.0);
}

void concurrency_limit::end_leg(instant now)
{
    const double answered = m_leg.m_count + m_leg.m_refused;
    if (m_leg.m_refused >= 2.0 && m_leg.m_refused > answered * refused_share) {
        set_limit(std::floor(std::min(m_limit, m_leg.m_all / m_leg.m_time) * refused_factor));
        m_trial = trial::none;
        m_raise_after = add_saturating(now, m_raise_rest);
        m_raise_rest = longer_rest(m_raise_rest);
        begin_leg(now, duration::zero());
        return;
    }
    const bool held_back = m_leg.m_full >= full_share * m_leg.m_time && m_leg.m_count >= samples_few;
    const bool judged = m_trial != trial::none && m_leg.m_count >= samples_few;
    if (!held_back && !judged) {
        end_idle_leg(now);
        return;
    }
    const double limit = m_limit;
    if (m_trial == trial::none) {
        end_plain_leg(now);
    }
    else if (!end_trial(now)) {
        return;
    }
    const double settling = std::min(settle_runs * m_last_run, settle_most);
    begin_leg(now, m_limit == limit ? duration::zero() : from_seconds(settling));
}

void concurrency_limit::end_idle_leg(instant now)
{
    m_history = limit_leg{};
    if (m_trial != trial::none) {
        set_limit(m_reference_limit);
        m_trial = trial::none;
    }
    if (m_leg.m_count >= samples_few) {
        const double run = m_leg.mean_run();
        m_last_run = run;
        const bool quiet = m_leg.m_all <= quiet_share * m_limit * m_leg.m_time;
        if (m_base == 0.0 || run < m_base) {
            m_base = run;
        }
        else if (quiet) {
            m_base += (run - m_base) * base_weight;
        }
        const bool free = m_leg.m_full <= free_share * m_leg.m_time;
        set_limit(free ? m_limit * drift_factor : m_limit);
        m_suspect_legs = run > m_base * m_tolerance ? m_suspect_legs : 0;
    }
    begin_leg(now, duration::zero());
}

void concurrency_limit::end_plain_leg(instant now)
{
    const double run = m_leg.mean_run();
    if (run < m_last_run * recovered_share) {
        m_raise_after = now;
        m_raise_rest = rest_least;
        m_probe_rest = probe_least;
    }
    const double allowed = steady_growth + std::sqrt(m_leg.error_square());
    const bool steady = run <= m_last_run * allowed;
    const bool same = steady && run * allowed >= m_last_run && m_history.m_count < history_most;
    if (!same) {
        m_history = limit_leg{};
    }
    m_history.merge(m_leg);
    m_last_run = run;
    m_base = m_base == 0.0 ? 0.0 : std::min(m_base, run);
    const bool suspect = m_base == 0.0 || run > m_base * m_tolerance;
    m_suspect_legs = suspect ? m_suspect_legs + 1 : 0;
    const bool due =
        suspect ? steady && m_suspect_legs >= suspect_least && now >= m_cut_after : now >= m_probe_after;
    const bool may_cut = m_limit > static_cast<double>(m_floor);
    const bool may_raise = m_limit < static_cast<double>(m_slots) && now >= m_raise_after;
    if (may_cut && due) {
        m_suspect = suspect;
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
    m_probe_after = add_saturating(now, m_probe_rest);
    const double whole = std::floor(m_limit);
    const double cut = !m_suspect && m_probe_small ? small_cut_factor : cut_factor;
    set_limit(next == trial::down ? std::min(whole - 1.0, std::floor(whole * cut))
                                  : std::max(whole + 1.0, std::floor(whole * m_raise)));
}

bool concurrency_limit::end_idle_trial(instant now)
{
    if (m_leg.m_time < leg_most) {
        return false;
    }
    const bool slower = m_leg.mean_run() > m_reference.mean_run() * slower_share;
    if (m_trial == trial::up && slower) {
        set_limit(m_reference_limit);
        m_raise_after = add_saturating(now, rest_least);
    }
    m_history = limit_leg{};
    m_trial = trial::none;
    return true;
}

bool concurrency_limit::end_trial(instant now)
{
    const bool down = m_trial == trial::down;
    if (m_leg.m_full < (down ? held_least : loaded_share) * m_leg.m_time) {
        return end_idle_trial(now);
    }
    const double idle = (m_leg.m_idle + m_reference.m_idle) / (m_leg.m_count + m_reference.m_count);
    const double before = m_reference.mean_run();
    const double after = m_leg.mean_run();
    const bool loaded = m_leg.m_full >= loaded_share * m_leg.m_time;
    const double step = m_leg.mean_running() / std::max(m_reference.mean_running(), 1.0e-9);
    const double gain = step * (before + idle) / std::max(after + idle, 1.0e-12);
    const double cut_wanted = m_suspect ? 1.0 - loss_allowed * (1.0 - step) : grown_gain;
    const double wanted = down ? cut_wanted : 1.0 + gain_needed * (step - 1.0);
    const double share = after / std::max(after + idle, 1.0e-12);
    const double error = gain * share * std::sqrt(m_reference.error_square() + m_leg.error_square());
    const bool clear = std::abs(gain - wanted) >= clear_errors * error;
    if (!clear && m_leg.m_time < leg_most) {
        return false;
    }
    m_last_run = after;
    const trial tried = m_trial;
    m_trial = trial::none;
    const bool changed = down && loaded && gain > changed_gain && !m_changed;
    m_changed = changed;
    m_history = m_leg;
    if (changed) {
        set_limit(m_reference_limit);
        m_history = limit_leg{};
        m_base = std::min(m_base, after);
        m_suspect_legs = 0;
        return true;
    }
    const bool moved = std::abs(step - 1.0) >= step_least;
    settle_trial(now, tried, moved && gain >= wanted, loaded ? gain : 1.0);
    return true;
}

void concurrency_limit::settle_trial(instant now, trial tried, bool better, double gain)
{
    const double run = m_leg.mean_run();
    if (!better) {
        set_limit(m_reference_limit);
        m_last_run = m_reference.mean_run();
    }
    if (tried == trial::up) {
        m_raise = better ? std::min(m_raise * raise_least, raise_most) : raise_least;
        m_raise_after = better ? now : add_saturating(now, m_raise_rest);
        m_raise_rest = better ? rest_least : longer_rest(m_raise_rest);
        if (gain < shrunk_gain && m_probe_rest <= 2 * probe_least) {
            m_probe_after = add_saturating(now, rest_least);
            m_probe_small = true;
        }
        if (better && m_limit < static_cast<double>(m_slots)) {
            begin_trial(now, trial::up);
        }
        return;
    }
    m_probe_small = !better && !m_suspect && !m_probe_small;
    if (!better) {
        m_cut_failures = m_suspect ? m_cut_failures + 1 : 0;
        const bool accepted = m_base == 0.0 || m_cut_kept || m_cut_failures >= failures_least;
        m_base = accepted && m_suspect ? run : std::min(m_base, run);
        m_cut_failures = accepted ? 0 : m_cut_failures;
        m_cut_kept = m_cut_kept && !accepted;
        m_suspect_legs = 0;
        m_cut_after = add_saturating(now, m_cut_rest);
        m_cut_rest = longer_rest(m_cut_rest);
        m_probe_rest = std::min(m_probe_rest * 2, probe_most);
        return;
    }
    m_cut_failures = 0;
    m_cut_kept = true;
    m_cut_rest = rest_least;
    m_probe_rest = probe_least;
    m_raise_after = add_saturating(now, rest_least);
    const bool suspect = m_base == 0.0 || run > m_base * m_tolerance;
    m_suspect = suspect;
    if ((suspect || gain >= grown_gain) && m_limit > static_cast<double>(m_floor)) {
        begin_trial(now, trial::down);
    }
}

} // namespace waxwing
