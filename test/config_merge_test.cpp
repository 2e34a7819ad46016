/** @file config_merge_test.cpp Tests of comparing and merging configurations. */
#include "config/config.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

/** Returns a configuration of callers with the rates @p rates; a rate of zero leaves the caller out. */
config_set make_callers(const std::vector<int>& rates)
{
    config_set set;
    for (std::size_t index = 0; index < rates.size(); ++index) {
        if (rates[index] != 0) {
            const caller_name name{"c" + std::to_string(index)};
            set.m_callers[name] = caller_object{name, share_settings{double(rates[index]), 100.0, 1.0}};
        }
    }
    return set;
}

} // namespace

Test(diff_configs, lists_each_object_that_differs)
{
    const auto changes = diff_configs(make_callers({1, 2, 0, 4}), make_callers({1, 3, 5, 0}));
    cr_assert(changes.size() == 3);
    cr_expect(changes[0].m_type == change_type::changed && changes[0].m_object == "caller c1");
    cr_expect(changes[0].m_before == "rate = 2\n" && changes[0].m_after == "rate = 3\n");
    cr_expect(changes[1].m_type == change_type::added && changes[1].m_object == "caller c2");
    cr_expect(changes[2].m_type == change_type::removed && changes[2].m_object == "caller c3");
    cr_expect(summarise(changes) == "changed caller c1\nadded caller c2\nremoved caller c3\n");
    cr_expect(diff_configs(make_callers({1}), make_callers({1})).empty());
}

Test(diff_configs, limits_the_summary)
{
    const std::string text = summarise(diff_configs({}, make_callers(std::vector<int>(1000, 7))));
    cr_expect(text.find("and 936 more\n") != std::string::npos);
}

Test(merge_configs, agrees_with_a_merge_of_plain_numbers)
{
    cr_assert(rc::check("objects are merged independently of each other", [] {
        const auto rates = [] { return *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 4)); };
        const std::vector<int> base = rates();
        const std::vector<int> mine = rates();
        const std::vector<int> theirs = rates();
        std::vector<int> merged;
        std::vector<std::string> conflicts;
        for (std::size_t index = 0; index < base.size(); ++index) {
            const bool is_conflict =
                mine[index] != base[index] && theirs[index] != base[index] && mine[index] != theirs[index];
            if (is_conflict) {
                conflicts.push_back("caller c" + std::to_string(index));
            }
            merged.push_back(mine[index] == base[index] ? theirs[index] : mine[index]);
        }
        const auto result = merge_configs(make_callers(base), make_callers(mine), make_callers(theirs));
        RC_ASSERT(result.has_value() == conflicts.empty());
        if (result.has_error()) {
            RC_ASSERT(result.error().m_conflicts == conflicts);
        }
        else {
            RC_ASSERT(write_config(result.value()) == write_config(make_callers(merged)));
        }
    }));
}

Test(merge_configs, validates_the_merged_configuration)
{
    const std::string policies = "[admission a]\nslots=4\n[routing r]\n";
    const std::string service = "admission=a\nrouting=r\n";
    const auto parse = [&](const std::string& text) {
        return read_config({config_file{"f", policies + text}}).value();
    };
    const config_set base = parse("[service s]\n" + service);
    const config_set mine = parse("[service s]\n" + service + "[service u]\n" + service + "calls=s\n");
    const auto merged = merge_configs(base, mine, parse(""));
    cr_assert(merged.has_error() && merged.error().m_conflicts.empty() &&
              merged.error().m_errors.size() == 1);
    cr_expect(merged.error().m_errors.front().m_text ==
              "service u: calls names the service s, which does not exist");
}
