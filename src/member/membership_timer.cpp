/** @file membership_timer.cpp Timers of membership and the work done when they expire. */
#include "member/membership_state.h"

#include <algorithm>

namespace waxwing {

namespace {

/** A call later than this after its deadline means that the process was paused. */
constexpr duration pause_threshold = std::chrono::milliseconds(500);
/** Used while no member is reachable. */
constexpr duration no_peers_discover_interval = std::chrono::seconds(5);
/** Used until this node has found others, or has found itself to be alone: it serves no callers yet. */
constexpr duration joining_interval = std::chrono::seconds(1);
/** Time from the first discovery for which a node without peers repeats it often. */
constexpr duration joining_duration = std::chrono::seconds(10);
constexpr duration dead_probe_interval = std::chrono::seconds(10);

} // namespace

membership::state::state(const member_settings& settings, member_record self, std::uint64_t seed)
    : m_settings(settings), m_self(std::move(self)), m_random(seed), m_sequence(m_random())
{
    m_table.toggle_digest(m_self);
}

duration membership::state::jittered(duration interval)
{
    constexpr double jitter = 0.1;
    const double factor = std::uniform_real_distribution<double>(1 - jitter, 1 + jitter)(m_random);
    return std::chrono::duration_cast<duration>(interval * factor);
}

instant membership::state::observe(instant now, actions& out)
{
    if (!m_started) {
        m_started = true;
        const instant active_now = now;
        m_next_probe = active_now;
        m_next_dead_probe = active_now + jittered(dead_probe_interval);
        m_next_pull = active_now + rumour_delay;
        m_next_register = active_now;
        m_next_discover = active_now;
        m_rumour_refilled_at = active_now;
        m_self_rumour = true;
        return active_now;
    }
    const duration lateness = now - m_paused - next_deadline();
    if (lateness <= pause_threshold) {
        return now - m_paused;
    }
    m_paused += lateness;
    m_health_penalty = std::min(m_health_penalty + 1, max_health_penalty);
    const instant active_now = now - m_paused;
    if (lateness >= m_settings.m_suspicion_timeout / 2 && m_self.m_state == member_state::alive) {
        refute(active_now, m_self.m_version);
        m_next_pull = active_now;
        send_own_record(m_settings.m_indirect_probes, out);
    }
    return active_now;
}

instant membership::state::next_deadline() const
{
    if (m_self.m_state == member_state::left) {
        return m_leave_at;
    }
    instant next = std::min(
        {m_next_probe, m_next_dead_probe, m_next_pull, m_next_register, m_next_discover, m_rumour_at});
    for (const pending_probe& probe : m_probes) {
        next = std::min(next, probe.m_indirect ? probe.m_deadline : probe.m_indirect_at);
    }
    if (!m_suspicions.empty()) {
        next = std::min(next, m_suspicions.front().m_at);
    }
    if (!m_removals.empty()) {
        next = std::min(next, m_removals.front().m_at);
    }
    return next;
}

void membership::state::run(instant active_now, actions& out)
{
    if (m_self.m_state == member_state::left) {
        repeat_leave(active_now, out);
        return;
    }
    check_probes(active_now, out);
    expire_suspicions(active_now, out);
    expire_removals(active_now);
    expire_losses(active_now);
    if (active_now >= m_next_probe) {
        m_next_probe = active_now + jittered(m_settings.m_probe_interval);
        probe_next(active_now, out);
    }
    if (active_now >= m_next_dead_probe) {
        m_next_dead_probe = active_now + jittered(dead_probe_interval);
        probe_dead(out);
    }
    if (active_now >= m_next_pull) {
        pull_from_any(active_now, out);
    }
    if (active_now >= m_next_register) {
        register_row(active_now, out);
    }
    if (active_now >= m_next_discover) {
        discover(active_now, out);
    }
    if (active_now >= m_rumour_at) {
        send_rumours(active_now, out);
    }
}

/** Writes the own row after about the retry interval, as it may be missing from the table. */
void membership::state::register_soon(instant active_now)
{
    m_next_register = std::min(m_next_register, active_now + jittered(m_settings.m_register_retry_interval));
}

/** Returns the delay after a failed call to the platform's table. */
duration membership::state::retry_interval() const
{
    const bool is_joining = m_table.reachable() == 0 && !m_is_discoverable;
    return is_joining ? joining_interval : m_settings.m_register_retry_interval;
}

void membership::state::register_row(instant active_now, actions& out)
{
    m_next_register = active_now + jittered(m_settings.m_register_retry_interval);
    out.emplace_back(member_register{"member/" + m_self.m_node.m_value, encode_row(m_self), false});
}

/** Reads the rows if no member is reachable. Otherwise only some nodes of the fleet do, as the rows then only
 * serve to find a part of the fleet that gossip does not reach: one reader tells the others. */
void membership::state::discover(instant active_now, actions& out)
{
    const bool no_peers = m_table.reachable() == 0;
    const bool is_joining = no_peers && (!m_listed_at || active_now - *m_listed_at < joining_duration);
    duration interval = m_settings.m_discover_interval;
    if (no_peers) {
        interval = std::min(interval, is_joining ? joining_interval : no_peers_discover_interval);
    }
    m_next_discover = active_now + jittered(interval);
    if (no_peers || m_random() % (m_table.reachable() + 1) < m_settings.m_discover_readers) {
        m_is_discovery_complete = m_is_registered;
        out.emplace_back(member_discover{"member/"});
    }
}

void membership::state::expire_removals(instant active_now)
{
    while (!m_removals.empty() && active_now >= m_removals.front().m_at) {
        const member_deadline deadline = m_removals.front();
        m_removals.pop_front();
        member_entry* const member = m_table.find(deadline.m_node);
        if (member == nullptr) {
            continue;
        }
        member->m_removal_queued = false;
        if (is_reachable(member->m_record.m_state)) {
            continue;
        }
        const instant forget_at = member->m_gone_at + m_settings.m_dead_retention;
        if (active_now >= forget_at) {
            forget(*member);
            continue;
        }
        member->m_removal_queued = true;
        m_removals.push_back({forget_at, deadline.m_node, deadline.m_incarnation, deadline.m_version});
    }
    update_isolation();
}

void membership::state::repeat_leave(instant active_now, actions& out)
{
    if (active_now < m_leave_at) {
        return;
    }
    send_own_record(leave_fan_out, out);
    --m_leave_repeats;
    m_leave_at = m_leave_repeats > 0 ? active_now + leave_repeat_interval : instant::max();
}

} // namespace waxwing
