/** @file cbor_guard_func.h Validates CBOR bytes before they reach a recursive decoder. Compiles as C++17. */
#ifndef WAXWING_BASE_CBOR_GUARD_FUNC_H
#define WAXWING_BASE_CBOR_GUARD_FUNC_H

#include <cstddef>
#include <string_view>

namespace waxwing {

/**
 * Returns whether @p bytes are exactly one CBOR data item (RFC 8949) that a recursive decoder can safely
 * read: arrays and maps nest at most @p max_depth deep, no length exceeds the remaining bytes, and there are
 * no tags or indefinite lengths. Runs in linear time and without recursion. Thread safety: pure.
 */
bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth);

} // namespace waxwing

#endif
