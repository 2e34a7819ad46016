/** @file task_message_type.h The messages between the tasks of a node. */
#ifndef WAXWING_NODE_TASK_MESSAGE_TYPE_H
#define WAXWING_NODE_TASK_MESSAGE_TYPE_H

#include "call/call.h"
#include "config/config.h"
#include "link/link.h"
#include "member/member.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/** To the call task: a configuration is in force. */
struct calls_configure {
    std::shared_ptr<const config_set> m_set; ///< The whole set.
    revision m_revision;                     ///< Its number.
};

/** To the call task: a target may be chosen. */
struct calls_put_target {
    route_target m_target; ///< Which.
};

/** To the call task: the target beside a node takes no work. */
struct calls_remove_target {
    node_id m_node; ///< Which.
};

/** To the call task: what the own target serves, and its size. */
struct calls_set_target {
    service_name m_service;    ///< The service.
    std::uint32_t m_slots = 1; ///< Calls that it can run at once.
    std::string m_instance;    ///< Id of its present life; empty is none.
};

/** To the call task: whether the own target takes work. */
struct calls_gate {
    bool m_open = false;     ///< Whether it does.
    rule m_why = rule::none; ///< Why not.
};

/** To the call task: the target answered a run. */
struct run_answered {
    attempt_id m_attempt; ///< Which run.
    answer m_answer;      ///< Status, headers and body.
};

/** To the call task: a run got no whole answer. */
struct run_failed {
    attempt_id m_attempt;                                ///< Which run.
    target_failure m_failure = target_failure::not_sent; ///< How far it went.
};

/** To the call task: whether the target accepts connections. */
struct probe_ended {
    bool m_accepts = false; ///< Whether it does.
};

/** To the call task: the target's load endpoint hints at a lower limit. */
struct limit_hinted {
    std::uint32_t m_slots = 1; ///< The limit.
};

/** To the call task: a peer tells of requests that crash targets. */
struct suspects_heard {
    std::vector<quarantine_record> m_records; ///< What it tells.
};

/** What the call task takes. */
using call_command =
    std::variant<calls_configure, calls_put_target, calls_remove_target, calls_set_target, calls_gate,
                 run_answered, run_failed, probe_ended, limit_hinted, suspects_heard, link_event>;

/** From the call task: send a message to another node. */
struct peer_send {
    node_id m_peer;         ///< Which.
    link_message m_message; ///< What.
};

/** What the call task tells the node. */
using call_output =
    std::variant<peer_send, runner_run, runner_abort, runner_probe, runner_spread, runner_crash>;

/** From the target task: the target's state changed. */
struct target_changed {
    target_state m_state = target_state::absent; ///< The new one.
    service_name m_service;                      ///< What it serves.
    std::uint32_t m_slots = 1;                   ///< Its slots.
    std::string m_instance;                      ///< Id of its present life; empty is none.
};

/** What the target task tells the node. */
using target_output =
    std::variant<target_changed, calls_gate, run_answered, run_failed, probe_ended, limit_hinted>;

/** From the control task: another node is new, has changed, or is gone. */
struct peer_changed {
    member_record m_record; ///< As it is now.
};

/** From the control task: a revision is in force. */
struct revision_in_force {
    revision_info m_info;                    ///< Its number and origin.
    std::shared_ptr<const config_set> m_set; ///< The whole set.
};

/** What the control task tells the node. */
using control_output = std::variant<peer_changed, revision_in_force, peer_send>;

/** Makes one visitor of several functions. */
template<class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace waxwing

#endif
