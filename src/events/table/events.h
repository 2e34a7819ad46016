/** @file events.h The table of log events, in the order of the enumeration `event`. */
#ifndef WAXWING_EVENTS_TABLE_EVENTS_H
#define WAXWING_EVENTS_TABLE_EVENTS_H

#include "events/event_type.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace waxwing {

/** How much an event matters to people. */
enum class severity { info, warning, error };

/** What the catalogue says of an event. */
struct event_info {
    int m_number;               ///< Stable number.
    severity m_severity;        ///< How much it matters.
    std::string_view m_name;    ///< Stable name.
    std::string_view m_fields;  ///< The keys of its fields.
    std::string_view m_meaning; ///< What happened, and what to do where anything is to be done.
};

/** One entry for each value of `event`. */
inline constexpr std::array<event_info, static_cast<std::size_t>(event::internal_fault) + 1> events{{
    {100, severity::info, "node-started", "node version", "The process has read its settings and listens."},
    {101, severity::info, "node-ready", "revision", "A configuration is in force; callers are served."},
    {102, severity::info, "node-stopping", "in_progress",
     "A planned stop began; requests in progress finish."},
    {103, severity::info, "node-stopped", "", "Everything in progress has finished and the process ends."},
    {104, severity::warning, "stop-overrun", "in_progress",
     "The planned stop reached its bound with requests in progress. Raise stop_limit if this is ordinary."},
    {110, severity::error, "settings-refused", "place",
     "A setting is wrong. At the start the process ends with status 2; later the last good settings stay."},
    {111, severity::error, "listen-failed", "address reason", "An address can't be listened on."},
    {112, severity::error, "chart-refused", "place", "A state chart file is wrong; reinstall the charts."},
    {113, severity::info, "settings-reloaded", "changed needs_restart",
     "The settings file changed: which sections' values are in force now, and which wait for a restart."},
    {200, severity::info, "link-peer-up", "peer", "A link to another node is up."},
    {201, severity::warning, "link-peer-down", "peer", "The last link to another node is gone."},
    {300, severity::info, "target-announced", "service instance life address slots",
     "The target beside this node announced itself, or a new life of it."},
    {301, severity::info, "target-state-changed", "from to", "The target's state changed."},
    {302, severity::error, "target-crashed", "running", "The target died with requests in progress."},
    {303, severity::warning, "announcement-refused", "path reason",
     "Somebody announced a target in words that can't be used; what was known of the target stays."},
    {310, severity::info, "drain-started", "in_progress", "The target takes no new work."},
    {311, severity::info, "drain-finished", "", "The target has finished its work."},
    {312, severity::warning, "drain-overrun", "in_progress",
     "The drain reached its bound with work in progress."},
    {400, severity::info, "member-changed", "node state target", "Another node's state changed."},
    {401, severity::warning, "isolated", "unreachable known",
     "Half of the known nodes or more became unreachable at once: this node or its data centre is cut off."},
    {500, severity::info, "config-in-force", "revision digest",
     "A new revision of the configuration is in force."},
    {501, severity::error, "config-refused", "revision reason",
     "An accepted revision can't be read by this version; the last one stays in force. Upgrade the node."},
    {510, severity::warning, "platform-failing", "reason", "The platform's table or object store fails."},
    {511, severity::info, "platform-recovered", "outage_ms",
     "The platform's table and object store answer again."},
    {600, severity::warning, "request-suspected", "fingerprint",
     "A request was in progress when a target died."},
    {601, severity::error, "request-quarantined", "fingerprint",
     "A request crashed a second target and is refused from now on. Find the fault, then release it."},
    {602, severity::info, "request-released", "fingerprint", "A request is no longer suspected."},
    {610, severity::info, "request-answered",
     "request kind service rule outcome status attempts node took_ms depth revision threshold suppressed",
     "An entry answered a request: by the target's answer, or by the rule named. threshold is what the entry "
     "held against the kind; node is where the last attempt went; suppressed counts failures not logged."},
    {611, severity::info, "run-ended",
     "request kind rule outcome status waited_ms took_ms priority running queued limit threshold suppressed",
     "The node beside the target ended a call: it ran, or the rule named refused it. running, queued, limit "
     "and "
     "threshold are the target's at that moment."},
    {700, severity::warning, "overload-started", "service threshold", "The target's node began to shed."},
    {701, severity::info, "overload-ended", "service lasted_ms", "The target's node sheds no more."},
    {800, severity::info, "operator-change", "what who", "An operator's change was carried out."},
    {801, severity::warning, "operator-refused", "what reason", "An operator's request was refused."},
    {900, severity::error, "internal-fault", "where",
     "The node met a state that should not occur; report it."},
}};

} // namespace waxwing

#endif
