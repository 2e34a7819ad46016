/** @file membership.cpp Public interface of membership. */
#include "member/membership_state.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Members to which a change of the node's target is sent immediately. */
constexpr std::size_t announce_fan_out = 8;
constexpr unsigned leave_repeats = 3;
/** Members to which a node sends its new revision. With all nodes doing so, some 0.3 % of them receive none
 * of these messages and learn the revision from the next probe instead. */
constexpr std::size_t revision_fan_out = 6;

} // namespace

membership::membership(const member_settings& settings, member_record self, std::uint64_t seed)
    : m_state(std::make_unique<state>(settings, std::move(self), seed))
{
}

membership::~membership() = default;
membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;

void membership::receive(instant now, const endpoint& from, std::string_view payload,
                         std::vector<member_action>& actions)
{
    const instant active_now = m_state->observe(now, actions);
    const result<gossip_message> decoded = decode_gossip(payload);
    if (decoded.has_error()) {
        return;
    }
    const gossip_message& message = decoded.value();
    if (m_state->m_self.m_state == member_state::left && message.m_kind != gossip_kind::ping) {
        return;
    }
    m_state->m_was_contacted |= message.m_from && message.m_from->m_node != m_state->m_self.m_node;
    m_state->merge_contacts(now, message);
    const bool changed = m_state->merge_items(active_now, message, actions);
    switch (message.m_kind) {
    case gossip_kind::ping:
        m_state->compare_digest(active_now, message, actions);
        m_state->on_ping(active_now, from, message, actions);
        break;
    case gossip_kind::ack:
        m_state->compare_digest(active_now, message, actions);
        m_state->on_ack(message, actions);
        break;
    case gossip_kind::ping_request:
        m_state->on_ping_request(from, message, actions);
        break;
    case gossip_kind::indirect_ack:
        m_state->on_indirect_ack(message);
        break;
    case gossip_kind::pull:
        m_state->on_pull(from, message, actions);
        break;
    case gossip_kind::page:
        if (changed) {
            m_state->m_pull_had_updates = true;
            m_state->m_next_pull = std::min(m_state->m_next_pull, active_now + eager_pull_interval);
        }
        break;
    case gossip_kind::rumour:
    case gossip_kind::other:
        break;
    }
}

void membership::add_registered(instant now, const std::vector<std::pair<std::string, std::string>>& rows,
                                std::vector<member_action>& actions)
{
    const instant active_now = m_state->observe(now, actions);
    m_state->m_listed_at = m_state->m_listed_at.value_or(active_now);
    m_state->m_is_discoverable |= m_state->m_is_discovery_complete;
    for (const auto& [key, value] : rows) {
        const result<member_record> decoded = decode_row(value);
        if (decoded.has_error() || key != "member/" + decoded.value().m_node.m_value) {
            continue;
        }
        m_state->merge_record(active_now, decoded.value(), gossip_source::row, actions);
        const member_entry* const member = m_state->m_table.find(decoded.value().m_node);
        // The row goes well before the member is forgotten: once it is, its row would add it as a new member.
        if (member != nullptr && !is_reachable(member->m_record.m_state) &&
            active_now - member->m_gone_at >= m_state->m_settings.m_dead_retention / 2) {
            actions.emplace_back(member_register{key, {}, true});
        }
    }
}

void membership::on_registered(instant now, bool is_written)
{
    const duration interval =
        is_written ? m_state->m_settings.m_register_interval : m_state->retry_interval();
    m_state->m_next_register = now - m_state->m_paused + m_state->jittered(interval);
    m_state->m_is_registered |= is_written;
}

void membership::on_table_available(instant now)
{
    const instant active_now = now - m_state->m_paused;
    if (!m_state->m_is_registered) {
        m_state->m_next_register = active_now;
    }
    if (!m_state->m_listed_at) {
        m_state->m_next_discover = active_now;
    }
}

void membership::on_discovery_failed(instant now)
{
    const instant retry_at = now - m_state->m_paused + m_state->jittered(m_state->retry_interval());
    m_state->m_next_discover = std::min(m_state->m_next_discover, retry_at);
}

void membership::on_table_restored(instant now)
{
    m_state->register_soon(now - m_state->m_paused);
}

void membership::tick(instant now, std::vector<member_action>& actions)
{
    const instant active_now = m_state->observe(now, actions);
    m_state->run(active_now, actions);
}

instant membership::next_tick() const
{
    if (!m_state->m_started) {
        return instant{};
    }
    const instant next = m_state->next_deadline();
    return next == instant::max() ? next : next + m_state->m_paused;
}

void membership::set_target(instant now, target_state target, const service_name& service,
                            std::uint32_t slots, std::vector<member_action>& actions)
{
    const instant active_now = m_state->observe(now, actions);
    member_record& self = m_state->m_self;
    if (self.m_target == target && self.m_service == service && self.m_slots == slots) {
        return;
    }
    self.m_target = target;
    self.m_service = service;
    self.m_slots = slots;
    m_state->increment_own_version();
    m_state->send_own_record(announce_fan_out, actions);
    m_state->add_rumour(active_now, self.m_node, urgency::high);
}

void membership::set_revision(instant now, revision in_force, std::vector<member_action>& actions)
{
    static_cast<void>(m_state->observe(now, actions));
    if (m_state->m_self.m_revision < in_force) {
        m_state->m_self.m_revision = in_force;
        m_state->send_own_revision(revision_fan_out, actions);
    }
}

void membership::add_table_contacts(const table_contacts& contacts)
{
    m_state->m_contacts.merge(contacts);
}

const table_contacts& membership::contacts() const
{
    return m_state->m_contacts;
}

void membership::leave(instant now, std::vector<member_action>& actions)
{
    const instant active_now = m_state->observe(now, actions);
    member_record& self = m_state->m_self;
    if (self.m_state == member_state::left) {
        return;
    }
    self.m_state = member_state::left;
    m_state->increment_own_version();
    m_state->send_own_record(leave_fan_out, actions);
    actions.emplace_back(member_register{"member/" + self.m_node.m_value, {}, true});
    m_state->m_leave_repeats = leave_repeats;
    m_state->m_leave_at = active_now + leave_repeat_interval;
}

const member_record& membership::self() const
{
    return m_state->m_self;
}

const member_record* membership::find(const node_id& node) const
{
    const member_entry* const member = m_state->m_table.find(node);
    return member == nullptr ? nullptr : &member->m_record;
}

std::vector<member_record> membership::members() const
{
    return m_state->m_table.list();
}

bool membership::has_joined(instant now) const
{
    const state& self = *m_state;
    const bool is_timed_out =
        self.m_listed_at && now - self.m_paused - *self.m_listed_at >= self.m_settings.m_join_timeout;
    return self.m_was_contacted || is_timed_out;
}

bool membership::is_discoverable() const
{
    return m_state->m_is_discoverable;
}

bool membership::likely_isolated(instant now) const
{
    static_cast<void>(now);
    return m_state->m_isolated;
}

} // namespace waxwing
