/** @file watch_election.cpp Election of the nodes that watch the platform's table for the whole fleet. */
#include "member/watch_election_base.h"

#include "member/member_table_base.h"

#include <algorithm>
#include <bit>

namespace waxwing {

watch_election::watch_election(const node_id& self, data_centre_name own_data_centre,
                               const watch_settings& settings, std::uint64_t seed)
    : m_self(hash_of(self), self), m_own_data_centre(std::move(own_data_centre)), m_settings(settings),
      m_random(seed)
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

std::size_t watch_election::alive_count() const
{
    std::size_t count = 1 + m_ranking.size();
    for (const auto& [data_centre, ranking] : m_other_rankings) {
        count += ranking.size();
    }
    return count;
}

duration watch_election::contact_timeout() const
{
    return m_settings.m_contact_timeout + static_cast<std::int64_t>(std::bit_width(alive_count())) *
                                              m_settings.m_contact_timeout_per_doubling;
}

/** Makes m_next_update no later than @p change, if that is in the future. */
void watch_election::update_at(instant now, instant change)
{
    m_next_update = change > now ? std::min(m_next_update, change) : m_next_update;
}

watch_action watch_election::update(instant now, bool is_isolated, const table_contacts& contacts)
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
    update_at(now, settled_at);
    update_at(now, silent_at);
    if (settled_at <= now || silent_at <= now || is_isolated) {
        m_attempt_at.reset();
        m_substitute_since.reset();
        return watch_action::watch;
    }
    return replace_watchers(now, contacts);
}

/** Decides for a node that is not elected and in touch with the others. */
watch_action watch_election::replace_watchers(instant now, const table_contacts& contacts)
{
    const instant stale_at = contacts.m_any.value_or(*m_started_at) + contact_timeout();
    update_at(now, stale_at);
    const bool is_watched = now < stale_at;
    if (m_substitute_since) {
        const bool is_relieved = contacts.m_elected > m_substitute_since;
        if (is_watched && !is_relieved) {
            return watch_action::watch;
        }
        m_substitute_since.reset();
    }
    if (is_watched) {
        m_attempt_at.reset();
        m_failed_attempts = 0;
        return watch_action::none;
    }
    if (m_is_attempting) {
        return watch_action::none;
    }
    if (!m_attempt_at) {
        m_attempt_at = now + draw_attempt_delay();
    }
    if (now < *m_attempt_at) {
        update_at(now, *m_attempt_at);
        return watch_action::none;
    }
    m_attempt_at.reset();
    m_is_attempting = true;
    return watch_action::attempt;
}

void watch_election::on_attempt(instant now, bool has_succeeded)
{
    m_is_attempting = false;
    if (has_succeeded) {
        m_substitute_since = now;
        return;
    }
    m_failed_attempts = std::min(m_failed_attempts + 1, m_settings.m_max_window_doublings);
}

/** Returns the delay of the next attempt, such that all nodes together make m_attempts_per_second. */
duration watch_election::draw_attempt_delay()
{
    const duration window =
        std::max(m_settings.m_min_attempt_window,
                 duration(std::chrono::seconds(alive_count())) / m_settings.m_attempts_per_second);
    std::uniform_int_distribution<duration::rep> distribution(0,
                                                              (window * (1U << m_failed_attempts)).count());
    return duration(distribution(m_random));
}

} // namespace waxwing
