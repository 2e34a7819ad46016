/** @file watch_election_base.h Election of the nodes that watch the platform's table for the whole fleet. */
#ifndef WAXWING_MEMBER_WATCH_ELECTION_BASE_H
#define WAXWING_MEMBER_WATCH_ELECTION_BASE_H

#include "member/member_type.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwing {

/** Number of watchers and timeouts of the election. */
struct watch_settings {
    std::size_t m_watchers_per_data_centre = 3; ///< With two of them lost, one still informs the others.
    /** Delay before a node starts to watch, in which it learns of other members. */
    duration m_start_delay = std::chrono::milliseconds(500);
    /** A node that has received nothing from others for this long watches by itself. In an undisturbed fleet
     * each node receives two messages a second. */
    duration m_silence_timeout = std::chrono::milliseconds(2500);
};

/**
 * Decides whether one node watches the platform's table, so that the calls to it grow with the data centres
 * and not with the nodes; the other nodes learn of changes by gossip. All nodes rank the members of a data
 * centre by the same hash of their names, so that they agree without messages as far as they agree on who is
 * alive. Disagreement leads to a watcher too many, or to the watchers of other data centres informing this
 * one. Thread safety: none needed; one owner.
 */
class watch_election {
public:
    /** @param self node that decides; it is in the data centre @p own_data_centre. */
    watch_election(const node_id& self, data_centre_name own_data_centre, const watch_settings& settings);

    /** Records the present state of a member other than the node itself. */
    void put(const member_record& member);

    /** Records that a message of another member has arrived. */
    void on_message(instant now) { m_heard_at = now; }

    /** Decides anew. @param is_isolated whether the node is probably cut off from the others.
     * @return whether the node has to watch. */
    bool update(instant now, bool is_isolated);

    /** Returns the other nodes that are elected in the own data centre. */
    std::vector<node_id> near_watchers() const;

    /** Returns the nodes that are elected in other data centres. */
    std::vector<node_id> far_watchers() const;

    /** Returns when update has to be called again if nothing else happens. */
    instant next_update() const { return m_next_update; }

private:
    using rank = std::pair<std::uint64_t, node_id>;

    bool is_elected() const;
    static void append_first(const std::set<rank>& ranking, std::size_t count, std::vector<node_id>& nodes);

    rank m_self;
    data_centre_name m_own_data_centre;
    watch_settings m_settings;
    std::set<rank> m_ranking; ///< Alive members of the own data centre, without the node itself.
    std::map<data_centre_name, std::set<rank>> m_other_rankings; ///< Alive members of other data centres.
    std::optional<instant> m_heard_at;                           ///< When the last message arrived.
    std::optional<instant> m_started_at;                         ///< Time of the first call to update.
    std::optional<instant> m_elected_since; ///< Since when the node has been elected without a break.
    instant m_next_update{};                ///< When time alone may change the decision.
};

} // namespace waxwing

#endif
