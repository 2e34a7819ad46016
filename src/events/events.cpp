/** @file events.cpp Formats numbered events and writes them through glog. */
#include "events/events.h"

#include "events/table/events.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <cstdint>

namespace waxwing {

namespace {

log_format active_format = log_format::text;

/** Formats @p info and @p fields as `W100 name key=value`. */
std::string format_text(const event_info& info, std::initializer_list<event_field> fields)
{
    std::string line = "W" + std::to_string(info.m_number) + " " + std::string(info.m_name);
    for (const event_field& field : fields) {
        line += " " + std::string(field.m_key) + "=";
        const bool is_plain = field.m_value.find_first_of(" \"\n\r\t=") == std::string::npos;
        line += is_plain ? field.m_value : nlohmann::json(field.m_value).dump();
    }
    return line;
}

/** Formats @p info and @p fields as one JSON object. */
std::string format_json(const event_info& info, std::initializer_list<event_field> fields)
{
    nlohmann::ordered_json line;
    line["event"] = info.m_number;
    line["name"] = info.m_name;
    for (const event_field& field : fields) {
        line[std::string(field.m_key)] = field.m_value;
    }
    return line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

/**
 * Writes lines to standard output while it is writable. Lines that can't be written are dropped and counted;
 * the count is reported after the next line that is written.
 */
class output_sink final : public google::LogSink {
public:
    void send(google::LogSeverity level, const char* /*full_name*/, const char* file, int line,
              const google::LogMessageTime& time, const char* message, std::size_t length) override
    {
        std::string text;
        if (active_format == log_format::text) {
            text = ToString(level, file, line, time, message, length) + "\n";
        }
        else {
            text.assign(message, length);
            text += '\n';
        }
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool is_writable = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!is_writable || write(STDOUT_FILENO, text.data(), text.size()) < 0) {
            ++m_dropped_lines;
            return;
        }
        if (m_dropped_lines > 0) {
            const std::string notice =
                "{\"name\":\"log-dropped\",\"lines\":" + std::to_string(m_dropped_lines) + "}\n";
            m_dropped_lines = write(STDOUT_FILENO, notice.data(), notice.size()) < 0 ? m_dropped_lines : 0;
        }
    }

private:
    std::uint64_t m_dropped_lines = 0; ///< Lines dropped since the last one that was written.
};

} // namespace

void start_log(const std::string& program, log_format format)
{
    static output_sink sink;
    active_format = format;
    for (const google::LogSeverity level :
         {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(level, "");
    }
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::InitGoogleLogging(program.c_str());
    google::AddLogSink(&sink);
}

void log_event(event id, std::initializer_list<event_field> fields)
{
    const event_info& info = events[static_cast<std::size_t>(id)];
    const std::string line =
        active_format == log_format::text ? format_text(info, fields) : format_json(info, fields);
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
