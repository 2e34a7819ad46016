/** @file chunk_receiver.cpp Reassembles messages from the chunks received on a link. */
#include "link/chunk_receiver_base.h"

#include "link/cbor_check_func.h"

#include <algorithm>
#include <optional>

namespace waxwing {

namespace {

/** Reads and removes a big-endian 32-bit number from the front of @p bytes; none if it is too short. */
std::optional<std::uint32_t> read_uint32(std::string_view& bytes)
{
    if (bytes.size() < sizeof(std::uint32_t)) {
        return std::nullopt;
    }
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < sizeof(std::uint32_t); ++index) {
        value = (value << 8U) | static_cast<std::uint8_t>(bytes[index]);
    }
    bytes.remove_prefix(sizeof(std::uint32_t));
    return value;
}

} // namespace

result<incoming_frame> chunk_receiver::accept(std::string_view frame)
{
    if (frame.empty()) {
        return fail(error_code::invalid, "the frame is empty");
    }
    const auto kind = static_cast<frame_kind>(frame.front());
    const std::string_view rest = frame.substr(1);
    switch (kind) {
    case frame_kind::whole:
        return accept_whole(rest);
    case frame_kind::begin:
        return accept_begin(rest);
    case frame_kind::more:
        return accept_more(rest);
    case frame_kind::leave:
    case frame_kind::leave_done:
        return incoming_frame{kind, false, {}, {}, {}, false};
    }
    return fail(error_code::invalid, "the frame kind is unknown");
}

result<incoming_frame> chunk_receiver::accept_whole(std::string_view chunk)
{
    if (chunk.empty() || chunk.size() > std::min(chunk_size, m_limits.m_message)) {
        return fail(error_code::invalid, "the message is empty or too long");
    }
    return incoming_frame{frame_kind::whole, true, chunk, {}, {}, false};
}

result<incoming_frame> chunk_receiver::accept_begin(std::string_view rest)
{
    const std::optional<std::uint32_t> stream = read_uint32(rest);
    const std::optional<std::uint32_t> total = read_uint32(rest);
    if (!total || rest.empty() || rest.size() > chunk_size || rest.size() >= *total) {
        return fail(error_code::invalid, "the first chunk is malformed");
    }
    if (*total > m_limits.m_message || m_announced_bytes + *total > m_limits.m_reassembly ||
        m_partial_messages.size() >= m_limits.m_streams) {
        return fail(error_code::exhausted,
                    "the partial messages exceed the limits on length, total length or streams");
    }
    const auto [at, added] = m_partial_messages.try_emplace(*stream);
    if (!added) {
        return fail(error_code::invalid, "the stream is already open");
    }
    at->second.m_size = *total;
    at->second.m_lease = memory_lease(m_budget);
    if (*total <= control_reserve) { // Control messages are never dropped.
        at->second.m_lease.resize(*total);
    }
    else {
        at->second.m_drops_body = !at->second.m_lease.try_grow(*total, memory_use::large);
    }
    if (!at->second.m_drops_body) {
        at->second.m_bytes.reserve(*total);
    }
    m_announced_bytes += *total;
    append(at->second, rest);
    return incoming_frame{frame_kind::begin, false, {}, {}, {}, false};
}

result<incoming_frame> chunk_receiver::accept_more(std::string_view rest)
{
    const std::optional<std::uint32_t> stream = read_uint32(rest);
    const auto at = stream ? m_partial_messages.find(*stream) : m_partial_messages.end();
    if (at == m_partial_messages.end() || rest.empty() || rest.size() > chunk_size) {
        return fail(error_code::invalid, "the chunk is malformed");
    }
    partial_message& message = at->second;
    if (rest.size() > message.m_size - message.m_received) {
        return fail(error_code::invalid, "the chunks exceed the announced message length");
    }
    append(message, rest);
    if (message.m_received < message.m_size) {
        return incoming_frame{frame_kind::more, false, {}, {}, {}, false};
    }
    m_announced_bytes -= message.m_size;
    m_buffered_bytes -= message.m_size;
    incoming_frame completed{
        frame_kind::more,    true, {}, std::move(message.m_bytes), std::move(message.m_lease),
        message.m_drops_body};
    m_partial_messages.erase(at);
    return completed;
}

void chunk_receiver::append(partial_message& message, std::string_view chunk)
{
    message.m_received += chunk.size();
    m_buffered_bytes += chunk.size();
    if (message.m_head_complete) {
        return;
    }
    message.m_bytes.append(chunk);
    if (message.m_drops_body) {
        // The head tells which call or answer it is, so that it can be refused; its end shows once it is
        // complete.
        if (const result<std::size_t> head = checked_item_length(message.m_bytes); head.has_value()) {
            message.m_bytes.resize(head.value());
            message.m_head_complete = true;
        }
        message.m_lease.resize(message.m_bytes.size());
    }
}

} // namespace waxwing
