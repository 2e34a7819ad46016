/** @file server_connection.cpp One client's connection to an HTTP server. */
#include "http/server_connection_base.h"

#include "http/message_func.h"

#include <boost/beast/http/status.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace waxwing {

namespace {

namespace beast_http = boost::beast::http;

constexpr int max_reads = 4; ///< Reads per event, so that other connections are served in between.
constexpr std::size_t pipeline_limit = 64;            ///< Most requests of one connection that await a reply.
constexpr std::size_t output_limit = 4 * 1024 * 1024; ///< Unsent bytes at which parsing stops.
constexpr std::size_t input_limit = 64 * 1024; ///< Unparsed bytes at which reading stops while parsing does.
/** Longest wait for the client to close first. */
constexpr duration linger_timeout = std::chrono::milliseconds(500);
constexpr unsigned first_status = 200; ///< Lowest status of a reply.
constexpr unsigned last_status = 599;  ///< Highest status of a reply.
constexpr unsigned bad_gateway_status = 502;
constexpr unsigned bad_request_status = 400;
constexpr unsigned header_limit_status = 431;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

/** Returns whether the header @p name frames the message; the server writes these itself. */
bool is_framing_header(const std::string& name)
{
    return equal_ignoring_case(name, "Content-Length") || equal_ignoring_case(name, "Transfer-Encoding") ||
           equal_ignoring_case(name, "Connection") || equal_ignoring_case(name, "Keep-Alive");
}

/** Returns the status with which a request that cannot be parsed is refused. */
unsigned rejection_status(const boost::beast::error_code& parse_error)
{
    if (parse_error == beast_http::error::header_limit) {
        return header_limit_status;
    }
    return bad_request_status;
}

} // namespace

server_connection::server_connection(server_context& context, accepted_connection accepted, bool over_limit)
    : m_context(context), m_socket(std::move(accepted.m_socket)), m_peer(std::move(accepted.m_peer.m_host)),
      m_over_limit(over_limit), m_lease(context.m_settings.m_budget), m_last_activity_at(event_loop::now()),
      m_watcher(context.m_loop, [this](int events) { on_ready(events); }),
      m_timer(context.m_loop, [this] { on_timer(); })
{
    m_timer.set(timeout());
    update();
}

bool server_connection::is_idle() const
{
    return m_phase == phase::open && m_pending.empty() && m_input.empty() && !m_parser && m_output.empty();
}

void server_connection::on_ready(int events)
{
    if ((events & EV_WRITE) != 0) {
        send_output();
        parse();
        update_lease();
    }
    if ((events & EV_READ) != 0 && m_phase != phase::closed) {
        read();
    }
    update();
}

void server_connection::read()
{
    static thread_local std::array<char, read_size> buffer;
    for (int read_count = 0; read_count < max_reads && m_phase != phase::closed; ++read_count) {
        if (!has_room()) {
            m_paused = true;
            m_context.m_on_paused();
            return;
        }
        const ssize_t count = recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (count <= 0) {
            close();
            return;
        }
        m_last_activity_at = event_loop::now();
        if (m_phase == phase::open && !m_last_received) {
            m_input.append(buffer.data(), static_cast<std::size_t>(count));
        }
        parse();
        update_lease();
        if (static_cast<std::size_t>(count) < buffer.size()) {
            break;
        }
    }
}

/** Parses the received bytes and delivers whole requests, up to the limits on pipelining and output. */
void server_connection::parse()
{
    while (m_phase == phase::open && !m_last_received && !m_input.empty() && !is_full()) {
        if (!m_parser) {
            start_parser();
        }
        if (!m_parser->is_header_done() && has_folded_field(m_input)) {
            refuse(bad_request_status);
            return;
        }
        boost::beast::error_code parse_error;
        const std::size_t consumed = put_bytes(*m_parser, m_input, parse_error);
        m_input.erase(0, consumed);
        if (m_parser->is_header_done() && !has_known_framing(m_parser->get())) {
            refuse(bad_request_status);
            return;
        }
        if (parse_error == beast_http::error::need_more) {
            send_continue();
            refuse_endless_line();
            return;
        }
        if (parse_error == beast_http::error::body_limit) {
            finish_request(true);
            return;
        }
        if (parse_error) {
            refuse(rejection_status(parse_error));
            return;
        }
        if (!m_parser->is_done()) {
            send_continue();
            if (consumed == 0) {
                refuse_endless_line();
                return;
            }
            continue;
        }
        finish_request(false);
    }
}

/** Returns whether too many requests await their replies, or too much output is unsent, to parse another one.
 */
bool server_connection::is_full() const
{
    return m_pending.size() >= pipeline_limit || m_output.size() >= output_limit;
}

/** Refuses a request in which the parser waits for the end of a line, such as a chunk extension, for too
 * long. */
void server_connection::refuse_endless_line()
{
    if (m_input.size() > m_context.m_settings.m_header_limit) {
        refuse(header_limit_status);
    }
}

void server_connection::start_parser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_context.m_settings.m_header_limit));
    m_parser->body_limit(m_context.m_settings.m_body_limit);
    m_receiving_since = event_loop::now();
    m_continue_sent = false;
}

/** Sends 100 Continue to a client that waits for it before it sends the body. */
void server_connection::send_continue()
{
    if (m_continue_sent || !m_parser || !m_parser->is_header_done() || !m_pending.empty()) {
        return;
    }
    const auto expected = m_parser->get().find(beast_http::field::expect);
    if (expected == m_parser->get().end()) {
        return;
    }
    m_continue_sent = true;
    m_output.append(std::string("HTTP/1.1 100 Continue\r\n\r\n"));
    send_output();
}

/** Delivers the request of the parser. @param body_too_large whether its body exceeds the limit. */
void server_connection::finish_request(bool body_too_large)
{
    const bool close_after = body_too_large || m_over_limit || !m_parser->get().keep_alive();
    auto message = m_parser->release();
    m_parser.reset();
    m_last_received = close_after;
    http_request request;
    request.m_exchange = m_context.m_begin_exchange(*this);
    request.m_method = std::string(message.method_string());
    request.m_path = std::string(message.target());
    request.m_headers = to_headers(message);
    if (!body_too_large) {
        memory_lease lease(m_context.m_settings.m_budget);
        lease.resize(message.body().size());
        request.m_body = shared_body(message.body().take(), std::move(lease));
    }
    m_lease.resize(0);
    request.m_body_too_large = body_too_large;
    request.m_peer = m_peer;
    request.m_over_connection_limit = m_over_limit;
    m_pending.push_back({request.m_exchange, request.m_method == "HEAD", close_after, std::nullopt});
    m_context.m_on_request(std::move(request));
}

/** Replies to an invalid or late request with @p status, and closes after the reply. */
void server_connection::refuse(unsigned status)
{
    m_parser.reset();
    std::string().swap(m_input);
    m_lease.resize(0);
    m_last_received = true;
    const exchange_id id = m_context.m_begin_exchange(*this);
    m_pending.push_back({id, false, true, std::nullopt});
    m_context.m_on_refused({static_cast<std::uint16_t>(status), m_peer});
    reply({id, static_cast<std::uint16_t>(status), {{"Cache-Control", "no-store"}}, ""});
}

void server_connection::reply(http_reply reply)
{
    const auto position = std::find_if(m_pending.begin(), m_pending.end(), [&](const pending_exchange& each) {
        return each.m_id == reply.m_exchange;
    });
    if (position == m_pending.end() || position->m_reply.has_value() || m_phase != phase::open) {
        return;
    }
    position->m_reply = std::move(reply);
    flush_replies();
    parse();
    update_lease();
    update();
}

/** Serialises the replies that no earlier request holds up, and sends them. */
void server_connection::flush_replies()
{
    while (m_phase == phase::open && !m_pending.empty() && m_pending.front().m_reply.has_value()) {
        pending_exchange exchange = std::move(m_pending.front());
        m_pending.pop_front();
        const bool nothing_follows = m_pending.empty() && !m_parser && m_input.empty();
        exchange.m_close_after = exchange.m_close_after || (m_context.m_draining && nothing_follows);
        m_last_received = m_last_received || exchange.m_close_after;
        append_reply(exchange);
        m_context.m_on_end(exchange.m_id, false);
    }
    send_output();
}

void server_connection::append_reply(const pending_exchange& exchange)
{
    // The headers and the body of an answer with another status belong to no answer either.
    const bool valid =
        exchange.m_reply->m_status >= first_status && exchange.m_reply->m_status <= last_status;
    const http_reply bad_gateway{exchange.m_id, bad_gateway_status, {}, ""};
    const http_reply& reply = valid ? *exchange.m_reply : bad_gateway;
    const unsigned status = reply.m_status;
    const auto reason = beast_http::obsolete_reason(beast_http::int_to_status(status));
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason.data(), reason.size());
    head += "\r\n";
    for (const header& each : reply.m_headers) {
        if (!is_framing_header(each.m_name)) {
            append_header(head, each);
        }
    }
    const bool bodiless = status == no_content || status == not_modified;
    const std::string* const content_length = find_header(reply.m_headers, "Content-Length");
    if (exchange.m_is_head && content_length != nullptr && reply.m_body.empty()) {
        head += "Content-Length: " + *content_length + "\r\n";
    }
    else if (!bodiless) {
        head += "Content-Length: " + std::to_string(reply.m_body.size()) + "\r\n";
    }
    head += exchange.m_close_after ? "Connection: close\r\n\r\n" : "\r\n";
    m_output.append(std::move(head));
    if (!exchange.m_is_head && !bodiless) {
        m_output.append(reply.m_body);
    }
}

void server_connection::send_output()
{
    const std::uint64_t before = m_output.sent();
    const bool socket_ok = m_output.send(m_socket.get());
    if (m_output.sent() > before) {
        m_last_activity_at = event_loop::now();
    }
    if (!socket_ok) {
        close();
        return;
    }
    if (!m_output.empty()) {
        return;
    }
    shutdown_if_done();
}

/** Shuts down the sending side once the last reply has been sent, and waits for the client to close. */
void server_connection::shutdown_if_done()
{
    if (m_phase != phase::open || !m_last_received || !m_pending.empty()) {
        return;
    }
    m_phase = phase::lingering;
    m_input.clear();
    shutdown(m_socket.get(), SHUT_WR);
    m_timer.set(linger_timeout);
}

void server_connection::close()
{
    if (m_phase == phase::closed) {
        return;
    }
    m_phase = phase::closed;
    m_watcher.stop();
    m_timer.cancel();
    m_socket.reset();
    for (const pending_exchange& exchange : m_pending) {
        m_context.m_on_end(exchange.m_id, true);
    }
    m_pending.clear();
    m_parser.reset();
    std::string().swap(m_input);
    m_output.clear();
    m_lease.resize(0);
    update_sending();
    m_context.m_on_closed(*this);
}

/** Returns the time-out of the current state: for receiving a request, or for being idle. */
duration server_connection::timeout() const
{
    return m_parser ? m_context.m_settings.m_request_timeout : m_context.m_settings.m_idle_timeout;
}

void server_connection::on_timer()
{
    if (m_phase == phase::lingering) {
        close();
        return;
    }
    constexpr unsigned request_timeout_status = 408;
    const instant now = event_loop::now();
    const bool receiving = m_parser.has_value();
    const instant since = receiving ? m_receiving_since : m_last_activity_at;
    const bool awaits_reply = !m_pending.empty() && m_output.empty();
    if (now - since < timeout() || (awaits_reply && !receiving)) {
        m_timer.set(awaits_reply && !receiving ? timeout() : since + timeout() - now);
        return;
    }
    if (receiving) {
        // Replies to earlier requests come first.
        refuse(request_timeout_status);
        m_timer.set(linger_timeout);
        return;
    }
    close();
}

/** Counts the connection while it has unsent output. */
void server_connection::update_sending()
{
    const bool is_sending = m_phase == phase::open && !m_output.empty();
    if (is_sending != m_counted_sending) {
        m_counted_sending = is_sending;
        is_sending ? ++m_context.m_sending : --m_context.m_sending;
    }
}

/** Updates the watched events and the time-out, and reports a change between idle and busy. */
void server_connection::update()
{
    if (m_phase == phase::closed) {
        return;
    }
    update_sending();
    // Some input is read even while none is parsed, as only reading shows that the client has left.
    const bool reads = !m_paused && (!is_full() || m_input.size() < input_limit);
    const int events = (reads ? EV_READ : 0) | (m_output.empty() ? 0 : EV_WRITE);
    if (events != m_watched_events) {
        m_watched_events = events;
        m_watcher.watch(m_socket.get(), events);
    }
    const bool idle = is_idle();
    if (idle != m_reported_idle) {
        m_reported_idle = idle;
        m_context.m_on_idle(*this, idle);
    }
    if (m_parser && m_context.m_settings.m_request_timeout < m_context.m_settings.m_idle_timeout) {
        const duration left = m_receiving_since + m_context.m_settings.m_request_timeout - event_loop::now();
        m_timer.set(std::max(left, duration::zero()));
    }
}

} // namespace waxwing
