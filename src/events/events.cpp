/** @file events.cpp Writes numbered events through glog. */
#include "events/events.h"

#include "events/table/events.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

log_format chosen_format = log_format::text;

/** Writes @p info and @p fields as `W100 name key=value`. */
std::string as_text(const event_info& info, std::initializer_list<event_field> fields)
{
    std::string line = "W" + std::to_string(info.m_number) + " " + std::string(info.m_name);
    for (const event_field& field : fields) {
        line += " " + std::string(field.m_key) + "=";
        const bool plain = field.m_value.find_first_of(" \"\n\r\t=") == std::string::npos;
        line += plain ? field.m_value : nlohmann::json(field.m_value).dump();
    }
    return line;
}

/** Writes @p info and @p fields as one JSON object. */
std::string as_json(const event_info& info, std::initializer_list<event_field> fields)
{
    nlohmann::ordered_json line;
    line["event"] = info.m_number;
    line["name"] = info.m_name;
    for (const event_field& field : fields) {
        line[std::string(field.m_key)] = field.m_value;
    }
    return line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

void start_log(const std::string& program, log_format format)
{
    chosen_format = format;
    FLAGS_logtostdout = true;
    FLAGS_log_prefix = format == log_format::text;
    google::InitGoogleLogging(program.c_str());
}

void log_event(event id, std::initializer_list<event_field> fields)
{
    const event_info& info = events[static_cast<std::size_t>(id)];
    const std::string line =
        chosen_format == log_format::text ? as_text(info, fields) : as_json(info, fields);
    switch (info.m_severity) {
    case severity::info:
        LOG(INFO) << line;
        return;
    case severity::warning:
        LOG(WARNING) << line;
        return;
    case severity::error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace waxwing
