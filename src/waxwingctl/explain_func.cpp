/** @file explain_func.cpp What the operator is told where a call did not succeed. */
#include "waxwingctl/command_func.h"

#include <iostream>

namespace waxwing {

namespace {

constexpr std::uint16_t status_bad = 400;
constexpr std::uint16_t status_unauthorised = 401;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_timeout = 504;

/** Prints each element of the list @p key. */
void print_list(const nlohmann::json& content, const char* key)
{
    if (!content.is_object() || !content.contains(key) || !content[key].is_array()) {
        return;
    }
    for (const nlohmann::json& each : content[key]) {
        if (each.is_string()) {
            std::cerr << "  " << each.get<std::string>() << '\n';
        }
        else if (each.is_object()) {
            std::cerr << text_in(each, "file") << ':' << each.value("line", 0) << ": "
                      << text_in(each, "text") << '\n';
        }
    }
}

exit_status explain_conflict(const nlohmann::json& content)
{
    std::cerr << "waxwingctl: nothing was published: " << text_in(content, "detail") << '\n';
    if (content.is_object() && content.contains("clashes") && !content["clashes"].empty()) {
        std::cerr << "these objects were changed by others too:\n";
        print_list(content, "clashes");
        std::cerr << "next: `waxwingctl get`, make the change in its output, and apply that\n";
    }
    return exit_status::conflict;
}

} // namespace

std::string text_in(const nlohmann::json& content, const char* key)
{
    const auto found = content.is_object() ? content.find(key) : content.end();
    return content.is_object() && found != content.end() && found->is_string() ? found->get<std::string>()
                                                                               : "";
}

bool is_success(const result<api_answer>& answer)
{
    constexpr std::uint16_t status_ok = 200;
    return answer.has_value() && answer.value().m_status == status_ok && !answer.value().m_content.is_null();
}

exit_status explain(const result<api_answer>& answer, const command_options& options)
{
    if (answer.has_error()) {
        const bool unsent = answer.error().m_code == error_code::unavailable;
        std::cerr
            << "waxwingctl: " << answer.error().m_text << '\n'
            << (unsent
                    ? "nothing was changed; next: check that waxwingd runs, or give another node by --node\n"
                    : "the answer was lost; it may have been done\n");
        return unsent ? exit_status::unreachable : exit_status::unknown;
    }
    const nlohmann::json& content = answer.value().m_content;
    if (options.m_json) {
        std::cout << answer.value().m_body;
    }
    switch (answer.value().m_status) {
    case status_bad:
        std::cerr << "waxwingctl: refused: " << text_in(content, "detail") << '\n';
        print_list(content, "errors");
        return exit_status::refused;
    case status_unauthorised:
        std::cerr << "waxwingctl: the node does not accept the token: " << text_in(content, "detail")
                  << "\nnext: give the token by --token-file or WAXWING_TOKEN\n";
        return exit_status::refused;
    case status_conflict:
        return explain_conflict(content);
    case status_unavailable:
        std::cerr << "waxwingctl: not done: " << text_in(content, "detail") << "\nnext: try again later\n";
        return exit_status::unreachable;
    case status_timeout:
        std::cerr << "waxwingctl: it may have been published: " << text_in(content, "detail") << '\n';
        return exit_status::unknown;
    default:
        std::cerr << "waxwingctl: the node answered " << answer.value().m_status << ": "
                  << text_in(content, "title") << ' ' << text_in(content, "detail") << '\n';
        return exit_status::refused;
    }
}

} // namespace waxwing
