/** @file control_task_base.h The control task: membership, configuration and platform storage. */
#ifndef WAXWING_NODE_CONTROL_TASK_BASE_H
#define WAXWING_NODE_CONTROL_TASK_BASE_H

#include "config/config.h"
#include "link/link.h"
#include "member/member.h"
#include "node/confirmation_task_base.h"
#include "node/settings_func.h"
#include "node/task_message_type.h"
#include "storage/storage.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/**
 * Owns the datagram socket, and reads and writes the platform storage. Thread safety: the loop's thread only.
 */
class control_task {
public:
    using handler = std::function<void(control_output&&)>;

    /** @pre @p loop, @p settings and @p platform_storage outlive the task. */
    control_task(event_loop& loop, const node_settings& settings, storage& platform_storage,
                 incarnation own_incarnation, std::uint64_t seed, handler on_output);

    /** Opens the datagram socket and starts to discover other nodes and fetch the configuration. */
    result<void> listen();

    /** Publishes the state of the own target to other nodes. */
    void set_target(const target_changed& changed);

    /** Handles a control message of the topic `configuration`. */
    void on_configuration(const node_id& peer, std::string_view payload);

    /** Handles a control message of the topic `confirmation`. */
    void on_confirmation(const node_id& peer, std::string_view payload)
    {
        m_confirmation.on_message(peer, payload);
    }

    /** Notifies other nodes that this one leaves the fleet. */
    void leave();

    /** Returns the members of the fleet as this node knows them. */
    const membership& members() const { return m_members; }

    /** Returns whether this node has found the fleet since its start. */
    bool has_joined() const { return m_has_joined; }

    /** Returns the revision in force and its set; the set is null while no revision is in force. */
    const revision_in_force& in_force() const { return m_in_force; }

    /** Returns why the newest revision is not in force although this node has got it; none if that is not so.
     */
    std::optional<std::string> refusal() const;

    /** Returns the platform storage, for publications. */
    storage& store() const { return m_storage; }

    /** Returns the counters of the datagrams. */
    const datagram_counters& counters() const { return m_datagrams->counters(); }

    /** Requests the head row at once, for use when it is known to have changed. */
    void read_head();

private:
    void process_actions();
    void apply(member_action&& action);
    void apply(spread_action&& action);
    void apply_registration(const member_register& registration);
    void discover(const std::string& prefix, const std::string& after,
                  std::vector<std::pair<std::string, std::string>> found);
    void on_head(const result<std::optional<table_row>>& row);
    void read_head_to_confirm();
    void fetch(const node_id& peer, revision number);
    void restore(const std::shared_ptr<const spread_restore>& request, std::size_t next_put);
    void end_restore();
    void log_unreadable_revision();
    void on_timer();
    void update_watch();
    void attempt_watch();
    void report_progress();
    void on_platform_result(bool is_working, const std::string& reason);

    event_loop& m_loop;
    const node_settings& m_settings;
    handler m_on_output;
    membership m_members;
    watch_election m_watch_election;
    bool m_is_watching = false; ///< Whether this node watches the head row.
    spread m_spread;
    std::vector<member_action> m_member_actions;
    std::vector<spread_action> m_spread_actions;
    revision_in_force m_in_force;
    storage& m_storage;
    confirmation_task m_confirmation;
    std::unique_ptr<datagram_task> m_datagrams;
    std::optional<instant> m_platform_failing_since;
    bool m_processing_actions = false;
    bool m_has_joined = false;      ///< Whether this node has found the fleet.
    bool m_is_discoverable = false; ///< Whether other nodes can find this one.
    revision m_unreadable; ///< The last revision reported as unreadable, so that each is logged once.
    timer m_timer;
};

} // namespace waxwing

#endif
