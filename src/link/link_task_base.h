/** @file link_task_base.h Implementation of link_task. C++17. */
#ifndef WAXWING_LINK_LINK_TASK_BASE_H
#define WAXWING_LINK_LINK_TASK_BASE_H

#include "link/connection_base.h"
#include "link/link_base.h"
#include "link/peer_base.h"

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** Implementation of link_task on websocketpp and libev. Thread safety: for use by the loop's thread only. */
class websocket_link_task final : public link_task, private connection_owner {
public:
    websocket_link_task(event_loop& loop, const link_settings& settings, descriptor listener,
                        std::uint64_t instance, std::uint64_t seed, handler on_event);

    void connect(const node_id& peer, const endpoint& address) override;
    void forget(const node_id& peer) override;
    void send(const node_id& peer, link_message message) override;
    bool is_up(const node_id& peer) const override;
    const link_counters& counters() const override { return m_counters; }
    endpoint address() const override { return m_address; }

private:
    void on_authenticated(link_connection& link) override;
    void on_message(link_connection& link, link_message message) override;
    void on_unsendable_message(link_connection& link, link_message message) override;
    void on_leave(link_connection& link, frame_kind kind) override;
    void on_drained(link_connection& link) override;
    void on_ended(link_connection& link, link_end_reason reason) override;

    void on_listener();
    bool admit_connection();
    void pause_accepting();
    link_connection* start_link(descriptor socket, const endpoint& address, link_side side,
                                const node_id& peer);
    void open_link(peer_state& peer);
    void schedule_reconnect(peer_state& peer);
    void close_superseded_links(peer_state& peer, const link_connection& link);
    void resolve_duplicate_links(peer_state& peer);
    void start_leaving(peer_link& entry);
    void close_left_links(peer_state& peer);
    void return_undelivered(peer_state& peer, link_message message);
    void count_end(link_end_reason reason);
    void on_up_link_ended(peer_state& peer, link_connection& link);
    void schedule_flush(link_connection& link);
    void run_deferred_work();
    void erase_idle_peer(const node_id& name);
    peer_state& find_or_create_peer(const node_id& name);
    peer_state* find_peer(const node_id& name);
    connection_context context();

    event_loop& m_loop;
    link_settings m_settings;
    link_counters m_counters;
    descriptor m_listener;
    endpoint m_address;
    std::uint64_t m_instance; ///< Random id of this link task, sent in hellos.
    random_source m_random;
    mailbox<link_event> m_events;
    wakeup m_deferred_work; ///< Runs run_deferred_work.
    io_watcher m_accept_watcher;
    timer m_accept_timer;           ///< Resumes accepting connections.
    websocket_factory m_websockets; ///< Must outlive the connections.
    std::vector<char> m_buffer;
    std::unordered_map<node_id, std::unique_ptr<peer_state>> m_peers;
    std::unordered_map<link_connection*, std::unique_ptr<link_connection>> m_connections;
    std::vector<std::unique_ptr<link_connection>> m_ended; ///< Links to destroy in run_deferred_work.
    std::vector<link_connection*> m_pending_flush;         ///< Links to flush in run_deferred_work.
    std::vector<node_id> m_idle_candidates;                ///< Peers to erase in run_deferred_work if unused.
    std::list<link_connection*> m_unauthenticated;         ///< Accepted, not authenticated, oldest first.
};

} // namespace waxwing

#endif
