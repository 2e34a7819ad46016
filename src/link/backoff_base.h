/** @file backoff_base.h Delays between attempts to connect. C++17. */
#ifndef WAXWING_LINK_BACKOFF_BASE_H
#define WAXWING_LINK_BACKOFF_BASE_H

#include "base/base.h"

#include <algorithm>

namespace waxwing {

/**
 * Exponential backoff with full jitter: each delay is uniform between zero and a bound that doubles.
 * Thread safety: for use by one thread only.
 */
class backoff {
public:
    /** @pre 0 < @p min_delay <= @p max_delay. */
    backoff(duration min_delay, duration max_delay)
        : m_min_delay(min_delay), m_max_delay(max_delay), m_delay_bound(min_delay)
    {
    }

    /** Returns a random delay up to the bound, then doubles the bound. */
    duration next_delay(random_source& random)
    {
        std::uniform_int_distribution<duration::rep> distribution(0, m_delay_bound.count());
        const duration delay(distribution(random));
        m_delay_bound = m_delay_bound > m_max_delay / 2 ? m_max_delay : 2 * m_delay_bound;
        return delay;
    }

    /** Resets the bound if the lost link had been up for at least the maximum delay (@p up_duration). */
    void on_link_lost(duration up_duration)
    {
        if (up_duration >= m_max_delay) {
            m_delay_bound = m_min_delay;
        }
    }

private:
    duration m_min_delay;
    duration m_max_delay;
    duration m_delay_bound; ///< Upper bound of the next delay.
};

} // namespace waxwing

#endif
