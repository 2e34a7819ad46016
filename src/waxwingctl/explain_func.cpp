/** @file explain_func.cpp Error messages for calls that failed. */
#include "waxwingctl/command_func.h"

#include <iostream>

namespace waxwing {

namespace {

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_unauthorised = 401;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_timeout = 504;

/** Prints the elements of the array @p key: strings, or errors with file, line and text. */
void print_list(const nlohmann::json& content, const char* key)
{
    if (!content.is_object() || !content.contains(key) || !content[key].is_array()) {
        return;
    }
    for (const nlohmann::json& element : content[key]) {
        if (element.is_string()) {
            std::cerr << "  " << element.get<std::string>() << '\n';
        }
        else if (element.is_object()) {
            std::cerr << string_value(element, "file") << ':' << element.value("line", 0) << ": "
                      << string_value(element, "text") << '\n';
        }
    }
}

/** Prints a conflict with changes of others. @return the exit status. */
exit_status report_conflict(const nlohmann::json& content)
{
    std::cerr << "waxwingctl: nothing was published: " << string_value(content, "detail") << '\n';
    if (content.is_object() && content.contains("clashes") && !content["clashes"].empty()) {
        std::cerr << "objects that others changed as well:\n";
        print_list(content, "clashes");
        std::cerr << "next: `waxwingctl get`, make the change in its output, and apply that\n";
    }
    return exit_status::conflict;
}

} // namespace

std::string string_value(const nlohmann::json& content, const char* key)
{
    const auto position = content.is_object() ? content.find(key) : content.end();
    return content.is_object() && position != content.end() && position->is_string()
               ? position->get<std::string>()
               : "";
}

bool is_success(const result<api_answer>& answer)
{
    constexpr std::uint16_t status_ok = 200;
    return answer.has_value() && answer.value().m_status == status_ok && !answer.value().m_content.is_null();
}

exit_status report_failure(const result<api_answer>& answer, const command_options& options)
{
    if (answer.has_error()) {
        const bool not_sent = answer.error().m_code == error_code::unavailable;
        std::cerr << "waxwingctl: " << answer.error().m_text << '\n'
                  << (not_sent ? "nothing was changed; next: check that waxwingd runs, or choose another "
                                 "node with --node\n"
                               : "the answer was lost; the command may have taken effect\n");
        return not_sent ? exit_status::unreachable : exit_status::unknown;
    }
    const nlohmann::json& content = answer.value().m_content;
    if (options.m_json) {
        std::cout << answer.value().m_body;
    }
    switch (answer.value().m_status) {
    case status_bad_request:
        std::cerr << "waxwingctl: refused: " << string_value(content, "detail") << '\n';
        print_list(content, "errors");
        return exit_status::refused;
    case status_unauthorised:
        std::cerr << "waxwingctl: the node does not accept the token: " << string_value(content, "detail")
                  << "\nnext: pass the token with --token-file or WAXWING_TOKEN\n";
        return exit_status::refused;
    case status_conflict:
        return report_conflict(content);
    case status_unavailable:
        std::cerr << "waxwingctl: not done: " << string_value(content, "detail")
                  << "\nnext: try again later\n";
        return exit_status::unreachable;
    case status_timeout:
        std::cerr << "waxwingctl: outcome unknown, the change may have been published: "
                  << string_value(content, "detail") << '\n';
        return exit_status::unknown;
    default:
        std::cerr << "waxwingctl: the node answered " << answer.value().m_status << ": "
                  << string_value(content, "title") << ' ' << string_value(content, "detail") << '\n';
        return exit_status::refused;
    }
}

} // namespace waxwing
