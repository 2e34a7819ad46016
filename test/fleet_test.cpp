/** @file fleet_test.cpp Stateful tests: checks entries and runners of several nodes against the oracle of the
 * fleet model. */
#include "test/fleet_steps.h"

#include <criterion/criterion.h>

using namespace waxwing;
using namespace waxwing::model;

Test(fleet, completes_requests_and_sub_calls_without_faults)
{
    fleet tested_fleet(1);
    for (unsigned number = 0; number < 20; ++number) {
        tested_fleet.apply({step_type::lookup, number, number});
        tested_fleet.apply({step_type::advance, 0, 50});
    }
    tested_fleet.finish();
    cr_assert(tested_fleet.completed() == 40, "%lu of 20 requests and 20 sub-calls completed",
              static_cast<unsigned long>(tested_fleet.completed()));
}

Test(fleet, keeps_its_invariants_under_random_steps)
{
    cr_assert(rc::check("any steps", [](const std::vector<step>& steps, std::uint16_t seed) {
        const std::string violation = run_steps(steps, seed);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    }));
}
