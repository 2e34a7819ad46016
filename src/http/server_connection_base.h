/** @file server_connection_base.h One client's connection to an HTTP server. */
#ifndef WAXWING_HTTP_SERVER_CONNECTION_BASE_H
#define WAXWING_HTTP_SERVER_CONNECTION_BASE_H

#include "http/http_server_base.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <list>
#include <optional>

namespace waxwing {

class server_connection;

/** What the connections of one server share with it. It outlives them. */
struct server_shared {
    event_loop& m_loop;
    http_server_settings m_settings; ///< In force.
    bool m_draining = false;         ///< Whether connections close after their last reply.

    /** Makes the id of a new exchange of the connection, which is then found under it. */
    std::function<exchange_id(server_connection&)> m_begin;
    /** Takes a whole request. */
    std::function<void(http_request&&)> m_on_request;
    /** The exchange has ended; @p gone tells that its client went away before the reply. */
    std::function<void(exchange_id, bool gone)> m_on_end;
    /** The connection became idle or busy. */
    std::function<void(server_connection&, bool idle)> m_on_idle;
    /** The connection has ended and is to be destroyed, but not from within this call. */
    std::function<void(server_connection&)> m_on_closed;
};

/**
 * Reads requests and writes replies in their order. Thread safety: for the loop's thread only.
 */
class server_connection {
public:
    /** Takes over @p accepted. @param surplus whether it is above the limit of connections. */
    server_connection(server_shared& shared, accepted_connection accepted, bool surplus);

    /** Sends @p reply once all earlier ones have gone out. @pre Its exchange is pending here. */
    void reply(http_reply reply);

    /** Closes at once; pending exchanges end as gone. */
    void close();

    /** Tells whether it waits for a request. */
    bool is_idle() const;

    /** Where the server keeps it while it is idle. */
    std::optional<std::list<server_connection*>::iterator> m_idle_position;

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Whether it still serves. */
    enum class phase {
        open,      ///< Serves.
        lingering, ///< The last reply has gone out; what comes is dropped until the client closes.
        closed     ///< Ended.
    };

    /** One request and its reply. */
    struct exchange {
        exchange_id m_id;
        bool m_head = false;               ///< Whether the method is HEAD: the reply has no body.
        bool m_last = false;               ///< Whether the connection closes after it.
        std::optional<http_reply> m_reply; ///< Waits for earlier ones.
    };

    void on_ready(int events);
    void on_timer();
    void read();
    void parse();
    void start_parser();
    void send_continue();
    void finish_request(bool oversize);
    void refuse(unsigned status);
    void flush_replies();
    void append_reply(const exchange& ended);
    void send_out();
    void finish_output();
    void update();
    duration timeout() const;

    server_shared& m_shared;
    descriptor m_socket;
    std::string m_peer;
    bool m_surplus;
    phase m_phase = phase::open;
    std::string m_in;               ///< Received and not parsed.
    std::optional<parser> m_parser; ///< Of the request that is being received.
    bool m_continued = false;       ///< Whether the client was told to send the body.
    bool m_last_received = false;   ///< Whether no further request is taken.
    std::deque<exchange> m_pending; ///< Oldest first.
    std::string m_out;              ///< To be sent.
    std::size_t m_sent = 0;         ///< Bytes of m_out that have gone out.
    int m_watched = 0;              ///< Events that are watched.
    bool m_was_idle = false;        ///< As the server was told.
    instant m_active{};             ///< When a byte last came or went.
    instant m_receiving_since{};    ///< When the request that is being received began.
    io_watcher m_watch;
    timer m_timer;
};

} // namespace waxwing

#endif
