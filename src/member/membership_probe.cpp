/** @file membership_probe.cpp Direct probes, indirect probes through helpers, and probes of dead members. */
#include "member/membership_state.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Maximum concurrent probes on behalf of others; the oldest is dropped. */
constexpr std::size_t max_relays = 64;
constexpr std::size_t max_piggyback_bytes = 600;  ///< Maximum bytes of changes piggybacked on a ping or ack.
constexpr unsigned probe_deadline_factor = 3;     ///< A probe fails this many timeouts after its ping.
constexpr std::uint32_t probe_result_mask = 0xFF; ///< Keeps the results of the last eight probes.

} // namespace

void membership::state::probe_next(instant active_now, actions& out)
{
    member_entry* const member = m_table.next_to_probe(m_random);
    if (member == nullptr) {
        return;
    }
    const duration timeout = m_settings.m_probe_timeout * (1 + m_health_penalty);
    const member_record& record = member->m_record;
    m_probes.push_back({++m_sequence, record.m_node, record.m_incarnation, active_now + timeout,
                        active_now + probe_deadline_factor * timeout, false});
    gossip_message ping{
        gossip_kind::ping, m_self, m_sequence, record.m_node, record.m_incarnation, {}, 0, {}, {}};
    ping.m_digests = {m_table.digest_of_all()};
    ping.m_contact_ages = contact_ages_at(active_now);
    fill(ping, max_piggyback_bytes);
    send(std::move(ping), record.m_gossip, record.m_node, out);
}

void membership::state::probe_dead(actions& out)
{
    const member_entry* const member = m_table.draw_dead(m_random);
    if (member == nullptr) {
        return;
    }
    const member_record& record = member->m_record;
    gossip_message ping{
        gossip_kind::ping, m_self, ++m_sequence, record.m_node, record.m_incarnation, {}, 0, {}, {}};
    send(std::move(ping), record.m_gossip, record.m_node, out);
}

void membership::state::check_probes(instant active_now, actions& out)
{
    for (std::size_t index = 0; index < m_probes.size();) {
        pending_probe& probe = m_probes[index];
        if (!probe.m_indirect && active_now >= probe.m_indirect_at) {
            ask_helpers(probe, out);
        }
        if (active_now < probe.m_deadline) {
            ++index;
            continue;
        }
        const pending_probe failed = probe;
        m_probes.erase(m_probes.begin() + static_cast<std::ptrdiff_t>(index));
        member_entry* const member = m_table.find(failed.m_node);
        if (member == nullptr || member->m_record.m_incarnation != failed.m_incarnation) {
            continue;
        }
        record_probe_result(true);
        if (member->m_record.m_state == member_state::alive) {
            member_record next = member->m_record;
            next.m_state = member_state::suspect;
            change(active_now, *member, next, gossip_source::local, out);
        }
    }
}

void membership::state::ask_helpers(pending_probe& probe, actions& out)
{
    probe.m_indirect = true;
    const member_entry* const member = m_table.find(probe.m_node);
    if (member == nullptr) {
        return;
    }
    for (member_entry* helper : m_table.draw(m_random, m_settings.m_indirect_probes, probe.m_node)) {
        gossip_message request{gossip_kind::ping_request,
                               m_self,
                               probe.m_sequence,
                               probe.m_node,
                               probe.m_incarnation,
                               member->m_record.m_gossip,
                               0,
                               {},
                               {}};
        send(std::move(request), helper->m_record.m_gossip, helper->m_record.m_node, out);
    }
}

void membership::state::record_probe_result(bool failed)
{
    m_probe_results = ((m_probe_results << 1U) | (failed ? 1U : 0U)) & probe_result_mask;
    if (failed) {
        m_health_penalty = std::min(m_health_penalty + 1, max_health_penalty);
    }
    else {
        m_health_penalty -= m_health_penalty > 0 ? 1 : 0;
    }
    update_isolation();
}

void membership::state::expire_suspicions(instant active_now, actions& out)
{
    while (!m_suspicions.empty() && active_now >= m_suspicions.front().m_at) {
        const member_deadline deadline = m_suspicions.front();
        m_suspicions.pop_front();
        member_entry* const member = m_table.find(deadline.m_node);
        if (member == nullptr || member->m_record.m_state != member_state::suspect ||
            member->m_record.m_incarnation != deadline.m_incarnation ||
            member->m_record.m_version != deadline.m_version) {
            continue;
        }
        member_record next = member->m_record;
        next.m_state = member_state::dead;
        change(active_now, *member, next, gossip_source::local, out);
    }
}

void membership::state::on_ping(instant active_now, const endpoint& from, const gossip_message& message,
                                actions& out)
{
    const bool addressed_to_self =
        message.m_node == m_self.m_node && !(m_self.m_incarnation < message.m_incarnation);
    const node_id sender = message.m_from ? message.m_from->m_node : node_id{};
    gossip_message reply;
    reply.m_kind = addressed_to_self ? gossip_kind::ack : gossip_kind::other;
    reply.m_from = m_self;
    reply.m_sequence = message.m_sequence;
    if (addressed_to_self) {
        reply.m_digests = {m_table.digest_of_all()};
        reply.m_contact_ages = contact_ages_at(active_now);
        fill(reply, max_piggyback_bytes);
    }
    send(std::move(reply), from, sender, out);
}

void membership::state::on_ack(const gossip_message& message, actions& out)
{
    if (!message.m_from) {
        return;
    }
    const member_record& sender = *message.m_from;
    complete_probe(message.m_sequence, sender.m_node, sender.m_incarnation);
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const relayed_probe& entry) {
        return entry.m_sequence == message.m_sequence && entry.m_node == sender.m_node &&
               !(sender.m_incarnation < entry.m_incarnation);
    });
    if (relay == m_relays.end()) {
        return;
    }
    gossip_message reply{gossip_kind::indirect_ack,
                         m_self,
                         relay->m_requester_sequence,
                         sender.m_node,
                         sender.m_incarnation,
                         {},
                         0,
                         {},
                         {sender}};
    send(std::move(reply), relay->m_requester, {}, out);
    m_relays.erase(relay);
}

void membership::state::on_ping_request(const endpoint& from, const gossip_message& message, actions& out)
{
    if (message.m_address.m_port == 0 || message.m_node.empty()) {
        return;
    }
    if (m_relays.size() >= max_relays) {
        m_relays.pop_front();
    }
    m_relays.push_back({++m_sequence, from, message.m_sequence, message.m_node, message.m_incarnation});
    gossip_message ping{
        gossip_kind::ping, m_self, m_sequence, message.m_node, message.m_incarnation, {}, 0, {}, {}};
    send(std::move(ping), message.m_address, message.m_node, out);
}

void membership::state::on_indirect_ack(const gossip_message& message)
{
    complete_probe(message.m_sequence, message.m_node, message.m_incarnation);
}

void membership::state::complete_probe(std::uint64_t sequence, const node_id& node,
                                       incarnation node_incarnation)
{
    const auto found = std::find_if(m_probes.begin(), m_probes.end(), [&](const pending_probe& probe) {
        return probe.m_sequence == sequence && probe.m_node == node &&
               !(node_incarnation < probe.m_incarnation);
    });
    if (found == m_probes.end()) {
        return;
    }
    m_probes.erase(found);
    record_probe_result(false);
}

} // namespace waxwing
