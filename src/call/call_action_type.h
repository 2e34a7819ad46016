/** @file call_action_type.h What an entry and a runner ask their owner to do. */
#ifndef WAXWING_CALL_CALL_ACTION_TYPE_H
#define WAXWING_CALL_CALL_ACTION_TYPE_H

#include "base/base.h"

#include <variant>

namespace waxwing {

/** How much of the control is in force; all but `full` are baselines for measurements. */
enum class control_mode {
    full,        ///< All decisions.
    fixed_slots, ///< The target's slots as a fixed limit, and three retries at each hop.
    none         ///< Everything is sent on at once.
};

/** Names of the control modes. */
inline constexpr name_table<3> control_mode_names{"full", "fixed-slots", "none"};

/** Send the attempt to a node, which may be this one. */
struct entry_send {
    node_id m_node;       ///< Beside the chosen target.
    attempt_id m_attempt; ///< Names the attempt in its answer.
    call m_call;          ///< What to run.
};

/** Tell a node that nobody waits for the attempt any more. */
struct entry_cancel {
    node_id m_node;       ///< Where it was sent.
    attempt_id m_attempt; ///< Which.
};

/** Answer the caller. */
struct entry_reply {
    exchange_id m_exchange;   ///< The caller's exchange.
    kind_name m_kind;         ///< Empty where none was found.
    answer m_answer;          ///< What to tell it.
    duration m_took{};        ///< Since its arrival.
    bool m_root = false;      ///< Whether an outside caller sent it.
    std::string m_request_id; ///< Its id; empty where it has none.
    service_name m_service;   ///< What it called.
    node_id m_node;           ///< Where the last attempt went; empty where none was made.
    unsigned m_attempts = 0;  ///< Attempts sent.
    std::uint8_t m_depth = 0; ///< Zero for the call of an outside caller.
};

/** What an entry asks for. */
using entry_action = std::variant<entry_send, entry_cancel, entry_reply>;

/** Send the call to the target. */
struct runner_run {
    attempt_id m_attempt;   ///< Names it in the end.
    call m_call;            ///< What to send; its headers are complete but for framing.
    duration m_time_left{}; ///< Longest time until the answer.
};

/** Give up the call at the target. */
struct runner_abort {
    attempt_id m_attempt; ///< Which.
};

/** Send the answer to the entry that asked. */
struct runner_answer {
    node_id m_node;           ///< The entry's node, which may be this one.
    attempt_id m_attempt;     ///< Which.
    answer m_answer;          ///< What became of it.
    std::string m_request_id; ///< Of the call; empty where it has none.
    kind_name m_kind;         ///< Of the call.
    priority m_priority;      ///< Of the call.
    duration m_waited{};      ///< From its arrival to its run, or to its end where it did not run.
    duration m_took{};        ///< From its arrival to its end.
};

/** Find out whether the target still accepts connections, and call runner::on_probe. */
struct runner_probe {};

/** Tell all nodes what is known of requests that crash targets. */
struct runner_spread {
    std::string m_payload; ///< A control message's.
};

/** The target died with requests in progress. */
struct runner_crash {
    std::size_t m_running = 0; ///< How many.
};

/** What a runner asks for. */
using runner_action =
    std::variant<runner_run, runner_abort, runner_answer, runner_probe, runner_spread, runner_crash>;

} // namespace waxwing

#endif
