/** @file peer_task_base.h The task that opens links to other nodes when they are needed. */
#ifndef WAXWING_NODE_PEER_TASK_BASE_H
#define WAXWING_NODE_PEER_TASK_BASE_H

#include "link/link.h"
#include "node/settings_func.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace waxwing {

/**
 * Keeps links only to the nodes in use: the first message opens the link and waits for it, and a link
 * that has been idle for five minutes is closed. Thread safety: the loop's thread only.
 */
class peer_task {
public:
    using handler = std::function<void(link_event&&)>;

    /** @pre @p loop outlives the task. @p on_event receives each link event. */
    peer_task(event_loop& loop, handler on_event);

    /** Counts the messages by @p budget. @pre Before listen(). */
    void set_budget(std::shared_ptr<memory_budget> budget) { m_budget = std::move(budget); }

    /** Opens the listener for links. */
    result<void> listen(const node_settings& settings, std::uint64_t seed);

    /** Records the address where @p peer listens. */
    void put(const node_id& peer, const endpoint& address);

    /** Removes @p peer, which is dead or has left. */
    void remove(const node_id& peer);

    /** Sends @p message; a message that cannot be sent is returned as link_undelivered. */
    void send(const node_id& peer, link_message message);

    /** Returns the counters of the links. */
    const link_counters& counters() const { return m_links->counters(); }

private:
    /** State of one peer. */
    struct peer {
        endpoint m_address;                 ///< Where it listens; the port is zero while unknown.
        bool m_has_link = false;            ///< Whether a link is open or being opened.
        instant m_used_at{};                ///< When a message was last sent or queued.
        instant m_waiting_since{};          ///< When the oldest waiting message was queued.
        std::deque<link_message> m_waiting; ///< Messages waiting for the link.
    };

    void on_link(link_event&& event);
    void flush(const node_id& name, peer& state);
    void return_waiting(const node_id& name, peer& state);
    void on_timer();

    std::shared_ptr<memory_budget> m_budget; ///< Null if nothing is counted.
    event_loop& m_loop;
    handler m_on_event;
    mailbox<link_event> m_undelivered; ///< Messages that were never passed to a link.
    std::unique_ptr<link_task> m_links;
    std::unordered_map<node_id, peer> m_peers;
    timer m_timer;
};

} // namespace waxwing

#endif
