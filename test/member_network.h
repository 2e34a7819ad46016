/** @file member_network.h Several membership objects under given time, joined by a network and a table in
 * memory. */
#ifndef WAXWING_TEST_MEMBER_NETWORK_H
#define WAXWING_TEST_MEMBER_NETWORK_H

#include "member/member.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace waxwing {

/** What the network does to datagrams. */
struct network_faults {
    double m_loss = 0;          ///< Share lost.
    double m_doubled = 0;       ///< Share that come twice.
    bool m_drop_paused = false; ///< Whether what comes to a paused process is lost.
    duration m_min_delay = std::chrono::microseconds(300); ///< Shortest way.
    duration m_max_delay = std::chrono::milliseconds(2);   ///< Longest way; more than the shortest reorders.
};

/** One process: a membership object at an address. */
struct network_node {
    std::unique_ptr<membership> m_membership; ///< Null while the process is dead.
    endpoint m_address;                       ///< Where it receives.
    int m_side = 0;                           ///< Nodes of different sides can't reach each other.
    instant m_resumes{};                      ///< Paused until then.
    bool m_sees_table = true;                 ///< Whether the table answers it.
    std::uint64_t m_bytes_in = 0;             ///< With the headers of IP and UDP, and the proof of the key.
    std::uint64_t m_bytes_out = 0;            ///< Likewise.
    std::uint64_t m_messages = 0;             ///< Sent and received.
};

/** The fleet. Thread safety: none needed; one owner. */
class member_network {
public:
    using observer = std::function<void(std::size_t node, const member_record& record)>;

    explicit member_network(std::uint64_t seed) : m_random(seed) {}

    /** Starts a process named @p name as node number nodes().size(). */
    std::size_t start(const std::string& name, std::uint64_t life, const member_settings& settings = {})
    {
        const std::size_t index = m_nodes.size();
        m_nodes.emplace_back();
        const std::string host =
            "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
        m_nodes.back().m_address = {host, 7400};
        place(index, name, life, settings);
        return index;
    }

    /** Starts a process named @p name at the address of @p index. @pre None runs there. */
    void place(std::size_t index, const std::string& name, std::uint64_t life,
               const member_settings& settings = {})
    {
        network_node& node = m_nodes[index];
        member_record self;
        self.m_node = {name};
        self.m_incarnation = {life};
        self.m_gossip = node.m_address;
        self.m_link = {node.m_address.m_host, 7401};
        self.m_region = {"eg-north"};
        self.m_data_centre = {"eg-north-" + std::to_string(index % 4 + 1)};
        node.m_membership = std::make_unique<membership>(settings, self, m_random());
        node.m_resumes = instant{};
        m_addresses[to_string(node.m_address)] = index;
        schedule(index);
    }

    /** Ends the process @p index at once, without a word. */
    void kill(std::size_t index)
    {
        m_nodes[index].m_membership.reset();
        m_ticks.erase({m_tick_of[index], index});
        m_tick_of.erase(index);
    }

    /** Stops the process @p index for @p length; its datagrams wait. */
    void pause(std::size_t index, duration length)
    {
        m_nodes[index].m_resumes = m_now + length;
        schedule(index);
    }

    /** Runs until @p length has passed. */
    void run(duration length)
    {
        const instant end = m_now + length;
        while (step(end)) {
        }
        m_now = end;
    }

    /** Runs until @p done, which is asked after each event, or until @p limit has passed. @return the time
     * taken. */
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

    /** Does what membership @p index asked for. */
    void act(std::size_t index, const std::vector<member_action>& actions)
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

    /** Calls @p deed with membership @p index and does what it asks for. */
    void with(std::size_t index, const std::function<void(membership&, std::vector<member_action>&)>& deed)
    {
        std::vector<member_action> actions;
        deed(*m_nodes[index].m_membership, actions);
        act(index, actions);
    }

    /** Hands @p payload to @p index as if it had come from the address of @p from. */
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
        act(index, actions);
    }

    std::vector<network_node>& nodes() { return m_nodes; }        ///< All processes, dead ones included.
    std::map<std::string, std::string>& rows() { return m_rows; } ///< The table.
    instant now() const { return m_now; }                         ///< The present time.
    network_faults& faults() { return m_faults; }                 ///< To be changed at any time.
    void observe(observer on_change) { m_observer = std::move(on_change); } ///< Sees each member_change.
    random_source& random() { return m_random; }                            ///< The source of all chance.

private:
    struct datagram_in_flight {
        std::size_t m_to;      ///< Whom it reaches.
        endpoint m_from;       ///< Who sent it.
        std::string m_payload; ///< What it says.
    };

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    void schedule(std::size_t index)
    {
        const auto old = m_tick_of.find(index);
        if (old != m_tick_of.end()) {
            m_ticks.erase({old->second, index});
        }
        const instant due =
            std::max({m_nodes[index].m_membership->next_tick(), m_now, m_nodes[index].m_resumes});
        m_tick_of[index] = due;
        m_ticks.insert({due, index});
    }

    void transmit(std::size_t index, const member_send& out)
    {
        network_node& sender = m_nodes[index];
        constexpr std::size_t frame_bytes = 44;
        sender.m_bytes_out += out.m_payload.size() + frame_bytes;
        ++sender.m_messages;
        m_longest = std::max(m_longest, out.m_payload.size());
        const auto to = m_addresses.find(to_string(out.m_to));
        if (to == m_addresses.end() || m_nodes[to->second].m_side != sender.m_side) {
            return;
        }
        const int copies = (chance(m_faults.m_loss) ? 0 : 1) + (chance(m_faults.m_doubled) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            std::uniform_int_distribution<std::int64_t> way(m_faults.m_min_delay.count(),
                                                            m_faults.m_max_delay.count());
            m_in_flight.emplace(m_now + duration(way(m_random)),
                                datagram_in_flight{to->second, sender.m_address, out.m_payload});
        }
    }

    void write_row(std::size_t index, const member_register& row)
    {
        if (!m_nodes[index].m_sees_table) {
            return;
        }
        if (row.m_remove) {
            m_rows.erase(row.m_key);
            return;
        }
        m_rows[row.m_key] = row.m_value;
    }

    void read_rows(std::size_t index)
    {
        if (!m_nodes[index].m_sees_table) {
            return;
        }
        std::vector<member_action> actions;
        m_nodes[index].m_membership->add_registered(m_now, {m_rows.begin(), m_rows.end()}, actions);
        act(index, actions);
    }

    /** Does the next event up to @p end; false where there is none. */
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
            if (node.m_resumes > m_now) {
                if (!m_faults.m_drop_paused) {
                    m_in_flight.emplace(node.m_resumes, std::move(datagram));
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
        act(index, actions);
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
    std::size_t m_longest = 0;

public:
    std::size_t longest_payload() const { return m_longest; } ///< Bytes of the longest datagram so far.
};

} // namespace waxwing

#endif
