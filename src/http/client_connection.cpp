/** @file client_connection.cpp One connection of an HTTP client to a server. */
#include "http/client_connection_base.h"

#include "http/message_func.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace waxwing {

namespace {

namespace beast_http = boost::beast::http;

constexpr std::uint32_t header_limit = 256 * 1024;    ///< Longest header of an answer, in bytes.
constexpr unsigned first_final_status = 200;          ///< Lower ones announce a later answer.
constexpr std::string_view timeout_word = "timeout="; ///< In the field Keep-Alive.

/** Reads the idle time-out of a Keep-Alive field; none where it names none. */
std::optional<duration> read_keep_alive(std::string_view text)
{
    const std::size_t start = text.find(timeout_word);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(start + timeout_word.size());
    std::uint32_t seconds = 0;
    const auto [stop, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (failure != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/** Tells whether a request of @p method says how long its body is, even where it is empty. */
bool always_has_length(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

client_connection::client_connection(event_loop& loop, const endpoint& address, std::size_t body_limit,
                                     handlers on)
    : m_loop(loop), m_address(address), m_body_limit(body_limit), m_on(std::move(on)),
      m_watch(loop, [this](int events) { on_ready(events); }),
      m_failure_notice(loop, [this] { broken(m_failure); })
{
    result<descriptor> started = start_connect(address, socket_use::http);
    if (started.has_error()) {
        m_failure = started.error().m_text;
        m_failure_notice.wake();
        return;
    }
    m_socket = std::move(started).value();
    watch();
}

void client_connection::send(const http_send& request)
{
    m_request.emplace();
    m_request->m_exchange = request.m_exchange;
    m_request->m_head = request.m_method == "HEAD";
    const std::string* const echoed =
        request.m_echoed_header.empty() ? nullptr : find_header(request.m_headers, request.m_echoed_header);
    if (echoed != nullptr) {
        m_request->m_echo_name = request.m_echoed_header;
        m_request->m_echo_value = *echoed;
    }
    write_request(request);
    m_sent = 0;
    if (m_phase == phase::ready) {
        send_out();
    }
    watch();
}

void client_connection::write_request(const http_send& request)
{
    m_out = request.m_method + " " + request.m_path + " HTTP/1.1\r\n";
    if (find_header(request.m_headers, "Host") == nullptr) {
        m_out += "Host: " + to_string(request.m_address) + "\r\n";
    }
    for (const header& field : request.m_headers) {
        if (!equal_ignoring_case(field.m_name, "Content-Length")) {
            append_field(m_out, field);
        }
    }
    if (!request.m_body.empty() || always_has_length(request.m_method)) {
        m_out += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    }
    m_out += "\r\n";
    m_out += request.m_body;
}

void client_connection::on_ready(int events)
{
    if (m_phase == phase::connecting) {
        if (!connect_succeeded(m_socket.get())) {
            broken("can't connect to " + to_string(m_address));
            return;
        }
        m_phase = phase::ready;
        m_idle_since = event_loop::now();
    }
    if ((events & EV_READ) != 0) {
        read();
    }
    if (m_phase == phase::ready && m_request && m_sent < m_out.size()) {
        send_out();
    }
    watch();
}

void client_connection::send_out()
{
    if (!send_rest(m_socket.get(), m_out, m_sent)) {
        m_failure = std::strerror(errno);
        m_failure_notice.wake();
    }
}

void client_connection::read()
{
    static thread_local std::array<char, read_size> buffer;
    const ssize_t count = recv(m_socket.get(), buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count < 0) {
        broken(std::strerror(errno));
        return;
    }
    if (!m_request) {
        broken("the server closed it or sent bytes without a request");
        return;
    }
    m_in.append(buffer.data(), static_cast<std::size_t>(count));
    parse(count == 0);
}

/** Takes in what has come. @param at_end whether the server sends no more. */
void client_connection::parse(bool at_end)
{
    while (m_request) {
        if (!m_parser) {
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->header_limit(header_limit);
            m_parser->body_limit(m_body_limit);
            m_parser->skip(m_request->m_head);
        }
        boost::beast::error_code fault;
        std::size_t used = 0;
        if (!m_in.empty()) {
            used = m_parser->put(boost::asio::const_buffer(m_in.data(), m_in.size()), fault);
            m_in.erase(0, used);
        }
        if (fault && fault != beast_http::error::need_more) {
            broken("the answer can't be read: " + fault.message());
            return;
        }
        if (m_parser->is_done()) {
            if (!finish_message()) {
                return;
            }
            continue;
        }
        if (!m_in.empty() && used > 0) {
            continue;
        }
        if (!at_end) {
            return;
        }
        if (m_parser->got_some()) {
            m_parser->put_eof(fault);
        }
        if (fault || !m_parser->is_done()) {
            broken("the server closed the connection before the answer was whole");
            return;
        }
        if (!finish_message()) {
            return;
        }
    }
}

/** Takes the whole message of the parser. @return whether to go on, since it was not the awaited answer. */
bool client_connection::finish_message()
{
    const bool ends_by_close = m_parser->need_eof();
    auto message = m_parser->release();
    m_parser.reset();
    if (message.result_int() < first_final_status) {
        return true;
    }
    if (!m_request->m_echo_name.empty()) {
        const auto echoed = message.find(m_request->m_echo_name);
        if (echoed == message.end()) {
            broken("the answer does not name its request");
            return false;
        }
        if (echoed->value() != m_request->m_echo_value) {
            return true;
        }
    }
    const auto keep_alive = message.find(beast_http::field::keep_alive);
    if (keep_alive != message.end()) {
        const auto value = keep_alive->value();
        m_server_idle_limit = read_keep_alive({value.data(), value.size()}).value_or(m_server_idle_limit);
    }
    http_answer given;
    given.m_exchange = m_request->m_exchange;
    given.m_status = static_cast<std::uint16_t>(message.result_int());
    given.m_headers = to_headers(message);
    given.m_body = std::move(message.body());
    const bool clean = !ends_by_close && message.keep_alive() && m_in.empty() && m_sent == m_out.size();
    if (!clean) {
        close();
    }
    end(exchange_end::answered, std::move(given), "");
    return false;
}

/** Ends the exchange in progress. */
void client_connection::end(exchange_end how, http_answer&& given, const std::string& why)
{
    given.m_exchange = m_request->m_exchange;
    m_request.reset();
    m_out.clear();
    m_sent = 0;
    m_idle_since = event_loop::now();
    m_on.m_on_end(*this, how, std::move(given), why);
}

/** Closes the connection, and tells what became of the exchange in progress. */
void client_connection::broken(const std::string& why)
{
    const bool sent = m_sent > 0;
    close();
    if (m_request) {
        end(sent ? exchange_end::lost : exchange_end::unsent, {}, why);
        return;
    }
    m_on.m_on_closed(*this);
}

void client_connection::close()
{
    m_phase = phase::closed;
    m_watch.stop();
    m_watched = 0;
    m_socket.reset();
}

void client_connection::watch()
{
    if (m_phase == phase::closed || m_socket.get() < 0) {
        return;
    }
    const bool writes = m_phase == phase::connecting || (m_request && m_sent < m_out.size());
    const int wanted = (m_phase == phase::ready ? EV_READ : 0) | (writes ? EV_WRITE : 0);
    if (wanted != m_watched) {
        m_watched = wanted;
        m_watch.watch(m_socket.get(), wanted);
    }
}

} // namespace waxwing
