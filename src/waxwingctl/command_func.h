/** @file command_func.h The commands of waxwingctl. */
#ifndef WAXWING_WAXWINGCTL_COMMAND_FUNC_H
#define WAXWING_WAXWINGCTL_COMMAND_FUNC_H

#include "config/config.h"
#include "waxwingctl/api_client_base.h"

#include <map>

namespace waxwing {

/** Exit status of waxwingctl. */
enum class exit_status {
    done = 0,          ///< Done.
    refused = 1,       ///< The node refused it, or the files have errors.
    usage = 2,         ///< The command line is wrong.
    unreachable = 3,   ///< The node or the platform could not be reached; nothing was changed.
    conflict = 4,      ///< Others changed the same objects.
    unknown = 5,       ///< It may have been published.
    not_everywhere = 6 ///< Published, but not in force everywhere in time.
};

/** What the command line says. */
struct command_options {
    std::vector<std::string> m_files;        ///< Files of a set.
    std::string m_operand;                   ///< The fingerprint or the request's id.
    std::optional<std::uint64_t> m_revision; ///< `--revision`.
    std::optional<std::uint64_t> m_base;     ///< `--base`.
    std::optional<std::uint64_t> m_count;    ///< `--count`.
    std::string m_change_id;                 ///< `--change-id`; empty for a new one.
    std::string m_who;                       ///< The operator.
    std::string m_why;                       ///< `--why`.
    bool m_wait = false;                     ///< `--wait`.
    bool m_undo = false;                     ///< `--undo`.
    bool m_json = false;                     ///< `--json`.
};

/** Checks the files; needs no node. */
exit_status run_check(const command_options& options);
/** Shows the path of a request through the logs in the files; needs no node. */
exit_status run_explain(const command_options& options);
/** Shows what the files would change. */
exit_status run_diff(api_client& node, const command_options& options);
/** Publishes the files. */
exit_status run_apply(api_client& node, const command_options& options);
/** Writes a revision as a file that apply takes. */
exit_status run_get(api_client& node, const command_options& options);
/** Lists the accepted revisions. */
exit_status run_history(api_client& node, const command_options& options);
/** Publishes the set of an old revision again. */
exit_status run_rollback(api_client& node, const command_options& options);
/** Shows the state of the node and its fleet. */
exit_status run_status(api_client& node, const command_options& options);
/** Drains the target of the node, or ends that. */
exit_status run_drain(api_client& node, const command_options& options);
/** Lets a quarantined request run again. */
exit_status run_release(api_client& node, const command_options& options);
/** Shows the load of the node each second. */
exit_status run_top(api_client& node, const command_options& options);

/** Gives the text @p key of @p content; empty where there is none. */
std::string text_in(const nlohmann::json& content, const char* key);

/** Tells the operator why @p answer is no success and what to do next. */
exit_status explain(const result<api_answer>& answer, const command_options& options);

/** Tells whether @p answer is a success. */
bool is_success(const result<api_answer>& answer);

} // namespace waxwing

#endif
