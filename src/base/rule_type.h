/** @file rule_type.h What became of a request, and the rules by which one is refused. Compiles as C++17. */
#ifndef WAXWING_BASE_RULE_TYPE_H
#define WAXWING_BASE_RULE_TYPE_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace waxwing {

/** What a caller is told about its request. */
enum class run_state {
    not_run, ///< No target was given any part of the request, or the target's refusal says so.
    ran,     ///< A target answered the request.
    unknown  ///< The request may have run.
};

/** Looks up the name of @p state, as in the header `Waxwing-Outcome`. */
std::string_view to_string(run_state state);

/** Looks up the state that is called @p name. */
std::optional<run_state> run_state_of(std::string_view name);

/** The rule by which a request was answered other than by a target's answer. */
enum class rule {
    none,                 ///< A target answered.
    unknown_service,      ///< The configuration has no such service.
    missing_kind,         ///< No request kind matches.
    body_too_large,       ///< The body exceeds the limit.
    bad_header,           ///< A header of ours can't be read.
    bad_request,          ///< The request can't be read.
    loop,                 ///< The call chain is deeper than allowed.
    deadline_expired,     ///< The deadline passed, or can't be met.
    no_target,            ///< No target of the service may take work.
    overloaded,           ///< The target's node has no room; another target may.
    shed,                 ///< The importance is below the threshold; do not retry.
    queue_timeout,        ///< The request waited longer than allowed.
    caller_share,         ///< The caller is above its share.
    draining,             ///< The target is leaving.
    quarantined,          ///< The request has crashed targets.
    suspect_waiting,      ///< The request is suspected of crashing targets and can't run alone now.
    link_lost,            ///< The link to the target's node was lost.
    target_unreachable,   ///< The target accepted no connection; nothing was sent.
    target_lost,          ///< The connection to the target was lost after the request was sent.
    target_crashed,       ///< The target died while it ran the request.
    target_refused,       ///< The target itself shed the request before running it.
    cancelled,            ///< The caller went away.
    too_many_connections, ///< The callers' connections are at their limit.
    not_ready,            ///< The node has no configuration in force yet.
    unauthorised,         ///< The operator's token is missing or wrong.
    not_found,            ///< The operators' path does not exist.
    conflict,             ///< Another operator's change came first.
    internal              ///< A fault of the node.
};

/** What a rule means to callers. */
struct rule_info {
    std::string_view m_name;  ///< The name in the problem body.
    std::uint16_t m_status;   ///< The HTTP status.
    bool m_retry_elsewhere;   ///< Whether the hop above may try another target.
    bool m_retry_later;       ///< Whether Retry-After is sent.
    std::string_view m_title; ///< A sentence for people.
};

/** Looks up what @p value means. */
const rule_info& info_of(rule value);

/** Looks up the rule that is called @p name. */
std::optional<rule> rule_of(std::string_view name);

} // namespace waxwing

#endif
