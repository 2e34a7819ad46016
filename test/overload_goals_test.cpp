/** @file overload_goals_test.cpp The goals of a surge, on the model of an overloaded deepest service.
 * KNOWN-RED.txt lists it while they are missed. */
#include "test/overload_model.h"

#include <criterion/criterion.h>

using namespace waxwing;
using namespace std::chrono_literals;

/** The deepest service is offered twice what it can run, for 16 s. */
Test(overload_goals, a_surge_at_the_deepest_service)
{
    constexpr double min_goodput = 0.95;
    constexpr double max_wasted_ratio = 0.03;
    constexpr double min_served_orders = 0.999;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        overload_model model(overload_scenario{}, seed);
        model.run(0.6, 5s);
        const auto [lookups, orders] = model.run(2.0, 16s);
        const double completed = static_cast<double>(lookups.m_completed + orders.m_completed);
        const double goodput = completed / (16 * model.capacity());
        cr_expect(goodput >= min_goodput, "seed %lu: goodput %.3f", seed, goodput);
        const double wasted = static_cast<double>(lookups.m_failed) / static_cast<double>(lookups.m_offered);
        cr_expect(wasted <= max_wasted_ratio, "seed %lu: failed %.3f", seed, wasted);
        const double served = static_cast<double>(orders.m_completed) / static_cast<double>(orders.m_offered);
        cr_expect(served >= min_served_orders, "seed %lu: orders %.3f", seed, served);
    }
}
