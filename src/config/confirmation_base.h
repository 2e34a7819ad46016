/** @file confirmation_base.h Until when the revision in force is known to have been the newest one. */
#ifndef WAXWING_CONFIG_CONFIRMATION_BASE_H
#define WAXWING_CONFIG_CONFIRMATION_BASE_H

#include "base/base.h"
#include "config/confirmation_message_func.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwing {

/** Requests are refused this long before the revocation timeout, for those that are about to run and for
 * clocks that run at different speeds. */
inline constexpr duration revocation_margin = std::chrono::milliseconds(200);

/** Intervals of a confirmation. The defaults are upper bounds; a shorter revocation timeout shortens them. */
struct confirmation_settings {
    duration m_revocation_timeout = std::chrono::seconds(5);    ///< Age at which a confirmation is worthless.
    duration m_ask_interval = std::chrono::milliseconds(700);   ///< Between questions to peers.
    duration m_answer_timeout = std::chrono::milliseconds(300); ///< Then another peer is asked.
    duration m_fallback_age = std::chrono::seconds(2);          ///< Age from which the head row is read.
    duration m_fallback_interval = std::chrono::seconds(1);     ///< Minimum between such reads.
    duration m_max_watcher_age = std::chrono::milliseconds(1500); ///< Older ones make a watcher ask peers.
};

/** Returns the settings for @p revocation_timeout. Thread safety: pure. */
confirmation_settings to_confirmation_settings(duration revocation_timeout);

/** Nodes that probably watch the head row, without the own node. */
struct confirmation_peers {
    std::vector<node_id> m_near; ///< In the own data centre.
    std::vector<node_id> m_far;  ///< In other data centres.
};

/** Action: send a control message of the topic `confirmation` to a peer. */
struct confirmation_send {
    node_id m_peer;        ///< Receiver.
    std::string m_payload; ///< Message, encoded as CBOR.
};

/** Action: read the head row and call confirmation::on_head. */
struct confirmation_read_head {};

/** Action: fetch the revision from the peer, as it is newer than the one in force. */
struct confirmation_fetch {
    node_id m_peer;      ///< Peer that has it in force.
    revision m_revision; ///< The revision.
};

/** Action that the owner of a confirmation has to perform. */
using confirmation_action = std::variant<confirmation_send, confirmation_read_head, confirmation_fetch>;

/**
 * Keeps the latest moment at which the revision in force is known to have been the newest one, and decides
 * when and whom to ask for a later one. All moments are of the own machine's boot clock. A moment may be
 * earlier than the true one but never later: evidence counts from the time at which the question was sent.
 * Thread safety: none; used by one owner.
 */
class confirmation {
public:
    /** @param seed must differ between processes, since the ids of questions are drawn from it. */
    confirmation(const confirmation_settings& settings, std::uint64_t seed);

    /** Records whether the configuration in force needs confirmations. Initially it does not; questions are
     * sent and the head row is read only while it does. */
    void set_required(boot_instant now, bool is_required);

    /** Records whether this node watches the head row, so that the store client confirms it by itself. */
    void set_watching(bool is_watching) { m_is_watching = is_watching; }

    /** Records that @p number is in force. @pre it is not lower than before. */
    void set_in_force(revision number);

    /** Records that the head row was read: @p number in the version @p version of the row. */
    void on_head(row_version version, revision number);

    /** Records that the store has shown that the head row had @p version when a call that was sent at
     * @p sent_at arrived. The row itself may be read later. */
    void on_store(row_version version, boot_instant sent_at);

    /** Records that a peer has @p number in force. */
    void on_peer_revision(revision number) { m_known_newest = std::max(m_known_newest, number); }

    /** Records that this node has found the fleet. Before that the store confirms nothing: if it was restored
     * from a copy, it may have lost a revision that only peers know. */
    void set_joined();

    /** Handles a control message of @p peer. Safe on untrusted input. */
    void on_message(boot_instant now, const node_id& peer, std::string_view payload,
                    std::vector<confirmation_action>& actions);

    /** Asks @p peers and requests reads as they are due. Call at next_tick. */
    void tick(boot_instant now, const confirmation_peers& peers, std::vector<confirmation_action>& actions);

    /** Returns the time of the next call to tick; boot_instant::max if there is none. */
    boot_instant next_tick() const;

    /** Returns the latest moment at which the revision in force is known to have been the newest one. */
    std::optional<boot_instant> confirmed_at() const { return m_confirmed_at; }

    /** Returns whether the revision in force is confirmed recently enough for requests that need a key. */
    bool is_current(boot_instant now) const;

    bool is_required() const { return m_is_required; }

private:
    /** A moment at which no revision above m_revision existed. */
    struct evidence {
        revision m_revision;
        boot_instant m_at;
    };

    /** Version of the head row when a call that was sent at m_sent_at arrived at the store. */
    struct store_evidence {
        row_version m_version;
        boot_instant m_sent_at;
    };

    /** Head row as read last. */
    struct head_state {
        row_version m_version;
        revision m_revision;
    };

    /** A question that is not answered. */
    struct question {
        std::uint64_t m_id;
        node_id m_peer;
        boot_instant m_sent_at;
        bool m_is_first; ///< Whether it is the first of its round.
    };

    void match_store_evidence();
    void apply(const evidence& found);
    void confirm(boot_instant at);
    void answer(boot_instant now, const node_id& peer, const confirmation_request& request,
                std::vector<confirmation_action>& actions) const;
    void on_answer(boot_instant now, const node_id& peer, const confirmation_answer& message,
                   std::vector<confirmation_action>& actions);
    void ask(boot_instant now, const std::vector<node_id>& candidates, bool is_first,
             std::vector<confirmation_action>& actions);
    bool needs_peers(boot_instant now) const;
    boot_instant fallback_due_at() const;

    confirmation_settings m_settings;
    random_source m_random;
    bool m_is_required = false;
    bool m_is_watching = false;
    bool m_has_joined = false; ///< Whether peers have had time to tell what they have in force.
    revision m_in_force;
    revision m_known_newest; ///< Highest revision in any evidence or answer.
    std::optional<head_state> m_head;
    std::optional<store_evidence> m_store_evidence; ///< Latest evidence of the store.
    std::optional<evidence> m_pending;              ///< Latest evidence on a revision not in force yet.
    std::optional<boot_instant> m_confirmed_at;
    std::vector<question> m_questions;       ///< Oldest first; at most max_questions.
    boot_instant m_next_round_at{};          ///< When a peer is asked next.
    std::optional<boot_instant> m_second_at; ///< When a second peer is asked in this round.
    node_id m_first_peer;                    ///< Peer asked first in this round.
    boot_instant m_advanced_at{};            ///< When a peer's answer last advanced m_confirmed_at.
    boot_instant m_fallback_at{};            ///< Time of the last read for want of a confirmation.
};

} // namespace waxwing

#endif
