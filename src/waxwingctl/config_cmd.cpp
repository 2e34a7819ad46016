/** @file config_cmd.cpp Commands that check, compare and publish configurations. */
#include "waxwingctl/command_func.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr std::string_view base_mark = "; base revision ";
constexpr int publish_tries = 3;
constexpr int wait_tries = 120;
constexpr duration wait_pause = std::chrono::milliseconds(500);

/** A set as files give it. */
struct local_set {
    config_set m_set;                    ///< The set.
    std::optional<std::uint64_t> m_base; ///< The revision that it was made from, where a file says so.
};

/** The newest revision at a node. */
struct node_config {
    std::uint64_t m_revision = 0; ///< Zero where there is none.
    config_set m_set;             ///< Its set.
};

/** Reads all files; an unreadable one is an error. */
result<std::vector<config_file>, located_errors> read_files(const std::vector<std::string>& names)
{
    std::vector<config_file> files;
    located_errors errors;
    for (const std::string& name : names) {
        std::ifstream stream(name, std::ios::binary);
        std::ostringstream text;
        if (!stream || !(text << stream.rdbuf())) {
            errors.push_back({name, 0, "the file can't be read or is empty"});
        }
        files.push_back({name, text.str()});
    }
    if (!errors.empty()) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(errors));
    }
    return files;
}

/** Finds the revision that `; base revision N` in the first line of a file names. */
std::optional<std::uint64_t> find_base(const std::vector<config_file>& files)
{
    for (const config_file& file : files) {
        if (file.m_text.compare(0, base_mark.size(), base_mark) == 0) {
            std::uint64_t number = 0;
            const char* const end = file.m_text.data() + file.m_text.size();
            const auto read = std::from_chars(file.m_text.data() + base_mark.size(), end, number);
            return read.ec == std::errc{} ? std::optional(number) : std::nullopt;
        }
    }
    return std::nullopt;
}

/** Reads and checks the files; errors are printed. */
std::optional<local_set> load_set(const command_options& options)
{
    const auto files = read_files(options.m_files);
    const auto read =
        files.has_value() ? read_config(files.value()) : result<config_set, located_errors>(files.error());
    if (read.has_value()) {
        return local_set{read.value(), options.m_base ? options.m_base : find_base(files.value())};
    }
    json listed = json::array();
    for (const located_error& each : read.error()) {
        listed.push_back({{"file", each.m_file}, {"line", each.m_line}, {"text", each.m_text}});
        std::cerr << to_string(each) << '\n';
    }
    if (options.m_json) {
        std::cout << json{{"errors", listed}}.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
    }
    return std::nullopt;
}

/** Gets the newest revision of the node; a failure is explained. */
result<node_config, exit_status> load_newest(api_client& node, const command_options& options)
{
    const result<api_answer> answer = node.call("GET", "/v1/config");
    if (answer.has_value() && answer.value().m_content.is_object() &&
        answer.value().m_content.value("rule", "") == info_of(rule::not_ready).m_name) {
        return node_config{};
    }
    if (!is_success(answer)) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(explain(answer, options));
    }
    const json& content = answer.value().m_content;
    auto set = read_config({config_file{"revision", content.value("text", "")}});
    if (set.has_error()) {
        std::cerr << "waxwingctl: the node has a set that this version can't read: "
                  << to_string(set.error().front()) << "\nnext: use the waxwingctl of the node's version\n";
        return BOOST_OUTCOME_V2_NAMESPACE::failure(exit_status::refused);
    }
    return node_config{content.value("revision", std::uint64_t{0}), std::move(set).value()};
}

/** Makes a change id. */
std::string make_change_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 24;
    std::random_device source;
    std::string id;
    for (int count = 0; count < length; ++count) {
        id += digits[source() % digits.size()];
    }
    return id;
}

/** Waits until all nodes that @p node knows have @p number in force. */
exit_status wait_in_force(api_client& node, std::uint64_t number, const command_options& options)
{
    std::string missing;
    for (int tries = 0; tries < wait_tries; ++tries) {
        const auto answer = node.call("GET", "/v1/in_force?revision=" + std::to_string(number));
        if (is_success(answer)) {
            const json& content = answer.value().m_content;
            missing = content.value("missing", json::array()).dump();
            if (content.value("known", 0) == content.value("in_force", -1)) {
                (options.m_json ? std::cerr : std::cout)
                    << "in force at all " << content.value("known", 0) << " nodes\n";
                return exit_status::done;
            }
        }
        node.wait(wait_pause);
    }
    std::cerr << "waxwingctl: revision " << number << " is published, but not yet in force at " << missing
              << "\nnext: look at these nodes; they take it as soon as they reach the platform or a peer\n";
    return exit_status::not_everywhere;
}

/** Posts a change, again under the same change id where the answer is lost, and tells how it ended. */
exit_status publish(api_client& node, const std::string& path, json body, const command_options& options)
{
    const std::string id = options.m_change_id.empty() ? make_change_id() : options.m_change_id;
    body["change_id"] = id;
    body["who"] = options.m_who;
    body["why"] = options.m_why;
    body["resumed"] = !options.m_change_id.empty();
    result<api_answer> answer = fail(error_code::unavailable, "");
    exit_status status = exit_status::unknown;
    for (int tries = 0; tries < publish_tries && status == exit_status::unknown; ++tries) {
        answer = node.call("POST", path, body.dump(-1, ' ', false, json::error_handler_t::replace));
        status = is_success(answer) ? exit_status::done : explain(answer, options);
        body["resumed"] = true;
    }
    if (status == exit_status::unknown) {
        std::cerr << "next: run the same command again with --change-id=" << id
                  << "; it tells whether the change was published, and publishes it at most once\n";
    }
    if (status != exit_status::done) {
        return status;
    }
    const std::uint64_t number = answer.value().m_content.value("revision", std::uint64_t{0});
    std::cout << (options.m_json ? answer.value().m_body : "revision " + std::to_string(number) + "\n");
    return options.m_wait ? wait_in_force(node, number, options) : status;
}

/** Prints @p changes. */
void print_changes(const std::vector<config_change>& changes, bool as_json)
{
    json listed = json::array();
    for (const config_change& each : changes) {
        const std::string sort(name_in(change_type_names, each.m_type));
        listed.push_back({{"change", sort},
                          {"object", each.m_object},
                          {"before", each.m_before},
                          {"after", each.m_after}});
        if (as_json) {
            continue;
        }
        std::cout << sort << ' ' << each.m_object << '\n';
        for (const auto& [sign, lines] : {std::pair('-', each.m_before), std::pair('+', each.m_after)}) {
            std::istringstream text(lines);
            for (std::string line; std::getline(text, line);) {
                std::cout << "  " << sign << ' ' << line << '\n';
            }
        }
    }
    if (as_json) {
        std::cout << json{{"changes", listed}}.dump() << '\n';
    }
}

} // namespace

exit_status run_check(const command_options& options)
{
    const std::optional<local_set> local = load_set(options);
    if (!local) {
        return exit_status::refused;
    }
    const config_set& set = local->m_set;
    if (options.m_json) {
        std::cout << json{{"errors", json::array()}}.dump() << '\n';
    }
    else {
        std::cout << "sound: " << set.m_services.size() << " services, " << set.m_kinds.size() << " kinds, "
                  << set.m_callers.size() << " callers\n";
    }
    return exit_status::done;
}

exit_status run_diff(api_client& node, const command_options& options)
{
    const std::optional<local_set> local = load_set(options);
    if (!local) {
        return exit_status::refused;
    }
    const auto newest = load_newest(node, options);
    if (newest.has_error()) {
        return newest.error();
    }
    print_changes(diff_configs(newest.value().m_set, local->m_set), options.m_json);
    return exit_status::done;
}

exit_status run_apply(api_client& node, const command_options& options)
{
    const std::optional<local_set> local = load_set(options);
    if (!local) {
        return exit_status::refused;
    }
    std::uint64_t base = local->m_base.value_or(0);
    if (!local->m_base) {
        const auto newest = load_newest(node, options);
        if (newest.has_error()) {
            return newest.error();
        }
        if (newest.value().m_revision != 0) {
            std::cerr
                << "waxwingctl: the files do not say which revision they were made from, and revision "
                << newest.value().m_revision
                << " is in force; changes of others could be lost\nnext: look at `waxwingctl diff FILE...`, "
                   "then give --base="
                << newest.value().m_revision << ", or edit the output of `waxwingctl get`\n";
            return exit_status::usage;
        }
    }
    return publish(node, "/v1/config", {{"base", base}, {"text", write_config(local->m_set)}}, options);
}

exit_status run_get(api_client& node, const command_options& options)
{
    const std::string query = options.m_revision ? "?revision=" + std::to_string(*options.m_revision) : "";
    const result<api_answer> answer = node.call("GET", "/v1/config" + query);
    if (!is_success(answer)) {
        return explain(answer, options);
    }
    const json& content = answer.value().m_content;
    const std::uint64_t number = content.value("revision", std::uint64_t{0});
    if (options.m_revision && *options.m_revision != number) {
        std::cerr << "waxwingctl: the node gave revision " << number
                  << "\nnext: `waxwingctl history` lists what it has\n";
        return exit_status::refused;
    }
    if (options.m_json) {
        std::cout << answer.value().m_body;
    }
    else {
        std::cout << base_mark << number << '\n' << content.value("text", "");
    }
    return exit_status::done;
}

exit_status run_history(api_client& node, const command_options& options)
{
    const result<api_answer> answer = node.call("GET", "/v1/history");
    if (!is_success(answer)) {
        return explain(answer, options);
    }
    if (options.m_json) {
        std::cout << answer.value().m_body;
        return exit_status::done;
    }
    for (const json& each : answer.value().m_content.value("revisions", json::array())) {
        const std::time_t seconds = each.value("when", std::int64_t{0}) / 1000;
        std::array<char, 32> when{};
        std::tm parts{};
        std::strftime(when.data(), when.size(), "%FT%TZ", gmtime_r(&seconds, &parts));
        std::cout << each.value("revision", 0) << ' ' << when.data() << ' ' << each.value("who", "") << ": "
                  << each.value("why", "") << " (" << each.value("change_id", "") << ")\n";
        std::istringstream summary(each.value("summary", ""));
        for (std::string line; std::getline(summary, line);) {
            std::cout << "  " << line << '\n';
        }
    }
    return exit_status::done;
}

exit_status run_rollback(api_client& node, const command_options& options)
{
    return publish(node, "/v1/rollback", {{"revision", *options.m_revision}}, options);
}

} // namespace waxwing
