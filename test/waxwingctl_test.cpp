/** @file waxwingctl_test.cpp Runs waxwingctl as a process against a simulated node with scripted answers. */
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

/** Result of a command. */
struct command_result {
    int m_status = -1;    ///< Exit status.
    std::string m_output; ///< Standard output and standard error.
};

/** A running waxwingctl process. */
class ctl_process {
public:
    explicit ctl_process(const std::string& arguments)
    {
        const std::string line = "USER=maia " WAXWING_BINARY "/waxwingctl " + arguments + " 2>&1";
        m_pipe = popen(line.c_str(), "r"); // NOLINT(cert-env33-c)
    }

    int descriptor() const { return fileno(m_pipe); }

    /** Reads more output. @return false at the end of the output. */
    bool read_some()
    {
        std::array<char, 4096> buffer{};
        const ssize_t size = read(descriptor(), buffer.data(), buffer.size());
        m_output.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return size > 0;
    }

    /** Waits for the process to exit. */
    command_result finish() { return {WEXITSTATUS(pclose(m_pipe)), std::move(m_output)}; }

private:
    FILE* m_pipe = nullptr; ///< Reads standard output and standard error.
    std::string m_output;   ///< Output so far.
};

/** Runs waxwingctl with @p arguments. */
command_result run_ctl(const std::string& arguments)
{
    ctl_process process(arguments);
    while (process.read_some()) {
    }
    return process.finish();
}

/** A simulated node that answers requests from a list, in order. */
class scripted_node {
public:
    explicit scripted_node(std::vector<std::pair<std::uint16_t, std::string>> answers)
        : m_answers(std::move(answers))
    {
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        m_server = http_server::open(m_loop, settings, [this](http_server_event&& event) {
                       on_event(event);
                   }).value();
    }

    /** Runs waxwingctl with @p command and @p arguments against this node. */
    command_result run(const std::string& command, const std::string& arguments = "")
    {
        ctl_process process(command + " --node=" + to_string(m_server->address()) + " " + arguments);
        io_watcher output(m_loop, [&](int) {
            if (!process.read_some()) {
                m_loop.stop();
            }
        });
        output.watch(process.descriptor(), EV_READ);
        m_loop.run();
        return process.finish();
    }

    std::vector<http_request> m_requests; ///< Requests received so far.

private:
    void on_event(const http_server_event& event)
    {
        if (const auto* request = std::get_if<http_request>(&event)) {
            m_requests.push_back(*request);
            const std::size_t index = std::min(m_requests.size(), m_answers.size()) - 1;
            m_server->reply({request->m_exchange, m_answers[index].first, {}, m_answers[index].second});
        }
    }

    event_loop m_loop;                                            ///< Runs while a command runs.
    std::vector<std::pair<std::uint16_t, std::string>> m_answers; ///< Answers in order; the last one repeats.
    std::unique_ptr<http_server> m_server;                        ///< Receives the requests.
};

const std::string files = WAXWING_SOURCE "/examples/nilestone/*.ini";
const std::pair<std::uint16_t, std::string> not_ready{503,
                                                      R"({"rule":"not-ready","title":"t","detail":"d"})"};

/** Writes @p text to a file of this test. @return its path. */
std::string write_file(const std::string& name, const std::string& text)
{
    std::string path = WAXWING_BINARY "/" + name;
    std::ofstream(path) << text;
    return path;
}

/** Expects the exit status @p status and an output that contains @p part. */
void expect(const command_result& result, int status, const std::string& part)
{
    cr_expect(result.m_status == status && result.m_output.find(part) != std::string::npos, "%d: %s",
              result.m_status, result.m_output.c_str());
}

} // namespace

Test(waxwingctl, checks_files)
{
    expect(run_ctl("check " + files), 0, "valid: 4 services");
    const std::string bad = write_file("waxwingctl_bad.ini", "[caller a]\nrate = x\n[foo b]\n");
    const command_result check_result = run_ctl("check --json " + bad);
    expect(check_result, 1, ":2: caller a: rate: \"x\" is not a number");
    expect(check_result, 1, "\"line\":3");
    expect(run_ctl("check /nowhere/file"), 1, "can't be read");
}

Test(waxwingctl, refuses_a_wrong_command_line)
{
    expect(run_ctl("publish"), 2, "waxwingctl --help");
    expect(run_ctl("rollback one"), 2, "whole number");
    expect(run_ctl("status --node=localhost:80"), 2, "not an IP number");
    expect(run_ctl("status --token-file=/nowhere"), 2, "token-file");
    expect(run_ctl("--help"), 0, "Exit status");
}

Test(waxwingctl, reports_an_unreachable_node)
{
    expect(run_ctl("status --node=127.0.0.1:1"), 3, "check that waxwingd runs");
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

Test(waxwingctl, refuses_to_apply_without_a_base_revision)
{
    const json config{{"revision", 4}, {"digest", "d"}, {"text", "[caller a]\n"}};
    scripted_node node({{200, config.dump()}});
    expect(node.run("apply", files), 2, "--base=4");
    cr_expect(node.m_requests.size() == 1);
    const command_result get_result = node.run("get");
    expect(get_result, 0, "; base revision 4\n[caller a]\n");
    scripted_node other({{200, R"({"revision":5})"}});
    expect(other.run("apply", write_file("waxwingctl_base.ini", get_result.m_output)), 0, "revision 5");
    cr_expect(json::parse(other.m_requests.front().m_body)["base"] == 4);
    expect(node.run("diff", write_file("waxwingctl_diff.ini", "[caller a]\nrate = 7\n")), 0,
           "changed caller a\n  + rate = 7\n");
}

Test(waxwingctl, repeats_a_change_with_a_lost_answer_under_one_change_id)
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

Test(waxwingctl, reports_why_a_change_is_refused)
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
    expect(strange.run("get"), 1, "unexpected format");
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

/** Writes the log of @p node. @return its path. */
std::string write_log(const std::string& node, const std::string& text)
{
    std::string path = "/tmp/waxwingctl-test-" + std::to_string(getpid()) + "-" + node + ".log";
    std::ofstream(path) << text;
    return path;
}

/** Makes a request-answered line, as an entry logs it. */
std::string request_answered(const std::string& id, const std::string& status, const std::string& rule,
                             const std::string& node)
{
    return json{{"event", 610},     {"request", id},    {"kind", "k"},     {"service", "s"}, {"rule", rule},
                {"outcome", "ran"}, {"status", status}, {"attempts", "1"}, {"node", node},   {"took_ms", "7"},
                {"depth", "0"},     {"revision", "4"},  {"threshold", "0"}}
               .dump() +
           "\n";
}

/** Makes a run-ended line, as the node beside the target logs it. */
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
    const std::string entry_log = write_log("a", request_answered("r1", "500", "none", "b") +
                                                     request_answered("r10", "200", "none", "b"));
    const std::string middle_log =
        write_log("b", run_ended("r1", "500", "none") + request_answered("r1.x", "200", "none", "c") +
                           request_answered("r1.y", "503", "queue-timeout", "c"));
    const std::string target_log =
        write_log("c", "not a line\n  12.5 node-c " + run_ended("r1.y", "503", "queue-timeout"));
    const command_result explain_result =
        run_ctl("explain r1 " + target_log + " " + middle_log + " " + entry_log);
    cr_assert(explain_result.m_status == 0, "%s", explain_result.m_output.c_str());
    const std::size_t cause_position = explain_result.m_output.find("decided by");
    cr_assert(cause_position != std::string::npos);
    cr_expect(explain_result.m_output.find("node-c: k ended with 503, queue-timeout", cause_position) !=
              std::string::npos);
    cr_expect(explain_result.m_output.find("running 39 of 39, queued 50", cause_position) !=
              std::string::npos);
    cr_expect(explain_result.m_output.find("-a: k to s answered 500") <
              explain_result.m_output.find("-b: k ended with 500"));
    cr_expect(explain_result.m_output.find("r10") == std::string::npos &&
              explain_result.m_output.find("answered 200") < cause_position);
    const command_result unknown = run_ctl("explain r2 " + entry_log);
    cr_expect(unknown.m_status == 1 && unknown.m_output.find("next:") != std::string::npos);
    for (const std::string& path : {entry_log, middle_log, target_log}) {
        cr_expect(std::remove(path.c_str()) == 0);
    }
}
