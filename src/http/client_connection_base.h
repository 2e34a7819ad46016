/** @file client_connection_base.h One connection of an HTTP client to a server. */
#ifndef WAXWING_HTTP_CLIENT_CONNECTION_BASE_H
#define WAXWING_HTTP_CLIENT_CONNECTION_BASE_H

#include "http/body_buffer_base.h"
#include "http/http_client_base.h"
#include "http/output_queue_base.h"

#include <boost/beast/http/parser.hpp>

#include <optional>

namespace waxwing {

/** How one exchange on a connection ended. */
enum class exchange_outcome {
    answered, ///< The whole answer was received.
    not_sent, ///< No byte of the request was written to the socket.
    lost      ///< The connection broke, or what was received is not a valid answer.
};

/** State of the request in progress on a connection. */
struct open_exchange {
    exchange_id m_exchange;   ///< Identifies it to the owner of the client.
    bool m_is_head = false;   ///< Whether the method is HEAD: the answer has no body.
    std::string m_echo_name;  ///< Header that the answer must repeat; empty for none.
    std::string m_echo_value; ///< Expected value of that header.
    unsigned m_skipped = 0;   ///< Messages received that are not its answer.
};

/**
 * One connection, which carries one request at a time.
 * Thread safety: for the loop's thread only.
 */
class client_connection {
public:
    /** Handlers of the connection's events; never called from within a call of this class. */
    struct handlers {
        /** The exchange has ended; the answer is empty unless the outcome is `answered`. */
        std::function<void(client_connection&, exchange_outcome, http_answer&&, std::string reason)> m_on_end;
        /** The connection has closed with no exchange in progress. */
        std::function<void(client_connection&)> m_on_closed;
        /** The bytes held of an unfinished answer have changed. Called last, so that it may close the
         * connection. */
        std::function<void(std::size_t before, std::size_t now)> m_on_held;
    };

    /** Starts to connect to @p address. @param number is unique among the connections of the client. */
    client_connection(event_loop& loop, std::uint64_t number, const endpoint& address, std::size_t body_limit,
                      std::shared_ptr<memory_budget> budget, handlers callbacks);

    /** Sends @p request once the connection is established. @pre No exchange is in progress. */
    void send(const http_send& request);

    /** Returns whether any byte of the request may have reached the server. */
    bool has_sent() const { return m_output.sent() > 0; }

    /** Returns whether the connection is established and has no exchange in progress. */
    bool is_reusable() const { return m_phase == phase::ready && !m_request; }

    std::uint64_t number() const { return m_number; }

    /** Returns the bytes held of an unfinished answer. */
    std::size_t held() const { return m_held.size(); }

    const endpoint& address() const { return m_address; }

    /** Returns when the last exchange ended, or when the connection was established. */
    instant idle_since() const { return m_idle_since; }

    /**
     * Returns the idle time after which the server closes the connection, by its Keep-Alive header;
     * duration::max() where unknown.
     */
    duration server_idle_timeout() const { return m_server_idle_timeout; }

    /** Closes the connection at once without calling a handler. */
    void close();

private:
    using parser = boost::beast::http::response_parser<buffered_body>;

    /** State of the connection. */
    enum class phase { connecting, ready, closed };

    void on_ready(int events);
    void write_request(const http_send& request);
    void send_output();
    void read();
    void parse(bool at_eof);
    bool finish_message();
    bool skip_message();
    void end_exchange(exchange_outcome outcome, http_answer&& answer, const std::string& reason);
    void close_with_error(const std::string& reason);
    void update_watcher();
    void update_held();

    event_loop& m_loop;
    std::uint64_t m_number; ///< Unique among the connections of the client.
    endpoint m_address;
    std::size_t m_body_limit;
    std::shared_ptr<memory_budget> m_budget; ///< Null if answers are not counted.
    handlers m_callbacks;
    descriptor m_socket;
    phase m_phase = phase::connecting;
    output_queue m_output;          ///< The request.
    std::string m_input;            ///< Bytes received and not yet parsed.
    std::optional<parser> m_parser; ///< Parses the answer.
    std::optional<open_exchange> m_request;
    memory_lease m_held; ///< Bytes held of an unfinished answer, as last passed to m_on_held.
    instant m_idle_since{};
    duration m_server_idle_timeout = duration::max();
    int m_watched_events = 0;
    io_watcher m_watcher;
    wakeup m_failure_wakeup; ///< Reports a connect or send that failed at once, but not from within the call.
    std::string m_failure;   ///< Reason that m_failure_wakeup reports.
};

} // namespace waxwing

#endif
