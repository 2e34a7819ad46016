/** @file value_func.cpp Parsing and formatting of key values. */
#include "config/value_func.h"

#include "config/organisation_index_base.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>
#include <charconv>
#include <cmath>

namespace waxwing {

namespace {

/** A unit of time. */
struct time_unit {
    std::string_view m_name; ///< As in files.
    duration m_length;       ///< Its length.
};

/** Units of time, longest first. */
constexpr std::array<time_unit, 6> time_units{{{"h", std::chrono::hours(1)},
                                               {"m", std::chrono::minutes(1)},
                                               {"s", std::chrono::seconds(1)},
                                               {"ms", std::chrono::milliseconds(1)},
                                               {"us", std::chrono::microseconds(1)},
                                               {"ns", std::chrono::nanoseconds(1)}}};

constexpr std::string_view digits = "0123456789";
constexpr std::size_t method_limit = 16;
constexpr std::size_t salt_limit = 255;
constexpr std::size_t escape_size = 4;            ///< Bytes of an escape.
constexpr std::uint32_t weight_limit = 1'000'000; ///< Limit for the weight of one part of a split.

/** Puts @p text in quotation marks. */
std::string quote(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

/** Returns the error that @p text is not @p expected. */
auto fail_parse(std::string_view text, std::string_view expected)
{
    return fail(error_code::invalid, quote(text) + " is not " + std::string(expected));
}

bool is_letter(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/** Parses all of @p text as a number; none if it is not a number or out of range of @p Number. */
template<class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data(), end, number);
    return failure == std::errc{} && parsed_end == end ? std::optional(number) : std::nullopt;
}

/** Returns an error unless @p number lies in @p range, whose bounds are parsed with @p parse. */
template<class Number, class Parse>
result<void> check_range(std::string_view text, const value_range& range, Number number, Parse parse)
{
    if (number < parse(range.m_min) || parse(range.m_max) < number) {
        return fail(error_code::invalid, quote(text) + " is out of range: from " + std::string(range.m_min) +
                                             " to " + std::string(range.m_max));
    }
    return success();
}

/** Returns whether @p form may contain escapes. */
bool allows_escapes(text_form form)
{
    return form == text_form::path || form == text_form::host || form == text_form::label;
}

bool is_visible(char byte)
{
    return byte > ' ' && byte < '\x7f';
}

bool is_host_byte(char byte)
{
    return (byte >= 'a' && byte <= 'z') || is_digit(byte) || byte == '.' || byte == '-' || byte == '_';
}

/** Returns the byte for which the escape at the beginning of @p text stands; none if there is no escape. */
std::optional<char> escaped_byte(std::string_view text)
{
    if (text.size() < escape_size || text.substr(0, 2) != "\\x") {
        return std::nullopt;
    }
    unsigned byte = 0;
    constexpr int hexadecimal = 16;
    const char* const end = text.data() + escape_size;
    const auto [parsed_end, failure] = std::from_chars(text.data() + 2, end, byte, hexadecimal);
    return failure == std::errc{} && parsed_end == end ? std::optional(static_cast<char>(byte))
                                                       : std::nullopt;
}

/** Replaces the escapes in @p text. @param is_plain decides about the bytes outside escapes. @return none if
 * one of these is not allowed. */
template<class Predicate>
std::optional<std::string> unescape(std::string_view text, Predicate is_plain)
{
    std::string value;
    while (!text.empty()) {
        const std::optional<char> escaped = escaped_byte(text);
        if (!escaped && !is_plain(text.front())) {
            return std::nullopt;
        }
        value += escaped.value_or(text.front());
        text.remove_prefix(escaped ? escape_size : 1);
    }
    return value;
}

/** Parses a text that may contain escapes. */
result<void> parse_escaped(std::string_view text, text_form form, std::string& value)
{
    const std::string_view comment_marks = form == text_form::path ? "?#;" : "#;";
    const std::optional<std::string> plain = unescape(text, [&](char byte) {
        return form == text_form::host ? is_host_byte(byte)
                                       : is_visible(byte) && comment_marks.find(byte) == comment_marks.npos;
    });
    const bool is_empty = !plain || plain->empty();
    if (form == text_form::host && is_empty) {
        return fail_parse(text, "a host name in lower case");
    }
    if (form == text_form::path && (is_empty || plain->front() != '/')) {
        return fail_parse(text,
                          "a path that begins with / and contains no space, query, fragment or semicolon");
    }
    if (is_empty) {
        return fail_parse(text, "visible ASCII without space, semicolon and number sign");
    }
    value = *plain;
    return success();
}

/** Parses a whole number in @p range into @p value. */
template<class Number>
result<void> parse_integer(std::string_view text, const value_range& range, Number& value)
{
    if (text.empty() || text.find_first_not_of(digits) != std::string_view::npos) {
        return fail_parse(text, "a whole number");
    }
    const auto parse = [](std::string_view number) {
        return parse_number<std::uint64_t>(number).value_or(UINT64_MAX);
    };
    const std::uint64_t number = parse(text);
    BOOST_OUTCOME_TRYV(check_range(text, range, number, parse));
    value = static_cast<Number>(number);
    return success();
}

} // namespace

bool is_name(std::string_view text)
{
    const auto is_name_byte = [](char byte) {
        return is_letter(byte) || is_digit(byte) || byte == '.' || byte == '-' || byte == '_';
    };
    return !text.empty() && text.size() <= name_limit &&
           (is_letter(text.front()) || is_digit(text.front())) &&
           std::all_of(text.begin(), text.end(), is_name_byte);
}

result<duration> parse_duration(std::string_view text)
{
    constexpr std::string_view expected = "a duration with its unit, such as 20ms, 2s, 10m or 24h";
    const std::size_t end = std::min(text.find_first_not_of(digits), text.size());
    const std::optional<std::int64_t> count = parse_number<std::int64_t>(text.substr(0, end));
    const auto unit = std::find_if(time_units.begin(), time_units.end(), [&](const time_unit& candidate) {
        return candidate.m_name == text.substr(end);
    });
    if (!count || unit == time_units.end() || *count > duration::max() / unit->m_length) {
        return fail_parse(text, expected);
    }
    return *count * unit->m_length;
}

std::string write_duration(duration value)
{
    if (value == duration::zero()) {
        return "0ms";
    }
    const auto divides = [&](const time_unit& unit) { return value % unit.m_length == duration::zero(); };
    const auto unit = std::find_if(time_units.begin(), time_units.end(), divides);
    return std::to_string(value / unit->m_length) + std::string(unit->m_name);
}

result<void> parse_value(std::string_view text, const value_range& /*range*/, bool& value)
{
    if (text != "yes" && text != "no") {
        return fail_parse(text, "yes or no");
    }
    value = text == "yes";
    return success();
}

result<void> parse_value(std::string_view text, const value_range& range, std::uint8_t& value)
{
    return parse_integer(text, range, value);
}

result<void> parse_value(std::string_view text, const value_range& range, std::uint16_t& value)
{
    return parse_integer(text, range, value);
}

result<void> parse_value(std::string_view text, const value_range& range, std::uint32_t& value)
{
    return parse_integer(text, range, value);
}

result<void> parse_value(std::string_view text, const value_range& range, double& value)
{
    const auto parse = [](std::string_view number) { return parse_number<double>(number).value_or(NAN); };
    const double number = parse(text);
    if (!std::isfinite(number)) {
        return fail_parse(text, "a number");
    }
    BOOST_OUTCOME_TRYV(check_range(text, range, number, parse));
    value = number == 0.0 ? 0.0 : number;
    return success();
}

result<void> parse_value(std::string_view text, const value_range& range, duration& value)
{
    const auto parse = [](std::string_view time) { return parse_duration(time).value(); };
    BOOST_OUTCOME_TRY(time, parse_duration(text));
    BOOST_OUTCOME_TRYV(check_range(text, range, time, parse));
    value = time;
    return success();
}

result<void> parse_value(std::string_view text, const value_range& /*range*/,
                         std::vector<service_name>& value)
{
    std::vector<service_name> names;
    for (std::size_t position = text.find_first_not_of(" \t"); position != std::string_view::npos;) {
        const std::size_t end = std::min(text.find_first_of(" \t", position), text.size());
        const std::string_view name = text.substr(position, end - position);
        if (!is_name(name)) {
            return fail_parse(name, "the name of a service; names are separated by spaces");
        }
        names.push_back(service_name{std::string(name)});
        position = text.find_first_not_of(" \t", end);
    }
    std::sort(names.begin(), names.end());
    const auto duplicate = std::adjacent_find(names.begin(), names.end());
    if (duplicate != names.end()) {
        return fail(error_code::invalid, quote(duplicate->m_value) + " is listed twice");
    }
    value = std::move(names);
    return success();
}

result<void> parse_value(std::string_view text, const value_range& /*range*/, std::vector<split_part>& value)
{
    constexpr std::string_view expected = "of the form SERVICE:WEIGHT; parts are separated by spaces";
    std::vector<split_part> parts;
    for (std::size_t position = text.find_first_not_of(" \t"); position != std::string_view::npos;) {
        const std::size_t end = std::min(text.find_first_of(" \t", position), text.size());
        const std::string_view part = text.substr(position, end - position);
        const std::size_t colon = std::min(part.find(':'), part.size());
        const std::optional<std::uint32_t> weight =
            parse_number<std::uint32_t>(part.substr(std::min(colon + 1, part.size())));
        if (!is_name(part.substr(0, colon)) || !weight || *weight > weight_limit) {
            return fail_parse(part, expected);
        }
        parts.push_back({service_name{std::string(part.substr(0, colon))}, *weight});
        position = text.find_first_not_of(" \t", end);
    }
    value = std::move(parts);
    return success();
}

result<void> parse_value(std::string_view text, const value_range& /*range*/, std::vector<std::string>& value)
{
    std::vector<std::string> hashes;
    for (std::size_t position = text.find_first_not_of(" \t"); position != std::string_view::npos;) {
        const std::size_t end = std::min(text.find_first_of(" \t", position), text.size());
        const std::string_view hash = text.substr(position, end - position);
        if (hash.size() != key_hash_size || hash.find_first_not_of("0123456789abcdef") != hash.npos) {
            return fail(error_code::invalid, "the hash number " + std::to_string(hashes.size() + 1) +
                                                 " is not " + std::to_string(key_hash_size) +
                                                 " lower-case hexadecimal digits");
        }
        hashes.emplace_back(hash);
        position = text.find_first_not_of(" \t", end);
    }
    std::sort(hashes.begin(), hashes.end());
    if (std::adjacent_find(hashes.begin(), hashes.end()) != hashes.end()) {
        return fail(error_code::invalid, "a hash is listed twice");
    }
    value = std::move(hashes);
    return success();
}

result<void> parse_text(std::string_view text, text_form form, std::string& value)
{
    if (allows_escapes(form)) {
        return parse_escaped(text, form, value);
    }
    const auto is_upper = [](char byte) { return byte >= 'A' && byte <= 'Z'; };
    if (form == text_form::reference && !is_name(text)) {
        return fail_parse(text, "a name");
    }
    if (form == text_form::method &&
        (text.empty() || text.size() > method_limit || !std::all_of(text.begin(), text.end(), is_upper))) {
        return fail_parse(text, "an HTTP method in capitals");
    }
    if (form == text_form::salt &&
        (text.empty() || text.size() > salt_limit || !std::all_of(text.begin(), text.end(), is_visible) ||
         text.find_first_of(";#") != text.npos)) {
        return fail_parse(text, "visible ASCII without space, semicolon and number sign");
    }
    value = text;
    return success();
}

std::string write_text(const std::string& value, text_form form)
{
    if (!allows_escapes(form)) {
        return value;
    }
    constexpr std::string_view hexadecimal_digits = "0123456789abcdef";
    constexpr std::string_view marks = "\\?#;";
    std::string text;
    for (const char byte : value) {
        const bool is_plain =
            form == text_form::host ? is_host_byte(byte) : is_visible(byte) && marks.find(byte) == marks.npos;
        if (is_plain) {
            text += byte;
            continue;
        }
        const auto code = static_cast<unsigned char>(byte);
        text += "\\x";
        text += hexadecimal_digits[code >> 4U];
        text += hexadecimal_digits[code & 0xFU];
    }
    return text;
}

std::string write_value(bool value)
{
    return value ? "yes" : "no";
}

std::string write_value(std::uint8_t value)
{
    return std::to_string(value);
}

std::string write_value(std::uint16_t value)
{
    return std::to_string(value);
}

std::string write_value(std::uint32_t value)
{
    return std::to_string(value);
}

std::string write_value(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, failure] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return std::string(buffer.data(), end);
}

std::string write_value(duration value)
{
    return write_duration(value);
}

std::string write_value(const std::vector<service_name>& value)
{
    std::vector<service_name> names = value;
    std::sort(names.begin(), names.end());
    std::string text;
    for (const service_name& name : names) {
        text += (text.empty() ? "" : " ") + name.m_value;
    }
    return text;
}

std::string write_value(const std::vector<split_part>& value)
{
    std::string text;
    for (const split_part& part : value) {
        text += (text.empty() ? "" : " ") + part.m_service.m_value + ":" + std::to_string(part.m_weight);
    }
    return text;
}

std::string write_value(const std::vector<std::string>& value)
{
    std::vector<std::string> items = value;
    std::sort(items.begin(), items.end());
    std::string text;
    for (const std::string& item : items) {
        text += (text.empty() ? "" : " ") + item;
    }
    return text;
}

std::string write_value(const std::string& value)
{
    return value;
}

} // namespace waxwing
