/** @file check_func.cpp The check of a whole set: references, cycles and limits that contradict each other.
 */
#include "config/check_func.h"

#include "config/config_func.h"
#include "config/section_func.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Collects what is wrong. */
class checker {
public:
    checker(const config_set& set, const place_index& places) : m_set(set), m_places(places) {}

    /** Runs all checks. */
    std::vector<placed_error> run()
    {
        const section_list sections = split_set(m_set);
        for_each_section(sections, [&](const auto& each) { check_references(each, sections); });
        for (const auto& [name, settings] : m_set.m_admissions) {
            check_admission(heading_of(object_type::admission, name), settings);
        }
        for (const auto& [name, settings] : m_set.m_retries) {
            check_retry(heading_of(object_type::retry, name), settings);
        }
        for (const auto& [name, service] : m_set.m_services) {
            check_service(heading_of(object_type::service, name.m_value), service);
        }
        for (const auto& [name, kind] : m_set.m_kinds) {
            check_split(heading_of(object_type::kind, name.m_value), kind);
        }
        check_matches();
        check_chains();
        return std::move(m_errors);
    }

private:
    /** The longest chain of calls that begins at a service. */
    struct chain {
        bool m_open = true;                  ///< Whether the search is still below the service.
        std::vector<service_name> m_longest; ///< From the service on.
    };

    /** Adds an error at @p key of the object @p heading, or at the heading where the key is left out. */
    void add(const std::string& heading, const std::string& key, const std::string& text)
    {
        const auto at_key = m_places.m_keys.find({heading, key});
        const auto at_heading = m_places.m_headings.find(heading);
        place where;
        if (at_key != m_places.m_keys.end()) {
            where = at_key->second;
        }
        else if (at_heading != m_places.m_headings.end()) {
            where = at_heading->second;
        }
        m_errors.push_back(placed_error{where, heading + ": " + text});
    }

    /** Tells whether all @p keys of @p heading could be read. */
    bool is_read(const std::string& heading, std::initializer_list<const char*> keys) const
    {
        return std::none_of(keys.begin(), keys.end(), [&](const char* key) {
            return m_places.m_bad_keys.count({heading, key}) != 0;
        });
    }

    /** Adds an error unless @p least, the value of the key @p low, is at most @p most, that of @p high. */
    template<class Value>
    void check_order(const std::string& heading, const char* low, Value least, const char* high, Value most)
    {
        if (most < least && is_read(heading, {low, high})) {
            add(heading, low, std::string(low) + " is greater than " + high);
        }
    }

    /** Adds an error for each reference of the objects of @p each to an object that does not exist. */
    template<class Object>
    void check_references(const section<Object>& each, const section_list& sections)
    {
        for (const key_info<Object>& key : each.m_keys) {
            const auto* const field = std::get_if<text_field<Object>>(&key.m_field);
            if (field == nullptr || field->m_form != text_form::reference) {
                continue;
            }
            for (const auto& [name, object] : each.m_objects) {
                const std::string target = write_reference(*field, object);
                check_target(heading_of(each.m_sort, name), key.m_name, field->m_target, target, sections);
            }
        }
    }

    /** Gives the text of @p field in @p object. */
    template<class Object>
    static std::string write_reference(const text_field<Object>& field, const Object& object)
    {
        Object copy = object;
        return field.m_get(copy);
    }

    /** Adds an error where no object @p target of the sort @p sort exists; an empty name is another's error.
     */
    void check_target(const std::string& heading, std::string_view key, object_type sort,
                      const std::string& target, const section_list& sections)
    {
        bool found = target.empty();
        for_each_section(sections, [&](const auto& each) {
            found = found || (each.m_sort == sort && each.m_objects.count(target) != 0);
        });
        if (!found) {
            add(heading, std::string(key),
                std::string(key) + " names the " + heading_of(sort, target) + ", which does not exist");
        }
    }

    void check_admission(const std::string& heading, const admission_settings& settings)
    {
        check_order(heading, "floor", settings.m_limit.m_floor, "slots", settings.m_limit.m_slots);
        check_order(heading, "queue_target", settings.m_target_queue_delay, "queue_most",
                    settings.m_queue_timeout);
    }

    void check_retry(const std::string& heading, const retry_settings& settings)
    {
        check_order(heading, "backoff_least", settings.m_base_backoff, "backoff_most",
                    settings.m_max_backoff);
    }

    void check_service(const std::string& heading, const service_object& service)
    {
        constexpr std::uint16_t first_error_status = 400;
        if (service.m_refusal_status != 0 && service.m_refusal_status < first_error_status) {
            add(heading, "refusal_status", "refusal_status is neither 0 nor from 400 to 599");
        }
        const std::string& name = service.m_name.m_value;
        if (std::any_of(name.begin(), name.end(), [](char byte) { return byte >= 'A' && byte <= 'Z'; })) {
            add(heading, "", "the name of a service is in lower case, since it is a Host name");
        }
        for (const service_name& callee : service.m_calls) {
            if (m_set.m_services.count(callee) == 0) {
                add(heading, "calls", "calls names the service " + callee.m_value + ", which does not exist");
            }
        }
    }

    /** Adds an error where the split of @p kind names a service that does not exist, or gives no part a
     * weight. */
    void check_split(const std::string& heading, const kind_object& kind)
    {
        std::uint64_t sum = 0;
        for (const split_part& part : kind.m_split) {
            sum += part.m_weight;
            if (m_set.m_services.count(part.m_service) == 0) {
                add(heading, "split",
                    "split names the service " + part.m_service.m_value + ", which does not exist");
            }
        }
        if (!kind.m_split.empty() && sum == 0) {
            add(heading, "split", "split gives no service a weight");
        }
    }

    /** Adds an error for each kind that matches the same method and path as another kind of its host. */
    void check_matches()
    {
        std::map<std::tuple<std::string, std::string, std::string>, kind_name> seen;
        for (const auto& [name, kind] : m_set.m_kinds) {
            const std::string heading = heading_of(object_type::kind, name.m_value);
            if (kind.m_service.empty() || !is_read(heading, {"service", "host", "method", "path_prefix"})) {
                continue;
            }
            const auto [first, added] =
                seen.emplace(std::tuple(host_of(kind), kind.m_method, kind.m_path_prefix), name);
            if (!added) {
                add(heading, "path_prefix",
                    "it matches the same method and path as the kind " + first->second.m_value);
            }
        }
    }

    /** Adds an error for each cycle of calls, and one where a chain is longer than the depth. */
    void check_chains()
    {
        std::vector<service_name> path;
        for (const auto& [name, service] : m_set.m_services) {
            const std::vector<service_name>& longest = longest_chain(name, path);
            if (longest.size() > m_set.m_max_depth) {
                add(heading_of(object_type::service, name.m_value), "calls",
                    "the chain of calls " + write_chain(longest) +
                        " is longer than the depth of limits fleet");
            }
        }
    }

    /** Finds the longest chain from @p name on; @p path leads to it. */
    const std::vector<service_name>& longest_chain(const service_name& name, std::vector<service_name>& path)
    {
        const auto [entry, added] = m_chains.try_emplace(name);
        chain& known = entry->second;
        if (!added) {
            if (known.m_open) {
                add_cycle(name, path);
            }
            return known.m_longest;
        }
        path.push_back(name);
        std::vector<service_name> longest;
        for (const service_name& callee : m_set.m_services.at(name).m_calls) {
            if (m_set.m_services.count(callee) != 0) {
                const std::vector<service_name>& below = longest_chain(callee, path);
                longest = below.size() > longest.size() ? below : longest;
            }
        }
        path.pop_back();
        longest.insert(longest.begin(), name);
        known = chain{false, std::move(longest)};
        return known.m_longest;
    }

    /** Adds the error of the cycle that closes when the last service of @p path calls @p name. */
    void add_cycle(const service_name& name, const std::vector<service_name>& path)
    {
        std::vector<service_name> cycle(std::find(path.begin(), path.end(), name), path.end());
        cycle.push_back(name);
        add(heading_of(object_type::service, path.back().m_value), "calls",
            "the cycle of calls " + write_chain(cycle) + " is not allowed");
    }

    static std::string write_chain(const std::vector<service_name>& chain)
    {
        std::string text;
        for (const service_name& name : chain) {
            text += (text.empty() ? "" : " -> ") + name.m_value;
        }
        return text;
    }

    const config_set& m_set;                ///< What is checked.
    const place_index& m_places;            ///< Where its parts stand.
    std::map<service_name, chain> m_chains; ///< What longest_chain found.
    std::vector<placed_error> m_errors;     ///< What was found.
};

} // namespace

std::vector<placed_error> check_set(const config_set& set, const place_index& places)
{
    return checker(set, places).run();
}

} // namespace waxwing
