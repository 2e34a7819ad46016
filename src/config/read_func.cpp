/** @file read_func.cpp Parsing a configuration from its files. */
#include "config/check_func.h"
#include "config/config_func.h"
#include "config/ini_func.h"
#include "config/section_func.h"
#include "config/value_func.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t error_limit = 200;

/** Parses files into objects and collects all errors. */
class set_reader {
public:
    explicit set_reader(const std::vector<config_file>& files) : m_files(files) {}

    /** Parses and validates all files. */
    result<config_set, located_errors> run()
    {
        if (check_sizes()) {
            for (std::size_t index = 0; index < m_files.size(); ++index) {
                read_file(index);
            }
        }
        const config_set set = join_sections(m_sections);
        const std::vector<positioned_error> check_errors = check_set(set, m_positions);
        m_errors.insert(m_errors.end(), check_errors.begin(), check_errors.end());
        if (m_errors.empty()) {
            return set;
        }
        return BOOST_OUTCOME_V2_NAMESPACE::failure(sort_errors());
    }

private:
    /** Adds an error if the total size of the files exceeds the limit. @return whether it does not. */
    bool check_sizes()
    {
        std::size_t bytes = 0;
        for (std::size_t index = 0; index < m_files.size(); ++index) {
            bytes += m_files[index].m_text.size();
            if (bytes > config_text_limit) {
                add_error(source_position{index, 0}, "the files have more than " +
                                                         std::to_string(config_text_limit) +
                                                         " bytes in total");
                return false;
            }
        }
        return true;
    }

    void add_error(source_position position, std::string text)
    {
        m_errors.push_back(positioned_error{position, std::move(text)});
    }

    void read_file(std::size_t index)
    {
        const ini_content content = read_ini(m_files[index].m_name, m_files[index].m_text);
        for (const located_error& parse_error : content.m_errors) {
            add_error(source_position{index, parse_error.m_line}, parse_error.m_text);
        }
        for (const ini_section& each : content.m_sections) {
            read_section(index, each);
        }
    }

    /** Parses the section @p source. Its keys are also checked if its name is invalid or a duplicate. */
    void read_section(std::size_t file, const ini_section& source)
    {
        if (source.m_line == 0) {
            add_error(source_position{file, source.m_keys.front().m_line},
                      "the key is above the first heading");
            return;
        }
        const source_position position{file, source.m_line};
        const std::size_t type_end = std::min(source.m_heading.find_first_of(" \t"), source.m_heading.size());
        const std::string type_name = source.m_heading.substr(0, type_end);
        const std::size_t name_begin = source.m_heading.find_first_not_of(" \t", type_end);
        const std::string name = name_begin == std::string::npos ? "" : source.m_heading.substr(name_begin);
        const std::optional<object_type> type = value_in<object_type>(object_type_names, type_name);
        if (!type) {
            add_error(
                position,
                "unknown object type \"" + type_name +
                    "\"; the types are service, kind, caller, organisation, admission, routing, retry and "
                    "limits");
            return;
        }
        for_each_section(m_sections, [&](auto& each) {
            if (each.m_type == *type) {
                read_object(each, name, position, source);
            }
        });
    }

    /** Parses one object into @p destination. */
    template<class Object>
    void read_object(section<Object>& destination, const std::string& name, source_position position,
                     const ini_section& source)
    {
        const bool is_new =
            check_name(destination.m_type, name, position) && check_count(destination, position);
        const std::string heading = heading_of(destination.m_type, name);
        Object scratch;
        Object& object = is_new ? destination.m_objects[name] : scratch;
        position_index ignored;
        position_index& positions = is_new ? m_positions : ignored;
        for (const ini_key& key : source.m_keys) {
            read_key(destination, object, heading, source_position{position.m_file, key.m_line}, key,
                     positions);
        }
        for (const key_info<Object>& key : destination.m_keys) {
            if (key.m_presence == key_presence::required &&
                positions.m_keys.count({heading, std::string(key.m_name)}) == 0) {
                add_error(position, heading + ": the key " + std::string(key.m_name) + " is missing");
                positions.m_bad_keys.emplace(heading, key.m_name);
            }
        }
    }

    /** Records the position of the object. @return whether its name is valid and not a duplicate. */
    bool check_name(object_type type, const std::string& name, source_position position)
    {
        const bool is_valid = type == object_type::limits ? name == fleet_name
                                                          : is_name(name) || (type == object_type::caller &&
                                                                              name == other_callers_name);
        if (!is_valid) {
            add_error(position,
                      "\"" + name + "\" is not a valid name for an object of type " +
                          std::string(name_in(object_type_names, type)) +
                          (type == object_type::limits ? "; write [limits fleet]"
                                                       : "; use up to 63 letters, digits, '.', '-' and '_'"));
            return false;
        }
        const auto [first, added] = m_positions.m_headings.emplace(heading_of(type, name), position);
        if (!added) {
            add_error(position, heading_of(type, name) + " is defined twice; first at " +
                                    m_files[first->second.m_file].m_name + ":" +
                                    std::to_string(first->second.m_line));
        }
        return added;
    }

    /** Adds an error if there are too many objects of a type. @return whether there are not. */
    template<class Object>
    bool check_count(const section<Object>& destination, source_position position)
    {
        if (destination.m_objects.size() < object_limit) {
            return true;
        }
        add_error(position, "there are more than " + std::to_string(object_limit) + " objects of the type " +
                                std::string(name_in(object_type_names, destination.m_type)));
        return false;
    }

    template<class Object>
    void read_key(const section<Object>& objects, Object& object, const std::string& heading,
                  source_position position, const ini_key& source, position_index& positions)
    {
        const auto key =
            std::find_if(objects.m_keys.begin(), objects.m_keys.end(),
                         [&](const key_info<Object>& each) { return each.m_name == source.m_name; });
        if (key == objects.m_keys.end()) {
            add_error(position, heading + ": unknown key \"" + source.m_name + "\"; the keys are " +
                                    join_key_names(objects));
            return;
        }
        const std::pair id(heading, source.m_name);
        const auto [first, added] = positions.m_keys.emplace(id, position);
        if (!added) {
            add_error(position, heading + ": the key " + source.m_name + " is set twice; first in line " +
                                    std::to_string(first->second.m_line));
            return;
        }
        const result<void> status = parse_key(source.m_value, *key, object);
        if (status.has_error()) {
            add_error(position, heading + ": " + source.m_name + ": " + status.error().m_text);
            positions.m_bad_keys.insert(id);
        }
    }

    template<class Object>
    static std::string join_key_names(const section<Object>& objects)
    {
        std::string text;
        for (const key_info<Object>& key : objects.m_keys) {
            text += (text.empty() ? "" : ", ") + std::string(key.m_name);
        }
        return text;
    }

    /** Returns the errors, ordered by file and line; beyond error_limit only their number. */
    located_errors sort_errors()
    {
        std::stable_sort(
            m_errors.begin(), m_errors.end(),
            [](const positioned_error& a, const positioned_error& b) { return a.m_position < b.m_position; });
        located_errors located;
        for (const positioned_error& each : m_errors) {
            if (located.size() == error_limit) {
                located.push_back(
                    {located.back().m_file, 0,
                     std::to_string(m_errors.size() - error_limit) + " more errors are not shown"});
                break;
            }
            const std::size_t file = each.m_position.m_file;
            const std::string name = file < m_files.size() ? m_files[file].m_name : std::string();
            located.push_back({name, each.m_position.m_line, each.m_text});
        }
        return located;
    }

    const std::vector<config_file>& m_files;   ///< The files to parse.
    section_list m_sections = make_sections(); ///< Objects parsed so far.
    position_index m_positions;                ///< Their source positions.
    std::vector<positioned_error> m_errors;    ///< Errors found so far.
};

} // namespace

result<config_set, located_errors> read_config(const std::vector<config_file>& files)
{
    return set_reader(files).run();
}

} // namespace waxwing
