/** @file spread_state_base.h State of the distribution; private to the config library. */
#ifndef WAXWING_CONFIG_SPREAD_STATE_BASE_H
#define WAXWING_CONFIG_SPREAD_STATE_BASE_H

#include "config/spread_base.h"
#include "config/spread_message_func.h"

#include <deque>
#include <map>

namespace waxwing {

/** Delay after the first failure of a peer or of a spread_restore. */
inline constexpr duration spread_base_backoff = std::chrono::milliseconds(500);

/** Longest delay after failures. */
inline constexpr duration spread_max_backoff = std::chrono::seconds(20);

/** A revision that is or was in force on this node. */
struct stored_revision {
    revision_info m_info; ///< Its number and origin.
    std::string m_text;   ///< Its configuration.
};

/** State of a peer. */
struct spread_peer {
    revision m_newest;                        ///< The newest revision that it has reported.
    instant m_not_before{};                   ///< Earliest time of the next request to it.
    duration m_backoff = spread_base_backoff; ///< Delay after the next failure.
};

/** A delta that has been requested from a peer. */
struct delta_fetch {
    node_id m_peer;                              ///< The peer.
    instant m_deadline;                          ///< Time at which the request times out.
    std::optional<spread_page> m_first_page;     ///< The first page received, without its data.
    std::map<std::uint32_t, std::string> m_data; ///< Received data by page number.
};

/** An object that has been requested from the object store. */
struct object_fetch {
    revision_info m_info; ///< The revision that it holds.
    instant m_deadline;   ///< Time after which it may be requested again.
};

/** State of the distribution on one node. */
struct spread::state {
    spread_settings m_settings;                 ///< Intervals and limits.
    random_source m_random;                     ///< Random source for jitter and the choice of peers.
    std::deque<stored_revision> m_revisions;    ///< Recent revisions; the last one is in force.
    std::size_t m_revision_bytes = 0;           ///< Total size of their configurations, in bytes.
    revision m_unreadable;                      ///< The highest revision that this version can't parse.
    std::map<node_id, spread_peer> m_peers;     ///< Peers, evicted beyond peer_limit.
    std::vector<delta_fetch> m_fetches;         ///< Open requests to peers; at most fetch_limit.
    std::optional<object_fetch> m_object_fetch; ///< Open request to the object store.
    instant m_next_poll_at;                     ///< Time of the next read of the head row.
    instant m_polled_at{};                      ///< Time of the last read of the head row.
    bool m_is_watching = false;                 ///< Whether this node watches the head row.
    bool m_fetch_failed = false;                ///< Whether a peer failed to deliver the revision needed now.
    instant m_window_since;                     ///< Start of the current rate limit window.
    unsigned m_answers = 0;                     ///< Requests from peers in this window.
    bool m_is_restoring = false;                ///< Whether a spread_restore is being performed.
    instant m_restore_not_before{};             ///< Earliest time of the next spread_restore.
    duration m_restore_backoff = spread_base_backoff; ///< Delay after the next spread_restore.

    revision in_force() const
    {
        return m_revisions.empty() ? revision{} : m_revisions.back().m_info.m_revision;
    }
    bool is_needed(revision number) const;
    duration jitter(duration mean);
    duration poll_interval();
    const std::string* find_text(revision number) const;
    void apply_revision(instant now, const revision_info& info, std::string text,
                        std::vector<spread_action>& actions);
    void request_from_peers(instant now, std::vector<spread_action>& actions);
    void send_request(instant now, const node_id& peer, revision base, std::vector<spread_action>& actions);
    void request_from_random_peer(instant now, std::vector<spread_action>& actions);
    void back_off(instant now, const node_id& peer);
    void poll_soon(instant now);
    spread_peer* find_or_add_peer(const node_id& peer);
    void on_message(instant now, const node_id& peer, const spread_request& message,
                    std::vector<spread_action>& actions);
    void on_message(instant now, const node_id& peer, const spread_no_update& message,
                    std::vector<spread_action>& actions);
    void on_message(instant now, const node_id& peer, const spread_page& message,
                    std::vector<spread_action>& actions);
    void restore_head(instant now, revision head, row_version version, std::vector<spread_action>& actions);
    void finish_fetch(instant now, const delta_fetch& fetch, std::vector<spread_action>& actions);
};

} // namespace waxwing

#endif
