/** @file explain_cmd.cpp The path of one request through the logs of many nodes. */
#include "waxwingctl/command_func.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr int answered_event = 610; ///< request-answered: what an entry told its caller.
constexpr int ended_event = 611;    ///< run-ended: what became of the call beside its target.

/** One line about a request. */
struct log_line {
    std::string m_writer; ///< The node that wrote it.
    int m_event = 0;      ///< Its number.
    json m_fields;        ///< All of it.
};

/** The lines of one call, and the calls that it made. */
struct logged_call {
    std::vector<log_line> m_lines; ///< The entry's first.
    std::vector<std::string>
        m_children; ///< Ids, in the order in which the entry beside the target answered them.
};

/** Calls by id. */
using logged_calls = std::map<std::string, logged_call>;

/** Tells whether @p id names the call @p root or one below it. */
bool is_within(const std::string& id, const std::string& root)
{
    return id == root ||
           (id.size() > root.size() && id.compare(0, root.size(), root) == 0 && id[root.size()] == '.');
}

/**
 * Reads a line of a log: JSON, possibly behind a prefix whose last word is the node's name.
 * @param file whose name says the node where there is no prefix.
 */
std::optional<log_line> read_line(const std::string& text, const std::filesystem::path& file)
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
    line.m_writer = has_prefix ? text.substr(space == std::string::npos ? 0 : space + 1, end - space)
                               : file.stem().string();
    return line;
}

/** Reads what the files say of @p root and the calls below it. @return false where a file can't be read. */
bool read_calls(const std::vector<std::string>& files, const std::string& root, logged_calls& calls)
{
    for (const std::string& file : files) {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << "waxwingctl: " << file << " can't be read\n";
            return false;
        }
        for (std::string text; std::getline(stream, text);) {
            std::optional<log_line> line =
                text.find(root) == std::string::npos ? std::nullopt : read_line(text, file);
            const std::string id = line ? text_in(line->m_fields, "request") : "";
            const bool told = line && (line->m_event == answered_event || line->m_event == ended_event);
            if (!told || !is_within(id, root)) {
                continue;
            }
            const std::size_t dot = id.rfind('.');
            if (line->m_event == answered_event && id != root && dot != std::string::npos) {
                calls[id.substr(0, dot)].m_children.push_back(id);
            }
            std::vector<log_line>& lines = calls[id].m_lines;
            lines.insert(line->m_event == answered_event ? lines.begin() : lines.end(), std::move(*line));
        }
    }
    return true;
}

/** Tells whether the call of @p line failed. */
bool has_failed(const log_line& line)
{
    const std::string status = text_in(line.m_fields, "status");
    return text_in(line.m_fields, "rule") != "none" || (!status.empty() && status.front() == '5');
}

/** Describes @p line in words. */
std::string describe(const log_line& line)
{
    const json& fields = line.m_fields;
    const auto field = [&fields](const char* name) { return text_in(fields, name); };
    const std::string rule = field("rule") == "none" ? "the target's answer" : field("rule");
    std::string text = line.m_writer + ": " + field("kind");
    if (line.m_event == answered_event) {
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

/** Prints the call @p id and those below it. */
void print_call(const logged_calls& calls, const std::string& id, std::size_t depth)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    for (const log_line& line : found->second.m_lines) {
        std::cout << std::string(2 * depth, ' ') << describe(line) << '\n';
    }
    for (const std::string& child : found->second.m_children) {
        print_call(calls, child, depth + 1);
    }
}

/** Finds the call that decided how @p id ended: the last one that failed, as deep as it goes. */
const logged_call* find_cause(const logged_calls& calls, const std::string& id)
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return nullptr;
    }
    const logged_call& made = found->second;
    for (auto child = made.m_children.rbegin(); child != made.m_children.rend(); ++child) {
        const auto below = calls.find(*child);
        const bool failed = below != calls.end() && std::any_of(below->second.m_lines.begin(),
                                                                below->second.m_lines.end(), has_failed);
        if (failed) {
            return find_cause(calls, *child);
        }
    }
    return &made;
}

} // namespace

exit_status run_explain(const command_options& options)
{
    logged_calls calls;
    if (!read_calls(options.m_files, options.m_operand, calls)) {
        return exit_status::usage;
    }
    const auto root = calls.find(options.m_operand);
    if (root == calls.end() || root->second.m_lines.empty()) {
        std::cerr << "waxwingctl: no line names the request " << options.m_operand
                  << "\nnext: give the logs of all nodes; of frequent events only samples are written\n";
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
