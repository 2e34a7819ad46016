/** @file link_task.cpp The link task's implementation. */
#include "link/link_task_base.h"

#include "link/accept_gate_base.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace waxwing {

namespace {

/** Bytes that one read takes at most. */
constexpr std::size_t read_size = 64 * 1024;

/** Connections accepted at once, so that links get their turn. */
constexpr int accept_batch = 16;

/** Messages in chunks at once on one link, each way. */
constexpr std::size_t stream_limit = 8;

/** Total length of the messages in chunks at once on one link, each way, in longest messages. */
constexpr std::size_t reassembly_messages = 2;

/** Tells what is wrong with @p settings. */
result<void> check(const link_settings& settings)
{
    if (settings.m_self.empty() || settings.m_self.m_value.size() > node_name_limit) {
        return fail(error_code::invalid, "the node's name is empty or too long");
    }
    if (settings.m_shared_key.empty()) {
        return fail(error_code::invalid, "the shared key is empty");
    }
    if (settings.m_heartbeat <= duration::zero() || settings.m_silence_timeout <= settings.m_heartbeat) {
        return fail(error_code::invalid, "the silence limit is not above the heartbeat");
    }
    if (settings.m_min_reconnect_delay <= duration::zero() ||
        settings.m_max_reconnect_delay < settings.m_min_reconnect_delay) {
        return fail(error_code::invalid, "the reconnect waits are not in order");
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
    if (const result<void> checked = check(settings); checked.has_error()) {
        return checked.error();
    }
    const result<std::string> drawn = random_bytes(sizeof(std::uint64_t));
    if (drawn.has_error()) {
        return drawn.error();
    }
    std::uint64_t instance = 0;
    std::memcpy(&instance, drawn.value().data(), sizeof instance);
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
      m_events(loop, std::move(on_event)), m_chores(loop, [this] { run_chores(); }),
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
    peer_state& state = peer_of(peer);
    const bool moved = state.m_address && *state.m_address != address;
    state.m_address = address;
    if (moved && state.m_opening != nullptr) {
        std::exchange(state.m_opening, nullptr)->end(link_end::closed);
    }
    const bool served = std::any_of(state.m_links.begin(), state.m_links.end(),
                                    [](const peer_link& entry) { return entry.takes_calls(); });
    if (moved || (!served && state.m_opening == nullptr && !state.m_retry.pending())) {
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
        std::exchange(state->m_opening, nullptr)->end(link_end::closed);
    }
    m_idle.push_back(peer);
    for (peer_link& entry : state->m_links) {
        leave(entry);
    }
    m_chores.wake();
}

void websocket_link_task::send(const node_id& peer, link_message message)
{
    peer_state* state = find_peer(peer);
    link_connection* link = state == nullptr ? nullptr : state->choose(message);
    if (link == nullptr || state->queued() + charge_of(message) > m_settings.m_queue_limit) {
        m_events.post(link_undelivered{peer, std::move(message)});
        return;
    }
    if (const auto* cancel = std::get_if<cancel_message>(&message); cancel != nullptr) {
        if (std::optional<link_message> call = link->withdraw(cancel->m_attempt)) {
            give_back(*state, std::move(*call));
            give_back(*state, std::move(message));
            return;
        }
    }
    state->note_sent(message);
    link->send(std::move(message));
    flush_soon(*link);
}

bool websocket_link_task::is_up(const node_id& peer) const
{
    const auto at = m_peers.find(peer);
    return at != m_peers.end() && !at->second->m_links.empty();
}

void websocket_link_task::on_listener()
{
    for (int count = 0; count < accept_batch; ++count) {
        if (!make_room()) {
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
        link_connection* link = start(std::move(socket).value().m_socket, {}, link_side::acceptor, {});
        if (link != nullptr) {
            m_unproven.push_back(link);
        }
    }
}

bool websocket_link_task::make_room()
{
    const instant now = event_loop::now();
    const duration age = m_unproven.empty() ? duration::zero() : now - m_unproven.front()->started();
    switch (decide_accept(m_unproven.size(), age)) {
    case accept_step::accept:
        return true;
    case accept_step::evict_oldest:
        m_unproven.front()->end(link_end::refused);
        return true;
    case accept_step::wait:
        return false;
    }
    return false;
}

void websocket_link_task::pause_accepting()
{
    m_accept_watcher.stop();
    m_accept_timer.set(unproven_grace);
}

link_connection* websocket_link_task::start(descriptor socket, const endpoint& address, link_side side,
                                            const node_id& peer)
{
    result<std::string> nonce = random_bytes(nonce_size);
    if (nonce.has_error()) {
        return nullptr;
    }
    handshake_settings proof;
    proof.m_side = side;
    proof.m_key = m_settings.m_shared_key;
    proof.m_self = m_settings.m_self;
    proof.m_peer = peer;
    proof.m_hello.m_nonce = std::move(nonce).value();
    proof.m_hello.m_instance = m_instance;
    const chunk_limits limits = context().m_limits;
    proof.m_hello.m_message_limit = limits.m_message;
    proof.m_hello.m_reassembly_limit = limits.m_reassembly;
    proof.m_hello.m_stream_limit = limits.m_streams;
    auto made = std::make_unique<link_connection>(context(), std::move(socket), address, std::move(proof));
    link_connection* link = made.get();
    m_connections.emplace(link, std::move(made));
    return link;
}

connection_context websocket_link_task::context()
{
    const chunk_limits limits{m_settings.m_message_limit,
                              reassembly_messages * m_settings.m_message_limit + control_room, stream_limit};
    return {m_loop, m_settings, limits, m_counters, *this, m_websockets, m_buffer};
}

void websocket_link_task::open_link(peer_state& peer)
{
    if (!peer.m_address || m_connections.size() >= m_settings.m_link_limit) {
        retry_later(peer);
        return;
    }
    result<descriptor> socket = start_connect(*peer.m_address);
    if (socket.has_error()) {
        retry_later(peer);
        return;
    }
    peer.m_opening = start(std::move(socket).value(), *peer.m_address, link_side::opener, peer.m_name);
    if (peer.m_opening == nullptr) {
        retry_later(peer);
    }
}

void websocket_link_task::retry_later(peer_state& peer)
{
    if (!peer.m_address) {
        m_idle.push_back(peer.m_name);
        m_chores.wake();
        return;
    }
    const bool served = std::any_of(peer.m_links.begin(), peer.m_links.end(),
                                    [](const peer_link& entry) { return entry.takes_calls(); });
    if (!served && !peer.m_retry.pending()) {
        peer.m_retry.set(peer.m_backoff.next(m_random));
    }
}

void websocket_link_task::flush_soon(link_connection& link)
{
    m_dirty.push_back(&link);
    m_chores.wake();
}

void websocket_link_task::run_chores()
{
    std::vector<link_connection*> dirty;
    dirty.swap(m_dirty);
    for (link_connection* link : dirty) {
        if (m_connections.count(link) != 0) {
            link->flush();
        }
    }
    for (const node_id& name : std::exchange(m_idle, {})) {
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

peer_state& websocket_link_task::peer_of(const node_id& name)
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
