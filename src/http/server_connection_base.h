/** @file server_connection_base.h One client's connection to an HTTP server. */
#ifndef WAXWING_HTTP_SERVER_CONNECTION_BASE_H
#define WAXWING_HTTP_SERVER_CONNECTION_BASE_H

#include "http/body_buffer_base.h"
#include "http/http_server_base.h"
#include "http/output_queue_base.h"

#include <boost/beast/http/parser.hpp>

#include <deque>
#include <list>
#include <optional>

namespace waxwing {

class server_connection;

/** State and handlers that the connections of one server share. Outlives the connections. */
struct server_context {
    event_loop& m_loop;
    http_server_settings m_settings; ///< Current settings.
    bool m_draining = false;         ///< Whether connections close after their next reply.
    std::size_t m_sending = 0;       ///< Connections with unsent output.

    /** Registers a new exchange of the connection. @return its id. */
    std::function<exchange_id(server_connection&)> m_begin_exchange;
    /** A whole request has been received. */
    std::function<void(http_request&&)> m_on_request;
    /** The exchange has ended; @p disconnected tells that the client disconnected before the reply. */
    std::function<void(exchange_id, bool disconnected)> m_on_end;
    /** The server has refused a request by itself. */
    std::function<void(http_refusal&&)> m_on_refused;
    /** The connection has become idle or busy. */
    std::function<void(server_connection&, bool idle)> m_on_idle;
    /** A connection has stopped reading for lack of memory. */
    std::function<void()> m_on_paused;
    /** The connection has ended and must be destroyed, but not from within this call. */
    std::function<void(server_connection&)> m_on_closed;
};

/**
 * Reads requests and writes the replies in the same order. Thread safety: for the loop's thread only.
 */
class server_connection {
public:
    /** Takes over @p accepted. @param over_limit whether it exceeds the connection limit. */
    server_connection(server_context& context, accepted_connection accepted, bool over_limit);

    /** Sends @p reply after the replies to all earlier requests. @pre Its exchange is pending here. */
    void reply(http_reply reply);

    /** Closes the connection at once; pending exchanges end as disconnected. */
    void close();

    /** Returns the bytes held of the request that is being received, and of unsent replies. */
    std::size_t held() const;

    /** Returns when a byte of what is held was last received or sent. */
    instant last_activity_at() const { return m_last_activity_at; }

    /** Returns whether the connection does not read for lack of memory. */
    bool is_paused() const { return m_paused; }

    /** Reads again after a pause. */
    void resume();

    /** Releases what the connection holds: refuses the request that is being received with 503, since it has
     * not run, or closes the connection if the client does not read its replies. */
    void evict();

    /** Returns whether no request or reply is in progress. */
    bool is_idle() const;

    /** Position in the server's list of idle connections while idle. */
    std::optional<std::list<server_connection*>::iterator> m_idle_position;

private:
    using parser = boost::beast::http::request_parser<buffered_body>;

    /** State of the connection. */
    enum class phase {
        open,      ///< Receives requests and sends replies.
        lingering, ///< The last reply has been sent; input is discarded until the client closes.
        closed     ///< The socket is closed.
    };

    /** One request and its reply. */
    struct pending_exchange {
        exchange_id m_id;
        bool m_is_head = false;            ///< Whether the method is HEAD: the reply has no body.
        bool m_close_after = false;        ///< Whether the connection closes after the reply.
        std::optional<http_reply> m_reply; ///< Waits for the replies to earlier requests.
    };

    void on_ready(int events);
    void on_timer();
    void read();
    void parse();
    bool is_full() const;
    void start_parser();
    void send_continue();
    void finish_request(bool body_too_large);
    void refuse(unsigned status);
    void flush_replies();
    void append_reply(const pending_exchange& exchange);
    void send_output();
    void shutdown_if_done();
    void update();
    void update_sending();
    bool has_room() const;
    void update_lease();
    void refuse_endless_line();
    duration timeout() const;

    server_context& m_context;
    descriptor m_socket;
    std::string m_peer;
    bool m_over_limit;
    phase m_phase = phase::open;
    std::string m_input;            ///< Bytes received and not yet parsed.
    std::optional<parser> m_parser; ///< Parser of the request that is being received.
    bool m_continue_sent = false;   ///< Whether 100 Continue was sent for this request.
    bool m_last_received = false;   ///< Whether the last request has been received; further input is ignored.
    std::deque<pending_exchange> m_pending; ///< Oldest first.
    output_queue m_output;                  ///< Replies to send.
    memory_lease m_lease;                   ///< Counts the request that is being received.
    bool m_paused = false;                  ///< Whether it does not read for lack of memory.
    int m_watched_events = 0;               ///< Events that m_watcher watches.
    bool m_reported_idle = false;           ///< Last state passed to m_on_idle.
    bool m_counted_sending = false;         ///< Whether the connection is counted in m_context.m_sending.
    instant m_last_activity_at{};           ///< When data was last received or sent.
    instant m_receiving_since{};            ///< When the parser of the current request was started.
    io_watcher m_watcher;
    timer m_timer;
};

} // namespace waxwing

#endif
