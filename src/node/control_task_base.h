/** @file control_task_base.h The task of the control side: membership, configuration, and the platform. */
#ifndef WAXWING_NODE_CONTROL_TASK_BASE_H
#define WAXWING_NODE_CONTROL_TASK_BASE_H

#include "config/config.h"
#include "link/link.h"
#include "member/member.h"
#include "node/settings_func.h"
#include "node/task_message_type.h"
#include "storage/storage.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/**
 * Owns the datagram socket and reads and writes the store. Thread safety: for the loop's thread only.
 */
class control_task {
public:
    using handler = std::function<void(control_output&&)>;

    /** @pre @p loop, @p settings and @p kept outlive the task. */
    control_task(event_loop& loop, const node_settings& settings, storage& kept, incarnation own_incarnation,
                 std::uint64_t seed, handler on_output);

    /** Opens the datagram socket and starts to look for other nodes and the configuration. */
    result<void> listen();

    /** Tells other nodes of the own target. */
    void set_target(const target_changed& changed);

    /** Takes in a control message of the topic `configuration`. */
    void on_configuration(const node_id& peer, std::string_view payload);

    /** Tells other nodes that this one leaves. */
    void leave();

    /** Gives the view of the fleet. */
    const membership& members() const { return m_members; }

    /** Gives the revision in force and its set; the set is null where none is. */
    const revision_in_force& in_force() const { return m_in_force; }

    /** Gives the store, for publications. */
    storage& store() { return m_storage; }

    /** Gives the counters of the datagrams. */
    const datagram_counters& counters() const { return m_datagrams->counters(); }

    /** Reads the head row soon, since it is known to have moved. */
    void look_for_revision();

private:
    void settle();
    void apply(member_action&& action);
    void apply(spread_action&& action);
    void apply_registration(const member_register& wanted);
    void discover(const std::string& prefix, const std::string& after,
                  std::vector<std::pair<std::string, std::string>> found);
    void on_head(const result<std::optional<table_row>>& row);
    void note_unreadable();
    void on_time();
    void note_platform(bool works, const std::string& reason);

    event_loop& m_loop;
    const node_settings& m_settings;
    handler m_on_output;
    membership m_members;
    spread m_spread;
    std::vector<member_action> m_member_actions;
    std::vector<spread_action> m_spread_actions;
    revision_in_force m_in_force;
    storage& m_storage;
    std::unique_ptr<datagram_task> m_datagrams;
    std::optional<instant> m_platform_failing_since;
    bool m_settling = false;
    revision m_unreadable; ///< The revision that was last found unreadable.
    timer m_timer;
};

} // namespace waxwing

#endif
