/** @file node_cmd.cpp Commands that show and change the state of one node. */
#include "waxwingctl/command_func.h"

#include <iomanip>
#include <iostream>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr duration top_interval = std::chrono::seconds(1);

/** Calls the node and prints its answer, as JSON if `--json` is set, else with @p print. */
template<class Print>
exit_status call_and_print(api_client& node, const command_options& options, const std::string& method,
                           const std::string& path, const std::string& body, Print print)
{
    const result<api_answer> answer = node.call(method, path, body);
    if (!is_success(answer)) {
        return report_failure(answer, options);
    }
    if (options.m_json) {
        std::cout << answer.value().m_body;
    }
    else {
        print(answer.value().m_content);
    }
    return exit_status::done;
}

/** Returns the object at @p key of @p content; an empty object if it is missing. */
json object_value(const json& content, const char* key)
{
    const auto found = content.find(key);
    return found != content.end() && found->is_object() ? *found : json::object();
}

/** Prints the state of the node, its suspects and the members that it knows. */
void print_status(const json& status)
{
    std::cout << status.value("node", "") << ": " << status.value("life", "") << ", target of "
              << status.value("service", "") << ' ' << status.value("target", "") << ", revision "
              << status.value("revision", 0) << '\n';
    const json calls = object_value(status, "calls");
    std::cout << "running " << calls.value("running", 0) << " of limit " << calls.value("limit", 0)
              << ", queued " << calls.value("queued", 0) << ", threshold " << calls.value("threshold", 0)
              << '\n';
    for (const json& suspect : calls.value("suspects", json::array())) {
        std::cout << (suspect.value("quarantined", false) ? "quarantined " : "suspect ")
                  << suspect.value("fingerprint", "") << '\n';
    }
    for (const json& member : status.value("members", json::array())) {
        std::cout << "  " << member.value("node", "") << ' ' << member.value("state", "") << ", target of "
                  << member.value("service", "") << ' ' << member.value("target", "") << ", revision "
                  << member.value("revision", 0) << '\n';
    }
}

/** Prints the rates between two statuses taken a second apart, and the current load. */
void print_load(const json& before, const json& after)
{
    const json old_calls = object_value(before, "calls");
    const json calls = object_value(after, "calls");
    const auto rate = [&](const char* key) {
        return calls.value(key, std::int64_t{0}) - old_calls.value(key, std::int64_t{0});
    };
    std::cout << std::setw(9) << rate("started") << std::setw(9) << rate("succeeded") << std::setw(9)
              << rate("refused") << std::setw(9) << calls.value("running", 0) << std::setw(7)
              << calls.value("limit", 0) << std::setw(8) << calls.value("queued", 0) << std::setw(11)
              << calls.value("threshold", 0) << ' ';
    const json thresholds = object_value(calls, "thresholds_below");
    for (const auto& [kind, threshold] : thresholds.items()) {
        if (threshold.is_number() && threshold != 0) {
            std::cout << ' ' << kind << '<' << threshold;
        }
    }
    std::cout << std::endl;
}

} // namespace

exit_status run_status(api_client& node, const command_options& options)
{
    return call_and_print(node, options, "GET", "/v1/status", "", print_status);
}

exit_status run_drain(api_client& node, const command_options& options)
{
    const std::string body = json{{"undo", options.m_undo}}.dump();
    return call_and_print(node, options, "POST", "/v1/drain", body, [](const json& answer) {
        std::cout << "target " << answer.value("target", "") << '\n';
    });
}

exit_status run_release(api_client& node, const command_options& options)
{
    const std::string body =
        json{{"fingerprint", options.m_operand}}.dump(-1, ' ', false, json::error_handler_t::replace);
    return call_and_print(node, options, "POST", "/v1/release", body, [](const json& answer) {
        std::cout << "released " << answer.value("released", "") << '\n';
    });
}

exit_status run_top(api_client& node, const command_options& options)
{
    if (!options.m_json) {
        std::cout << "started/s    ok/s  refused/s running  limit  queued  threshold  shed by kind\n";
    }
    json before;
    for (std::uint64_t count = 0; !options.m_count || count <= *options.m_count; ++count) {
        const result<api_answer> answer = node.call("GET", "/v1/status");
        if (!is_success(answer)) {
            return report_failure(answer, options);
        }
        if (options.m_json) {
            std::cout << answer.value().m_body << std::flush;
        }
        else if (!before.is_null()) {
            print_load(before, answer.value().m_content);
        }
        before = answer.value().m_content;
        if (!options.m_count || count < *options.m_count) {
            node.wait(top_interval);
        }
    }
    return exit_status::done;
}

} // namespace waxwing
