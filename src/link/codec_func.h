/** @file codec_func.h CBOR encoding of link messages. Compiles as C++17. */
#ifndef WAXWING_LINK_CODEC_FUNC_H
#define WAXWING_LINK_CODEC_FUNC_H

#include "link/message_type.h"

#include <string>
#include <string_view>

namespace waxwing {

/** Encodes @p message as a CBOR array and a body. Thread safety: pure. */
std::string encode_message(const link_message& message);

/** Encodes the array of @p message, which body_of(message) follows. Thread safety: pure. */
std::string encode_head(const link_message& message);

/** Returns the body or payload of @p message. Thread safety: that of the body's budget. */
shared_body body_of(const link_message& message);

/**
 * Decodes the output of encode_message. Safe on untrusted input: depth, time and memory are bounded.
 * @return an error if the message is malformed.
 * Thread safety: pure.
 */
result<link_message> decode_message(std::string_view bytes);

/**
 * The same, but the body takes over the memory of @p bytes, counted by @p lease.
 * @param body_dropped whether @p bytes lacks the body because there was no memory for it: a call is marked,
 * and an answer says that it was lost.
 */
result<link_message> decode_message(std::string&& bytes, memory_lease lease, bool body_dropped);

} // namespace waxwing

#endif
