/** @file watch_election.cpp Election of the nodes that watch the platform's table for the whole fleet. */
#include "member/watch_election_base.h"

#include "member/member_table_base.h"

#include <algorithm>

namespace waxwing {

watch_election::watch_election(const node_id& self, data_centre_name own_data_centre,
                               const watch_settings& settings)
    : m_self(hash_of(self), self), m_own_data_centre(std::move(own_data_centre)), m_settings(settings)
{
}

void watch_election::put(const member_record& member)
{
    const rank member_rank(hash_of(member.m_node), member.m_node);
    for (auto& [data_centre, ranking] : m_other_rankings) {
        ranking.erase(member_rank);
    }
    if (member.m_state == member_state::alive && member.m_data_centre != m_own_data_centre) {
        m_other_rankings[member.m_data_centre].insert(member_rank);
    }
    // A suspect may be unable to watch. If it still does, there is a watcher too many until it refutes.
    if (member.m_state == member_state::alive && member.m_data_centre == m_own_data_centre) {
        m_ranking.insert(member_rank);
    }
    else {
        m_ranking.erase(member_rank);
    }
}

bool watch_election::is_elected() const
{
    std::size_t better_count = 0;
    for (auto each = m_ranking.begin(); each != m_ranking.end() && *each < m_self; ++each) {
        if (++better_count >= m_settings.m_watchers_per_data_centre) {
            return false;
        }
    }
    return true;
}

std::vector<node_id> watch_election::near_watchers() const
{
    std::vector<node_id> watchers;
    append_first(m_ranking, m_settings.m_watchers_per_data_centre - (is_elected() ? 1 : 0), watchers);
    return watchers;
}

std::vector<node_id> watch_election::far_watchers() const
{
    std::vector<node_id> watchers;
    for (const auto& [data_centre, ranking] : m_other_rankings) {
        append_first(ranking, m_settings.m_watchers_per_data_centre, watchers);
    }
    return watchers;
}

/** Appends the nodes of the first @p count ranks of @p ranking to @p nodes. */
void watch_election::append_first(const std::set<rank>& ranking, std::size_t count,
                                  std::vector<node_id>& nodes)
{
    for (auto each = ranking.begin(); each != ranking.end() && count > 0; ++each, --count) {
        nodes.push_back(each->second);
    }
}

bool watch_election::update(instant now, bool is_isolated)
{
    m_started_at = m_started_at.value_or(now);
    if (!is_elected()) {
        m_elected_since.reset();
    }
    else if (!m_elected_since) {
        m_elected_since = now;
    }
    const instant settled_at = m_elected_since ? *m_elected_since + m_settings.m_start_delay : instant::max();
    const instant silent_at = m_heard_at.value_or(*m_started_at) + m_settings.m_silence_timeout;
    m_next_update = instant::max();
    for (const instant change : {settled_at, silent_at}) {
        m_next_update = change > now ? std::min(m_next_update, change) : m_next_update;
    }
    return settled_at <= now || silent_at <= now || is_isolated;
}

} // namespace waxwing
