/** @file gossip_codec_func.h Encoding of gossip messages as CBOR and of registration rows as JSON. */
#ifndef WAXWING_MEMBER_GOSSIP_CODEC_FUNC_H
#define WAXWING_MEMBER_GOSSIP_CODEC_FUNC_H

#include "member/gossip_type.h"

namespace waxwing {

/** Maximum gossip payload in bytes; fits into one packet on common networks. */
inline constexpr std::size_t gossip_payload_limit = 1200;

/** Encodes @p message. Thread safety: pure. */
std::string encode_gossip(const gossip_message& message);

/** Returns the bytes that @p item occupies in an encoded message. */
std::size_t encoded_size(const gossip_item& item);

/** Decodes the output of encode_gossip. Safe on untrusted input: any bytes yield a message or an error. */
result<gossip_message> decode_gossip(std::string_view payload);

/** Encodes @p record as the value of its registration row: a JSON array. */
std::string encode_row(const member_record& record);

/** Decodes the output of encode_row. Safe on untrusted input: any text yields a record or an error. */
result<member_record> decode_row(std::string_view value);

} // namespace waxwing

#endif
