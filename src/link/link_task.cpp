/** @file link_task.cpp Implementation of link_task: listening, connecting and sending. */
#include "link/link_task_base.h"

#include "link/accept_gate_base.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace waxwing {

namespace {

/** Maximum number of bytes per read. */
constexpr std::size_t read_size = 64 * 1024;

/** Maximum number of connections accepted at once, so that links are served. */
constexpr int accept_batch = 16;

/** Maximum number of concurrent chunked messages on one link, in each direction. */
constexpr std::size_t stream_limit = 8;

/** Reassembly limit of one link in each direction, in messages of maximum length. */
constexpr std::size_t reassembly_messages = 2;

/** Checks @p settings. @return an error if a setting is invalid. */
result<void> check_settings(const link_settings& settings)
{
    if (settings.m_self.empty() || settings.m_self.m_value.size() > node_name_limit) {
        return fail(error_code::invalid, "the node's name is empty or too long");
    }
    if (settings.m_shared_key.empty()) {
        return fail(error_code::invalid, "the shared key is empty");
    }
    if (settings.m_heartbeat <= duration::zero() || settings.m_silence_timeout <= settings.m_heartbeat) {
        return fail(error_code::invalid,
                    "the heartbeat interval is not positive or not below the silence timeout");
    }
    if (settings.m_request_patience <= duration::zero() || settings.m_answer_timeout <= duration::zero()) {
        return fail(error_code::invalid, "the patience with requests or the answer timeout is not positive");
    }
    if (settings.m_min_reconnect_delay <= duration::zero() ||
        settings.m_max_reconnect_delay < settings.m_min_reconnect_delay) {
        return fail(error_code::invalid,
                    "the reconnect delays are not positive or the minimum exceeds the maximum");
    }
    if (settings.m_message_limit == 0 || settings.m_message_limit > UINT32_MAX / (2 * reassembly_messages)) {
        return fail(error_code::invalid, "the message limit is out of range");
    }
    return success();
}

} // namespace

result<std::unique_ptr<link_task>> link_task::open(event_loop& loop, const link_settings& settings,
                                                   std::uint64_t seed, handler on_event)
{
    if (const result<void> validation = check_settings(settings); validation.has_error()) {
        return validation.error();
    }
    const result<std::string> instance_bytes = random_bytes(sizeof(std::uint64_t));
    if (instance_bytes.has_error()) {
        return instance_bytes.error();
    }
    std::uint64_t instance = 0;
    std::memcpy(&instance, instance_bytes.value().data(), sizeof instance);
    result<descriptor> listener = listen_at(settings.m_listen);
    if (listener.has_error()) {
        return listener.error();
    }
    return std::unique_ptr<link_task>(std::make_unique<websocket_link_task>(
        loop, settings, std::move(listener).value(), instance, seed, std::move(on_event)));
}

websocket_link_task::websocket_link_task(event_loop& loop, const link_settings& settings, descriptor listener,
                                         std::uint64_t instance, std::uint64_t seed, handler on_event)
    : m_loop(loop), m_settings(settings), m_listener(std::move(listener)),
      m_address(local_address(m_listener.get())), m_instance(instance), m_random(seed),
      m_events(loop, std::move(on_event)), m_deferred_work(loop, [this] { run_deferred_work(); }),
      m_accept_watcher(loop, [this](int) { on_listener(); }),
      m_accept_timer(loop, [this] { m_accept_watcher.watch(m_listener.get(), EV_READ); }), m_buffer(read_size)
{
    m_accept_watcher.watch(m_listener.get(), EV_READ);
}

void websocket_link_task::connect(const node_id& peer, const endpoint& address)
{
    if (peer == m_settings.m_self || peer.empty()) {
        return;
    }
    peer_state& state = find_or_create_peer(peer);
    const bool moved = state.m_address && *state.m_address != address;
    state.m_address = address;
    if (moved && state.m_opening != nullptr) {
        std::exchange(state.m_opening, nullptr)->end(link_end_reason::closed);
    }
    const bool has_active_link = std::any_of(state.m_links.begin(), state.m_links.end(),
                                             [](const peer_link& entry) { return entry.takes_calls(); });
    if (moved || (!has_active_link && state.m_opening == nullptr && !state.m_retry.pending())) {
        open_link(state);
    }
}

void websocket_link_task::forget(const node_id& peer)
{
    peer_state* state = find_peer(peer);
    if (state == nullptr) {
        return;
    }
    state->m_address.reset();
    state->m_retry.cancel();
    if (state->m_opening != nullptr) {
        std::exchange(state->m_opening, nullptr)->end(link_end_reason::closed);
    }
    m_idle_candidates.push_back(peer);
    for (peer_link& entry : state->m_links) {
        start_leaving(entry);
    }
    m_deferred_work.wake();
}

void websocket_link_task::send(const node_id& peer, link_message message)
{
    peer_state* state = find_peer(peer);
    link_connection* link = state == nullptr ? nullptr : state->choose_link(message);
    if (link == nullptr || state->queued_bytes() + estimated_memory(message) > m_settings.m_queue_limit) {
        m_events.post(link_undelivered{peer, std::move(message)});
        return;
    }
    if (const auto* cancel = std::get_if<cancel_message>(&message); cancel != nullptr) {
        if (std::optional<link_message> call = link->withdraw(cancel->m_attempt)) {
            return_undelivered(*state, std::move(*call));
            return_undelivered(*state, std::move(message));
            return;
        }
    }
    state->record_sent(message);
    link->send(std::move(message));
    schedule_flush(*link);
}

bool websocket_link_task::is_up(const node_id& peer) const
{
    const auto at = m_peers.find(peer);
    return at != m_peers.end() && !at->second->m_links.empty();
}

void websocket_link_task::on_listener()
{
    for (int count = 0; count < accept_batch; ++count) {
        if (!admit_connection()) {
            pause_accepting();
            return;
        }
        result<accepted_connection> socket = accept_connection(m_listener.get());
        if (socket.has_error()) {
            if (socket.error().m_code != error_code::unavailable) {
                pause_accepting();
            }
            return;
        }
        if (m_connections.size() >= m_settings.m_link_limit) {
            continue;
        }
        link_connection* link = start_link(std::move(socket).value().m_socket, {}, link_side::acceptor, {});
        if (link != nullptr) {
            m_unauthenticated.push_back(link);
        }
    }
}

bool websocket_link_task::admit_connection()
{
    const instant now = event_loop::now();
    const duration age =
        m_unauthenticated.empty() ? duration::zero() : now - m_unauthenticated.front()->started_at();
    switch (decide_accept(m_unauthenticated.size(), age)) {
    case accept_step::accept:
        return true;
    case accept_step::evict_oldest:
        m_unauthenticated.front()->end(link_end_reason::handshake_failed);
        return true;
    case accept_step::wait:
        return false;
    }
    return false;
}

void websocket_link_task::pause_accepting()
{
    m_accept_watcher.stop();
    m_accept_timer.set(unauthenticated_grace_period);
}

link_connection* websocket_link_task::start_link(descriptor socket, const endpoint& address, link_side side,
                                                 const node_id& peer)
{
    result<std::string> nonce = random_bytes(nonce_size);
    if (nonce.has_error()) {
        return nullptr;
    }
    handshake_settings settings;
    settings.m_side = side;
    settings.m_key = m_settings.m_shared_key;
    settings.m_self = m_settings.m_self;
    settings.m_peer = peer;
    settings.m_hello.m_nonce = std::move(nonce).value();
    settings.m_hello.m_instance = m_instance;
    const chunk_limits limits = context().m_limits;
    settings.m_hello.m_message_limit = limits.m_message;
    settings.m_hello.m_reassembly_limit = limits.m_reassembly;
    settings.m_hello.m_stream_limit = limits.m_streams;
    auto connection =
        std::make_unique<link_connection>(context(), std::move(socket), address, std::move(settings));
    link_connection* link = connection.get();
    m_connections.emplace(link, std::move(connection));
    return link;
}

connection_context websocket_link_task::context()
{
    const chunk_limits limits{m_settings.m_message_limit,
                              reassembly_messages * m_settings.m_message_limit + control_reserve,
                              stream_limit};
    return {m_loop, m_settings, limits, m_counters, *this, m_websockets, m_buffer};
}

void websocket_link_task::open_link(peer_state& peer)
{
    if (!peer.m_address || m_connections.size() >= m_settings.m_link_limit) {
        schedule_reconnect(peer);
        return;
    }
    result<descriptor> socket = start_connect(*peer.m_address);
    if (socket.has_error()) {
        schedule_reconnect(peer);
        return;
    }
    peer.m_opening = start_link(std::move(socket).value(), *peer.m_address, link_side::opener, peer.m_name);
    if (peer.m_opening == nullptr) {
        schedule_reconnect(peer);
    }
}

void websocket_link_task::schedule_reconnect(peer_state& peer)
{
    if (!peer.m_address) {
        m_idle_candidates.push_back(peer.m_name);
        m_deferred_work.wake();
        return;
    }
    const bool has_active_link = std::any_of(peer.m_links.begin(), peer.m_links.end(),
                                             [](const peer_link& entry) { return entry.takes_calls(); });
    if (!has_active_link && !peer.m_retry.pending()) {
        peer.m_retry.set(peer.m_backoff.next_delay(m_random));
    }
}

void websocket_link_task::schedule_flush(link_connection& link)
{
    m_pending_flush.push_back(&link);
    m_deferred_work.wake();
}

void websocket_link_task::run_deferred_work()
{
    std::vector<link_connection*> pending_flush;
    pending_flush.swap(m_pending_flush);
    for (link_connection* link : pending_flush) {
        if (m_connections.count(link) != 0) {
            link->flush();
        }
    }
    for (const node_id& name : std::exchange(m_idle_candidates, {})) {
        erase_idle_peer(name);
    }
    m_ended.clear();
}

void websocket_link_task::erase_idle_peer(const node_id& name)
{
    const auto at = m_peers.find(name);
    if (at != m_peers.end() && !at->second->m_address && at->second->m_links.empty()) {
        m_peers.erase(at);
    }
}

peer_state& websocket_link_task::find_or_create_peer(const node_id& name)
{
    std::unique_ptr<peer_state>& state = m_peers[name];
    if (!state) {
        state = std::make_unique<peer_state>(name, m_loop, m_settings, [this, name] {
            if (peer_state* peer = find_peer(name); peer != nullptr && peer->m_opening == nullptr) {
                open_link(*peer);
            }
        });
    }
    return *state;
}

peer_state* websocket_link_task::find_peer(const node_id& name)
{
    const auto at = m_peers.find(name);
    return at == m_peers.end() ? nullptr : at->second.get();
}

} // namespace waxwing
