/** @file settings_type.h Settings of the decisions; objects of the configuration fill them. */
#ifndef WAXWING_POLICY_SETTINGS_TYPE_H
#define WAXWING_POLICY_SETTINGS_TYPE_H

#include "base/base.h"

namespace waxwing {

/** How retries are bounded. */
struct retry_settings {
    std::uint16_t m_tokens = 3;  ///< Retries for one whole request, over all hops.
    double m_budget_ratio = 0.1; ///< Repeats at a service, as a share of the requests for it.
    double m_budget_floor = 1.0; ///< Repeats a second that a hop may always make.
    duration m_base_backoff = std::chrono::milliseconds(5);  ///< Mean wait before the first retry.
    duration m_max_backoff = std::chrono::milliseconds(250); ///< Longest wait before a retry.
};

/** How the concurrency limit follows measured latency. */
struct limit_settings {
    std::uint32_t m_floor = 2;                          ///< The limit never falls below; at least 1.
    std::uint32_t m_slots = 16;                         ///< The limit never rises above: the target's slots.
    duration m_window = std::chrono::milliseconds(200); ///< Latencies are judged over this time.
    double m_tolerance = 2.0; ///< The limit falls where latency exceeds the unloaded one by this factor.
};

/** How calls wait at a target's node. */
struct admission_settings {
    limit_settings m_limit;                                        ///< The concurrency limit.
    duration m_target_queue_delay = std::chrono::milliseconds(20); ///< Time in queue that counts as overload.
    duration m_queue_timeout = std::chrono::milliseconds(300);     ///< Longest time in queue of a root.
    std::uint32_t m_queue_capacity = 1024; ///< Calls in queue at most, a bound on memory.
    double m_headroom_ratio = 0.1;         ///< Share of the limit kept for m_headroom_importance and above.
    std::uint8_t m_headroom_importance = 192; ///< Kinds of this importance may use the headroom.
};

/** How targets are chosen. */
struct router_settings {
    double m_remote_penalty = 1.5; ///< Load of another data centre's targets counts this many times.
    duration m_max_report_age = std::chrono::seconds(2);      ///< Older load reports count as unknown.
    duration m_slow_start_duration = std::chrono::seconds(5); ///< A new target's weight grows over this time.
    std::uint32_t m_ejection_failures = 5;                    ///< Consecutive failures that eject a target.
    duration m_ejection_duration = std::chrono::seconds(5); ///< First ejection; doubles up to ten times this.
    double m_max_ejection_ratio = 0.5; ///< Share of a service's targets that may be ejected.
};

/** The share of one caller, or of one bucket of unknown callers. */
struct share_settings {
    double m_rate = 1000.0; ///< Sustained requests a second at one entry.
    double m_burst = 100.0; ///< Requests at once after being quiet; at least 1.
    double m_weight = 1.0;  ///< Share of what is admitted under overload, against other callers.
};

} // namespace waxwing

#endif
