/** @file confirmation_task_base.h The part of the control task that keeps the configuration confirmed. */
#ifndef WAXWING_NODE_CONFIRMATION_TASK_BASE_H
#define WAXWING_NODE_CONFIRMATION_TASK_BASE_H

#include "config/config.h"
#include "loop/loop.h"
#include "node/settings_func.h"
#include "node/task_message_type.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace waxwing {

/** Connects a confirmation_task to the control task. */
struct confirmation_handlers {
    std::function<void(control_output&&)> m_on_output;     ///< Takes messages and confirmations.
    std::function<confirmation_peers()> m_find_peers;      ///< Returns the nodes that watch the head row.
    std::function<void()> m_read_head;                     ///< Reads the head row.
    std::function<void(const node_id&, revision)> m_fetch; ///< Fetches a revision from a peer.
};

/**
 * Runs a confirmation by the clock of the machine, where the settings say that the deployment fails closed.
 * Otherwise all calls do nothing. Thread safety: the loop's thread only.
 */
class confirmation_task {
public:
    /** @pre @p loop and @p settings outlive the task. */
    confirmation_task(event_loop& loop, const node_settings& settings, std::uint64_t seed,
                      confirmation_handlers handlers);

    /** Handles a control message of the topic `confirmation`. Safe on untrusted input. */
    void on_message(const node_id& peer, std::string_view payload);

    /** Records that the head row was read; see confirmation::on_head. */
    void on_head(row_version version, revision number);

    /** Records what the store has shown; see confirmation::on_store. */
    void on_store(row_version version, boot_instant sent_at);

    /** Records whether this node watches the head row. */
    void set_watching(bool is_watching);

    /** Records that this node has found the fleet. */
    void set_joined();

    /** Records that a peer has @p number in force. */
    void on_peer_revision(revision number);

    /** Records the revision in force. @pre the call task has been told of it. */
    void set_in_force(const revision_in_force& configuration);

private:
    void advance();
    void report();

    const node_settings& m_settings;
    confirmation_handlers m_handlers;
    confirmation m_confirmation;
    std::vector<confirmation_action> m_actions;
    revision m_in_force;
    std::optional<boot_instant> m_reported_at; ///< Confirmation that the call task was told of last.
    std::optional<boot_instant> m_refusing_since;
    timer m_timer;
};

} // namespace waxwing

#endif
