/** @file value_func.h Parsing and formatting of key values. */
#ifndef WAXWING_CONFIG_VALUE_FUNC_H
#define WAXWING_CONFIG_VALUE_FUNC_H

#include "config/key_type.h"

#include <string>
#include <string_view>

namespace waxwing {

/** Limit for the length of an object's name, in bytes. */
inline constexpr std::size_t name_limit = 63;

/** Returns whether @p text is a valid name of an object: letters, digits, `.`, `-` and `_`, beginning with a
 * letter or digit. */
bool is_name(std::string_view text);

/** Parses a duration such as `20ms`, `2s`, `10m` or `24h`; `us` and `ns` are also units. */
result<duration> parse_duration(std::string_view text);

/** Formats @p value in the largest unit that divides it without remainder. */
std::string write_duration(duration value);

/** Range of a value. */
struct value_range {
    std::string_view m_min; ///< Minimum, as in files; empty if the value has no range.
    std::string_view m_max; ///< Maximum, as in files.
};

/** Parses @p text into @p value, which is left unchanged on error. */
result<void> parse_value(std::string_view text, const value_range& range, bool& value);
/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, std::uint8_t& value);
/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, std::uint16_t& value);
/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, std::uint32_t& value);
/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, double& value);
/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, duration& value);
/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, std::vector<service_name>& value);

/** @copydoc parse_value */
result<void> parse_value(std::string_view text, const value_range& range, std::vector<split_part>& value);

/** @copydoc parse_value
 * Reads hashes of keys. An error does not quote the text, which may be a key that was not hashed. */
result<void> parse_value(std::string_view text, const value_range& range, std::vector<std::string>& value);

/** Checks that @p text has the syntax @p form and copies it to @p value, which is left unchanged on error.
 * Escapes of the form `\xHH` are replaced by the bytes that they stand for, where the form allows them. */
result<void> parse_text(std::string_view text, text_form form, std::string& value);

/** Formats @p value so that parse_text can parse it as @p form. */
std::string write_text(const std::string& value, text_form form);

/** Formats @p value so that parse_value can parse it. */
std::string write_value(bool value);
/** @copydoc write_value */
std::string write_value(std::uint8_t value);
/** @copydoc write_value */
std::string write_value(std::uint16_t value);
/** @copydoc write_value */
std::string write_value(std::uint32_t value);
/** @copydoc write_value */
std::string write_value(double value);
/** @copydoc write_value */
std::string write_value(duration value);
/** @copydoc write_value */
std::string write_value(const std::vector<service_name>& value);
/** @copydoc write_value */
std::string write_value(const std::vector<split_part>& value);
/** @copydoc write_value */
std::string write_value(const std::vector<std::string>& value);
/** @copydoc write_value */
std::string write_value(const std::string& value);

/** Parses @p text into the member of @p object that @p key sets. */
template<class Object>
result<void> parse_key(std::string_view text, const key_info<Object>& key, Object& object)
{
    const value_range range{key.m_min, key.m_max};
    return std::visit(
        [&](const auto& field) -> result<void> {
            if constexpr (std::is_same_v<std::decay_t<decltype(field)>, text_field<Object>>) {
                return parse_text(text, field.m_form, field.m_get(object));
            }
            else {
                return parse_value(text, range, field.m_get(object));
            }
        },
        key.m_field);
}

/** Formats the member of @p object that @p key sets. */
template<class Object>
std::string write_key(const key_info<Object>& key, const Object& object)
{
    Object copy = object;
    return std::visit(
        [&](const auto& field) {
            if constexpr (std::is_same_v<std::decay_t<decltype(field)>, text_field<Object>>) {
                return write_text(field.m_get(copy), field.m_form);
            }
            else {
                return write_value(std::as_const(field.m_get(copy)));
            }
        },
        key.m_field);
}

} // namespace waxwing

#endif
