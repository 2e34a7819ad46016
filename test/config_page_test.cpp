/** @file config_page_test.cpp docs/CONFIGURATION.md equals the tables of keys; WAXWING_WRITE_PAGES=1 writes
 * it. */
#include "config/section_func.h"
#include "config/value_func.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace waxwing;

namespace {

const std::string intro = R"(# Configuration

A configuration is a set of objects in one or more INI files. Each object is a section `[SORT NAME]`; names are up to 63
letters, digits, `.`, `-` and `_`, and objects refer to each other by name. `waxwingctl check FILE...` names every error
at once with file and line; the same check runs before a publication and before a node takes a set into force. Times have
units: `us`, `ms`, `s`, `m` or `h`. This page is drawn from `src/config/table/keys.h`. Examples: `examples/nilestone` and
`examples/tuhoe-ridge`. How to publish a set: [operations/configuration.md](operations/configuration.md).

The set as a whole must hold: every reference names an object; `calls` has no cycle and no chain longer than `depth`;
`floor` is at most `slots`, `queue_target` at most `queue_most`, `backoff_least` at most `backoff_most`; two kinds of one
host do not match the same method and path; the services of a `split` exist, and one of them has a weight. A request
belongs to the kind that its header names, else to the kind of its host with the longest `path_prefix` and, among these,
the one with a method. The host of a kind is the name of its service where none is given.

Defaults of released keys do not change, since a published set leaves out values that are the default. All nodes must
know a new key before a set uses it: a node that does not keeps its revision and tells so.
)";

/** What a sort of object is for. */
constexpr name_table<7> meanings{
    "bounds of the whole fleet; its only name is `fleet`",
    "how calls wait at the node beside a target",
    "how targets are chosen",
    "how retries are bounded",
    "something that callers call; its name is a Host name in lower case",
    "a kind of request",
    "who calls, by the header `Waxwing-Caller`; `*` stands for all without an object"};

template<class Object>
void write_section(std::ostream& page, const section<Object>& sort)
{
    page << "\n## `[" << name_in(object_type_names, sort.m_sort)
         << " NAME]`: " << name_in(meanings, sort.m_sort)
         << "\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |\n";
    for (const key_info<Object>& key : sort.m_keys) {
        const std::string value = write_key(key, Object{});
        const std::string fallback = key.m_need == key_need::required ? "required"
                                     : value.empty()                  ? "none"
                                                                      : value;
        page << "| `" << key.m_name << "` | " << fallback << " | " << key.m_min
             << (key.m_min.empty() ? "" : " to ") << key.m_max << " | " << key.m_help << " |\n";
    }
}

} // namespace

Test(config_page, equals_the_tables_of_keys)
{
    std::ostringstream page;
    page << intro;
    const section_list sections = make_sections();
    for_each_section(sections, [&](const auto& sort) { write_section(page, sort); });
    const std::string path = WAXWING_SOURCE "/docs/CONFIGURATION.md";
    if (std::getenv("WAXWING_WRITE_PAGES") != nullptr) {
        std::ofstream(path) << page.str();
    }
    std::ostringstream found;
    found << std::ifstream(path).rdbuf();
    cr_assert(found.str() == page.str(), "docs/CONFIGURATION.md differs; run with WAXWING_WRITE_PAGES=1");
}

Test(config_page, ranges_hold_the_defaults)
{
    const section_list sections = make_sections();
    for_each_section(sections, [](const auto& sort) {
        for (const auto& key : sort.m_keys) {
            auto object = typename std::decay_t<decltype(sort.m_objects)>::mapped_type{};
            const std::string value = write_key(key, object);
            cr_expect(value.empty() || parse_key(value, key, object).has_value(), "%s",
                      std::string(key.m_name).c_str());
        }
    });
}
