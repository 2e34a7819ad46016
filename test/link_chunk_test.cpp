/** @file link_chunk_test.cpp Tests of splitting messages into frames and reassembling them. */
#include "link/chunk_receiver_base.h"
#include "link/chunk_sender_base.h"
#include "link/codec_func.h"
#include "link_message_generators.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace waxwing;
using namespace waxwing_test;

namespace {

constexpr chunk_limits limits{1024 * 1024, 3 * 1024 * 1024, 4};

/** Returns a call with a body of @p size bytes. */
link_message call_of(std::uint64_t attempt, std::size_t size)
{
    call_message message;
    message.m_attempt = {attempt};
    message.m_call.m_body = std::string(size, static_cast<char>(attempt));
    return message;
}

/** Returns a control message with a payload of @p size bytes. */
link_message control_of(char fill, std::size_t size)
{
    return control_message{control_topic::quarantine, std::string(size, fill)};
}

/** Passes all frames of @p sender to @p receiver. @return the messages in order of completion. */
std::vector<std::string> deliver_all(chunk_sender& sender, chunk_receiver& receiver)
{
    std::vector<std::string> messages;
    while (std::optional<outgoing_frame> frame = sender.next()) {
        sender.mark_sent(frame->m_message);
        const result<incoming_frame> incoming = receiver.accept(frame->m_bytes);
        RC_ASSERT(incoming.has_value());
        if (incoming.value().m_complete) {
            messages.emplace_back(incoming.value().message());
        }
    }
    return messages;
}

/** Returns the encodings of @p messages, sorted. */
std::vector<std::string> sorted_encodings(const std::vector<link_message>& messages)
{
    std::vector<std::string> encodings;
    encodings.reserve(messages.size());
    for (const link_message& message : messages) {
        encodings.push_back(encode_message(message));
    }
    std::sort(encodings.begin(), encodings.end());
    return encodings;
}

/** Generates a call or control message of up to 64 KiB, often close to the chunk size. */
link_message any_sized(std::uint64_t attempt)
{
    const std::size_t size =
        *rc::gen::weightedOneOf<std::size_t>({{3, rc::gen::inRange<std::size_t>(0, 500)},
                                              {2, rc::gen::inRange<std::size_t>(15 * 1024, 17 * 1024)},
                                              {2, rc::gen::inRange<std::size_t>(17 * 1024, 64 * 1024)}});
    return *rc::gen::inRange(0, 4) == 0 ? control_of('c', size) : call_of(attempt, size);
}

/** Returns a frame of @p kind with @p size bytes of content. */
std::string frame_of(frame_kind kind, std::uint32_t stream, std::optional<std::uint32_t> total,
                     std::size_t size)
{
    std::string bytes(1, static_cast<char>(kind));
    const auto append = [&](std::uint32_t value) {
        for (const unsigned shift : {24U, 16U, 8U, 0U}) {
            bytes.push_back(static_cast<char>(value >> shift));
        }
    };
    append(stream);
    if (total) {
        append(*total);
    }
    return bytes.append(size, 'x');
}

} // namespace

Test(chunk, any_messages_arrive_whole_and_once)
{
    cr_assert(rc::check("every pushed message arrives once", [] {
        chunk_sender sender(limits);
        chunk_receiver receiver(limits);
        std::vector<link_message> pushed;
        std::vector<std::string> arrived;
        const int count = *rc::gen::inRange(0, 12);
        for (int index = 0; index < count; ++index) {
            pushed.push_back(any_sized(static_cast<std::uint64_t>(index)));
            sender.push(pushed.back());
            for (int frames = *rc::gen::inRange(0, 3); frames > 0; --frames) {
                if (std::optional<outgoing_frame> frame = sender.next()) {
                    sender.mark_sent(frame->m_message);
                    const result<incoming_frame> incoming = receiver.accept(frame->m_bytes);
                    RC_ASSERT(incoming.has_value());
                    if (incoming.value().m_complete) {
                        arrived.emplace_back(incoming.value().message());
                    }
                }
            }
        }
        const std::vector<std::string> rest = deliver_all(sender, receiver);
        arrived.insert(arrived.end(), rest.begin(), rest.end());
        std::sort(arrived.begin(), arrived.end());
        RC_ASSERT(arrived == sorted_encodings(pushed));
        RC_ASSERT(sender.empty());
        RC_ASSERT(sender.memory() == 0U);
        RC_ASSERT(receiver.buffered_bytes() == 0U);
    }));
}

Test(chunk, chunks_of_messages_may_interleave_in_any_order)
{
    cr_assert(rc::check("every message is reassembled", [] {
        chunk_receiver receiver(limits);
        std::vector<std::vector<std::string>> queues;
        const std::uint32_t streams = *rc::gen::inRange<std::uint32_t>(1, 5);
        for (std::uint32_t stream = 0; stream < streams; ++stream) {
            const std::uint32_t chunks = *rc::gen::inRange<std::uint32_t>(2, 6);
            queues.push_back({frame_of(frame_kind::begin, stream, chunks * 10, 10)});
            for (std::uint32_t chunk = 1; chunk < chunks; ++chunk) {
                queues.back().push_back(frame_of(frame_kind::more, stream, std::nullopt, 10));
            }
        }
        std::size_t complete = 0;
        while (!queues.empty()) {
            const std::size_t chosen = *rc::gen::inRange<std::size_t>(0, queues.size());
            const result<incoming_frame> incoming = receiver.accept(queues[chosen].front());
            RC_ASSERT(incoming.has_value());
            complete += incoming.value().m_complete ? 1 : 0;
            RC_ASSERT(incoming.value().m_complete == (queues[chosen].size() == 1));
            queues[chosen].erase(queues[chosen].begin());
            if (queues[chosen].empty()) {
                queues.erase(queues.begin() + static_cast<std::ptrdiff_t>(chosen));
            }
        }
        RC_ASSERT(complete == streams);
    }));
}

Test(chunk, random_frames_never_break_the_limits)
{
    cr_assert(rc::check("buffered bytes stay within the limit", [] {
        const chunk_limits tight{1000, 2000, 3};
        chunk_receiver receiver(tight);
        for (int count = 0; count < 50; ++count) {
            const auto kind = static_cast<frame_kind>(*rc::gen::inRange(0, 8));
            const std::uint32_t total = *rc::gen::inRange<std::uint32_t>(0, 1200);
            const auto size = *rc::gen::inRange<std::size_t>(0, 600);
            const std::uint32_t stream = *rc::gen::inRange<std::uint32_t>(0, 5);
            const std::string bytes =
                *rc::gen::element(any<std::string>(), frame_of(kind, stream, total, size),
                                  frame_of(kind, stream, std::nullopt, size));
            const result<incoming_frame> incoming = receiver.accept(bytes);
            RC_ASSERT(receiver.buffered_bytes() <= tight.m_reassembly);
            if (incoming.has_value() && incoming.value().m_complete) {
                RC_ASSERT(incoming.value().message().size() <= tight.m_message);
            }
        }
    }));
}

Test(chunk, small_messages_overtake_large_ones)
{
    chunk_sender sender(limits);
    chunk_receiver receiver(limits);
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
        sender.push(call_of(attempt, 500 * 1024));
    }
    cr_assert(sender.next().has_value());
    sender.push(call_of(9, 100));
    const std::optional<outgoing_frame> frame = sender.next();
    const result<incoming_frame> incoming = receiver.accept(frame->m_bytes);
    cr_assert(incoming.has_value() && incoming.value().m_complete);
}

Test(chunk, small_messages_do_not_starve_large_and_control_ones)
{
    chunk_sender sender(limits);
    sender.push(call_of(1, 100 * 1024));
    sender.push(control_of('c', 10));
    constexpr std::size_t small_body = 4000;
    std::size_t large_frames = 0;
    std::size_t control_frames = 0;
    constexpr int frames = 60;
    for (int count = 0; count < frames; ++count) {
        sender.push(call_of(100 + static_cast<std::uint64_t>(count), small_body));
        const std::size_t size = sender.next()->m_bytes.size();
        large_frames += size > chunk_size ? 1 : 0;
        control_frames += size < small_body ? 1 : 0;
    }
    cr_assert(large_frames >= 6 && control_frames == 1, "%zu large, %zu control", large_frames,
              control_frames);
}

Test(chunk, large_messages_take_turns)
{
    chunk_sender sender(limits);
    sender.push(call_of(1, 500 * 1024));
    sender.push(call_of(2, 500 * 1024));
    const outgoing_id first = sender.next()->m_message;
    const outgoing_id second = sender.next()->m_message;
    cr_assert(first != second);
    cr_assert(sender.next()->m_message == first);
    cr_assert(sender.next()->m_message == second);
}

Test(chunk, control_messages_keep_their_order)
{
    cr_assert(rc::check("control messages arrive in the order of push", [] {
        chunk_sender sender(limits);
        chunk_receiver receiver(limits);
        std::vector<std::string> expected;
        for (std::uint64_t index = 0; index < 8; ++index) {
            const link_message message =
                control_of(static_cast<char>('a' + index), *rc::gen::inRange<std::size_t>(0, 60 * 1024));
            expected.push_back(encode_message(message));
            sender.push(message);
            sender.push(call_of(index, *rc::gen::inRange<std::size_t>(0, 40 * 1024)));
        }
        std::vector<std::string> arrived = deliver_all(sender, receiver);
        const auto is_call = [](const std::string& bytes) {
            return std::holds_alternative<call_message>(decode_message(bytes).value());
        };
        arrived.erase(std::remove_if(arrived.begin(), arrived.end(), is_call), arrived.end());
        RC_ASSERT(arrived == expected);
    }));
}

Test(chunk, large_messages_leave_reserve_for_a_control_message)
{
    chunk_sender sender(limits);
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
        sender.push(call_of(attempt, 900 * 1024));
    }
    for (int count = 0; count < 10; ++count) {
        sender.next();
    }
    sender.push(control_of('c', 60 * 1024));
    chunk_receiver receiver(limits);
    std::size_t control_frames = 0;
    for (int count = 0; count < 12; ++count) {
        const std::string bytes = sender.next()->m_bytes;
        control_frames += std::count(bytes.begin(), bytes.end(), 'c') > 1000 ? 1 : 0;
    }
    cr_assert(control_frames == 4);
}

Test(chunk, a_cancel_does_not_overtake_its_call)
{
    chunk_sender sender(limits);
    chunk_receiver receiver(limits);
    sender.push(call_of(1, 200 * 1024));
    sender.next();
    sender.push(cancel_message{{1}});
    sender.push(cancel_message{{2}});
    std::vector<std::string> order;
    while (std::optional<outgoing_frame> frame = sender.next()) {
        const auto kind = static_cast<frame_kind>(frame->m_bytes[0]);
        order.emplace_back(kind == frame_kind::whole ? frame->m_bytes.substr(1) : "chunk");
    }
    cr_assert(order.front() == encode_message(cancel_message{{2}}));
    cr_assert(order.back() == encode_message(cancel_message{{1}}));
}

Test(chunk, a_call_is_withdrawn_only_before_its_first_frame)
{
    chunk_sender sender(limits);
    sender.push(call_of(1, 100 * 1024));
    sender.push(call_of(2, 100 * 1024));
    sender.push(call_of(3, 100));
    cr_assert(std::get<call_message>(*sender.withdraw({3})).m_attempt == attempt_id{3});
    cr_assert(!sender.withdraw({3}).has_value());
    sender.next();
    cr_assert(!sender.withdraw({1}).has_value());
    chunk_receiver receiver(limits);
    sender.take_unsent();
    cr_assert(sender.memory() == 0 && sender.empty());
}

Test(chunk, unsent_messages_are_returned_in_order)
{
    cr_assert(rc::check("unsent = pushed - sent", [] {
        chunk_sender sender(limits);
        std::vector<link_message> pushed;
        const int count = *rc::gen::inRange(1, 12);
        for (int index = 0; index < count; ++index) {
            pushed.push_back(any_sized(static_cast<std::uint64_t>(index)));
            sender.push(pushed.back());
        }
        std::vector<std::uint64_t> sent;
        for (int frames = *rc::gen::inRange(0, 20); frames > 0; --frames) {
            const std::optional<outgoing_frame> frame = sender.next();
            if (frame && *rc::gen::arbitrary<bool>()) {
                sender.mark_sent(frame->m_message);
                sent.push_back(frame->m_message.m_value);
            }
        }
        std::vector<std::string> expected;
        for (std::size_t index = 0; index < pushed.size(); ++index) {
            if (std::find(sent.begin(), sent.end(), index + 1) == sent.end()) {
                expected.push_back(encode_message(pushed[index]));
            }
        }
        std::vector<std::string> unsent;
        for (const link_message& message : sender.take_unsent()) {
            unsent.push_back(encode_message(message));
        }
        RC_ASSERT(unsent == expected);
    }));
}

Test(chunk, messages_above_the_limits_are_rejected)
{
    chunk_sender sender(limits);
    sender.push(call_of(1, limits.m_message));
    sender.push(control_of('c', control_payload_limit + 1));
    call_message many_headers;
    many_headers.m_call.m_headers.resize(10000);
    sender.push(many_headers);
    sender.push(call_of(4, 10));
    cr_assert(sender.next()->m_message == outgoing_id{4});
    cr_assert(!sender.next().has_value());
    cr_assert(sender.take_unsendable().size() == 3);
    cr_assert(sender.empty());
}

Test(chunk, malformed_frames_are_refused)
{
    const std::vector<std::string> wrong = {
        "",
        std::string(1, static_cast<char>(frame_kind::whole)),
        std::string(1, '\0') + "x",
        frame_of(frame_kind::whole, 1, 1, chunk_size),
        frame_of(frame_kind::more, 1, std::nullopt, 10),
        frame_of(frame_kind::begin, 1, 10, 10),
        frame_of(frame_kind::begin, 1, 100, 0),
        frame_of(frame_kind::begin, 1, std::nullopt, 3),
        frame_of(frame_kind::begin, 1, 100000, chunk_size + 1),
        frame_of(frame_kind::begin, 1, limits.m_message + 1, 10),
    };
    for (const std::string& bytes : wrong) {
        chunk_receiver receiver(limits);
        cr_assert(receiver.accept(bytes).has_error());
    }
}

Test(chunk, a_peer_that_exceeds_its_streams_or_lengths_is_refused)
{
    chunk_receiver receiver(limits);
    for (std::uint32_t stream = 0; stream < limits.m_streams; ++stream) {
        cr_assert(receiver.accept(frame_of(frame_kind::begin, stream, 100, 60)).has_value());
    }
    cr_assert(receiver.accept(frame_of(frame_kind::begin, 90, 100, 60)).has_error());
    cr_assert(receiver.accept(frame_of(frame_kind::begin, 1, 100, 60)).has_error());
    cr_assert(receiver.accept(frame_of(frame_kind::more, 1, std::nullopt, 41)).has_error());
    cr_assert(receiver.accept(frame_of(frame_kind::more, 1, std::nullopt, 0)).has_error());
    cr_assert(receiver.accept(frame_of(frame_kind::more, 1, std::nullopt, 40)).has_value());

    chunk_receiver full(limits);
    const auto max_length = static_cast<std::uint32_t>(limits.m_message);
    for (std::uint32_t stream = 0; stream < 3; ++stream) {
        cr_assert(full.accept(frame_of(frame_kind::begin, stream, max_length, 60)).has_value());
    }
    cr_assert(full.accept(frame_of(frame_kind::begin, 3, 100, 60)).has_error());
}
