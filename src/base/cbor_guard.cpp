/** @file cbor_guard.cpp Validates CBOR bytes before they reach a recursive decoder. */
#include "base/base.h"

#include <optional>
#include <vector>

namespace waxwing {

namespace {

/** The head of one CBOR data item. */
struct cbor_head {
    unsigned m_major = 0;         ///< The major type, 0 to 7.
    std::uint64_t m_argument = 0; ///< A value, a length or a count, depending on the major type.
};

constexpr unsigned major_byte_string = 2;
constexpr unsigned major_text = 3;
constexpr unsigned major_array = 4;
constexpr unsigned major_map = 5;
constexpr unsigned major_tag = 6;
constexpr unsigned first_wide_argument = 24; ///< Additional information: the argument follows in 1 byte.
constexpr unsigned last_wide_argument = 27;  ///< Additional information: the argument follows in 8 bytes.

/** Removes the head of an item from @p bytes; none if it is truncated, a tag, or of indefinite length. */
std::optional<cbor_head> remove_head(std::string_view& bytes)
{
    if (bytes.empty()) {
        return std::nullopt;
    }
    const std::uint32_t first = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    cbor_head head{first >> 5U, first & 0x1FU};
    if (head.m_major == major_tag || head.m_argument > last_wide_argument) {
        return std::nullopt;
    }
    if (head.m_argument < first_wide_argument) {
        return head;
    }
    const std::size_t width = std::size_t{1} << (head.m_argument - first_wide_argument);
    if (bytes.size() < width) {
        return std::nullopt;
    }
    head.m_argument = 0;
    for (const char byte : bytes.substr(0, width)) {
        head.m_argument = (head.m_argument << 8U) | static_cast<unsigned char>(byte);
    }
    bytes.remove_prefix(width);
    return head;
}

/**
 * Returns how many items are nested directly in the item of @p head, and removes the content of a string from
 * @p bytes. Returns none if the length or count exceeds the bytes that remain.
 */
std::optional<std::uint64_t> count_nested_items(const cbor_head& head, std::string_view& bytes)
{
    if (head.m_major != major_byte_string && head.m_major != major_text && head.m_major != major_array &&
        head.m_major != major_map) {
        return 0;
    }
    if (head.m_argument > bytes.size()) {
        return std::nullopt;
    }
    if (head.m_major == major_byte_string || head.m_major == major_text) {
        bytes.remove_prefix(static_cast<std::size_t>(head.m_argument));
        return 0;
    }
    return head.m_major == major_map ? 2 * head.m_argument : head.m_argument;
}

} // namespace

bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth)
{
    std::vector<std::uint64_t> remaining_items{1}; // For each open item, outermost first.
    while (!remaining_items.empty()) {
        if (remaining_items.back() == 0) {
            remaining_items.pop_back();
            continue;
        }
        --remaining_items.back();
        const std::optional<cbor_head> head = remove_head(bytes);
        const std::optional<std::uint64_t> nested_items =
            head ? count_nested_items(*head, bytes) : std::nullopt;
        if (!nested_items) {
            return false;
        }
        if (head->m_major != major_array && head->m_major != major_map) {
            continue;
        }
        if (remaining_items.size() > max_depth) {
            return false;
        }
        remaining_items.push_back(*nested_items);
    }
    return bytes.empty();
}

} // namespace waxwing
