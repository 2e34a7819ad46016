/** @file faults.h The fault matrix: the test that covers each fault at each step, or why the fault cannot
 * occur there.
 */
#ifndef WAXWING_TEST_TABLE_FAULTS_H
#define WAXWING_TEST_TABLE_FAULTS_H

#include "base/base.h"

#include <array>

namespace waxwing {

/** The faults, in the order of the rows of the page. */
enum class fault {
    table_down,
    table_slow,
    table_answer_lost,
    objects_down,
    store_restored,
    node_killed,
    node_paused,
    node_restarted,
    target_killed,
    target_slow,
    target_cold,
    target_shedding,
    target_lying,
    link_cut,
    link_one_way,
    link_slow,
    message_repeated,
    message_reordered,
    data_centre_cut,
    region_cut,
    operators_conflict,
    request_crashes,
    caller_gone,
    clock_jumped
};

inline constexpr name_table<24> fault_names{"table down",
                                            "table slow",
                                            "table's answer lost after the write",
                                            "object store down",
                                            "store restored from an older copy",
                                            "node killed",
                                            "node paused past its timers",
                                            "node restarted",
                                            "target killed",
                                            "target slow",
                                            "target cold",
                                            "target shedding",
                                            "target lying about its health",
                                            "link cut",
                                            "link cut one way",
                                            "link slow",
                                            "message repeated",
                                            "messages reordered",
                                            "data centre cut off",
                                            "region cut off",
                                            "operators in conflict",
                                            "request that crashes targets",
                                            "caller gone",
                                            "clock jumped"};

/** The steps of requests, publications, membership and drains, in the order of the columns of the page. */
enum class fault_step {
    request_entry,
    request_route,
    request_send,
    request_queue,
    request_run,
    request_answer,
    request_cancel,
    publish_object,
    publish_head,
    publish_spread,
    publish_force,
    member_announce,
    member_join,
    member_suspect,
    member_leave,
    drain_start,
    drain_finish,
    drain_stop
};

inline constexpr name_table<18> fault_step_names{
    "entry",  "route",    "send",     "queue", "run",     "answer", "cancel", "put object", "move head",
    "spread", "in force", "announce", "join",  "suspect", "leave",  "drain",  "finish",     "stop"};

/** The entry of a range of cells in one row. */
struct fault_cells {
    fault m_fault;           ///< Row.
    fault_step m_first_step; ///< First column.
    fault_step m_last_step;  ///< Last column.
    std::string_view m_test; ///< `suite/name` of the test; empty if there is none.
    std::string_view m_note; ///< Why the fault cannot occur here, or that a test is missing.
};

/** Reasons for entries without a test. */
inline constexpr std::string_view uses_no_platform = "the step uses neither table nor object store";
inline constexpr std::string_view handles_no_request = "the step handles no request";
inline constexpr std::string_view uses_no_link = "the step uses no link between nodes";
inline constexpr std::string_view involves_no_operator = "no operator takes part in the step";
inline constexpr std::string_view time_is_argument = "each decision takes monotonic time as an argument";
inline constexpr std::string_view involves_no_target = "the step involves no target";
inline constexpr std::string_view test_missing = "open: no test yet";

inline constexpr std::string_view fleet_random_steps = "fleet/keeps_its_invariants_under_random_steps";
inline constexpr std::string_view concurrent_publishers =
    "publisher/several_writers_with_lost_answers_make_one_chain";
inline constexpr std::string_view random_spread =
    "spread/random_order_loss_and_repeats_never_revert_and_converge";
inline constexpr std::string_view member_random_schedule =
    "member/a_random_schedule_converges_once_the_network_heals";
inline constexpr std::string_view member_drain = "member/a_drain_is_known_to_all_within_two_seconds";

/** All entries. If several cover a cell, the last one applies. */
inline constexpr auto fault_matrix = std::to_array<fault_cells>({
    // The table and the object store.
    {fault::table_down, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::table_down, fault_step::publish_object, fault_step::publish_head, concurrent_publishers, ""},
    {fault::table_down, fault_step::publish_spread, fault_step::publish_force,
     "spread/a_revision_reaches_all_while_the_platform_is_down", ""},
    {fault::table_down, fault_step::member_announce, fault_step::member_leave,
     "member/gossip_spreads_changes_and_deaths_while_the_table_is_down", ""},
    {fault::table_down, fault_step::drain_start, fault_step::drain_stop, "", uses_no_platform},
    {fault::table_slow, fault_step::request_entry, fault_step::request_cancel, "", uses_no_platform},
    {fault::table_slow, fault_step::publish_object, fault_step::publish_head, concurrent_publishers, ""},
    {fault::table_slow, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::table_slow, fault_step::member_announce, fault_step::member_leave,
     "member/gossip_spreads_changes_and_deaths_while_the_table_is_down", ""},
    {fault::table_slow, fault_step::drain_start, fault_step::drain_stop, "", uses_no_platform},
    {fault::table_answer_lost, fault_step::request_entry, fault_step::request_cancel, "", uses_no_platform},
    {fault::table_answer_lost, fault_step::publish_object, fault_step::publish_head, concurrent_publishers,
     ""},
    {fault::table_answer_lost, fault_step::publish_spread, fault_step::publish_force, "",
     "the step only reads"},
    {fault::table_answer_lost, fault_step::member_announce, fault_step::member_leave, "",
     "a registration row is written again every 5 s until a write is acknowledged"},
    {fault::table_answer_lost, fault_step::drain_start, fault_step::drain_stop, "", uses_no_platform},
    {fault::objects_down, fault_step::request_entry, fault_step::request_cancel, "", uses_no_platform},
    {fault::objects_down, fault_step::publish_object, fault_step::publish_head,
     "publisher/reports_not_published_only_if_no_commit_can_take_effect", ""},
    {fault::objects_down, fault_step::publish_spread, fault_step::publish_force,
     "spread/a_revision_reaches_all_while_the_platform_is_down", ""},
    {fault::objects_down, fault_step::member_announce, fault_step::drain_stop, "", uses_no_platform},
    {fault::store_restored, fault_step::request_entry, fault_step::request_cancel, "", uses_no_platform},
    {fault::store_restored, fault_step::publish_object, fault_step::publish_object, "", test_missing},
    {fault::store_restored, fault_step::publish_head, fault_step::publish_head,
     "platform_restore/a_transaction_on_a_row_of_an_earlier_era_fails_its_check", ""},
    {fault::store_restored, fault_step::publish_spread, fault_step::publish_spread,
     "platform_restore/a_revision_whose_row_gets_a_version_again_is_taken", ""},
    {fault::store_restored, fault_step::publish_force, fault_step::publish_force,
     "platform_restore/an_older_revision_from_the_copy_is_not_taken", ""},
    {fault::store_restored, fault_step::member_announce, fault_step::member_leave,
     "member_probe/a_row_lost_by_a_restored_table_is_written_again", ""},
    {fault::store_restored, fault_step::drain_start, fault_step::drain_stop, "", uses_no_platform},
    // Nodes.
    {fault::node_killed, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::node_killed, fault_step::publish_object, fault_step::publish_head,
     "publisher/resuming_determines_the_outcome_of_the_first_run", ""},
    {fault::node_killed, fault_step::publish_spread, fault_step::publish_force,
     "spread/a_restarted_node_requests_from_several_peers", ""},
    {fault::node_killed, fault_step::member_announce, fault_step::member_leave,
     "member/a_killed_node_is_dead_to_all_and_a_new_life_is_alive", ""},
    {fault::node_killed, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::node_paused, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::node_paused, fault_step::publish_object, fault_step::publish_head, concurrent_publishers, ""},
    {fault::node_paused, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::node_paused, fault_step::member_announce, fault_step::member_leave,
     "member/a_paused_node_that_wakes_refutes_and_declares_nobody_dead", ""},
    {fault::node_paused, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::node_restarted, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::node_restarted, fault_step::publish_object, fault_step::publish_head,
     "publisher/resuming_determines_the_outcome_of_the_first_run", ""},
    {fault::node_restarted, fault_step::publish_spread, fault_step::publish_force,
     "spread/a_restarted_node_requests_from_several_peers", ""},
    {fault::node_restarted, fault_step::member_announce, fault_step::member_leave,
     "member/a_killed_node_is_dead_to_all_and_a_new_life_is_alive", ""},
    {fault::node_restarted, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    // Targets.
    {fault::target_killed, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::target_killed, fault_step::publish_object, fault_step::publish_force, "", involves_no_target},
    {fault::target_killed, fault_step::member_announce, fault_step::member_leave,
     "chart/follows_transitions_and_counts_ignored_events", ""},
    {fault::target_killed, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::target_slow, fault_step::request_entry, fault_step::request_cancel,
     "concurrency_limit/keeps_the_limit_when_all_calls_slow_alike", ""},
    {fault::target_slow, fault_step::publish_object, fault_step::publish_force, "", involves_no_target},
    {fault::target_slow, fault_step::member_announce, fault_step::member_leave, "",
     "a slow target keeps its state; routing sees its load"},
    {fault::target_slow, fault_step::drain_start, fault_step::drain_stop,
     "Processes/test_a_planned_stop_cuts_no_request_in_progress", ""},
    {fault::target_cold, fault_step::request_entry, fault_step::request_cancel,
     "router/starts_a_new_target_slowly", ""},
    {fault::target_cold, fault_step::publish_object, fault_step::publish_force, "", involves_no_target},
    {fault::target_cold, fault_step::member_announce, fault_step::member_leave,
     "chart/follows_transitions_and_counts_ignored_events", ""},
    {fault::target_cold, fault_step::drain_start, fault_step::drain_stop, "",
     "a target that is not ready has nothing to finish"},
    {fault::target_shedding, fault_step::request_entry, fault_step::request_cancel,
     "concurrency_limit/cuts_on_refusals_by_the_target", ""},
    {fault::target_shedding, fault_step::publish_object, fault_step::publish_force, "", involves_no_target},
    {fault::target_shedding, fault_step::member_announce, fault_step::drain_stop, "",
     "shedding changes no state of the target"},
    {fault::target_lying, fault_step::request_entry, fault_step::request_cancel,
     "router/a_false_load_report_gains_at_most_twice_the_fair_load", ""},
    {fault::target_lying, fault_step::publish_object, fault_step::publish_force, "", involves_no_target},
    {fault::target_lying, fault_step::member_announce, fault_step::member_leave,
     "admission/hint_lowers_the_limit_temporarily", ""},
    {fault::target_lying, fault_step::drain_start, fault_step::drain_stop, "",
     "a drain does not look at health"},
    // Links and datagrams.
    {fault::link_cut, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::link_cut, fault_step::publish_object, fault_step::publish_head, "", uses_no_link},
    {fault::link_cut, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::link_cut, fault_step::member_announce, fault_step::member_leave, member_random_schedule, ""},
    {fault::link_cut, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::link_one_way, fault_step::request_entry, fault_step::request_cancel,
     "liveness/pings_a_quiet_link_and_closes_a_silent_one", ""},
    {fault::link_one_way, fault_step::publish_object, fault_step::publish_head, "", uses_no_link},
    {fault::link_one_way, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::link_one_way, fault_step::member_announce, fault_step::member_leave, member_random_schedule, ""},
    {fault::link_one_way, fault_step::drain_start, fault_step::drain_stop,
     "hostile/a_silent_peer_is_disconnected", ""},
    {fault::link_slow, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::link_slow, fault_step::publish_object, fault_step::publish_head, "", uses_no_link},
    {fault::link_slow, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::link_slow, fault_step::member_announce, fault_step::member_leave, member_random_schedule, ""},
    {fault::link_slow, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::message_repeated, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::message_repeated, fault_step::publish_object, fault_step::publish_head,
     "platform_client/sends_reads_once_more_but_no_transaction_where_the_connection_breaks", ""},
    {fault::message_repeated, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::message_repeated, fault_step::member_announce, fault_step::member_leave, member_random_schedule,
     ""},
    {fault::message_repeated, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::message_reordered, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::message_reordered, fault_step::publish_object, fault_step::publish_head, "", uses_no_link},
    {fault::message_reordered, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::message_reordered, fault_step::member_announce, fault_step::member_leave, member_random_schedule,
     ""},
    {fault::message_reordered, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::data_centre_cut, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::data_centre_cut, fault_step::publish_object, fault_step::publish_head, concurrent_publishers, ""},
    {fault::data_centre_cut, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::data_centre_cut, fault_step::member_announce, fault_step::member_leave,
     "member/loss_of_a_quarter_is_not_reported_as_isolation", ""},
    {fault::data_centre_cut, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::region_cut, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::region_cut, fault_step::publish_object, fault_step::publish_head, concurrent_publishers, ""},
    {fault::region_cut, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::region_cut, fault_step::member_announce, fault_step::member_leave,
     "member/partition_of_an_hour_heals_with_and_without_the_table", ""},
    {fault::region_cut, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    // People and requests.
    {fault::operators_conflict, fault_step::request_entry, fault_step::request_cancel, "",
     involves_no_operator},
    {fault::operators_conflict, fault_step::publish_object, fault_step::publish_head,
     "publisher/reports_conflicting_objects", ""},
    {fault::operators_conflict, fault_step::publish_spread, fault_step::publish_force, random_spread, ""},
    {fault::operators_conflict, fault_step::member_announce, fault_step::member_leave, "",
     involves_no_operator},
    {fault::operators_conflict, fault_step::drain_start, fault_step::drain_stop,
     "chart/follows_transitions_and_counts_ignored_events", ""},
    {fault::request_crashes, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::request_crashes, fault_step::publish_object, fault_step::member_leave, "", handles_no_request},
    {fault::request_crashes, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::caller_gone, fault_step::request_entry, fault_step::request_cancel, fleet_random_steps, ""},
    {fault::caller_gone, fault_step::publish_object, fault_step::publish_head,
     "publisher/resuming_determines_the_outcome_of_the_first_run", ""},
    {fault::caller_gone, fault_step::publish_spread, fault_step::member_leave, "", handles_no_request},
    {fault::caller_gone, fault_step::drain_start, fault_step::drain_stop, fleet_random_steps, ""},
    {fault::clock_jumped, fault_step::request_entry, fault_step::request_cancel,
     "caller_shares/admits_at_most_the_exact_bound_in_any_interval", ""},
    {fault::clock_jumped, fault_step::publish_object, fault_step::publish_force, "",
     "revisions are numbers; the wall clock only dates them"},
    {fault::clock_jumped, fault_step::member_announce, fault_step::member_leave, "", test_missing},
    {fault::clock_jumped, fault_step::drain_start, fault_step::drain_stop, "", time_is_argument},
});

} // namespace waxwing

#endif
