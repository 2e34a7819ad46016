/** @file keys.h The keys of each sort of object: parsing, writing, ranges and the page follow them. */
#ifndef WAXWING_CONFIG_TABLE_KEYS_H
#define WAXWING_CONFIG_TABLE_KEYS_H

#include "config/key_type.h"

#include <array>

namespace waxwing {

/** What `[limits fleet]` holds. */
struct fleet_limits {
    std::uint8_t m_depth = config_set{}.m_max_depth; ///< Longest call chain.
    caller_limits m_caller;                          ///< What callers may send.
};

inline const std::array<key_info<fleet_limits>, 5> fleet_keys{{
    {"depth", value_at<&fleet_limits::m_depth>(), key_need::optional, "1", "64",
     "Longest call chain; a call below it is refused as a loop"},
    {"header_bytes", value_at<&fleet_limits::m_caller, &caller_limits::m_max_header_bytes>(),
     key_need::optional, "256", "1048576", "Longest request line and header of a caller, in bytes"},
    {"body_bytes", value_at<&fleet_limits::m_caller, &caller_limits::m_max_body_bytes>(), key_need::optional,
     "0", "67108864", "Longest body of a caller's request, in bytes"},
    {"request_time", value_at<&fleet_limits::m_caller, &caller_limits::m_request_timeout>(),
     key_need::optional, "10ms", "1h", "Longest time in which a caller sends one request"},
    {"idle_time", value_at<&fleet_limits::m_caller, &caller_limits::m_idle_timeout>(), key_need::optional,
     "10ms", "1h", "Callers' connections without traffic are closed after it"},
}};

inline const std::array<key_info<admission_settings>, 9> admission_keys{{
    {"floor", value_at<&admission_settings::m_limit, &limit_settings::m_floor>(), key_need::optional, "1",
     "100000", "The concurrency limit never falls below"},
    {"slots", value_at<&admission_settings::m_limit, &limit_settings::m_slots>(), key_need::required, "1",
     "100000", "The concurrency limit never rises above: the slots of one target"},
    {"window", value_at<&admission_settings::m_limit, &limit_settings::m_window>(), key_need::optional, "1ms",
     "1m", "Latencies are judged over this time"},
    {"tolerance", value_at<&admission_settings::m_limit, &limit_settings::m_tolerance>(), key_need::optional,
     "1", "100", "The limit falls where latency exceeds the unloaded one by this factor"},
    {"queue_target", value_at<&admission_settings::m_target_queue_delay>(), key_need::optional, "1ms", "10s",
     "Time in queue that counts as overload"},
    {"queue_most", value_at<&admission_settings::m_queue_timeout>(), key_need::optional, "1ms", "1m",
     "Longest time in queue of a whole request"},
    {"queue_room", value_at<&admission_settings::m_queue_capacity>(), key_need::optional, "1", "100000",
     "Calls in queue at most; bounds memory"},
    {"headroom", value_at<&admission_settings::m_headroom_ratio>(), key_need::optional, "0", "0.9",
     "Share of the limit kept for kinds of at least headroom_importance"},
    {"headroom_importance", value_at<&admission_settings::m_headroom_importance>(), key_need::optional, "0",
     "255", "Kinds of this importance may use the headroom"},
}};

inline const std::array<key_info<router_settings>, 6> routing_keys{{
    {"foreign_penalty", value_at<&router_settings::m_remote_penalty>(), key_need::optional, "1", "100",
     "Load of another data centre's targets counts this many times"},
    {"report_age", value_at<&router_settings::m_max_report_age>(), key_need::optional, "10ms", "10m",
     "Older load reports count as unknown"},
    {"slow_start", value_at<&router_settings::m_slow_start_duration>(), key_need::optional, "0ms", "10m",
     "The weight of a new target grows over this time"},
    {"eject_failures", value_at<&router_settings::m_ejection_failures>(), key_need::optional, "1", "1000",
     "Consecutive failures that eject a target"},
    {"eject_time", value_at<&router_settings::m_ejection_duration>(), key_need::optional, "10ms", "10m",
     "First ejection; doubles up to ten times this"},
    {"eject_share", value_at<&router_settings::m_max_ejection_ratio>(), key_need::optional, "0", "1",
     "Share of a service's targets that may be ejected"},
}};

inline const std::array<key_info<retry_settings>, 5> retry_keys{{
    {"tokens", value_at<&retry_settings::m_tokens>(), key_need::optional, "0", "1000",
     "Retries for one whole request, over all hops"},
    {"budget_share", value_at<&retry_settings::m_budget_ratio>(), key_need::optional, "0", "1",
     "Repeats that reach a service's targets, as a share of the requests for it in 10 s"},
    {"budget_floor", value_at<&retry_settings::m_budget_floor>(), key_need::optional, "0", "1000",
     "Retries a second that a hop may always make"},
    {"backoff_least", value_at<&retry_settings::m_base_backoff>(), key_need::optional, "0ms", "1m",
     "Mean wait before the first retry"},
    {"backoff_most", value_at<&retry_settings::m_max_backoff>(), key_need::optional, "0ms", "1m",
     "Longest wait before a retry"},
}};

inline const std::array<key_info<service_object>, 8> service_keys{{
    {"admission", text_at<&service_object::m_admission>(text_form::reference, object_type::admission),
     key_need::required, "", "", "The admission policy at its targets"},
    {"routing", text_at<&service_object::m_routing>(text_form::reference, object_type::routing),
     key_need::required, "", "", "The routing policy towards its targets"},
    {"health_path", text_at<&service_object::m_health_path>(text_form::path), key_need::optional, "", "",
     "Path of the targets' health endpoint; a hint only"},
    {"load_path", text_at<&service_object::m_load_path>(text_form::path), key_need::optional, "", "",
     "Path of the targets' load endpoint; a hint only"},
    {"refusal_status", value_at<&service_object::m_refusal_status>(), key_need::optional, "0", "599",
     "Status by which targets say that they did not run a request; 0 is none, else from 400"},
    {"drain_limit", value_at<&service_object::m_drain_timeout>(), key_need::optional, "100ms", "1h",
     "Longest drain"},
    {"calls", names_at<&service_object::m_calls>(), key_need::optional, "", "",
     "Services that it may call, with blanks between; without cycles"},
    {"connections", value_at<&service_object::m_connections>(), key_need::optional, "0", "100000",
     "Connections that one target accepts; 0 is what the target itself says"},
}};

inline const std::array<key_info<kind_object>, 11> kind_keys{{
    {"service",
     text_at<&kind_object::m_service, &service_name::m_value>(text_form::reference, object_type::service),
     key_need::required, "", "", "The service that it calls"},
    {"split", split_at<&kind_object::m_split>(), key_need::optional, "", "",
     "Services that share its requests, as SERVICE:WEIGHT with blanks between; the first one is the service"},
    {"host", text_at<&kind_object::m_host>(text_form::host), key_need::optional, "", "",
     "Host that it matches; without it the name of the service"},
    {"method", text_at<&kind_object::m_method>(text_form::method), key_need::optional, "", "",
     "Method that it matches; without it any"},
    {"path_prefix", text_at<&kind_object::m_path_prefix>(text_form::path), key_need::optional, "", "",
     "Start of the paths that it matches, by whole segments; without it any"},
    {"importance", value_at<&kind_object::m_importance>(), key_need::required, "0", "255",
     "Greater is shed later"},
    {"idempotent", value_at<&kind_object::m_idempotent>(), key_need::required, "", "",
     "Whether running it twice does no harm"},
    {"deadline", value_at<&kind_object::m_deadline>(), key_need::optional, "1ms", "10m",
     "Deadline where the caller gives none, and the longest one"},
    {"objective", value_at<&kind_object::m_objective>(), key_need::optional, "0ms", "10m",
     "Time within which an answer has its full value; without it the deadline"},
    {"attempts", value_at<&kind_object::m_attempts>(), key_need::optional, "1", "100",
     "Targets to which one request may be sent at most"},
    {"retry", text_at<&kind_object::m_retry>(text_form::reference, object_type::retry), key_need::required,
     "", "", "The retry policy"},
}};

inline const std::array<key_info<caller_object>, 3> caller_keys{{
    {"rate", value_at<&caller_object::m_share, &share_settings::m_rate>(), key_need::optional, "0.01",
     "1000000", "Sustained requests a second at one entry"},
    {"burst", value_at<&caller_object::m_share, &share_settings::m_burst>(), key_need::optional, "1",
     "1000000", "Requests at once after being quiet"},
    {"weight", value_at<&caller_object::m_share, &share_settings::m_weight>(), key_need::optional, "0.01",
     "1000", "Share of what is admitted under overload, against other callers"},
}};

} // namespace waxwing

#endif
