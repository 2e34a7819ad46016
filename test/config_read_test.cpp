/** @file config_read_test.cpp Reading, checking and writing configurations. */
#include "config/config.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace waxwing;

namespace {

/** Reads the files of an example. */
std::vector<config_file> example(const std::string& name)
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

/** A set without errors that tests add to; it has 17 lines. */
const std::string sound = "[admission a]\nslots = 4\n[routing r]\n[retry t]\n"
                          "[service s]\nadmission = a\nrouting = r\n"
                          "[service u]\nadmission = a\nrouting = r\n"
                          "[kind k]\nservice = s\nimportance = 9\nidempotent = yes\nretry = t\n"
                          "[caller c]\nrate = 5\n";

/** Reads @p text and gives the errors, a line each, without the file's name. */
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

/** Asserts that @p text after the sound set has exactly the errors @p wanted. */
void expect_errors(const std::string& text, const std::string& wanted)
{
    const std::string got = errors_of(sound + text);
    cr_expect(got == wanted, "text:\n%s\ngot:\n%s\nwanted:\n%s", text.c_str(), got.c_str(), wanted.c_str());
}

} // namespace

Test(config_read, examples_are_sound_and_written_back_alike)
{
    for (const char* name : {"nilestone", "tuhoe-ridge"}) {
        const auto read = read_config(example(name));
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
        const config_set set = read_config(example(name)).value();
        for (const auto& [kind_name, kind] : set.m_kinds) {
            const bool fetch = kind.m_retry == "fetches";
            cr_expect(kind.m_idempotent == (kind.m_importance <= 192));
            cr_expect(fetch == (kind.m_importance < 64));
        }
    }
}

Test(config_read, reads_values_into_their_fields)
{
    const auto read = read_config({config_file{
        "f", sound + "[limits fleet]\ndepth=7\n[caller *]\nweight = 2.5 ; half more\n[kind z]\nservice=s\n"
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

Test(config_read, tells_lines_that_cannot_be_read)
{
    cr_expect(errors_of("x = 1\n").find("f:1: the key stands above the first heading\n") == 0);
    expect_errors("[service\n[caller d] e\nnothing\n",
                  "f:18: the heading has no closing bracket\n"
                  "f:18: \"\" is no name of a service; up to 63 letters, "
                  "digits, '.', '-' and '_'\n"
                  "f:18: service : the key admission is missing\n"
                  "f:18: service : the key routing is missing\n"
                  "f:19: text follows the heading\n"
                  "f:20: the line is no heading, key or comment; a key is "
                  "written NAME = VALUE\n");
    expect_errors("[caller d]\nrate = 1\x01\n", "f:19: the line holds a control character\n");
    expect_errors("[caller d]\nrate = " + std::string(5000, '1'),
                  "f:19: the line is longer than 4096 bytes\n");
}

Test(config_read, tells_unknown_and_duplicate_names)
{
    expect_errors("[host h]\n",
                  "f:18: no sort of object is called \"host\"; there are service, kind, caller, "
                  "admission, routing, retry and limits\n");
    expect_errors("[caller c]\n", "f:18: caller c stands twice; first at f:16\n");
    expect_errors("[caller d]\nrte = 1\nrate = 1\nrate = 2\n",
                  "f:19: caller d: there is no key \"rte\"; there are rate, burst, weight\n"
                  "f:21: caller d: the key rate stands twice; first in line 20\n");
    expect_errors("[limits other]\n", "f:18: \"other\" is no name of a limits; write [limits fleet]\n");
    expect_errors("[service *]\nadmission = a\nrouting = r\n",
                  "f:18: \"*\" is no name of a service; up to 63 letters, digits, '.', '-' and '_'\n");
    expect_errors("[service Big]\nadmission = a\nrouting = r\n",
                  "f:18: service Big: the name of a service is in lower case, since it is a Host name\n");
}

Test(config_read, tells_bad_values)
{
    const std::string unit = " is not a time with its unit, such as 20ms, 2s, 10m or 24h\n";
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
        "f:21: kind l: path_prefix: \"p\" is not a path that begins with / and holds no blank, query, "
        "fragment or semicolon\n"
        "f:22: kind l: importance: \"256\" is out of range: from 0 to 255\n"
        "f:23: kind l: idempotent: \"true\" is not yes or no\n"
        "f:24: kind l: split: \"s:x\" is not a part such as SERVICE:WEIGHT; parts are separated by blanks\n");
    expect_errors("[admission c]\nslots = 0\nfloor = 200\n",
                  "f:19: admission c: slots: \"0\" is out of range: from 1 to 100000\n");
    expect_errors("[retry v]\nbackoff_most = 99999999999999999999h\n",
                  "f:19: retry v: backoff_most: \"99999999999999999999h\"" + unit);
}

Test(config_read, tells_dangling_references_and_missing_keys)
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

Test(config_read, tells_contradictions)
{
    expect_errors("[admission b]\nfloor = 5\nslots = 4\nqueue_target = 2s\n",
                  "f:19: admission b: floor is greater than slots\n"
                  "f:21: admission b: queue_target is greater than queue_most\n");
    expect_errors("[retry v]\nbackoff_most = 1ms\n",
                  "f:18: retry v: backoff_least is greater than backoff_most\n");
    expect_errors("[service v]\nadmission=a\nrouting=r\nrefusal_status=200\n",
                  "f:21: service v: refusal_status is neither 0 nor from 400 to 599\n");
    const std::string kind = "[kind l]\nservice=s\npath_prefix=/l\nimportance=1\nretry=t\n";
    expect_errors(kind + "idempotent=no\n", "");
    expect_errors(kind + "idempotent=no\nsplit=s:1 nowhere:1\n",
                  "f:24: kind l: split names the service nowhere, which does not exist\n");
    expect_errors(kind + "idempotent=no\nsplit=s:0\n", "f:24: kind l: split gives no service a weight\n");
    expect_errors("[kind l]\nservice=s\nimportance=1\nidempotent=yes\nretry=t\n",
                  "f:18: kind l: it matches the same method and path as the kind k\n");
}

Test(config_read, tells_cycles_and_chains_that_are_too_deep)
{
    const std::string policies = "\nadmission = a\nrouting = r\n";
    expect_errors("[service v]" + policies + "calls = w\n[service w]" + policies +
                      "calls = v u\n[service x]" + policies + "calls = x\n",
                  "f:25: service w: the cycle of calls v -> w -> v is not allowed\n"
                  "f:29: service x: the cycle of calls x -> x is not allowed\n");
    expect_errors("[service v]" + policies + "calls = u s u\n",
                  "f:21: service v: calls: \"u\" stands twice\n");
    expect_errors(
        "[limits fleet]\ndepth=2\n[service v]" + policies + "calls = w\n[service w]" + policies +
            "calls = u\n",
        "f:23: service v: the chain of calls v -> w -> u is longer than the depth of limits fleet\n");
}

Test(config_read, bounds_its_input_and_its_errors)
{
    const auto read =
        read_config({config_file{"f", std::string(config_text_limit, '\n')}, config_file{"g", "\n"}});
    cr_assert(read.has_error() && read.error().size() == 1);
    cr_expect(read.error().front().m_file == "g");
    std::string text;
    for (int line = 0; line < 1000; ++line) {
        text += "x\n";
    }
    const auto many = read_config({config_file{"f", text}});
    cr_assert(many.has_error() && many.error().size() == 201);
    cr_expect(many.error().back().m_text == "800 more errors follow");
}

Test(config_read, survives_hostile_text)
{
    cr_assert(rc::check("damaged files never stop it, and what is accepted is written back alike", [] {
        std::string text = sound;
        const auto damages = *rc::gen::inRange(0, 6);
        for (int count = 0; count < damages; ++count) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto with = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                              rc::gen::container<std::string>(rc::gen::elementOf(
                                                  std::string("[]=:;# \t\r\n*sakcr0123456789.yesno"))));
            text.replace(at, length, with);
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
    std::vector<config_file> files = example("nilestone");
    const std::string text = write_config(read_config(files).value());
    std::reverse(files.begin(), files.end());
    cr_expect(write_config(read_config(files).value()) == text);
    cr_expect(digest_of("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

Test(kind_index, takes_the_name_else_the_longest_path_of_the_host)
{
    const std::string rest = "importance=1\nidempotent=yes\nretry=t\nservice=u\n";
    const config_set set = read_config({config_file{"f", sound + "[kind get]\nmethod=GET\npath_prefix=/a\n" +
                                                             rest + "[kind any]\npath_prefix=/a\n" + rest +
                                                             "[kind deep]\npath_prefix=/a/b\n" + rest}})
                               .value();
    const kind_index index(std::make_shared<const config_set>(set));
    const auto find = [&](const char* named, const char* method, const char* path) {
        const kind_object* kind = index.find("u", kind_name{named}, method, path);
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

Test(kind_index, knows_kinds_by_their_own_host)
{
    const std::string rest = "importance=1\nidempotent=yes\nretry=t\nservice=u\n";
    const config_set set =
        read_config({config_file{"f", sound + "[kind near]\nhost=h.example\npath_prefix=/a/\n" + rest +
                                          "[kind nearer]\nhost=h.example\npath_prefix=/a/b/\n" + rest}})
            .value();
    const kind_index index(std::make_shared<const config_set>(set));
    cr_expect(index.find("h.example", {}, "GET", "/a/b/c")->m_name.m_value == "nearer");
    cr_expect(index.find("h.example", {}, "GET", "/a/bc")->m_name.m_value == "near");
    cr_expect(index.find("h.example", {}, "GET", "/a") == nullptr);
    cr_expect(index.find("u", {}, "GET", "/a/b/c") == nullptr);
    cr_expect(index.knows("h.example") && index.knows("u") && !index.knows("g.example"));
}
