/** @file charts.h The table of the project's charts, ordered as the values of `chart_subject`. */
#ifndef WAXWING_CHART_TABLE_CHARTS_H
#define WAXWING_CHART_TABLE_CHARTS_H

#include <array>
#include <string_view>

namespace waxwing {

/** One chart: its file in `charts/`, and the events and actions of its owner, separated by spaces. */
struct chart_row {
    std::string_view m_file;    ///< The file's name.
    std::string_view m_events;  ///< The events that the owner can raise.
    std::string_view m_actions; ///< The actions that the owner can execute.
};

/** One row for each value of `chart_subject`. */
inline constexpr std::array<chart_row, 4> charts{{
    {"node.scxml", "listening start-failed configured stop drained drain-timeout",
     "discover-members fetch-configuration accept-callers refuse-new-work drain-target start-drain-timer "
     "log-in-progress leave-fleet close-listeners"},
    {"target.scxml", "announced healthy drain resume drained lost node-stopped",
     "tell-peers start-warm-up admit-work refuse-new-work suspect-in-progress"},
    {"request.scxml", "target-chosen duplicate retryable answered refused deadline-passed caller-gone",
     "send-attempt join-attempt start-backoff cancel-attempt answer-caller answer-refusal "
     "release"},
    {"publication.scxml",
     "read valid invalid clash stored committed head-moved not-committed unknown unavailable",
     "read-head check-set put-object move-head read-audit report-published report-errors report-clash "
     "report-unavailable"},
}};

} // namespace waxwing

#endif
