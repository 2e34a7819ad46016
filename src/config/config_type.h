/** @file config_type.h The objects of the configuration. */
#ifndef WAXWING_CONFIG_CONFIG_TYPE_H
#define WAXWING_CONFIG_CONFIG_TYPE_H

#include "base/base.h"
#include "policy/policy.h"

#include <map>
#include <string>
#include <vector>

namespace waxwing {

/** `[service NAME]`: something that callers call. */
struct service_object {
    service_name m_name;                ///< The name.
    std::string m_admission;            ///< Name of the admission policy.
    std::string m_routing;              ///< Name of the routing policy.
    std::string m_health_path;          ///< Path of the targets' health endpoint; empty is none.
    std::string m_load_path;            ///< Path of the targets' load endpoint; empty is none.
    std::uint16_t m_refusal_status = 0; ///< Status by which targets say "not run"; 0 is none.
    duration m_drain_timeout = std::chrono::seconds(30); ///< Longest drain.
    std::vector<service_name> m_calls; ///< Services that it may call; checked for existence.
    std::uint32_t m_connections =
        0; ///< Connections that one target accepts; 0 is what the target itself says.
};

/** One part of a split: a service and its share of the requests. */
struct split_part {
    service_name m_service;     ///< The service.
    std::uint32_t m_weight = 0; ///< Against the sum over all parts.

    friend bool operator==(const split_part&, const split_part&) = default;
};

/** `[kind NAME]`: a kind of request. */
struct kind_object {
    kind_name m_name;       ///< The name.
    service_name m_service; ///< The service that it calls.
    std::vector<split_part>
        m_split;                   ///< Services that share its requests; empty where it is m_service's alone.
    std::string m_host;            ///< Host that it matches; empty is the name of the service.
    std::string m_method;          ///< Method that it matches; empty is any.
    std::string m_path_prefix;     ///< Start of the paths that it matches.
    std::uint8_t m_importance = 0; ///< 0 to 255; greater is shed later.
    bool m_idempotent = false;     ///< Whether running it twice does no harm.
    duration m_deadline =
        std::chrono::seconds(2);  ///< Deadline where the caller gives none, and the longest one.
    duration m_objective{};       ///< Time within which an answer has its full value; zero is the deadline.
    std::uint32_t m_attempts = 3; ///< Targets to which one request may be sent at most.
    std::string m_retry;          ///< Name of the retry policy.
};

/** `[caller NAME]`: somebody outside who calls. */
struct caller_object {
    caller_name m_name;     ///< The name, as in the header Waxwing-Caller.
    share_settings m_share; ///< Its share.
};

/** Bounds on what a caller may send. */
struct caller_limits {
    std::uint32_t m_max_header_bytes = 64 * 1024;          ///< Longest request line and header.
    std::uint32_t m_max_body_bytes = 1024 * 1024;          ///< Longest body.
    duration m_request_timeout = std::chrono::seconds(10); ///< Longest time to send a request.
    duration m_idle_timeout = std::chrono::seconds(30); ///< Connections without traffic are closed after it.

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/** A whole set of objects. Names are unique for each sort. */
struct config_set {
    std::map<service_name, service_object> m_services;      ///< By name.
    std::map<kind_name, kind_object> m_kinds;               ///< By name.
    std::map<caller_name, caller_object> m_callers;         ///< By name.
    std::map<std::string, admission_settings> m_admissions; ///< `[admission NAME]` by name.
    std::map<std::string, router_settings> m_routings;      ///< `[routing NAME]` by name.
    std::map<std::string, retry_settings> m_retries;        ///< `[retry NAME]` by name.
    share_settings m_unknown_callers;                       ///< `[caller *]`: who has no object.
    std::uint8_t m_max_depth = 20;                          ///< `[limits fleet]` depth: longest call chain.
    caller_limits m_caller_limits;                          ///< `[limits fleet]`: what callers may send.
};

/** A file of a configuration: its name and its text. */
struct config_file {
    std::string m_name; ///< For messages.
    std::string m_text; ///< INI.
};

} // namespace waxwing

#endif
