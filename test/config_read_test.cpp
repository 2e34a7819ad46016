/** @file config_read_test.cpp Tests of parsing, validating and serialising configurations. */
#include "config/config.h"
#include "config/ini_func.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace waxwing;

namespace {

/** Returns the files of the example @p name. */
std::vector<config_file> read_example(const std::string& name)
{
    std::vector<config_file> files;
    for (const auto& entry : std::filesystem::directory_iterator(WAXWING_SOURCE "/examples/" + name)) {
        if (entry.path().extension() != ".ini") {
            continue;
        }
        std::ostringstream text;
        text << std::ifstream(entry.path()).rdbuf();
        files.push_back(config_file{entry.path().filename().string(), text.str()});
    }
    return files;
}

/** A valid configuration of 17 lines that tests append to. */
const std::string valid_text = "[admission a]\nslots = 4\n[routing r]\n[retry t]\n"
                               "[service s]\nadmission = a\nrouting = r\n"
                               "[service u]\nadmission = a\nrouting = r\n"
                               "[kind k]\nservice = s\nimportance = 9\nidempotent = yes\nretry = t\n"
                               "[caller c]\nrate = 5\n";

/** Parses @p text as the file `f`. @return the errors, one per line; empty if there are none. */
std::string errors_of(const std::string& text)
{
    const auto read = read_config({config_file{"f", text}});
    std::string lines;
    if (read.has_error()) {
        for (const located_error& each : read.error()) {
            lines += to_string(each) + "\n";
        }
    }
    return lines;
}

/** Expects that @p text, appended to valid_text, gives exactly the errors @p expected. */
void expect_errors(const std::string& text, const std::string& expected)
{
    const std::string actual = errors_of(valid_text + text);
    cr_expect(actual == expected, "text:\n%s\nactual:\n%s\nexpected:\n%s", text.c_str(), actual.c_str(),
              expected.c_str());
}

} // namespace

Test(config_read, examples_are_valid_and_round_trip)
{
    for (const char* name : {"nilestone", "tuhoe-ridge"}) {
        const auto read = read_config(read_example(name));
        cr_assert(read.has_value(), "%s: %s", name, to_string(read.error().front()).c_str());
        const std::string text = write_config(read.value());
        const auto again = read_config({config_file{"again", text}});
        cr_assert(again.has_value(), "%s", to_string(again.error().front()).c_str());
        cr_assert(write_config(again.value()) == text);
    }
}

Test(config_read, examples_order_fetches_lookups_and_orders)
{
    for (const char* name : {"nilestone", "tuhoe-ridge"}) {
        const config_set set = read_config(read_example(name)).value();
        for (const auto& [kind_name, kind] : set.m_kinds) {
            const bool fetch = kind.m_retry == "fetches";
            cr_expect(kind.m_idempotent == (kind.m_importance <= 192));
            cr_expect(fetch == (kind.m_importance < 64));
        }
    }
}

Test(config_read, parses_values_into_their_fields)
{
    const auto read = read_config({config_file{
        "f", valid_text +
                 "[limits fleet]\ndepth=7\n[caller *]\nweight = 2.5 ; half more\n[kind z]\nservice=s\n"
                 "path_prefix=/"
                 "p\nidempotent=no\nhost=h.example\nsplit=s:90\nobjective=1s\nattempts=2\nimportance="
                 "255\nretry=t\ndeadline=90s\n"}});
    cr_assert(read.has_value());
    const config_set& set = read.value();
    cr_expect(set.m_max_depth == 7);
    cr_expect(set.m_unknown_callers.m_weight == 2.5);
    cr_expect(set.m_callers.size() == 1);
    const kind_object& kind = set.m_kinds.at(kind_name{"z"});
    cr_expect(kind.m_name.m_value == "z" && kind.m_service.m_value == "s" && kind.m_importance == 255);
    cr_expect(kind.m_host == "h.example" && kind.m_deadline == std::chrono::seconds(90));
    cr_expect(kind.m_objective == std::chrono::seconds(1) && kind.m_attempts == 2);
    const std::vector<split_part> parts{{service_name{"s"}, 90}};
    cr_expect(kind.m_split == parts);
    cr_expect(write_config(set).find("deadline = 90s\n") != std::string::npos);
}

Test(config_read, reports_malformed_lines)
{
    cr_expect(errors_of("x = 1\n").find("f:1: the key is above the first heading\n") == 0);
    expect_errors("[service\n[caller d] e\nnothing\n",
                  "f:18: the heading has no closing bracket\n"
                  "f:18: \"\" is not a valid name for an object of type service; use up to 63 letters, "
                  "digits, '.', '-' and '_'\n"
                  "f:18: service : the key admission is missing\n"
                  "f:18: service : the key routing is missing\n"
                  "f:19: unexpected text after the heading\n"
                  "f:20: the line is not a heading, key or comment; write "
                  "a key as NAME = VALUE\n");
    expect_errors("[caller d]\nrate = 1\x01\n", "f:19: the line contains a control character\n");
    expect_errors("[caller d]\nrate = " + std::string(ini_line_limit - 6, '1'),
                  "f:19: the line is longer than " + std::to_string(ini_line_limit) + " bytes\n");
}

Test(config_read, reports_unknown_and_duplicate_names)
{
    expect_errors("[host h]\n", "f:18: unknown object type \"host\"; the types are service, kind, caller, "
                                "organisation, admission, routing, retry and limits\n");
    expect_errors("[caller c]\n", "f:18: caller c is defined twice; first at f:16\n");
    expect_errors("[caller d]\nrte = 1\nrate = 1\nrate = 2\n",
                  "f:19: caller d: unknown key \"rte\"; the keys are rate, burst, weight\n"
                  "f:21: caller d: the key rate is set twice; first in line 20\n");
    expect_errors("[limits other]\n",
                  "f:18: \"other\" is not a valid name for an object of type limits; write [limits fleet]\n");
    expect_errors("[service *]\nadmission = a\nrouting = r\n",
                  "f:18: \"*\" is not a valid name for an object of type service; use up to 63 letters, "
                  "digits, '.', '-' and '_'\n");
    expect_errors(
        "[service Big]\nadmission = a\nrouting = r\n",
        "f:18: service Big: the name of a service must be in lower case, since it is used as a host name\n");
}

Test(config_read, reports_invalid_values)
{
    const std::string unit = " is not a duration with its unit, such as 20ms, 2s, 10m or 24h\n";
    expect_errors(
        "[admission b]\nslots = 0\nwindow = 20\nqueue_most = 1 s\ntolerance = nan\nheadroom = 0.95\n",
        "f:19: admission b: slots: \"0\" is out of range: from 1 to 100000\n"
        "f:20: admission b: window: \"20\"" +
            unit + "f:21: admission b: queue_most: \"1 s\"" + unit +
            "f:22: admission b: tolerance: \"nan\" is not a number\n"
            "f:23: admission b: headroom: \"0.95\" is out of range: from 0 to 0.9\n");
    expect_errors(
        "[kind l]\nservice = s\nmethod = get\npath_prefix = p\nimportance = 256\nidempotent = true\n"
        "split = s:x\nretry = t\n",
        "f:20: kind l: method: \"get\" is not an HTTP method in capitals\n"
        "f:21: kind l: path_prefix: \"p\" is not a path that begins with / and contains no space, query, "
        "fragment or semicolon\n"
        "f:22: kind l: importance: \"256\" is out of range: from 0 to 255\n"
        "f:23: kind l: idempotent: \"true\" is not yes or no\n"
        "f:24: kind l: split: \"s:x\" is not of the form SERVICE:WEIGHT; parts are separated by spaces\n");
    expect_errors("[admission c]\nslots = 0\nfloor = 200\n",
                  "f:19: admission c: slots: \"0\" is out of range: from 1 to 100000\n");
    expect_errors("[retry v]\nbackoff_most = 99999999999999999999h\n",
                  "f:19: retry v: backoff_most: \"99999999999999999999h\"" + unit);
}

Test(config_read, reports_dangling_references_and_missing_keys)
{
    expect_errors("[service v]\nadmission = b\nrouting = q\ncalls = u w\n",
                  "f:19: service v: admission names the admission b, which does not exist\n"
                  "f:20: service v: routing names the routing q, which does not exist\n"
                  "f:21: service v: calls names the service w, which does not exist\n");
    expect_errors("[kind l]\nservice = v\n",
                  "f:18: kind l: the key importance is missing\n"
                  "f:18: kind l: the key idempotent is missing\n"
                  "f:18: kind l: the key retry is missing\n"
                  "f:19: kind l: service names the service v, which does not exist\n");
}

Test(config_read, reports_contradictions)
{
    expect_errors("[admission b]\nfloor = 5\nslots = 4\nqueue_target = 2s\n",
                  "f:19: admission b: floor is greater than slots\n"
                  "f:21: admission b: queue_target is greater than queue_most\n");
    expect_errors("[retry v]\nbackoff_most = 1ms\n",
                  "f:18: retry v: backoff_least is greater than backoff_most\n");
    expect_errors("[service v]\nadmission=a\nrouting=r\nrefusal_status=200\n",
                  "f:21: service v: refusal_status must be 0 or from 400 to 599\n");
    const std::string kind = "[kind l]\nservice=s\npath_prefix=/l\nimportance=1\nretry=t\n";
    expect_errors(kind + "idempotent=no\n", "");
    expect_errors(kind + "idempotent=no\nsplit=s:1 nowhere:1\n",
                  "f:24: kind l: split names the service nowhere, which does not exist\n");
    expect_errors(kind + "idempotent=no\nsplit=s:0\n",
                  "f:24: kind l: split needs at least one service with a weight above 0\n");
    expect_errors("[kind l]\nservice=s\nimportance=1\nidempotent=yes\nretry=t\n",
                  "f:18: kind l: matches the same host, method and path as the kind k\n");
}

Test(config_read, reports_cycles_and_chains_that_are_too_long)
{
    const std::string policies = "\nadmission = a\nrouting = r\n";
    expect_errors("[service v]" + policies + "calls = w\n[service w]" + policies +
                      "calls = v u\n[service x]" + policies + "calls = x\n",
                  "f:25: service w: the call cycle v -> w -> v is not allowed\n"
                  "f:29: service x: the call cycle x -> x is not allowed\n");
    expect_errors("[service v]" + policies + "calls = u s u\n",
                  "f:21: service v: calls: \"u\" is listed twice\n");
    expect_errors(
        "[limits fleet]\ndepth=2\n[service v]" + policies + "calls = w\n[service w]" + policies +
            "calls = u\n",
        "f:23: service v: the call chain v -> w -> u is longer than the depth set in limits fleet\n");
}

Test(config_read, limits_its_input_and_its_errors)
{
    const auto read =
        read_config({config_file{"f", std::string(config_text_limit, '\n')}, config_file{"g", "\n"}});
    cr_assert(read.has_error() && read.error().size() == 1);
    cr_expect(read.error().front().m_file == "g");
    std::string text;
    for (int line = 0; line < 1000; ++line) {
        text += "x\n";
    }
    const auto many_errors = read_config({config_file{"f", text}});
    cr_assert(many_errors.has_error() && many_errors.error().size() == 201);
    cr_expect(many_errors.error().back().m_text == "800 more errors are not shown");
}

Test(config_read, survives_malformed_text)
{
    cr_assert(rc::check("malformed files never crash the parser, and accepted ones round-trip", [] {
        std::string text = valid_text;
        const auto edit_count = *rc::gen::inRange(0, 6);
        for (int count = 0; count < edit_count; ++count) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto replacement =
                *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                rc::gen::container<std::string>(
                                    rc::gen::elementOf(std::string("[]=:;# \t\r\n*sakcr0123456789.yesno"))));
            text.replace(position, length, replacement);
        }
        const auto read = read_config({config_file{"f", text}});
        if (read.has_value()) {
            const std::string written = write_config(read.value());
            const auto again = read_config({config_file{"g", written}});
            RC_ASSERT(again.has_value());
            RC_ASSERT(write_config(again.value()) == written);
        }
        else {
            RC_ASSERT(!read.error().empty());
        }
    }));
}

Test(config_read, equal_sets_have_the_same_bytes)
{
    std::vector<config_file> files = read_example("nilestone");
    const std::string text = write_config(read_config(files).value());
    std::reverse(files.begin(), files.end());
    cr_expect(write_config(read_config(files).value()) == text);
    cr_expect(digest_of("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(kind_index, prefers_the_name_then_the_longest_path_of_the_host)
{
    const std::string rest = "importance=1\nidempotent=yes\nretry=t\nservice=u\n";
    const config_set set =
        read_config({config_file{"f", valid_text + "[kind get]\nmethod=GET\npath_prefix=/a\n" + rest +
                                          "[kind any]\npath_prefix=/a\n" + rest +
                                          "[kind deep]\npath_prefix=/a/b\n" + rest}})
            .value();
    const kind_index index(std::make_shared<const config_set>(set));
    const auto find = [&](const char* explicit_name, const char* method, const char* path) {
        const kind_object* kind = index.find("u", kind_name{explicit_name}, method, path);
        return kind == nullptr ? std::string("-") : kind->m_name.m_value;
    };
    cr_expect(find("", "GET", "/a") == "get");
    cr_expect(find("", "PUT", "/a?b=c") == "any");
    cr_expect(find("", "GET", "/a/b/c") == "deep");
    cr_expect(find("", "GET", "/ab") == "-");
    cr_expect(find("any", "GET", "/zzz") == "any");
    cr_expect(find("k", "GET", "/a") == "-", "a kind of another service");
    cr_expect(find("none", "GET", "/a") == "-");
}

Test(kind_index, finds_kinds_by_their_own_host)
{
    const std::string rest = "importance=1\nidempotent=yes\nretry=t\nservice=u\n";
    const config_set set =
        read_config({config_file{"f", valid_text + "[kind near]\nhost=h.example\npath_prefix=/a/\n" + rest +
                                          "[kind nearer]\nhost=h.example\npath_prefix=/a/b/\n" + rest}})
            .value();
    const kind_index index(std::make_shared<const config_set>(set));
    cr_expect(index.find("h.example", {}, "GET", "/a/b/c")->m_name.m_value == "nearer");
    cr_expect(index.find("h.example", {}, "GET", "/a/bc")->m_name.m_value == "near");
    cr_expect(index.find("h.example", {}, "GET", "/a") == nullptr);
    cr_expect(index.find("u", {}, "GET", "/a/b/c") == nullptr);
    cr_expect(index.knows("h.example") && index.knows("u") && !index.knows("g.example"));
}
