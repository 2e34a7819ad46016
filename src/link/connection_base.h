/** @file connection_base.h One link: socket, WebSocket, handshake and messages. C++17. */
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
enum class link_end_reason {
    lost,             ///< The network failed or the peer closed the connection.
    malformed,        ///< The peer violated the protocol.
    handshake_failed, ///< The handshake failed or timed out.
    timed_out,        ///< Nothing was received within the silence timeout.
    closed            ///< This side closed the link.
};

class link_connection;

/** Receives the events of a link_connection. Handlers are never called from within send. */
class connection_owner {
public:
    virtual ~connection_owner() = default;
    connection_owner(const connection_owner&) = delete;
    connection_owner& operator=(const connection_owner&) = delete;

    /** The peer was authenticated and the link is up. */
    virtual void on_authenticated(link_connection& link) = 0;

    /** A message was received. */
    virtual void on_message(link_connection& link, link_message message) = 0;

    /** A message exceeds the limits and can never be sent. */
    virtual void on_unsendable_message(link_connection& link, link_message message) = 0;

    /** The peer sent `leave` or `leave_done`. */
    virtual void on_leave(link_connection& link, frame_kind kind) = 0;

    /** All queued output was written to the socket. */
    virtual void on_drained(link_connection& link) = 0;

    /** The link ended; it must not be destroyed within this call. */
    virtual void on_ended(link_connection& link, link_end_reason reason) = 0;

protected:
    connection_owner() = default;
};

/** Objects shared by all links of a task. */
struct connection_context {
    event_loop& m_loop;              ///< Event loop of the links.
    const link_settings& m_settings; ///< Limits and timeouts.
    chunk_limits m_limits;           ///< Limits on received messages.
    link_counters& m_counters;       ///< Counters of the task.
    connection_owner& m_owner;       ///< Receives the events.
    websocket_factory& m_websockets; ///< Creates the WebSockets.
    std::vector<char>& m_buffer;     ///< Receive buffer.
};

/** One link. Thread safety: for use by the loop's thread only. */
class link_connection {
public:
    /** Starts a link on a connected or connecting @p socket; @p address is the address of the peer. */
    link_connection(connection_context context, descriptor socket, const endpoint& address,
                    handshake_settings settings);
    ~link_connection();
    link_connection(const link_connection&) = delete;
    link_connection& operator=(const link_connection&) = delete;

    /** Queues @p message; flush sends it. @pre The link is up. */
    void send(link_message message);

    /** Removes and returns the call @p attempt if no frame of it was made yet. */
    std::optional<link_message> withdraw(attempt_id attempt);

    /** Queues a frame without a message, sent after all queued messages. @pre The link is up. */
    void send_control(frame_kind kind);

    /** Ends the link for the reason @p reason. */
    void end(link_end_reason reason);

    /** Writes queued output to the socket, as far as it accepts it. */
    void flush();

    /** Removes and returns all messages of which no byte was written to the socket. */
    std::vector<link_message> take_unsent();

    /** Returns which side of the link this is. */
    link_side side() const { return m_side; }

    /** Returns whether the peer is authenticated and the link has not ended. */
    bool is_up() const { return m_stage == stage::up; }

    /** Returns whether the link has ended. */
    bool has_ended() const { return m_stage == stage::ended; }

    /** Returns whether all queued output was written to the socket. */
    bool is_drained() const;

    /** Returns the peer's name; authenticated only once the link is up. */
    const node_id& peer() const { return m_handshake.peer(); }

    /** Returns the instance id of the peer's link task. @pre The peer is authenticated. */
    std::uint64_t peer_instance() const { return m_handshake.peer_hello().m_instance; }

    /** Returns the estimated memory of the queued messages, in bytes. */
    std::size_t queued_bytes() const { return m_sender ? m_sender->memory() : 0; }

    /** Returns when the link started. */
    instant started_at() const { return m_started_at; }

    /** Returns when the peer was authenticated. */
    instant authenticated_at() const { return m_authenticated_at; }

private:
    /** Stages of a link, in order. */
    enum class stage : std::uint8_t { connecting, upgrading, handshaking, up, ended };

    /** Position of the first byte of a message in the output. */
    struct message_start {
        std::uint64_t m_offset = 0; ///< Bytes of output before the message.
        outgoing_id m_message;      ///< The message.
    };

    void on_ready(int events);
    void on_timer();
    void on_open();
    void on_frame(std::string_view frame);
    void on_handshake_message(std::string_view bytes);
    void complete_handshake();
    void on_complete_message(incoming_frame&& frame);
    bool read();
    void fill_output();
    bool write();
    void mark_sent_messages();
    void report_unsendable();
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
    std::optional<chunk_sender> m_sender;     ///< Set once the link is up.
    std::optional<chunk_receiver> m_receiver; ///< Set once the link is up.
    liveness m_liveness;
    std::string m_output;                       ///< Output buffer; bytes from m_output_offset on are unsent.
    std::size_t m_output_offset = 0;            ///< Bytes of m_output that were written to the socket.
    std::uint64_t m_output_base = 0;            ///< Bytes of output that were removed from m_output.
    std::deque<message_start> m_message_starts; ///< Starts of messages in the unsent output.
    std::vector<frame_kind> m_control_frames;   ///< Frames to send once m_sender is empty.
    instant m_started_at;
    instant m_authenticated_at;
    stage m_stage = stage::connecting;
    int m_watched_events = 0;                                 ///< Events for which m_watcher is set.
    link_end_reason m_failure_reason = link_end_reason::lost; ///< Reason to end the link, if m_failed.
    bool m_failed = false;                                    ///< Whether a frame was rejected.
};

} // namespace waxwing

#endif
