/** @file link_task_events.cpp Implementation of link_task: event handlers of its links. */
#include "link/link_task_base.h"

#include <utility>

namespace waxwing {

void websocket_link_task::on_authenticated(link_connection& link)
{
    m_unauthenticated.remove(&link);
    peer_state& peer = find_or_create_peer(link.peer());
    if (peer.m_opening == &link) {
        peer.m_opening = nullptr;
    }
    close_superseded_links(peer, link);
    peer.m_retry.cancel();
    peer.m_links.push_back({&link});
    ++m_counters.m_links;
    if (peer.m_links.size() == 1) {
        m_events.post(link_up{peer.m_name});
    }
    resolve_duplicate_links(peer);
}

void websocket_link_task::close_superseded_links(peer_state& peer, const link_connection& link)
{
    std::vector<link_connection*> older;
    for (const peer_link& entry : peer.m_links) {
        if (entry.m_link->side() == link.side() || entry.m_link->peer_instance() != link.peer_instance()) {
            older.push_back(entry.m_link);
        }
    }
    for (link_connection* replaced : older) {
        replaced->end(link_end_reason::closed);
    }
}

void websocket_link_task::resolve_duplicate_links(peer_state& peer)
{
    if (peer.m_links.size() < 2 || m_settings.m_self < peer.m_name) {
        return;
    }
    for (peer_link& entry : peer.m_links) {
        if (entry.m_link->side() == link_side::opener) {
            start_leaving(entry);
        }
    }
}

void websocket_link_task::on_message(link_connection& link, link_message message)
{
    peer_state& peer = find_or_create_peer(link.peer());
    peer.record_received(message);
    m_events.post(link_received{peer.m_name, std::move(message)});
    schedule_flush(link);
}

void websocket_link_task::on_unsendable_message(link_connection& link, link_message message)
{
    return_undelivered(find_or_create_peer(link.peer()), std::move(message));
}

void websocket_link_task::return_undelivered(peer_state& peer, link_message message)
{
    peer.record_undelivered(message);
    m_events.post(link_undelivered{peer.m_name, std::move(message)});
}

void websocket_link_task::on_leave(link_connection& link, frame_kind kind)
{
    peer_link* entry = find_or_create_peer(link.peer()).find(link);
    if (entry == nullptr) {
        return;
    }
    if (kind == frame_kind::leave_done) {
        entry->m_leave_confirmed = true;
    }
    else if (!std::exchange(entry->m_peer_leaving, true)) {
        link.send_control(frame_kind::leave_done);
    }
    schedule_flush(link);
}

void websocket_link_task::on_drained(link_connection& link)
{
    if (link.is_up()) {
        close_left_links(find_or_create_peer(link.peer()));
    }
}

void websocket_link_task::start_leaving(peer_link& entry)
{
    if (std::exchange(entry.m_leaving, true)) {
        return;
    }
    entry.m_link->send_control(frame_kind::leave);
    schedule_flush(*entry.m_link);
}

void websocket_link_task::close_left_links(peer_state& peer)
{
    std::vector<link_connection*> done;
    for (const peer_link& entry : peer.m_links) {
        if (peer.may_end(entry)) {
            done.push_back(entry.m_link);
        }
    }
    for (link_connection* link : done) {
        link->end(link_end_reason::closed);
    }
}

void websocket_link_task::on_ended(link_connection& link, link_end_reason reason)
{
    count_end(reason);
    m_unauthenticated.remove(&link);
    const auto owned = m_connections.find(&link);
    m_ended.push_back(std::move(owned->second));
    m_connections.erase(owned);
    m_deferred_work.wake();
    peer_state* peer = find_peer(link.peer());
    if (peer == nullptr) {
        return;
    }
    if (peer->m_opening == &link) {
        peer->m_opening = nullptr;
        schedule_reconnect(*peer);
    }
    else if (peer->find(link) != nullptr) {
        on_up_link_ended(*peer, link);
    }
}

void websocket_link_task::on_up_link_ended(peer_state& peer, link_connection& link)
{
    for (link_message& message : link.take_unsent()) {
        return_undelivered(peer, std::move(message));
    }
    peer.remove(link);
    --m_counters.m_links;
    peer.m_backoff.on_link_lost(event_loop::now() - link.authenticated_at());
    if (peer.m_links.empty()) {
        m_events.post(link_down{peer.m_name});
        schedule_reconnect(peer);
    }
}

void websocket_link_task::count_end(link_end_reason reason)
{
    if (reason == link_end_reason::malformed) {
        ++m_counters.m_malformed;
    }
    if (reason == link_end_reason::handshake_failed) {
        ++m_counters.m_refused;
    }
}

} // namespace waxwing
