/** @file spread_message_func.h Messages by which nodes exchange revisions. */
#ifndef WAXWING_CONFIG_SPREAD_MESSAGE_FUNC_H
#define WAXWING_CONFIG_SPREAD_MESSAGE_FUNC_H

#include "config/publication_base.h"

#include <variant>

namespace waxwing {

/** Requests the delta to the revision that the receiver has in force. */
struct spread_request {
    revision m_known_revision; ///< Revision of the sender; zero requests the whole configuration.
};

/** Reply if the sender has no newer revision. */
struct spread_no_update {
    revision m_known_revision; ///< Revision of the sender.
};

/** One page of the delta to the revision that the sender has in force. */
struct spread_page {
    revision_info m_info;      ///< The revision.
    revision m_base;           ///< Base of the delta; zero for the empty configuration.
    std::uint32_t m_page = 0;  ///< Page number, from 0.
    std::uint32_t m_pages = 0; ///< Number of pages of the delta; at least 1.
    std::string m_data;        ///< Part of the delta.
};

/** A message between nodes on revisions. */
using spread_message = std::variant<spread_request, spread_no_update, spread_page>;

/** Size of the delta part in one page, in bytes. */
inline constexpr std::size_t spread_page_size = std::size_t{48} << 10U;

/** Limit for the number of pages of a delta. */
inline constexpr std::uint32_t spread_page_limit = 2 * config_text_limit / spread_page_size;

/** Encodes @p message as CBOR. */
std::string encode_spread(const spread_message& message);

/** Decodes a message. Safe on untrusted input. */
result<spread_message> decode_spread(std::string_view bytes);

} // namespace waxwing

#endif
