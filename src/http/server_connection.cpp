/** @file server_connection.cpp One client's connection to an HTTP server. */
#include "http/server_connection_base.h"

#include "http/message_func.h"

#include <boost/beast/http/status.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace waxwing {

namespace {

namespace beast_http = boost::beast::http;

constexpr int read_rounds = 4;             ///< Reads in a row, so that other connections get their turn.
constexpr std::size_t pipeline_limit = 64; ///< Requests that wait for their replies on one connection.
constexpr std::size_t output_limit = 4 * 1024 * 1024; ///< Bytes to be sent above which nothing more is read.
constexpr duration linger_limit = std::chrono::milliseconds(500); ///< Wait for the client to close first.
constexpr unsigned first_status = 100;
constexpr unsigned last_status = 999;
constexpr unsigned fallback_status = 500;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

/** Tells whether the server itself writes the field @p name. */
bool is_framing_field(const std::string& name)
{
    return equal_ignoring_case(name, "Content-Length") || equal_ignoring_case(name, "Transfer-Encoding") ||
           equal_ignoring_case(name, "Connection") || equal_ignoring_case(name, "Keep-Alive");
}

/** Gives the status by which a request that can't be parsed is refused. */
unsigned status_of(const boost::beast::error_code& fault)
{
    if (fault == beast_http::error::header_limit) {
        return 431;
    }
    return 400;
}

} // namespace

server_connection::server_connection(server_shared& shared, accepted_connection accepted, bool surplus)
    : m_shared(shared), m_socket(std::move(accepted.m_socket)), m_peer(std::move(accepted.m_peer.m_host)),
      m_surplus(surplus), m_active(event_loop::now()),
      m_watch(shared.m_loop, [this](int events) { on_ready(events); }),
      m_timer(shared.m_loop, [this] { on_timer(); })
{
    m_timer.set(timeout());
    update();
}

bool server_connection::is_idle() const
{
    return m_phase == phase::open && m_pending.empty() && m_in.empty() && !m_parser && m_out.empty();
}

void server_connection::on_ready(int events)
{
    m_active = event_loop::now();
    if ((events & EV_WRITE) != 0) {
        send_out();
    }
    if ((events & EV_READ) != 0 && m_phase != phase::closed) {
        read();
    }
    update();
}

void server_connection::read()
{
    static thread_local std::array<char, read_size> buffer;
    for (int round = 0; round < read_rounds; ++round) {
        const ssize_t count = recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (count <= 0) {
            close();
            return;
        }
        if (m_phase == phase::open && !m_last_received) {
            m_in.append(buffer.data(), static_cast<std::size_t>(count));
        }
        if (static_cast<std::size_t>(count) < buffer.size()) {
            break;
        }
    }
    parse();
}

/** Hands over the whole requests that have come, as far as there is room for them. */
void server_connection::parse()
{
    while (m_phase == phase::open && !m_last_received && !m_in.empty() && m_pending.size() < pipeline_limit &&
           m_out.size() < output_limit) {
        if (!m_parser) {
            start_parser();
        }
        boost::beast::error_code fault;
        const std::size_t used = m_parser->put(boost::asio::const_buffer(m_in.data(), m_in.size()), fault);
        m_in.erase(0, used);
        if (fault == beast_http::error::need_more) {
            send_continue();
            return;
        }
        if (fault == beast_http::error::body_limit) {
            finish_request(true);
            return;
        }
        if (fault) {
            refuse(status_of(fault));
            return;
        }
        if (!m_parser->is_done()) {
            send_continue();
            if (used == 0) {
                return;
            }
            continue;
        }
        finish_request(false);
    }
}

void server_connection::start_parser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_shared.m_settings.m_header_limit));
    m_parser->body_limit(m_shared.m_settings.m_body_limit);
    m_receiving_since = event_loop::now();
    m_continued = false;
}

/** Tells a client that waits for it to send the body. */
void server_connection::send_continue()
{
    if (m_continued || !m_parser || !m_parser->is_header_done() || !m_pending.empty()) {
        return;
    }
    const auto expected = m_parser->get().find(beast_http::field::expect);
    if (expected == m_parser->get().end()) {
        return;
    }
    m_continued = true;
    m_out += "HTTP/1.1 100 Continue\r\n\r\n";
    send_out();
}

/** Hands over the request of the parser. @param oversize whether its body is over the limit. */
void server_connection::finish_request(bool oversize)
{
    const bool last = oversize || m_surplus || !m_parser->get().keep_alive();
    auto message = m_parser->release();
    m_parser.reset();
    m_last_received = last;
    http_request request;
    request.m_exchange = m_shared.m_begin(*this);
    request.m_method = std::string(message.method_string());
    request.m_path = std::string(message.target());
    request.m_headers = to_headers(message);
    request.m_body = oversize ? std::string{} : std::move(message.body());
    request.m_body_too_large = oversize;
    request.m_peer = m_peer;
    request.m_over_connection_limit = m_surplus;
    m_pending.push_back({request.m_exchange, request.m_method == "HEAD", last, std::nullopt});
    m_shared.m_on_request(std::move(request));
}

/** Answers a request that can't be read, and closes after it. */
void server_connection::refuse(unsigned status)
{
    m_parser.reset();
    m_in.clear();
    m_last_received = true;
    const exchange_id id = m_shared.m_begin(*this);
    m_pending.push_back({id, false, true, std::nullopt});
    reply({id, static_cast<std::uint16_t>(status), {{"Cache-Control", "no-store"}}, ""});
}

void server_connection::reply(http_reply reply)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(),
                                    [&](const exchange& each) { return each.m_id == reply.m_exchange; });
    if (found == m_pending.end() || found->m_reply.has_value() || m_phase != phase::open) {
        return;
    }
    found->m_reply = std::move(reply);
    flush_replies();
    parse();
    update();
}

/** Moves the replies whose turn has come to the output. */
void server_connection::flush_replies()
{
    while (m_phase == phase::open && !m_pending.empty() && m_pending.front().m_reply.has_value()) {
        exchange ended = std::move(m_pending.front());
        m_pending.pop_front();
        const bool nothing_follows = m_pending.empty() && !m_parser && m_in.empty();
        ended.m_last = ended.m_last || (m_shared.m_draining && nothing_follows);
        m_last_received = m_last_received || ended.m_last;
        append_reply(ended);
        m_shared.m_on_end(ended.m_id, false);
    }
    send_out();
}

void server_connection::append_reply(const exchange& ended)
{
    const http_reply& reply = *ended.m_reply;
    const bool valid = reply.m_status >= first_status && reply.m_status <= last_status;
    const unsigned status = valid ? reply.m_status : fallback_status;
    const auto reason = beast_http::obsolete_reason(beast_http::int_to_status(status));
    m_out += "HTTP/1.1 " + std::to_string(status) + " ";
    m_out.append(reason.data(), reason.size());
    m_out += "\r\n";
    for (const header& field : reply.m_headers) {
        if (!is_framing_field(field.m_name)) {
            append_field(m_out, field);
        }
    }
    const bool bodiless = status == no_content || status == not_modified;
    const std::string* const told = find_header(reply.m_headers, "Content-Length");
    if (ended.m_head && told != nullptr && reply.m_body.empty()) {
        m_out += "Content-Length: " + *told + "\r\n";
    }
    else if (!bodiless) {
        m_out += "Content-Length: " + std::to_string(reply.m_body.size()) + "\r\n";
    }
    m_out += ended.m_last ? "Connection: close\r\n\r\n" : "\r\n";
    if (!ended.m_head && !bodiless) {
        m_out += reply.m_body;
    }
}

void server_connection::send_out()
{
    const std::size_t before = m_sent;
    const bool healthy = send_rest(m_socket.get(), m_out, m_sent);
    if (m_sent > before) {
        m_active = event_loop::now();
    }
    if (!healthy) {
        close();
        return;
    }
    if (m_sent < m_out.size()) {
        return;
    }
    m_out.clear();
    m_sent = 0;
    finish_output();
}

/** Ends the connection in order where the last reply has gone out. */
void server_connection::finish_output()
{
    if (m_phase != phase::open || !m_last_received || !m_pending.empty()) {
        return;
    }
    m_phase = phase::lingering;
    m_in.clear();
    shutdown(m_socket.get(), SHUT_WR);
    m_timer.set(linger_limit);
}

void server_connection::close()
{
    if (m_phase == phase::closed) {
        return;
    }
    m_phase = phase::closed;
    m_watch.stop();
    m_timer.cancel();
    m_socket.reset();
    for (const exchange& lost : m_pending) {
        m_shared.m_on_end(lost.m_id, true);
    }
    m_pending.clear();
    m_shared.m_on_closed(*this);
}

/** Gives the time without traffic after which the connection ends in its present state. */
duration server_connection::timeout() const
{
    return m_parser ? m_shared.m_settings.m_request_timeout : m_shared.m_settings.m_idle_timeout;
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
    const instant since = receiving ? m_receiving_since : m_active;
    const bool waits = !m_pending.empty() && m_out.empty();
    if (now - since < timeout() || (waits && !receiving)) {
        m_timer.set(waits && !receiving ? timeout() : since + timeout() - now);
        return;
    }
    if (receiving && m_pending.empty()) {
        refuse(request_timeout_status);
        m_timer.set(linger_limit);
        return;
    }
    close();
}

/** Watches what matters now, and tells the server whether the connection is idle. */
void server_connection::update()
{
    if (m_phase == phase::closed) {
        return;
    }
    const bool full = m_pending.size() >= pipeline_limit || m_out.size() >= output_limit;
    const int wanted = (full ? 0 : EV_READ) | (m_out.empty() ? 0 : EV_WRITE);
    if (wanted != m_watched) {
        m_watched = wanted;
        m_watch.watch(m_socket.get(), wanted);
    }
    const bool idle = is_idle();
    if (idle != m_was_idle) {
        m_was_idle = idle;
        m_shared.m_on_idle(*this, idle);
    }
    if (m_parser && m_shared.m_settings.m_request_timeout < m_shared.m_settings.m_idle_timeout) {
        const duration left = m_receiving_since + m_shared.m_settings.m_request_timeout - event_loop::now();
        m_timer.set(std::max(left, duration::zero()));
    }
}

} // namespace waxwing
