/** @file task_message_type.h The messages between the tasks of a node. */
#ifndef WAXWING_NODE_TASK_MESSAGE_TYPE_H
#define WAXWING_NODE_TASK_MESSAGE_TYPE_H

#include "call/call.h"
#include "config/config.h"
#include "link/link.h"
#include "member/member.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/** To the call task: a configuration is in force. */
struct calls_configure {
    std::shared_ptr<const config_set> m_set; ///< The whole set.
    revision m_revision;                     ///< Its number.
};

/** To the call task: adds or updates a target for routing. */
struct calls_put_target {
    route_target m_target; ///< The target.
};

/** To the call task: removes the target of a node from routing. */
struct calls_remove_target {
    node_id m_node; ///< The node.
};

/** To the call task: service and slots of the own target. */
struct calls_set_target {
    service_name m_service;    ///< The service.
    std::uint32_t m_slots = 1; ///< Calls that it can run at once.
    std::string m_instance;    ///< Id of its current incarnation; empty if it has none.
};

/** To the call task: whether the own target accepts calls. */
struct calls_gate {
    bool m_open = false;     ///< Whether it accepts.
    rule m_why = rule::none; ///< Rule that refuses calls while closed.
};

/** To the call task: the target answered a run. */
struct run_answered {
    attempt_id m_attempt; ///< The run.
    answer m_answer;      ///< Status, headers and body.
};

/** To the call task: a run ended without a complete answer. */
struct run_failed {
    attempt_id m_attempt;                                ///< The run.
    target_failure m_failure = target_failure::not_sent; ///< How far the run had progressed.
};

/** To the call task: whether the target accepts connections. */
struct probe_ended {
    bool m_accepts = false; ///< Whether it accepts.
};

/** To the call task: the target's load endpoint suggests a lower limit. */
struct limit_hinted {
    std::uint32_t m_slots = 1; ///< The limit.
};

/** To the call task: the target names how many requests it takes, or no longer does. */
struct target_rate_limited {
    std::optional<double> m_rate; ///< Requests a second; none if it takes any number.
};

/** To the call task: quarantine records from a peer. */
struct quarantine_received {
    std::vector<quarantine_record> m_records; ///< The records.
};

/** To the call task: the revision in force was known to be the newest one at the given time. */
struct calls_confirm {
    boot_instant m_confirmed_at; ///< Never earlier than in the last command.
};

/** To the call task: a message of the topic `quota`. */
struct quota_received {
    node_id m_peer;        ///< The sender.
    std::string m_payload; ///< The message.
};

/** To the call task: whether another node may own quotas. */
struct quota_member_changed {
    node_id m_node;                                   ///< The node.
    quota_presence m_presence = quota_presence::dead; ///< Its state.
};

/** To the call task: this node would know another one if there was any. */
struct quota_fleet_discovered {};

/** To the call task: whether this node is probably cut off from most others. */
struct isolation_changed {
    bool m_isolated = false; ///< Whether it is.
};

/** Commands to the call task. */
using call_command =
    std::variant<calls_configure, calls_put_target, calls_remove_target, calls_set_target, calls_gate,
                 run_answered, run_failed, probe_ended, limit_hinted, target_rate_limited,
                 quarantine_received, quota_received, quota_member_changed, quota_fleet_discovered,
                 isolation_changed, calls_confirm, link_event>;

/** From the call task: send a message to another node. */
struct peer_send {
    node_id m_peer;         ///< The receiver.
    link_message m_message; ///< The message.
};

/** Output of the call task to the node. */
using call_output =
    std::variant<peer_send, runner_run, runner_abort, runner_probe, runner_spread, runner_crash>;

/** From the target task: the target's state changed. */
struct target_changed {
    target_state m_state = target_state::absent; ///< The new one.
    service_name m_service;                      ///< What it serves.
    std::uint32_t m_slots = 1;                   ///< Its slots.
    std::string m_instance;                      ///< Id of its current incarnation; empty if it has none.
};

/** From the target task: an incarnation of the target drains or has left. */
struct target_departed {
    target_departure m_departure; ///< The incarnation.
};

/** Output of the target task to the node. */
using target_output = std::variant<target_changed, target_departed, calls_gate, run_answered, run_failed,
                                   probe_ended, limit_hinted, target_rate_limited>;

/** From the control task: another node has joined, changed or left. */
struct peer_changed {
    member_record m_record; ///< As it is now.
};

/** From the control task: a revision is in force. */
struct revision_in_force {
    revision_info m_info;                    ///< Its number and origin.
    std::shared_ptr<const config_set> m_set; ///< The whole set.
};

/** From the control task: the platform has restored its table from an older copy. */
struct table_restored {};

/** From the control task: the platform's table shows all nodes that could find this one, and this one. */
struct fleet_discovered {};

/** Output of the control task to the node. */
using control_output =
    std::variant<peer_changed, revision_in_force, peer_send, table_restored, calls_confirm, fleet_discovered>;

/** Combines several function objects into one visitor. */
template<class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace waxwing

#endif
