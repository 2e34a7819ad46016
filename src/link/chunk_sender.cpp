/** @file chunk_sender.cpp Schedules the small, control and large messages of a link. */
#include "link/chunk_sender_base.h"

#include "link/cbor_check_func.h"
#include "link/codec_func.h"

#include <algorithm>
#include <utility>

namespace waxwing {

namespace {

/** Estimated memory of one message without its texts, in bytes. */
constexpr std::size_t message_overhead = 512;

/** Estimated memory of one header without its texts, in bytes. */
constexpr std::size_t header_overhead = 64;

/** Estimates the memory of @p headers, in bytes. */
std::size_t size_of(const header_list& headers)
{
    std::size_t sum = 0;
    for (const header& field : headers) {
        sum += header_overhead + field.m_name.size() + field.m_value.size();
    }
    return sum;
}

/** Estimates the memory of each alternative of link_message, in bytes. */
struct memory_estimator {
    std::size_t operator()(const call_message& message) const
    {
        const call& request = message.m_call;
        return message_overhead + request.m_service.m_value.size() + request.m_kind.m_value.size() +
               request.m_caller.m_value.size() + request.m_method.size() + request.m_path.size() +
               request.m_idempotency_key.size() + request.m_body.size() + size_of(request.m_headers);
    }
    std::size_t operator()(const answer_message& message) const
    {
        return message_overhead + message.m_answer.m_body.size() + size_of(message.m_answer.m_headers);
    }
    std::size_t operator()(const cancel_message&) const { return message_overhead; }
    std::size_t operator()(const control_message& message) const
    {
        return message_overhead + message.m_payload.size();
    }
};

/** Appends @p value to @p bytes in big-endian order. */
void append_uint32(std::string& bytes, std::uint32_t value)
{
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        bytes.push_back(static_cast<char>(value >> shift));
    }
}

} // namespace

std::size_t estimated_memory(const link_message& message)
{
    return std::visit(memory_estimator{}, message);
}

void chunk_sender::push(link_message message)
{
    const outgoing_id id{++m_last_id};
    outgoing entry;
    entry.m_memory = estimated_memory(message);
    if (const auto* call = std::get_if<call_message>(&message); call != nullptr) {
        entry.m_call_attempt = call->m_attempt;
        m_calls[call->m_attempt] = id;
    }
    entry.m_message = std::move(message);
    m_memory += entry.m_memory;
    ++m_unframed_count;
    m_messages.emplace(id, std::move(entry));
    enqueue(id);
}

void chunk_sender::enqueue(outgoing_id id)
{
    const outgoing& entry = m_messages.at(id);
    if (std::holds_alternative<control_message>(*entry.m_message)) {
        m_control.push_back(id);
        return;
    }
    if (block_behind_call(id)) {
        return;
    }
    (entry.m_memory <= chunk_size ? m_small : m_large).push_back(id);
}

bool chunk_sender::block_behind_call(outgoing_id id)
{
    const auto* cancel = std::get_if<cancel_message>(&*m_messages.at(id).m_message);
    if (cancel == nullptr) {
        return false;
    }
    const auto call = m_calls.find(cancel->m_attempt);
    if (call == m_calls.end()) {
        return false;
    }
    m_messages.at(call->second).m_blocked_cancels.push_back(id);
    return true;
}

std::optional<outgoing_frame> chunk_sender::next()
{
    if (std::optional<outgoing_frame> frame = next_small()) {
        return frame;
    }
    constexpr int other_classes = 2;
    for (int turn = 0; turn < other_classes; ++turn) {
        m_last_turn_large = !m_last_turn_large;
        if (std::optional<outgoing_frame> frame = m_last_turn_large ? next_large() : next_control()) {
            m_small_credit_bytes = chunk_size;
            return frame;
        }
    }
    m_small_credit_bytes = chunk_size;
    return next_small();
}

std::optional<outgoing_frame> chunk_sender::next_small()
{
    while (!m_small.empty() && m_small_credit_bytes > 0) {
        const auto at = m_messages.find(m_small.front());
        m_small.pop_front();
        if (at == m_messages.end() || !encode(at)) {
            continue;
        }
        if (at->second.encoded_size() > chunk_size) {
            m_large.push_back(at->first);
            continue;
        }
        m_small_credit_bytes -= std::min(m_small_credit_bytes, at->second.encoded_size());
        return make_frame(at);
    }
    return std::nullopt;
}

std::optional<outgoing_frame> chunk_sender::next_control()
{
    while (!m_control.empty()) {
        const auto at = m_messages.find(m_control.front());
        if (at == m_messages.end() || !encode(at)) {
            m_control.pop_front();
            continue;
        }
        outgoing& entry = at->second;
        if (entry.m_framed_bytes == 0 && entry.encoded_size() > chunk_size &&
            !open_stream(entry, stream_class::control)) {
            return std::nullopt;
        }
        const bool last = entry.encoded_size() - entry.m_framed_bytes <= chunk_size;
        if (last) {
            m_control.pop_front();
        }
        return make_frame(at);
    }
    return std::nullopt;
}

std::optional<outgoing_frame> chunk_sender::next_large()
{
    open_streams();
    if (m_open_large.empty()) {
        return std::nullopt;
    }
    const auto at = m_messages.find(m_open_large.front());
    m_open_large.pop_front();
    const bool last = at->second.encoded_size() - at->second.m_framed_bytes <= chunk_size;
    if (!last) {
        m_open_large.push_back(at->first);
    }
    return make_frame(at);
}

void chunk_sender::open_streams()
{
    while (!m_large.empty()) {
        const auto at = m_messages.find(m_large.front());
        if (at != m_messages.end() && encode(at)) {
            if (!open_stream(at->second, stream_class::large)) {
                return;
            }
            m_open_large.push_back(at->first);
        }
        m_large.pop_front();
    }
}

bool chunk_sender::open_stream(outgoing& entry, stream_class message_class)
{
    const std::size_t size = entry.encoded_size();
    const std::size_t reserved_streams =
        message_class == stream_class::large && m_open_stream_count > 0 ? 1 : 0;
    const std::size_t reserved_bytes =
        message_class == stream_class::large && m_open_stream_count > 0 ? control_reserve : 0;
    if (m_open_stream_count + reserved_streams >= m_limits.m_streams ||
        m_open_stream_bytes + size + reserved_bytes > m_limits.m_reassembly) {
        return false;
    }
    ++m_open_stream_count;
    m_open_stream_bytes += size;
    entry.m_stream = ++m_last_stream;
    return true;
}

bool chunk_sender::encode(outgoing_map::iterator at)
{
    outgoing& entry = at->second;
    if (!entry.m_head.empty()) {
        return true;
    }
    entry.m_head = encode_head(*entry.m_message);
    entry.m_body = body_of(*entry.m_message);
    const auto* control = std::get_if<control_message>(&*entry.m_message);
    const bool fits = entry.encoded_size() <= std::min(m_limits.m_message, m_limits.m_reassembly) &&
                      (control == nullptr || control->m_payload.size() <= control_payload_limit) &&
                      checked_item_length(entry.m_head).has_value();
    if (!fits) {
        m_unsendable.push_back(*remove(at));
    }
    return fits;
}

outgoing_frame chunk_sender::make_frame(outgoing_map::iterator at)
{
    outgoing& entry = at->second;
    const std::size_t size = std::min(chunk_size, entry.encoded_size() - entry.m_framed_bytes);
    outgoing_frame frame{at->first, {}, entry.m_framed_bytes == 0};
    frame.m_bytes.reserve(frame_header_limit + size);
    if (size == entry.encoded_size()) {
        frame.m_bytes.push_back(static_cast<char>(frame_kind::whole));
    }
    else {
        frame.m_bytes.push_back(static_cast<char>(frame.m_first ? frame_kind::begin : frame_kind::more));
        append_uint32(frame.m_bytes, entry.m_stream);
    }
    if (frame.m_first && size < entry.encoded_size()) {
        append_uint32(frame.m_bytes, static_cast<std::uint32_t>(entry.encoded_size()));
    }
    const std::size_t head_left = entry.m_head.size() - std::min(entry.m_framed_bytes, entry.m_head.size());
    const std::size_t head_part = std::min(size, head_left);
    if (head_part > 0) {
        frame.m_bytes.append(entry.m_head, entry.m_framed_bytes, head_part);
    }
    if (size > head_part) {
        const std::size_t from = entry.m_framed_bytes + head_part - entry.m_head.size();
        frame.m_bytes.append(entry.m_body.text(), from, size - head_part);
    }
    entry.m_framed_bytes += size;
    if (entry.m_framed_bytes == entry.encoded_size()) {
        finish_framing(at);
    }
    return frame;
}

void chunk_sender::finish_framing(outgoing_map::iterator at)
{
    outgoing& entry = at->second;
    --m_unframed_count;
    entry.m_all_framed = true;
    if (entry.m_stream != 0) {
        --m_open_stream_count;
        m_open_stream_bytes -= entry.encoded_size();
    }
    std::string().swap(entry.m_head);
    entry.m_body = {};
    release_blocked_cancels(entry);
    if (!entry.m_message) {
        m_memory -= entry.m_memory;
        m_messages.erase(at);
    }
}

void chunk_sender::release_blocked_cancels(outgoing& entry)
{
    if (entry.m_call_attempt) {
        m_calls.erase(*entry.m_call_attempt);
    }
    m_small.insert(m_small.end(), entry.m_blocked_cancels.begin(), entry.m_blocked_cancels.end());
    entry.m_blocked_cancels.clear();
}

std::optional<link_message> chunk_sender::remove(outgoing_map::iterator at)
{
    outgoing& entry = at->second;
    release_blocked_cancels(entry);
    std::optional<link_message> message = std::move(entry.m_message);
    m_memory -= entry.m_memory;
    --m_unframed_count;
    m_messages.erase(at);
    return message;
}

void chunk_sender::mark_sent(outgoing_id message)
{
    const auto at = m_messages.find(message);
    if (at == m_messages.end()) {
        return;
    }
    at->second.m_message.reset();
    if (at->second.m_all_framed) {
        m_memory -= at->second.m_memory;
        m_messages.erase(at);
    }
}

std::vector<link_message> chunk_sender::take_unsent()
{
    std::vector<link_message> unsent = take_unsendable();
    for (auto& [id, entry] : m_messages) {
        if (entry.m_message) {
            unsent.push_back(std::move(*entry.m_message));
        }
    }
    *this = chunk_sender(m_limits);
    return unsent;
}

std::vector<link_message> chunk_sender::take_unsendable()
{
    return std::exchange(m_unsendable, {});
}

std::optional<link_message> chunk_sender::withdraw(attempt_id attempt)
{
    const auto call = m_calls.find(attempt);
    if (call == m_calls.end()) {
        return std::nullopt;
    }
    const auto at = m_messages.find(call->second);
    const outgoing& entry = at->second;
    if (entry.m_framed_bytes != 0 || entry.m_stream != 0) {
        return std::nullopt;
    }
    return remove(at);
}

} // namespace waxwing
