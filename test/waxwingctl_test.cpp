/** @file waxwingctl_test.cpp waxwingctl as a process against a node that answers by a list. */
#include "http/http.h"
#include "loop/loop.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace waxwing;

namespace {

using json = nlohmann::json;

/** What a command printed, and its exit status. */
struct command_end {
    int m_status = -1;    ///< Exit status.
    std::string m_output; ///< Both outputs.
};

/** A running waxwingctl. */
class running_tool {
public:
    explicit running_tool(const std::string& words)
    {
        const std::string line = "USER=maia " WAXWING_BINARY "/waxwingctl " + words + " 2>&1";
        m_pipe = popen(line.c_str(), "r"); // NOLINT(cert-env33-c)
    }

    int descriptor() const { return fileno(m_pipe); }

    /** Reads what it printed; false at the end. */
    bool read_some()
    {
        std::array<char, 4096> room{};
        const ssize_t size = read(descriptor(), room.data(), room.size());
        m_output.append(room.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return size > 0;
    }

    /** Waits for its end. */
    command_end finish() { return {WEXITSTATUS(pclose(m_pipe)), std::move(m_output)}; }

private:
    FILE* m_pipe = nullptr; ///< Its outputs.
    std::string m_output;   ///< What it printed.
};

/** Runs waxwingctl with @p words. */
command_end run_tool(const std::string& words)
{
    running_tool tool(words);
    while (tool.read_some()) {
    }
    return tool.finish();
}

/** A node that answers the calls to it one after the other from a list. */
class scripted_node {
public:
    explicit scripted_node(std::vector<std::pair<std::uint16_t, std::string>> answers)
        : m_answers(std::move(answers))
    {
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        m_server =
            http_server::open(m_loop, settings, [this](http_server_event&& event) { on(event); }).value();
    }

    /** Runs waxwingctl with @p words against this node. */
    command_end run(const std::string& command, const std::string& words = "")
    {
        running_tool tool(command + " --node=" + to_string(m_server->address()) + " " + words);
        io_watcher output(m_loop, [&](int) {
            if (!tool.read_some()) {
                m_loop.stop();
            }
        });
        output.watch(tool.descriptor(), EV_READ);
        m_loop.run();
        return tool.finish();
    }

    std::vector<http_request> m_requests; ///< The calls so far.

private:
    void on(const http_server_event& event)
    {
        if (const auto* request = std::get_if<http_request>(&event)) {
            m_requests.push_back(*request);
            const std::size_t index = std::min(m_requests.size(), m_answers.size()) - 1;
            m_server->reply({request->m_exchange, m_answers[index].first, {}, m_answers[index].second});
        }
    }

    event_loop m_loop;                                            ///< Runs during a command.
    std::vector<std::pair<std::uint16_t, std::string>> m_answers; ///< In turn; the last one again and again.
    std::unique_ptr<http_server> m_server;                        ///< The door.
};

const std::string files = WAXWING_SOURCE "/examples/nilestone/*.ini";
const std::pair<std::uint16_t, std::string> not_ready{503,
                                                      R"({"rule":"not-ready","title":"t","detail":"d"})"};

/** Writes @p text to a file of this test and gives its name. */
std::string write_file(const std::string& name, const std::string& text)
{
    std::string path = WAXWING_BINARY "/" + name;
    std::ofstream(path) << text;
    return path;
}

/** Asserts the status and a part of the output. */
void expect(const command_end& end, int status, const std::string& part)
{
    cr_expect(end.m_status == status && end.m_output.find(part) != std::string::npos, "%d: %s", end.m_status,
              end.m_output.c_str());
}

} // namespace

Test(waxwingctl, checks_files)
{
    expect(run_tool("check " + files), 0, "sound: 4 services");
    const std::string bad = write_file("waxwingctl_bad.ini", "[caller a]\nrate = x\n[foo b]\n");
    const command_end end = run_tool("check --json " + bad);
    expect(end, 1, ":2: caller a: rate: \"x\" is not a number");
    expect(end, 1, "\"line\":3");
    expect(run_tool("check /nowhere/file"), 1, "can't be read");
}

Test(waxwingctl, refuses_a_wrong_command_line)
{
    expect(run_tool("publish"), 2, "waxwingctl --help");
    expect(run_tool("rollback one"), 2, "whole number");
    expect(run_tool("status --node=localhost:80"), 2, "not an IP number");
    expect(run_tool("status --token-file=/nowhere"), 2, "token-file");
    expect(run_tool("--help"), 0, "Exit status");
}

Test(waxwingctl, tells_that_no_node_is_there)
{
    expect(run_tool("status --node=127.0.0.1:1"), 3, "check that waxwingd runs");
}

Test(waxwingctl, applies_a_first_set_and_waits)
{
    scripted_node node({not_ready,
                        {200, R"({"revision":1})"},
                        {200, R"({"known":2,"in_force":1,"missing":["b"]})"},
                        {200, R"({"known":2,"in_force":2,"missing":[]})"}});
    expect(node.run("apply", "--wait --why=start " + files), 0, "revision 1\nin force at all 2 nodes");
    cr_assert(node.m_requests.size() == 4);
    const json body = json::parse(node.m_requests[1].m_body);
    cr_expect(body["base"] == 0 && body["why"] == "start" && body["who"] == "maia" &&
              body["resumed"] == false);
    cr_expect(node.m_requests[2].m_path == "/v1/in_force?revision=1");
}

Test(waxwingctl, refuses_to_overwrite_what_it_was_not_made_from)
{
    const json config{{"revision", 4}, {"digest", "d"}, {"text", "[caller a]\n"}};
    scripted_node node({{200, config.dump()}});
    expect(node.run("apply", files), 2, "--base=4");
    cr_expect(node.m_requests.size() == 1);
    const command_end got = node.run("get");
    expect(got, 0, "; base revision 4\n[caller a]\n");
    scripted_node other({{200, R"({"revision":5})"}});
    expect(other.run("apply", write_file("waxwingctl_base.ini", got.m_output)), 0, "revision 5");
    cr_expect(json::parse(other.m_requests.front().m_body)["base"] == 4);
    expect(node.run("diff", write_file("waxwingctl_diff.ini", "[caller a]\nrate = 7\n")), 0,
           "changed caller a\n  + rate = 7\n");
}

Test(waxwingctl, settles_a_lost_outcome_under_one_change_id)
{
    scripted_node node({{504, R"({"detail":"lost","change_id":"x"})"}, {200, R"({"revision":9})"}});
    expect(node.run("rollback", "3"), 0, "revision 9");
    cr_assert(node.m_requests.size() == 2);
    const json first = json::parse(node.m_requests[0].m_body);
    const json second = json::parse(node.m_requests[1].m_body);
    cr_expect(first["change_id"] == second["change_id"] && !first["resumed"] && second["resumed"]);
    scripted_node lost({{504, R"({"detail":"lost","change_id":"x"})"}});
    expect(lost.run("rollback", "--change-id=abc 3"), 5, "again with --change-id=abc");
    cr_expect(json::parse(lost.m_requests.front().m_body)["resumed"] == true);
}

Test(waxwingctl, tells_why_a_change_is_refused)
{
    scripted_node clash({{409, R"({"clashes":["kind a"],"detail":"d"})"}});
    expect(clash.run("apply", "--base=1 " + files), 4, "  kind a\n");
    scripted_node invalid({{400, R"({"errors":[{"file":"merged","line":3,"text":"wrong"}]})"}});
    expect(invalid.run("apply", "--base=1 " + files), 1, "merged:3: wrong");
    scripted_node down({{503, R"({"detail":"the table is down"})"}});
    expect(down.run("apply", "--base=1 " + files), 3, "the table is down");
    scripted_node closed({{401, R"({"detail":"d"})"}});
    expect(closed.run("drain"), 1, "WAXWING_TOKEN");
    scripted_node strange({{200, R"({"revision":"x"})"}});
    expect(strange.run("get"), 1, "another form");
}

Test(waxwingctl, shows_the_state_of_a_node)
{
    scripted_node node({{200, R"({"node":"a","life":"serving","revision":3,
        "calls":{"started":7,"suspects":[{"fingerprint":"f1","quarantined":true}]},"members":[{"node":"b"}]})"}});
    expect(node.run("status"), 0, "quarantined f1\n  b ");
    expect(node.run("status", "--json"), 0, "\"life\":\"serving\"");
    expect(node.run("top", "--count=1"), 0, "started/s");
}

namespace {

/** Writes a log of one node and gives its path. */
std::string write_log(const std::string& node, const std::string& text)
{
    std::string path = "/tmp/waxwingctl-test-" + std::to_string(getpid()) + "-" + node + ".log";
    std::ofstream(path) << text;
    return path;
}

/** Makes the line of an entry. */
std::string answered(const std::string& id, const std::string& status, const std::string& rule,
                     const std::string& node)
{
    return json{{"event", 610},     {"request", id},    {"kind", "k"},     {"service", "s"}, {"rule", rule},
                {"outcome", "ran"}, {"status", status}, {"attempts", "1"}, {"node", node},   {"took_ms", "7"},
                {"depth", "0"},     {"revision", "4"},  {"threshold", "0"}}
               .dump() +
           "\n";
}

/** Makes the line of a node beside its target. */
std::string run_ended(const std::string& id, const std::string& status, const std::string& rule)
{
    return json{{"event", 611},         {"request", id},    {"kind", "k"},      {"rule", rule},
                {"outcome", "not-run"}, {"status", status}, {"waited_ms", "3"}, {"took_ms", "5"},
                {"priority", "9"},      {"running", "39"},  {"queued", "50"},   {"limit", "39"},
                {"threshold", "41"}}
               .dump() +
           "\n";
}

} // namespace

Test(waxwingctl, explains_a_request_from_the_logs_of_its_nodes)
{
    const std::string a =
        write_log("a", answered("r1", "500", "none", "b") + answered("r10", "200", "none", "b"));
    const std::string b =
        write_log("b", run_ended("r1", "500", "none") + answered("r1.x", "200", "none", "c") +
                           answered("r1.y", "503", "queue-timeout", "c"));
    const std::string c =
        write_log("c", "not a line\n  12.5 node-c " + run_ended("r1.y", "503", "queue-timeout"));
    const command_end told = run_tool("explain r1 " + c + " " + b + " " + a);
    cr_assert(told.m_status == 0, "%s", told.m_output.c_str());
    const std::size_t decided = told.m_output.find("decided by");
    cr_assert(decided != std::string::npos);
    cr_expect(told.m_output.find("node-c: k ended with 503, queue-timeout", decided) != std::string::npos);
    cr_expect(told.m_output.find("running 39 of 39, queued 50", decided) != std::string::npos);
    cr_expect(told.m_output.find("-a: k to s answered 500") < told.m_output.find("-b: k ended with 500"));
    cr_expect(told.m_output.find("r10") == std::string::npos && told.m_output.find("answered 200") < decided);
    const command_end unknown = run_tool("explain r2 " + a);
    cr_expect(unknown.m_status == 1 && unknown.m_output.find("next:") != std::string::npos);
    for (const std::string& path : {a, b, c}) {
        cr_expect(std::remove(path.c_str()) == 0);
    }
}
