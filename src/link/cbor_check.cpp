/** @file cbor_check.cpp Iterative traversal of one CBOR item (RFC 8949). */
#include "link/cbor_check_func.h"

#include <array>
#include <cstdint>

namespace waxwing {

namespace {

/** Major types of RFC 8949, in the order of their numbers. */
enum class major_type { unsigned_integer, negative_integer, bytes, text, array, map, tag, simple };

/** The head of an item: its major type and argument. */
struct item_head {
    major_type m_type = major_type::simple; ///< The three high bits of the first byte.
    std::uint64_t m_argument = 0;           ///< Value, length or count.
};

constexpr unsigned argument_bits = 5; ///< Low bits of the first byte that encode the argument or its width.
constexpr unsigned argument_one_byte = 24;    ///< The argument is in the next byte.
constexpr unsigned argument_eight_bytes = 27; ///< The argument is in the next eight bytes.

/** Traverses the items of a byte string without recursion. */
class item_walker {
public:
    explicit item_walker(std::string_view bytes) : m_bytes(bytes) {}

    /** Traverses one item including nested items. @return its length in bytes. */
    result<std::size_t> run()
    {
        m_remaining[0] = 1;
        while (true) {
            while (m_remaining[m_depth] == 0) {
                if (m_depth == 0) {
                    return m_offset;
                }
                --m_depth;
            }
            --m_remaining[m_depth];
            if (++m_item_count > cbor_item_limit) {
                return fail(error_code::invalid, "the CBOR has too many items");
            }
            if (result<void> step = read_item(); step.has_error()) {
                return step.error();
            }
        }
    }

private:
    /** Reads the head of the item at the current offset. */
    result<item_head> read_head()
    {
        if (m_offset >= m_bytes.size()) {
            return fail(error_code::invalid, "the CBOR is truncated");
        }
        const auto first = static_cast<std::uint8_t>(m_bytes[m_offset++]);
        const unsigned info = first & ((1U << argument_bits) - 1U);
        const auto type = static_cast<major_type>(first >> argument_bits);
        if (info < argument_one_byte) {
            return item_head{type, info};
        }
        if (info > argument_eight_bytes) {
            return fail(error_code::invalid, "the CBOR has an indefinite length");
        }
        const std::size_t width = std::size_t{1} << (info - argument_one_byte);
        if (m_bytes.size() - m_offset < width) {
            return fail(error_code::invalid, "the CBOR is truncated");
        }
        std::uint64_t argument = 0;
        for (std::size_t index = 0; index < width; ++index) {
            argument = (argument << 8U) | static_cast<std::uint8_t>(m_bytes[m_offset++]);
        }
        return item_head{type, argument};
    }

    /** Reads one item; the elements of an array or map are read by the following steps. */
    result<void> read_item()
    {
        const result<item_head> head = read_head();
        if (head.has_error()) {
            return head.error();
        }
        switch (head.value().m_type) {
        case major_type::bytes:
        case major_type::text:
            return skip(head.value().m_argument);
        case major_type::array:
            return enter(head.value().m_argument);
        case major_type::map:
            return enter_map(head.value().m_argument);
        case major_type::tag:
            return fail(error_code::invalid, "the CBOR has a tag");
        default:
            return success();
        }
    }

    /** Skips @p length bytes. */
    result<void> skip(std::uint64_t length)
    {
        if (length > m_bytes.size() - m_offset) {
            return fail(error_code::invalid, "the CBOR is truncated");
        }
        m_offset += static_cast<std::size_t>(length);
        return success();
    }

    /** Enters a map of @p pairs key-value pairs. */
    result<void> enter_map(std::uint64_t pairs)
    {
        if (pairs > m_bytes.size()) {
            return fail(error_code::invalid, "the CBOR is truncated");
        }
        return enter(2 * pairs);
    }

    /** Enters an array or map of @p count items. */
    result<void> enter(std::uint64_t count)
    {
        if (count > m_bytes.size() - m_offset) {
            return fail(error_code::invalid, "the CBOR is truncated");
        }
        if (m_depth == cbor_depth_limit) {
            return fail(error_code::invalid, "the CBOR is nested too deeply");
        }
        m_remaining[++m_depth] = count;
        return success();
    }

    std::string_view m_bytes;
    std::size_t m_offset = 0;
    std::size_t m_depth = 0;
    std::size_t m_item_count = 0;
    std::array<std::uint64_t, cbor_depth_limit + 1> m_remaining{}; ///< Unread items at each level.
};

} // namespace

result<std::size_t> checked_item_length(std::string_view bytes)
{
    return item_walker(bytes).run();
}

} // namespace waxwing
