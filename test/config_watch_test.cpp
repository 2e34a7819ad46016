/** @file config_watch_test.cpp Tests of a fleet in which a few nodes watch the configuration and the others
 * learn of it by gossip. */
#include "config/config.h"
#include "test/member_network.h"

#include <criterion/criterion.h>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 2ms;       ///< Resolution of the simulation, and delay of messages between nodes.
constexpr duration feed_delay = 5ms; ///< Until a watcher is told of a change.
constexpr duration check_interval = 950ms; ///< Between the checks of the table by a watcher.

/** Returns the configuration of revision @p number. */
std::string text_of(std::uint64_t number)
{
    config_set set;
    const caller_name name{"c"};
    set.m_callers[name] = caller_object{name, share_settings{static_cast<double>(number), 100.0, 1.0}};
    return write_config(set);
}

revision_info info_of(std::uint64_t number)
{
    return revision_info{revision{number}, digest_of(text_of(number)), {"id", "w", "y", {}}, "s"};
}

/** Distribution of revisions on one node. */
struct watch_node {
    spread m_spread;
    watch_election m_election;
    bool m_is_watching = false;
    bool m_has_store = true;   ///< Whether it reaches the table.
    instant m_checked_at{};    ///< When it last checked the table.
    bool m_is_running = true;  ///< Whether its process runs.
    std::uint64_t m_known = 0; ///< Revision that its watch has reported.
};

/** Message between the distributions of two nodes. */
struct spread_in_flight {
    std::size_t m_from;
    std::size_t m_to;
    std::string m_payload;
    instant m_arrives_at;
};

/** Fleet on a simulated network, with a head row that only watchers are told of. */
class watch_fleet {
public:
    watch_fleet(std::size_t count, std::uint64_t seed) : m_network(seed)
    {
        m_network.observe([this](std::size_t index, const member_record& record) {
            m_nodes[index].m_election.put(record);
            m_nodes[index].m_spread.on_peer_revision(m_network.now(), record.m_node, record.m_revision,
                                                     m_actions[index]);
        });
        for (std::size_t index = 0; index < count; ++index) {
            const node_id name{"node-" + std::to_string(index)};
            m_names[name.m_value] = index;
            m_nodes.push_back({spread(spread_settings{}, seed + index),
                               watch_election(name, {"eg-north-" + std::to_string(index % 4 + 1)},
                                              watch_settings{}, seed + index)});
            m_actions.emplace_back();
            m_network.start(name.m_value, 1);
        }
    }

    void run(duration length)
    {
        for (const instant end = m_network.now() + length; m_network.now() < end;) {
            m_network.run(step);
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                advance(index);
            }
            deliver();
        }
    }

    /** Ends the process of node @p index. */
    void kill(std::size_t index)
    {
        m_network.kill(index);
        m_nodes[index].m_is_running = false;
    }

    /** Makes the table turn away the nodes that watch it now, and no others. */
    void refuse_watchers()
    {
        for (watch_node& node : m_nodes) {
            node.m_has_store = !node.m_is_watching;
        }
    }

    /** Makes the table answer all nodes, or none. */
    void set_table_available(bool is_available)
    {
        for (watch_node& node : m_nodes) {
            node.m_has_store = is_available;
        }
    }

    /** Accepts the revision @p number. */
    void publish(std::uint64_t number)
    {
        m_head = number;
        m_published_at = m_network.now();
    }

    std::size_t watcher_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_nodes.begin(), m_nodes.end(), [](const watch_node& node) { return node.m_is_watching; }));
    }

    /** Returns the number of running nodes on which the newest revision is in force. */
    std::size_t current_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [this](const watch_node& node) {
                return node.m_is_running && node.m_spread.in_force().m_value == m_head;
            }));
    }

    /** Publishes @p number and runs for at most @p limit. @return the time until it is in force on all
     * running nodes, or @p limit. */
    duration time_to_reach_all(std::uint64_t number, duration limit)
    {
        publish(number);
        const auto running = static_cast<std::size_t>(std::count_if(
            m_nodes.begin(), m_nodes.end(), [](const auto& node) { return node.m_is_running; }));
        duration passed{};
        while (passed < limit && current_count() < running) {
            run(step);
            passed += step;
        }
        return passed;
    }

    member_network m_network;
    std::vector<watch_node> m_nodes;
    std::size_t m_head_reads = 0; ///< Reads of the head row and objects, by all nodes.
    std::size_t m_attempts = 0;   ///< Attempts to replace the watchers, by all nodes.

private:
    void advance(std::size_t index)
    {
        watch_node& node = m_nodes[index];
        network_node& member = m_network.nodes()[index];
        if (!node.m_is_running) {
            return;
        }
        const instant now = m_network.now();
        if (member.m_bytes_in > 0) {
            node.m_election.on_message(now);
            member.m_bytes_in = 0;
        }
        const watch_action duty = node.m_election.update(now, member.m_membership->likely_isolated(now),
                                                         member.m_membership->contacts());
        if (duty == watch_action::attempt) {
            attempt(index);
        }
        const bool is_watching = duty == watch_action::watch;
        if (is_watching != node.m_is_watching) {
            node.m_is_watching = is_watching;
            node.m_known = 0;
            node.m_spread.set_watching(now, is_watching);
        }
        if (node.m_is_watching && node.m_has_store && node.m_checked_at + check_interval <= now) {
            node.m_checked_at = now;
            member.m_membership->add_table_contacts(
                {now, node.m_election.is_elected() ? std::optional(now) : std::nullopt});
        }
        if (node.m_is_watching && node.m_has_store && node.m_known < m_head &&
            m_published_at + feed_delay <= now) {
            node.m_known = m_head;
            ++m_head_reads;
            node.m_spread.on_head(now, std::optional(info_of(m_head)), m_actions[index]);
        }
        if (node.m_spread.next_tick() <= now) {
            node.m_spread.tick(now, m_actions[index]);
        }
        while (!m_actions[index].empty()) {
            for (const spread_action& action : std::exchange(m_actions[index], {})) {
                execute(index, action);
            }
        }
    }

    /** Reads the head row on node @p index, in order to replace the watchers. */
    void attempt(std::size_t index)
    {
        watch_node& node = m_nodes[index];
        ++m_attempts;
        node.m_election.on_attempt(m_network.now(), node.m_has_store);
        if (node.m_has_store) {
            m_network.nodes()[index].m_membership->add_table_contacts({m_network.now(), std::nullopt});
            execute(index, spread_read_head{});
        }
    }

    void execute(std::size_t index, const spread_action& action)
    {
        watch_node& node = m_nodes[index];
        const instant now = m_network.now();
        const auto failed = fail(error_code::unavailable, "fault");
        if (const auto* send = std::get_if<spread_send>(&action)) {
            m_in_flight.push_back({index, m_names.at(send->m_peer.m_value), send->m_payload, now + step});
        }
        else if (std::holds_alternative<spread_read_head>(action)) {
            ++m_head_reads;
            const auto head = m_head == 0 ? std::nullopt : std::optional(info_of(m_head));
            node.m_has_store ? node.m_spread.on_head(now, head, m_actions[index])
                             : node.m_spread.on_head(now, failed, m_actions[index]);
        }
        else if (std::holds_alternative<spread_get_object>(action)) {
            const std::string name = object_name(digest_of(text_of(m_head)));
            node.m_has_store
                ? node.m_spread.on_object(now, name, std::optional(text_of(m_head)), m_actions[index])
                : node.m_spread.on_object(now, name, failed, m_actions[index]);
        }
        else if (const auto* applied = std::get_if<spread_in_force>(&action)) {
            m_network.invoke(index, [&](membership& member, auto& out) {
                member.set_revision(now, applied->m_info.m_revision, out);
            });
        }
    }

    void deliver()
    {
        for (const spread_in_flight& message : std::exchange(m_in_flight, {})) {
            if (message.m_arrives_at > m_network.now()) {
                m_in_flight.push_back(message);
            }
            else if (m_nodes[message.m_to].m_is_running && m_nodes[message.m_from].m_is_running) {
                m_nodes[message.m_to].m_spread.on_message(m_network.now(),
                                                          {"node-" + std::to_string(message.m_from)},
                                                          message.m_payload, m_actions[message.m_to]);
            }
        }
    }

    std::vector<std::vector<spread_action>> m_actions;
    std::vector<spread_in_flight> m_in_flight;
    std::map<std::string, std::size_t> m_names;
    std::uint64_t m_head = 0;
    instant m_published_at{};
};

} // namespace

/** A change costs calls by the number of data centres, not of nodes, and is in force everywhere within two
 * seconds. */
Test(config_watch, a_few_nodes_watch_and_all_learn_of_a_change)
{
    for (const std::size_t count : {16U, 60U, 200U}) {
        watch_fleet fleet(count, count);
        fleet.run(25s);
        cr_expect(fleet.watcher_count() == 12, "%zu watchers of %zu nodes", fleet.watcher_count(), count);
        fleet.m_head_reads = 0;
        const duration taken = fleet.time_to_reach_all(1, 3s);
        cr_expect(taken <= 2s, "%zu nodes: %ld ms", count, to_milliseconds(taken));
        // A node whose neighbours have just put the revision in force may read the row after a lost answer.
        cr_expect(fleet.m_head_reads <= 30, "%zu nodes: %zu reads", count, fleet.m_head_reads);
    }
}

/** One datagram in twenty is lost, and the first revision exists only after the start of all nodes. */
Test(config_watch, a_change_reaches_all_in_time_where_datagrams_are_lost)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        watch_fleet fleet(60, seed);
        fleet.m_network.faults().m_loss_ratio = 0.05;
        fleet.run(4s);
        for (std::uint64_t number = 1; number <= 5; ++number) {
            const duration taken = fleet.time_to_reach_all(number, 3s);
            cr_expect(taken <= 2s, "seed %lu: %ld ms", seed, to_milliseconds(taken));
            fleet.run(300ms);
        }
    }
}

/** All but one of the watchers are killed, or can't reach the table, just before a change. */
Test(config_watch, one_watcher_that_reaches_the_table_is_enough)
{
    for (const bool is_killed : {true, false}) {
        watch_fleet fleet(60, 5);
        fleet.run(25s);
        std::size_t left = 0;
        for (std::size_t index = 0; index < fleet.m_nodes.size(); ++index) {
            watch_node& node = fleet.m_nodes[index];
            if (node.m_is_watching && left++ > 0) {
                is_killed ? fleet.kill(index) : static_cast<void>(node.m_has_store = false);
            }
        }
        const duration taken = fleet.time_to_reach_all(1, 3s);
        cr_expect(taken <= 2s, "%ld ms", to_milliseconds(taken));
    }
}

/** All watchers are lost: others take over once these are suspected, long before they are declared dead. */
Test(config_watch, others_take_over_from_lost_watchers)
{
    watch_fleet fleet(60, 6);
    fleet.run(25s);
    for (std::size_t index = 0; index < fleet.m_nodes.size(); ++index) {
        if (fleet.m_nodes[index].m_is_watching) {
            fleet.kill(index);
        }
    }
    const duration taken = fleet.time_to_reach_all(1, 10s);
    cr_expect(taken <= 5s, "%ld ms", to_milliseconds(taken));
}

/** No datagram reaches a node, but the table does. */
Test(config_watch, a_node_that_hears_nothing_watches_by_itself)
{
    watch_fleet fleet(60, 7);
    fleet.run(25s);
    const auto node = std::find_if(fleet.m_nodes.begin(), fleet.m_nodes.end(),
                                   [](const watch_node& each) { return !each.m_is_watching; });
    fleet.m_network.nodes()[static_cast<std::size_t>(node - fleet.m_nodes.begin())].m_partition = 1;
    fleet.run(3s);
    cr_expect(node->m_is_watching);
    fleet.publish(1);
    fleet.run(100ms);
    cr_expect(node->m_spread.in_force().m_value == 1);
}

/** review/12: a watcher that the table turns away is alive, so nobody took its place. A revision was not in
 * force before the table answered the watchers again. */
Test(config_watch, watchers_that_the_table_turns_away_were_not_replaced)
{
    for (const std::size_t count : {16U, 60U, 200U}) {
        for (const duration lead : {0ms, 200ms, 4000ms}) {
            watch_fleet fleet(count, count);
            fleet.run(25s);
            fleet.refuse_watchers();
            fleet.run(lead);
            const duration taken = fleet.time_to_reach_all(1, 20s);
            cr_expect(taken <= 7s, "%zu nodes, refused %ld ms before: %ld ms", count, to_milliseconds(lead),
                      to_milliseconds(taken));
        }
    }
}

/** The table turns away those who take over, too. */
Test(config_watch, successors_that_the_table_turns_away_are_replaced)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        watch_fleet fleet(60, seed);
        fleet.run(8s);
        for (int round = 0; round < 3; ++round) {
            fleet.refuse_watchers();
            fleet.run(7s);
        }
        const duration taken = fleet.time_to_reach_all(1, 20s);
        cr_expect(taken <= 7s, "seed %lu: %ld ms", seed, to_milliseconds(taken));
    }
}

/** Only the nodes of one data centre reach each other, and the table turns away those that watch there. */
Test(config_watch, watchers_of_a_data_centre_that_is_cut_off_are_replaced)
{
    watch_fleet fleet(60, 8);
    fleet.run(25s);
    for (std::size_t index = 0; index < fleet.m_nodes.size(); index += 4) {
        fleet.m_network.nodes()[index].m_partition = 1;
        fleet.m_nodes[index].m_has_store = !fleet.m_nodes[index].m_is_watching;
    }
    fleet.run(1s);
    const duration taken = fleet.time_to_reach_all(1, 20s);
    cr_expect(taken <= 7s, "%ld ms", to_milliseconds(taken));
}

/** A substitute resigns once elected nodes reach the table again. */
Test(config_watch, substitutes_watch_only_while_the_elected_nodes_cannot)
{
    watch_fleet fleet(60, 9);
    fleet.run(25s);
    fleet.refuse_watchers();
    fleet.run(12s);
    cr_expect(fleet.watcher_count() > 12, "%zu", fleet.watcher_count());
    fleet.set_table_available(true);
    fleet.run(8s);
    cr_expect(fleet.watcher_count() == 12, "%zu", fleet.watcher_count());
}

/** What replaces the watchers must cost nothing while they reach the table, and little in an outage. */
Test(config_watch, nodes_attempt_to_watch_only_while_no_watcher_reaches_the_table)
{
    for (const std::size_t count : {4U, 16U, 60U, 200U}) {
        watch_fleet fleet(count, count);
        fleet.run(40s);
        cr_expect(fleet.m_attempts == 0, "%zu nodes: %zu attempts", count, fleet.m_attempts);
        fleet.set_table_available(false);
        fleet.run(20s);
        const std::size_t limit = 20 * watch_settings{}.m_attempts_per_second + 10;
        cr_expect(fleet.m_attempts <= limit, "%zu nodes: %zu attempts", count, fleet.m_attempts);
    }
}
