/** @file events.h Public header of the events library: numbered log events through glog. */
#ifndef WAXWING_EVENTS_EVENTS_H
#define WAXWING_EVENTS_EVENTS_H

#include "events/event_type.h"
#include "events/sampler_base.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace waxwing {

/** How events are written. */
enum class log_format {
    text, ///< `W100 node-started key=value ...`
    json  ///< One JSON object a line.
};

/** Prepares the log. @pre Called once, before any log_event. */
void start_log(const std::string& program, log_format format);

/** One field of an event. */
struct event_field {
    std::string_view m_key; ///< A short name.
    std::string m_value;    ///< Its value; never a secret, never a body.
};

/** Writes @p id with @p fields. Thread safety: any thread. */
void log_event(event id, std::initializer_list<event_field> fields = {});

} // namespace waxwing

#endif
