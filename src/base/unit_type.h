/** @file unit_type.h Types for time and for random numbers. This header compiles as C++17. */
#ifndef WAXWING_BASE_UNIT_TYPE_H
#define WAXWING_BASE_UNIT_TYPE_H

#include <chrono>
#include <cstdint>
#include <random>

namespace waxwing {

/** A length of time, in nanoseconds. */
using duration = std::chrono::nanoseconds;

/** The monotonic clock of all decisions. It has no `now`, since the current time is always an argument. */
struct monotonic_clock {
    using duration = waxwing::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/** A point in monotonic time; not comparable between processes. */
using instant = monotonic_clock::time_point;

/** The clock of decisions that must count the time in which the machine is suspended, which the monotonic
 * clock does not. It has no `now` either. */
struct boot_clock {
    using duration = waxwing::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

/** A point in time since the machine was started; not comparable between machines, nor with an instant. */
using boot_instant = boot_clock::time_point;

/** Milliseconds since the Unix epoch; for records read by people, never for decisions. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** The random number generator passed to each function that draws random numbers. */
using random_source = std::mt19937_64;

/** Converts @p value to whole milliseconds, rounded down. */
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/** Converts @p value to seconds. */
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace waxwing

#endif
