/** @file http_server_base.h The HTTP server task: libev sockets, Boost.Beast's parsers. */
#ifndef WAXWING_HTTP_HTTP_SERVER_BASE_H
#define WAXWING_HTTP_HTTP_SERVER_BASE_H

#include "base/base.h"
#include "loop/loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace waxwing {

/** Settings of one HTTP server. */
struct http_server_settings {
    endpoint m_address;                     ///< Where to listen; port 0 lets the system choose.
    std::size_t m_header_limit = 64 * 1024; ///< Longest request line and header, in bytes.
    std::size_t m_body_limit = 1024 * 1024; ///< Longest request body, in bytes.
    unsigned m_connection_limit = 1000;     ///< Open connections at once; see http_server.
    duration m_request_timeout = std::chrono::seconds(10); ///< Longest time to receive one request.
    duration m_idle_timeout = std::chrono::seconds(30); ///< Connections without traffic are closed after it.
};

/** A whole request has come in. Answer it with http_server::reply, exactly once, unless
 * http_client_disconnected comes. */
struct http_request {
    exchange_id m_exchange; ///< Names the exchange until its reply.
    std::string m_method;   ///< GET, POST and so on.
    std::string m_path;     ///< Path with query, as it was sent.
    header_list m_headers;  ///< All fields, Host included.
    std::string m_body;     ///< The whole body; empty where it was over the limit.
    bool m_body_too_large =
        false;          ///< Whether the body was over the limit; the connection closes after the reply.
    std::string m_peer; ///< IP number of the client.
    bool m_over_connection_limit =
        false; ///< Whether the connection is above the limit; it closes after the reply.
};

/** The client of an unanswered exchange went away; a reply to it is ignored. */
struct http_client_disconnected {
    exchange_id m_exchange; ///< The exchange.
};

/** What a server tells its owner. */
using http_server_event = std::variant<http_request, http_client_disconnected>;

/** An answer to one exchange. */
struct http_reply {
    exchange_id m_exchange;     ///< The exchange.
    std::uint16_t m_status = 0; ///< HTTP status.
    header_list m_headers;      ///< Fields beside Content-Length and Date.
    std::string m_body;         ///< The whole body.
};

/**
 * An HTTP/1.1 server that owns its socket. Pipelined requests are handed over as they come, and their replies
 * go out in the order of the requests. At the limit of connections the one that has been idle for longest
 * makes room; where none is idle, a new one is marked as surplus, so that its request can be refused by a
 * reply. Thread safety: for the loop's thread only.
 */
class http_server {
public:
    using handler = std::function<void(http_server_event&&)>;

    /**
     * Starts to listen.
     * @param loop outlives the server.
     * @param settings where and how much.
     * @param on_event gets each event, never from within a call of this class.
     * @return the server, or why it can't listen.
     */
    static result<std::unique_ptr<http_server>> open(event_loop& loop, const http_server_settings& settings,
                                                     handler on_event);

    virtual ~http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Sends @p reply; ignored where the exchange is gone. */
    virtual void reply(http_reply reply) = 0;

    /** Takes new bounds into force; the address stays. */
    virtual void configure(const http_server_settings& settings) = 0;

    /** Closes each connection after its next reply, unless a further request has come on it by then. */
    virtual void drain() = 0;

    /** Takes no new connections; exchanges in progress go on. */
    virtual void stop_listening() = 0;

    /** Gives the open connections. */
    virtual std::size_t connections() const = 0;

    /** Gives the exchanges that wait for a reply, or whose reply is still being sent. */
    virtual std::size_t in_progress() const = 0;

    /** Gives the address in use, with the port that the system chose. */
    virtual endpoint address() const = 0;

protected:
    http_server() = default;
};

} // namespace waxwing

#endif
