/** @file confirmation_message_func.h Messages by which nodes learn that their revision was the newest one. */
#ifndef WAXWING_CONFIG_CONFIRMATION_MESSAGE_FUNC_H
#define WAXWING_CONFIG_CONFIRMATION_MESSAGE_FUNC_H

#include "base/base.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace waxwing {

/** Asks when the revision in force at the receiver was last known to be the newest one. */
struct confirmation_request {
    std::uint64_t m_id = 0; ///< Returned in the answer.
};

/** Answers one confirmation_request. */
struct confirmation_answer {
    std::uint64_t m_id = 0;        ///< That of the request.
    revision m_revision;           ///< Revision in force at the sender; zero if none.
    std::optional<duration> m_age; ///< Time since it was known to be the newest one; none if it never was.
};

/** A message of the control topic `confirmation`. */
using confirmation_message = std::variant<confirmation_request, confirmation_answer>;

/** An older confirmation is not reported. */
inline constexpr duration max_confirmation_age = std::chrono::hours(1);

/** Encodes @p message as CBOR. The age is rounded up to whole microseconds. Thread safety: pure. */
std::string encode_confirmation(const confirmation_message& message);

/** Decodes a message. Safe on untrusted input. Thread safety: pure. */
result<confirmation_message> decode_confirmation(std::string_view bytes);

} // namespace waxwing

#endif
