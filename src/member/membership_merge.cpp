/** @file membership_merge.cpp How what others say changes what a node knows. */
#include "member/membership_state.h"

#include <algorithm>
#include <bit>

namespace waxwing {

namespace {

constexpr duration loss_window = std::chrono::seconds(10); ///< Losses within it are one event.
constexpr int isolating_failures = 6;                      ///< Of the last eight probes.

/** Tells whether @p offered is of a later version than @p held, or says worse of the same one. */
bool is_newer(const member_record& held, incarnation offered_incarnation, std::uint64_t version,
              member_state said)
{
    if (offered_incarnation != held.m_incarnation) {
        return held.m_incarnation < offered_incarnation;
    }
    return version != held.m_version ? version > held.m_version : said > held.m_state;
}

/** Tells how fast the change from @p held to @p next must be known everywhere. */
urgency urgency_of(const member_record& held, const member_record& next)
{
    const bool stops = held.m_target == target_state::ready && next.m_target != target_state::ready;
    if (stops || next.m_state == member_state::left) {
        return urgency::high;
    }
    const bool differs = held.m_target != next.m_target || held.m_incarnation != next.m_incarnation ||
                         held.m_state != next.m_state;
    return differs && next.m_state != member_state::dead ? urgency::normal : urgency::none;
}

/** Tells whether a change to @p record from @p source is passed on; rows and pages reach the others by
 * themselves. */
bool is_passed_on(gossip_source source, const member_record& record)
{
    const bool repaired = source == gossip_source::page || source == gossip_source::row;
    return !repaired || record.m_state != member_state::alive;
}

/** Tells how the items of a message came here. */
gossip_source source_of(gossip_kind kind)
{
    if (kind == gossip_kind::rumour) {
        return gossip_source::rumour;
    }
    return kind == gossip_kind::page ? gossip_source::page : gossip_source::along;
}

} // namespace

bool membership::state::take_items(instant running, const gossip_message& message, actions& out)
{
    const gossip_source source = source_of(message.m_kind);
    bool changed = false;
    if (message.m_from) {
        changed = take_record(running, *message.m_from, gossip_source::direct, out);
    }
    for (const gossip_item& item : message.m_items) {
        if (const auto* record = std::get_if<member_record>(&item)) {
            changed = take_record(running, *record, source, out) || changed;
        }
        else if (const auto* claim = std::get_if<member_claim>(&item)) {
            changed = take_claim(running, *claim, source, out) || changed;
        }
        else {
            take_note(std::get<revision_note>(item), out);
        }
    }
    return changed;
}

bool membership::state::take_record(instant running, const member_record& offered, gossip_source source,
                                    actions& out)
{
    if (offered.m_node == m_self.m_node) {
        take_own(running, offered);
        return false;
    }
    member_entry* const member = m_table.find(offered.m_node);
    if (member == nullptr) {
        return take_new(running, offered, source, out);
    }
    const member_record& held = member->m_record;
    if (!is_newer(held, offered.m_incarnation, offered.m_version, offered.m_state)) {
        take_note({offered.m_node, offered.m_incarnation, offered.m_revision}, out);
        return false;
    }
    member_record next = offered;
    if (next.m_incarnation == held.m_incarnation) {
        next.m_revision = std::max(next.m_revision, held.m_revision);
    }
    if (next.m_state == member_state::dead && is_reachable(held.m_state)) {
        // Each node waits its own suspicion time, so that a member that another part of the fleet gave up may
        // refute.
        next.m_state = member_state::suspect;
        if (!is_newer(held, next.m_incarnation, next.m_version, next.m_state)) {
            return false;
        }
    }
    change(running, *member, next, source, out);
    return true;
}

bool membership::state::take_claim(instant running, const member_claim& claim, gossip_source source,
                                   actions& out)
{
    if (claim.m_node == m_self.m_node) {
        member_record offered = m_self;
        offered.m_incarnation = claim.m_incarnation;
        offered.m_version = claim.m_version;
        offered.m_state = claim.m_state;
        if (claim.m_incarnation == m_self.m_incarnation) {
            take_own(running, offered);
        }
        return false;
    }
    const member_entry* const member = m_table.find(claim.m_node);
    if (member == nullptr || member->m_record.m_incarnation != claim.m_incarnation) {
        return false;
    }
    const bool leaves = claim.m_state == member_state::left && claim.m_version > member->m_record.m_version;
    if (claim.m_version != member->m_record.m_version && !leaves) {
        return false; // The record that is meant comes by itself.
    }
    member_record offered = member->m_record;
    offered.m_version = claim.m_version;
    offered.m_state = claim.m_state;
    return take_record(running, offered, source, out);
}

bool membership::state::take_note(const revision_note& note, actions& out)
{
    member_entry* const member = m_table.find(note.m_node);
    if (member == nullptr || member->m_record.m_incarnation != note.m_incarnation ||
        !(member->m_record.m_revision < note.m_revision)) {
        return false;
    }
    member->m_record.m_revision = note.m_revision;
    queue_note(*member);
    out.emplace_back(member_change{member->m_record});
    return true;
}

bool membership::state::take_new(instant running, const member_record& offered, gossip_source source,
                                 actions& out)
{
    if (!is_reachable(offered.m_state) || !make_room()) {
        return false;
    }
    member_entry& member = m_table.insert(offered);
    member.m_changed = running;
    if (m_self_rumour) {
        add_rumour(running, m_self.m_node, urgency::normal);
    }
    if (m_table.size() == 1) {
        m_next_pull = std::min(m_next_pull, running + rumour_delay);
    }
    note_state_change(running, member, member_state::alive);
    if (is_passed_on(source, offered)) {
        queue_change(member);
    }
    if (source == gossip_source::rumour) {
        add_rumour(running, offered.m_node, urgency::normal);
    }
    out.emplace_back(member_change{offered});
    return true;
}

void membership::state::take_own(instant running, const member_record& offered)
{
    if (m_self.m_state == member_state::left || offered.m_incarnation < m_self.m_incarnation) {
        return;
    }
    if (m_self.m_incarnation < offered.m_incarnation) {
        if (offered.m_gossip != m_self.m_gossip) {
            return; // Another process bears the name and came later.
        }
        m_table.toggle_digest(m_self);
        m_self.m_incarnation = {offered.m_incarnation.m_value + 1}; // An earlier life, with a clock ahead.
        m_table.toggle_digest(m_self);
        refute(running, m_self.m_version);
        return;
    }
    const bool accused = offered.m_state != member_state::alive && offered.m_version >= m_self.m_version;
    if (accused || offered.m_version > m_self.m_version) {
        refute(running, offered.m_version);
    }
}

void membership::state::refute(instant running, std::uint64_t above)
{
    m_table.toggle_digest(m_self);
    m_self.m_version = above + 1;
    m_table.toggle_digest(m_self);
    add_rumour(running, m_self.m_node, urgency::normal);
}

void membership::state::change(instant running, member_entry& member, const member_record& next,
                               gossip_source source, actions& out)
{
    const member_state before = member.m_record.m_state;
    const urgency how = urgency_of(member.m_record, next);
    const bool new_life = member.m_record.m_incarnation != next.m_incarnation;
    m_table.replace(member, next);
    member.m_changed = running;
    if (before != next.m_state || new_life || next.m_state != member_state::alive) {
        note_state_change(running, member, before);
    }
    const bool timed_out =
        source == gossip_source::own && next.m_state == member_state::dead; // As everywhere.
    if (is_passed_on(source, next) && !timed_out) {
        queue_change(member);
        add_rumour(running, next.m_node, how);
    }
    out.emplace_back(member_change{member.m_record});
}

void membership::state::note_state_change(instant running, member_entry& member, member_state before)
{
    const member_record& record = member.m_record;
    const member_deadline deadline{running, record.m_node, record.m_incarnation, record.m_version};
    if (record.m_state == member_state::suspect) {
        m_suspicions.push_back(deadline);
        m_suspicions.back().m_at += m_settings.m_suspicion_timeout;
        if (before == member_state::alive) {
            note_loss(running, member);
        }
    }
    else if (record.m_state == member_state::alive) {
        m_recent_losses -= member.m_recently_lost ? 1 : 0;
        member.m_recently_lost = false;
        if (before == member_state::dead) {
            m_next_pull = std::min(m_next_pull, running + eager_pull_interval);
        }
    }
    else {
        member.m_gone = running;
        if (!member.m_removal_queued) {
            member.m_removal_queued = true;
            m_removals.push_back(deadline);
            m_removals.back().m_at += m_settings.m_dead_retention;
        }
    }
    judge_isolation();
}

void membership::state::note_loss(instant running, member_entry& member)
{
    m_recent_losses += member.m_recently_lost ? 0 : 1;
    member.m_recently_lost = true;
    member.m_lost = running;
    m_losses.push_back({running, member.m_record.m_node, {}, 0});
}

void membership::state::expire_losses(instant running)
{
    while (!m_losses.empty() && running - m_losses.front().m_at > loss_window) {
        member_entry* const member = m_table.find(m_losses.front().m_node);
        if (member != nullptr && member->m_recently_lost && member->m_lost == m_losses.front().m_at) {
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

void membership::state::judge_isolation()
{
    const std::size_t known = m_table.reachable() + m_table.dead();
    const bool half_lost = m_recent_losses > 0 && 2 * m_recent_losses >= m_table.alive() + m_recent_losses;
    const int failures = std::popcount(m_probe_results);
    if (half_lost || failures >= isolating_failures) {
        m_isolated = true;
    }
    else if (2 * m_table.alive() > known) {
        m_isolated = false;
    }
}

bool membership::state::make_room()
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

void membership::state::bump_self()
{
    m_table.toggle_digest(m_self);
    ++m_self.m_version;
    m_table.toggle_digest(m_self);
}

} // namespace waxwing
