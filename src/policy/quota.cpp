/** @file quota.cpp Limits, members and the request path of quotas. */
#include "policy/quota_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Interval between checks of the members and of the age of grants. */
constexpr duration check_interval = std::chrono::seconds(1);

/** Requests that each shard holds beyond its part of the burst. An organisation may exceed its rate and burst
 * by 20 requests, and one with a small burst sends a few at once although its rate is far below its limit. */
constexpr double spare_burst = 3.0;

/** Returns the limit of each of @p count shards of @p limit. */
quota_limit shard_limit(quota_limit limit, std::size_t count)
{
    const auto shards = static_cast<double>(std::max<std::size_t>(count, 1));
    return {limit.m_rate / shards, limit.m_burst / shards + spare_burst};
}

} // namespace

quota::quota(node_id self, incarnation own_incarnation, boot_instant now)
    : m_self(std::move(self)), m_incarnation(own_incarnation), m_started_at(now), m_ticked_at(now),
      m_members(m_self), m_next_check(now)
{
}

void quota::configure(boot_instant now, const quota_limits& limits, std::vector<quota_action>& actions)
{
    if (m_organisations.empty()) {
        m_ticked_at = now; // Without limits, tick is not called.
        m_next_check = now + check_interval;
    }
    for (auto position = m_organisations.begin(); position != m_organisations.end();) {
        if (limits.contains(position->first)) {
            ++position;
            continue;
        }
        std::vector<quota_wake> wakes;
        position->second.m_account.wake_all({quota_outcome::granted, boot_instant::max(), rule::none, {}},
                                            wakes);
        actions.insert(actions.end(), wakes.begin(), wakes.end());
        position = m_organisations.erase(position);
    }
    for (const auto& [name, limit] : limits) {
        const auto [position, is_new] = m_organisations.try_emplace(name, name, limit);
        organisation_state& organisation = position->second;
        if (is_new) {
            for (const node_id& node : m_members.nodes()) {
                organisation.m_owners.add(node);
            }
            update_shard(std::max(now, m_started_at + start_delay), organisation, 0);
        }
        else if (organisation.m_limit != limit) {
            organisation.m_limit = limit;
            if (organisation.m_shard.has_value()) {
                organisation.m_shard->configure(now,
                                                shard_limit(limit, organisation.m_owners.nodes().size()));
            }
        }
    }
}

void quota::on_member(boot_instant now, const node_id& node, quota_presence presence)
{
    const bool has_changed = m_members.put(now, node, presence);
    if (has_changed && presence == quota_presence::alive) {
        add_node(now, node);
    }
    else if (has_changed) {
        remove_node(now, node);
    }
    check_members(now);
}

void quota::on_isolation(boot_instant now, bool is_isolated)
{
    m_members.set_isolated(now, is_isolated);
    check_members(now);
}

void quota::add_node(boot_instant now, const node_id& node)
{
    for (auto& [name, organisation] : m_organisations) {
        const std::size_t old_shards = organisation.m_owners.nodes().size();
        if (organisation.m_owners.add(node)) {
            update_shard(now + takeover_delay, organisation, old_shards);
        }
    }
}

void quota::remove_node(boot_instant now, const node_id& node)
{
    m_entries.erase(node);
    m_silent_until.erase(node);
    const std::vector<node_id> nodes = m_members.nodes();
    for (auto& [name, organisation] : m_organisations) {
        const std::size_t old_shards = organisation.m_owners.nodes().size();
        if (organisation.m_owners.remove(node, nodes)) {
            update_shard(now + takeover_delay, organisation, old_shards);
        }
    }
}

/** Creates or removes the own shard of @p organisation after a change of its owners. A shard that was not
 * held before, or whose size has changed, begins empty at @p begin. */
void quota::update_shard(boot_instant begin, organisation_state& organisation, std::size_t old_shards)
{
    if (!organisation.m_owners.owns(m_self)) {
        organisation.m_shard.reset();
        return;
    }
    const std::size_t shards = organisation.m_owners.nodes().size();
    if (!organisation.m_shard.has_value() || shards != old_shards) {
        organisation.m_shard.emplace(shard_limit(organisation.m_limit, shards), begin);
    }
}

void quota::reset_shards(boot_instant begin)
{
    for (auto& [name, organisation] : m_organisations) {
        if (organisation.m_shard.has_value()) {
            organisation.m_shard->reset(begin);
        }
    }
}

/** Removes members that no longer count. After a time in which this node might not grant, or did not run,
 * other nodes may have taken its shards over, so it begins as after a take-over. */
void quota::check_members(boot_instant now)
{
    const bool was_frozen = !m_organisations.empty() && now - m_ticked_at >= freeze_duration;
    const bool might_grant = m_may_grant;
    m_may_grant = m_members.may_grant(now);
    if (was_frozen || (m_may_grant && !might_grant)) {
        reset_shards(now + takeover_delay);
    }
    if (was_frozen) {
        m_members.restart_dead(now);
    }
    m_ticked_at = now;
    for (const node_id& node : m_members.remove_dead(now)) {
        remove_node(now, node);
    }
}

bool quota::may_grant(boot_instant now) const
{
    const bool is_alone = m_members.size() == 1;
    const bool knows_fleet = m_discovered_at && now - *m_discovered_at >= lone_start_delay;
    return m_members.may_grant(now) && (!is_alone || knows_fleet);
}

quota_decision quota::take(boot_instant now, const organisation_name& organisation, std::uint64_t waiter)
{
    const auto position = m_organisations.find(organisation);
    if (position == m_organisations.end()) {
        return {quota_outcome::granted, boot_instant::max(), rule::none, {}};
    }
    const quota_decision decision = position->second.m_account.take(now, waiter);
    if (!position->second.m_pending && position->second.m_account.needs_step(now)) {
        mark_pending(position->first, position->second);
    }
    return decision;
}

void quota::give_back(boot_instant now, const organisation_name& organisation, boot_instant expires_at)
{
    const auto position = m_organisations.find(organisation);
    if (position != m_organisations.end() && expires_at != boot_instant::max()) {
        position->second.m_account.give_back(now, expires_at);
    }
}

void quota::mark_pending(const organisation_name& name, organisation_state& organisation)
{
    if (!organisation.m_pending) {
        organisation.m_pending = true;
        m_pending.push_back(name);
    }
}

void quota::tick(boot_instant now, std::vector<quota_action>& actions)
{
    if (m_organisations.empty()) {
        m_pending.clear();
        m_timeouts.clear();
        return;
    }
    check_members(now);
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= now) {
        const auto position = m_organisations.find(m_timeouts.begin()->second);
        m_timeouts.erase(m_timeouts.begin());
        if (position != m_organisations.end()) {
            mark_pending(position->first, position->second);
        }
    }
    for (const organisation_name& name : std::exchange(m_pending, {})) {
        const auto position = m_organisations.find(name);
        if (position != m_organisations.end()) {
            position->second.m_pending = false;
            step(now, name, position->second, actions);
        }
    }
    flush(actions);
    if (now >= m_next_check) {
        m_next_check = now + check_interval;
        for (auto& [name, organisation] : m_organisations) {
            if (organisation.m_shard.has_value()) {
                organisation.m_shard->forget_grants(now);
            }
        }
        std::erase_if(m_silent_until, [now](const auto& item) { return item.second <= now; });
    }
}

boot_instant quota::next_tick() const
{
    if (m_organisations.empty()) {
        return boot_instant::max();
    }
    if (!m_pending.empty()) {
        return m_ticked_at;
    }
    return m_timeouts.empty() ? m_next_check : std::min(m_next_check, m_timeouts.begin()->first);
}

} // namespace waxwing
