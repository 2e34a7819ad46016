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

constexpr std::string_view base_prefix = "; base revision ";
constexpr int max_publish_attempts = 3;
constexpr int max_wait_polls = 120;
constexpr duration wait_poll_interval = std::chrono::milliseconds(500);

/** A configuration set read from files. */
struct local_set {
    config_set m_set;                    ///< The configuration set.
    std::optional<std::uint64_t> m_base; ///< The revision it is based on: `--base`, or named in a file.
};

/** The newest revision that a node has. */
struct node_config {
    std::uint64_t m_revision = 0; ///< Zero if the node has none.
    config_set m_set;             ///< The configuration set of that revision.
};

/** Reads all files. @return their texts, or one error for each file that can't be read or is empty. */
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

/** Returns the number in `; base revision N` if a file has such a first line. */
std::optional<std::uint64_t> find_base(const std::vector<config_file>& files)
{
    for (const config_file& file : files) {
        if (file.m_text.compare(0, base_prefix.size(), base_prefix) == 0) {
            std::uint64_t revision_number = 0;
            const char* const end = file.m_text.data() + file.m_text.size();
            const auto conversion =
                std::from_chars(file.m_text.data() + base_prefix.size(), end, revision_number);
            return conversion.ec == std::errc{} ? std::optional(revision_number) : std::nullopt;
        }
    }
    return std::nullopt;
}

/** Reads and checks the files. @return the set, or nothing after printing the errors. */
std::optional<local_set> load_set(const command_options& options)
{
    const auto files = read_files(options.m_files);
    const auto set =
        files.has_value() ? read_config(files.value()) : result<config_set, located_errors>(files.error());
    if (set.has_value()) {
        return local_set{set.value(), options.m_base ? options.m_base : find_base(files.value())};
    }
    json error_list = json::array();
    for (const located_error& error : set.error()) {
        error_list.push_back({{"file", error.m_file}, {"line", error.m_line}, {"text", error.m_text}});
        std::cerr << to_string(error) << '\n';
    }
    if (options.m_json) {
        std::cout << json{{"errors", error_list}}.dump(-1, ' ', false, json::error_handler_t::replace)
                  << '\n';
    }
    return std::nullopt;
}

/** Fetches the newest revision of the node. @return the exit status after printing why it failed. */
result<node_config, exit_status> fetch_newest(api_client& node, const command_options& options)
{
    const result<api_answer> answer = node.call("GET", "/v1/config");
    if (answer.has_value() && answer.value().m_content.is_object() &&
        answer.value().m_content.value("rule", "") == info_of(rule::not_ready).m_name) {
        return node_config{};
    }
    if (!is_success(answer)) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(report_failure(answer, options));
    }
    const json& content = answer.value().m_content;
    auto set = read_config({config_file{"revision", content.value("text", "")}});
    if (set.has_error()) {
        std::cerr << "waxwingctl: this version can't read the configuration of the node: "
                  << to_string(set.error().front())
                  << "\nnext: use the waxwingctl that belongs to the version of the node\n";
        return BOOST_OUTCOME_V2_NAMESPACE::failure(exit_status::refused);
    }
    return node_config{content.value("revision", std::uint64_t{0}), std::move(set).value()};
}

/** Generates a random change id. */
std::string make_change_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 24;
    std::random_device device;
    std::string id;
    for (int count = 0; count < length; ++count) {
        id += digits[device() % digits.size()];
    }
    return id;
}

/** Polls @p node until all nodes that it knows have @p revision_number in force, or the polls run out. */
exit_status wait_in_force(api_client& node, std::uint64_t revision_number, const command_options& options)
{
    std::string missing;
    for (int poll = 0; poll < max_wait_polls; ++poll) {
        const auto answer = node.call("GET", "/v1/in_force?revision=" + std::to_string(revision_number));
        if (is_success(answer)) {
            const json& content = answer.value().m_content;
            missing = content.value("missing", json::array()).dump();
            if (content.value("known", 0) == content.value("in_force", -1)) {
                (options.m_json ? std::cerr : std::cout)
                    << "in force at all " << content.value("known", 0) << " nodes\n";
                return exit_status::done;
            }
        }
        node.wait(wait_poll_interval);
    }
    std::cerr << "waxwingctl: revision " << revision_number << " is published, but not yet in force at "
              << missing
              << "\nnext: check these nodes; they apply it as soon as they reach the platform or a peer\n";
    return exit_status::not_everywhere;
}

/**
 * Posts a change and prints its outcome. A change whose answer is lost is posted again under the same change
 * id, so that it is published at most once.
 */
exit_status publish(api_client& node, const std::string& path, json body, const command_options& options)
{
    const std::string id = options.m_change_id.empty() ? make_change_id() : options.m_change_id;
    body["change_id"] = id;
    body["who"] = options.m_who;
    body["why"] = options.m_why;
    body["resumed"] = !options.m_change_id.empty();
    result<api_answer> answer = fail(error_code::unavailable, "");
    exit_status status = exit_status::unknown;
    for (int attempt = 0; attempt < max_publish_attempts && status == exit_status::unknown; ++attempt) {
        answer = node.call("POST", path, body.dump(-1, ' ', false, json::error_handler_t::replace));
        status = is_success(answer) ? exit_status::done : report_failure(answer, options);
        body["resumed"] = true;
    }
    if (status == exit_status::unknown) {
        std::cerr << "next: run the same command again with --change-id=" << id
                  << "; it reports whether the change was published, and publishes it at most once\n";
    }
    if (status != exit_status::done) {
        return status;
    }
    const std::uint64_t revision_number = answer.value().m_content.value("revision", std::uint64_t{0});
    std::cout << (options.m_json ? answer.value().m_body
                                 : "revision " + std::to_string(revision_number) + "\n");
    return options.m_wait ? wait_in_force(node, revision_number, options) : status;
}

/** Prints @p changes as a list of removed and added lines, or as JSON. */
void print_changes(const std::vector<config_change>& changes, bool as_json)
{
    json change_list = json::array();
    for (const config_change& change : changes) {
        const std::string type_name(name_in(change_type_names, change.m_type));
        change_list.push_back({{"change", type_name},
                               {"object", change.m_object},
                               {"before", change.m_before},
                               {"after", change.m_after}});
        if (as_json) {
            continue;
        }
        std::cout << type_name << ' ' << change.m_object << '\n';
        for (const auto& [sign, lines] : {std::pair('-', change.m_before), std::pair('+', change.m_after)}) {
            std::istringstream text(lines);
            for (std::string line; std::getline(text, line);) {
                std::cout << "  " << sign << ' ' << line << '\n';
            }
        }
    }
    if (as_json) {
        std::cout << json{{"changes", change_list}}.dump() << '\n';
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
        std::cout << "valid: " << set.m_services.size() << " services, " << set.m_kinds.size() << " kinds, "
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
    const auto newest = fetch_newest(node, options);
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
        const auto newest = fetch_newest(node, options);
        if (newest.has_error()) {
            return newest.error();
        }
        if (newest.value().m_revision != 0) {
            std::cerr
                << "waxwingctl: the files do not name the revision they are based on, and revision "
                << newest.value().m_revision
                << " is in force; changes by others could be lost\nnext: check `waxwingctl diff FILE...`, "
                   "then add --base="
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
        return report_failure(answer, options);
    }
    const json& content = answer.value().m_content;
    const std::uint64_t revision_number = content.value("revision", std::uint64_t{0});
    if (options.m_revision && *options.m_revision != revision_number) {
        std::cerr << "waxwingctl: the node returned revision " << revision_number
                  << "\nnext: `waxwingctl history` lists its revisions\n";
        return exit_status::refused;
    }
    if (options.m_json) {
        std::cout << answer.value().m_body;
    }
    else {
        std::cout << base_prefix << revision_number << '\n' << content.value("text", "");
    }
    return exit_status::done;
}

exit_status run_history(api_client& node, const command_options& options)
{
    const result<api_answer> answer = node.call("GET", "/v1/history");
    if (!is_success(answer)) {
        return report_failure(answer, options);
    }
    if (options.m_json) {
        std::cout << answer.value().m_body;
        return exit_status::done;
    }
    for (const json& record : answer.value().m_content.value("revisions", json::array())) {
        const std::time_t seconds = record.value("when", std::int64_t{0}) / 1000;
        std::array<char, 32> time_text{};
        std::tm utc_time{};
        std::strftime(time_text.data(), time_text.size(), "%FT%TZ", gmtime_r(&seconds, &utc_time));
        std::cout << record.value("revision", 0) << ' ' << time_text.data() << ' ' << record.value("who", "")
                  << ": " << record.value("why", "") << " (" << record.value("change_id", "") << ")\n";
        std::istringstream summary(record.value("summary", ""));
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
