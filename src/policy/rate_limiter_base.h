/** @file rate_limiter_base.h Rate limiter by the generic cell rate algorithm. */
#ifndef WAXWING_POLICY_RATE_LIMITER_BASE_H
#define WAXWING_POLICY_RATE_LIMITER_BASE_H

#include "policy/number_func.h"

namespace waxwing {

/** Returns the time between requests at @p rate a second, to the nearest nanosecond and at least one. Thread
 * safety: pure. */
inline duration request_interval(double rate)
{
    constexpr double second = 1.0e9;
    return duration(std::max<duration::rep>(std::llround(second / rate), 1));
}

/** A rate limiter by the generic cell rate algorithm; its whole state is one instant. Thread safety: none;
 * one owner. */
class rate_limiter {
public:
    /**
     * Returns the time after @p now at which one more request conforms to @p rate a second and @p burst at
     * once; zero if it conforms now.
     * @pre @p rate > 0 and @p burst >= 1.
     */
    duration wait(instant now, double rate, double burst) const
    {
        const duration slack = from_seconds(to_seconds(request_interval(rate)) * (burst - 1.0));
        return elapsed(add_saturating(now, slack), m_next_at);
    }

    /** Counts one request. @pre It conforms. */
    void consume(instant now, double rate)
    {
        m_next_at = add_saturating(std::max(m_next_at, now), request_interval(rate));
    }

private:
    /** Theoretical arrival time of the next request at the sustained rate. */
    instant m_next_at = instant::min();
};

} // namespace waxwing

#endif
