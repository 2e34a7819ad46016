/** @file check_func.cpp Validates a whole configuration: references, call cycles and contradicting limits. */
#include "config/check_func.h"

#include "config/config_func.h"
#include "config/section_func.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Runs the checks on one configuration and collects the errors. */
class checker {
public:
    checker(const config_set& set, const position_index& positions) : m_set(set), m_positions(positions) {}

    /** Runs all checks. @return the errors, unsorted. */
    std::vector<positioned_error> run()
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
        check_holders();
        check_chains();
        return std::move(m_errors);
    }

private:
    /** The longest call chain that starts at a service. */
    struct chain {
        bool m_in_progress = true;           ///< Whether the depth-first search has not left the service yet.
        std::vector<service_name> m_longest; ///< The chain, starting with the service itself.
    };

    /** Adds an error at @p key of the object @p heading, or at the heading if the key is absent. */
    void add_error(const std::string& heading, const std::string& key, const std::string& text)
    {
        const auto found_key = m_positions.m_keys.find({heading, key});
        const auto found_heading = m_positions.m_headings.find(heading);
        source_position position;
        if (found_key != m_positions.m_keys.end()) {
            position = found_key->second;
        }
        else if (found_heading != m_positions.m_headings.end()) {
            position = found_heading->second;
        }
        m_errors.push_back(positioned_error{position, heading + ": " + text});
    }

    /** Returns whether the values of all @p keys of @p heading could be parsed. */
    bool are_readable(const std::string& heading, std::initializer_list<const char*> keys) const
    {
        return std::none_of(keys.begin(), keys.end(), [&](const char* key) {
            return m_positions.m_bad_keys.count({heading, key}) != 0;
        });
    }

    /** Adds an error if @p low, the value of @p low_key, is greater than @p high, that of @p high_key. */
    template<class Value>
    void check_order(const std::string& heading, const char* low_key, Value low, const char* high_key,
                     Value high)
    {
        if (high < low && are_readable(heading, {low_key, high_key})) {
            add_error(heading, low_key, std::string(low_key) + " is greater than " + high_key);
        }
    }

    /** Adds an error for each reference from the objects of @p each to an object that does not exist. */
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
                check_target(heading_of(each.m_type, name), key.m_name, field->m_target, target, sections);
            }
        }
    }

    /** Returns the name that the reference @p field of @p object holds. */
    template<class Object>
    static std::string write_reference(const text_field<Object>& field, const Object& object)
    {
        Object copy = object;
        return field.m_get(copy);
    }

    /**
     * Adds an error if no object @p target of type @p type exists. An empty name is skipped, since its key
     * has been reported as missing or invalid.
     */
    void check_target(const std::string& heading, std::string_view key, object_type type,
                      const std::string& target, const section_list& sections)
    {
        bool found = target.empty();
        for_each_section(sections, [&](const auto& each) {
            found = found || (each.m_type == type && each.m_objects.count(target) != 0);
        });
        if (!found) {
            add_error(heading, std::string(key),
                      std::string(key) + " names the " + heading_of(type, target) + ", which does not exist");
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
            add_error(heading, "refusal_status", "refusal_status must be 0 or from 400 to 599");
        }
        const std::string& name = service.m_name.m_value;
        if (std::any_of(name.begin(), name.end(), [](char byte) { return byte >= 'A' && byte <= 'Z'; })) {
            add_error(heading, "",
                      "the name of a service must be in lower case, since it is used as a host name");
        }
        for (const service_name& callee : service.m_calls) {
            if (m_set.m_services.count(callee) == 0) {
                add_error(heading, "calls",
                          "calls names the service " + callee.m_value + ", which does not exist");
            }
        }
    }

    /** Adds an error if the split of @p kind names a missing service, or if all its weights are zero. */
    void check_split(const std::string& heading, const kind_object& kind)
    {
        std::uint64_t sum = 0;
        for (const split_part& part : kind.m_split) {
            sum += part.m_weight;
            if (m_set.m_services.count(part.m_service) == 0) {
                add_error(heading, "split",
                          "split names the service " + part.m_service.m_value + ", which does not exist");
            }
        }
        if (!kind.m_split.empty() && sum == 0) {
            add_error(heading, "split", "split needs at least one service with a weight above 0");
        }
    }

    /**
     * Adds an error for each kind that matches the same method and path as another kind of its host. Skips
     * kinds whose keys could not be parsed.
     */
    void check_matches()
    {
        std::map<std::tuple<std::string, std::string, std::string>, kind_name> seen;
        for (const auto& [name, kind] : m_set.m_kinds) {
            const std::string heading = heading_of(object_type::kind, name.m_value);
            if (kind.m_service.empty() ||
                !are_readable(heading, {"service", "host", "method", "path_prefix"})) {
                continue;
            }
            const auto [first, added] =
                seen.emplace(std::tuple(host_of(kind), kind.m_method, kind.m_path_prefix), name);
            if (!added) {
                add_error(heading, "path_prefix",
                          "matches the same host, method and path as the kind " + first->second.m_value);
            }
        }
    }

    /** Adds an error for each organisation with a key that another one holds, too. The error does not quote
     * the hash. */
    void check_holders()
    {
        std::map<std::string_view, organisation_name> holders;
        for (const auto& [name, organisation] : m_set.m_organisations) {
            const std::string heading = heading_of(object_type::organisation, name.m_value);
            for (const std::string& hash : organisation.m_keys) {
                const auto [first, added] = holders.emplace(hash, name);
                if (!added && first->second != name) {
                    add_error(heading, "keys",
                              "keys has a hash that the organisation " + first->second.m_value +
                                  " holds, too");
                }
            }
        }
    }

    /** Adds an error for each call cycle, and for each service whose longest call chain exceeds the depth. */
    void check_chains()
    {
        std::vector<service_name> path;
        for (const auto& [name, service] : m_set.m_services) {
            const std::vector<service_name>& longest = longest_chain(name, path);
            if (longest.size() > m_set.m_max_depth) {
                add_error(heading_of(object_type::service, name.m_value), "calls",
                          "the call chain " + write_chain(longest) +
                              " is longer than the depth set in limits fleet");
            }
        }
    }

    /**
     * Returns the longest call chain from @p name on; each result is cached.
     * @param path the services on the search path that leads to @p name.
     */
    const std::vector<service_name>& longest_chain(const service_name& name, std::vector<service_name>& path)
    {
        const auto [found, added] = m_chains.try_emplace(name);
        chain& current = found->second;
        if (!added) {
            if (current.m_in_progress) {
                add_cycle(name, path);
            }
            return current.m_longest;
        }
        path.push_back(name);
        std::vector<service_name> longest;
        for (const service_name& callee : m_set.m_services.at(name).m_calls) {
            if (m_set.m_services.count(callee) != 0) {
                const std::vector<service_name>& callee_chain = longest_chain(callee, path);
                longest = callee_chain.size() > longest.size() ? callee_chain : longest;
            }
        }
        path.pop_back();
        longest.insert(longest.begin(), name);
        current = chain{false, std::move(longest)};
        return current.m_longest;
    }

    /** Adds the error for the cycle that the call from the last service of @p path to @p name closes. */
    void add_cycle(const service_name& name, const std::vector<service_name>& path)
    {
        std::vector<service_name> cycle(std::find(path.begin(), path.end(), name), path.end());
        cycle.push_back(name);
        add_error(heading_of(object_type::service, path.back().m_value), "calls",
                  "the call cycle " + write_chain(cycle) + " is not allowed");
    }

    static std::string write_chain(const std::vector<service_name>& chain)
    {
        std::string text;
        for (const service_name& name : chain) {
            text += (text.empty() ? "" : " -> ") + name.m_value;
        }
        return text;
    }

    const config_set& m_set;                ///< The configuration to check.
    const position_index& m_positions;      ///< Source positions of its objects and keys.
    std::map<service_name, chain> m_chains; ///< Results of longest_chain.
    std::vector<positioned_error> m_errors; ///< Errors found so far.
};

} // namespace

std::vector<positioned_error> check_set(const config_set& set, const position_index& positions)
{
    return checker(set, positions).run();
}

} // namespace waxwing
