/** @file confirmation_world.h Nodes that confirm their revision by a store and by each other, for tests. */
#ifndef WAXWING_TEST_CONFIRMATION_WORLD_H
#define WAXWING_TEST_CONFIRMATION_WORLD_H

#include "config/config.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace waxwing::model {

/** A process of a node, and what it can reach. */
struct confirmed_node {
    confirmation m_state;         ///< Under test.
    duration m_clock_offset;      ///< The machine's boot clock less the time of the world.
    bool m_is_watching;           ///< Whether it checks the store each second.
    std::uint64_t m_in_force = 0; ///< Revision in force.
    std::uint64_t m_process = 1;  ///< Counts restarts; answers to calls of earlier processes are dropped.
    bool m_reaches_store = true;  ///< Whether its calls to the store are answered.
    bool m_reaches_peers = true;  ///< Whether its messages are delivered.
    duration m_frozen_until{};    ///< The process runs nothing before.
    duration m_next_check_at{};   ///< When a node that watches reads the store next.
};

/** Nodes node-0, node-1, ... with a store whose head row is the revision that was published last. The boot
 * clocks of the machines differ by hours. */
class confirmation_world {
public:
    static constexpr duration step = std::chrono::milliseconds(10);

    confirmation_world(std::size_t count, std::size_t watcher_count, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_nodes.push_back({make_state(), std::chrono::hours(draw(1, 99)), index < watcher_count});
            m_nodes.back().m_state.set_watching(index < watcher_count);
        }
        publish();
        for (std::size_t index = 0; index < count; ++index) {
            put_in_force(index, 1);
        }
    }

    void publish() { m_published_at.push_back(m_now); }

    /** Ends the process of @p index and starts another, which soon puts a revision of a peer in force. */
    void restart(std::size_t index)
    {
        confirmed_node& node = m_nodes[index];
        node.m_state = make_state();
        node.m_state.set_watching(node.m_is_watching);
        node.m_in_force = 0;
        ++node.m_process;
        const auto number = static_cast<std::uint64_t>(draw(1, static_cast<std::int64_t>(newest())));
        schedule(index, node.m_process, [this, index, number] { put_in_force(index, number); });
    }

    void put_in_force(std::size_t index, std::uint64_t number)
    {
        confirmed_node& node = m_nodes[index];
        if (number > node.m_in_force) {
            node.m_in_force = number;
            node.m_state.set_in_force(revision{number});
            node.m_state.set_required(clock(index), true);
        }
    }

    void run(duration length)
    {
        for (const duration end = m_now + length; m_now < end; m_now += step) {
            for (auto each = m_events.begin(); each != m_events.end() && each->first <= m_now;) {
                if (m_nodes[each->second.m_node].m_frozen_until > m_now) {
                    ++each;
                    continue;
                }
                const event current = each->second;
                each = m_events.erase(each);
                if (current.m_process == 0 || current.m_process == m_nodes[current.m_node].m_process) {
                    current.m_run();
                }
            }
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                advance(index);
            }
        }
    }

    /** Drops what is in flight. */
    void drop_all() { m_events.clear(); }

    /** Returns the clock of the machine of node @p index. */
    boot_instant clock(std::size_t index) const
    {
        return boot_instant(m_now + m_nodes[index].m_clock_offset);
    }

    bool is_current(std::size_t index) const { return m_nodes[index].m_state.is_current(clock(index)); }

    /** Returns whether no node takes its revision for the newest one at a time after the next revision was
     * published. */
    bool is_safe() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const confirmed_node& node) {
            const auto confirmed_at = node.m_state.confirmed_at();
            return !confirmed_at || node.m_in_force == newest() ||
                   confirmed_at->time_since_epoch() - node.m_clock_offset <=
                       m_published_at[node.m_in_force + 1];
        });
    }

    std::int64_t draw(std::int64_t min, std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(min, max)(m_random);
    }

    std::vector<confirmed_node> m_nodes;
    std::int64_t m_max_delay_ms = 5;   ///< Longest delay of a message or a call, in each direction.
    std::int64_t m_loss_percent = 0;   ///< Messages and calls that are lost.
    std::int64_t m_repeat_percent = 0; ///< Messages that arrive twice.
    duration m_now = std::chrono::hours(1);
    std::vector<std::string> m_asked; ///< Receivers of all messages.
    std::size_t m_reads = 0;          ///< Reads of the head row for want of a confirmation.

private:
    struct event {
        std::size_t m_node;      ///< Where it happens.
        std::uint64_t m_process; ///< Process that waits for it; 0 if any may receive it.
        std::function<void()> m_run;
    };

    std::uint64_t newest() const { return m_published_at.size() - 1; }

    /** Returns the state of a node that has found the fleet. */
    confirmation make_state()
    {
        confirmation state(confirmation_settings{}, m_random());
        state.set_joined();
        return state;
    }

    bool is_lost() { return draw(1, 100) <= m_loss_percent; }

    void schedule(std::size_t index, std::uint64_t process, std::function<void()> run)
    {
        m_events.emplace(m_now + std::chrono::milliseconds(draw(0, m_max_delay_ms)),
                         event{index, process, std::move(run)});
    }

    void advance(std::size_t index)
    {
        confirmed_node& node = m_nodes[index];
        if (node.m_frozen_until > m_now) {
            return;
        }
        if (node.m_is_watching && node.m_next_check_at <= m_now) {
            node.m_next_check_at = m_now + std::chrono::seconds(1);
            read_store(index);
        }
        std::vector<confirmation_action> actions;
        if (node.m_state.next_tick() <= clock(index)) {
            node.m_state.tick(clock(index), peers_of(index), actions);
        }
        execute(index, actions);
    }

    /** Returns the nodes that watch; odd ones are in another data centre than even ones. */
    confirmation_peers peers_of(std::size_t index) const
    {
        confirmation_peers peers;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != index && m_nodes[other].m_is_watching) {
                (other % 2 == index % 2 ? peers.m_near : peers.m_far).push_back(name_of(other));
            }
        }
        return peers;
    }

    static node_id name_of(std::size_t index) { return {std::to_string(index)}; }

    void execute(std::size_t index, const std::vector<confirmation_action>& actions)
    {
        for (const confirmation_action& action : actions) {
            if (const auto* const send = std::get_if<confirmation_send>(&action)) {
                m_asked.push_back(send->m_peer.m_value);
                deliver(index, std::stoul(send->m_peer.m_value), send->m_payload);
            }
            else if (const auto* const fetch = std::get_if<confirmation_fetch>(&action)) {
                schedule(index, m_nodes[index].m_process,
                         [this, index, number = fetch->m_revision.m_value] { put_in_force(index, number); });
            }
            else {
                ++m_reads;
                read_store(index);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const std::string& payload)
    {
        const bool is_connected = m_nodes[from].m_reaches_peers && m_nodes[to].m_reaches_peers;
        for (int copies = draw(1, 100) <= m_repeat_percent ? 2 : 1; copies > 0; --copies) {
            if (is_connected && !is_lost()) {
                schedule(to, 0, [this, from, to, payload] {
                    std::vector<confirmation_action> actions;
                    m_nodes[to].m_state.on_message(clock(to), name_of(from), payload, actions);
                    execute(to, actions);
                });
            }
        }
    }

    /** Reads the head row. Its version may be known before, or after, what it holds. */
    void read_store(std::size_t index)
    {
        if (!m_nodes[index].m_reaches_store || is_lost()) {
            return;
        }
        const std::uint64_t process = m_nodes[index].m_process;
        schedule(index, 0, [this, index, process, sent_at = clock(index)] {
            const std::uint64_t head = newest();
            const row_version version{0, head};
            schedule(index, process, [=, this] { m_nodes[index].m_state.on_store(version, sent_at); });
            schedule(index, process, [=, this] {
                m_nodes[index].m_state.on_head(version, revision{head});
                schedule(index, process, [=, this] { put_in_force(index, head); });
            });
        });
    }

    random_source m_random;
    std::multimap<duration, event> m_events;
    std::vector<duration> m_published_at{duration{}}; ///< By revision; the first one is no revision.
};

} // namespace waxwing::model

#endif
