/** @file shed.cpp The threshold below which one target's node sheds calls. */
#include "policy/shed_base.h"

#include "policy/number_func.h"

namespace waxwing {

namespace {

constexpr duration window_length = std::chrono::milliseconds(100); ///< The threshold moves once in it.
constexpr double ends_wanted = 100.0;   ///< Runs that carry a window's full weight.
constexpr double smoothing_least = 0.1; ///< Weight of a window with few runs in the smoothed rates.
constexpr double smoothing_most = 0.5;  ///< Weight of a window in the smoothed rates.
constexpr double rate_weight = 0.3;     ///< Weight of a window in the rates by priority.
constexpr float rate_kept = 0.995F;     ///< What a window keeps of the rates below the threshold.
constexpr double drain_time = 1.0;      ///< Seconds in which a queue that is too long should drain.
constexpr double shed_least = 0.02;     ///< Least share shed in one window.
constexpr double shed_most = 0.3;       ///< Greatest share shed in one window.
constexpr double busy_share = 0.95;     ///< Slots in use above which the threshold falls gently.
constexpr double gentle_rise = 0.02;    ///< Share admitted in addition in one window, while busy.
constexpr double free_share = 0.5;      ///< Part of the free capacity that is admitted in one window.
constexpr double release_most = 2.0;    ///< Greatest share admitted in addition in one window.
constexpr double release_least = 0.05;  ///< Least share of all offers that is released while slots are free.
constexpr std::uint32_t gentle_distance = 128; ///< The threshold falls by no more in one window, while busy.
constexpr double queue_least = 5.0;            ///< Calls in queue, on average, that never count as overload.

} // namespace

shed_threshold::shed_threshold() = default;

void shed_threshold::configure(duration queue_target)
{
    m_queue_target = std::max(to_seconds(queue_target), 0.0);
}

instant shed_threshold::window_end() const
{
    const instant first = add_saturating(m_window, window_length);
    return m_started ? first : instant::max();
}

void shed_threshold::count_offer(priority wanted)
{
    ++m_offers[wanted.m_value >> bucket_bits];
    m_admitted += wanted.m_value >= m_threshold ? 1.0 : 0.0;
}

bool shed_threshold::advance(instant now, const shed_view& view)
{
    if (!m_started) {
        m_started = true;
        m_window = m_counted = now;
    }
    const double time = to_seconds(elapsed(m_counted, now));
    m_counted = std::max(m_counted, now);
    m_waiting += time * static_cast<double>(view.m_waiting);
    m_running += time * static_cast<double>(view.m_running);
    m_usable += time * static_cast<double>(view.m_usable);
    const duration length = elapsed(m_window, now);
    if (length < window_length) {
        return false;
    }
    m_window = now;
    return end_window(to_seconds(length));
}

void shed_threshold::learn_rates(double seconds)
{
    const std::size_t first = m_threshold >> bucket_bits;
    for (std::size_t index = 0; index < bucket_count; ++index) {
        const auto seen = static_cast<float>(m_offers[index] / seconds);
        const float mixed = m_rates[index] + (seen - m_rates[index]) * static_cast<float>(rate_weight);
        m_rates[index] = index < first ? std::max(mixed, m_rates[index] * rate_kept) : mixed;
    }
    m_offers.fill(0);
}

bool shed_threshold::end_window(double seconds)
{
    learn_rates(seconds);
    const double smoothing = std::clamp(m_ends / ends_wanted, smoothing_least, smoothing_most);
    m_end_rate += (m_ends / seconds - m_end_rate) * smoothing;
    m_admit_rate += (m_admitted / seconds - m_admit_rate) * smoothing;
    const double wait = m_waiting / std::max(m_starts + m_losses, 1.0);
    const double target = std::max(m_queue_target, queue_least / std::max(m_end_rate, 1.0));
    const double use = m_running / std::max(m_usable, 1.0e-9);
    m_waiting = m_running = m_usable = m_starts = m_ends = m_losses = m_admitted = 0.0;
    m_overloaded = wait > target;
    if (m_overloaded) {
        const double fits = m_end_rate * (1.0 - std::min((wait - target) / drain_time, shed_most));
        const double excess = std::min((m_admit_rate - fits) / std::max(m_admit_rate, 1.0e-9), shed_most);
        if (excess < shed_least) {
            return false;
        }
        raise(excess * m_admit_rate);
        m_admit_rate *= 1.0 - excess;
        return true;
    }
    if (m_threshold > 0) {
        const bool busy = use >= busy_share;
        const double share =
            busy ? gentle_rise : std::min(free_share * (1.0 / std::max(use, 0.01) - 1.0), release_most);
        double all = 0.0;
        for (const float rate : m_rates) {
            all += static_cast<double>(rate);
        }
        const double more = std::max(share * m_admit_rate, busy ? 0.0 : release_least * all);
        lower(more, busy ? gentle_distance : bucket_count * bucket_width);
    }
    return false;
}

void shed_threshold::raise(double shed)
{
    constexpr std::uint32_t most = bucket_count * bucket_width - 1;
    std::uint32_t position = m_threshold;
    while (position < most && shed > 0.0) {
        const std::uint32_t end = std::min((position / bucket_width + 1) * bucket_width, most);
        const double rate = static_cast<double>(m_rates[position >> bucket_bits]);
        const double here = rate * (end - position) / bucket_width;
        if (here > shed) {
            position += static_cast<std::uint32_t>(std::ceil(shed / here * (end - position)));
            break;
        }
        shed -= here;
        position = end;
    }
    m_threshold = static_cast<std::uint16_t>(std::min(position, most));
}

void shed_threshold::lower(double more, std::uint32_t distance)
{
    std::uint32_t position = m_threshold;
    const std::uint32_t least = position - std::min(position, distance);
    while (position > least && more > 0.0) {
        const std::uint32_t start = std::max((position - 1) / bucket_width * bucket_width, least);
        const double rate = static_cast<double>(m_rates[start >> bucket_bits]);
        const double here = rate * (position - start) / bucket_width;
        if (here > more) {
            position -= static_cast<std::uint32_t>(std::ceil(more / here * (position - start)));
            break;
        }
        more -= here;
        position = start;
    }
    m_threshold = static_cast<std::uint16_t>(position);
}

} // namespace waxwing
