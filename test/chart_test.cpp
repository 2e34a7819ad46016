/** @file chart_test.cpp Tests of the chart library and of the chart files in charts/. */
#include "chart/chart.h"

#include <criterion/criterion.h>
#include <fstream>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace waxwing;

namespace {

const std::vector<std::string> known_events{"go", "end"};
const std::vector<std::string> known_actions{"ring"};

/** Reads a chart whose owner knows the events go and end, and the action ring. */
result<chart, located_errors> read(const std::string& text)
{
    return chart::read("x.scxml", text, known_events, known_actions);
}

/** Asserts that reading @p text yields exactly the errors @p expected, each formatted as `line: text`. */
void assert_errors(const std::string& text, const std::vector<std::string>& expected)
{
    const auto loaded = read(text);
    cr_assert(loaded.has_error());
    std::string actual_text;
    for (const located_error& where : loaded.error()) {
        actual_text += to_string(where) + "\n";
    }
    std::string expected_text;
    for (const std::string& line : expected) {
        expected_text += "x.scxml:" + line + "\n";
    }
    cr_assert(actual_text == expected_text, "actual:\n%sexpected:\n%s", actual_text.c_str(),
              expected_text.c_str());
}

/** Returns the text of the chart file of @p subject. */
std::string file_text(chart_subject subject)
{
    std::ifstream file(std::string(WAXWING_CHARTS) + "/" + std::string(chart_file(subject)));
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

constexpr const char* valid_chart = "<scxml initial='a'>\n"
                                    "<state id='a'><transition event='go' target='b'><send event='ring'/>"
                                    "</transition></state>\n"
                                    "<state id='b'><transition event='end' target='c'/></state>\n"
                                    "<final id='c'/>\n</scxml>\n";

} // namespace

Test(chart, follows_transitions_and_counts_ignored_events)
{
    const auto loaded = read(valid_chart);
    cr_assert(loaded.has_value());
    state_machine machine(loaded.value());
    cr_assert(machine.state() == "a" && !machine.ended());
    cr_assert(machine.raise("end").empty() && machine.ignored() == 1 && machine.state() == "a");
    cr_assert(machine.raise("go") == std::vector<std::string>{"ring"} && machine.state() == "b");
    cr_assert(machine.raise("end").empty() && machine.ended() && machine.ignored() == 1);
}

Test(chart, reports_each_name_error_at_its_line)
{
    assert_errors("<scxml initial='z'>\n"
                  "<state id='a'>\n"
                  "<transition event='jump' target='b'/>\n"
                  "<transition event='go' target='q'>\n"
                  "<send event='sing'/></transition>\n"
                  "</state>\n"
                  "<state id='a'/>\n"
                  "<state><transition event='go' target='a'/></state>\n"
                  "<final id='b'/>\n"
                  "</scxml>",
                  {"1: unknown initial state \"z\"", "3: unknown event \"jump\"", "4: unknown target \"q\"",
                   "5: unknown action \"sing\"", "7: the state id \"a\" is used more than once",
                   "8: \"state\" has no attribute \"id\""});
}

Test(chart, reports_unreachable_states_and_states_without_path_to_a_final_state)
{
    assert_errors("<scxml initial='a'>\n"
                  "<state id='a'><transition event='go' target='a'/>\n"
                  "<transition event='end' target='c'/></state>\n"
                  "<state id='lost'><transition event='go' target='c'/></state>\n"
                  "<state id='c'><transition event='go' target='c'/></state>\n"
                  "<final id='d'/>\n"
                  "</scxml>",
                  {"2: the state \"a\" reaches no final state",
                   "4: no path leads from the initial state to the state \"lost\"",
                   "4: the state \"lost\" reaches no final state",
                   "5: the state \"c\" reaches no final state",
                   "6: no path leads from the initial state to the state \"d\""});
}

Test(chart, reports_syntax_and_structure_errors)
{
    assert_errors("\n<state id='a'/>", {"2: the root element is \"state\", expected \"scxml\""});
    assert_errors("<scxml initial='a'>\n<state id='a'>\n</final>\n", {"3: Start-end tags mismatch"});
    assert_errors("<scxml>\n<final id='c' x='1'/>\n<parallel/></scxml>",
                  {"1: \"scxml\" has no attribute \"initial\"",
                   "2: \"final\" has the unknown attribute \"x\"",
                   "3: unknown element \"parallel\" in \"scxml\""});
    assert_errors("<scxml initial='a'>\n<state id='a'>\n<transition event='go' target='c'/>\n"
                  "<transition event='go' target='c'/></state>\n<final id='c'><transition/></final></scxml>",
                  {"4: the event \"go\" has more than one transition in the state",
                   "5: unknown element \"transition\" in \"final\""});
    assert_errors("<scxml initial='a'>\n<state id='a'><transition event='go' target='a'/></state></scxml>",
                  {"1: the chart has no final state", "2: the state \"a\" reaches no final state"});
}

Test(chart, reports_truncated_or_corrupted_text_with_file_and_line)
{
    cr_assert(rc::check("every error names the file and a line within the text", [] {
        std::string text = valid_chart;
        const auto offset = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>()) {
            text.resize(offset);
        }
        else {
            text[offset] = *rc::gen::arbitrary<char>();
        }
        const auto loaded = read(text);
        if (loaded.has_value()) {
            return;
        }
        const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
        RC_ASSERT(!loaded.error().empty());
        for (const located_error& where : loaded.error()) {
            RC_ASSERT(where.m_file == "x.scxml" && where.m_line >= 1 && where.m_line <= lines);
        }
    }));
}

Test(chart, files_load_and_use_every_name_of_their_tables)
{
    for (const chart_subject subject :
         {chart_subject::node, chart_subject::target, chart_subject::request, chart_subject::publication}) {
        const std::string file(chart_file(subject));
        const auto loaded =
            chart::read(file, file_text(subject), chart_events(subject), chart_actions(subject));
        cr_assert(loaded.has_value(), "%s: %s", file.c_str(),
                  loaded.has_error() ? to_string(loaded.error().front()).c_str() : "");
        std::set<std::string> events;
        std::set<std::string> actions;
        for (const chart_state& state : loaded.value().states()) {
            for (const chart_transition& transition : state.m_transitions) {
                events.insert(transition.m_event);
                actions.insert(transition.m_actions.begin(), transition.m_actions.end());
            }
        }
        cr_assert(events.size() == chart_events(subject).size(), "%s", file.c_str());
        cr_assert(actions.size() == chart_actions(subject).size(), "%s", file.c_str());
    }
}

Test(chart, unknown_commit_is_settled_and_never_refused)
{
    const chart_subject subject = chart_subject::publication;
    const auto loaded =
        chart::read("publication.scxml", file_text(subject), chart_events(subject), chart_actions(subject));
    cr_assert(loaded.has_value());
    state_machine machine(loaded.value());
    for (const char* event : {"read", "valid", "stored", "unknown", "unavailable", "unknown"}) {
        machine.raise(event);
    }
    cr_assert(machine.state() == "settling" && machine.ignored() == 0);
    cr_assert(machine.raise("committed") == std::vector<std::string>{"report-published"} && machine.ended());
}
