/** @file membership_merge.cpp Merging of received updates into the table of members. */
#include "member/membership_state.h"

#include <algorithm>
#include <bit>

namespace waxwing {

namespace {

constexpr duration loss_window = std::chrono::seconds(10); ///< Losses within this window count as one event.
constexpr int min_isolation_failures = 6; ///< Failures among the last eight probes that indicate isolation.

/** Returns whether an update supersedes @p current: it has a later incarnation or version, or a worse state
 * of the same version. */
bool is_newer(const member_record& current, incarnation update_incarnation, std::uint64_t version,
              member_state state)
{
    if (update_incarnation != current.m_incarnation) {
        return current.m_incarnation < update_incarnation;
    }
    return version != current.m_version ? version > current.m_version : state > current.m_state;
}

/** Returns how fast the change from @p current to @p next must reach all members. */
urgency urgency_of(const member_record& current, const member_record& next)
{
    const bool stops = current.m_target == target_state::ready && next.m_target != target_state::ready;
    if (stops || next.m_state == member_state::left) {
        return urgency::high;
    }
    const bool differs = current.m_target != next.m_target || current.m_incarnation != next.m_incarnation ||
                         current.m_state != next.m_state;
    return differs && next.m_state != member_state::dead ? urgency::normal : urgency::none;
}

/** Returns whether a change to @p record from @p source is forwarded. Alive records from rows and pages are
 * not, as the other members receive those by the same means. */
bool is_forwarded(gossip_source source, const member_record& record)
{
    const bool reaches_all = source == gossip_source::page || source == gossip_source::row;
    return !reaches_all || record.m_state != member_state::alive;
}

/** Returns the source of the items in a message of @p kind. */
gossip_source source_of(gossip_kind kind)
{
    if (kind == gossip_kind::rumour) {
        return gossip_source::rumour;
    }
    return kind == gossip_kind::page ? gossip_source::page : gossip_source::piggyback;
}

} // namespace

/** Takes over the contacts with the platform's table that @p message reports. */
void membership::state::merge_contacts(instant now, const gossip_message& message)
{
    if (!message.m_contact_ages) {
        return;
    }
    const auto contact_at = [now](std::uint32_t age_ms) {
        return age_ms < max_contact_age_ms ? std::optional(now - std::chrono::milliseconds(age_ms))
                                           : std::nullopt;
    };
    m_contacts.merge(
        {contact_at(message.m_contact_ages->m_any_ms), contact_at(message.m_contact_ages->m_elected_ms)});
}

bool membership::state::merge_items(instant active_now, const gossip_message& message, actions& out)
{
    const gossip_source source = source_of(message.m_kind);
    bool changed = false;
    if (message.m_from) {
        changed = merge_record(active_now, *message.m_from, gossip_source::direct, out);
    }
    for (const gossip_item& item : message.m_items) {
        if (const auto* record = std::get_if<member_record>(&item)) {
            changed = merge_record(active_now, *record, source, out) || changed;
        }
        else if (const auto* claim = std::get_if<member_claim>(&item)) {
            changed = merge_claim(active_now, *claim, source, out) || changed;
        }
        else {
            merge_revision(std::get<revision_note>(item), out);
        }
    }
    return changed;
}

bool membership::state::merge_record(instant active_now, const member_record& update, gossip_source source,
                                     actions& out)
{
    if (update.m_node == m_self.m_node) {
        merge_own_record(active_now, update);
        return false;
    }
    member_entry* const member = m_table.find(update.m_node);
    if (member == nullptr) {
        return add_member(active_now, update, source, out);
    }
    const member_record& current = member->m_record;
    if (!is_newer(current, update.m_incarnation, update.m_version, update.m_state)) {
        merge_revision({update.m_node, update.m_incarnation, update.m_revision}, out);
        return false;
    }
    member_record next = update;
    if (next.m_incarnation == current.m_incarnation) {
        next.m_revision = std::max(next.m_revision, current.m_revision);
    }
    if (next.m_state == member_state::dead && is_reachable(current.m_state)) {
        // Each node waits for its own suspicion timeout, so that a member declared dead by another part of
        // the fleet can refute.
        next.m_state = member_state::suspect;
        if (!is_newer(current, next.m_incarnation, next.m_version, next.m_state)) {
            return false;
        }
    }
    change(active_now, *member, next, source, out);
    return true;
}

bool membership::state::merge_claim(instant active_now, const member_claim& claim, gossip_source source,
                                    actions& out)
{
    if (claim.m_node == m_self.m_node) {
        member_record update = m_self;
        update.m_incarnation = claim.m_incarnation;
        update.m_version = claim.m_version;
        update.m_state = claim.m_state;
        if (claim.m_incarnation == m_self.m_incarnation) {
            merge_own_record(active_now, update);
        }
        return false;
    }
    const member_entry* const member = m_table.find(claim.m_node);
    if (member == nullptr || member->m_record.m_incarnation != claim.m_incarnation) {
        return false;
    }
    const bool leaves = claim.m_state == member_state::left && claim.m_version > member->m_record.m_version;
    if (claim.m_version != member->m_record.m_version && !leaves) {
        return false; // The record of that version arrives separately.
    }
    member_record update = member->m_record;
    update.m_version = claim.m_version;
    update.m_state = claim.m_state;
    return merge_record(active_now, update, source, out);
}

bool membership::state::merge_revision(const revision_note& note, actions& out)
{
    member_entry* const member = m_table.find(note.m_node);
    if (member == nullptr || member->m_record.m_incarnation != note.m_incarnation ||
        !(member->m_record.m_revision < note.m_revision)) {
        return false;
    }
    member->m_record.m_revision = note.m_revision;
    queue_note(*member);
    out.emplace_back(member_revision{note.m_node, note.m_revision});
    return true;
}

bool membership::state::add_member(instant active_now, const member_record& update, gossip_source source,
                                   actions& out)
{
    if (!is_reachable(update.m_state) || !ensure_capacity()) {
        return false;
    }
    member_entry& member = m_table.insert(update);
    member.m_changed_at = active_now;
    if (m_self_rumour) {
        add_rumour(active_now, m_self.m_node, urgency::normal);
    }
    if (m_table.size() == 1) {
        m_next_pull = std::min(m_next_pull, active_now + rumour_delay);
    }
    on_state_change(active_now, member, member_state::alive);
    if (is_forwarded(source, update)) {
        queue_change(member);
    }
    if (source == gossip_source::rumour) {
        add_rumour(active_now, update.m_node, urgency::normal);
    }
    out.emplace_back(member_change{update});
    return true;
}

void membership::state::merge_own_record(instant active_now, const member_record& update)
{
    if (m_self.m_state == member_state::left || update.m_incarnation < m_self.m_incarnation) {
        return;
    }
    if (m_self.m_incarnation < update.m_incarnation) {
        if (update.m_gossip != m_self.m_gossip) {
            return; // Another process started later under the same name.
        }
        m_table.toggle_digest(m_self);
        // An earlier process of this node had a clock that was ahead.
        m_self.m_incarnation = {update.m_incarnation.m_value + 1};
        m_table.toggle_digest(m_self);
        refute(active_now, m_self.m_version);
        return;
    }
    const bool reported_unreachable =
        update.m_state != member_state::alive && update.m_version >= m_self.m_version;
    if (reported_unreachable && update.m_state == member_state::dead) {
        register_soon(active_now); // The other nodes may have deleted the row.
    }
    if (reported_unreachable || update.m_version > m_self.m_version) {
        refute(active_now, update.m_version);
    }
}

void membership::state::refute(instant active_now, std::uint64_t superseded_version)
{
    m_table.toggle_digest(m_self);
    m_self.m_version = superseded_version + 1;
    m_table.toggle_digest(m_self);
    add_rumour(active_now, m_self.m_node, urgency::normal);
}

void membership::state::change(instant active_now, member_entry& member, const member_record& next,
                               gossip_source source, actions& out)
{
    const member_state before = member.m_record.m_state;
    const urgency level = urgency_of(member.m_record, next);
    const bool new_life = member.m_record.m_incarnation != next.m_incarnation;
    m_table.replace(member, next);
    member.m_changed_at = active_now;
    if (before != next.m_state || new_life || next.m_state != member_state::alive) {
        on_state_change(active_now, member, before);
    }
    // Not forwarded, as the suspicion expires on every node.
    const bool suspicion_expired = source == gossip_source::local && next.m_state == member_state::dead;
    if (is_forwarded(source, next) && !suspicion_expired) {
        queue_change(member);
        add_rumour(active_now, next.m_node, level);
    }
    out.emplace_back(member_change{member.m_record});
}

void membership::state::on_state_change(instant active_now, member_entry& member, member_state before)
{
    const member_record& record = member.m_record;
    const member_deadline deadline{active_now, record.m_node, record.m_incarnation, record.m_version};
    if (record.m_state == member_state::suspect) {
        m_suspicions.push_back(deadline);
        m_suspicions.back().m_at += m_settings.m_suspicion_timeout;
        if (before == member_state::alive) {
            record_loss(active_now, member);
        }
    }
    else if (record.m_state == member_state::alive) {
        m_recent_losses -= member.m_recently_lost ? 1 : 0;
        member.m_recently_lost = false;
        if (before == member_state::dead) {
            m_next_pull = std::min(m_next_pull, active_now + eager_pull_interval);
        }
    }
    else {
        member.m_gone_at = active_now;
        if (!member.m_removal_queued) {
            member.m_removal_queued = true;
            m_removals.push_back(deadline);
            m_removals.back().m_at += m_settings.m_dead_retention;
        }
    }
    update_isolation();
}

void membership::state::record_loss(instant active_now, member_entry& member)
{
    m_recent_losses += member.m_recently_lost ? 0 : 1;
    member.m_recently_lost = true;
    member.m_lost_at = active_now;
    m_losses.push_back({active_now, member.m_record.m_node, {}, 0});
}

void membership::state::expire_losses(instant active_now)
{
    while (!m_losses.empty() && active_now - m_losses.front().m_at > loss_window) {
        member_entry* const member = m_table.find(m_losses.front().m_node);
        if (member != nullptr && member->m_recently_lost && member->m_lost_at == m_losses.front().m_at) {
            member->m_recently_lost = false;
            --m_recent_losses;
        }
        m_losses.pop_front();
    }
}

void membership::state::forget(member_entry& member)
{
    m_recent_losses -= member.m_recently_lost ? 1 : 0;
    m_table.erase(member);
}

void membership::state::update_isolation()
{
    const std::size_t known_count = m_table.reachable() + m_table.dead();
    const bool half_lost = m_recent_losses > 0 && 2 * m_recent_losses >= m_table.alive() + m_recent_losses;
    const int failures = std::popcount(m_probe_results);
    if (half_lost || failures >= min_isolation_failures) {
        m_isolated = true;
    }
    else if (2 * m_table.alive() > known_count) {
        m_isolated = false;
    }
}

bool membership::state::ensure_capacity()
{
    if (m_table.size() < m_settings.m_member_capacity) {
        return true;
    }
    while (!m_removals.empty()) {
        const member_deadline oldest = m_removals.front();
        m_removals.pop_front();
        member_entry* const member = m_table.find(oldest.m_node);
        if (member == nullptr) {
            continue;
        }
        member->m_removal_queued = false;
        if (!is_reachable(member->m_record.m_state)) {
            forget(*member);
            return true;
        }
    }
    return false;
}

void membership::state::increment_own_version()
{
    m_table.toggle_digest(m_self);
    ++m_self.m_version;
    m_table.toggle_digest(m_self);
}

} // namespace waxwing
