/** @file connection_base.h One link: a socket, its WebSocket, the handshake and the messages. C++17. */
#ifndef WAXWING_LINK_CONNECTION_BASE_H
#define WAXWING_LINK_CONNECTION_BASE_H

#include "link/chunk_receiver_base.h"
#include "link/chunk_sender_base.h"
#include "link/handshake_base.h"
#include "link/link_base.h"
#include "link/liveness_base.h"
#include "link/websocket_base.h"
#include "loop/loop.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** Why a link ended. */
enum class link_end {
    lost,      ///< The network or the peer ended it.
    malformed, ///< The peer sent bytes that can't be read.
    refused,   ///< The peer did not prove the key, or not in time.
    silent,    ///< Nothing came for too long.
    closed     ///< This side ended it.
};

class link_connection;

/** Whom a link_connection tells what happens. Calls come from the loop, never from within send. */
class connection_owner {
public:
    virtual ~connection_owner() = default;
    connection_owner(const connection_owner&) = delete;
    connection_owner& operator=(const connection_owner&) = delete;

    /** The peer has proven the key. */
    virtual void on_proven(link_connection& link) = 0;

    /** A message came. */
    virtual void on_message(link_connection& link, link_message message) = 0;

    /** A message can never be sent. */
    virtual void on_refused_message(link_connection& link, link_message message) = 0;

    /** The peer asks for no further calls, or has confirmed that it sends none. */
    virtual void on_leave(link_connection& link, frame_kind kind) = 0;

    /** All that waited was handed to the network. */
    virtual void on_drained(link_connection& link) = 0;

    /** The link ended; it is not to be destroyed from within this call. */
    virtual void on_ended(link_connection& link, link_end why) = 0;

protected:
    connection_owner() = default;
};

/** What all links of a task share. */
struct connection_context {
    event_loop& m_loop;              ///< Runs the links.
    const link_settings& m_settings; ///< Bounds and times.
    chunk_limits m_limits;           ///< What this side takes.
    link_counters& m_counters;       ///< Counts of the task.
    connection_owner& m_owner;       ///< Is told what happens.
    websocket_maker& m_websockets;   ///< Makes the WebSockets.
    std::vector<char>& m_buffer;     ///< For reading.
};

/** One link. Thread safety: for the loop's thread only. */
class link_connection {
public:
    /** Starts with a connected or connecting @p socket; @p address is that of the peer. */
    link_connection(connection_context context, descriptor socket, const endpoint& address,
                    handshake_settings proof);
    ~link_connection();
    link_connection(const link_connection&) = delete;
    link_connection& operator=(const link_connection&) = delete;

    /** Sends @p message. @pre The link is up. */
    void send(link_message message);

    /** Takes back the call @p attempt if no byte of it can have been handed to the network. */
    std::optional<link_message> withdraw(attempt_id attempt);

    /** Sends a frame without a message behind all that waits. @pre The link is up. */
    void send_control(frame_kind kind);

    /** Ends the link, as if @p why had happened. */
    void end(link_end why);

    /** Writes what waits to the socket. */
    void flush();

    /** Gives all messages of which no byte was handed to the network. */
    std::vector<link_message> take_untouched();

    /** Tells which side of the link this is. */
    link_side side() const { return m_side; }

    /** Tells whether the peer has proven the key and the link has not ended. */
    bool is_up() const { return m_stage == stage::up; }

    /** Tells whether the link has ended. */
    bool has_ended() const { return m_stage == stage::ended; }

    /** Tells whether nothing waits to be handed to the network. */
    bool is_drained() const;

    /** Gives the peer's name. @pre The peer has proven the key. */
    const node_id& peer() const { return m_handshake.peer(); }

    /** Gives the life of the peer's link task. @pre The peer has proven the key. */
    std::uint64_t peer_instance() const { return m_handshake.peer_hello().m_instance; }

    /** Gives the memory of messages that wait, in bytes. */
    std::size_t queued() const { return m_sender ? m_sender->charge() : 0; }

    /** Tells when the link started. */
    instant started() const { return m_started; }

    /** Tells when the peer proved the key. */
    instant proven() const { return m_proven; }

private:
    /** How far the link is. */
    enum class stage : std::uint8_t { connecting, upgrading, proving, up, ended };

    /** Where in the output a message begins. */
    struct output_mark {
        std::uint64_t m_at = 0; ///< Bytes of output before it.
        outgoing_id m_message;  ///< The message.
    };

    void on_ready(int events);
    void on_time();
    void on_open();
    void on_frame(std::string_view frame);
    void on_handshake_message(std::string_view bytes);
    void come_up();
    void take_message(std::string_view bytes);
    bool read();
    void fill_output();
    bool write();
    void mark_handed();
    void report_refused();
    void watch();
    void release_memory();
    void set_timer();

    connection_context m_context;
    link_side m_side;
    descriptor m_socket;
    handshake m_handshake;
    io_watcher m_watcher;
    timer m_timer;
    std::unique_ptr<websocket> m_websocket;
    std::optional<chunk_sender> m_sender;     ///< Once the link is up.
    std::optional<chunk_receiver> m_receiver; ///< Once the link is up.
    liveness m_liveness;
    std::string m_output;              ///< Bytes for the socket; from m_output_at on they are unsent.
    std::size_t m_output_at = 0;       ///< Bytes of m_output that were handed to the network.
    std::uint64_t m_output_base = 0;   ///< Bytes of output before m_output.
    std::deque<output_mark> m_marks;   ///< Messages that begin in the unsent output.
    std::vector<frame_kind> m_control; ///< Frames to send once m_sender is empty.
    instant m_started;
    instant m_proven;
    stage m_stage = stage::connecting;
    int m_watched = 0;                 ///< The events that are watched.
    link_end m_fault = link_end::lost; ///< Why the link is to end, where m_failed.
    bool m_failed = false;             ///< Whether a frame showed a fault.
};

} // namespace waxwing

#endif
