/** @file section_func.h The objects of a configuration by type, with the keys of each type. */
#ifndef WAXWING_CONFIG_SECTION_FUNC_H
#define WAXWING_CONFIG_SECTION_FUNC_H

#include "config/table/keys.h"

#include <map>
#include <string>
#include <tuple>

namespace waxwing {

/** Name of the only object of the type limits. */
inline constexpr std::string_view fleet_name = "fleet";
/** Name of the caller object that applies to callers without an object of their own. */
inline constexpr std::string_view other_callers_name = "*";

/** The objects of one type. */
template<class Object>
struct section {
    object_type m_type;                       ///< The type.
    std::span<const key_info<Object>> m_keys; ///< Its keys.
    std::map<std::string, Object> m_objects;  ///< By name.
};

/** All objects, in the order of object_type. */
using section_list = std::tuple<section<fleet_limits>, section<admission_settings>, section<router_settings>,
                                section<retry_settings>, section<service_object>, section<kind_object>,
                                section<caller_object>, section<organisation_object>>;

/** Returns the sections without objects. */
section_list make_sections();

/** Splits @p set into sections. Leaves out limits and the share of other callers if they are the default. */
section_list split_set(const config_set& set);

/** Builds a configuration from its sections; the inverse of split_set. */
config_set join_sections(const section_list& sections);

/** Calls @p visit with each section of @p sections. */
template<class Sections, class Visitor>
void for_each_section(Sections& sections, Visitor visit)
{
    std::apply([&](auto&... each) { (visit(each), ...); }, sections);
}

/** Returns the heading of the object @p name, such as `kind order`. */
inline std::string heading_of(object_type type, std::string_view name)
{
    return std::string(name_in(object_type_names, type)) + " " + std::string(name);
}

} // namespace waxwing

#endif
