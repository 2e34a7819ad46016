/** @file call_action_type.h Actions that an entry or a runner requests from its owner. */
#ifndef WAXWING_CALL_CALL_ACTION_TYPE_H
#define WAXWING_CALL_CALL_ACTION_TYPE_H

#include "base/base.h"
#include "policy/policy.h"

#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/** How much of the overload control is active; all modes but `full` are baselines for measurements. */
enum class control_mode {
    full,        ///< All overload control.
    fixed_slots, ///< Concurrency limit fixed at the target's slots, and up to three retries at each hop.
    none         ///< No limit and no queue: each call is forwarded immediately, without retries.
};

/** Names of the control modes. */
inline constexpr name_table<3> control_mode_names{"full", "fixed-slots", "none"};

/** Sends the attempt to a node, which may be this one. */
struct entry_send {
    node_id m_node;       ///< Node beside the chosen target.
    attempt_id m_attempt; ///< Identifies the attempt in its answer.
    call m_call;          ///< Call to run.
};

/** Tells a node that no caller waits for the attempt any longer. */
struct entry_cancel {
    node_id m_node;       ///< Node that the attempt was sent to.
    attempt_id m_attempt; ///< Attempt to cancel.
};

/** Answers the caller. */
struct entry_reply {
    exchange_id m_exchange;             ///< The caller's exchange.
    kind_name m_kind;                   ///< Request kind; empty if none matched.
    answer m_answer;                    ///< Answer to send.
    duration m_took{};                  ///< Time since the request arrived.
    bool m_root = false;                ///< Whether an outside caller sent the request.
    std::string m_request_id;           ///< Request id; empty if there is none.
    service_name m_service;             ///< Called service.
    node_id m_node;                     ///< Node of the last attempt; empty if nothing was sent.
    unsigned m_attempts = 0;            ///< Number of attempts sent.
    std::uint8_t m_depth = 0;           ///< Depth in the call graph; 0 for the call of an outside caller.
    organisation_name m_organisation{}; ///< Whose key the request carried; empty if there was none.
};

/** Asks the quota for a token; the decision goes to entry::on_quota. */
struct entry_take_token {
    std::uint64_t m_waiter = 0;       ///< Identifies the request.
    organisation_name m_organisation; ///< Whose token it has to spend.
};

/** Returns the token of a request that has not run and will not. */
struct entry_return_token {
    organisation_name m_organisation; ///< Whose token it is.
    boot_instant m_expires_at{};      ///< When it expires.
};

/** Any action requested by an entry. */
using entry_action =
    std::variant<entry_send, entry_cancel, entry_reply, entry_take_token, entry_return_token>;

/** Sends the call to the target. */
struct runner_run {
    attempt_id m_attempt;   ///< Identifies the run when it ends.
    call m_call;            ///< Call to send; its headers are complete except for framing.
    duration m_time_left{}; ///< Maximum time until the answer.
};

/** Aborts the call at the target. */
struct runner_abort {
    attempt_id m_attempt; ///< Attempt to abort.
};

/** Sends the answer to the entry that sent the call. */
struct runner_answer {
    node_id m_node;           ///< Node of the entry, which may be this one.
    attempt_id m_attempt;     ///< Answered attempt.
    answer m_answer;          ///< Outcome of the attempt.
    std::string m_request_id; ///< Request id of the call; empty if there is none.
    kind_name m_kind;         ///< Request kind of the call.
    priority m_priority;      ///< Priority of the call.
    duration m_waited{}; ///< From the arrival to the start of the run, or to the end if the call did not run.
    duration m_took{};   ///< From the arrival to the end.
};

/** Probes whether the target still accepts connections; the result goes to runner::on_probe. */
struct runner_probe {};

/** Change of a quarantine record, for the log. */
struct suspicion_change {
    std::string m_fingerprint;               ///< Salted name of the request.
    suspicion m_suspicion = suspicion::none; ///< Its new state.
};

/** Broadcasts quarantine records of requests that crash targets to all nodes. */
struct runner_spread {
    std::string m_payload;                   ///< Payload of the control message.
    std::vector<suspicion_change> m_changes; ///< The changes that this node made.
};

/** Reports that the target crashed while requests were in progress. */
struct runner_crash {
    std::size_t m_running = 0; ///< Number of distinct requests that were in progress.
};

/** Any action requested by a runner. */
using runner_action =
    std::variant<runner_run, runner_abort, runner_answer, runner_probe, runner_spread, runner_crash>;

} // namespace waxwing

#endif
