/** @file events.h The table of log events, ordered as the values of `event`. */
#ifndef WAXWING_EVENTS_TABLE_EVENTS_H
#define WAXWING_EVENTS_TABLE_EVENTS_H

#include "events/event_type.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace waxwing {

/** The severity of an event. */
enum class severity { info, warning, error };

/** The catalogue entry of an event. */
struct event_info {
    int m_number;               ///< The number, which never changes.
    severity m_severity;        ///< The level at which it is logged.
    std::string_view m_name;    ///< The name, which never changes.
    std::string_view m_fields;  ///< The keys of its fields, separated by spaces.
    std::string_view m_meaning; ///< What happened, and what the operator has to do, if anything.
};

/** One entry for each value of `event`. */
inline constexpr std::array<event_info, static_cast<std::size_t>(event::internal_fault) + 1> events{{
    {100, severity::info, "node-started", "node version",
     "The process has read its settings and is listening."},
    {101, severity::info, "node-ready", "revision",
     "A configuration is in force and the node serves callers."},
    {102, severity::info, "node-stopping", "in_progress",
     "A planned stop began; requests in progress are finished."},
    {103, severity::info, "node-stopped", "", "All work in progress has finished and the process exits."},
    {104, severity::warning, "stop-overrun", "in_progress",
     "The planned stop reached stop_limit with requests in progress. Raise stop_limit if this happens "
     "often."},
    {110, severity::error, "settings-refused", "place",
     "A setting is invalid. At start-up the process exits with status 2; later the last valid settings stay "
     "in force."},
    {111, severity::error, "listen-failed", "address reason", "The node can't listen on an address."},
    {112, severity::error, "chart-refused", "place", "A state chart file is invalid; reinstall the charts."},
    {113, severity::info, "settings-reloaded", "changed needs_restart",
     "The settings file was read again. changed tells whether new values are in force, needs_restart whether "
     "some values take effect only after a restart."},
    {190, severity::warning, "quota-owner-silent", "owner",
     "A node that keeps a part of the quotas of organisations did not answer in time. If it is alive, check "
     "the "
     "link to it; each such node that is missing takes a third of the quotas that it keeps."},
    {200, severity::info, "link-peer-up", "peer", "A link to another node was established."},
    {201, severity::warning, "link-peer-down", "peer", "The last link to another node was lost."},
    {300, severity::info, "target-announced", "service instance life address slots",
     "The target beside this node announced itself, or a new incarnation of it did."},
    {301, severity::info, "target-state-changed", "from to", "The target's state changed."},
    {302, severity::error, "target-crashed", "running", "The target died while requests were in progress."},
    {303, severity::warning, "announcement-refused", "path reason",
     "An announcement of a target is invalid; what is known of the target stays unchanged."},
    {304, severity::warning, "load-probe-failed", "reason",
     "The target's load endpoint did not answer; its health is judged by the health endpoint alone."},
    {305, severity::info, "target-rate-limited", "rate",
     "The target names how many requests a second it takes from all nodes together, or none any more."},
    {306, severity::warning, "rate-limit-ignored", "value",
     "The target names a rate that is not a decimal number; the last limit stays in force."},
    {307, severity::info, "target-leaving", "instance",
     "The target says in an answer that it leaves; it gets no new work from then on."},
    {308, severity::info, "departure-restored", "instance",
     "An earlier process of this node acknowledged that the target leaves; late announcements of it are "
     "ignored."},
    {309, severity::warning, "departure-unsettled", "reason",
     "The departure of a target can't be read from the platform's table or written to it; the node tries "
     "again."},
    {310, severity::info, "drain-started", "in_progress",
     "The target is being drained and accepts no new work."},
    {311, severity::info, "drain-finished", "", "The target has finished its work in progress."},
    {312, severity::warning, "drain-overrun", "in_progress",
     "The drain reached its time limit with work in progress."},
    {313, severity::warning, "departure-refused", "",
     "A departure of the target was not acknowledged, since neither the platform's table nor enough other "
     "nodes keep it; the target repeats it."},
    {314, severity::info, "departure-held", "node",
     "This node holds the departures of another node's target, which can't write them to the platform's "
     "table."},
    {400, severity::info, "member-changed", "node state target", "Another node's state changed."},
    {401, severity::warning, "isolated", "unreachable known",
     "At least half of the known nodes became unreachable at once: this node or its data centre is "
     "isolated."},
    {402, severity::info, "fleet-joined", "members",
     "This node has found the other nodes after its start, or that there is none; it may serve callers."},
    {500, severity::info, "config-in-force", "revision digest",
     "A new revision of the configuration is in force."},
    {501, severity::error, "config-refused", "revision reason",
     "This version can't read an accepted revision; the previous one stays in force. Upgrade the node."},
    {502, severity::info, "watch-changed", "watching substitute",
     "This node starts or stops watching the configuration in the platform's table for its data centre, or "
     "in place of the nodes that do so."},
    {503, severity::warning, "watch-failed", "reason",
     "The watch of the configuration was interrupted; it reads the row again, with a growing delay while "
     "calls "
     "fail."},
    {504, severity::warning, "config-ignored", "row known reason",
     "A row with the configuration is not used: row is its era and version in the platform's table, known "
     "those of the last row that was read."},
    {505, severity::warning, "keys-unconfirmed", "revision age_ms",
     "Requests that need a key are refused with 503 from now on, as the configuration in force is not known "
     "to be the newest one: neither the store nor a node that watches it has confirmed it. age_ms is the "
     "time since the last confirmation, never if there was none."},
    {506, severity::info, "keys-confirmed", "revision lasted_ms",
     "The configuration in force is known to be the newest one again, or needs no confirmation any more; "
     "requests that need a key are accepted."},
    {510, severity::warning, "platform-failing", "reason",
     "The platform's table or object store is failing."},
    {511, severity::info, "platform-recovered", "outage_ms",
     "The platform's table and object store respond again."},
    {512, severity::warning, "store-restored", "era",
     "The platform has restored its store from an older copy: what was written since that copy is lost."},
    {513, severity::warning, "head-restored", "revision",
     "This node has written the published revisions again that the platform had lost; revision is the "
     "newest."},
    {600, severity::warning, "request-suspected", "fingerprint",
     "A request is suspected because it was in progress when a target died."},
    {601, severity::error, "request-quarantined", "fingerprint",
     "A request crashed a second target and is now refused. Fix the fault, then release the request."},
    {602, severity::info, "request-released", "fingerprint",
     "A request is no longer suspected or quarantined."},
    {610, severity::info, "request-answered",
     "request kind service rule outcome status attempts node took_ms depth revision threshold suppressed",
     "An entry answered a request with the target's answer or by the named rule. threshold is the entry's "
     "threshold for the kind, node the node of the last attempt, suppressed the number of failures not "
     "logged."},
    {611, severity::info, "run-ended",
     "request kind rule outcome status waited_ms took_ms priority running queued limit threshold suppressed",
     "The node beside the target ended a call: it ran, or the named rule refused it. running, queued, limit "
     "and threshold are those of the target at that moment."},
    {612, severity::warning, "request-unreadable", "status peer suppressed",
     "The HTTP server refused a request that it could not read: malformed (400), not received in time (408) "
     "or too long (431). suppressed is the number of such refusals not logged."},
    {700, severity::warning, "overload-started", "service threshold",
     "The target's node started to shed requests."},
    {701, severity::info, "overload-ended", "service lasted_ms",
     "The target's node stopped shedding requests."},
    {800, severity::info, "operator-change", "what who", "A change by an operator was applied."},
    {801, severity::warning, "operator-refused", "what reason", "A request of an operator was refused."},
    {900, severity::error, "internal-fault", "where",
     "The node reached an invalid internal state; report it."},
}};

} // namespace waxwing

#endif
