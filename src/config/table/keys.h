/** @file keys.h The keys of each object type; parsing, serialisation, validation and docs/CONFIGURATION.md
 * use these tables. */
#ifndef WAXWING_CONFIG_TABLE_KEYS_H
#define WAXWING_CONFIG_TABLE_KEYS_H

#include "config/key_type.h"

#include <array>

namespace waxwing {

/** Values of `[limits fleet]`. */
struct fleet_limits {
    std::uint8_t m_depth = config_set{}.m_max_depth; ///< Limit for call chains.
    caller_limits m_caller;                          ///< Limits on callers' requests.
    std::string m_key_salt;                          ///< Salt of the hashes of keys.
};

inline const std::array<key_info<fleet_limits>, 6> fleet_keys{{
    {"depth", value_at<&fleet_limits::m_depth>(), key_presence::optional, "1", "64",
     "Maximum length of a call chain; longer chains are refused as loops"},
    {"header_bytes", value_at<&fleet_limits::m_caller, &caller_limits::m_max_header_bytes>(),
     key_presence::optional, "1", "1000000000",
     "Maximum size of a caller's request line and headers, in bytes"},
    {"body_bytes", value_at<&fleet_limits::m_caller, &caller_limits::m_max_body_bytes>(),
     key_presence::optional, "0", "1000000000", "Maximum size of the body of a caller's request, in bytes"},
    {"request_time", value_at<&fleet_limits::m_caller, &caller_limits::m_request_timeout>(),
     key_presence::optional, "1ms", "300h", "Time within which a caller's request must arrive"},
    {"idle_time", value_at<&fleet_limits::m_caller, &caller_limits::m_idle_timeout>(), key_presence::optional,
     "1ms", "300h", "Callers' connections without traffic are closed after this time"},
    {"key_salt", text_at<&fleet_limits::m_key_salt>(text_form::salt), key_presence::optional, "", "",
     "Salt of the hashes of the keys of organisations"},
}};

inline const std::array<key_info<admission_settings>, 9> admission_keys{{
    {"floor", value_at<&admission_settings::m_limit, &limit_settings::m_floor>(), key_presence::optional, "1",
     "100000", "Minimum of the concurrency limit"},
    {"slots", value_at<&admission_settings::m_limit, &limit_settings::m_slots>(), key_presence::required, "1",
     "100000", "Maximum of the concurrency limit: the slots of one target"},
    {"window", value_at<&admission_settings::m_limit, &limit_settings::m_window>(), key_presence::optional,
     "1ms", "1m", "Time window over which latencies are measured"},
    {"tolerance", value_at<&admission_settings::m_limit, &limit_settings::m_tolerance>(),
     key_presence::optional, "1", "100",
     "The limit is lowered when latency exceeds the unloaded latency by this factor"},
    {"queue_target", value_at<&admission_settings::m_target_queue_delay>(), key_presence::optional, "1ms",
     "10s", "Queueing delay above which a target counts as overloaded"},
    {"queue_most", value_at<&admission_settings::m_queue_timeout>(), key_presence::optional, "1ms", "1m",
     "Maximum queueing time of a request from a caller; sub-calls wait until their deadline"},
    {"queue_room", value_at<&admission_settings::m_queue_capacity>(), key_presence::optional, "1", "100000",
     "Maximum number of queued calls; bounds memory use"},
    {"headroom", value_at<&admission_settings::m_headroom_ratio>(), key_presence::optional, "0", "0.9",
     "Fraction of the limit reserved for kinds of at least headroom_importance"},
    {"headroom_importance", value_at<&admission_settings::m_headroom_importance>(), key_presence::optional,
     "0", "255", "Minimum importance of the kinds that may use the headroom"},
}};

inline const std::array<key_info<router_settings>, 6> routing_keys{{
    {"foreign_penalty", value_at<&router_settings::m_remote_penalty>(), key_presence::optional, "1", "100",
     "Factor by which the load of targets in other data centres is multiplied"},
    {"report_age", value_at<&router_settings::m_max_report_age>(), key_presence::optional, "10ms", "10m",
     "Age from which a load report counts as unknown"},
    {"slow_start", value_at<&router_settings::m_slow_start_duration>(), key_presence::optional, "0ms", "10m",
     "Time over which the weight of a new target rises to its full value"},
    {"eject_failures", value_at<&router_settings::m_ejection_failures>(), key_presence::optional, "1", "1000",
     "Consecutive failures after which a target is ejected"},
    {"eject_time", value_at<&router_settings::m_ejection_duration>(), key_presence::optional, "10ms", "10m",
     "Duration of the first ejection; doubles each time, up to ten times this value"},
    {"eject_share", value_at<&router_settings::m_max_ejection_ratio>(), key_presence::optional, "0", "1",
     "Maximum fraction of a service's targets that may be ejected"},
}};

inline const std::array<key_info<retry_settings>, 5> retry_keys{{
    {"tokens", value_at<&retry_settings::m_tokens>(), key_presence::optional, "0", "1000",
     "Retries of one request over all hops"},
    {"budget_share", value_at<&retry_settings::m_budget_ratio>(), key_presence::optional, "0", "1",
     "Repeated requests that reach a service's targets, as a fraction of the requests for it in 10 s"},
    {"budget_floor", value_at<&retry_settings::m_budget_floor>(), key_presence::optional, "0", "1000",
     "Retries per second that a hop may always make"},
    {"backoff_least", value_at<&retry_settings::m_base_backoff>(), key_presence::optional, "0ms", "1m",
     "Mean delay before the first retry"},
    {"backoff_most", value_at<&retry_settings::m_max_backoff>(), key_presence::optional, "0ms", "1m",
     "Maximum delay before a retry"},
}};

inline const std::array<key_info<service_object>, 8> service_keys{{
    {"admission", text_at<&service_object::m_admission>(text_form::reference, object_type::admission),
     key_presence::required, "", "", "Admission policy of its targets"},
    {"routing", text_at<&service_object::m_routing>(text_form::reference, object_type::routing),
     key_presence::required, "", "", "Routing policy for its targets"},
    {"health_path", text_at<&service_object::m_health_path>(text_form::path), key_presence::optional, "", "",
     "Path of the targets' health endpoint, which is only used as a hint"},
    {"load_path", text_at<&service_object::m_load_path>(text_form::path), key_presence::optional, "", "",
     "Path of the targets' load endpoint, which is only used as a hint"},
    {"refusal_status", value_at<&service_object::m_refusal_status>(), key_presence::optional, "0", "599",
     "HTTP status with which targets signal that they did not run a request; 0 for none, else at least 400"},
    {"drain_limit", value_at<&service_object::m_drain_timeout>(), key_presence::optional, "100ms", "1h",
     "Time limit of a drain"},
    {"calls", names_at<&service_object::m_calls>(), key_presence::optional, "", "",
     "Services that it may call, separated by spaces; cycles are not allowed"},
    {"connections", value_at<&service_object::m_connections>(), key_presence::optional, "0", "1000000000",
     "Connections that one target accepts; 0 uses the number that the target reports"},
}};

inline const std::array<key_info<kind_object>, 12> kind_keys{{
    {"service",
     text_at<&kind_object::m_service, &service_name::m_value>(text_form::reference, object_type::service),
     key_presence::required, "", "", "The service that it calls"},
    {"split", split_at<&kind_object::m_split>(), key_presence::optional, "", "",
     "Traffic split, as SERVICE:WEIGHT separated by spaces; the first one is the service"},
    {"host", text_at<&kind_object::m_host>(text_form::host), key_presence::optional, "", "",
     "Host that it matches; defaults to the name of the service"},
    {"method", text_at<&kind_object::m_method>(text_form::method), key_presence::optional, "", "",
     "Method that it matches; any if absent"},
    {"path_prefix", text_at<&kind_object::m_path_prefix>(text_form::path), key_presence::optional, "", "",
     "Path prefix that it matches, by whole segments; any if absent"},
    {"importance", value_at<&kind_object::m_importance>(), key_presence::required, "0", "255",
     "Requests of greater importance are shed later"},
    {"idempotent", value_at<&kind_object::m_idempotent>(), key_presence::required, "", "",
     "Whether a request may safely run more than once"},
    {"deadline", value_at<&kind_object::m_deadline>(), key_presence::optional, "1ms", "300h",
     "Default deadline, and the upper bound for deadlines of callers"},
    {"objective", value_at<&kind_object::m_objective>(), key_presence::optional, "0ms", "300h",
     "Latency objective of answers; 0 for the deadline"},
    {"attempts", value_at<&kind_object::m_attempts>(), key_presence::optional, "1", "1000000000",
     "Maximum number of targets that one request is sent to"},
    {"retry", text_at<&kind_object::m_retry>(text_form::reference, object_type::retry),
     key_presence::required, "", "", "Retry policy"},
    {"public", value_at<&kind_object::m_public>(), key_presence::optional, "", "",
     "Whether its requests need no key of an organisation"},
}};

inline const std::array<key_info<caller_object>, 3> caller_keys{{
    {"rate", value_at<&caller_object::m_share, &share_settings::m_rate>(), key_presence::optional, "0.01",
     "1000000", "Sustained requests per second at one entry"},
    {"burst", value_at<&caller_object::m_share, &share_settings::m_burst>(), key_presence::optional, "1",
     "1000000", "Requests that may arrive at once after an idle period"},
    {"weight", value_at<&caller_object::m_share, &share_settings::m_weight>(), key_presence::optional, "0.01",
     "1000", "Weight of the fair share under overload, relative to other callers"},
}};

inline const std::array<key_info<organisation_object>, 5> organisation_keys{{
    {"label", text_at<&organisation_object::m_label>(text_form::label), key_presence::optional, "", "",
     "Name that its targets get, if that is not a valid name of an object; `\\xHH` stands for a byte"},
    {"keys", value_at<&organisation_object::m_keys>(), key_presence::optional, "", "",
     "Hashes of its keys, separated by spaces: the first 32 hexadecimal digits of SHA-256 over key_salt, `:` "
     "and the key"},
    {"priority", value_at<&organisation_object::m_priority>(), key_presence::optional, "0", "255",
     "0 is the highest; goes before the importance of the request kind; 3 and more rank alike"},
    {"rate", value_at<&organisation_object::m_rate>(), key_presence::optional, "0", "1000000",
     "Requests per second over all nodes; 0 for no limit"},
    {"burst", value_at<&organisation_object::m_burst>(), key_presence::optional, "0", "1000000",
     "Requests that may arrive at once after an idle period; below 1 counts as 1 where there is a rate"},
}};

} // namespace waxwing

#endif
