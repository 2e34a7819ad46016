/** @file pages_test.cpp Checks that pages match their tables; WAXWING_WRITE_PAGES=1 rewrites them.
 */
#include "base/table/rules.h"
#include "events/table/events.h"
#include "node/table/settings.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace waxwing;

namespace {

std::string read_page(const std::string& name)
{
    std::ifstream stream(std::string(WAXWING_SOURCE) + "/docs/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

/** Compares @p text with the page @p name, or writes it. */
void compare_page(const std::string& name, const std::string& text)
{
    if (std::getenv("WAXWING_WRITE_PAGES") != nullptr) {
        std::ofstream(std::string(WAXWING_SOURCE) + "/docs/" + name) << text;
        return;
    }
    cr_assert(read_page(name) == text,
              "docs/%s differs from its table; run the tests with WAXWING_WRITE_PAGES=1", name.c_str());
}

std::string_view severity_name(severity value)
{
    constexpr name_table<3> names{"info", "warning", "error"};
    return name_in(names, value);
}

std::string events_page()
{
    std::ostringstream page;
    page << "# Log events\n\nEach line of the log is one numbered event, `W100 node-started node=a ...` or "
            "one JSON\n"
            "object. Numbers and names are stable. The page is drawn from `src/events/table/events.h`.\n\n"
            "| number | name | severity | fields | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const event_info& info : events) {
        page << "| W" << info.m_number << " | " << info.m_name << " | " << severity_name(info.m_severity)
             << " | " << info.m_fields << " | " << info.m_meaning << " |\n";
    }
    return std::move(page).str();
}

std::string settings_page()
{
    std::ostringstream page;
    page << "# Settings of a node\n\n`waxwingd --settings FILE --check` tests a file and names every error "
            "at once.\n"
            "Durations carry a unit: `500ms`, `20s`, `5m`. The page is drawn from "
            "`src/node/table/settings.h`.\n\n"
            "| section | key | required | meaning |\n| --- | --- | --- | --- |\n";
    for (const setting_info& info : settings_table) {
        page << "| " << info.m_section << " | " << info.m_key << " | " << (info.m_required ? "yes" : "no")
             << " | " << info.m_meaning << " |\n";
    }
    return std::move(page).str();
}

std::string rules_page()
{
    std::ostringstream page;
    page << "# Answers of waxwinghub itself\n\nEach carries `Waxwing-Outcome` (`not-run`, `ran` or "
            "`unknown`), "
            "`Waxwing-Rule`, `Cache-Control: no-store`\nand a problem body (RFC 9457). `Retry-After` comes "
            "where a later "
            "try helps. An answer speaks of the\n"
            "sending that it answers: an idempotency key did not run where each of its sendings was told "
            "`not-run`.\n"
            "The page is drawn from `src/base/table/rules.h`.\n\n"
            "| rule | status | another target is tried | Retry-After | meaning |\n| --- | --- | --- | --- | "
            "--- |\n";
    for (const rule_info& info : rules) {
        page << "| " << info.m_name << " | " << info.m_status << " | "
             << (info.m_retry_elsewhere ? "yes" : "no") << " | " << (info.m_retry_later ? "yes" : "no")
             << " | " << info.m_title << " |\n";
    }
    return std::move(page).str();
}

} // namespace

Test(pages, events)
{
    compare_page("EVENTS.md", events_page());
}

Test(pages, settings)
{
    compare_page("SETTINGS.md", settings_page());
}

Test(pages, rules)
{
    compare_page("RULES.md", rules_page());
}
