/** @file quarantine_test.cpp Tests of the quarantine of requests that crash targets. */
#include "policy/quarantine_base.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

const instant start{1000h};
constexpr std::uint64_t salt = 7;

/** Returns the records of @p table as comparable values, in a fixed order. */
std::vector<std::tuple<std::uint64_t, suspicion, std::uint64_t, duration>> sorted(const quarantine& table)
{
    std::vector<std::tuple<std::uint64_t, suspicion, std::uint64_t, duration>> listed;
    for (const quarantine_record& record : table.records(start)) {
        listed.emplace_back(record.m_fingerprint, record.m_suspicion, record.m_version, record.m_age);
    }
    std::sort(listed.begin(), listed.end());
    return listed;
}

/** Draws random records of a few fingerprints. */
std::vector<quarantine_record> draw_records()
{
    const auto count = *rc::gen::inRange(0, 12);
    std::vector<quarantine_record> records;
    for (int index = 0; index < count; ++index) {
        const auto releases = *rc::gen::inRange<std::uint64_t>(0, 2);
        const auto changes = *rc::gen::inRange<std::uint64_t>(1, 4);
        records.push_back({*rc::gen::inRange<std::uint64_t>(0, 3),
                           static_cast<suspicion>(*rc::gen::inRange(0, 4)), (releases << 32U) | changes,
                           std::chrono::seconds(*rc::gen::inRange(0, 30))});
    }
    return records;
}

} // namespace

Test(quarantine, second_crash_quarantines_and_a_clean_finish_clears)
{
    quarantine table({}, salt);
    cr_assert(table.on_crash(start, {1, 2, 3}, false).size() == 3);
    cr_assert(table.look_up(start, 2) == suspicion::suspect && table.look_up(start, 4) == suspicion::none);
    cr_assert(table.on_completed(start, 1).size() == 1 && table.look_up(start, 1) == suspicion::none);
    cr_assert(table.on_crash(start, {2}, true).size() == 1);
    cr_assert(table.look_up(start, 2) == suspicion::quarantined);
    cr_assert(table.on_completed(start, 2).empty() && table.on_crash(start, {2}, true).empty());
    cr_assert(table.release(start, 2).size() == 1 && table.look_up(start, 2) == suspicion::none);
    cr_assert(table.on_completed(start, 9).empty() && table.release(start, 9).empty());
}

Test(quarantine, one_crash_with_the_same_request_twice_is_one_crash)
{
    quarantine table({}, salt);
    table.on_crash(start, {5, 5, 5}, false);
    cr_assert(table.look_up(start, 5) == suspicion::suspect);
}

/** Servers go down together; each runs the lookup since before the first crash was known. */
Test(quarantine, a_lookup_that_ran_beside_others_at_two_crashes_is_not_refused)
{
    quarantine table({}, salt);
    table.on_crash(start, {1, 2}, false);
    table.on_crash(start + 5ms, {1, 3}, false);
    table.on_crash(start + 10ms, {1, 2, 3}, false);
    for (const std::uint64_t fingerprint : {1, 2, 3}) {
        cr_assert(table.look_up(start + 10ms, fingerprint) == suspicion::suspect);
    }
    cr_assert(table.on_crash(start + 20ms, {1}, true).size() == 1);
    cr_assert(table.look_up(start + 20ms, 1) == suspicion::quarantined);
    cr_assert(table.on_completed(start + 20ms, 2).size() == 1);
    cr_assert(table.look_up(start + 20ms, 2) == suspicion::none);
}

/** Servers crash in series, and one of them while it runs a suspected lookup exclusively. */
Test(quarantine, a_lookup_that_runs_alone_while_servers_crash_by_themselves_is_not_refused)
{
    quarantine table({}, salt);
    quarantine peer({}, salt);
    table.on_crash(start, {1, 2}, false);
    table.merge(start, peer.on_crash(start, {3, 4}, false));
    cr_assert(table.on_crash(start + 2s, {1}, true).size() == 1);
    cr_assert(table.look_up(start + 2s, 1) == suspicion::strong_suspect);
    table.on_crash(start + 3s, {1, 5}, false);
    cr_assert(table.look_up(start + 3s, 1) == suspicion::strong_suspect);
    cr_assert(table.on_completed(start + 4s, 1).size() == 1);
    cr_assert(table.look_up(start + 4s, 1) == suspicion::none);
}

Test(quarantine, a_request_that_crashes_two_targets_alone_is_quarantined_while_others_crash)
{
    quarantine table({}, salt);
    quarantine peer({}, salt);
    table.on_crash(start, {1, 2}, false);
    table.merge(start, peer.on_crash(start, {3, 4}, false));
    peer.merge(start + 2s, table.on_crash(start + 2s, {1}, true));
    cr_assert(peer.look_up(start + 2s, 1) == suspicion::strong_suspect);
    table.merge(start + 4s, peer.on_crash(start + 4s, {1}, true));
    cr_assert(table.look_up(start + 4s, 1) == suspicion::quarantined);
}

Test(quarantine, a_crash_elsewhere_is_no_coincidence_after_its_window)
{
    quarantine table({}, salt);
    quarantine peer({}, salt);
    table.merge(start, peer.on_crash(start, {3, 4}, false));
    table.on_crash(start + 5s, {1, 2}, false);
    table.on_crash(start + 11s, {1}, true);
    cr_assert(table.look_up(start + 11s, 1) == suspicion::quarantined);
}

/** Servers crash in series, and all of them run a lookup that is in progress everywhere. */
Test(quarantine, a_frequent_lookup_that_ran_at_every_crashed_server_is_not_refused)
{
    quarantine table({}, salt);
    quarantine peer({}, salt);
    table.on_completed(start, 1);
    table.merge(start + 1s, peer.on_crash(start + 1s, {1, 2}, false));
    table.on_crash(start + 3s, {1}, true);
    cr_assert(table.look_up(start + 3s, 1) == suspicion::strong_suspect);
    cr_assert(table.on_completed(start + 4s, 1).size() == 1);
    cr_assert(table.look_up(start + 4s, 1) == suspicion::none);
}

Test(quarantine, a_finish_is_no_evidence_after_its_window)
{
    quarantine table({}, salt);
    table.on_completed(start, 1);
    table.on_crash(start + 5s, {1, 2}, false);
    table.on_crash(start + 11s, {1}, true);
    cr_assert(table.look_up(start + 11s, 1) == suspicion::quarantined);
}

Test(quarantine, merge_is_commutative_associative_and_idempotent)
{
    cr_assert(rc::check("any order and any repetition gives the same table", [] {
        const std::vector<quarantine_record> records = draw_records();
        quarantine table({}, salt);
        table.merge(start, records);
        const std::vector<std::size_t> order =
            *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 12));
        quarantine other({}, salt);
        for (const std::size_t index : order) {
            if (index < records.size()) {
                other.merge(start, {records[index]});
            }
        }
        quarantine third({}, salt);
        third.merge(start, table.records(start));
        for (const quarantine_record& record : records) {
            other.merge(start, {record});
        }
        RC_ASSERT(sorted(table) == sorted(other));
        third.merge(start, other.records(start));
        RC_ASSERT(sorted(table) == sorted(third));
        RC_ASSERT(table.merge(start, other.records(start)).empty());
    }));
}

Test(quarantine, a_quarantine_outlives_every_concurrent_clearing)
{
    cr_assert(rc::check("only a release ends a quarantine", [] {
        quarantine local({}, salt);
        quarantine remote({}, salt);
        remote.merge(start, local.on_crash(start, {1}, false));
        const auto rounds = *rc::gen::inRange(0, 5);
        for (int round = 0; round < rounds; ++round) {
            remote.on_completed(start, 1);
            remote.on_crash(start, {1}, false);
        }
        remote.on_completed(start, 1);
        local.on_crash(start, {1}, true);
        remote.merge(start, local.records(start));
        local.merge(start, remote.records(start));
        RC_ASSERT(local.look_up(start, 1) == suspicion::quarantined);
        RC_ASSERT(remote.look_up(start, 1) == suspicion::quarantined);
        local.merge(start, remote.release(start, 1));
        RC_ASSERT(local.look_up(start, 1) == suspicion::none);
    }));
}

Test(quarantine, a_crashing_request_takes_at_most_two_targets_and_others_are_cleared)
{
    cr_assert(rc::check("a crashing request is sent to any entry after each crash is known to all nodes", [] {
        constexpr std::uint64_t crashing_request = 99;
        std::vector<quarantine> nodes;
        std::vector<node_id> names;
        for (int index = 0; index < 5; ++index) {
            nodes.emplace_back(quarantine_settings{}, salt);
            names.push_back({"node-" + std::to_string(index)});
        }
        const auto merge_everywhere = [&](const std::vector<quarantine_record>& records) {
            for (quarantine& node : nodes) {
                node.merge(start, records);
            }
        };
        int lost_targets = 0;
        const auto sends = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 5));
        for (const std::size_t entry : sends) {
            const suspicion state = nodes[entry].look_up(start, crashing_request);
            if (state == suspicion::quarantined) {
                continue;
            }
            ++lost_targets;
            const bool exclusive = state == suspicion::suspect;
            std::vector<std::uint64_t> running{crashing_request};
            if (!exclusive) {
                running.insert(running.end(), {1, 2, 3});
            }
            merge_everywhere(nodes[entry].on_crash(start, running, exclusive));
        }
        RC_ASSERT(lost_targets <= 2);
        for (std::uint64_t bystander = 1; bystander <= 3 && lost_targets > 0; ++bystander) {
            RC_ASSERT(nodes[4].look_up(start, bystander) == suspicion::suspect);
            merge_everywhere(nodes[bystander].on_completed(start, bystander));
            RC_ASSERT(nodes[4].look_up(start, bystander) == suspicion::none);
        }
    }));
}

Test(quarantine, capacity_is_bounded_and_the_oldest_suspect_is_evicted_first)
{
    quarantine table({4, 10min, 24h}, salt);
    table.on_crash(start, {1}, false);
    table.on_crash(start, {1}, true);
    for (std::uint64_t fingerprint = 2; fingerprint <= 20; ++fingerprint) {
        table.on_crash(start + std::chrono::seconds(fingerprint), {fingerprint}, false);
    }
    cr_assert(table.records(start + 30s).size() == 4);
    cr_assert(table.look_up(start + 30s, 1) == suspicion::quarantined);
    cr_assert(table.look_up(start + 30s, 17) == suspicion::none);
    cr_assert(table.look_up(start + 30s, 18) == suspicion::suspect);
    for (std::uint64_t fingerprint = 18; fingerprint <= 20; ++fingerprint) {
        table.on_crash(start + 40s, {fingerprint}, true);
    }
    table.on_crash(start + 50s, {30}, false);
    for (const std::uint64_t fingerprint : {1, 18, 19, 20}) {
        cr_assert(table.look_up(start + 50s, fingerprint) == suspicion::quarantined);
    }
}

Test(quarantine, merges_keep_the_age)
{
    quarantine table({}, salt);
    table.on_crash(start, {1}, false);
    quarantine other({}, salt);
    other.merge(start + 9min, table.records(start + 9min));
    cr_assert(other.look_up(start + 9min, 1) == suspicion::suspect);
    cr_assert(other.look_up(start + 10min, 1) == suspicion::none && other.records(start + 10min).empty());
    other.on_crash(start + 10min, {1}, false);
    cr_assert(other.look_up(start + 10min, 1) == suspicion::suspect);
}

Test(quarantine, a_suspect_runs_at_one_node)
{
    cr_assert(rc::check("the node depends neither on the order nor on the removal of other candidates", [] {
        const auto fingerprint = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<node_id> nodes{{"a"}, {"b"}, {"c"}, {"d"}};
        const node_id home = *suspect_home(fingerprint, nodes);
        std::reverse(nodes.begin(), nodes.end());
        RC_ASSERT(*suspect_home(fingerprint, nodes) == home);
        nodes.erase(nodes.begin() + (nodes.front() == home ? 1 : 0));
        RC_ASSERT(*suspect_home(fingerprint, nodes) == home);
    }));
    cr_assert(suspect_home(1, {}) == nullptr);
    std::set<node_id> used;
    for (std::uint64_t fingerprint = 0; fingerprint < 64; ++fingerprint) {
        used.insert(*suspect_home(fingerprint, {{"a"}, {"b"}, {"c"}, {"d"}}));
    }
    cr_assert(used.size() == 4);
}

Test(quarantine, names_depend_on_the_salt_and_hide_the_fingerprint)
{
    const quarantine table({}, salt);
    const quarantine other({}, salt + 1);
    cr_assert(table.name_of(1) == quarantine({}, salt).name_of(1) && table.name_of(1).size() == 16);
    cr_assert(table.name_of(1) != other.name_of(1) && table.name_of(1) != table.name_of(2));
    cr_assert(quarantine({}, 0).name_of(1) != "0000000000000001");
}

Test(quarantine, reads_what_it_writes_and_survives_hostile_bytes)
{
    const std::vector<quarantine_record> records{{~0ULL, suspicion::quarantined, (3ULL << 32U) | 5, 90s}};
    const std::string bytes = encode_quarantine(records);
    const auto decoded = decode_quarantine(bytes);
    cr_assert(decoded.has_value() && decoded.value().size() == 1);
    const quarantine_record& record = decoded.value().front();
    cr_assert(record.m_fingerprint == ~0ULL && record.m_suspicion == suspicion::quarantined);
    cr_assert(record.m_version == ((3ULL << 32U) | 5) && record.m_age == 90s);
    cr_assert(decode_quarantine(encode_quarantine({{1, suspicion::none, ~0ULL, 0s}})).has_error());
    cr_assert(decode_quarantine(std::string(100000, '\x81')).has_error());
    cr_assert(rc::check("any bytes give records or an error", [&] {
        std::string garbled = bytes;
        garbled[*rc::gen::inRange<std::size_t>(0, garbled.size())] = *rc::gen::arbitrary<char>();
        const auto read = decode_quarantine(garbled);
        RC_ASSERT((read.has_error() ||
                   read.value().size() <= 1)); // Parentheses, since RC_ASSERT evaluates both sides.
        const std::string any = *rc::gen::arbitrary<std::string>();
        RC_ASSERT((decode_quarantine(any).has_error() || any == "\x80"));
    }));
}
