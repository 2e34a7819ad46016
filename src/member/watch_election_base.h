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

/** Number of watchers, timeouts and rates of the election. */
struct watch_settings {
    std::size_t m_watchers_per_data_centre = 3; ///< With two of them lost, one still informs the others.
    /** Delay before a node starts to watch, in which it learns of other members. */
    duration m_start_delay = std::chrono::milliseconds(500);
    /** A node that has received nothing from others for this long watches by itself. In an undisturbed fleet
     * each node receives two messages a second. */
    duration m_silence_timeout = std::chrono::milliseconds(2500);
    /** Age of the last contact of any watcher with the table from which other nodes try to replace the
     * watchers. Those check the table each second, and gossip takes longer in a larger fleet. */
    duration m_contact_timeout = std::chrono::milliseconds(2000);
    duration m_contact_timeout_per_doubling = std::chrono::milliseconds(400); ///< Of the number of members.
    unsigned m_attempts_per_second = 6; ///< First attempts of all nodes together to replace the watchers.
    duration m_min_attempt_window =
        std::chrono::milliseconds(500);  ///< Attempts are spread over it or longer.
    unsigned m_max_window_doublings = 3; ///< The window doubles with each failed attempt of a node.
};

/** What a node has to do about the head row. */
enum class watch_action {
    none,    ///< Others watch it.
    attempt, ///< Read it once, and call watch_election::on_attempt with the outcome.
    watch    ///< Watch it.
};

/**
 * Decides whether one node watches the platform's table, so that the calls to it grow with the data centres
 * and not with the nodes; the other nodes learn of changes by gossip. All nodes rank the members of a data
 * centre by the same hash of their names, so that they agree without messages as far as they agree on who is
 * alive. Disagreement leads to a watcher too many, or to the watchers of other data centres informing this
 * one.
 *
 * A watcher that is alive may not reach the table. So gossip carries when the table last answered any
 * watcher. Once that is too long ago, the other nodes try to read the row, at random times, and one that
 * succeeds watches until an elected node reaches the table again. Thread safety: none needed; one owner.
 */
class watch_election {
public:
    /** @param self node that decides; it is in the data centre @p own_data_centre. @param seed must differ
     * between nodes. */
    watch_election(const node_id& self, data_centre_name own_data_centre, const watch_settings& settings,
                   std::uint64_t seed);

    /** Records the present state of a member other than the node itself. */
    void put(const member_record& member);

    /** Records that a message of another member has arrived. */
    void on_message(instant now) { m_heard_at = now; }

    /** Decides anew. @param is_isolated whether the node is probably cut off from the others. @param contacts
     * latest contacts of all nodes with the table. @return what the node has to do; an attempt only once. */
    watch_action update(instant now, bool is_isolated, const table_contacts& contacts);

    /** Records the outcome of an attempt. @pre update has requested it. */
    void on_attempt(instant now, bool has_succeeded);

    /** Returns whether this node is among the watchers of its data centre. */
    bool is_elected() const;

    /** Returns whether this node watches in place of those that are elected. */
    bool is_substitute() const { return m_substitute_since.has_value(); }

    /** Returns the other nodes that are elected in the own data centre. */
    std::vector<node_id> near_watchers() const;

    /** Returns the nodes that are elected in other data centres. */
    std::vector<node_id> far_watchers() const;

    /** Returns when update has to be called again if nothing else happens. */
    instant next_update() const { return m_next_update; }

    /** Returns the age of the last contact from which the watchers are replaced. */
    duration contact_timeout() const;

private:
    using rank = std::pair<std::uint64_t, node_id>;

    static void append_first(const std::set<rank>& ranking, std::size_t count, std::vector<node_id>& nodes);
    std::size_t alive_count() const;
    watch_action replace_watchers(instant now, const table_contacts& contacts);
    duration draw_attempt_delay();
    void update_at(instant now, instant change);

    rank m_self;
    data_centre_name m_own_data_centre;
    watch_settings m_settings;
    random_source m_random;
    std::set<rank> m_ranking; ///< Alive members of the own data centre, without the node itself.
    std::map<data_centre_name, std::set<rank>> m_other_rankings; ///< Alive members of other data centres.
    std::optional<instant> m_heard_at;                           ///< When the last message arrived.
    std::optional<instant> m_started_at;                         ///< Time of the first call to update.
    std::optional<instant> m_elected_since;    ///< Since when the node has been elected without a break.
    std::optional<instant> m_attempt_at;       ///< When the next attempt is due; none if none is planned.
    bool m_is_attempting = false;              ///< Whether the outcome of an attempt is awaited.
    unsigned m_failed_attempts = 0;            ///< Since a watcher last reached the table.
    std::optional<instant> m_substitute_since; ///< Since when the node has watched after an attempt.
    instant m_next_update{};                   ///< When time alone may change the decision.
};

} // namespace waxwing

#endif
