/** @file plan_type.h The plan of the load generator. */
#ifndef WAXWING_BENCH_LOAD_PLAN_TYPE_H
#define WAXWING_BENCH_LOAD_PLAN_TYPE_H

#include "base/base.h"

#include <string>
#include <vector>

namespace waxwing {

/** A kind of request to send. */
struct plan_kind {
    std::string m_name;          ///< Name in the report.
    service_name m_service;      ///< Service, sent as the Host header.
    std::string m_method;        ///< HTTP method.
    std::string m_path;          ///< Path; the first `#` is replaced by the number of the request.
    std::string m_caller;        ///< Value of the Waxwing-Caller header.
    double m_rate = 0.0;         ///< Requests a second at factor 1.
    bool m_keyed = false;        ///< Whether each request has an idempotency key.
    unsigned m_max_retries = 0;  ///< Maximum number of retries of one request.
    duration m_timeout{};        ///< Time after which the caller gives up; also sent as the deadline.
    std::size_t m_body_size = 0; ///< Size of the body, in bytes.
};

/** A period of constant load. */
struct plan_phase {
    std::string m_name;    ///< Name in the report.
    duration m_duration{}; ///< Length of the phase.
    double m_factor = 1.0; ///< Multiplies the rates of all kinds.
};

/** What to send, for how long, and where. */
struct load_plan {
    std::vector<plan_kind> m_kinds;   ///< Kinds of request, sent side by side.
    std::vector<plan_phase> m_phases; ///< Phases, run in order.
    std::vector<endpoint> m_entries;  ///< Entry nodes; each attempt picks one at random.
    std::vector<endpoint> m_targets;  ///< Stand-in targets, queried for their executions at the end.
    duration m_report_interval = std::chrono::milliseconds(200); ///< Time between lines of the report.
};

/**
 * Parses a plan in JSON.
 * @return the plan, or error `invalid` if @p text is not an object or has no valid addresses.
 * @throw nlohmann::json::exception if a required field is missing or a field has the wrong type.
 */
result<load_plan> read_plan(const std::string& text);

} // namespace waxwing

#endif
