/** @file explain_cmd.cpp Traces one request through the logs of several nodes. */
#include "waxwingctl/command_func.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr int request_answered_event = 610; ///< request-answered: the answer of an entry to its caller.
constexpr int run_ended_event = 611;        ///< run-ended: how the call ended at the node beside its target.

/** A log line about a request. */
struct log_line {
    std::string m_node; ///< Name of the node that logged it.
    int m_event = 0;    ///< Number of the event.
    json m_fields;      ///< All fields of the line.
};

/** The log lines of one call, and its sub-calls. */
struct logged_call {
    std::vector<log_line> m_lines; ///< Lines of request-answered stand before those of run-ended.
    std::vector<std::string>
        m_children; ///< Ids of the sub-calls, in the order of their request-answered lines.
};

/** Calls by request id. */
using logged_calls = std::map<std::string, logged_call>;

/** Checks whether @p id is the call @p root or one of its direct or indirect sub-calls. */
bool is_in_call_tree(const std::string& id, const std::string& root)
{
    return id == root ||
           (id.size() > root.size() && id.compare(0, root.size(), root) == 0 && id[root.size()] == '.');
}

/**
 * Parses a log line: JSON, possibly behind a prefix whose last word is the name of the node.
 * @param text the line.
 * @param file the log file; its stem is the name of the node if the line has no prefix.
 * @return the line, or nothing if it has no JSON object with an event number.
 */
std::optional<log_line> parse_line(const std::string& text, const std::filesystem::path& file)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    log_line line;
    line.m_fields = json::parse(text.substr(begin), nullptr, false);
    if (!line.m_fields.is_object() || !line.m_fields.value("event", json()).is_number_integer()) {
        return std::nullopt;
    }
    line.m_event = line.m_fields["event"].get<int>();
    const std::size_t end = text.find_last_not_of(' ', begin == 0 ? 0 : begin - 1);
    const std::size_t space = text.find_last_of(' ', end);
    const bool has_prefix = begin > 0 && end != std::string::npos;
    line.m_node = has_prefix ? text.substr(space == std::string::npos ? 0 : space + 1, end - space)
                             : file.stem().string();
    return line;
}

/** Collects the log lines of @p root and its sub-calls. @return false if a file can't be read. */
bool collect_calls(const std::vector<std::string>& files, const std::string& root, logged_calls& calls)
{
    for (const std::string& file : files) {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << "waxwingctl: " << file << " can't be read\n";
            return false;
        }
        for (std::string text; std::getline(stream, text);) {
            std::optional<log_line> line =
                text.find(root) == std::string::npos ? std::nullopt : parse_line(text, file);
            const std::string id = line ? string_value(line->m_fields, "request") : "";
            const bool is_relevant =
                line && (line->m_event == request_answered_event || line->m_event == run_ended_event);
            if (!is_relevant || !is_in_call_tree(id, root)) {
                continue;
            }
            const std::size_t dot = id.rfind('.');
            if (line->m_event == request_answered_event && id != root && dot != std::string::npos) {
                calls[id.substr(0, dot)].m_children.push_back(id);
            }
            std::vector<log_line>& lines = calls[id].m_lines;
            lines.insert(line->m_event == request_answered_event ? lines.begin() : lines.end(),
                         std::move(*line));
        }
    }
    return true;
}

/** Checks whether @p line reports a failed call: decided by a rule, or answered with 5xx. */
bool has_failed(const log_line& line)
{
    const std::string status = string_value(line.m_fields, "status");
    return string_value(line.m_fields, "rule") != "none" || (!status.empty() && status.front() == '5');
}

/** Formats @p line as a sentence. */
std::string describe(const log_line& line)
{
    const json& fields = line.m_fields;
    const auto field = [&fields](const char* name) { return string_value(fields, name); };
    const std::string rule = field("rule") == "none" ? "the target's answer" : field("rule");
    std::string text = line.m_node + ": " + field("kind");
    if (line.m_event == request_answered_event) {
        text += " to " + field("service") + " answered " + field("status") + ", " + rule + ", " +
                field("outcome") + ", after " + field("took_ms") + " ms and " + field("attempts") +
                " attempts";
        text += field("node").empty() ? "" : ", the last at " + field("node");
        return text + "; threshold " + field("threshold") + ", revision " + field("revision");
    }
    return text + " ended with " + field("status") + ", " + rule + ", " + field("outcome") + ", after " +
           field("took_ms") + " ms, " + field("waited_ms") + " of them in queue; priority " +
           field("priority") + ", running " + field("running") + " of " + field("limit") + ", queued " +
           field("queued") + ", threshold " + field("threshold");
}

/** Prints the call @p id and its sub-calls, indented by @p depth. */
void print_call(const logged_calls& calls, const std::string& id, std::size_t depth)
{
    const auto position = calls.find(id);
    if (position == calls.end()) {
        return;
    }
    for (const log_line& line : position->second.m_lines) {
        std::cout << std::string(2 * depth, ' ') << describe(line) << '\n';
    }
    for (const std::string& child : position->second.m_children) {
        print_call(calls, child, depth + 1);
    }
}

/** Finds the call that decided the result of @p id: follows the last failed sub-call at each depth. */
const logged_call* find_cause(const logged_calls& calls, const std::string& id)
{
    const auto position = calls.find(id);
    if (position == calls.end()) {
        return nullptr;
    }
    const logged_call& call = position->second;
    for (auto child = call.m_children.rbegin(); child != call.m_children.rend(); ++child) {
        const auto child_position = calls.find(*child);
        const bool failed =
            child_position != calls.end() && std::any_of(child_position->second.m_lines.begin(),
                                                         child_position->second.m_lines.end(), has_failed);
        if (failed) {
            return find_cause(calls, *child);
        }
    }
    return &call;
}

} // namespace

exit_status run_explain(const command_options& options)
{
    logged_calls calls;
    if (!collect_calls(options.m_files, options.m_operand, calls)) {
        return exit_status::usage;
    }
    const auto root = calls.find(options.m_operand);
    if (root == calls.end() || root->second.m_lines.empty()) {
        std::cerr << "waxwingctl: no log line mentions the request " << options.m_operand
                  << "\nnext: pass the logs of all nodes; frequent events are sampled, so the request may "
                     "not be logged\n";
        return exit_status::refused;
    }
    print_call(calls, options.m_operand, 0);
    const std::vector<log_line>& lines = root->second.m_lines;
    if (!std::any_of(lines.begin(), lines.end(), has_failed)) {
        std::cout << "the request was answered by its target\n";
        return exit_status::done;
    }
    const logged_call* const cause = find_cause(calls, options.m_operand);
    std::cout << "decided by\n";
    for (const log_line& line : cause->m_lines) {
        std::cout << "  " << describe(line) << '\n';
    }
    return exit_status::done;
}

} // namespace waxwing
