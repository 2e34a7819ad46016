/** @file overload_test.cpp Replays of overload of the deepest service of a call tree, on the real decisions.
 */
#include "test/overload_model.h"

#include <criterion/criterion.h>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

/** Returns @p part of @p whole. */
double ratio_of(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

/**
 * The deepest service is offered three times what it can run, for 16 s. Each entry sees few requests, so that
 * what it learns is a second old and comes from a few targets. A call that waits in the queue of that service
 * until its caller gives up tells nobody of the threshold there: the entries then admit most lookups, and
 * more of them fail after work was done for them than are refused before. The goals of a surge are in
 * overload_goals_test.
 */
Test(overload, entries_refuse_what_the_deepest_service_cannot_run)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        overload_model model(overload_scenario{}, seed);
        model.run(0.6, 5s);
        const auto [lookups, orders] = model.run(3.0, 16s);
        cr_expect(lookups.m_failed < lookups.m_refused, "seed %lu: %zu failed, %zu refused", seed,
                  lookups.m_failed, lookups.m_refused);
        cr_expect(ratio_of(orders.m_completed, orders.m_offered) >
                      ratio_of(lookups.m_completed, lookups.m_offered),
                  "seed %lu: orders come after lookups", seed);
    }
}
