/** @file link_base.h The task that keeps links to other nodes. Compiles as C++17. */
#ifndef WAXWING_LINK_LINK_BASE_H
#define WAXWING_LINK_LINK_BASE_H

#include "link/message_type.h"
#include "loop/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace waxwing {

/** Settings of the link task. */
struct link_settings {
    node_id m_self;                                       ///< This node.
    endpoint m_listen;                                    ///< Where peers connect.
    std::string m_shared_key;                             ///< Proves that a peer belongs to the fleet.
    std::size_t m_message_limit = 20 * 1024 * 1024;       ///< Longest message, in bytes.
    std::size_t m_queue_limit = 64 * 1024 * 1024;         ///< Bytes that wait for one peer.
    unsigned m_link_limit = 1200;                         ///< Links at once, both ways.
    duration m_heartbeat = std::chrono::seconds(2);       ///< Time between pings on a quiet link.
    duration m_silence_timeout = std::chrono::seconds(6); ///< A link silent for longer is closed.
    duration m_handshake_limit = std::chrono::seconds(3); ///< Longest time until a link is up.
    duration m_min_reconnect_delay = std::chrono::milliseconds(100); ///< First wait before another try.
    duration m_max_reconnect_delay = std::chrono::seconds(10);       ///< Longest wait before another try.
};

/** A link to @ref m_peer is up, whichever side opened it. */
struct link_up {
    node_id m_peer; ///< The peer, as its handshake proved it.
};

/** The last link to @ref m_peer is gone; what was sent and not answered may or may not have arrived. */
struct link_down {
    node_id m_peer; ///< The peer.
};

/** A message came. */
struct link_received {
    node_id m_peer;         ///< From whom.
    link_message m_message; ///< The message.
};

/** A message was never handed to the network: no link, no room, or the link broke before its first byte. */
struct link_undelivered {
    node_id m_peer;         ///< To whom.
    link_message m_message; ///< The message, as it was sent.
};

/** What the link task tells its owner. */
using link_event = std::variant<link_up, link_down, link_received, link_undelivered>;

/** Counters of the link task since its start. */
struct link_counters {
    std::uint64_t m_bytes_in = 0;     ///< Bytes read from sockets.
    std::uint64_t m_bytes_out = 0;    ///< Bytes written to sockets.
    std::uint64_t m_messages_in = 0;  ///< Messages decoded.
    std::uint64_t m_messages_out = 0; ///< Messages handed to the network.
    std::uint64_t m_malformed = 0;    ///< Links closed for bytes that can't be read.
    std::uint64_t m_refused = 0;      ///< Handshakes without proof of the shared key.
    std::size_t m_links = 0;          ///< Links up now.
};

/**
 * Keeps links, each a WebSocket with CBOR messages: many calls at once, answers in any order, large messages
 * in chunks so that one does not hold up the rest.
 * Thread safety: for the loop's thread only.
 */
class link_task {
public:
    using handler = std::function<void(link_event&&)>;

    /**
     * Starts to listen.
     * @param loop outlives the task.
     * @param settings addresses, key and bounds.
     * @param seed of the jitter.
     * @param on_event gets each event, never from within a call of this class.
     */
    static result<std::unique_ptr<link_task>> open(event_loop& loop, const link_settings& settings,
                                                   std::uint64_t seed, handler on_event);

    virtual ~link_task() = default;
    link_task(const link_task&) = delete;
    link_task& operator=(const link_task&) = delete;

    /**
     * Keeps a link to @p peer at @p address from now on; a changed address replaces the link. Does nothing
     * where
     * @p peer is this node.
     */
    virtual void connect(const node_id& peer, const endpoint& address) = 0;

    /** Opens no further link to @p peer, and closes the one that is up once nothing waits on it. */
    virtual void forget(const node_id& peer) = 0;

    /**
     * Sends @p message to @p peer; what can't be handed to the network comes back as link_undelivered. A
     * cancel whose call waits untouched is not sent: both come back. Control messages keep their order among
     * themselves, a cancel does not pass its call; no other order is kept.
     */
    virtual void send(const node_id& peer, link_message message) = 0;

    /** Tells whether a link to @p peer is up. */
    virtual bool is_up(const node_id& peer) const = 0;

    /** Gives the counters. */
    virtual const link_counters& counters() const = 0;

    /** Gives the address in use, with the port that the system chose. */
    virtual endpoint address() const = 0;

protected:
    link_task() = default;
};

} // namespace waxwing

#endif
