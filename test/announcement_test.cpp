/** @file announcement_test.cpp The order of a target's announcements, which may come late and in any order.
 */
#include "member/member.h"

#include <criterion/criterion.h>

using namespace waxwing;

namespace {

target_announcement said(const char* instance, std::uint64_t life, std::uint64_t order,
                         target_intent intent = target_intent::serve)
{
    target_announcement made;
    made.m_service.m_value = "records";
    made.m_instance = instance;
    made.m_incarnation.m_value = life;
    made.m_sequence = order;
    made.m_intent = intent;
    return made;
}

} // namespace

Test(announcement, a_late_word_of_an_earlier_life_changes_nothing)
{
    announcement_order order;
    cr_assert(order.take(said("a", 100, 1)) == announcement_result::new_life);
    cr_assert(order.take(said("b", 200, 1)) == announcement_result::new_life);
    cr_assert(order.take(said("a", 100, 9)) == announcement_result::stale);
    cr_assert(order.take(said("a", 100, 0, target_intent::leave)) == announcement_result::stale);
    cr_assert(order.take(said("b", 200, 2)) == announcement_result::same);
}

Test(announcement, a_life_under_the_same_id_is_known_by_its_start)
{
    announcement_order order;
    order.take(said("a", 100, 50));
    cr_assert(order.take(said("a", 200, 1)) == announcement_result::new_life);
    cr_assert(order.take(said("a", 100, 51)) == announcement_result::stale);
    cr_assert(order.take(said("a", 200, 2)) == announcement_result::same);
}

Test(announcement, words_of_one_life_count_by_their_order)
{
    announcement_order order;
    order.take(said("a", 100, 5));
    cr_assert(order.take(said("a", 100, 7, target_intent::drain)) == announcement_result::same);
    cr_assert(order.take(said("a", 100, 6)) == announcement_result::stale,
              "an older word would undo the drain");
    cr_assert(order.take(said("a", 100, 7)) == announcement_result::stale);
}

Test(announcement, a_life_that_has_left_does_not_come_back)
{
    announcement_order order;
    order.take(said("a", 100, 5));
    cr_assert(order.take(said("a", 0, 0, target_intent::leave)) == announcement_result::same);
    cr_assert(order.take(said("a", 100, 6)) == announcement_result::stale);
    cr_assert(order.take(said("a", 101, 1)) == announcement_result::new_life);
}
