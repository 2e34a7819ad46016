/** @file peer_base.h What a link task knows of one peer. C++17. */
#ifndef WAXWING_LINK_PEER_BASE_H
#define WAXWING_LINK_PEER_BASE_H

#include "link/backoff_base.h"
#include "link/connection_base.h"

#include <optional>
#include <utility>
#include <vector>

namespace waxwing {

/** One link of a peer that is up. */
struct peer_link {
    link_connection* m_link = nullptr; ///< Owned by the task.
    bool m_leaving = false;            ///< This side has asked for no further calls.
    bool m_left = false;               ///< The peer has confirmed it.
    bool m_peer_leaving = false;       ///< The peer has asked for no further calls.

    /** Tells whether calls may go over it. */
    bool takes_calls() const { return !m_leaving && !m_peer_leaving; }
};

/** What a link task knows of one peer. Thread safety: for the loop's thread only. */
class peer_state {
public:
    peer_state(node_id name, event_loop& loop, const link_settings& settings, timer::handler on_retry)
        : m_name(std::move(name)), m_backoff(settings.m_min_reconnect_delay, settings.m_max_reconnect_delay),
          m_retry(loop, std::move(on_retry))
    {
    }

    /** Finds the link over which @p message is to go: the newest that takes it; null where there is none. */
    link_connection* choose(const link_message& message) const;

    /** Finds @p link among those that are up; null where it is not. */
    peer_link* find(const link_connection& link);

    /** Removes @p link; false where it was not up. */
    bool remove(const link_connection& link);

    /** Gives the memory of messages that wait for the peer, in bytes. */
    std::size_t queued() const;

    /** Notes that @p message was accepted for sending. */
    void note_sent(const link_message& message);

    /** Notes that @p message came. */
    void note_received(const link_message& message);

    /** Notes that @p message will not be sent after all. */
    void note_undelivered(const link_message& message);

    /** Tells whether @p entry, a link that this side leaves, can be ended without a loss. */
    bool may_end(const peer_link& entry) const;

    node_id m_name;                       ///< The peer.
    std::optional<endpoint> m_address;    ///< Where to open links; none where no link is wanted.
    link_connection* m_opening = nullptr; ///< The link that this side opens.
    std::vector<peer_link> m_links;       ///< The links that are up, oldest first.
    backoff m_backoff;                    ///< Waits before another try.
    timer m_retry;                        ///< Until the next try.

private:
    std::size_t m_calls_out = 0; ///< Calls sent and not answered.
    std::size_t m_calls_in = 0;  ///< Calls received and not answered.
};

} // namespace waxwing

#endif
