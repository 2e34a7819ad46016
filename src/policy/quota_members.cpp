/** @file quota_members.cpp Which nodes may own shards. */
#include "policy/quota_members_base.h"

namespace waxwing {

quota_members::quota_members(node_id self) : m_self(std::move(self))
{
    m_members.emplace(m_self, std::nullopt);
}

bool quota_members::put(boot_instant now, const node_id& node, quota_presence presence)
{
    if (node == m_self) {
        return false;
    }
    const auto position = m_members.find(node);
    const bool known = position != m_members.end();
    const bool was_alive = known && !position->second.has_value();
    if (presence == quota_presence::left || (!known && presence == quota_presence::dead)) {
        m_alive -= was_alive ? 1 : 0;
        const bool removed = known && m_members.erase(node) > 0;
        update_majority(now);
        return removed;
    }
    if (!known && m_members.size() >= max_members) {
        return false;
    }
    if (presence == quota_presence::alive) {
        m_alive += was_alive ? 0 : 1;
        m_members[node] = std::nullopt;
    }
    else if (was_alive) {
        --m_alive;
        position->second = now;
    }
    update_majority(now);
    return !known;
}

void quota_members::set_isolated(boot_instant now, bool is_isolated)
{
    m_isolated = is_isolated;
    update_majority(now);
}

std::vector<node_id> quota_members::remove_dead(boot_instant now)
{
    std::vector<node_id> removed;
    if (!has_majority() || m_alive == m_members.size()) {
        return removed;
    }
    for (const auto& [node, died_at] : m_members) {
        if (died_at.has_value() && now - *died_at >= dead_duration) {
            removed.push_back(node);
        }
    }
    for (const node_id& node : removed) {
        m_members.erase(node);
    }
    return removed;
}

void quota_members::restart_dead(boot_instant now)
{
    for (auto& [node, died_at] : m_members) {
        if (died_at.has_value()) {
            died_at = now;
        }
    }
}

bool quota_members::may_grant(boot_instant now) const
{
    return !m_minority_since.has_value() || now - *m_minority_since < minority_duration;
}

bool quota_members::is_alive(const node_id& node) const
{
    const auto position = m_members.find(node);
    return position != m_members.end() && !position->second.has_value();
}

std::vector<node_id> quota_members::nodes() const
{
    std::vector<node_id> listed;
    listed.reserve(m_members.size());
    for (const auto& [node, died_at] : m_members) {
        listed.push_back(node);
    }
    return listed;
}

void quota_members::update_majority(boot_instant now)
{
    if (has_majority() && m_minority_since.has_value()) {
        m_minority_since.reset();
        restart_dead(now);
    }
    else if (!has_majority() && !m_minority_since.has_value()) {
        m_minority_since = now;
    }
}

} // namespace waxwing
