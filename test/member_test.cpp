/** @file member_test.cpp Tests of membership on a simulated network that loses, delays, duplicates and
 * reorders datagrams. */
#include "test/member_network.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

/** Starts @p count nodes and runs until they have discovered each other. */
void start_fleet(member_network& network, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        network.start("node-" + std::to_string(index), 1);
    }
    network.run(20s);
}

/** Returns the state of node @p name as seen by @p viewer, or nullopt if it is unknown there. */
std::optional<member_state> view(member_network& network, std::size_t viewer, const std::string& name)
{
    const member_record* const record = network.nodes()[viewer].m_membership->find({name});
    return record == nullptr ? std::nullopt : std::optional(record->m_state);
}

/** Returns whether every live node sees exactly the live nodes as alive, each with its newest record. */
bool converged(member_network& network)
{
    std::map<node_id, const member_record*> live;
    for (const network_node& node : network.nodes()) {
        if (node.m_membership && node.m_membership->self().m_state == member_state::alive) {
            live[node.m_membership->self().m_node] = &node.m_membership->self();
        }
    }
    for (const network_node& node : network.nodes()) {
        if (!node.m_membership || node.m_membership->self().m_state != member_state::alive) {
            continue;
        }
        std::size_t alive = 1;
        for (const member_record& seen : node.m_membership->members()) {
            if (seen.m_state != member_state::alive && seen.m_state != member_state::suspect) {
                continue;
            }
            const auto found = live.find(seen.m_node);
            if (seen.m_state == member_state::suspect || found == live.end() ||
                seen.m_incarnation != found->second->m_incarnation ||
                seen.m_version != found->second->m_version || seen.m_target != found->second->m_target) {
                return false;
            }
            ++alive;
        }
        if (alive != live.size()) {
            return false;
        }
    }
    return true;
}

/** Runs in steps of one second until converged. @return whether that happened within @p limit. */
bool converges(member_network& network, duration limit)
{
    for (duration passed{}; passed < limit; passed += 1s) {
        if (converged(network)) {
            return true;
        }
        network.run(1s);
    }
    return converged(network);
}

} // namespace

Test(member, nodes_find_each_other_through_the_table)
{
    member_network network(1);
    start_fleet(network, 16);
    cr_assert(converged(network));
    cr_assert(network.rows().size() == 16);
}

Test(member, a_drain_is_known_to_all_within_two_seconds)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        member_network network(seed);
        start_fleet(network, 60);
        network.invoke(7, [&](membership& node, auto& out) {
            node.set_target(network.now(), target_state::draining, {"records"}, 35, out);
        });
        network.run(2s);
        cr_assert(converged(network), "seed %d", static_cast<int>(seed));
        const member_record* const seen = network.nodes()[3].m_membership->find({"node-7"});
        cr_assert(seen->m_target == target_state::draining && seen->m_slots == 35 &&
                  seen->m_service.m_value == "records");
        network.run(10s); // Rumours must stop circulating.
        for (network_node& node : network.nodes()) {
            node.m_bytes_in = node.m_bytes_out = 0;
        }
        network.run(20s);
        for (const network_node& node : network.nodes()) {
            cr_assert(node.m_bytes_in + node.m_bytes_out < 20 * 1200);
        }
    }
}

Test(member, a_killed_node_is_dead_to_all_and_a_new_life_is_alive)
{
    member_network network(2);
    start_fleet(network, 16);
    network.kill(5);
    network.run(15s);
    for (std::size_t index = 0; index < 16; ++index) {
        cr_assert(index == 5 || view(network, index, "node-5") == member_state::dead);
    }
    network.start_at(5, "node-5", 2);
    network.run(15s);
    cr_assert(converged(network));
}

Test(member, a_random_schedule_converges_once_the_network_heals)
{
    cr_assert(rc::check("after any loss, duplication, partition, pause or kill", [] {
        member_network network(*rc::gen::arbitrary<std::uint64_t>());
        const auto count = *rc::gen::inRange<std::size_t>(2, 9);
        start_fleet(network, count);
        std::map<std::size_t, std::uint64_t> restarts;
        std::map<std::pair<std::size_t, std::string>, std::pair<std::uint64_t, std::uint64_t>> newest;
        bool versions_monotonic = true;
        network.observe([&](std::size_t viewer, const member_record& record) {
            const auto version_key = std::make_pair(record.m_incarnation.m_value, record.m_version);
            auto& last = newest[{viewer, record.m_node.m_value}];
            versions_monotonic = versions_monotonic && version_key >= last;
            last = version_key;
        });
        const auto operation_count = *rc::gen::inRange(1, 10);
        for (int operation = 0; operation < operation_count; ++operation) {
            const auto index = *rc::gen::inRange<std::size_t>(0, count);
            network_node& node = network.nodes()[index];
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                network.faults() = {0.3, 0.3, operation % 2 == 0, 300us, 800ms};
                break;
            case 1:
                node.m_partition = 1 - node.m_partition;
                break;
            case 2:
                if (node.m_membership) {
                    network.kill(index);
                }
                break;
            case 3:
                if (!node.m_membership) {
                    network.start_at(index, "node-" + std::to_string(index), 2 + restarts[index]++);
                    for (std::size_t other = 0; other < count; ++other) {
                        newest.erase({index, "node-" + std::to_string(other)});
                    }
                }
                break;
            case 4:
                if (node.m_membership) {
                    network.pause(index, std::chrono::seconds(*rc::gen::inRange(1, 90)));
                }
                break;
            case 5:
                node.m_table_reachable = !node.m_table_reachable;
                break;
            default:
                if (node.m_membership) {
                    network.invoke(index, [&](membership& member, auto& out) {
                        member.set_target(network.now(), static_cast<target_state>(*rc::gen::inRange(0, 5)),
                                          {"records"}, 3, out);
                    });
                }
            }
            network.run(std::chrono::seconds(*rc::gen::inRange(0, 20)));
        }
        network.faults() = {};
        for (network_node& node : network.nodes()) {
            node.m_partition = 0;
            node.m_table_reachable = true;
        }
        network.run(90s);
        RC_ASSERT(converges(network, 180s));
        RC_ASSERT(versions_monotonic);
    }));
}

Test(member, partition_of_an_hour_heals_with_and_without_the_table)
{
    for (const bool with_table : {true, false}) {
        member_network network(3);
        start_fleet(network, 20);
        for (std::size_t index = 0; index < 20; ++index) {
            network.nodes()[index].m_partition = index < 10 ? 0 : 1;
            network.nodes()[index].m_table_reachable = with_table;
        }
        network.run(30s);
        cr_assert(network.nodes()[0].m_membership->likely_isolated(network.now()));
        cr_assert(view(network, 0, "node-15") == member_state::dead);
        cr_assert(view(network, 0, "node-5") == member_state::alive);
        network.run(60min);
        for (network_node& node : network.nodes()) {
            node.m_partition = 0;
        }
        cr_assert(converges(network, 120s));
        cr_assert(!network.nodes()[0].m_membership->likely_isolated(network.now()));
    }
}

Test(member, healing_a_partition_declares_no_node_dead)
{
    member_network network(4);
    start_fleet(network, 20);
    for (std::size_t index = 10; index < 20; ++index) {
        network.nodes()[index].m_partition = 1;
    }
    network.run(60s);
    bool died = false;
    network.observe([&](std::size_t, const member_record& record) {
        died = died || record.m_state == member_state::dead;
    });
    for (network_node& node : network.nodes()) {
        node.m_partition = 0;
    }
    cr_assert(converges(network, 120s));
    cr_assert(!died);
}

Test(member, a_paused_node_that_wakes_refutes_and_declares_nobody_dead)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        member_network network(seed);
        start_fleet(network, 12);
        network.pause(4, 60s);
        network.run(59s);
        cr_assert(view(network, 0, "node-4") == member_state::dead);
        bool reported_dead = false;
        network.observe([&](std::size_t viewer, const member_record& record) {
            reported_dead = reported_dead || (viewer == 4 && record.m_state == member_state::dead);
        });
        network.run(15s);
        cr_assert(converged(network) && !reported_dead, "seed %d", static_cast<int>(seed));
    }
}

Test(member, a_pause_does_not_use_up_the_time_in_which_a_suspect_may_refute)
{
    member_network network(15);
    start_fleet(network, 6);
    network.faults().m_drop_paused = true;
    network.pause(5, 4s);
    cr_assert(network.run_until(4s, [&] { return view(network, 0, "node-5") == member_state::suspect; }));
    network.pause(0, 60s);
    bool died = false;
    network.observe([&](std::size_t viewer, const member_record& record) {
        died = died || (viewer == 0 && record.m_state == member_state::dead);
    });
    network.run(80s);
    cr_assert(!died && converged(network));
}

Test(member, gossip_spreads_changes_and_deaths_while_the_table_is_down)
{
    member_network network(5);
    start_fleet(network, 8);
    for (network_node& node : network.nodes()) {
        node.m_table_reachable = false;
    }
    network.rows().clear();
    network.run(10min);
    cr_assert(converged(network));
    network.invoke(2, [&](membership& node, auto& out) {
        node.set_target(network.now(), target_state::ready, {"orders"}, 10, out);
    });
    network.run(5s);
    cr_assert(converged(network));
    network.kill(3);
    network.run(60s);
    cr_assert(view(network, 0, "node-3") == member_state::dead);
}

Test(member, a_node_that_knows_one_member_learns_the_others_from_it)
{
    member_network network(17);
    start_fleet(network, 100);
    const std::size_t newcomer = network.start("newcomer", 1);
    network.nodes()[newcomer].m_table_reachable = false;
    network.invoke(newcomer, [&](membership& node, auto& out) {
        node.add_registered(network.now(), {*network.rows().begin()}, out);
    });
    network.run(60s);
    cr_assert(converged(network));
    cr_assert(network.longest_payload() > 1000 && network.longest_payload() <= 1200);
}

Test(member, another_node_at_an_old_address_is_no_proof_of_life)
{
    member_network network(6);
    start_fleet(network, 8);
    network.kill(3);
    network.start_at(3, "newcomer", 1);
    network.run(20s);
    for (std::size_t index = 0; index < 8; ++index) {
        cr_assert(view(network, index, "node-3").value_or(member_state::dead) == member_state::dead);
        cr_assert(index == 3 || view(network, index, "newcomer") == member_state::alive);
    }
}

Test(member, an_answer_of_an_older_life_is_no_proof_of_the_newer)
{
    member_network network(7);
    start_fleet(network, 2);
    network.kill(1);
    network.start_at(1, "node-1", 5);
    network.run(20s);
    cr_assert(network.nodes()[0].m_membership->find({"node-1"})->m_incarnation.m_value == 5);
    network.kill(1);
    network.start_at(1, "node-1", 4);
    network.nodes()[1].m_table_reachable = false;
    network.run(3s);
    const member_record* const seen = network.nodes()[0].m_membership->find({"node-1"});
    cr_assert(seen->m_incarnation.m_value >= 5);
    network.run(30s);
    // The restarted process had a clock that was behind; it must adopt a higher incarnation.
    cr_assert(converged(network));
    cr_assert(network.nodes()[1].m_membership->self().m_incarnation.m_value > 5);
}

Test(member, a_leave_is_known_at_once_and_kept)
{
    member_network network(8);
    start_fleet(network, 30);
    network.invoke(9, [&](membership& node, auto& out) { node.leave(network.now(), out); });
    network.run(2s);
    for (std::size_t index = 0; index < 30; ++index) {
        cr_assert(index == 9 || view(network, index, "node-9") == member_state::left);
    }
    cr_assert(network.rows().count("member/node-9") == 0);
    network.kill(9);
    network.run(10min);
    cr_assert(view(network, 0, "node-9") == member_state::left);
}

Test(member, the_highest_revision_is_told_to_all)
{
    member_network network(9);
    start_fleet(network, 16);
    for (const std::uint64_t number : {7, 9, 8}) {
        network.invoke(1,
                       [&](membership& node, auto& out) { node.set_revision(network.now(), {number}, out); });
    }
    network.run(20s);
    for (std::size_t index = 2; index < 16; ++index) {
        cr_assert(network.nodes()[index].m_membership->find({"node-1"})->m_revision.m_value == 9);
    }
}

/** review/6: a node that the table turned away read the rows only 5 s after it was served again, and took
 * itself for the whole fleet meanwhile. */
Test(member, node_that_the_table_turned_away_found_the_fleet_late)
{
    member_network network(21);
    for (int index = 0; index < 8; ++index) {
        network.start("node-" + std::to_string(index), 1);
    }
    network.run(20s);
    const std::size_t joining = network.start("node-8", 1);
    const membership& joined = *network.nodes()[joining].m_membership;
    network.nodes()[joining].m_table_reachable = false;
    network.run(20s);
    cr_assert(!joined.has_joined(network.now()) && !joined.is_discoverable() && joined.members().empty());
    network.nodes()[joining].m_table_reachable = true;
    network.run(1500ms);
    cr_assert(joined.has_joined(network.now()) && joined.members().size() == 8);
    network.run(5s);
    cr_assert(joined.is_discoverable() && converged(network));
}

/** All processes are killed while the table is out of service, with rows of a former fleet or without any. */
Test(member, fleet_that_restarts_while_the_table_is_out_of_service_finds_itself_soon_after)
{
    for (const bool has_rows : {true, false}) {
        member_network network(22);
        for (int index = 0; index < 12; ++index) {
            network.start("node-" + std::to_string(index), 1);
        }
        network.run(20s);
        for (std::size_t index = 0; index < 12; ++index) {
            network.kill(index);
            network.nodes()[index].m_table_reachable = false;
            network.start_at(index, "node-" + std::to_string(index), 2);
        }
        if (!has_rows) {
            network.rows().clear();
        }
        network.run(30s);
        for (std::size_t index = 0; index < 12; ++index) {
            cr_assert(!network.nodes()[index].m_membership->has_joined(network.now()));
            network.nodes()[index].m_table_reachable = true;
        }
        network.run(3s);
        for (const network_node& node : network.nodes()) {
            cr_assert(node.m_membership->has_joined(network.now()));
            cr_assert(node.m_membership->members().size() == 11);
        }
    }
}

/** A node without any other one must serve too. */
Test(member, node_that_is_alone_has_joined_after_the_join_timeout)
{
    member_network network(23);
    network.start("node-0", 1);
    const membership& alone = *network.nodes()[0].m_membership;
    network.run(2s);
    cr_assert(!alone.has_joined(network.now()) && alone.is_discoverable());
    network.run(1500ms);
    cr_assert(alone.has_joined(network.now()));
}

Test(member, capacity_is_bounded_and_dead_members_are_evicted_first)
{
    member_settings settings;
    settings.m_member_capacity = 5;
    member_network network(10);
    const std::size_t small = network.start("small", 1, settings);
    for (int index = 0; index < 9; ++index) {
        network.start("node-" + std::to_string(index), 1);
    }
    network.run(90s);
    cr_assert(network.nodes()[small].m_membership->members().size() == 5);
    for (std::size_t index = 1; index <= 8; ++index) {
        network.kill(index);
    }
    network.run(5min);
    cr_assert(view(network, small, "node-8") == member_state::alive);
}

Test(member, dead_members_are_forgotten_and_their_rows_removed)
{
    member_settings settings;
    settings.m_dead_retention = 10min;
    member_network network(11);
    for (int index = 0; index < 6; ++index) {
        network.start("node-" + std::to_string(index), 1, settings);
    }
    network.run(30s);
    network.kill(2);
    network.run(90min);
    cr_assert(network.rows().count("member/node-2") == 0);
    for (std::size_t index = 0; index < 6; ++index) {
        cr_assert(index == 2 || !view(network, index, "node-2").has_value());
    }
    cr_assert(converged(network));
}

Test(member, a_node_cut_off_from_all_others_reports_isolation)
{
    member_network network(12);
    start_fleet(network, 40);
    cr_assert(!network.nodes()[0].m_membership->likely_isolated(network.now()));
    network.nodes()[0].m_partition = 1;
    network.run(15s);
    cr_assert(network.nodes()[0].m_membership->likely_isolated(network.now()));
    cr_assert(!network.nodes()[1].m_membership->likely_isolated(network.now()));
    network.nodes()[0].m_partition = 0;
    cr_assert(converges(network, 90s));
    cr_assert(!network.nodes()[0].m_membership->likely_isolated(network.now()));
}

Test(member, loss_of_a_quarter_is_not_reported_as_isolation)
{
    member_network network(13);
    start_fleet(network, 40);
    for (std::size_t index = 0; index < 40; index += 4) {
        network.kill(index);
    }
    bool isolated = false;
    for (int second = 0; second < 30; ++second) {
        network.run(1s);
        for (std::size_t index = 1; index < 40; index += 4) {
            isolated = isolated || network.nodes()[index].m_membership->likely_isolated(network.now());
        }
    }
    cr_assert(!isolated && converged(network));
}

Test(member, datagram_size_and_traffic_are_bounded_under_failures)
{
    member_network network(14);
    start_fleet(network, 100);
    for (std::size_t index = 0; index < 50; ++index) {
        network.invoke(index, [&](membership& node, auto& out) {
            node.set_target(network.now(), target_state::ready, {"records"}, 35, out);
        });
    }
    for (std::size_t index = 50; index < 75; ++index) {
        network.kill(index);
    }
    for (network_node& node : network.nodes()) {
        node.m_bytes_in = node.m_bytes_out = 0;
    }
    network.run(30s);
    cr_assert(network.longest_payload() <= 1200 && network.longest_payload() > 600);
    cr_assert(converged(network));
    for (const network_node& node : network.nodes()) {
        cr_assert(node.m_bytes_in + node.m_bytes_out <= 30 * 9000);
    }
}

Test(member, cost_does_not_grow_with_the_fleet)
{
    std::vector<double> bytes;
    for (const std::size_t count : {10, 100}) {
        member_network network(16);
        start_fleet(network, count);
        network.run(120s);
        for (network_node& node : network.nodes()) {
            node.m_bytes_in = node.m_bytes_out = 0;
        }
        network.run(60s);
        double sum = 0;
        for (const network_node& node : network.nodes()) {
            sum += static_cast<double>(node.m_bytes_in + node.m_bytes_out);
        }
        bytes.push_back(sum / static_cast<double>(count) / 60);
    }
    cr_assert(bytes[1] < 1.1 * bytes[0] && bytes[1] < 1000, "%f %f", bytes[0], bytes[1]);
}

/** The rows serve to find others; once all are known, reading them must not cost more with more nodes. */
Test(member, calls_to_the_table_do_not_grow_with_the_fleet)
{
    std::map<std::size_t, std::size_t> calls;
    for (const std::size_t count : {20U, 80U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            member_network network(seed);
            start_fleet(network, count);
            const std::size_t before = network.table_calls();
            network.run(8min);
            calls[count] += network.table_calls() - before;
        }
    }
    cr_assert(calls[80] * 2 <= calls[20] * 3, "%zu and %zu calls", calls[20], calls[80]);
}
