/** @file chunk_receiver_base.h Reassembles messages from the chunks received on a link. C++17. */
#ifndef WAXWING_LINK_CHUNK_RECEIVER_BASE_H
#define WAXWING_LINK_CHUNK_RECEIVER_BASE_H

#include "base/base.h"
#include "link/chunk_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing {

/** Result of accepting one frame. */
struct incoming_frame {
    frame_kind m_kind = frame_kind::whole; ///< The kind of the frame.
    bool m_complete = false;               ///< Whether it completed a message.
    std::string_view m_unchunked; ///< A message sent in a single frame; valid as long as the frame's bytes.
    std::string m_reassembled;    ///< A message reassembled from chunks.
    memory_lease m_lease;         ///< Counts m_reassembled.
    bool m_body_dropped = false; ///< Whether the body was dropped for lack of memory; m_reassembled lacks it.

    /** Returns the complete message. @pre m_complete. */
    std::string_view message() const { return m_kind == frame_kind::whole ? m_unchunked : m_reassembled; }
};

/**
 * Reassembles messages from chunks, within the limits. After an error the link must be closed.
 * Thread safety: for use by one thread only.
 */
class chunk_receiver {
public:
    /** @param budget counts the chunks; null if they are not counted. */
    explicit chunk_receiver(const chunk_limits& limits, std::shared_ptr<memory_budget> budget = nullptr)
        : m_limits(limits), m_budget(std::move(budget))
    {
    }

    /** Processes one @p frame. @return an error if it is malformed or exceeds the limits. */
    result<incoming_frame> accept(std::string_view frame);

    /** Returns the total size of the buffered chunks, in bytes. */
    std::size_t buffered_bytes() const { return m_buffered_bytes; }

private:
    /** A message of which some chunks have been received. */
    struct partial_message {
        std::size_t m_size = 0;       ///< Announced length of the message, in bytes.
        std::size_t m_received = 0;   ///< Bytes received so far.
        std::string m_bytes;          ///< Bytes received so far, without a dropped body.
        memory_lease m_lease;         ///< Counts the message.
        bool m_drops_body = false;    ///< Whether the message does not fit the budget.
        bool m_head_complete = false; ///< With m_drops_body: whether m_bytes is the whole head.
    };

    result<incoming_frame> accept_whole(std::string_view chunk);
    result<incoming_frame> accept_begin(std::string_view rest);
    result<incoming_frame> accept_more(std::string_view rest);
    void append(partial_message& message, std::string_view chunk);

    chunk_limits m_limits;
    std::shared_ptr<memory_budget> m_budget;
    std::map<std::uint32_t, partial_message> m_partial_messages; ///< Keyed by stream.
    std::size_t m_announced_bytes = 0; ///< Sum of the announced lengths in m_partial_messages.
    std::size_t m_buffered_bytes = 0;  ///< Sum of the bytes received in m_partial_messages.
};

} // namespace waxwing

#endif
