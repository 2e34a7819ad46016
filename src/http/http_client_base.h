/** @file http_client_base.h The HTTP client task: libev sockets with the parsers of Boost.Beast. */
#ifndef WAXWING_HTTP_HTTP_CLIENT_BASE_H
#define WAXWING_HTTP_HTTP_CLIENT_BASE_H

#include "base/base.h"
#include "loop/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace waxwing {

/** Settings of one HTTP client. */
struct http_client_settings {
    /** Most open connections, idle ones included; further requests wait. */
    std::size_t m_connection_limit = 64;
    std::size_t m_body_limit = 16 * 1024 * 1024; ///< Longest answer body accepted, in bytes.
    /** Most bytes held of all unfinished answers together; beyond that the longest one is given up. */
    std::size_t m_held_limit = 24 * 1024 * 1024;
    duration m_connect_timeout = std::chrono::seconds(1); ///< Longest time to establish a connection.
    /** Connections idle for longer are closed; the Keep-Alive header of the server may shorten it. */
    duration m_idle_timeout = std::chrono::seconds(20);
    std::shared_ptr<memory_budget> m_budget = {}; ///< Counts answers; null if they are not counted.
};

/** One request. It is sent at most once: the client never retries a request of which any byte was sent. */
struct http_send {
    exchange_id m_exchange; ///< Chosen by the owner, unique among its sends in progress.
    endpoint m_address;     ///< The server.
    std::string m_method;   ///< GET, POST and so on.
    std::string m_path;     ///< Path with query.
    header_list m_headers;  ///< Without Content-Length; Host only where it differs from the address.
    shared_body m_body;     ///< The whole body.
    duration m_timeout{};   ///< Longest time until the whole answer has been received.
    /** Request header that the answer must repeat; answers with another value are ignored. */
    std::string m_echoed_header = {};
    bool m_idempotent = true; ///< If false, an idle connection is reused only shortly after its last answer.
};

/** A whole answer has been received. */
struct http_answer {
    exchange_id m_exchange;
    std::uint16_t m_status = 0;
    header_list m_headers; ///< All headers.
    shared_body m_body;    ///< The whole body.
};

/** Why an exchange failed. */
enum class http_failure_kind {
    not_sent, ///< No byte of the request was sent to the server.
    timeout,  ///< Any of it was sent, and the time-out expired.
    lost,     ///< Any of it was sent, and the connection broke or the answer was invalid.
    aborted   ///< Any of it was sent before the owner aborted it.
};

/** The exchange ended without a whole answer. */
struct http_failure {
    exchange_id m_exchange;
    http_failure_kind m_kind = http_failure_kind::not_sent; ///< What failed.
    std::string m_text;                                     ///< Reason in words, for people.
};

/** An event of a client. */
using http_client_event = std::variant<http_answer, http_failure>;

/**
 * An HTTP/1.1 client that reuses its connections.
 * Thread safety: for the loop's thread only.
 */
class http_client {
public:
    using handler = std::function<void(http_client_event&&)>;

    /**
     * Creates a client.
     * @param loop must outlive the client.
     * @param settings its limits and time-outs.
     * @param on_event is called exactly once for each send, never from within a call of this class.
     */
    static std::unique_ptr<http_client> make(event_loop& loop, const http_client_settings& settings,
                                             handler on_event);

    virtual ~http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Sends @p request as soon as a connection is available. */
    virtual void send(http_send request) = 0;

    /** Aborts @p exchange; its event tells whether any of it was sent. No effect once it has ended. */
    virtual void abort(exchange_id exchange) = 0;

    /** Closes the connections that are idle, for an owner that has reason to think that they are dead. */
    virtual void close_idle() = 0;

    /** Returns the number of requests whose event is still to come. */
    virtual std::size_t in_progress() const = 0;

protected:
    http_client() = default;
};

} // namespace waxwing

#endif
