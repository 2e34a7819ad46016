/** @file node_base.h The node: its tasks, and the messages between them. */
#ifndef WAXWING_NODE_NODE_BASE_H
#define WAXWING_NODE_NODE_BASE_H

#include "chart/chart.h"
#include "loop/loop.h"
#include "metrics/metrics.h"
#include "node/call_task_base.h"
#include "node/control_task_base.h"
#include "node/operators_task_base.h"
#include "node/peer_task_base.h"
#include "node/settings_func.h"
#include "node/target_task_base.h"

#include <memory>

namespace waxwing {

/** The state charts that a node interprets. */
struct node_charts {
    chart m_node;   ///< Life of the node.
    chart m_target; ///< Life of its target.
};

/** Reads the charts in the folder @p folder. @return them, or every error with file and line. */
result<node_charts, located_errors> read_charts(const std::string& folder);

/** What a node needs of the place where it runs. */
struct node_environment {
    storage& m_storage;        ///< What must outlive the node is kept there.
    request_dialect m_dialect; ///< Names of header fields.
};

/** Whether a node takes callers. */
struct readiness {
    bool m_ready = false;      ///< Whether it does.
    std::string_view m_reason; ///< Why, or why not.
};

/**
 * One node. Thread safety: for the loop's thread only.
 */
class node {
public:
    /** @param own_incarnation must be higher than that of any earlier process of this name.
     * @pre @p loop and @p environment outlive the node. */
    node(event_loop& loop, node_settings settings, const node_environment& environment, node_charts charts,
         incarnation own_incarnation, std::uint64_t seed);

    /** Opens all sockets. @return why the node can't start. */
    result<void> start();

    /** Takes in what the target beside the node says of itself. */
    void announce(const target_announcement& said) { m_target.announce(said); }

    /** Takes changed settings into force as far as a running node can. */
    settings_change apply(const node_settings& wanted);

    /** Tells whether callers may be sent here, and why not. */
    readiness ready() const;

    /** Begins the planned stop; the loop ends when all in progress has finished, or at the bound. */
    void stop();

private:
    void on_call_output(call_output&& output);
    void on_target_output(target_output&& output);
    void on_control_output(control_output&& output);
    void on_link_event(link_event&& event);
    void on_control_message(const node_id& peer, const control_message& message);
    void on_peer_changed(const member_record& record);
    void on_revision(const revision_in_force& taken);
    void greet(const member_record& record);
    void update_routes(const service_name& service);
    void update_routes_to(const node_id& changed, const service_name& serves);
    void put_own_target(const target_changed& changed);
    void spread_suspects(const std::string& payload);
    void raise(std::string_view event_name);
    void act(const std::string& action);
    void check_drained();
    void check_overload();

    event_loop& m_loop;
    node_settings m_settings;
    node_charts m_charts;
    state_machine m_state_machine;
    metrics m_metrics;
    call_task m_calls;
    target_task m_target;
    control_task m_control;
    peer_task m_peers;
    operators_task m_operators;
    std::unordered_map<service_name, std::vector<node_id>> m_routes; ///< Targets that the entry may choose.
    std::unordered_map<node_id, incarnation> m_incarnations; ///< The life of each member that was last seen.
    target_changed m_own_target;
    instant m_stop_began{};
    instant m_started{};
    std::optional<instant> m_overload_since;
    timer m_drain_timer;
    timer m_refuse_timer;
    timer m_exit_timer;
    timer m_overload_timer;
};

} // namespace waxwing

#endif
