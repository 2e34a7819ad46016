/** @file table_func.h Tables of the names of enumeration values. This header compiles as C++17. */
#ifndef WAXWING_BASE_TABLE_FUNC_H
#define WAXWING_BASE_TABLE_FUNC_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace waxwing {

/** The names of an enumeration's values, indexed by the values, which start at zero. */
template<std::size_t Size>
using name_table = std::array<std::string_view, Size>;

/**
 * Returns the name of @p value.
 * @pre @p value is one of the enumeration's values.
 */
template<class Enum, std::size_t Size>
constexpr std::string_view name_in(const name_table<Size>& table, Enum value)
{
    return table[static_cast<std::size_t>(value)];
}

/** Returns the value that is named @p name in @p table; none if there is no such name. */
template<class Enum, std::size_t Size>
constexpr std::optional<Enum> value_in(const name_table<Size>& table, std::string_view name)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (table[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace waxwing

#endif
