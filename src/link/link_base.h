/** @file link_base.h The task that maintains links to other nodes. Compiles as C++17. */
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
    endpoint m_listen;                                    ///< Address on which the task listens.
    std::string m_shared_key;                             ///< Key shared by all nodes of the fleet.
    std::size_t m_message_limit = 66 * 1024 * 1024;       ///< Maximum message length, in bytes.
    std::size_t m_queue_limit = 80 * 1024 * 1024;         ///< Maximum memory queued per peer, in bytes.
    unsigned m_link_limit = 1200;                         ///< Maximum number of links in both directions.
    duration m_heartbeat = std::chrono::seconds(2);       ///< Interval of pings on an idle link.
    duration m_silence_timeout = std::chrono::seconds(6); ///< Maximum time without received bytes.
    /** Time without received bytes after a request until a ping. */
    duration m_request_patience = std::chrono::milliseconds(300);
    /** Maximum time without received bytes after a ping; allows a few retransmissions. */
    duration m_answer_timeout = std::chrono::milliseconds(1000);
    duration m_handshake_timeout = std::chrono::seconds(3);          ///< Maximum time until a link is up.
    duration m_min_reconnect_delay = std::chrono::milliseconds(100); ///< Initial bound of the random delay.
    duration m_max_reconnect_delay = std::chrono::seconds(10);       ///< Maximum bound of the random delay.
    std::shared_ptr<memory_budget> m_budget = {}; ///< Counts messages; null if they are not counted.
};

/** The first link to @ref m_peer is up, whichever side opened it. */
struct link_up {
    node_id m_peer; ///< The peer, as authenticated by the handshake.
};

/** The last link to @ref m_peer ended; unanswered messages may or may not have arrived. */
struct link_down {
    node_id m_peer; ///< The peer.
};

/** A message was received. */
struct link_received {
    node_id m_peer;         ///< The sender.
    link_message m_message; ///< The message.
};

/** No byte of a message was sent: no link, queue full, too long, cancelled, or the link ended first. */
struct link_undelivered {
    node_id m_peer;         ///< The intended receiver.
    link_message m_message; ///< The message as passed to send.
};

/** An event of the link task. */
using link_event = std::variant<link_up, link_down, link_received, link_undelivered>;

/** Counters of the link task since its start. */
struct link_counters {
    std::uint64_t m_bytes_in = 0;     ///< Bytes read from sockets.
    std::uint64_t m_bytes_out = 0;    ///< Bytes written to sockets.
    std::uint64_t m_messages_in = 0;  ///< Messages decoded.
    std::uint64_t m_messages_out = 0; ///< Messages of which bytes were written to sockets.
    std::uint64_t m_malformed = 0;    ///< Links closed because the peer violated the protocol.
    std::uint64_t m_refused = 0;      ///< Handshakes that failed, timed out or were evicted to accept others.
    std::size_t m_links = 0;          ///< Links that are up.
};

/**
 * Maintains links, each a WebSocket with CBOR messages: calls are multiplexed, answers come in any order, and
 * large messages are sent in chunks so that they do not block others.
 * Thread safety: for use by the loop's thread only.
 */
class link_task {
public:
    using handler = std::function<void(link_event&&)>;

    /**
     * Creates a link task and starts listening.
     * @param loop event loop; must outlive the task.
     * @param settings addresses, key, limits and timeouts.
     * @param seed seed of the reconnect jitter.
     * @param on_event called with each event, never from within a function of this class.
     */
    static result<std::unique_ptr<link_task>> open(event_loop& loop, const link_settings& settings,
                                                   std::uint64_t seed, handler on_event);

    virtual ~link_task() = default;
    link_task(const link_task&) = delete;
    link_task& operator=(const link_task&) = delete;

    /**
     * Maintains a link to @p peer at @p address until forget is called. If the address changes, a new link
     * replaces the old one. Does nothing if @p peer is this node or empty.
     */
    virtual void connect(const node_id& peer, const endpoint& address) = 0;

    /** Stops opening links to @p peer; closes those that are up once no message or call is pending. */
    virtual void forget(const node_id& peer) = 0;

    /**
     * Sends @p message to @p peer; a message that can't be sent is returned as link_undelivered. A cancel of
     * a call that is still queued is not sent: both are returned. Control messages keep their order among
     * themselves and a cancel does not overtake its call; no other order is guaranteed.
     */
    virtual void send(const node_id& peer, link_message message) = 0;

    /** Returns whether a link to @p peer is up. */
    virtual bool is_up(const node_id& peer) const = 0;

    /** Returns the counters since the start. */
    virtual const link_counters& counters() const = 0;

    /** Returns the listening address, with the port that the system chose. */
    virtual endpoint address() const = 0;

protected:
    link_task() = default;
};

} // namespace waxwing

#endif
