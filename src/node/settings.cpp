/** @file settings.cpp Reading a node's settings by the table. */
#include "node/settings_func.h"

#include "node/table/settings.h"

#include <ini.h>

#include <charconv>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace waxwing {

namespace {

constexpr name_table<2> log_format_names{"text", "json"};
constexpr name_table<2> configuration_source_names{"published", "platform"};
constexpr name_table<2> sub_call_sign_names{"context", "request-id"};
constexpr std::uint32_t caller_descriptor_divisor = 2; ///< Callers may use half of the descriptors.
constexpr std::size_t max_settings_bytes = 256 * 1024; ///< Bytes.

/** Reads all of @p text as a number. */
std::optional<std::uint64_t> read_count(std::string_view text)
{
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end || text.empty()) {
        return std::nullopt;
    }
    return value;
}

/** Reads a duration such as `20ms`, `2s` or `10m`. */
std::optional<duration> read_duration(std::string_view text)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    const std::optional<std::uint64_t> count = read_count(text.substr(0, digits));
    const std::string_view unit = digits == std::string_view::npos ? "" : text.substr(digits);
    constexpr std::uint64_t max_count = 1'000'000'000;
    if (!count.has_value() || *count > max_count) {
        return std::nullopt;
    }
    const auto number = static_cast<std::int64_t>(*count);
    if (unit == "ms") {
        return std::chrono::milliseconds(number);
    }
    if (unit == "s") {
        return std::chrono::seconds(number);
    }
    if (unit == "m") {
        return std::chrono::minutes(number);
    }
    return std::nullopt;
}

/** Parses the text of one setting into its field. */
class setting_reader {
public:
    setting_reader(node_settings& settings, const setting_info& info, const std::string& text)
        : m_settings(settings), m_info(info), m_text(text)
    {
    }

    /** Parses the text into @p field. @return an error message, or an empty string. */
    std::string operator()(std::string node_settings::*field) const
    {
        m_settings.*field = m_text;
        return check_length();
    }

    template<class Tag>
    std::string operator()(name_id<Tag> node_settings::*field) const
    {
        (m_settings.*field).m_value = m_text;
        const bool blank = m_text.find_first_of(" \t/:") != std::string::npos;
        return blank ? "must not contain spaces, tabs, slashes or colons" : check_length();
    }

    std::string operator()(endpoint node_settings::*field) const
    {
        const result<endpoint> address = parse_endpoint(m_text);
        if (address.has_error()) {
            return address.error().m_text;
        }
        m_settings.*field = address.value();
        return {};
    }

    std::string operator()(std::optional<endpoint> node_settings::*field) const
    {
        const result<endpoint> address = parse_endpoint(m_text);
        if (address.has_error()) {
            return address.error().m_text;
        }
        m_settings.*field = address.value();
        return {};
    }

    std::string operator()(std::uint32_t node_settings::*field) const { return read_number(field); }

    std::string operator()(std::size_t node_settings::*field) const { return read_number(field); }

    std::string operator()(duration node_settings::*field) const
    {
        const std::optional<duration> value = read_duration(m_text);
        if (!value.has_value()) {
            return "\"" + m_text + "\" is not a duration such as 500ms, 20s or 5m";
        }
        m_settings.*field = *value;
        return check_range(static_cast<std::uint64_t>(to_milliseconds(*value)));
    }

    std::string operator()(bool node_settings::*field) const
    {
        if (m_text != "yes" && m_text != "no") {
            return "\"" + m_text + "\" is not yes or no";
        }
        m_settings.*field = m_text == "yes";
        return {};
    }

    std::string operator()(control_mode node_settings::*field) const
    {
        return read_name(control_mode_names, field);
    }

    std::string operator()(log_format node_settings::*field) const
    {
        return read_name(log_format_names, field);
    }

    std::string operator()(configuration_source node_settings::*field) const
    {
        return read_name(configuration_source_names, field);
    }

    std::string operator()(sub_call_sign node_settings::*field) const
    {
        return read_name(sub_call_sign_names, field);
    }

private:
    template<class Number>
    std::string read_number(Number node_settings::*field) const
    {
        const std::optional<std::uint64_t> value = read_count(m_text);
        if (!value.has_value()) {
            return "\"" + m_text + "\" is not a whole number";
        }
        m_settings.*field = static_cast<Number>(*value);
        return check_range(*value);
    }

    template<std::size_t Size, class Enum>
    std::string read_name(const name_table<Size>& names, Enum node_settings::*field) const
    {
        const std::optional<Enum> value = value_in<Enum>(names, m_text);
        if (value.has_value()) {
            m_settings.*field = *value;
            return {};
        }
        std::string valid_names;
        for (const std::string_view name : names) {
            valid_names += (valid_names.empty() ? "" : ", ") + std::string(name);
        }
        return "\"" + m_text + "\" is not one of " + valid_names;
    }

    std::string check_range(std::uint64_t value) const
    {
        if (value >= m_info.m_min && value <= m_info.m_max) {
            return {};
        }
        return "must be between " + std::to_string(m_info.m_min) + " and " + std::to_string(m_info.m_max);
    }

    std::string check_length() const
    {
        const bool fits = m_text.size() >= m_info.m_min && m_text.size() <= m_info.m_max;
        return fits ? ""
                    : "must be " + std::to_string(m_info.m_min) + " to " + std::to_string(m_info.m_max) +
                          " bytes long";
    }

    node_settings& m_settings;
    const setting_info& m_info;
    const std::string& m_text;
};

/** State of the parser between lines. */
struct parse_state {
    std::string m_file;
    node_settings m_settings;
    located_errors m_errors;
    std::set<std::pair<std::string, std::string>> m_seen;
};

/** Returns the setting @p key of @p section; null if it does not exist. */
const setting_info* find_setting(std::string_view section, std::string_view key)
{
    for (const setting_info& info : settings_table) {
        if (info.m_section == section && info.m_key == key) {
            return &info;
        }
    }
    return nullptr;
}

/** Parses one setting. */
void read_line(parse_state& state, int line, const std::string& section, const std::string& key,
               const std::string& value)
{
    const std::string name = section + "." + key;
    const setting_info* const info = find_setting(section, key);
    if (info == nullptr) {
        state.m_errors.push_back({state.m_file, line, "unknown setting " + name});
        return;
    }
    if (!state.m_seen.emplace(section, key).second) {
        state.m_errors.push_back({state.m_file, line, name + " is set twice"});
        return;
    }
    const std::string fault = std::visit(setting_reader(state.m_settings, *info, value), info->m_field);
    if (!fault.empty()) {
        state.m_errors.push_back({state.m_file, line, name + ": " + fault});
    }
}

/** Text not yet read, and the number of the last line read. */
struct line_source {
    std::string_view m_text;
    int m_line = 0;
};

/** Reader callback for inih: copies the next line into @p buffer. */
char* next_line(char* buffer, int size, void* stream)
{
    auto& source = *static_cast<line_source*>(stream);
    if (source.m_text.empty()) {
        return nullptr;
    }
    ++source.m_line;
    const std::size_t end = source.m_text.find('\n');
    const std::string_view line = source.m_text.substr(0, end);
    source.m_text.remove_prefix(end == std::string_view::npos ? source.m_text.size() : end + 1);
    const std::size_t length = line.copy(buffer, static_cast<std::size_t>(size) - 1);
    buffer[length] = '\0';
    return buffer;
}

} // namespace

settings_change apply_settings(const node_settings& new_settings, node_settings& current_settings)
{
    node_settings merged_settings = current_settings;
    merged_settings.m_stop_timeout = new_settings.m_stop_timeout;
    merged_settings.m_operator_token = new_settings.m_operator_token;
    merged_settings.m_body_limit = new_settings.m_body_limit;
    merged_settings.m_descriptors = new_settings.m_descriptors;
    merged_settings.m_caller_connections = new_settings.m_caller_connections;
    const settings_change change{merged_settings != current_settings, merged_settings != new_settings};
    current_settings = std::move(merged_settings);
    return change;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

result<node_settings, located_errors> read_settings(const std::string& file, const std::string& text)
{
    parse_state state;
    state.m_file = file;
    if (text.size() > max_settings_bytes) {
        return located_errors{{file, 0, "the file is too large"}};
    }
    line_source source{text};
    std::pair<parse_state*, line_source*> context{&state, &source};
    const auto on_line = [](void* user, const char* section, const char* key, const char* value) {
        const auto& [target, lines] = *static_cast<std::pair<parse_state*, line_source*>*>(user);
        read_line(*target, lines->m_line, section, key, value);
        return 1;
    };
    const int first_bad_line = ini_parse_stream(&next_line, &source, on_line, &context);
    if (first_bad_line > 0) {
        state.m_errors.push_back({file, first_bad_line, "expected a [section] or key = value"});
    }
    for (const setting_info& info : settings_table) {
        if (info.m_required &&
            !state.m_seen.contains({std::string(info.m_section), std::string(info.m_key)})) {
            const std::string name = std::string(info.m_section) + "." + std::string(info.m_key);
            state.m_errors.push_back({file, 0, name + " is missing"});
        }
    }
    if (state.m_settings.m_target.has_value() && state.m_settings.m_service.empty()) {
        state.m_errors.push_back({file, 0, "target.address needs target.service"});
    }
    node_settings& settings = state.m_settings;
    if (settings.m_descriptors != 0) {
        settings.m_caller_connections =
            std::min(settings.m_caller_connections, settings.m_descriptors / caller_descriptor_divisor);
    }
    if (!state.m_errors.empty()) {
        return std::move(state.m_errors);
    }
    return std::move(state.m_settings);
}

} // namespace waxwing
