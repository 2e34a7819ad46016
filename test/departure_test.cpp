/** @file departure_test.cpp Tests of the departures of targets, of their encodings, and of the announcements
 * by which a running target is told from one that has left. */
#include "member/member.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

departure_list make_list(std::initializer_list<target_departure> departures)
{
    departure_list list;
    for (const target_departure& departure : departures) {
        list.add(departure);
    }
    return list;
}

target_announcement make_announcement(std::uint64_t start_time, std::uint64_t sequence)
{
    target_announcement announcement;
    announcement.m_instance = "a";
    announcement.m_incarnation.m_value = start_time;
    announcement.m_sequence = sequence;
    return announcement;
}

} // namespace

Test(departure, a_departure_covers_the_earlier_incarnations_of_its_id)
{
    departure_list list = make_list({{"a", {100}}, {"b", {50}}});
    cr_assert(!list.add({"a", {100}}) && !list.add({"a", {90}}));
    cr_assert(list.add({"a", {110}}) && list.items().size() == 2);
    cr_assert(list.covers({"a", {105}}) && !list.covers({"a", {111}}) && !list.covers({"c", {1}}));
    cr_assert(list.covers(make_list({{"a", {110}}, {"b", {50}}})) && !list.covers(make_list({{"c", {1}}})));
}

Test(departure, a_full_list_drops_the_earliest_incarnation)
{
    departure_list list;
    for (std::uint64_t start_time = 0; start_time <= departure_list::max_size; ++start_time) {
        list.add({"i" + std::to_string(start_time), {100 + start_time}});
    }
    cr_assert(list.items().size() == departure_list::max_size);
    cr_assert(!list.covers({"i0", {100}}) && list.covers({"i1", {101}}));
    cr_assert(!list.add({"old", {1}}), "it would be dropped at once");
}

/** Several nodes write the same row: none may take out what another one has written. */
Test(departure, lists_merge_to_the_same_in_any_order)
{
    cr_assert(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& numbers) {
        departure_list forward;
        departure_list backward;
        for (const auto& [id, start_time] : numbers) {
            forward.add({std::to_string(id % 7), {start_time}});
        }
        for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
            backward.add({std::to_string(number->first % 7), {number->second}});
        }
        RC_ASSERT(forward.covers(backward) && backward.covers(forward));
        RC_ASSERT(!forward.merge(backward));
    }));
}

Test(departure, departures_survive_their_encoding)
{
    const departure_list list = make_list({{"a\"b\n", {1'760'000'000'123}}, {"c", {7}}, {"d", {9}, true}});
    cr_assert(decode_departures(encode_departures(list)).value() == list);
    cr_assert(decode_departures("[\"a\",100]").value() == make_list({{"a", {100}}}), "the earlier format");
    for (const char* value :
         {"", "{}", "[]", "[\"a\"]", "[1,2]", "[\"a\",-1]", "[\"a\",1,2]", "[\"a\",1.5]", "[[\"a\",1,false]]",
          "[[\"a\",1,true,2]]", "[[]]", "[[\"a\",1],2]", "[[\"a\",1],[\"b\"]]"}) {
        cr_assert(decode_departures(value).has_error(), "%s", value);
    }
    cr_assert(decode_departures("[\"" + std::string(20000, 'a') + "\",1]").has_error());
}

Test(departure, messages_survive_their_encoding_and_malformed_ones_are_refused)
{
    const departure_list list = make_list({{"a", {100}}, {"b", {200}}});
    const auto offer = decode_departure_message(encode_departure_message(departure_offer{7, list}));
    cr_assert(std::get<departure_offer>(offer.value()).m_generation == 7);
    cr_assert(std::get<departure_offer>(offer.value()).m_departures == list);
    const auto receipt = decode_departure_message(encode_departure_message(departure_receipt{8, true}));
    cr_assert(std::get<departure_receipt>(receipt.value()).m_generation == 8);
    cr_assert(std::get<departure_receipt>(receipt.value()).m_is_stored);
    const auto reminder = decode_departure_message(encode_departure_message(departure_reminder{list}));
    cr_assert(std::get<departure_reminder>(reminder.value()).m_departures == list);
    cr_assert(decode_departure_message(encode_departure_message(departure_offer{})).has_error(),
              "no departure");
    cr_assert(rc::check([&](const std::string& bytes, std::uint16_t place, char value) {
        static_cast<void>(decode_departure_message(bytes));
        std::string damaged = encode_departure_message(departure_offer{7, list});
        damaged[place % damaged.size()] = value;
        static_cast<void>(decode_departure_message(damaged));
    }));
}

Test(announcement_streak, only_announcements_that_go_on_make_a_streak)
{
    announcement_streak streak;
    const instant start = instant{} + std::chrono::hours(1);
    const auto at = [&](int milliseconds) { return start + std::chrono::milliseconds(milliseconds); };
    cr_assert(!streak.extend(at(0), make_announcement(100, 5)));
    cr_assert(!streak.extend(at(3000), make_announcement(100, 5)), "the same announcement again");
    cr_assert(!streak.extend(at(3100), make_announcement(100, 4)), "an earlier one");
    cr_assert(!streak.extend(at(3200), make_announcement(100, 6)));
    cr_assert(!streak.extend(at(3300), make_announcement(90, 9)), "of an earlier incarnation");
    cr_assert(streak.extend(at(3400), make_announcement(100, 7)));
    cr_assert(!streak.extend(at(3500), make_announcement(200, 1)), "a later incarnation begins anew");
    cr_assert(!streak.extend(at(3600), make_announcement(200, 2)));
    cr_assert(!streak.extend(at(3700), make_announcement(200, 3)), "late ones may arrive together");
    cr_assert(streak.extend(at(6000), make_announcement(200, 4)));
}
