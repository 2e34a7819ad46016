/** @file number_func.h Arithmetic that stays defined over hostile settings and instants. */
#ifndef WAXWING_POLICY_NUMBER_FUNC_H
#define WAXWING_POLICY_NUMBER_FUNC_H

#include "base/base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace waxwing {

/** Gives @p value within [@p least, @p most]; @p least where it is not a number. */
inline double clamp_number(double value, double least, double most)
{
    return std::isnan(value) ? least : std::clamp(value, least, most);
}

/** Gives the time from @p then to @p now; zero where @p now is earlier, the longest time on overflow. */
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

/** Gives @p time + @p length; the extreme instant on overflow. */
inline instant add_saturating(instant time, duration length)
{
    duration::rep sum = 0;
    if (__builtin_add_overflow(time.time_since_epoch().count(), length.count(), &sum)) {
        return length < duration::zero() ? instant::min() : instant::max();
    }
    return instant(duration(sum));
}

/** Converts @p seconds to a length of time; zero where negative or not a number, the longest on overflow. */
inline duration from_seconds(double seconds)
{
    constexpr double most = 9.0e9;
    constexpr double nanoseconds = 1.0e9;
    if (std::isnan(seconds) || seconds <= 0.0) {
        return duration::zero();
    }
    return seconds >= most ? duration::max() : duration(static_cast<duration::rep>(seconds * nanoseconds));
}

/** Draws a number of [0, 1). */
inline double random_unit(random_source& random)
{
    constexpr unsigned spare_bits = 11;
    return static_cast<double>(random() >> spare_bits) * 0x1.0p-53;
}

/** Draws a number of [0, @p bound). @pre @p bound is not zero. */
inline std::uint64_t random_below(random_source& random, std::uint32_t bound)
{
    constexpr unsigned half = 32;
    return ((random() >> half) * bound) >> half;
}

} // namespace waxwing

#endif
