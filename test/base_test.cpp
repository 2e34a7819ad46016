/** @file base_test.cpp Tests of the base library. */
#include "base/base.h"
#include "base/table/rules.h"

#include <criterion/criterion.h>

using namespace waxwing;

Test(endpoint, formatted_text_parses_back)
{
    for (const std::string text : {"127.0.0.1:80", "[::1]:65535"}) {
        const result<endpoint> address = parse_endpoint(text);
        cr_assert(address.has_value());
        cr_assert(to_string(address.value()) == text);
    }
}

Test(endpoint, refuses_host_names_and_invalid_ports)
{
    for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:", "::1:80", ":80"}) {
        cr_assert(parse_endpoint(text).has_error(), "%s", text);
    }
}

Test(rules, names_are_unique)
{
    for (std::size_t index = 0; index < rules.size(); ++index) {
        cr_assert(rule_of(rules[index].m_name) == static_cast<rule>(index));
    }
}

Test(headers, names_compare_case_insensitively)
{
    const header_list headers{{"Waxwing-Kind", "order"}};
    const std::string* value = find_header(headers, "waxwing-KIND");
    cr_assert(value != nullptr && *value == "order");
    cr_assert(find_header(headers, "Waxwing-Kin") == nullptr);
}

Test(priority, importance_outweighs_cohort)
{
    for (std::uint64_t root = 1; root < 1000; ++root) {
        cr_assert(make_priority(10, root_id{root}) < make_priority(11, root_id{root * 7}));
        cr_assert(make_priority(10, root_id{root}).importance() == 10);
    }
}
