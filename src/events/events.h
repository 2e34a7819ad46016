/** @file events.h Public header of the events library: numbered log events, written through glog. */
#ifndef WAXWING_EVENTS_EVENTS_H
#define WAXWING_EVENTS_EVENTS_H

#include "events/event_type.h"
#include "events/sampler_base.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwing {

/** The output format of events. */
enum class log_format {
    text, ///< `W100 node-started key=value ...`
    json  ///< One JSON object per line.
};

/** Initialises the log. @pre Called once, before any log_event. */
void start_log(const std::string& program, log_format format);

/** A field of an event. */
struct event_field {
    std::string_view m_key; ///< The key, as listed in table/events.h.
    std::string m_value;    ///< The value; must not contain secrets or bodies of requests.
};

/** Logs the event @p id with @p fields. Thread safety: any thread. */
void log_event(event id, std::initializer_list<event_field> fields = {});

} // namespace waxwing

#endif
