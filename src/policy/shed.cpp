/** @file shed.cpp The threshold below which one target's node sheds calls. */
#include "policy/shed_base.h"

#include "policy/number_func.h"

namespace waxwing {

namespace {

/** The threshold moves at most once in this time. */
constexpr duration window_duration = std::chrono::milliseconds(100);
constexpr double full_weight_ends = 100.0; ///< Runs ended in a window for each unit of its smoothing weight.
constexpr double min_smoothing = 0.1;      ///< Weight of a window with few runs in the smoothed rates.
constexpr double max_smoothing = 0.5;      ///< Weight of a window with many runs in the smoothed rates.
constexpr double rate_weight = 0.3;        ///< Weight of a window in the rates by priority.
/** Ratio of a rate below the threshold that remains after one window, at least. */
constexpr float rate_decay = 0.995F;
constexpr double drain_seconds = 1.0;   ///< Time in which a queue that is too long should drain.
constexpr double min_shed_ratio = 0.02; ///< A smaller excess of the admitted calls is not shed.
constexpr double max_shed_ratio = 0.3;  ///< Ratio of the admitted calls that is shed in one window, at most.
constexpr double busy_ratio = 0.95;     ///< Utilisation of the slots from which the threshold falls slowly.
/** Ratio of the admitted calls that is released in one window while busy. */
constexpr double busy_release_ratio = 0.02;
constexpr double free_release_factor = 0.5; ///< Ratio of the free capacity that is released in one window.
/** Ratio of the admitted calls that is released in one window, at most. */
constexpr double max_release_ratio = 2.0;
/** Ratio of all offered calls that is released in one window, at least, while not busy. */
constexpr double min_release_ratio = 0.05;
constexpr std::uint32_t max_busy_distance = 128; ///< The threshold falls by no more in one window while busy.
constexpr double min_overload_queue = 5.0;       ///< A shorter mean queue never counts as overload.

} // namespace

shed_threshold::shed_threshold() = default;

void shed_threshold::configure(duration target_delay)
{
    m_target_delay_seconds = std::max(to_seconds(target_delay), 0.0);
}

instant shed_threshold::window_end() const
{
    const instant end = add_saturating(m_window_since, window_duration);
    return m_started ? end : instant::max();
}

void shed_threshold::count_offer(priority call_priority)
{
    ++m_offers[call_priority.m_value >> bucket_bits];
    m_admitted += call_priority.m_value >= m_threshold ? 1.0 : 0.0;
}

bool shed_threshold::advance(instant now, const shed_view& view)
{
    if (!m_started) {
        m_started = true;
        m_window_since = m_accounted_until = now;
    }
    const double time = to_seconds(elapsed(m_accounted_until, now));
    m_accounted_until = std::max(m_accounted_until, now);
    m_waiting += time * static_cast<double>(view.m_waiting);
    m_running += time * static_cast<double>(view.m_running);
    m_usable += time * static_cast<double>(view.m_usable);
    const duration length = elapsed(m_window_since, now);
    if (length < window_duration) {
        return false;
    }
    m_window_since = now;
    return end_window(to_seconds(length));
}

void shed_threshold::update_rates(double seconds)
{
    const std::size_t threshold_bucket = m_threshold >> bucket_bits;
    for (std::size_t index = 0; index < bucket_count; ++index) {
        const auto rate = static_cast<float>(m_offers[index] / seconds);
        const float smoothed = m_rates[index] + (rate - m_rates[index]) * static_cast<float>(rate_weight);
        m_rates[index] =
            index < threshold_bucket ? std::max(smoothed, m_rates[index] * rate_decay) : smoothed;
    }
    m_offers.fill(0);
}

bool shed_threshold::end_window(double seconds)
{
    update_rates(seconds);
    const double smoothing = std::clamp(m_ends / full_weight_ends, min_smoothing, max_smoothing);
    m_end_rate += (m_ends / seconds - m_end_rate) * smoothing;
    m_admit_rate += (m_admitted / seconds - m_admit_rate) * smoothing;
    const double wait = m_waiting / std::max(m_starts + m_dropped, 1.0);
    const double target = std::max(m_target_delay_seconds, min_overload_queue / std::max(m_end_rate, 1.0));
    const double utilisation = m_running / std::max(m_usable, 1.0e-9);
    m_waiting = m_running = m_usable = m_starts = m_ends = m_dropped = m_admitted = 0.0;
    m_overloaded = wait > target;
    if (m_overloaded) {
        const double sustainable_rate =
            m_end_rate * (1.0 - std::min((wait - target) / drain_seconds, max_shed_ratio));
        const double excess =
            std::min((m_admit_rate - sustainable_rate) / std::max(m_admit_rate, 1.0e-9), max_shed_ratio);
        if (excess < min_shed_ratio) {
            return false;
        }
        raise(excess * m_admit_rate);
        m_admit_rate *= 1.0 - excess;
        return true;
    }
    if (m_threshold > 0) {
        const bool busy = utilisation >= busy_ratio;
        const double release_ratio =
            busy ? busy_release_ratio
                 : std::min(free_release_factor * (1.0 / std::max(utilisation, 0.01) - 1.0),
                            max_release_ratio);
        double total_rate = 0.0;
        for (const float rate : m_rates) {
            total_rate += static_cast<double>(rate);
        }
        const double release_rate =
            std::max(release_ratio * m_admit_rate, busy ? 0.0 : min_release_ratio * total_rate);
        lower(release_rate, busy ? max_busy_distance : bucket_count * bucket_width);
    }
    return false;
}

void shed_threshold::raise(double shed_rate)
{
    constexpr std::uint32_t max_position = bucket_count * bucket_width - 1;
    std::uint32_t position = m_threshold;
    while (position < max_position && shed_rate > 0.0) {
        const std::uint32_t end = std::min((position / bucket_width + 1) * bucket_width, max_position);
        const double rate = static_cast<double>(m_rates[position >> bucket_bits]);
        const double bucket_rate = rate * (end - position) / bucket_width;
        if (bucket_rate > shed_rate) {
            position += static_cast<std::uint32_t>(std::ceil(shed_rate / bucket_rate * (end - position)));
            break;
        }
        shed_rate -= bucket_rate;
        position = end;
    }
    m_threshold = static_cast<std::uint16_t>(std::min(position, max_position));
}

void shed_threshold::lower(double release_rate, std::uint32_t distance)
{
    std::uint32_t position = m_threshold;
    const std::uint32_t min_position = position - std::min(position, distance);
    while (position > min_position && release_rate > 0.0) {
        const std::uint32_t start = std::max((position - 1) / bucket_width * bucket_width, min_position);
        const double rate = static_cast<double>(m_rates[start >> bucket_bits]);
        const double bucket_rate = rate * (position - start) / bucket_width;
        if (bucket_rate > release_rate) {
            position -=
                static_cast<std::uint32_t>(std::ceil(release_rate / bucket_rate * (position - start)));
            break;
        }
        release_rate -= bucket_rate;
        position = start;
    }
    m_threshold = static_cast<std::uint16_t>(position);
}

} // namespace waxwing
