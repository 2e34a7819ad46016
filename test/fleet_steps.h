/** @file fleet_steps.h Generator, printer and runner of steps for the fleet model. */
#ifndef WAXWING_TEST_FLEET_STEPS_H
#define WAXWING_TEST_FLEET_STEPS_H

#include "base/base.h"
#include "test/fleet_model.h"

#include <ostream>
#include <rapidcheck.h>

namespace waxwing::model {

/** Names of the step types. */
inline constexpr name_table<step_type_count> step_names{
    "lookup",    "order",      "poison",       "caller_gone", "advance", "cut",         "crash_target",
    "kill_node", "pause_node", "target_fails", "target_mute", "drain",   "repeat_calls"};

/** Prints @p value as the C++ initialiser that a test would contain. */
inline void showValue( // NOLINT(readability-identifier-naming): RapidCheck looks for this name.
    const step& value, std::ostream& stream)
{
    stream << "{step_type::" << name_in(step_names, value.m_type) << ", " << value.m_node << ", "
           << value.m_number << "}";
}

/** Runs @p steps on a fleet. @return the violated invariant; empty if there is none. */
inline std::string run_steps(const std::vector<step>& steps, std::uint64_t seed)
{
    try {
        fleet tested_fleet(seed);
        for (const step& current : steps) {
            tested_fleet.apply(current);
        }
        tested_fleet.finish();
        return {};
    }
    catch (const invariant_violation& violation) {
        return violation.m_text;
    }
}

} // namespace waxwing::model

namespace rc {

/** Generates steps: requests and passing time are the most frequent, faults are less frequent. */
template<>
struct Arbitrary<waxwing::model::step> {
    static Gen<waxwing::model::step> arbitrary()
    {
        using waxwing::model::step;
        using waxwing::model::step_type;
        const auto type =
            gen::weightedOneOf<step_type>({{4, gen::just(step_type::lookup)},
                                           {4, gen::just(step_type::order)},
                                           {5, gen::just(step_type::advance)},
                                           {6, gen::cast<step_type>(gen::inRange<int>(
                                                   0, static_cast<int>(waxwing::model::step_type_count)))}});
        return gen::build<step>(
            gen::set(&step::m_type, type),
            gen::set(&step::m_node, gen::inRange<unsigned>(0, waxwing::model::node_count)),
            gen::set(&step::m_number, gen::inRange<unsigned>(0, 400)));
    }
};

} // namespace rc

#endif
