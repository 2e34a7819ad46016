/** @file member_network.h Simulated fleet: membership objects with simulated time, network and platform
 * table. */
#ifndef WAXWING_TEST_MEMBER_NETWORK_H
#define WAXWING_TEST_MEMBER_NETWORK_H

#include "member/member.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace waxwing {

/** Faults and delays of the simulated network. */
struct network_faults {
    double m_loss_ratio = 0;      ///< Ratio of datagrams lost.
    double m_duplicate_ratio = 0; ///< Ratio of datagrams duplicated.
    bool m_drop_paused = false;   ///< Whether datagrams to a paused process are lost.
    duration m_min_delay = std::chrono::microseconds(300); ///< Minimum delivery delay.
    /** Maximum delivery delay; above the minimum, datagrams are reordered. */
    duration m_max_delay = std::chrono::milliseconds(2);
};

/** One simulated process: a membership object at an address. */
struct network_node {
    std::unique_ptr<membership> m_membership; ///< Null while the process is not running.
    endpoint m_address;                       ///< Gossip address.
    int m_partition = 0;                      ///< Nodes in different partitions cannot reach each other.
    instant m_resumes_at{};                   ///< End of the pause.
    bool m_table_reachable = true;            ///< Whether it can read and write the table.
    std::uint64_t m_bytes_in = 0;  ///< Bytes received, with IP and UDP headers and the authentication tag.
    std::uint64_t m_bytes_out = 0; ///< Bytes sent, counted likewise.
    std::uint64_t m_messages = 0;  ///< Datagrams sent and received.
};

/** Simulated fleet. Thread safety: none needed; one owner. */
class member_network {
public:
    using observer = std::function<void(std::size_t node, const member_record& record)>;

    explicit member_network(std::uint64_t seed) : m_random(seed) {}

    /** Starts a process named @p name as node number nodes().size(). */
    std::size_t start(const std::string& name, std::uint64_t incarnation_value,
                      const member_settings& settings = {})
    {
        const std::size_t index = m_nodes.size();
        m_nodes.emplace_back();
        const std::string host =
            "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
        m_nodes.back().m_address = {host, 7400};
        start_at(index, name, incarnation_value, settings);
        return index;
    }

    /** Starts a process named @p name at the address of @p index. @pre No process runs there. */
    void start_at(std::size_t index, const std::string& name, std::uint64_t incarnation_value,
                  const member_settings& settings = {})
    {
        network_node& node = m_nodes[index];
        member_record self;
        self.m_node = {name};
        self.m_incarnation = {incarnation_value};
        self.m_gossip = node.m_address;
        self.m_link = {node.m_address.m_host, 7401};
        self.m_region = {"eg-north"};
        self.m_data_centre = {"eg-north-" + std::to_string(index % 4 + 1)};
        node.m_membership = std::make_unique<membership>(settings, self, m_random());
        node.m_resumes_at = instant{};
        m_addresses[to_string(node.m_address)] = index;
        schedule(index);
    }

    /** Ends the process @p index without a leave message. */
    void kill(std::size_t index)
    {
        m_nodes[index].m_membership.reset();
        m_ticks.erase({m_tick_of[index], index});
        m_tick_of.erase(index);
    }

    /** Pauses the process @p index for @p length. Its datagrams wait, unless m_drop_paused is set. */
    void pause(std::size_t index, duration length)
    {
        m_nodes[index].m_resumes_at = m_now + length;
        schedule(index);
    }

    /** Runs for @p length. */
    void run(duration length)
    {
        const instant end = m_now + length;
        while (step(end)) {
        }
        m_now = end;
    }

    /** Runs until @p done, which is evaluated after each event, returns true, or until @p limit has passed.
     * @return the time taken, or nullopt at the limit. */
    std::optional<duration> run_until(duration limit, const std::function<bool()>& done)
    {
        const instant begin = m_now;
        while (!done()) {
            if (!step(begin + limit)) {
                m_now = begin + limit;
                return done() ? std::optional<duration>(limit) : std::nullopt;
            }
        }
        return m_now - begin;
    }

    /** Executes @p actions of membership @p index. */
    void execute(std::size_t index, const std::vector<member_action>& actions)
    {
        for (const member_action& action : actions) {
            if (const auto* out = std::get_if<member_send>(&action)) {
                transmit(index, *out);
            }
            else if (const auto* change = std::get_if<member_change>(&action)) {
                if (m_observer) {
                    m_observer(index, change->m_record);
                }
            }
            else if (const auto* news = std::get_if<member_revision>(&action)) {
                if (m_observer) {
                    m_observer(index, *m_nodes[index].m_membership->find(news->m_node));
                }
            }
            else if (const auto* row = std::get_if<member_register>(&action)) {
                write_row(index, *row);
            }
            else {
                read_rows(index);
            }
        }
        if (m_nodes[index].m_membership) {
            schedule(index);
        }
    }

    /** Calls @p operation on membership @p index and executes the resulting actions. */
    void invoke(std::size_t index,
                const std::function<void(membership&, std::vector<member_action>&)>& operation)
    {
        std::vector<member_action> actions;
        operation(*m_nodes[index].m_membership, actions);
        execute(index, actions);
    }

    /** Delivers @p payload to @p index as a datagram from @p from. */
    void deliver(std::size_t index, const endpoint& from, const std::string& payload)
    {
        network_node& node = m_nodes[index];
        if (!node.m_membership) {
            return;
        }
        constexpr std::size_t frame_bytes = 44;
        node.m_bytes_in += payload.size() + frame_bytes;
        ++node.m_messages;
        std::vector<member_action> actions;
        node.m_membership->receive(m_now, from, payload, actions);
        execute(index, actions);
    }

    std::vector<network_node>& nodes() { return m_nodes; } ///< All processes, including those not running.
    std::map<std::string, std::string>& rows() { return m_rows; } ///< Rows of the table.
    instant now() const { return m_now; }                         ///< Simulated time.
    network_faults& faults() { return m_faults; }                 ///< Can be changed at any time.
    /** Sets the callback for each member_change. */
    void observe(observer on_change) { m_observer = std::move(on_change); }
    random_source& random() { return m_random; } ///< The only random source.

private:
    struct datagram_in_flight {
        std::size_t m_to;      ///< Index of the receiver.
        endpoint m_from;       ///< Address of the sender.
        std::string m_payload; ///< Content.
    };

    bool draw_event(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    void schedule(std::size_t index)
    {
        const auto old = m_tick_of.find(index);
        if (old != m_tick_of.end()) {
            m_ticks.erase({old->second, index});
        }
        const instant next_at =
            std::max({m_nodes[index].m_membership->next_tick(), m_now, m_nodes[index].m_resumes_at});
        m_tick_of[index] = next_at;
        m_ticks.insert({next_at, index});
    }

    void transmit(std::size_t index, const member_send& out)
    {
        network_node& sender = m_nodes[index];
        constexpr std::size_t frame_bytes = 44;
        sender.m_bytes_out += out.m_payload.size() + frame_bytes;
        ++sender.m_messages;
        m_longest_payload = std::max(m_longest_payload, out.m_payload.size());
        const auto to = m_addresses.find(to_string(out.m_to));
        if (to == m_addresses.end() || m_nodes[to->second].m_partition != sender.m_partition) {
            return;
        }
        const int copies =
            (draw_event(m_faults.m_loss_ratio) ? 0 : 1) + (draw_event(m_faults.m_duplicate_ratio) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            std::uniform_int_distribution<std::int64_t> delay(m_faults.m_min_delay.count(),
                                                              m_faults.m_max_delay.count());
            m_in_flight.emplace(m_now + duration(delay(m_random)),
                                datagram_in_flight{to->second, sender.m_address, out.m_payload});
        }
    }

    void write_row(std::size_t index, const member_register& row)
    {
        ++m_table_calls;
        const bool is_reachable = m_nodes[index].m_table_reachable;
        if (is_reachable && row.m_remove) {
            m_rows.erase(row.m_key);
        }
        else if (is_reachable) {
            m_rows[row.m_key] = row.m_value;
        }
        if (!row.m_remove) {
            m_nodes[index].m_membership->on_registered(m_now, is_reachable);
        }
    }

    void read_rows(std::size_t index)
    {
        ++m_table_calls;
        if (!m_nodes[index].m_table_reachable) {
            m_nodes[index].m_membership->on_discovery_failed(m_now);
            return;
        }
        std::vector<member_action> actions;
        m_nodes[index].m_membership->add_registered(m_now, {m_rows.begin(), m_rows.end()}, actions);
        execute(index, actions);
    }

    /** Executes the next event up to @p end. @return false if there is none. */
    bool step(instant end)
    {
        const instant tick = m_ticks.empty() ? instant::max() : m_ticks.begin()->first;
        const instant arrival = m_in_flight.empty() ? instant::max() : m_in_flight.begin()->first;
        if (std::min(tick, arrival) > end) {
            return false;
        }
        if (arrival <= tick) {
            m_now = arrival;
            datagram_in_flight datagram = std::move(m_in_flight.begin()->second);
            m_in_flight.erase(m_in_flight.begin());
            const network_node& node = m_nodes[datagram.m_to];
            if (node.m_resumes_at > m_now) {
                if (!m_faults.m_drop_paused) {
                    m_in_flight.emplace(node.m_resumes_at, std::move(datagram));
                }
                return true;
            }
            deliver(datagram.m_to, datagram.m_from, datagram.m_payload);
            return true;
        }
        m_now = tick;
        const std::size_t index = m_ticks.begin()->second;
        std::vector<member_action> actions;
        m_nodes[index].m_membership->tick(m_now, actions);
        execute(index, actions);
        return true;
    }

    random_source m_random;
    network_faults m_faults;
    instant m_now{std::chrono::hours(100)};
    std::vector<network_node> m_nodes;
    std::map<std::string, std::size_t> m_addresses;
    std::map<std::string, std::string> m_rows;
    std::multimap<instant, datagram_in_flight> m_in_flight;
    std::set<std::pair<instant, std::size_t>> m_ticks;
    std::map<std::size_t, instant> m_tick_of;
    observer m_observer;
    std::size_t m_longest_payload = 0;
    std::size_t m_table_calls = 0;

public:
    /** Number of reads and writes of the table so far. */
    std::size_t table_calls() const { return m_table_calls; }
    /** Bytes of the longest payload sent so far. */
    std::size_t longest_payload() const { return m_longest_payload; }
};

} // namespace waxwing

#endif
