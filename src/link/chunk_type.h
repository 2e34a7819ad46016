/** @file chunk_type.h Frames that carry whole messages or chunks of messages. C++17. */
#ifndef WAXWING_LINK_CHUNK_TYPE_H
#define WAXWING_LINK_CHUNK_TYPE_H

#include <cstddef>
#include <cstdint>

namespace waxwing {

/** Maximum number of message bytes in one frame. */
inline constexpr std::size_t chunk_size = 16 * 1024;

/** Bytes of the reassembly limit reserved for control messages, together with one stream. */
inline constexpr std::size_t control_reserve = 80 * 1024;

/** Maximum length of a frame header, in bytes: kind, stream and total length. */
inline constexpr std::size_t frame_header_limit = 9;

/** Frame kinds, sent as the first byte of each frame; append only. */
enum class frame_kind : std::uint8_t {
    whole = 1,     ///< A complete message.
    begin = 2,     ///< Stream, total length and first chunk of a message.
    more = 3,      ///< Stream and next chunk of its message.
    leave = 4,     ///< Asks the peer to send no further calls on this link.
    leave_done = 5 ///< Answers `leave`: no call follows this frame.
};

/** Limits on the messages of one link; the sender uses the smaller of both sides' limits. */
struct chunk_limits {
    std::size_t m_message = 0;    ///< Maximum length of a message, in bytes.
    std::size_t m_reassembly = 0; ///< Maximum total length of partly sent messages, in bytes.
    std::size_t m_streams = 0;    ///< Maximum number of partly sent messages.
};

} // namespace waxwing

#endif
