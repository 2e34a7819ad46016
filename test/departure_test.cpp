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
         {"", "{}", "[\"a\"]", "[1,2]", "[\"a\",-1]", "[\"a\",1,2]", "[\"a\",1.5]", "[[\"a\",1,false]]",
          "[[\"a\",1,true,2]]", "[[]]", "[[\"a\",1],2]", "[[\"a\",1],[\"b\"]]"}) {
        cr_assert(decode_departures(value).has_error(), "%s", value);
    }
    cr_assert(decode_departures("[]").value().items().empty(), "the row of a node that has started");
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
    const auto reminder = decode_departure_message(encode_departure_message(departure_reminder{list, {}}));
    cr_assert(std::get<departure_reminder>(reminder.value()).m_departures == list);
    for (const std::optional<std::uint64_t> era : {std::optional<std::uint64_t>(3), {}}) {
        const departure_reminder told{{}, keeper_memory{std::chrono::seconds(40), era}};
        const auto decoded = decode_departure_message(encode_departure_message(told));
        const std::optional<keeper_memory>& memory = std::get<departure_reminder>(decoded.value()).m_memory;
        cr_assert(memory && memory->m_age == std::chrono::seconds(40) && memory->m_era == era);
    }
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

namespace {

/** What a node tells that has been running for @p age in the era @p era of the store. */
keeper_memory memory_of(std::chrono::seconds age, std::uint64_t era)
{
    return {age, era};
}

const instant trust_start = instant{} + std::chrono::hours(1);
const wall_time wall_start{std::chrono::milliseconds(1'000'000)};

/** Returns whether @p trust uses the target that sends @p count announcements, one each 1.5 s from @p
 * first_at after the start on. */
bool is_used_after(announcement_trust& trust, std::chrono::milliseconds first_at, int count)
{
    bool is_used = false;
    for (int number = 0; number < count; ++number) {
        is_used =
            trust.take(trust_start + first_at + number * std::chrono::milliseconds(1500),
                       make_announcement(100, static_cast<std::uint64_t>(first_at.count() / 100 + number)));
    }
    return is_used;
}

} // namespace

/** review/15: all processes had ended, so that nobody knew of the departure, and the table could be read. */
Test(announcement_trust, late_announcements_passed_for_a_running_target_after_all_processes_had_ended)
{
    for (const bool is_table_silent : {false, true}) {
        announcement_trust trust(trust_start, wall_start);
        if (!is_table_silent) {
            trust.on_first_read(true, 1);
        }
        cr_expect(!is_used_after(trust, std::chrono::milliseconds(3600), 1), "a late one");
        announcement_trust other(trust_start, wall_start);
        if (!is_table_silent) {
            other.on_first_read(true, 1);
        }
        cr_expect(!is_used_after(other, std::chrono::milliseconds(300), 6), "six that are all late");
        cr_expect(is_used_after(other, std::chrono::milliseconds(10300), 1), "it still goes on");
    }
}

Test(announcement_trust, a_redirected_announcement_proves_that_the_target_runs)
{
    announcement_trust trust(trust_start, wall_start);
    trust.on_first_read(true, 1);
    target_announcement announcement = make_announcement(100, 5);
    cr_assert(!trust.take(trust_start + std::chrono::seconds(1), announcement));
    announcement.m_is_redirected = true;
    announcement.m_sequence = 6;
    cr_assert(trust.take(trust_start + std::chrono::seconds(2), announcement) && trust.is_established());
}

/** All machines lose power: their targets start anew together with their nodes. */
Test(announcement_trust, a_target_that_started_with_the_process_has_not_left)
{
    announcement_trust trust(trust_start, wall_start);
    trust.on_first_read(true, 1);
    cr_assert(!trust.take(trust_start, make_announcement(999'000, 1)));
    cr_assert(trust.take(trust_start, make_announcement(999'800, 1)));
}

Test(announcement_trust, a_new_node_has_no_departures)
{
    announcement_trust trust(trust_start, wall_start);
    trust.on_first_read(false, 1);
    cr_assert(trust.is_established());
}

/** All nodes that are asked hold what the table lacks. */
Test(announcement_trust, a_node_that_was_running_before_establishes_trust)
{
    const instant now = trust_start + std::chrono::seconds(1);
    announcement_trust trust(trust_start, wall_start);
    trust.on_keeper_memory(now, memory_of(std::chrono::seconds(12), 2));
    cr_expect(!trust.is_established(), "the row was not read");
    trust.on_first_read(true, 2);
    cr_expect(trust.is_established());
    announcement_trust other(trust_start, wall_start);
    other.on_first_read(true, 2);
    other.on_keeper_memory(now, memory_of(std::chrono::seconds(10), 2));
    cr_expect(!other.is_established(), "it may have ended together with this node");
}

/** review/14: the table had lost the departure in a restoration that no node had noticed, and nobody held it.
 */
Test(announcement_trust, nodes_that_know_another_era_of_the_store_establish_no_trust)
{
    announcement_trust trust(trust_start, wall_start);
    trust.on_first_read(true, 2);
    const instant now = trust_start + std::chrono::seconds(1);
    trust.on_keeper_memory(now, memory_of(std::chrono::seconds(60), 1));
    cr_assert(!trust.is_established());
}
