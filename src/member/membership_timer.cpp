/** @file membership_timer.cpp What membership does at its deadlines. */
#include "member/membership_state.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr duration pause_threshold = std::chrono::milliseconds(500); ///< A tick later than this was a pause.
constexpr duration lonely_discover_interval = std::chrono::seconds(5); ///< While no member is known.
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
        const instant running = now;
        m_next_probe = running;
        m_next_dead_probe = running + jittered(dead_probe_interval);
        m_next_pull = running + rumour_delay;
        m_next_register = running;
        m_next_discover = running;
        m_rumour_refill = running;
        m_self_rumour = true;
        return running;
    }
    const duration late = now - m_paused - next_deadline();
    if (late <= pause_threshold) {
        return now - m_paused;
    }
    m_paused += late;
    m_health = std::min(m_health + 1, max_health);
    const instant running = now - m_paused;
    if (late >= m_settings.m_suspicion_timeout / 2 && m_self.m_state == member_state::alive) {
        refute(running, m_self.m_version);
        m_next_pull = running;
        send_own_record(m_settings.m_indirect_probes, out);
    }
    return running;
}

instant membership::state::next_deadline() const
{
    if (m_self.m_state == member_state::left) {
        return m_leave_at;
    }
    instant next = std::min(
        {m_next_probe, m_next_dead_probe, m_next_pull, m_next_register, m_next_discover, m_rumour_at});
    for (const pending_probe& probe : m_probes) {
        next = std::min(next, probe.m_indirect ? probe.m_end : probe.m_indirect_at);
    }
    if (!m_suspicions.empty()) {
        next = std::min(next, m_suspicions.front().m_at);
    }
    if (!m_removals.empty()) {
        next = std::min(next, m_removals.front().m_at);
    }
    return next;
}

void membership::state::run(instant running, actions& out)
{
    if (m_self.m_state == member_state::left) {
        repeat_leave(running, out);
        return;
    }
    check_probes(running, out);
    expire_suspicions(running, out);
    expire_removals(running, out);
    expire_losses(running);
    if (running >= m_next_probe) {
        m_next_probe = running + jittered(m_settings.m_probe_interval);
        probe_next(running, out);
    }
    if (running >= m_next_dead_probe) {
        m_next_dead_probe = running + jittered(dead_probe_interval);
        probe_dead(out);
    }
    if (running >= m_next_pull) {
        pull_from_any(running, out);
    }
    if (running >= m_next_register) {
        register_row(running, out);
    }
    if (running >= m_next_discover) {
        discover(running, out);
    }
    if (running >= m_rumour_at) {
        send_rumours(running, out);
    }
}

void membership::state::register_row(instant running, actions& out)
{
    m_next_register = running + jittered(m_settings.m_register_interval);
    out.emplace_back(member_register{"member/" + m_self.m_node.m_value, encode_row(m_self), false});
}

void membership::state::discover(instant running, actions& out)
{
    const bool lonely = m_table.reachable() == 0;
    const duration interval = lonely ? std::min(lonely_discover_interval, m_settings.m_discover_interval)
                                     : m_settings.m_discover_interval;
    m_next_discover = running + jittered(interval);
    out.emplace_back(member_discover{"member/"});
}

void membership::state::expire_removals(instant running, actions& out)
{
    while (!m_removals.empty() && running >= m_removals.front().m_at) {
        const member_deadline due = m_removals.front();
        m_removals.pop_front();
        member_entry* const member = m_table.find(due.m_node);
        if (member == nullptr) {
            continue;
        }
        member->m_removal_queued = false;
        if (is_reachable(member->m_record.m_state)) {
            continue;
        }
        const instant gone_long = member->m_gone + m_settings.m_dead_retention;
        const bool has_row = member->m_row_seen != instant{} &&
                             running - member->m_row_seen < 3 * m_settings.m_discover_interval;
        if (running >= gone_long && !has_row) {
            forget(*member);
            continue;
        }
        // Forgotten while its row is there, it would come back as a new member.
        if (running >= gone_long &&
            m_random() % (m_table.reachable() + 1) == 0) { // One node of all removes it.
            out.emplace_back(member_register{"member/" + due.m_node.m_value, {}, true});
        }
        member->m_removal_queued = true;
        m_removals.push_back({running >= gone_long ? running + m_settings.m_dead_retention : gone_long,
                              due.m_node, due.m_incarnation, due.m_version});
    }
    judge_isolation();
}

void membership::state::repeat_leave(instant running, actions& out)
{
    if (running < m_leave_at) {
        return;
    }
    send_own_record(leave_fan_out, out);
    --m_leave_repeats;
    m_leave_at = m_leave_repeats > 0 ? running + leave_repeat_interval : instant::max();
}

} // namespace waxwing
