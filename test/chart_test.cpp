/** @file chart_test.cpp Tests of the chart library and of the files in charts/. */
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

/** Reads a chart that knows the events go and end, and the action ring. */
result<chart, located_errors> read(const std::string& text)
{
    return chart::read("x.scxml", text, known_events, known_actions);
}

/** Asserts that @p text has exactly the errors @p expected, written as line:text. */
void assert_errors(const std::string& text, const std::vector<std::string>& expected)
{
    const auto loaded = read(text);
    cr_assert(loaded.has_error());
    std::string seen;
    for (const located_error& where : loaded.error()) {
        seen += to_string(where) + "\n";
    }
    std::string wanted;
    for (const std::string& line : expected) {
        wanted += "x.scxml:" + line + "\n";
    }
    cr_assert(seen == wanted, "saw:\n%swanted:\n%s", seen.c_str(), wanted.c_str());
}

/** Reads a file of the project's charts. */
std::string file_text(chart_subject subject)
{
    std::ifstream file(std::string(WAXWING_CHARTS) + "/" + std::string(chart_file(subject)));
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

constexpr const char* good = "<scxml initial='a'>\n"
                             "<state id='a'><transition event='go' target='b'><send event='ring'/>"
                             "</transition></state>\n"
                             "<state id='b'><transition event='end' target='c'/></state>\n"
                             "<final id='c'/>\n</scxml>\n";

} // namespace

Test(chart, follows_transitions_and_counts_ignored_events)
{
    const auto loaded = read(good);
    cr_assert(loaded.has_value());
    state_machine life(loaded.value());
    cr_assert(life.state() == "a" && !life.ended());
    cr_assert(life.raise("end").empty() && life.ignored() == 1 && life.state() == "a");
    cr_assert(life.raise("go") == std::vector<std::string>{"ring"} && life.state() == "b");
    cr_assert(life.raise("end").empty() && life.ended() && life.ignored() == 1);
}

Test(chart, tells_every_name_fault_at_its_line)
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
                   "5: unknown action \"sing\"", "7: the id \"a\" stands twice",
                   "8: \"state\" lacks the attribute \"id\""});
}

Test(chart, tells_unreachable_and_endless_states)
{
    assert_errors("<scxml initial='a'>\n"
                  "<state id='a'><transition event='go' target='a'/>\n"
                  "<transition event='end' target='c'/></state>\n"
                  "<state id='lost'><transition event='go' target='c'/></state>\n"
                  "<state id='c'><transition event='go' target='c'/></state>\n"
                  "<final id='d'/>\n"
                  "</scxml>",
                  {"2: the state \"a\" reaches no final one", "4: no transition leads to the state \"lost\"",
                   "4: the state \"lost\" reaches no final one", "5: the state \"c\" reaches no final one",
                   "6: no transition leads to the state \"d\""});
}

Test(chart, tells_faults_of_form)
{
    assert_errors("\n<state id='a'/>", {"2: the root element is \"state\" and not \"scxml\""});
    assert_errors("<scxml initial='a'>\n<state id='a'>\n</final>\n", {"3: Start-end tags mismatch"});
    assert_errors("<scxml>\n<final id='c' x='1'/>\n<parallel/></scxml>",
                  {"1: \"scxml\" lacks the attribute \"initial\"",
                   "2: \"final\" has the unknown attribute \"x\"",
                   "3: unknown element \"parallel\" in \"scxml\""});
    assert_errors(
        "<scxml initial='a'>\n<state id='a'>\n<transition event='go' target='c'/>\n"
        "<transition event='go' target='c'/></state>\n<final id='c'><transition/></final></scxml>",
        {"4: the event \"go\" stands twice in the state", "5: unknown element \"transition\" in \"final\""});
    assert_errors("<scxml initial='a'>\n<state id='a'><transition event='go' target='a'/></state></scxml>",
                  {"1: no final state", "2: the state \"a\" reaches no final one"});
}

Test(chart, reads_no_cut_or_garbled_text_as_good)
{
    cr_assert(rc::check("every error has the file and a line of the text", [] {
        std::string text = good;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>()) {
            text.resize(at);
        }
        else {
            text[at] = *rc::gen::arbitrary<char>();
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

Test(chart, an_unknown_commit_is_settled_and_never_refused)
{
    const chart_subject subject = chart_subject::publication;
    const auto loaded =
        chart::read("publication.scxml", file_text(subject), chart_events(subject), chart_actions(subject));
    cr_assert(loaded.has_value());
    state_machine life(loaded.value());
    for (const char* event : {"read", "valid", "stored", "unknown", "unavailable", "unknown"}) {
        life.raise(event);
    }
    cr_assert(life.state() == "settling" && life.ignored() == 0);
    cr_assert(life.raise("committed") == std::vector<std::string>{"report-published"} && life.ended());
}
