/** @file organisation_func.cpp Parsing of the Authorization field. */
#include "call/organisation_func.h"

#include <algorithm>

namespace waxwing {

std::optional<std::string_view> bearer_key_of(const header_list& headers)
{
    const auto is_authorization = [](const header& field) {
        return equal_ignoring_case(field.m_name, authorization_header);
    };
    if (std::count_if(headers.begin(), headers.end(), is_authorization) != 1) {
        return std::nullopt;
    }
    const std::string_view value = std::find_if(headers.begin(), headers.end(), is_authorization)->m_value;
    const std::size_t scheme_end = std::min(value.find(' '), value.size());
    const std::size_t key_begin = std::min(value.find_first_not_of(' ', scheme_end), value.size());
    const std::string_view key = value.substr(key_begin);
    const auto is_visible = [](char character) { return character > ' ' && character < '\x7f'; };
    if (!equal_ignoring_case(value.substr(0, scheme_end), bearer_scheme) || key.empty() ||
        !std::all_of(key.begin(), key.end(), is_visible)) {
        return std::nullopt;
    }
    return key;
}

std::uint8_t headroom_importance(const config_set& set, std::uint8_t kind_importance)
{
    const auto& organisations = set.m_organisations;
    const auto highest =
        std::min_element(organisations.begin(), organisations.end(), [](const auto& a, const auto& b) {
            return a.second.m_priority < b.second.m_priority;
        });
    return highest == organisations.end()
               ? kind_importance
               : organisation_importance(highest->second.m_priority, kind_importance);
}

} // namespace waxwing
