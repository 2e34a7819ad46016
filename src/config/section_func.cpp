/** @file section_func.cpp Conversion between a configuration and its sections by object type. */
#include "config/section_func.h"

namespace waxwing {

namespace {

/** Copies @p source into @p destination, with names as plain strings. */
template<class Name, class Object>
void copy_objects(const std::map<Name, Object>& source, std::map<std::string, Object>& destination)
{
    for (const auto& [name, object] : source) {
        if constexpr (std::is_same_v<Name, std::string>) {
            destination.emplace(name, object);
        }
        else {
            destination.emplace(name.m_value, object);
        }
    }
}

/** Copies @p source into @p destination and sets the name in each object. */
template<class Name, class Object>
void name_objects(const std::map<std::string, Object>& source, std::map<Name, Object>& destination)
{
    for (const auto& [name, object] : source) {
        destination.emplace(Name{name}, object).first->second.m_name = Name{name};
    }
}

/** Returns whether @p a and @p b are equal. */
bool equal_shares(const share_settings& a, const share_settings& b)
{
    return a.m_rate == b.m_rate && a.m_burst == b.m_burst && a.m_weight == b.m_weight;
}

} // namespace

section_list make_sections()
{
    return section_list{
        {object_type::limits, fleet_keys, {}},    {object_type::admission, admission_keys, {}},
        {object_type::routing, routing_keys, {}}, {object_type::retry, retry_keys, {}},
        {object_type::service, service_keys, {}}, {object_type::kind, kind_keys, {}},
        {object_type::caller, caller_keys, {}},   {object_type::organisation, organisation_keys, {}}};
}

section_list split_set(const config_set& set)
{
    section_list sections = make_sections();
    auto& [limits, admissions, routings, retries, services, kinds, callers, organisations] = sections;
    if (set.m_max_depth != fleet_limits{}.m_depth || set.m_caller_limits != caller_limits{} ||
        !set.m_key_salt.empty()) {
        limits.m_objects.emplace(fleet_name,
                                 fleet_limits{set.m_max_depth, set.m_caller_limits, set.m_key_salt});
    }
    copy_objects(set.m_admissions, admissions.m_objects);
    copy_objects(set.m_routings, routings.m_objects);
    copy_objects(set.m_retries, retries.m_objects);
    copy_objects(set.m_services, services.m_objects);
    copy_objects(set.m_kinds, kinds.m_objects);
    copy_objects(set.m_callers, callers.m_objects);
    copy_objects(set.m_organisations, organisations.m_objects);
    if (!equal_shares(set.m_unknown_callers, share_settings{})) {
        callers.m_objects.emplace(other_callers_name, caller_object{{}, set.m_unknown_callers});
    }
    return sections;
}

config_set join_sections(const section_list& sections)
{
    const auto& [limits, admissions, routings, retries, services, kinds, callers, organisations] = sections;
    config_set set;
    if (const auto fleet = limits.m_objects.find(std::string(fleet_name)); fleet != limits.m_objects.end()) {
        set.m_max_depth = fleet->second.m_depth;
        set.m_caller_limits = fleet->second.m_caller;
        set.m_key_salt = fleet->second.m_key_salt;
    }
    set.m_admissions = admissions.m_objects;
    set.m_routings = routings.m_objects;
    set.m_retries = retries.m_objects;
    name_objects(services.m_objects, set.m_services);
    name_objects(kinds.m_objects, set.m_kinds);
    name_objects(callers.m_objects, set.m_callers);
    name_objects(organisations.m_objects, set.m_organisations);
    const caller_name others{std::string(other_callers_name)};
    if (const auto found = set.m_callers.find(others); found != set.m_callers.end()) {
        set.m_unknown_callers = found->second.m_share;
        set.m_callers.erase(found);
    }
    return set;
}

} // namespace waxwing
