/** @file http_loop.h A loop for tests of HTTP that ends with a failure where the awaited events do not come.
 */
#ifndef WAXWING_TEST_HTTP_LOOP_H
#define WAXWING_TEST_HTTP_LOOP_H

#include "loop/loop.h"

#include <criterion/criterion.h>

namespace waxwing {

/** Far above what any test needs. */
inline constexpr duration guard = std::chrono::seconds(60);

/** A loop that ends with a failure after the guard's time. */
struct guarded_loop {
    event_loop m_loop;
    timer m_guard{m_loop, [] { cr_assert(false, "the awaited events did not come"); }};

    guarded_loop() { m_guard.set(guard); }
};

} // namespace waxwing

#endif
