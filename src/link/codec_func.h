/** @file codec_func.h CBOR encoding of link messages. Compiles as C++17. */
#ifndef WAXWING_LINK_CODEC_FUNC_H
#define WAXWING_LINK_CODEC_FUNC_H

#include "link/message_type.h"

#include <string>
#include <string_view>

namespace waxwing {

/** Encodes @p message as a CBOR array and a body. Thread safety: pure. */
std::string encode_message(const link_message& message);

/**
 * Decodes the output of encode_message. Safe on untrusted input: depth, time and memory are bounded.
 * @return an error if the message is malformed.
 * Thread safety: pure.
 */
result<link_message> decode_message(std::string_view bytes);

} // namespace waxwing

#endif
