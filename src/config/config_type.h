/** @file config_type.h Types of the configuration objects. */
#ifndef WAXWING_CONFIG_CONFIG_TYPE_H
#define WAXWING_CONFIG_CONFIG_TYPE_H

#include "base/base.h"
#include "policy/policy.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** `[service NAME]`: a service that callers send requests to. */
struct service_object {
    service_name m_name;       ///< Name, which is also its host name.
    std::string m_admission;   ///< Name of the admission policy.
    std::string m_routing;     ///< Name of the routing policy.
    std::string m_health_path; ///< Path of the targets' health endpoint; empty if none.
    std::string m_load_path;   ///< Path of the targets' load endpoint; empty if none.
    std::uint16_t m_refusal_status =
        0; ///< HTTP status with which targets refuse to run a request; 0 if none.
    duration m_drain_timeout = std::chrono::seconds(30); ///< Time limit of a drain.
    std::vector<service_name> m_calls;                   ///< Services that it may call; must exist.
    std::uint32_t m_connections =
        0; ///< Connections that one target accepts; 0 uses the number that the target reports.
};

/** One part of a traffic split: a service and its weight. */
struct split_part {
    service_name m_service;     ///< The service.
    std::uint32_t m_weight = 0; ///< Relative to the sum over all parts.

    friend bool operator==(const split_part&, const split_part&) = default;
};

/** `[kind NAME]`: a kind of request, matched by host, method and path. */
struct kind_object {
    kind_name m_name;       ///< Name.
    service_name m_service; ///< The service that it calls.
    std::vector<split_part>
        m_split;          ///< Traffic split over several services; empty if all requests go to m_service.
    std::string m_host;   ///< Host that it matches; empty for the name of the service.
    std::string m_method; ///< Method that it matches; empty for any.
    std::string m_path_prefix;     ///< Path prefix that it matches, by whole segments.
    std::uint8_t m_importance = 0; ///< 0 to 255; requests of greater importance are shed later.
    bool m_idempotent = false;     ///< Whether a request may safely run more than once.
    duration m_deadline =
        std::chrono::seconds(2);  ///< Default deadline, and the upper bound for those of callers.
    duration m_objective{};       ///< Latency objective of answers; zero for the deadline.
    std::uint32_t m_attempts = 3; ///< Limit for the targets that one request is sent to.
    std::string m_retry;          ///< Name of the retry policy.
    bool m_public = false;        ///< Whether its requests need no key of an organisation.
};

/** `[caller NAME]`: an external client. */
struct caller_object {
    caller_name m_name;     ///< Name, as in the header Waxwing-Caller.
    share_settings m_share; ///< Its fair share under overload.
};

/** `[organisation NAME]`: an organisation whose callers send requests with one of its keys. */
struct organisation_object {
    organisation_name m_name;        ///< Name.
    std::string m_label;             ///< Name that its targets get; empty for m_name.
    std::vector<std::string> m_keys; ///< Salted hashes of its keys, in hexadecimal.
    std::uint8_t m_priority = 3;     ///< 0 is the highest; goes before the importance of the request kind.
    double m_rate = 0.0;             ///< Requests a second over all nodes; 0 for no limit.
    double m_burst = 0.0;            ///< Requests that may arrive at once after an idle period.
};

/** Limits on the requests of callers. */
struct caller_limits {
    std::uint32_t m_max_header_bytes = 64 * 1024;          ///< Request line and headers.
    std::uint32_t m_max_body_bytes = 1024 * 1024;          ///< Request body.
    duration m_request_timeout = std::chrono::seconds(10); ///< Time in which a request must arrive.
    duration m_idle_timeout = std::chrono::seconds(30);    ///< Idle connections are closed after this time.

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/** A whole configuration. Names are unique per object type. */
struct config_set {
    std::map<service_name, service_object> m_services;                ///< By name.
    std::map<kind_name, kind_object> m_kinds;                         ///< By name.
    std::map<caller_name, caller_object> m_callers;                   ///< By name.
    std::map<organisation_name, organisation_object> m_organisations; ///< By name.
    std::string m_key_salt; ///< `[limits fleet]` key_salt: salt of the hashes of keys.
    std::map<std::string, admission_settings> m_admissions; ///< `[admission NAME]` by name.
    std::map<std::string, router_settings> m_routings;      ///< `[routing NAME]` by name.
    std::map<std::string, retry_settings> m_retries;        ///< `[retry NAME]` by name.
    share_settings m_unknown_callers; ///< `[caller *]`: callers without an object of their own.
    std::uint8_t m_max_depth = 20;    ///< `[limits fleet]` depth: limit for call chains.
    caller_limits m_caller_limits;    ///< `[limits fleet]`: limits on callers' requests.
};

/** One file of a configuration. */
struct config_file {
    std::string m_name; ///< File name, as shown in error messages.
    std::string m_text; ///< Content in INI format.
};

} // namespace waxwing

#endif
