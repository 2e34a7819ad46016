/** @file config_page_test.cpp Checks that docs/CONFIGURATION.md matches the tables of keys;
 * WAXWING_WRITE_PAGES=1 regenerates the page. */
#include "config/section_func.h"
#include "config/value_func.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace waxwing;

namespace {

const std::string introduction = R"(# Configuration

A configuration is a set of objects in one or more INI files. Each object is a section `[TYPE NAME]`; names have up to 63
letters, digits, `.`, `-` and `_`, and objects refer to each other by name. `waxwingctl check FILE...` reports all errors
with file and line; the same check runs before a publication and before a node puts a configuration in force. Durations
have units: `ns`, `us`, `ms`, `s`, `m` or `h`. This page is generated from `src/config/table/keys.h`. Examples:
`examples/nilestone` and `examples/tuhoe-ridge`. How to publish a configuration:
[operations/configuration.md](operations/configuration.md).

The configuration must be consistent: every reference names an existing object; `calls` has no cycle and no chain longer
than `depth`; `floor` is at most `slots`, `queue_target` at most `queue_most`, `backoff_least` at most `backoff_most`; two
kinds of one host do not match the same method and path; the services of a `split` exist, and at least one of them has a
weight above 0. A request belongs to the kind that its header names, else to the kind of its host with the longest
matching `path_prefix`; among equal prefixes, a kind with a method takes precedence over one without. The host of a kind
defaults to the name of its service.

Defaults of released keys do not change, since a published configuration leaves out default values. All nodes must
support a new key before a configuration uses it: a node that does not keeps its revision in force and logs an event.
)";

/** Descriptions of the object types, in the order of object_type. */
constexpr name_table<8> descriptions{
    "limits of the whole fleet; the only name is `fleet`",
    "queueing and concurrency at the node beside a target",
    "choice of targets",
    "limits of retries",
    "a service that callers send requests to; its name is a host name in lower case",
    "a kind of request, matched by host, method and path",
    "a caller, identified by the header `Waxwing-Caller`; `*` applies to callers without an object",
    "an organisation whose callers send `Authorization: Bearer KEY`; its name is sent to targets"};

template<class Object>
void write_section(std::ostream& page, const section<Object>& objects)
{
    page << "\n## `[" << name_in(object_type_names, objects.m_type)
         << " NAME]`: " << name_in(descriptions, objects.m_type)
         << "\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |\n";
    for (const key_info<Object>& key : objects.m_keys) {
        const std::string value = write_key(key, Object{});
        const std::string default_text = key.m_presence == key_presence::required ? "required"
                                         : value.empty()                          ? "none"
                                                                                  : value;
        page << "| `" << key.m_name << "` | " << default_text << " | " << key.m_min
             << (key.m_min.empty() ? "" : " to ") << key.m_max << " | " << key.m_help << " |\n";
    }
}

} // namespace

Test(config_page, equals_the_tables_of_keys)
{
    std::ostringstream page;
    page << introduction;
    const section_list sections = make_sections();
    for_each_section(sections, [&](const auto& objects) { write_section(page, objects); });
    const std::string path = WAXWING_SOURCE "/docs/CONFIGURATION.md";
    if (std::getenv("WAXWING_WRITE_PAGES") != nullptr) {
        std::ofstream(path) << page.str();
    }
    std::ostringstream file_text;
    file_text << std::ifstream(path).rdbuf();
    cr_assert(file_text.str() == page.str(), "docs/CONFIGURATION.md differs; run with WAXWING_WRITE_PAGES=1");
}

Test(config_page, ranges_hold_the_defaults)
{
    const section_list sections = make_sections();
    for_each_section(sections, [](const auto& objects) {
        for (const auto& key : objects.m_keys) {
            auto object = typename std::decay_t<decltype(objects.m_objects)>::mapped_type{};
            const std::string value = write_key(key, object);
            cr_expect(value.empty() || parse_key(value, key, object).has_value(), "%s",
                      std::string(key.m_name).c_str());
        }
    });
}
