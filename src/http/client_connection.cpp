/** @file client_connection.cpp One connection of an HTTP client to a server. */
#include "http/client_connection_base.h"

#include "http/message_func.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace waxwing {

namespace {

namespace beast_http = boost::beast::http;

constexpr std::uint32_t header_limit = 256 * 1024; ///< Longest answer header accepted, in bytes.
/** Most bytes that the parser leaves unread, such as a chunk extension that does not end. */
constexpr std::size_t unparsed_limit = header_limit;
/** Most interim answers, and answers to earlier requests, before the answer to a request. */
constexpr unsigned skipped_limit = 64;
constexpr unsigned first_interim_status = 100;             ///< Status codes below do not exist.
constexpr unsigned first_final_status = 200;               ///< Status codes below are interim (1xx).
constexpr unsigned last_status = 599;                      ///< Status codes above do not exist.
constexpr std::string_view timeout_parameter = "timeout="; ///< Parameter of the Keep-Alive header.

/** Returns the idle time-out in the value of a Keep-Alive header, if it has one. */
std::optional<duration> read_keep_alive(std::string_view text)
{
    const std::size_t start = text.find(timeout_parameter);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(start + timeout_parameter.size());
    std::uint32_t seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/** Returns whether a request with @p method has a Content-Length header even when its body is empty. */
bool always_has_length(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

client_connection::client_connection(event_loop& loop, std::uint64_t number, const endpoint& address,
                                     std::size_t body_limit, std::shared_ptr<memory_budget> budget,
                                     handlers callbacks)
    : m_loop(loop), m_number(number), m_address(address), m_body_limit(body_limit),
      m_budget(std::move(budget)), m_callbacks(std::move(callbacks)), m_held(m_budget),
      m_watcher(loop, [this](int events) { on_ready(events); }),
      m_failure_wakeup(loop, [this] { close_with_error(m_failure); })
{
    result<descriptor> socket = start_connect(address, socket_use::http);
    if (socket.has_error()) {
        m_failure = socket.error().m_text;
        m_failure_wakeup.wake();
        return;
    }
    m_socket = std::move(socket).value();
    update_watcher();
}

void client_connection::send(const http_send& request)
{
    m_request.emplace();
    m_request->m_exchange = request.m_exchange;
    m_request->m_is_head = request.m_method == "HEAD";
    const std::string* const echoed =
        request.m_echoed_header.empty() ? nullptr : find_header(request.m_headers, request.m_echoed_header);
    if (echoed != nullptr) {
        m_request->m_echo_name = request.m_echoed_header;
        m_request->m_echo_value = *echoed;
    }
    write_request(request);
    if (m_phase == phase::ready) {
        send_output();
    }
    update_watcher();
}

void client_connection::write_request(const http_send& request)
{
    std::string head = request.m_method + " " + request.m_path + " HTTP/1.1\r\n";
    if (find_header(request.m_headers, "Host") == nullptr) {
        head += "Host: " + to_string(request.m_address) + "\r\n";
    }
    for (const header& each : request.m_headers) {
        if (!equal_ignoring_case(each.m_name, "Content-Length")) {
            append_header(head, each);
        }
    }
    if (!request.m_body.empty() || always_has_length(request.m_method)) {
        head += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    }
    head += "\r\n";
    m_output.clear();
    m_output.append(std::move(head));
    m_output.append(request.m_body);
}

void client_connection::on_ready(int events)
{
    if (m_phase == phase::connecting) {
        if (!connect_succeeded(m_socket.get())) {
            close_with_error("cannot connect to " + to_string(m_address));
            return;
        }
        m_phase = phase::ready;
        m_idle_since = event_loop::now();
    }
    if ((events & EV_READ) != 0) {
        read();
    }
    if (m_phase == phase::ready && m_request && !m_output.empty()) {
        send_output();
    }
    update_watcher();
}

void client_connection::send_output()
{
    if (!m_output.send(m_socket.get())) {
        m_failure = std::strerror(errno);
        m_failure_wakeup.wake();
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
        close_with_error(std::strerror(errno));
        return;
    }
    if (!m_request) {
        close_with_error("the server closed the idle connection or sent data without a request");
        return;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    parse(count == 0);
    if (m_input.empty()) {
        std::string().swap(m_input);
    }
    update_held();
}

/** Reports the bytes held of an unfinished answer if they have changed. */
void client_connection::update_held()
{
    const bool has_body = m_phase == phase::ready && m_parser && m_parser->is_header_done();
    const std::size_t held =
        m_phase == phase::ready ? m_input.size() + (has_body ? m_parser->get().body().size() : 0) : 0;
    const std::size_t before = m_held.size();
    if (held != before) {
        m_held.resize(held);
        m_callbacks.m_on_held(before, held);
    }
}

/** Parses the received bytes. @param at_eof whether the server has closed its sending side. */
void client_connection::parse(bool at_eof)
{
    while (m_request) {
        if (!m_parser) {
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->header_limit(header_limit);
            m_parser->body_limit(m_body_limit);
            m_parser->skip(m_request->m_is_head);
        }
        boost::beast::error_code parse_error;
        std::size_t consumed = 0;
        if (!m_input.empty()) {
            consumed = put_bytes(*m_parser, m_input, parse_error);
            m_input.erase(0, consumed);
        }
        if (parse_error && parse_error != beast_http::error::need_more) {
            close_with_error("cannot parse the answer: " + parse_error.message());
            return;
        }
        if (m_parser->is_header_done() && !has_known_framing(m_parser->get())) {
            close_with_error("the answer has an unknown transfer encoding");
            return;
        }
        if (m_parser->is_done()) {
            if (!finish_message()) {
                return;
            }
            continue;
        }
        if (!m_input.empty() && consumed > 0) {
            continue;
        }
        if (m_input.size() > unparsed_limit) {
            close_with_error("the answer contains a line that does not end");
            return;
        }
        if (!at_eof) {
            return;
        }
        if (m_parser->got_some()) {
            m_parser->put_eof(parse_error);
        }
        if (parse_error || !m_parser->is_done()) {
            close_with_error("the server closed the connection before the answer was complete");
            return;
        }
        if (!finish_message()) {
            return;
        }
    }
}

/**
 * Handles a complete message from the parser.
 * @return true where it is not the expected answer (an interim answer, or one to an earlier request), so that
 * parsing continues.
 */
bool client_connection::finish_message()
{
    const bool ends_at_eof = m_parser->need_eof();
    auto message = m_parser->release();
    m_parser.reset();
    if (message.result_int() < first_interim_status || message.result_int() > last_status) {
        close_with_error("the answer has the status " + std::to_string(message.result_int()) +
                         ", which does not exist");
        return false;
    }
    if (message.result_int() < first_final_status) {
        return skip_message();
    }
    if (!m_request->m_echo_name.empty()) {
        const auto echoed = message.find(m_request->m_echo_name);
        if (echoed == message.end()) {
            close_with_error("the answer lacks the header that identifies its request");
            return false;
        }
        if (echoed->value() != m_request->m_echo_value) {
            return skip_message();
        }
    }
    const auto keep_alive = message.find(beast_http::field::keep_alive);
    if (keep_alive != message.end()) {
        const auto value = keep_alive->value();
        m_server_idle_timeout = read_keep_alive({value.data(), value.size()}).value_or(m_server_idle_timeout);
    }
    http_answer answer;
    answer.m_exchange = m_request->m_exchange;
    answer.m_status = static_cast<std::uint16_t>(message.result_int());
    answer.m_headers = to_headers(message);
    memory_lease lease(m_budget);
    lease.resize(message.body().size());
    answer.m_body = shared_body(message.body().take(), std::move(lease));
    const bool reusable = !ends_at_eof && message.keep_alive() && m_input.empty() && m_output.empty();
    if (!reusable) {
        close();
    }
    end_exchange(exchange_outcome::answered, std::move(answer), "");
    return false;
}

/** Counts a message that is not the expected answer. @return false where there were too many. */
bool client_connection::skip_message()
{
    if (++m_request->m_skipped <= skipped_limit) {
        return true;
    }
    close_with_error("the server sent too many messages that are not the answer");
    return false;
}

/** Ends the exchange in progress and reports its outcome. */
void client_connection::end_exchange(exchange_outcome outcome, http_answer&& answer,
                                     const std::string& reason)
{
    answer.m_exchange = m_request->m_exchange;
    m_request.reset();
    m_output.clear();
    m_idle_since = event_loop::now();
    m_callbacks.m_on_end(*this, outcome, std::move(answer), reason);
}

/** Closes the connection; reports the outcome of the exchange in progress, or else the closing. */
void client_connection::close_with_error(const std::string& reason)
{
    const bool sent = m_output.sent() > 0;
    close();
    if (m_request) {
        end_exchange(sent ? exchange_outcome::lost : exchange_outcome::not_sent, {}, reason);
        return;
    }
    m_callbacks.m_on_closed(*this);
}

void client_connection::close()
{
    m_phase = phase::closed;
    m_watcher.stop();
    m_watched_events = 0;
    m_socket.reset();
    update_held();
}

void client_connection::update_watcher()
{
    if (m_phase == phase::closed || m_socket.get() < 0) {
        return;
    }
    const bool needs_write = m_phase == phase::connecting || (m_request && !m_output.empty());
    const int events = (m_phase == phase::ready ? EV_READ : 0) | (needs_write ? EV_WRITE : 0);
    if (events != m_watched_events) {
        m_watched_events = events;
        m_watcher.watch(m_socket.get(), events);
    }
}

} // namespace waxwing
