/** @file event_type.h The types of log events. Their numbers, names and meanings are in table/events.h. */
#ifndef WAXWING_EVENTS_EVENT_TYPE_H
#define WAXWING_EVENTS_EVENT_TYPE_H

namespace waxwing {

/** The types of log events. New ones are added at the end of their group; numbers are never reused. */
enum class event {
    node_started,
    node_ready,
    node_stopping,
    node_stopped,
    stop_overrun,
    settings_refused,
    listen_failed,
    chart_refused,
    settings_reloaded,
    quota_owner_silent,
    link_peer_up,
    link_peer_down,
    target_announced,
    target_state_changed,
    target_crashed,
    announcement_refused,
    load_probe_failed,
    target_rate_limited,
    rate_limit_ignored,
    target_leaving,
    departure_restored,
    departure_unsettled,
    drain_started,
    drain_finished,
    drain_overrun,
    departure_refused,
    departure_held,
    member_changed,
    isolated,
    fleet_joined,
    config_in_force,
    config_refused,
    watch_changed,
    watch_failed,
    config_ignored,
    keys_unconfirmed,
    keys_confirmed,
    platform_failing,
    platform_recovered,
    store_restored,
    head_restored,
    request_suspected,
    request_quarantined,
    request_released,
    request_answered,
    run_ended,
    request_unreadable,
    overload_started,
    overload_ended,
    operator_change,
    operator_refused,
    internal_fault
};

} // namespace waxwing

#endif
