/** @file main.cpp The operators' command line waxwingctl. */
#include "waxwingctl/command_func.h"

#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

using namespace waxwing;

namespace {

constexpr const char* usage = R"(waxwingctl - the operators' tool of waxwinghub

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
  waxwingctl (-h | --help)
  waxwingctl --version

Options:
  --node=ADDRESS     Operators' door of a node [default: 127.0.0.1:9000].
  --token-file=FILE  File with the operator's token; else WAXWING_TOKEN is used.
  --json             Print JSON.
  --wait             Wait until all known nodes have the revision in force.
  --why=TEXT         Reason, for the history.
  --who=NAME         Operator, for the history; else USER is used.
  --base=N           Revision that the files were made from; else `; base revision N` in a first line says it.
  --change-id=ID     Settle or repeat a change whose outcome is unknown.
  --revision=N       Revision to get.
  --undo             End the drain.
  --count=N          Lines to print.
  -h --help          Show this text.
  --version          Show the version.

`explain` reads the JSON logs of the nodes and shows the path of a request, by its id, to the decision that ended it.

Exit status: 0 done, 1 refused or invalid, 2 wrong usage, 3 node or platform out of reach and nothing changed,
4 conflict with changes of others, 5 outcome unknown, 6 published but not in force everywhere in time.
)";

using arguments = std::map<std::string, docopt::value>;

/** A command that calls a node. */
struct node_command {
    const char* m_name;                                                  ///< As in the usage.
    exit_status (*m_run)(api_client&, const command_options&) = nullptr; ///< Runs it.
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

/** Ends for a wrong command line. */
exit_status refuse_usage(const std::string& text)
{
    std::cerr << "waxwingctl: " << text << "\nnext: see `waxwingctl --help`\n";
    return exit_status::usage;
}

/** Gives the text of the option @p name; empty where it is not given. */
std::string text_of(const arguments& given, const std::string& name)
{
    const auto found = given.find(name);
    return found != given.end() && found->second.isString() ? found->second.asString() : "";
}

bool flag_of(const arguments& given, const std::string& name)
{
    const auto found = given.find(name);
    return found != given.end() && found->second.isBool() && found->second.asBool();
}

/** Reads the number of the option @p name; false where it is none. */
bool take_number(const arguments& given, const std::string& name, std::optional<std::uint64_t>& into)
{
    const std::string text = text_of(given, name);
    if (text.empty()) {
        return true;
    }
    std::uint64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    into = number;
    return read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

/** Reads the first line of the token's file, or the environment. */
std::optional<std::string> load_token(const std::string& file)
{
    if (file.empty()) {
        const char* const token = std::getenv("WAXWING_TOKEN");
        return token == nullptr ? "" : token;
    }
    std::ifstream stream(file);
    std::string token;
    return std::getline(stream, token) ? std::optional(token) : std::nullopt;
}

/** Takes the options from the command line. */
std::optional<command_options> read_options(const arguments& given)
{
    command_options options;
    if (const auto files = given.find("FILE"); files != given.end() && files->second.isStringList()) {
        options.m_files = files->second.asStringList();
    }
    const char* const user = std::getenv("USER");
    options.m_operand = text_of(given, "FINGERPRINT") + text_of(given, "REQUEST");
    options.m_change_id = text_of(given, "--change-id");
    options.m_who = text_of(given, "--who");
    if (options.m_who.empty()) {
        options.m_who = user == nullptr ? "operator" : user;
    }
    options.m_why = text_of(given, "--why");
    options.m_wait = flag_of(given, "--wait");
    options.m_undo = flag_of(given, "--undo");
    options.m_json = flag_of(given, "--json");
    const bool numbers = take_number(given, "--revision", options.m_revision) &&
                         take_number(given, "REVISION", options.m_revision) &&
                         take_number(given, "--base", options.m_base) &&
                         take_number(given, "--count", options.m_count);
    return numbers ? std::optional(options) : std::nullopt;
}

/** Runs the command that is given. */
exit_status run(const arguments& given)
{
    const std::optional<command_options> options = read_options(given);
    if (!options) {
        return refuse_usage("a revision, base or count is a whole number");
    }
    if (flag_of(given, "check")) {
        return run_check(*options);
    }
    if (flag_of(given, "explain")) {
        return run_explain(*options);
    }
    const result<endpoint> address = parse_endpoint(text_of(given, "--node"));
    if (address.has_error()) {
        return refuse_usage("--node: " + address.error().m_text);
    }
    const std::optional<std::string> token = load_token(text_of(given, "--token-file"));
    if (!token) {
        return refuse_usage("--token-file: the file can't be read or is empty");
    }
    api_client node(address.value(), *token);
    for (const node_command& each : node_commands) {
        if (flag_of(given, each.m_name)) {
            return each.m_run(node, *options);
        }
    }
    return refuse_usage("no command is given");
}

} // namespace

int main(int count, char** words)
{
    try {
        const std::vector<std::string> given(words + 1, words + count);
        return static_cast<int>(run(docopt::docopt_parse(usage, given, true, true)));
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
    }
    catch (const docopt::DocoptExitVersion&) {
        std::cout << "waxwingctl " WAXWING_VERSION "\n";
    }
    catch (const nlohmann::json::exception& fault) {
        std::cerr << "waxwingctl: the node's answer has another form: " << fault.what()
                  << "\nnext: use the waxwingctl of the node's version\n";
        return static_cast<int>(exit_status::refused);
    }
    catch (const docopt::DocoptArgumentError& fault) {
        return static_cast<int>(refuse_usage(fault.what()));
    }
    return 0;
}
