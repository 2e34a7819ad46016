/** @file settings_test.cpp Tests of a node's settings. */
#include "node/settings_func.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

const std::string good = "[node]\nname = a\nregion = r\ndata_centre = d\n"
                         "[listen]\ncallers = 127.0.0.1:1\nlinks = 127.0.0.1:2\ngossip = 127.0.0.1:3\n"
                         "operators = 127.0.0.1:4\n"
                         "[platform]\nstore = 127.0.0.1:5\n"
                         "[security]\nshared_key = 0123456789abcdef\n";

/** Returns whether one of @p errors is at @p line and contains @p text. */
bool has_error_at(const located_errors& errors, int line, const std::string& text)
{
    for (const located_error& where : errors) {
        if (where.m_line == line && where.m_text.find(text) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

Test(settings, reads_a_whole_file)
{
    const auto read = read_settings("a.ini", good + "[node]\nstop_limit = 5s\ncontrol = fixed-slots\n");
    cr_assert(read.has_value());
    cr_assert(read.value().m_stop_timeout == std::chrono::seconds(5));
    cr_assert(read.value().m_control == control_mode::fixed_slots);
    cr_assert(read.value().m_gossip.m_port == 3);
}

/** A misspelt value of fail_closed must not leave the deployment open. */
Test(settings, fail_closed_is_off_by_default_and_yes_or_no)
{
    const auto plain = read_settings("a.ini", good + "[organisations]\n");
    cr_assert(plain.has_value() && !plain.value().m_fail_closed);
    cr_assert(plain.value().m_revocation_timeout == std::chrono::seconds(5));
    const auto closed =
        read_settings("a.ini", good + "[organisations]\nfail_closed = yes\nrevocation_timeout = 8000ms\n");
    cr_assert(closed.has_value() && closed.value().m_fail_closed);
    cr_assert(closed.value().m_revocation_timeout == std::chrono::seconds(8));
    cr_assert(read_settings("a.ini", good + "[organisations]\nfail_closed = true\n").has_error());
}

Test(settings, names_every_error_with_its_line)
{
    const auto read =
        read_settings("a.ini", "[node]\nname = a b\nregion = r\nregion = s\n[listen]\ncallers = host:1\n"
                               "colour = red\nbody_limit = 0\n[node]\nstop_limit = 5\nnonsense\n");
    cr_assert(read.has_error());
    const located_errors& errors = read.error();
    cr_assert(has_error_at(errors, 2, "spaces"));
    cr_assert(has_error_at(errors, 4, "is set twice"));
    cr_assert(has_error_at(errors, 6, "not an IP number"));
    cr_assert(has_error_at(errors, 7, "unknown setting listen.colour"));
    cr_assert(has_error_at(errors, 8, "must be between"));
    cr_assert(has_error_at(errors, 10, "not a duration"));
    cr_assert(has_error_at(errors, 11, "expected a [section] or key = value"));
    cr_assert(has_error_at(errors, 0, "security.shared_key is missing"));
}

Test(settings, are_total_over_any_text)
{
    cr_assert(rc::check("any text", [](const std::string& text) {
        const auto read = read_settings("a.ini", good + text);
        const bool explained = read.has_value() || !read.error().empty();
        RC_ASSERT(explained);
    }));
}
