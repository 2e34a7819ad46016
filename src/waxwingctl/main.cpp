/** @file main.cpp The operators' command line tool waxwingctl. */
#include "waxwingctl/command_func.h"

#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

using namespace waxwing;

namespace {

constexpr const char* usage = R"(waxwingctl - operate waxwinghub nodes

Usage:
  waxwingctl check [--json] FILE...
  waxwingctl diff [--node=ADDRESS] [--token-file=FILE] [--json] FILE...
  waxwingctl apply [--node=ADDRESS] [--token-file=FILE] [--json] [--wait] [--why=TEXT] [--who=NAME] [--base=N] [--change-id=ID] FILE...
  waxwingctl get [--node=ADDRESS] [--token-file=FILE] [--json] [--revision=N]
  waxwingctl history [--node=ADDRESS] [--token-file=FILE] [--json]
  waxwingctl rollback [--node=ADDRESS] [--token-file=FILE] [--json] [--wait] [--why=TEXT] [--who=NAME] [--change-id=ID] REVISION
  waxwingctl status [--node=ADDRESS] [--token-file=FILE] [--json]
  waxwingctl drain [--node=ADDRESS] [--token-file=FILE] [--json] [--undo]
  waxwingctl release [--node=ADDRESS] [--token-file=FILE] [--json] FINGERPRINT
  waxwingctl top [--node=ADDRESS] [--token-file=FILE] [--json] [--count=N]
  waxwingctl explain REQUEST FILE...
  waxwingctl hash-key SALT
  waxwingctl (-h | --help)
  waxwingctl --version

Options:
  --node=ADDRESS     Operator API of a node [default: 127.0.0.1:9000].
  --token-file=FILE  File with the operator's token; default: WAXWING_TOKEN.
  --json             Print JSON.
  --wait             Wait until all known nodes have the revision in force.
  --why=TEXT         Reason, for the history.
  --who=NAME         Operator, for the history; default: USER.
  --base=N           Revision the files are based on; default: `; base revision N` in the first line of a file.
  --change-id=ID     Id of an earlier change whose outcome is unknown, to settle or repeat it.
  --revision=N       Revision to get.
  --undo             End the drain.
  --count=N          Number of lines to print; without it, print until interrupted.
  -h --help          Show this text.
  --version          Show the version.

`hash-key` reads the key of an organisation from the standard input and prints its hash for the key `keys` of the
organisation; SALT is `key_salt` of `[limits fleet]`.

`explain` reads the JSON logs of nodes and traces the request with the id REQUEST to the decision that ended it.

Exit status: 0 done, 1 refused or invalid, 2 wrong usage, 3 node or platform unreachable and nothing changed,
4 conflict with changes of others, 5 outcome unknown, 6 published but not in force everywhere in time.
)";

using arguments = std::map<std::string, docopt::value>;

/** A command that calls a node. */
struct node_command {
    const char* m_name;                                                  ///< As in the usage text.
    exit_status (*m_run)(api_client&, const command_options&) = nullptr; ///< Carries it out.
};

constexpr std::array<node_command, 9> node_commands{{{"diff", run_diff},
                                                     {"apply", run_apply},
                                                     {"get", run_get},
                                                     {"history", run_history},
                                                     {"rollback", run_rollback},
                                                     {"status", run_status},
                                                     {"drain", run_drain},
                                                     {"release", run_release},
                                                     {"top", run_top}}};

/** Prints that the command line is wrong. @return the exit status. */
exit_status report_usage_error(const std::string& text)
{
    std::cerr << "waxwingctl: " << text << "\nnext: see `waxwingctl --help`\n";
    return exit_status::usage;
}

/** Returns the string of the option or operand @p name; empty if it was not passed. */
std::string string_option(const arguments& args, const std::string& name)
{
    const auto found = args.find(name);
    return found != args.end() && found->second.isString() ? found->second.asString() : "";
}

/** Checks whether the flag or command @p name was passed. */
bool flag_option(const arguments& args, const std::string& name)
{
    const auto found = args.find(name);
    return found != args.end() && found->second.isBool() && found->second.asBool();
}

/** Reads the option @p name into @p value if it was passed. @return false if it is not a number. */
bool read_number_option(const arguments& args, const std::string& name, std::optional<std::uint64_t>& value)
{
    const std::string text = string_option(args, name);
    if (text.empty()) {
        return true;
    }
    std::uint64_t number = 0;
    const auto conversion = std::from_chars(text.data(), text.data() + text.size(), number);
    value = number;
    return conversion.ec == std::errc{} && conversion.ptr == text.data() + text.size();
}

/** Returns the first line of @p file, or WAXWING_TOKEN if no file is named; nothing if it can't be read. */
std::optional<std::string> read_token(const std::string& file)
{
    if (file.empty()) {
        const char* const token = std::getenv("WAXWING_TOKEN");
        return token == nullptr ? "" : token;
    }
    std::ifstream stream(file);
    std::string token;
    return std::getline(stream, token) ? std::optional(token) : std::nullopt;
}

/** Reads the options from @p args. @return nothing if a number is malformed. */
std::optional<command_options> read_options(const arguments& args)
{
    command_options options;
    if (const auto files = args.find("FILE"); files != args.end() && files->second.isStringList()) {
        options.m_files = files->second.asStringList();
    }
    const char* const user = std::getenv("USER");
    options.m_operand =
        string_option(args, "FINGERPRINT") + string_option(args, "REQUEST") + string_option(args, "SALT");
    options.m_change_id = string_option(args, "--change-id");
    options.m_who = string_option(args, "--who");
    if (options.m_who.empty()) {
        options.m_who = user == nullptr ? "operator" : user;
    }
    options.m_why = string_option(args, "--why");
    options.m_wait = flag_option(args, "--wait");
    options.m_undo = flag_option(args, "--undo");
    options.m_json = flag_option(args, "--json");
    const bool are_numbers_valid = read_number_option(args, "--revision", options.m_revision) &&
                                   read_number_option(args, "REVISION", options.m_revision) &&
                                   read_number_option(args, "--base", options.m_base) &&
                                   read_number_option(args, "--count", options.m_count);
    return are_numbers_valid ? std::optional(options) : std::nullopt;
}

/** Runs the command in @p args. */
exit_status run(const arguments& args)
{
    const std::optional<command_options> options = read_options(args);
    if (!options) {
        return report_usage_error("a revision, base or count must be a whole number");
    }
    if (flag_option(args, "check")) {
        return run_check(*options);
    }
    if (flag_option(args, "hash-key")) {
        return run_hash_key(*options);
    }
    if (flag_option(args, "explain")) {
        return run_explain(*options);
    }
    const result<endpoint> address = parse_endpoint(string_option(args, "--node"));
    if (address.has_error()) {
        return report_usage_error("--node: " + address.error().m_text);
    }
    const std::optional<std::string> token = read_token(string_option(args, "--token-file"));
    if (!token) {
        return report_usage_error("--token-file: the file can't be read or is empty");
    }
    api_client node(address.value(), *token);
    for (const node_command& command : node_commands) {
        if (flag_option(args, command.m_name)) {
            return command.m_run(node, *options);
        }
    }
    return report_usage_error("no command");
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<std::string> args(argv + 1, argv + argc);
        return static_cast<int>(run(docopt::docopt_parse(usage, args, true, true)));
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
    }
    catch (const docopt::DocoptExitVersion&) {
        std::cout << "waxwingctl " WAXWING_VERSION "\n";
    }
    catch (const nlohmann::json::exception& error) {
        std::cerr << "waxwingctl: the answer of the node has an unexpected format: " << error.what()
                  << "\nnext: use the waxwingctl that belongs to the version of the node\n";
        return static_cast<int>(exit_status::refused);
    }
    catch (const docopt::DocoptArgumentError& error) {
        return static_cast<int>(report_usage_error(error.what()));
    }
    return 0;
}
