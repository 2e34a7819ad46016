/** @file context_func.cpp Parsing and formatting of the waxwinghub headers. */
#include "call/context_func.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace waxwing {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t id_digits = 16;
constexpr std::size_t context_size = 2 * id_digits + 2 + 2;
constexpr std::size_t host_limit = 253 + 6; ///< A host name, as in the configuration, and a port.
constexpr std::int64_t max_deadline_ms = 24 * 60 * 60 * 1000; ///< Longer ones count as this.

/** Hop-by-hop headers: they concern one connection only and are not forwarded. */
constexpr std::array<std::string_view, 10> hop_by_hop_headers{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Content-Length",
                                                              "Expect"};

/** Headers that waxwinghub reads and writes itself; they are not forwarded as received. */
constexpr std::array<std::string_view, 7> own_headers{context_header,    deadline_header, kind_header,
                                                      caller_header,     outcome_header,  rule_header,
                                                      "Proxy-Connection"};

/** Appends @p value to @p text as 16 hexadecimal digits, including leading zeros. */
void append_id(std::string& text, std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(value >> static_cast<unsigned>(shift)) & 0xFU];
    }
}

/** Parses the whole of @p text as a number in @p base. @return false if any part is not a digit or the number
 * is out of range. */
template<class Number>
bool read_number(std::string_view text, Number& value, int base = 10)
{
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value, base);
    return failure == std::errc{} && stop == end && !text.empty();
}

/** Returns whether @p text is visible ASCII of up to @p limit bytes. */
bool is_name(const std::string& text, std::size_t limit)
{
    const auto is_visible = [](char character) { return character > ' ' && character < '\x7f'; };
    return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), is_visible);
}

/** Reads the header @p name, a name or key, into @p value. @return false if it is present and malformed. */
bool read_name(const header_list& headers, std::string_view name, std::string& value,
               std::size_t limit = name_limit)
{
    const std::string* const text = find_header(headers, name);
    if (text == nullptr) {
        return true;
    }
    value = *text;
    return is_name(value, limit);
}

/** Reads a deadline in milliseconds: digits, of any number. */
std::optional<duration> read_deadline(const std::string& text)
{
    const auto is_digit = [](char character) { return character >= '0' && character <= '9'; };
    if (text.empty() || !std::all_of(text.begin(), text.end(), is_digit)) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    const bool is_in_range = read_number(text, milliseconds);
    return std::chrono::milliseconds(is_in_range ? std::min(milliseconds, max_deadline_ms) : max_deadline_ms);
}

/** Returns the error for a malformed header @p name. */
error malformed_header(std::string_view name)
{
    return error{error_code::invalid, "the header " + std::string(name) + " can't be read"};
}

/** Returns whether @p name is in @p names, ignoring case. */
template<std::size_t Size>
bool is_among(const std::array<std::string_view, Size>& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view other) { return equal_ignoring_case(name, other); });
}

/** Returns whether the comma-separated @p list contains @p name. */
bool lists_name(std::string_view list, const std::string& name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        if (equal_ignoring_case(item, name)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

std::string write_context(const parent_reference& reference)
{
    std::string text;
    append_id(text, reference.m_root.m_value);
    text += '-';
    append_id(text, reference.m_attempt.m_value);
    text += '-';
    return text + std::to_string(reference.m_depth);
}

std::optional<parent_reference> read_context(std::string_view text)
{
    parent_reference reference;
    if (text.size() < context_size - 1 || text[id_digits] != '-' || text[2 * id_digits + 1] != '-') {
        return std::nullopt;
    }
    const bool valid =
        read_number(text.substr(0, id_digits), reference.m_root.m_value, hexadecimal) &&
        read_number(text.substr(id_digits + 1, id_digits), reference.m_attempt.m_value, hexadecimal) &&
        read_number(text.substr(2 * id_digits + 2), reference.m_depth);
    if (!valid) {
        return std::nullopt;
    }
    return reference;
}

result<request_fields> read_request_fields(const header_list& headers, std::string_view deadline_name)
{
    request_fields fields;
    if (!read_name(headers, "Host", fields.m_host, host_limit) || fields.m_host.empty()) {
        return malformed_header("Host");
    }
    fields.m_host = to_lower(fields.m_host.substr(0, fields.m_host.find(':')));
    if (!read_name(headers, kind_header, fields.m_kind.m_value)) {
        return malformed_header(kind_header);
    }
    if (!read_name(headers, caller_header, fields.m_caller.m_value)) {
        return malformed_header(caller_header);
    }
    if (!read_name(headers, idempotency_key_header, fields.m_key)) {
        return malformed_header(idempotency_key_header);
    }
    if (const std::string* const text = find_header(headers, deadline_name)) {
        fields.m_deadline = read_deadline(*text);
        if (!fields.m_deadline.has_value()) {
            return malformed_header(deadline_name);
        }
    }
    if (const std::string* const text = find_header(headers, context_header)) {
        fields.m_parent = read_context(*text);
        if (!fields.m_parent.has_value()) {
            return malformed_header(context_header);
        }
    }
    return fields;
}

header_list end_to_end_headers(const header_list& headers)
{
    header_list forwarded;
    const std::string* const connection = find_header(headers, "Connection");
    for (const header& field : headers) {
        const bool connection_specific = connection != nullptr && lists_name(*connection, field.m_name);
        if (!connection_specific && !is_among(hop_by_hop_headers, field.m_name) &&
            !is_among(own_headers, field.m_name)) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

std::uint64_t fingerprint_of(std::string_view service, std::string_view method, std::string_view path,
                             std::string_view body)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : {service, method, path, body}) {
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash ^ part.size());
    }
    return hash;
}

answer refusal(rule reason, run_state state)
{
    answer response;
    response.m_state = state;
    response.m_rule = reason;
    response.m_status = info_of(reason).m_status;
    return response;
}

} // namespace waxwing
