/** @file http_server_base.h The HTTP server task: libev sockets with the parsers of Boost.Beast. */
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
    endpoint m_address;                     ///< Listening address; port 0 lets the system choose.
    std::size_t m_header_limit = 64 * 1024; ///< Longest request line and headers together, in bytes.
    std::size_t m_body_limit = 1024 * 1024; ///< Longest request body, in bytes.
    unsigned m_connection_limit = 1000;     ///< Most open connections; see http_server.
    duration m_request_timeout = std::chrono::seconds(10); ///< Longest time to receive one request.
    duration m_idle_timeout = std::chrono::seconds(30);    ///< Connections idle for longer are closed.
    std::shared_ptr<memory_budget> m_budget = {};          ///< Counts bodies; null if they are not counted.
};

/**
 * A whole request has been received. Call http_server::reply exactly once for it, unless
 * http_client_disconnected comes first.
 */
struct http_request {
    exchange_id m_exchange; ///< Identifies the exchange until its reply.
    std::string m_method;   ///< GET, POST and so on.
    std::string m_path;     ///< Path with query, as it was sent.
    header_list m_headers;  ///< All headers, Host included.
    shared_body m_body;     ///< The whole body; empty where it was over the limit.
    /** Whether the body was over the limit; the connection closes after the reply. */
    bool m_body_too_large = false;
    std::string m_peer; ///< IP address of the client.
    /** Whether the connection is above the limit; it closes after the reply. */
    bool m_over_connection_limit = false;
};

/** The client disconnected before the reply to its request; a reply is ignored from now on. */
struct http_client_disconnected {
    exchange_id m_exchange;
};

/** The server has refused a request that it could not read: malformed, too long, too late, or no memory. */
struct http_refusal {
    std::uint16_t m_status = 0; ///< Status of the reply: 400, 408, 431 or 503.
    std::string m_peer;         ///< IP address of the client.
};

/** An event of a server. */
using http_server_event = std::variant<http_request, http_client_disconnected>;

/** The reply to one request. */
struct http_reply {
    exchange_id m_exchange;
    std::uint16_t m_status = 0;
    /** Transfer-Encoding, Connection and Keep-Alive are dropped; Content-Length is used for HEAD only. */
    header_list m_headers;
    shared_body m_body; ///< The whole body.
};

/**
 * An HTTP/1.1 server that owns its listening socket. Pipelined requests are delivered as they arrive; their
 * replies are sent in the order of the requests. At the connection limit a new connection replaces the one
 * that has been idle longest. Where none is idle, the requests of the new connection are marked with
 * m_over_connection_limit, so that the owner can refuse them with a reply.
 * Thread safety: for the loop's thread only.
 */
class http_server {
public:
    using handler = std::function<void(http_server_event&&)>;
    using refusal_handler = std::function<void(const http_refusal&)>;

    /**
     * Starts to listen.
     * @param loop must outlive the server.
     * @param settings its address, limits and time-outs.
     * @param on_event is called for each event, never from within a call of this class.
     * @return the server, or why it cannot listen.
     */
    static result<std::unique_ptr<http_server>> open(event_loop& loop, const http_server_settings& settings,
                                                     handler on_event);

    virtual ~http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Sends @p reply; ignored where the exchange has ended. */
    virtual void reply(http_reply reply) = 0;

    /** Applies new limits and time-outs; the address in @p settings is ignored. */
    virtual void configure(const http_server_settings& settings) = 0;

    /** Reports each request that the server refuses by itself to @p on_refused, which must not call the
     * server.
     */
    virtual void report_refusals(refusal_handler on_refused) = 0;

    /** Closes each connection after its next reply, unless part of a further request has arrived by then. */
    virtual void drain() = 0;

    /** Closes the listening socket; open connections and their exchanges go on. */
    virtual void stop_listening() = 0;

    /** Returns the number of open connections. */
    virtual std::size_t connections() const = 0;

    /** Returns the number of exchanges whose reply is not in the output buffer yet, and of connections whose
     * output buffer has not been sent. */
    virtual std::size_t in_progress() const = 0;

    /** Returns the listening address with its actual port; the configured one after stop_listening(). */
    virtual endpoint address() const = 0;

protected:
    http_server() = default;
};

} // namespace waxwing

#endif
