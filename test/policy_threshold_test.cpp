/** @file policy_threshold_test.cpp Tests of the shedding thresholds that an entry learns from answers. */
#include "policy/policy.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

constexpr instant start_time{std::chrono::seconds(1000)};
constexpr priority lookup{100 * 256 + 40};
constexpr priority order{200 * 256 + 40};
const kind_name kind{"lookup"};

} // namespace

Test(threshold_table, sheds_below_and_lets_probes_through)
{
    threshold_table table;
    random_source random(7);
    table.learn(start_time, kind, {101 * 256});
    int passed = 0;
    constexpr int calls = 10'000;
    for (int count = 0; count < calls; ++count) {
        passed += table.should_shed(start_time, kind, lookup, random) ? 0 : 1;
        cr_assert(!table.should_shed(start_time, kind, order, random));
        cr_assert(!table.should_shed(start_time, {"other"}, lookup, random));
    }
    cr_assert(passed > calls / 100 && passed < calls / 50, "%d", passed);
}

Test(threshold_table, fades_without_new_answers)
{
    threshold_table table;
    table.learn(start_time, kind, {65535});
    cr_assert(table.current(start_time + std::chrono::milliseconds(400), kind) == priority{65535});
    cr_assert(table.current(start_time + std::chrono::milliseconds(1500), kind) == priority{0});
}

Test(threshold_table, follows_answers_and_probes)
{
    threshold_table table;
    table.learn(start_time, kind, {50'000});
    instant now = start_time;
    for (int count = 0; count < 50; ++count) {
        now += std::chrono::milliseconds(20);
        table.learn(now, kind, {30'000});
    }
    cr_assert(table.current(now, kind).m_value < 30'100);
    for (int count = 0; count < 5; ++count) {
        now += std::chrono::milliseconds(100);
        table.learn(now, kind, {0});
    }
    cr_assert(table.current(now, kind).m_value < 256);
}

Test(threshold_table, never_sheds_above_the_highest_threshold_learnt)
{
    cr_assert(rc::check("no call at or above the highest threshold learnt is shed", [] {
        threshold_table table;
        random_source random(1);
        std::uint16_t highest = 0;
        for (const auto& [when, value] :
             *rc::gen::arbitrary<std::vector<std::pair<std::int64_t, std::uint16_t>>>()) {
            highest = std::max(highest, value);
            table.learn(instant(duration(when)), kind, {value});
            RC_ASSERT(table.current(instant(duration(when)), kind).m_value <= highest);
            RC_ASSERT(!table.should_shed(instant(duration(when)), kind, {highest}, random));
        }
    }));
}

Test(threshold_table, retains_kinds_by_predicate)
{
    threshold_table table;
    table.learn(start_time, kind, {500});
    table.learn(start_time, {"gone"}, {500});
    table.retain([](const kind_name& name) { return name == kind; });
    cr_assert(table.current(start_time, kind) == priority{500});
    cr_assert(table.current(start_time, {"gone"}) == priority{0});
}
