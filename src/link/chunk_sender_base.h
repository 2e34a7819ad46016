/** @file chunk_sender_base.h Schedules the messages that a link sends. C++17. */
#ifndef WAXWING_LINK_CHUNK_SENDER_BASE_H
#define WAXWING_LINK_CHUNK_SENDER_BASE_H

#include "link/chunk_type.h"
#include "link/message_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** Identifies a message within one chunk_sender; ids increase in the order of push. */
using outgoing_id = number_id<struct outgoing_tag>;

/** One frame to send. */
struct outgoing_frame {
    outgoing_id m_message; ///< The message to which the frame belongs.
    std::string m_bytes;   ///< The encoded frame.
    bool m_first = false;  ///< Whether this is the first frame of its message.
};

/** Estimates the memory that @p message uses while it is queued, in bytes. */
std::size_t estimated_memory(const link_message& message);

/**
 * Queues the messages of one link and splits them into frames. Small, control and large messages alternate:
 * after each frame of a large or control message, small messages may send up to chunk_size bytes. Control
 * messages keep their order; a cancel does not overtake its call.
 * Thread safety: for use by one thread only.
 */
class chunk_sender {
public:
    explicit chunk_sender(const chunk_limits& limits) : m_limits(limits) {}

    /** Queues @p message. */
    void push(link_message message);

    /** Returns the next frame to send; none if no message can be sent. */
    std::optional<outgoing_frame> next();

    /** Records that bytes of @p message were written to the socket, so that it is no longer unsent. */
    void mark_sent(outgoing_id message);

    /** Removes and returns the messages of which no byte was written to the socket, in the order of push. */
    std::vector<link_message> take_unsent();

    /** Removes and returns the messages that can never be sent because they exceed the limits. */
    std::vector<link_message> take_unsendable();

    /** Removes and returns the call @p attempt if no frame of it was made yet. */
    std::optional<link_message> withdraw(attempt_id attempt);

    /** Returns whether all frames of all messages were made. */
    bool empty() const { return m_unframed_count == 0; }

    /** Returns the estimated memory of the queued messages, in bytes. */
    std::size_t memory() const { return m_memory; }

private:
    /** A message that is queued or partly sent. */
    struct outgoing {
        std::optional<link_message> m_message;    ///< Until a byte of it was written to the socket.
        std::optional<attempt_id> m_call_attempt; ///< The attempt, if the message is a call.
        std::string m_head;             ///< Encoded without its body, until its last frame was made.
        shared_body m_body;             ///< The body that follows m_head.
        std::size_t m_framed_bytes = 0; ///< Bytes of m_head and m_body that are in frames.
        std::size_t m_memory = 0;       ///< Estimated memory, in bytes.
        std::uint32_t m_stream = 0;     ///< The stream of a message sent in chunks; zero if none.
        bool m_all_framed = false;      ///< Whether its last frame was made.
        std::vector<outgoing_id> m_blocked_cancels; ///< Cancels to queue after its last frame.

        /** Returns the length of the encoded message. */
        std::size_t encoded_size() const { return m_head.size() + m_body.size(); }
    };

    /** Classes of messages that share the streams. */
    enum class stream_class : std::uint8_t { control, large };

    using outgoing_map = std::map<outgoing_id, outgoing>;

    void enqueue(outgoing_id id);
    bool block_behind_call(outgoing_id id);
    std::optional<outgoing_frame> next_small();
    std::optional<outgoing_frame> next_control();
    std::optional<outgoing_frame> next_large();
    void open_streams();
    bool open_stream(outgoing& entry, stream_class message_class);
    bool encode(outgoing_map::iterator at);
    outgoing_frame make_frame(outgoing_map::iterator at);
    void finish_framing(outgoing_map::iterator at);
    void release_blocked_cancels(outgoing& entry);
    std::optional<link_message> remove(outgoing_map::iterator at);

    chunk_limits m_limits;
    outgoing_map m_messages;
    std::deque<outgoing_id> m_small;      ///< Messages that are estimated to fit in one frame.
    std::deque<outgoing_id> m_control;    ///< Control messages; some frames of the first may have been made.
    std::deque<outgoing_id> m_large;      ///< Large messages that have no stream yet.
    std::deque<outgoing_id> m_open_large; ///< Large messages with a stream, in round-robin order.
    std::map<attempt_id, outgoing_id> m_calls;     ///< Calls whose last frame was not made yet.
    std::vector<link_message> m_unsendable;        ///< Messages that exceed the limits.
    std::size_t m_open_stream_bytes = 0;           ///< Total length of the messages with a stream.
    std::size_t m_open_stream_count = 0;           ///< Messages with a stream.
    std::size_t m_unframed_count = 0;              ///< Messages whose last frame was not made yet.
    std::size_t m_memory = 0;                      ///< Sum over m_messages, in bytes.
    std::size_t m_small_credit_bytes = chunk_size; ///< Bytes that small messages may send in this turn.
    std::uint64_t m_last_id = 0;
    std::uint32_t m_last_stream = 0;
    bool m_last_turn_large = false; ///< Whether large messages, not control ones, had the last turn.
};

} // namespace waxwing

#endif
