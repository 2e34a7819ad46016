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

} // namespace

Test(announcement, late_announcement_of_earlier_incarnation_is_stale)
{
    announcement_order order;
    cr_assert(order.take(make_announcement("a", 100, 1)) == announcement_result::new_life);
    cr_assert(order.take(make_announcement("b", 200, 1)) == announcement_result::new_life);
    cr_assert(order.take(make_announcement("a", 100, 9)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 100, 0, target_intent::leave)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("b", 200, 2)) == announcement_result::same);
}

Test(announcement, restart_under_same_id_is_recognised_by_start_time)
{
    announcement_order order;
    order.take(make_announcement("a", 100, 50));
    cr_assert(order.take(make_announcement("a", 200, 1)) == announcement_result::new_life);
    cr_assert(order.take(make_announcement("a", 100, 51)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 200, 2)) == announcement_result::same);
}

Test(announcement, announcements_of_one_incarnation_are_ordered_by_sequence)
{
    announcement_order order;
    order.take(make_announcement("a", 100, 5));
    cr_assert(order.take(make_announcement("a", 100, 7, target_intent::drain)) == announcement_result::same);
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::stale,
              "an older announcement must not undo the drain");
    cr_assert(order.take(make_announcement("a", 100, 7)) == announcement_result::stale);
}

Test(announcement, incarnation_that_has_left_does_not_return)
{
    announcement_order order;
    order.take(make_announcement("a", 100, 5));
    cr_assert(order.take(make_announcement("a", 0, 0, target_intent::leave)) == announcement_result::same);
    cr_assert(order.take(make_announcement("a", 100, 6)) == announcement_result::stale);
    cr_assert(order.take(make_announcement("a", 101, 1)) == announcement_result::new_life);
}
