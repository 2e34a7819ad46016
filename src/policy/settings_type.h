/** @file settings_type.h Settings of the policies, filled from objects of the configuration. */
#ifndef WAXWING_POLICY_SETTINGS_TYPE_H
#define WAXWING_POLICY_SETTINGS_TYPE_H

#include "base/base.h"

namespace waxwing {

/** Limits on retries. */
struct retry_settings {
    std::uint16_t m_tokens = 3;  ///< Retries for one whole request, over all hops.
    double m_budget_ratio = 0.1; ///< Retries at a service, as a ratio of the requests for it.
    double m_budget_floor = 1.0; ///< Retries a second that are always allowed at a hop.
    duration m_base_backoff = std::chrono::milliseconds(5);  ///< Mean delay before the first retry.
    duration m_max_backoff = std::chrono::milliseconds(250); ///< Upper bound of the delay before a retry.
};

/** Settings of the concurrency limit, which follows the measured latency. */
struct limit_settings {
    std::uint32_t m_floor = 2;  ///< Lower bound of the limit; at least 1.
    std::uint32_t m_slots = 16; ///< Upper bound of the limit: the slots of the target.
    duration m_window = std::chrono::milliseconds(200); ///< Shortest time over which latency is measured.
    double m_tolerance = 2.0; ///< The limit may be cut if latency exceeds the unloaded one by this factor.
};

/** Settings of the queue at a target's node. */
struct admission_settings {
    limit_settings m_limit; ///< The concurrency limit.
    /** A longer mean time in queue counts as overload. */
    duration m_target_queue_delay = std::chrono::milliseconds(20);
    /** Longest time in queue of a whole request (a call of depth zero). */
    duration m_queue_timeout = std::chrono::milliseconds(300);
    std::uint32_t m_queue_capacity = 1024; ///< Calls in queue, at most; bounds memory.
    double m_headroom_ratio = 0.1; ///< Ratio of the limit reserved for m_headroom_importance and above.
    std::uint8_t m_headroom_importance = 192; ///< Calls of at least this importance may use the headroom.
};

/** Settings of load balancing over targets. */
struct router_settings {
    double m_remote_penalty = 1.5; ///< The load of targets in other data centres is multiplied by this.
    duration m_max_report_age = std::chrono::seconds(2); ///< Older load reports are ignored.
    /** Time over which the weight of a new target grows to its full size. */
    duration m_slow_start_duration = std::chrono::seconds(5);
    std::uint32_t m_ejection_failures = 5; ///< Consecutive failures that eject a target.
    /** Duration of the first ejection; doubles with each further one, up to ten times this. */
    duration m_ejection_duration = std::chrono::seconds(5);
    double m_max_ejection_ratio = 0.5; ///< Ratio of the targets of a service that may be ejected.
};

/** Limits of one caller, or of one bucket of unknown callers. */
struct share_settings {
    double m_rate = 1000.0; ///< Sustained requests a second at one entry.
    double m_burst = 100.0; ///< Requests at once after an idle time; at least 1.
    double m_weight = 1.0;  ///< Weight of the caller's fair share under overload.

    friend bool operator==(const share_settings&, const share_settings&) = default;
};

} // namespace waxwing

#endif
