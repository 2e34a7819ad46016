/** @file client_connection_base.h One connection of an HTTP client to a server. */
#ifndef WAXWING_HTTP_CLIENT_CONNECTION_BASE_H
#define WAXWING_HTTP_CLIENT_CONNECTION_BASE_H

#include "http/http_client_base.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace waxwing {

/** How one exchange on a connection ended. */
enum class exchange_end {
    answered, ///< The whole answer came.
    unsent,   ///< No byte of the request was taken by the network.
    lost      ///< The connection broke or what came is no answer.
};

/** What must be known of the request in progress on a connection. */
struct open_exchange {
    exchange_id m_exchange;   ///< Names it to the client's owner.
    bool m_head = false;      ///< Whether the answer has no body.
    std::string m_echo_name;  ///< Field that the answer repeats; empty where none does.
    std::string m_echo_value; ///< Its value.
};

/**
 * One connection, which carries one request at a time. Thread safety: for the loop's thread only.
 */
class client_connection {
public:
    /** What a connection tells its client, never from within a call of the connection but its constructor. */
    struct handlers {
        /** The exchange ended; the answer is empty unless it was answered. */
        std::function<void(client_connection&, exchange_end, http_answer&&, std::string why)> m_on_end;
        /** The connection has closed while it carried nothing. */
        std::function<void(client_connection&)> m_on_closed;
    };

    /** Begins to connect to @p address. */
    client_connection(event_loop& loop, const endpoint& address, std::size_t body_limit, handlers on);

    /** Sends @p request once the connection is up. @pre Nothing is in progress here. */
    void send(const http_send& request);

    /** Tells whether any byte of the request may have reached the server. */
    bool has_sent() const { return m_sent > 0; }

    /** Tells whether another request may be sent on it. */
    bool is_reusable() const { return m_phase == phase::ready && !m_request; }

    /** Gives the server's address. */
    const endpoint& address() const { return m_address; }

    /** Gives when the last exchange ended. */
    instant idle_since() const { return m_idle_since; }

    /** Gives the time without traffic after which the server closes it; the greatest duration where unknown.
     */
    duration server_idle_limit() const { return m_server_idle_limit; }

    /** Closes at once, without a word to the handlers. */
    void close();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /** How far the connection is. */
    enum class phase { connecting, ready, closed };

    void on_ready(int events);
    void write_request(const http_send& request);
    void send_out();
    void read();
    void parse(bool at_end);
    bool finish_message();
    void end(exchange_end how, http_answer&& given, const std::string& why);
    void broken(const std::string& why);
    void watch();

    event_loop& m_loop;
    endpoint m_address;
    std::size_t m_body_limit;
    handlers m_on;
    descriptor m_socket;
    phase m_phase = phase::connecting;
    std::string m_out;              ///< The request.
    std::size_t m_sent = 0;         ///< Bytes of it that have gone out.
    std::string m_in;               ///< Received and not parsed.
    std::optional<parser> m_parser; ///< Of the answer.
    std::optional<open_exchange> m_request;
    instant m_idle_since{};
    duration m_server_idle_limit = duration::max();
    int m_watched = 0;
    io_watcher m_watch;
    wakeup m_failure_notice; ///< Tells of a connect or send that failed at once.
    std::string m_failure;
};

} // namespace waxwing

#endif
