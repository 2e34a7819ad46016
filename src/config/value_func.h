/** @file value_func.h Reading and writing the value of a key. */
#ifndef WAXWING_CONFIG_VALUE_FUNC_H
#define WAXWING_CONFIG_VALUE_FUNC_H

#include "config/key_type.h"

#include <string>
#include <string_view>

namespace waxwing {

/** Bytes of the longest name of an object. */
inline constexpr std::size_t name_limit = 63;

/** Tells whether @p text can name an object: letters, digits, `.`, `-` and `_`, beginning with the first two.
 */
bool is_name(std::string_view text);

/** Reads `20ms`, `2s`, `10m`, `24h`; also `us` and `ns`. */
result<duration> parse_duration(std::string_view text);

/** Writes @p value in the largest unit that needs no fraction. */
std::string write_duration(duration value);

/** The range of a value. */
struct value_range {
    std::string_view m_least; ///< Least value as in files; empty without order.
    std::string_view m_most;  ///< Greatest value as in files.
};

/** Reads @p text into @p value, which stays as it was on an error. */
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

/** Reads a text of the form @p form into @p value, which stays as it was on an error. */
result<void> parse_text(std::string_view text, text_form form, std::string& value);

/** Writes @p value as parse_value reads it. */
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
std::string write_value(const std::string& value);

/** Reads @p text into the field of @p object that @p key names. */
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

/** Writes the field of @p object that @p key names. */
template<class Object>
std::string write_key(const key_info<Object>& key, const Object& object)
{
    Object copy = object;
    return std::visit([&](const auto& field) { return write_value(std::as_const(field.m_get(copy))); },
                      key.m_field);
}

} // namespace waxwing

#endif
