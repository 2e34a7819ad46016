/** @file number_func.h Arithmetic that is defined for all settings and instants, including invalid ones. */
#ifndef WAXWING_POLICY_NUMBER_FUNC_H
#define WAXWING_POLICY_NUMBER_FUNC_H

#include "base/base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace waxwing {

/** Returns @p value clamped to [@p min_value, @p max_value]; @p min_value if it is not a number. */
inline double clamp_number(double value, double min_value, double max_value)
{
    return std::isnan(value) ? min_value : std::clamp(value, min_value, max_value);
}

/** Returns the time from @p then to @p now; zero if @p now is earlier, duration::max on overflow. */
inline duration elapsed(instant then, instant now)
{
    if (now <= then) {
        return duration::zero();
    }
    duration::rep difference = 0;
    const bool overflows =
        __builtin_sub_overflow(now.time_since_epoch().count(), then.time_since_epoch().count(), &difference);
    return overflows ? duration::max() : duration(difference);
}

/** Returns @p time + @p length; instant::min or instant::max on overflow. */
inline instant add_saturating(instant time, duration length)
{
    duration::rep sum = 0;
    if (__builtin_add_overflow(time.time_since_epoch().count(), length.count(), &sum)) {
        return length < duration::zero() ? instant::min() : instant::max();
    }
    return instant(duration(sum));
}

/** Converts @p seconds to a duration; zero if negative or not a number, duration::max on overflow. */
inline duration from_seconds(double seconds)
{
    constexpr double max_seconds = 9.0e9;
    constexpr double nanoseconds_per_second = 1.0e9;
    if (std::isnan(seconds) || seconds <= 0.0) {
        return duration::zero();
    }
    return seconds >= max_seconds ? duration::max()
                                  : duration(static_cast<duration::rep>(seconds * nanoseconds_per_second));
}

/** Draws a number from [0, 1). */
inline double random_unit(random_source& random)
{
    constexpr unsigned spare_bits = 11;
    return static_cast<double>(random() >> spare_bits) * 0x1.0p-53;
}

/** Draws a number from [0, @p bound). @pre @p bound is not zero. */
inline std::uint64_t random_below(random_source& random, std::uint32_t bound)
{
    constexpr unsigned half_bits = 32;
    return ((random() >> half_bits) * bound) >> half_bits;
}

} // namespace waxwing

#endif
