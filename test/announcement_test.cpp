/** @file announcement_test.cpp Tests of the ordering of a target's announcements, which may arrive late and
 * in any order.
 */
#include "member/member.h"

#include <criterion/criterion.h>

using namespace waxwing;

namespace {

target_announcement make_announcement(const char* instance, std::uint64_t start_time, std::uint64_t sequence,
                                      target_intent intent = target_intent::serve)
{
    target_announcement announcement;
    announcement.m_service.m_value = "records";
    announcement.m_instance = instance;
    announcement.m_incarnation.m_value = start_time;
    announcement.m_sequence = sequence;
    announcement.m_intent = intent;
    return announcement;
}

/** Returns the time @p milliseconds after the epoch of the start times. */
wall_time at(std::int64_t milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

/** An order whose announcements arrive at a time that matters to no other result. */
struct timed_order : announcement_order {
    using announcement_order::take;
    announcement_result take(const target_announcement& announcement) { return take(announcement, at(1000)); }
};

} // namespace

Test(announcement, late_announcement_of_earlier_incarnation_is_stale)
{
    timed_order order;
    cr_assert(order.take(make_announcement("a", 100, 1)) == announcement_result::new_life);
    cr_assert(order.take(make_announcement("b", 200, 1)) == announcement_result::new_life);
    cr_assert(order.take(make_announcement("a", 100, 9)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 100, 0, target_intent::leave)) ==
              announcement_result::other_left);
    cr_assert(order.take(make_announcement("b", 200, 2)) == announcement_result::same);
}

Test(announcement, restart_under_same_id_is_recognised_by_start_time)
{
    timed_order order;
    order.take(make_announcement("a", 100, 50));
    cr_assert(order.take(make_announcement("a", 200, 1)) == announcement_result::new_life);
    cr_assert(order.take(make_announcement("a", 100, 51)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 200, 2)) == announcement_result::same);
}

Test(announcement, announcements_of_one_incarnation_are_ordered_by_sequence)
{
    timed_order order;
    order.take(make_announcement("a", 100, 5));
    cr_assert(order.take(make_announcement("a", 100, 7, target_intent::drain)) == announcement_result::same);
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::stale,
              "an older announcement must not undo the drain");
    cr_assert(order.take(make_announcement("a", 100, 7)) == announcement_result::stale);
}

Test(announcement, incarnation_that_has_left_does_not_return)
{
    timed_order order;
    order.take(make_announcement("a", 100, 5));
    cr_assert(order.take(make_announcement("a", 0, 0, target_intent::leave)) == announcement_result::same);
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 101, 1)) == announcement_result::new_life);
}

/** The next process of a node knows of a departure only what is stored. */
Test(announcement, late_announcement_put_a_target_into_use_that_left_before_the_node_restarted)
{
    timed_order order;
    cr_assert(!order.restore({"a", {100}}), "no incarnation was known that could leave");
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("b", 90, 9)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 100, 0, target_intent::leave)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 101, 1)) == announcement_result::new_life);
}

Test(announcement, departure_that_is_restored_late_applies_to_the_known_incarnation)
{
    timed_order order;
    order.take(make_announcement("a", 100, 6));
    cr_assert(order.restore({"a", {100}}));
    cr_assert(order.take(make_announcement("a", 100, 7)) == announcement_result::stale);
    cr_assert(!order.restore({"a", {90}}), "an older departure changes nothing");
    cr_assert(order.take(make_announcement("b", 200, 1)) == announcement_result::new_life);
    cr_assert(!order.restore({"a", {100}}));
    cr_assert(order.take(make_announcement("b", 200, 2)) == announcement_result::same);
}

Test(announcement, departure_of_an_unknown_incarnation_is_recorded)
{
    timed_order order;
    cr_assert(order.take(make_announcement("a", 100, 0, target_intent::leave)) == announcement_result::left);
    cr_assert((order.departure(at(500)) == target_departure{"a", {100}}));
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::stale);
}

/** review/9: a process that had just started acknowledged the departure and did not record it. */
Test(announcement, departure_without_a_start_time_of_an_unknown_process_is_recorded)
{
    timed_order order;
    const target_announcement departure = make_announcement("a", 0, 0, target_intent::leave);
    cr_assert(order.take(departure, at(500)) == announcement_result::other_left);
    cr_assert((order.departure_of(departure, at(500)) == target_departure{"a", {500}, true}));
    cr_assert(order.take(make_announcement("a", 400, 9)) == announcement_result::stale,
              "a late announcement");
    cr_assert(order.take(make_announcement("a", 400, 10, target_intent::drain)) ==
              announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 0, 11)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("b", 300, 1)) == announcement_result::new_life,
              "the departure says nothing about other processes");
    cr_assert(order.take(make_announcement("a", 501, 1)) == announcement_result::new_life,
              "it has started again under the same id");
}

/** A later process may leave before its first announcement arrives. */
Test(announcement, departure_without_a_start_time_leaves_the_known_target_in_use)
{
    timed_order order;
    order.take(make_announcement("a", 100, 5));
    cr_assert(order.take(make_announcement("b", 0, 0, target_intent::leave), at(500)) ==
              announcement_result::other_left);
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::same);
    cr_assert(order.take(make_announcement("b", 400, 3)) == announcement_result::stale);
}

Test(announcement, restored_departure_without_a_start_time_holds_for_its_id_only)
{
    timed_order order;
    cr_assert(!order.restore({"a", {500}, true}));
    cr_assert(order.take(make_announcement("a", 400, 6)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("b", 300, 6)) == announcement_result::new_life);
    cr_assert(order.restore({"b", {350}, true}), "the known target has left");
    cr_assert(!order.restore({"b", {350}, true}), "it was known");
    cr_assert(order.take(make_announcement("b", 300, 7)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("b", 360, 1)) == announcement_result::new_life);
    cr_assert(!order.restore({"b", {350}, true}));
    cr_assert(order.take(make_announcement("b", 360, 2)) == announcement_result::same);
}

/** It replaced the known target until that announced itself again. */
Test(announcement, announcement_without_a_start_time_replaced_a_target_that_has_one)
{
    timed_order order;
    order.take(make_announcement("a", 100, 5));
    cr_assert(order.take(make_announcement("b", 0, 9)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 0, 9)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::same);
}
