/** @file node_base.h The node: its tasks, and the messages between them. */
#ifndef WAXWING_NODE_NODE_BASE_H
#define WAXWING_NODE_NODE_BASE_H

#include "chart/chart.h"
#include "loop/loop.h"
#include "metrics/metrics.h"
#include "node/announcement_task_base.h"
#include "node/call_task_base.h"
#include "node/control_task_base.h"
#include "node/departure_keeper_base.h"
#include "node/operators_task_base.h"
#include "node/peer_task_base.h"
#include "node/settings_func.h"
#include "node/target_task_base.h"

#include <memory>

namespace waxwing {

/** The state charts that a node runs. */
struct node_charts {
    chart m_node;   ///< States of the node.
    chart m_target; ///< States of its target.
};

/** Reads the charts in the folder @p folder. @return them, or all errors with file and line. */
result<node_charts, located_errors> read_charts(const std::string& folder);

/** Dependencies of a node on its environment. */
struct node_environment {
    storage& m_storage;        ///< Platform storage for state that outlives the node.
    request_dialect m_dialect; ///< Names of HTTP headers.
};

/** Whether a node accepts callers. */
struct readiness {
    bool m_ready = false;      ///< Whether it accepts callers.
    std::string_view m_reason; ///< Reason for either state.
};

/**
 * One node. Thread safety: the loop's thread only.
 */
class node {
public:
    /** @param own_incarnation must be higher than that of any earlier process of this name.
     * @pre @p loop and @p environment outlive the node. */
    node(event_loop& loop, node_settings settings, const node_environment& environment, node_charts charts,
         incarnation own_incarnation, std::uint64_t seed);

    /** Opens all sockets. @return the error that prevents the start. */
    result<void> start();

    /** Handles an announcement of the target beside the node. @param acknowledge is called once it binds. */
    void announce(const target_announcement& announcement, announcement_task::acknowledgement acknowledge)
    {
        m_announcements.announce(announcement, std::move(acknowledge));
    }

    /** Returns whether announcements of the target are used as they come. */
    bool trusts_target() const { return m_announcements.trusts_target(); }

    /** Applies the changed settings that do not need a restart. */
    settings_change apply(const node_settings& new_settings);

    /** Returns whether callers may be sent to this node, with the reason. */
    readiness ready() const;

    /** Begins the planned stop; the loop ends when no work is in progress, or at the stop timeout. */
    void stop();

private:
    static constexpr duration overload_interval = std::chrono::seconds(1); ///< Between checks for overload.

    void on_call_output(call_output&& output);
    void on_target_output(target_output&& output);
    void on_control_output(control_output&& output);
    void on_link_event(link_event&& event);
    void on_control_message(const node_id& peer, const control_message& message);
    void on_peer_changed(const member_record& record);
    void on_revision(const revision_in_force& configuration);
    void send_quarantine_snapshot(const member_record& record);
    void update_routes(const service_name& service);
    void update_routes_to(const node_id& target_node, const service_name& current_service);
    void on_target_changed(const target_changed& changed);
    void broadcast_quarantine(const std::string& payload);
    void on_departure_message(const node_id& peer, const std::string& payload);
    void send_departure(const node_id& peer, const departure_message& message);
    std::vector<node_id> departure_keepers(std::size_t count) const;
    std::optional<keeper_memory> memory_for(const node_id& peer) const;
    void raise(std::string_view event_name);
    void execute_action(const std::string& action);
    void check_drained();
    void check_overload();
    void check_isolation();

    event_loop& m_loop;
    node_settings m_settings;
    node_charts m_charts;
    state_machine m_state_machine;
    metrics m_metrics;
    std::shared_ptr<memory_budget> m_budget; ///< For the bodies and buffers of all tasks.
    call_task m_calls;
    target_task m_target;
    announcement_task m_announcements;
    departure_keeper m_departure_keeper;
    control_task m_control;
    peer_task m_peers;
    operators_task m_operators;
    std::unordered_map<service_name, std::vector<node_id>>
        m_routes; ///< Nodes with targets that the entry may choose, by service.
    std::unordered_map<node_id, incarnation> m_incarnations; ///< Last known incarnation of each member.
    target_changed m_own_target;
    instant m_started_at;
    instant m_stop_began_at{};
    bool m_isolated = false; ///< As the call task knows it.
    std::optional<instant> m_overload_since;
    timer m_drain_timer;
    timer m_refuse_timer;
    timer m_exit_timer;
    timer m_overload_timer;
};

} // namespace waxwing

#endif
