/** @file read_func.cpp Reading a configuration from its files. */
#include "config/check_func.h"
#include "config/config_func.h"
#include "config/ini_func.h"
#include "config/section_func.h"
#include "config/value_func.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t error_limit = 200;

/** Reads files into objects and notes every error. */
class set_reader {
public:
    explicit set_reader(const std::vector<config_file>& files) : m_files(files) {}

    /** Reads and checks all files. */
    result<config_set, located_errors> run()
    {
        if (check_sizes()) {
            for (std::size_t index = 0; index < m_files.size(); ++index) {
                read_file(index);
            }
        }
        const config_set set = join_sections(m_sections);
        const std::vector<placed_error> faults = check_set(set, m_places);
        m_errors.insert(m_errors.end(), faults.begin(), faults.end());
        if (m_errors.empty()) {
            return set;
        }
        return BOOST_OUTCOME_V2_NAMESPACE::failure(locate_errors());
    }

private:
    /** Adds an error where the files are too many or too long. */
    bool check_sizes()
    {
        std::size_t bytes = 0;
        for (std::size_t index = 0; index < m_files.size(); ++index) {
            bytes += m_files[index].m_text.size();
            if (bytes > config_text_limit) {
                add(place{index, 0},
                    "the files are longer than " + std::to_string(config_text_limit) + " bytes together");
                return false;
            }
        }
        return true;
    }

    void add(place where, std::string text) { m_errors.push_back(placed_error{where, std::move(text)}); }

    void read_file(std::size_t index)
    {
        const ini_content content = read_ini(m_files[index].m_name, m_files[index].m_text);
        for (const located_error& fault : content.m_errors) {
            add(place{index, fault.m_line}, fault.m_text);
        }
        for (const ini_section& each : content.m_sections) {
            read_section(index, each);
        }
    }

    /** Reads the section @p from; keys of a section that can't be named are checked all the same. */
    void read_section(std::size_t file, const ini_section& from)
    {
        if (from.m_line == 0) {
            add(place{file, from.m_keys.front().m_line}, "the key stands above the first heading");
            return;
        }
        const place where{file, from.m_line};
        const std::size_t blank = std::min(from.m_heading.find_first_of(" \t"), from.m_heading.size());
        const std::string sort_name = from.m_heading.substr(0, blank);
        const std::size_t name_at = from.m_heading.find_first_not_of(" \t", blank);
        const std::string name = name_at == std::string::npos ? "" : from.m_heading.substr(name_at);
        const std::optional<object_type> sort = value_in<object_type>(object_type_names, sort_name);
        if (!sort) {
            add(where, "no sort of object is called \"" + sort_name +
                           "\"; there are service, kind, caller, admission, routing, retry and limits");
            return;
        }
        for_each_section(m_sections, [&](auto& each) {
            if (each.m_sort == *sort) {
                read_object(each, name, where, from);
            }
        });
    }

    /** Reads one object into @p into. */
    template<class Object>
    void read_object(section<Object>& into, const std::string& name, place where, const ini_section& from)
    {
        const bool is_new = check_name(into.m_sort, name, where) && check_count(into, where);
        const std::string heading = heading_of(into.m_sort, name);
        Object scratch;
        Object& object = is_new ? into.m_objects[name] : scratch;
        place_index ignored;
        place_index& places = is_new ? m_places : ignored;
        for (const ini_key& key : from.m_keys) {
            read_key(into, object, heading, place{where.m_file, key.m_line}, key, places);
        }
        for (const key_info<Object>& key : into.m_keys) {
            if (key.m_need == key_need::required &&
                places.m_keys.count({heading, std::string(key.m_name)}) == 0) {
                add(where, heading + ": the key " + std::string(key.m_name) + " is missing");
                places.m_bad_keys.emplace(heading, key.m_name);
            }
        }
    }

    /** Notes the object; tells whether it may exist and does not stand twice. */
    bool check_name(object_type sort, const std::string& name, place where)
    {
        const bool fits = sort == object_type::limits
                              ? name == fleet_name
                              : is_name(name) || (sort == object_type::caller && name == other_callers_name);
        if (!fits) {
            add(where, "\"" + name + "\" is no name of a " + std::string(name_in(object_type_names, sort)) +
                           (sort == object_type::limits ? "; write [limits fleet]"
                                                        : "; up to 63 letters, digits, '.', '-' and '_'"));
            return false;
        }
        const auto [first, added] = m_places.m_headings.emplace(heading_of(sort, name), where);
        if (!added) {
            add(where, heading_of(sort, name) + " stands twice; first at " +
                           m_files[first->second.m_file].m_name + ":" + std::to_string(first->second.m_line));
        }
        return added;
    }

    /** Adds an error where there are too many objects of a sort. */
    template<class Object>
    bool check_count(const section<Object>& into, place where)
    {
        if (into.m_objects.size() < object_limit) {
            return true;
        }
        add(where, "there are more than " + std::to_string(object_limit) + " objects of the sort " +
                       std::string(name_in(object_type_names, into.m_sort)));
        return false;
    }

    template<class Object>
    void read_key(const section<Object>& sort, Object& object, const std::string& heading, place where,
                  const ini_key& from, place_index& places)
    {
        const auto key =
            std::find_if(sort.m_keys.begin(), sort.m_keys.end(),
                         [&](const key_info<Object>& each) { return each.m_name == from.m_name; });
        if (key == sort.m_keys.end()) {
            add(where, heading + ": there is no key \"" + from.m_name + "\"; there are " + list_keys(sort));
            return;
        }
        const std::pair id(heading, from.m_name);
        const auto [first, added] = places.m_keys.emplace(id, where);
        if (!added) {
            add(where, heading + ": the key " + from.m_name + " stands twice; first in line " +
                           std::to_string(first->second.m_line));
            return;
        }
        const result<void> done = parse_key(from.m_value, *key, object);
        if (done.has_error()) {
            add(where, heading + ": " + from.m_name + ": " + done.error().m_text);
            places.m_bad_keys.insert(id);
        }
    }

    template<class Object>
    static std::string list_keys(const section<Object>& sort)
    {
        std::string text;
        for (const key_info<Object>& key : sort.m_keys) {
            text += (text.empty() ? "" : ", ") + std::string(key.m_name);
        }
        return text;
    }

    /** Gives the errors in the order of the files and lines. */
    located_errors locate_errors()
    {
        std::stable_sort(m_errors.begin(), m_errors.end(),
                         [](const placed_error& a, const placed_error& b) { return a.m_place < b.m_place; });
        located_errors located;
        for (const placed_error& each : m_errors) {
            if (located.size() == error_limit) {
                located.push_back({located.back().m_file, 0,
                                   std::to_string(m_errors.size() - error_limit) + " more errors follow"});
                break;
            }
            const std::size_t file = each.m_place.m_file;
            const std::string name = file < m_files.size() ? m_files[file].m_name : std::string();
            located.push_back({name, each.m_place.m_line, each.m_text});
        }
        return located;
    }

    const std::vector<config_file>& m_files;   ///< What is read.
    section_list m_sections = make_sections(); ///< The objects so far.
    place_index m_places;                      ///< Where they stand.
    std::vector<placed_error> m_errors;        ///< What is wrong so far.
};

} // namespace

result<config_set, located_errors> read_config(const std::vector<config_file>& files)
{
    return set_reader(files).run();
}

} // namespace waxwing
