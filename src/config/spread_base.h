/** @file spread_base.h Distribution of revisions to all nodes, from the platform and between peers. */
#ifndef WAXWING_CONFIG_SPREAD_BASE_H
#define WAXWING_CONFIG_SPREAD_BASE_H

#include "config/publication_base.h"

#include <memory>
#include <variant>
#include <vector>

namespace waxwing {

/** Intervals and limits of the distribution. */
struct spread_settings {
    /** Mean interval between reads of the head row by a node that watches it. */
    duration m_poll_interval = std::chrono::seconds(5);
    /** The same for the other nodes, which learn of new revisions from peers. */
    duration m_unwatched_poll_interval = std::chrono::seconds(60);
    /** Wait for the next page of a delta; the peer may be down or slow, and revisions must not wait for it.
     */
    duration m_fetch_timeout = std::chrono::milliseconds(500);
    std::size_t m_history = 32; ///< Number of revisions retained as bases for deltas.
    /** Whether a node that watches the head row writes lost revisions again. Only where publications write
     * that row. */
    bool m_restores_head = false;
};

/** Action: read the head row and call spread::on_head. */
struct spread_read_head {};

/** Action: get the object and call spread::on_object. */
struct spread_get_object {
    std::string m_name; ///< Name of the object.
};

/** Action: send a control message of the topic `configuration` to a peer. */
struct spread_send {
    node_id m_peer;        ///< Receiver.
    std::string m_payload; ///< Message, encoded as CBOR.
};

/** Action: put the revision in force. */
struct spread_in_force {
    revision_info m_info;                    ///< Its number and origin.
    std::shared_ptr<const config_set> m_set; ///< Its configuration.
};

/**
 * Action: put the objects in order, then run the transaction, unless a put failed; call spread::on_restored
 * in any case. Writes the revisions again that the platform lost when it restored its store from a copy.
 */
struct spread_restore {
    std::vector<publish_put_object> m_puts; ///< The configurations of the lost revisions.
    publish_commit m_commit;                ///< Writes their rows if the head row has not changed.
};

/** Action that the owner of a spread has to perform. */
using spread_action =
    std::variant<spread_read_head, spread_get_object, spread_send, spread_in_force, spread_restore>;

/**
 * Keeps one node at the newest accepted revision, without I/O of its own. Revisions come from the platform's
 * table and object store or, also while these are unavailable, as deltas from peers. The revision in force
 * never goes back. Calls append the actions for the owner to perform. Thread safety: none; used by one owner.
 */
class spread {
public:
    spread(const spread_settings& settings, std::uint64_t seed);
    ~spread();
    spread(spread&&) noexcept;
    spread& operator=(spread&&) noexcept;

    /** Handles the head row, none if there is no revision, or the error of reading it. @p version is the
     * version of the row. */
    void on_head(instant now, const result<std::optional<revision_info>>& head,
                 std::vector<spread_action>& actions, row_version version = {});

    /** Handles the end of spread_restore, successful or not; the next read of the head row shows which. */
    void on_restored(instant now);

    /** Handles the object @p name, none if it does not exist, or the error of getting it. */
    void on_object(instant now, const std::string& name, const result<std::optional<std::string>>& bytes,
                   std::vector<spread_action>& actions);

    /** Records that @p peer has reported @p newest as its newest revision, which it does by gossip. */
    void on_peer_revision(instant now, const node_id& peer, revision newest,
                          std::vector<spread_action>& actions);

    /** Handles a control message of @p peer. Safe on untrusted input. */
    void on_message(instant now, const node_id& peer, std::string_view payload,
                    std::vector<spread_action>& actions);

    /** Records whether this node watches the head row. Initially it does not. */
    void set_watching(instant now, bool is_watching);

    /** Handles time-outs and polling. Call at next_tick. */
    void tick(instant now, std::vector<spread_action>& actions);

    /** Returns the time of the next call to tick. */
    instant next_tick() const;

    /** Returns the revision in force; zero if none. */
    revision in_force() const;

    /** Returns the highest accepted revision that this version can't parse, as from a newer one; zero if
     * none. */
    revision unreadable() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
