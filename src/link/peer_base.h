/** @file peer_base.h State of one peer of a link task. C++17. */
#ifndef WAXWING_LINK_PEER_BASE_H
#define WAXWING_LINK_PEER_BASE_H

#include "link/backoff_base.h"
#include "link/connection_base.h"

#include <optional>
#include <utility>
#include <vector>

namespace waxwing {

/** A link to a peer that is up. */
struct peer_link {
    link_connection* m_link = nullptr; ///< The link, owned by the task.
    bool m_leaving = false;            ///< Whether this side has sent `leave`.
    bool m_leave_confirmed = false;    ///< Whether the peer has answered with `leave_done`.
    bool m_peer_leaving = false;       ///< Whether the peer has sent `leave`.

    /** Returns whether calls may be sent on the link. */
    bool takes_calls() const { return !m_leaving && !m_peer_leaving; }
};

/** State of one peer of a link task. Thread safety: for use by the loop's thread only. */
class peer_state {
public:
    peer_state(node_id name, event_loop& loop, const link_settings& settings, timer::handler on_retry)
        : m_name(std::move(name)), m_backoff(settings.m_min_reconnect_delay, settings.m_max_reconnect_delay),
          m_retry(loop, std::move(on_retry))
    {
    }

    /** Returns the newest link on which @p message may be sent; null if there is none. */
    link_connection* choose_link(const link_message& message) const;

    /** Returns the entry of @p link in m_links; null if it is not up. */
    peer_link* find(const link_connection& link);

    /** Removes @p link from m_links. @return whether it was up. */
    bool remove(const link_connection& link);

    /** Returns the estimated memory of the messages queued for the peer, in bytes. */
    std::size_t queued_bytes() const;

    /** Records that @p message was queued for sending. */
    void record_sent(const link_message& message);

    /** Records that @p message was received. */
    void record_received(const link_message& message);

    /** Records that the queued @p message will not be sent. */
    void record_undelivered(const link_message& message);

    /** Returns whether @p entry, a link that this side leaves, can be closed without losing messages. */
    bool may_end(const peer_link& entry) const;

    node_id m_name;                       ///< The peer.
    std::optional<endpoint> m_address;    ///< Address to connect to; none if no link is to be opened.
    link_connection* m_opening = nullptr; ///< The link that this side is opening; null if none.
    std::vector<peer_link> m_links;       ///< The links that are up, oldest first.
    backoff m_backoff;                    ///< Delays between attempts to connect.
    timer m_retry;                        ///< Starts the next attempt to connect.

private:
    std::size_t m_calls_out = 0; ///< Unanswered calls to the peer.
    std::size_t m_calls_in = 0;  ///< Unanswered calls from the peer.
};

} // namespace waxwing

#endif
