/** @file http_client_base.h The HTTP client task: libev sockets, Boost.Beast's parsers. */
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
    std::size_t m_connection_limit =
        64; ///< Open connections at once, idle ones included; further sends wait.
    std::size_t m_body_limit = 16 * 1024 * 1024;          ///< Longest answer body, in bytes.
    duration m_connect_timeout = std::chrono::seconds(1); ///< Longest wait for a connection.
    duration m_idle_timeout = std::chrono::seconds(
        20); ///< A connection idle for longer is closed; the server's Keep-Alive may be less.
};

/** One request to send. It goes out at most once: a connection that breaks is never tried again in secret. */
struct http_send {
    exchange_id m_exchange; ///< Chosen by the owner, unique among its sends in progress.
    endpoint m_address;     ///< The server.
    std::string m_method;   ///< GET, POST and so on.
    std::string m_path;     ///< Path with query.
    header_list m_headers;  ///< Fields beside Content-Length; Host where it differs from the address.
    std::string m_body;     ///< The whole body.
    duration m_timeout{};   ///< Longest time until the whole answer.
    std::string m_echoed_header =
        {}; ///< Field that the answer repeats; an answer with another value is not this one's.
    bool m_idempotent =
        true; ///< Otherwise only a connection used a moment ago, or a new one, is good enough.
};

/** A whole answer came. */
struct http_answer {
    exchange_id m_exchange;     ///< The exchange.
    std::uint16_t m_status = 0; ///< HTTP status.
    header_list m_headers;      ///< All fields.
    std::string m_body;         ///< The whole body.
};

/** Why no whole answer came. */
enum class http_failure_kind {
    not_sent, ///< No byte of the request went to the server.
    timeout,  ///< The request went out and the time is over.
    lost,     ///< The request went out and the connection broke.
    aborted   ///< The owner gave it up after it went out.
};

/** No whole answer came. */
struct http_failure {
    exchange_id m_exchange;                                 ///< The exchange.
    http_failure_kind m_kind = http_failure_kind::not_sent; ///< How far it went.
    std::string m_text;                                     ///< What the library says.
};

/** What a client tells its owner. */
using http_client_event = std::variant<http_answer, http_failure>;

/**
 * An HTTP/1.1 client that keeps connections open for use again.
 * Thread safety: for the loop's thread only.
 */
class http_client {
public:
    using handler = std::function<void(http_client_event&&)>;

    /**
     * Makes a client.
     * @param loop outlives the client.
     * @param settings its bounds.
     * @param on_event gets exactly one event for each send, never from within a call of this class.
     */
    static std::unique_ptr<http_client> make(event_loop& loop, const http_client_settings& settings,
                                             handler on_event);

    virtual ~http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Sends @p request. */
    virtual void send(http_send request) = 0;

    /** Gives up @p exchange; its event says how far it went. Ignored where it has ended. */
    virtual void abort(exchange_id exchange) = 0;

    /** Gives the sends without an event yet. */
    virtual std::size_t in_progress() const = 0;

protected:
    http_client() = default;
};

} // namespace waxwing

#endif
