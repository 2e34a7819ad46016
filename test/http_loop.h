/** @file http_loop.h An event loop for HTTP tests that fails the test on a time-out. */
#ifndef WAXWING_TEST_HTTP_LOOP_H
#define WAXWING_TEST_HTTP_LOOP_H

#include "loop/loop.h"

#include <criterion/criterion.h>

namespace waxwing {

/** Far longer than any test takes. */
inline constexpr duration test_timeout = std::chrono::seconds(60);

/** An event loop that fails the test after test_timeout. */
struct guarded_loop {
    event_loop m_loop;
    timer m_timeout_timer{m_loop, [] { cr_assert(false, "the test did not finish within test_timeout"); }};

    guarded_loop() { m_timeout_timer.set(test_timeout); }
};

} // namespace waxwing

#endif
