/** @file connection.cpp One link: socket, WebSocket, handshake and messages. */
#include "link/connection_base.h"

#include "link/codec_func.h"

#include <algorithm>
#include <cerrno>

namespace waxwing {

namespace {

/** Unsent output above which no further message frame is made, in bytes. */
constexpr std::size_t output_target = 64 * 1024;

/** Unsent output above which the peer is considered hostile, in bytes; only pongs can add so much. */
constexpr std::size_t output_limit = 1024 * 1024;

/** Bytes after which one call of flush stops writing, so that other links are served. */
constexpr std::size_t flush_limit = 1024 * 1024;

/** Returns the smaller of both sides' limits. */
chunk_limits common_limits(const chunk_limits& own, const hello& peer)
{
    return {std::min<std::uint64_t>(own.m_message, peer.m_message_limit),
            std::min<std::uint64_t>(own.m_reassembly, peer.m_reassembly_limit),
            std::min<std::uint64_t>(own.m_streams, peer.m_stream_limit)};
}

/** Returns the times of the liveness of links with @p settings. */
liveness_settings to_liveness_settings(const link_settings& settings)
{
    return {settings.m_heartbeat, settings.m_silence_timeout, settings.m_request_patience,
            settings.m_answer_timeout};
}

} // namespace

link_connection::link_connection(connection_context context, descriptor socket, const endpoint& address,
                                 handshake_settings settings)
    : m_context(context), m_side(settings.m_side), m_socket(std::move(socket)),
      m_handshake(std::move(settings)), m_watcher(context.m_loop, [this](int events) { on_ready(events); }),
      m_timer(context.m_loop, [this] { on_timer(); }),
      m_liveness(to_liveness_settings(context.m_settings), event_loop::now()), m_started_at(event_loop::now())
{
    websocket_handlers handlers;
    handlers.m_on_open = [this] { on_open(); };
    handlers.m_on_frame = [this](std::string_view frame) { on_frame(frame); };
    handlers.m_on_output = [this](const char* bytes, std::size_t size) { m_output.append(bytes, size); };
    m_websocket = context.m_websockets.make(m_side, address, std::move(handlers));
    m_timer.set(context.m_settings.m_handshake_timeout);
    if (m_side == link_side::acceptor) {
        m_stage = stage::upgrading;
        m_websocket->start();
    }
    watch();
}

link_connection::~link_connection() = default;

void link_connection::send(link_message message)
{
    const bool is_request =
        std::holds_alternative<call_message>(message) || std::holds_alternative<control_message>(message);
    m_sender->push(std::move(message));
    if (is_request && m_liveness.on_request_sent(event_loop::now())) {
        set_timer();
    }
}

std::optional<link_message> link_connection::withdraw(attempt_id attempt)
{
    return m_sender ? m_sender->withdraw(attempt) : std::nullopt;
}

void link_connection::send_control(frame_kind kind)
{
    m_control_frames.push_back(kind);
}

void link_connection::end(link_end_reason reason)
{
    if (m_stage == stage::ended) {
        return;
    }
    m_stage = stage::ended;
    m_watcher.stop();
    m_timer.cancel();
    m_socket.reset();
    m_context.m_owner.on_ended(*this, reason);
}

std::vector<link_message> link_connection::take_unsent()
{
    return m_sender ? m_sender->take_unsent() : std::vector<link_message>();
}

bool link_connection::is_drained() const
{
    return m_output_offset == m_output.size() && m_control_frames.empty() && (!m_sender || m_sender->empty());
}

void link_connection::on_ready(int events)
{
    if (m_stage == stage::connecting) {
        if (!connect_succeeded(m_socket.get())) {
            end(link_end_reason::lost);
            return;
        }
        m_stage = stage::upgrading;
        m_websocket->start();
    }
    if ((static_cast<unsigned>(events) & EV_READ) != 0 && !read()) {
        return;
    }
    flush();
}

bool link_connection::read()
{
    const ssize_t size = recv(m_socket.get(), m_context.m_buffer.data(), m_context.m_buffer.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return true;
    }
    if (size <= 0) {
        end(link_end_reason::lost);
        return false;
    }
    m_context.m_counters.m_bytes_in += static_cast<std::uint64_t>(size);
    m_liveness.on_bytes_received(event_loop::now());
    const bool valid = m_websocket->feed(m_context.m_buffer.data(), static_cast<std::size_t>(size));
    if (m_stage == stage::ended) {
        return false;
    }
    if (!valid || m_failed || m_output.size() - m_output_offset > output_limit) {
        end(m_failed ? m_failure_reason : link_end_reason::malformed);
        return false;
    }
    return true;
}

void link_connection::on_open()
{
    m_stage = stage::handshaking;
    if (m_side == link_side::opener) {
        m_websocket->send(m_handshake.first_message());
    }
}

void link_connection::on_frame(std::string_view frame)
{
    if (m_failed || m_stage == stage::ended) {
        return;
    }
    if (m_stage == stage::handshaking) {
        on_handshake_message(frame);
        return;
    }
    result<incoming_frame> incoming = m_receiver->accept(frame);
    if (incoming.has_error()) {
        m_failed = true;
        m_failure_reason = link_end_reason::malformed;
        return;
    }
    if (incoming.value().m_complete) {
        on_complete_message(std::move(incoming).value());
        return;
    }
    if (incoming.value().m_kind == frame_kind::leave || incoming.value().m_kind == frame_kind::leave_done) {
        m_context.m_owner.on_leave(*this, incoming.value().m_kind);
    }
}

void link_connection::on_handshake_message(std::string_view bytes)
{
    result<handshake_step> step = m_handshake.accept(bytes);
    if (step.has_error()) {
        m_failed = true;
        m_failure_reason = link_end_reason::handshake_failed;
        return;
    }
    if (!step.value().m_reply.empty()) {
        m_websocket->send(std::move(step.value().m_reply));
    }
    if (step.value().m_authenticated) {
        complete_handshake();
    }
}

void link_connection::complete_handshake()
{
    m_stage = stage::up;
    m_authenticated_at = event_loop::now();
    m_websocket->set_frame_limit(frame_header_limit + chunk_size);
    m_sender.emplace(common_limits(m_context.m_limits, m_handshake.peer_hello()));
    m_receiver.emplace(m_context.m_limits, m_context.m_settings.m_budget);
    set_timer();
    m_context.m_owner.on_authenticated(*this);
}

void link_connection::on_complete_message(incoming_frame&& frame)
{
    if (frame.m_kind == frame_kind::whole) {
        frame.m_reassembled = frame.m_unchunked;
        frame.m_lease = memory_lease(m_context.m_settings.m_budget);
        frame.m_lease.resize(frame.m_reassembled.size());
    }
    result<link_message> message =
        decode_message(std::move(frame.m_reassembled), std::move(frame.m_lease), frame.m_body_dropped);
    if (message.has_error()) {
        m_failed = true;
        m_failure_reason = link_end_reason::malformed;
        return;
    }
    ++m_context.m_counters.m_messages_in;
    m_context.m_owner.on_message(*this, std::move(message).value());
}

void link_connection::flush()
{
    if (m_stage == stage::connecting || m_stage == stage::ended) {
        return;
    }
    std::size_t written = 0;
    bool writable = true;
    while (writable && written < flush_limit) {
        fill_output();
        if (m_output.empty()) {
            break;
        }
        const std::size_t before = m_output.size() - m_output_offset;
        writable = write();
        if (m_stage == stage::ended) {
            return;
        }
        written += before;
    }
    report_unsendable();
    watch();
    if (m_stage == stage::up && is_drained()) {
        m_context.m_owner.on_drained(*this);
    }
}

void link_connection::fill_output()
{
    if (m_stage != stage::up) {
        return;
    }
    while (m_output.size() - m_output_offset < output_target) {
        const std::uint64_t at = m_output_base + m_output.size();
        std::optional<outgoing_frame> frame = m_sender->next();
        if (!frame) {
            break;
        }
        if (frame->m_first) {
            m_message_starts.push_back({at, frame->m_message});
        }
        m_websocket->send(std::move(frame->m_bytes));
    }
    if (m_sender->empty()) {
        for (const frame_kind kind : m_control_frames) {
            m_websocket->send(std::string(1, static_cast<char>(kind)));
        }
        m_control_frames.clear();
    }
}

bool link_connection::write()
{
    const ssize_t size = ::send(m_socket.get(), m_output.data() + m_output_offset,
                                m_output.size() - m_output_offset, MSG_NOSIGNAL);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (size < 0) {
        end(link_end_reason::lost);
        return false;
    }
    m_context.m_counters.m_bytes_out += static_cast<std::uint64_t>(size);
    m_output_offset += static_cast<std::size_t>(size);
    if ((static_cast<unsigned>(m_watched_events) & EV_WRITE) != 0) {
        m_liveness.on_progress(event_loop::now());
    }
    mark_sent_messages();
    const bool all_sent = m_output_offset == m_output.size();
    if (all_sent || m_output_offset >= output_target) {
        m_output.erase(0, m_output_offset);
        m_output_base += m_output_offset;
        m_output_offset = 0;
    }
    return all_sent;
}

void link_connection::mark_sent_messages()
{
    const std::uint64_t sent_bytes = m_output_base + m_output_offset;
    while (!m_message_starts.empty() && m_message_starts.front().m_offset < sent_bytes) {
        m_sender->mark_sent(m_message_starts.front().m_message);
        m_message_starts.pop_front();
        ++m_context.m_counters.m_messages_out;
    }
}

void link_connection::report_unsendable()
{
    if (!m_sender) {
        return;
    }
    for (link_message& message : m_sender->take_unsendable()) {
        m_context.m_owner.on_unsendable_message(*this, std::move(message));
    }
}

void link_connection::watch()
{
    const bool wants_write =
        m_stage == stage::connecting || m_output_offset < m_output.size() || (m_sender && !m_sender->empty());
    const int events = wants_write ? EV_READ | EV_WRITE : EV_READ;
    if (events != m_watched_events) {
        m_watched_events = events;
        m_watcher.watch(m_socket.get(), events);
    }
}

void link_connection::release_memory()
{
    if (m_output.empty()) {
        m_output.shrink_to_fit();
    }
}

void link_connection::set_timer()
{
    m_timer.set(m_liveness.next_due() - event_loop::now());
}

void link_connection::on_timer()
{
    if (m_stage != stage::up) {
        end(link_end_reason::handshake_failed);
        return;
    }
    if (m_liveness.next_due() <= event_loop::now() && !read()) {
        return;
    }
    switch (m_liveness.decide(event_loop::now())) {
    case liveness_step::close:
        end(link_end_reason::timed_out);
        return;
    case liveness_step::ping:
        release_memory();
        m_websocket->ping();
        break;
    case liveness_step::wait:
        break;
    }
    flush();
    if (m_stage != stage::ended) {
        set_timer();
    }
}

} // namespace waxwing
