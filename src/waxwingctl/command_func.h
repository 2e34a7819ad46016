/** @file command_func.h The commands of waxwingctl. */
#ifndef WAXWING_WAXWINGCTL_COMMAND_FUNC_H
#define WAXWING_WAXWINGCTL_COMMAND_FUNC_H

#include "config/config.h"
#include "waxwingctl/api_client_base.h"

#include <map>

namespace waxwing {

/** Exit status of waxwingctl; the help text documents the same values. */
enum class exit_status {
    done = 0,          ///< Success.
    refused = 1,       ///< The node refused the request, or the files have errors.
    usage = 2,         ///< The command line is wrong.
    unreachable = 3,   ///< The node or the platform could not be reached; nothing was changed.
    conflict = 4,      ///< Another change to the same objects came first.
    unknown = 5,       ///< The outcome is unknown; the change may have been published.
    not_everywhere = 6 ///< Published, but not in force at all nodes before the wait timed out.
};

/** Options and operands of the command line. */
struct command_options {
    std::vector<std::string> m_files; ///< Configuration files, or logs for `explain`.
    std::string m_operand; ///< `FINGERPRINT` of `release`, `REQUEST` of `explain` or `SALT` of `hash-key`.
    std::optional<std::uint64_t> m_revision; ///< `--revision`, or `REVISION` of `rollback`.
    std::optional<std::uint64_t> m_base;     ///< `--base`.
    std::optional<std::uint64_t> m_count;    ///< `--count`.
    std::string m_change_id;                 ///< `--change-id`; empty to generate one.
    std::string m_who;                       ///< `--who`, else the environment variable `USER`.
    std::string m_why;                       ///< `--why`.
    bool m_wait = false;                     ///< `--wait`.
    bool m_undo = false;                     ///< `--undo`.
    bool m_json = false;                     ///< `--json`.
};

/** Checks configuration files without contacting a node. */
exit_status run_check(const command_options& options);
/** Prints the hash of a key read from the standard input, without contacting a node. */
exit_status run_hash_key(const command_options& options);
/** Traces a request through log files without contacting a node. */
exit_status run_explain(const command_options& options);
/** Prints the difference between the newest revision and the files. */
exit_status run_diff(api_client& node, const command_options& options);
/** Publishes the files as a new revision. */
exit_status run_apply(api_client& node, const command_options& options);
/** Prints a revision in the format that `apply` reads. */
exit_status run_get(api_client& node, const command_options& options);
/** Lists the accepted revisions. */
exit_status run_history(api_client& node, const command_options& options);
/** Publishes the configuration set of an older revision as a new revision. */
exit_status run_rollback(api_client& node, const command_options& options);
/** Prints the state of the node and of the members that it knows. */
exit_status run_status(api_client& node, const command_options& options);
/** Drains the target of the node, or ends the drain with `--undo`. */
exit_status run_drain(api_client& node, const command_options& options);
/** Releases a request from quarantine. */
exit_status run_release(api_client& node, const command_options& options);
/** Prints the load of the node once a second. */
exit_status run_top(api_client& node, const command_options& options);

/** Returns the string at @p key of @p content; empty if it is missing or not a string. */
std::string string_value(const nlohmann::json& content, const char* key);

/**
 * Prints why @p answer is a failure and what the operator can do next.
 * @return the exit status for this failure.
 */
exit_status report_failure(const result<api_answer>& answer, const command_options& options);

/** Checks whether @p answer has status 200 and a JSON body. */
bool is_success(const result<api_answer>& answer);

} // namespace waxwing

#endif
