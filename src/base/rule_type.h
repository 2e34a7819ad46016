/** @file rule_type.h The outcome of a request and the rules that refuse or fail one. Compiles as C++17. */
#ifndef WAXWING_BASE_RULE_TYPE_H
#define WAXWING_BASE_RULE_TYPE_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace waxwing {

/** Whether a request ran, as reported to its caller. */
enum class run_state {
    not_run, ///< No part of it was sent to a target, or the target's refusal says that it did not run.
    ran,     ///< A target answered the request.
    unknown  ///< The request may have run.
};

/** Returns the name of @p state, as sent in the header `Waxwing-Outcome`. */
std::string_view to_string(run_state state);

/** Returns the state named @p name; none if there is no such state. */
std::optional<run_state> run_state_of(std::string_view name);

/** The rule by which waxwinghub answered a request in place of a target. */
enum class rule {
    none,                 ///< A target answered.
    unknown_service,      ///< The configuration has no service of this name.
    missing_kind,         ///< No request kind of the service matches.
    body_too_large,       ///< The body exceeds the limit.
    bad_header,           ///< A header that waxwinghub defines can't be parsed.
    bad_request,          ///< The request can't be parsed.
    loop,                 ///< The call chain is deeper than allowed.
    deadline_expired,     ///< The deadline has passed or can't be met.
    no_target,            ///< No target of the service can accept work.
    overloaded,           ///< The target's node has no free capacity; another target may have.
    shed,                 ///< The priority is below the threshold; must not be retried.
    queue_timeout,        ///< The request was queued for longer than allowed.
    caller_share,         ///< The caller exceeds its fair share.
    draining,             ///< The target is being drained.
    quarantined,          ///< The request has crashed targets and is refused.
    suspect_waiting,      ///< The request is suspected of crashing targets and can't run alone now.
    link_lost,            ///< The link to the target's node was lost.
    target_unreachable,   ///< The target accepted no connection; nothing was sent.
    target_lost,          ///< The connection to the target was lost after the request was sent.
    target_crashed,       ///< The target died while it ran the request.
    target_refused,       ///< The target itself shed the request before running it.
    cancelled,            ///< The caller no longer waits for the answer.
    too_many_connections, ///< The number of caller connections is at its limit.
    not_ready,            ///< The node has no configuration in force yet.
    unauthorised,         ///< The operator's token is missing or wrong.
    unknown_key,          ///< The request has no key, or one that no organisation holds.
    keys_unconfirmed, ///< The configuration is not known to be current, so that keys may have been withdrawn.
    unknown_parent,   ///< A sub-call without a key whose parent call is not known.
    quota_exceeded,   ///< The organisation is above its quota.
    quota_unavailable, ///< No owner of the organisation's quota answers.
    out_of_memory,     ///< The node holds too many bytes to take the request.
    not_found,         ///< The path of the operators' interface does not exist.
    conflict,          ///< Another operator's change was committed first.
    internal           ///< An internal fault of the node.
};

/** How a rule is reported to callers. */
struct rule_info {
    std::string_view m_name;  ///< The name in the problem details.
    std::uint16_t m_status;   ///< The HTTP status.
    bool m_retry_elsewhere;   ///< Whether the hop above may try another target.
    bool m_retry_later;       ///< Whether Retry-After is sent.
    std::string_view m_title; ///< A sentence for human readers.
};

/** Returns how @p value is reported to callers. */
const rule_info& info_of(rule value);

/** Returns the rule named @p name; none if there is no such rule. */
std::optional<rule> rule_of(std::string_view name);

} // namespace waxwing

#endif
