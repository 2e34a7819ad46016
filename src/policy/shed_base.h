/** @file shed_base.h The threshold below which one target's node sheds calls. */
#ifndef WAXWING_POLICY_SHED_BASE_H
#define WAXWING_POLICY_SHED_BASE_H

#include "base/base.h"

#include <array>

namespace waxwing {

/** State of a node's queue and slots at one moment. */
struct shed_view {
    std::size_t m_waiting = 0; ///< Calls in queue.
    std::size_t m_running = 0; ///< Running calls.
    /** Slots for the least important calls, plus those in use by important ones. */
    std::size_t m_usable = 1;
};

/**
 * Adapts the threshold on priority so that the admitted calls match the rate at which the target completes
 * them: up while calls wait longer than the target queue delay, down otherwise. A histogram of the offered
 * priorities tells how far to move it. Thread safety: none; one owner.
 */
class shed_threshold {
public:
    shed_threshold();

    /** Sets the mean time in queue above which the node is overloaded. */
    void configure(duration target_delay);

    /**
     * Accounts for the time up to @p now, during which the node was in the state @p view, and ends the window
     * if it is over. @return whether the threshold rose.
     */
    bool advance(instant now, const shed_view& view);

    /** Counts an offered call of @p call_priority. */
    void count_offer(priority call_priority);

    void count_start() { m_starts += 1.0; }

    void count_end() { m_ends += 1.0; }

    /** Counts a call that was evicted from the queue or expired there. */
    void count_dropped() { m_dropped += 1.0; }

    /** Returns the threshold: calls below it are shed. */
    priority value() const { return {m_threshold}; }

    /** Returns whether the last window was overloaded, or the threshold is above zero. */
    bool overloaded() const { return m_overloaded || m_threshold > 0; }

    /**
     * Returns the time at which the current window may end; always later than the last time passed to
     * advance.
     */
    instant window_end() const;

private:
    static constexpr unsigned bucket_bits = 4; ///< Low bits of a priority that are ignored by the histogram.
    static constexpr std::uint32_t bucket_width = 1U << bucket_bits; ///< Priorities of one bucket.
    /** Buckets of the histogram. */
    static constexpr std::size_t bucket_count = std::size_t{65536} / bucket_width;

    /** Ends the window, which lasted @p seconds. @return whether the threshold rose. */
    bool end_window(double seconds);

    /** Updates the rates from the offers of the window, which lasted @p seconds. */
    void update_rates(double seconds);

    /** Raises the threshold until @p shed_rate more requests a second are below it. */
    void raise(double shed_rate);

    /**
     * Lowers the threshold by at most @p distance, until @p release_rate more requests a second are above it.
     */
    void lower(double release_rate, std::uint32_t distance);

    double m_target_delay_seconds = 0.02; ///< Time in queue above which the node is overloaded.
    std::uint16_t m_threshold = 0;        ///< Calls below it are shed.
    bool m_overloaded = false;            ///< Whether the last window was overloaded.
    bool m_started = false;               ///< Whether the first window has started.
    instant m_window_since{};             ///< Start of the current window.
    instant m_accounted_until{};          ///< Time is accounted for up to here.
    double m_waiting = 0.0;               ///< Integral of the calls in queue, in call seconds.
    double m_running = 0.0;               ///< Integral of the running calls, in call seconds.
    double m_usable = 0.0;                ///< Integral of the usable slots, in slot seconds.
    double m_starts = 0.0;                ///< Calls started in the window.
    double m_ends = 0.0;                  ///< Runs ended in the window.
    double m_dropped = 0.0;               ///< Calls evicted from the queue or expired there in the window.
    double m_admitted = 0.0;              ///< Calls offered at or above the threshold in the window.
    double m_end_rate = 0.0;              ///< Runs ended a second, smoothed.
    double m_admit_rate = 0.0;            ///< Calls admitted a second, smoothed.
    std::array<std::uint32_t, bucket_count> m_offers{}; ///< Calls offered in the window, by bucket.
    /** Calls offered a second, by bucket; decays slowly below the threshold. */
    std::array<float, bucket_count> m_rates{};
};

} // namespace waxwing

#endif
