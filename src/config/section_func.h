/** @file section_func.h The objects of a set as maps by name, each with the keys of its sort. */
#ifndef WAXWING_CONFIG_SECTION_FUNC_H
#define WAXWING_CONFIG_SECTION_FUNC_H

#include "config/table/keys.h"

#include <map>
#include <string>
#include <tuple>

namespace waxwing {

/** Name of the only `[limits NAME]`. */
inline constexpr std::string_view fleet_name = "fleet";
/** Name of the `[caller NAME]` that stands for callers without an object. */
inline constexpr std::string_view other_callers_name = "*";

/** The objects of one sort. */
template<class Object>
struct section {
    object_type m_sort;                       ///< The sort.
    std::span<const key_info<Object>> m_keys; ///< Its keys.
    std::map<std::string, Object> m_objects;  ///< By name.
};

/** All objects, in the order of object_type. */
using section_list = std::tuple<section<fleet_limits>, section<admission_settings>, section<router_settings>,
                                section<retry_settings>, section<service_object>, section<kind_object>,
                                section<caller_object>>;

/** Makes the list without objects. */
section_list make_sections();

/** Takes @p set apart; limits and the share of other callers only where they are not the default. */
section_list split_set(const config_set& set);

/** Puts a set together. */
config_set join_sections(const section_list& sections);

/** Calls @p visit with each section of @p sections. */
template<class Sections, class Visitor>
void for_each_section(Sections& sections, Visitor visit)
{
    std::apply([&](auto&... each) { (visit(each), ...); }, sections);
}

/** Gives the heading of the object @p name, as `kind order`. */
inline std::string heading_of(object_type sort, std::string_view name)
{
    return std::string(name_in(object_type_names, sort)) + " " + std::string(name);
}

} // namespace waxwing

#endif
