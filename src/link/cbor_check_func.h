/** @file cbor_check_func.h Checks the bounds of a CBOR item before a recursive parser reads it. C++17. */
#ifndef WAXWING_LINK_CBOR_CHECK_FUNC_H
#define WAXWING_LINK_CBOR_CHECK_FUNC_H

#include "base/base.h"

#include <cstddef>
#include <string_view>

namespace waxwing {

/** Maximum nesting of arrays and maps in a message; current messages use two levels. */
inline constexpr std::size_t cbor_depth_limit = 4;

/** Maximum number of items in a message; each header counts as two. */
inline constexpr std::size_t cbor_item_limit = 8192;

/**
 * Returns the length in bytes of the first CBOR item in @p bytes, without recursion or allocation. Rejects
 * truncated items, tags, indefinite lengths, and more nesting or items than the limits allow.
 * Thread safety: pure.
 */
result<std::size_t> checked_item_length(std::string_view bytes);

} // namespace waxwing

#endif
