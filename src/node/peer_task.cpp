/** @file peer_task.cpp The task that opens links to other nodes when they are needed. */
#include "node/peer_task_base.h"

namespace waxwing {

namespace {

constexpr std::size_t max_waiting_messages = 256;             ///< Messages waiting for one link.
constexpr duration waiting_timeout = std::chrono::seconds(1); ///< Longest wait for a link.
constexpr duration idle_timeout = std::chrono::minutes(5);    ///< A link idle for longer is closed.
constexpr duration check_interval = std::chrono::milliseconds(250);

} // namespace

peer_task::peer_task(event_loop& loop, handler on_event)
    : m_loop(loop), m_on_event(std::move(on_event)),
      m_undelivered(loop, [this](link_event&& event) { m_on_event(std::move(event)); }),
      m_timer(loop, [this] { on_timer(); })
{
    m_timer.set(check_interval);
}

result<void> peer_task::listen(const node_settings& settings, std::uint64_t seed)
{
    link_settings links;
    links.m_self = settings.m_name;
    links.m_listen = settings.m_links;
    links.m_shared_key = settings.m_shared_key;
    links.m_budget = m_budget;
    auto task =
        link_task::open(m_loop, links, seed, [this](link_event&& event) { on_link(std::move(event)); });
    if (task.has_error()) {
        return task.error();
    }
    m_links = std::move(task).value();
    return success();
}

void peer_task::put(const node_id& name, const endpoint& address)
{
    peer& state = m_peers[name];
    const bool address_changed = state.m_address != address;
    state.m_address = address;
    if (address_changed && state.m_has_link) {
        m_links->connect(name, address);
    }
}

void peer_task::remove(const node_id& name)
{
    const auto position = m_peers.find(name);
    if (position == m_peers.end()) {
        return;
    }
    return_waiting(name, position->second);
    if (position->second.m_has_link) {
        m_links->forget(name);
    }
    m_peers.erase(position);
}

void peer_task::send(const node_id& name, link_message message)
{
    if (m_links->is_up(name)) {
        const auto state = m_peers.find(name);
        if (state != m_peers.end()) {
            state->second.m_used_at = event_loop::now();
        }
        m_links->send(name, std::move(message));
        return;
    }
    const auto position = m_peers.find(name);
    if (position == m_peers.end() || position->second.m_waiting.size() >= max_waiting_messages) {
        m_undelivered.post(link_undelivered{name, std::move(message)});
        return;
    }
    peer& state = position->second;
    state.m_used_at = event_loop::now();
    if (state.m_waiting.empty()) {
        state.m_waiting_since = state.m_used_at;
    }
    state.m_waiting.push_back(std::move(message));
    if (!state.m_has_link) {
        state.m_has_link = true;
        m_links->connect(name, state.m_address);
    }
}

void peer_task::on_link(link_event&& event)
{
    if (const auto* const up = std::get_if<link_up>(&event)) {
        const auto position = m_peers.find(up->m_peer);
        if (position != m_peers.end()) {
            flush(up->m_peer, position->second);
        }
    }
    m_on_event(std::move(event));
}

void peer_task::flush(const node_id& name, peer& state)
{
    while (!state.m_waiting.empty()) {
        m_links->send(name, std::move(state.m_waiting.front()));
        state.m_waiting.pop_front();
    }
}

/** Returns the waiting messages as undelivered; none of them left this node. */
void peer_task::return_waiting(const node_id& name, peer& state)
{
    while (!state.m_waiting.empty()) {
        m_undelivered.post(link_undelivered{name, std::move(state.m_waiting.front())});
        state.m_waiting.pop_front();
    }
}

void peer_task::on_timer()
{
    const instant now = event_loop::now();
    for (auto& [name, state] : m_peers) {
        if (!state.m_waiting.empty() && now - state.m_waiting_since > waiting_timeout) {
            return_waiting(name, state);
        }
        if (state.m_has_link && state.m_waiting.empty() && now - state.m_used_at > idle_timeout) {
            state.m_has_link = false;
            m_links->forget(name);
        }
    }
    m_timer.set(check_interval);
}

} // namespace waxwing
