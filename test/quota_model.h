/** @file quota_model.h A fleet of quotas with simulated clocks, messages and faults, for the tests. */
#ifndef WAXWING_TEST_QUOTA_MODEL_H
#define WAXWING_TEST_QUOTA_MODEL_H

#include "policy/number_func.h"
#include "policy/quota_base.h"

#include <functional>
#include <queue>
#include <random>

namespace waxwing {

/** Faults of the messages between two nodes. */
struct network_faults {
    double m_loss = 0.0;                                   ///< Ratio of lost messages.
    double m_duplicates = 0.0;                             ///< Ratio of messages that arrive twice.
    duration m_min_delay = std::chrono::microseconds(300); ///< Least delay.
    duration m_max_delay = std::chrono::milliseconds(20);  ///< Greatest delay; messages overtake each other.
};

/** A fleet of quotas in simulated time. */
class quota_world {
public:
    using outcome_handler = std::function<void(duration, const organisation_name&, const quota_decision&)>;

    /** @param drift_ppm clocks run up to this much too fast or too slow. */
    quota_world(std::size_t count, std::uint64_t seed, network_faults faults, double drift_ppm)
        : m_random(seed), m_faults(faults), m_hosts(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            host& created = m_hosts[index];
            created.m_rate = 1.0 + drift_ppm * 1e-6 * (2.0 * random_unit(m_random) - 1.0);
            created.m_offset = std::chrono::hours(1 + m_random() % 1000);
            start(index);
        }
    }

    static node_id name(std::size_t index) { return node_id{"node-" + std::to_string(index)}; }

    duration now() const { return m_now; }
    random_source& random() { return m_random; }
    const quota& at(std::size_t index) const { return *m_hosts[index].m_quota; }
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }

    /** Calls @p handler with each decision on a request. */
    void on_outcome(outcome_handler handler) { m_on_outcome = std::move(handler); }

    /** Schedules @p work after @p delay. */
    void after(duration delay, std::function<void()> work)
    {
        m_events.push({m_now + delay, ++m_event_count, std::move(work)});
    }

    /** Runs until @p end. */
    void run(duration end)
    {
        while (!m_events.empty() && m_events.top().m_at <= end) {
            const scheduled next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            next.m_work();
        }
        m_now = end;
    }

    /** Passes @p limits to the node @p index. */
    void configure(std::size_t index, const quota_limits& limits)
    {
        m_hosts[index].m_limits = limits;
        visit(index,
              [this, index, limits](quota& target, boot_instant time, std::vector<quota_action>& actions) {
                  if (std::exchange(m_hosts[index].m_in_force, limits) != limits) {
                      m_configured_at = m_now;
                  }
                  target.configure(time, limits, actions);
                  m_hosts[index].m_ready = true;
              });
    }

    /** Returns when the last node put changed limits in force. */
    duration configured_at() const { return m_configured_at; }

    /** Begins the membership: each node sees each other one die that it can't reach for 4 to 8 s, and alive
     * again within half a second. */
    void begin_membership()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                watch(index, other);
            }
        }
        after(std::chrono::milliseconds(500), [this] { begin_membership(); });
    }

    /** Tells @p index that @p other is @p presence. */
    void tell(std::size_t index, std::size_t other, quota_presence presence)
    {
        m_hosts[index].m_view[other] = presence;
        visit(index, [other, presence](quota& target, boot_instant time, std::vector<quota_action>& actions) {
            static_cast<void>(actions);
            target.on_member(time, name(other), presence);
        });
    }

    /** Sends a request of @p organisation to the entry @p index. */
    void request(std::size_t index, const organisation_name& organisation)
    {
        const std::uint64_t waiter = ++m_last_waiter;
        visit(index, [this, index, organisation, waiter](quota& target, boot_instant time,
                                                         std::vector<quota_action>& actions) {
            static_cast<void>(actions);
            if (!m_hosts[index].m_ready) {
                return; // The entry refuses it, as no configuration is in force.
            }
            const quota_decision decision = target.take(time, organisation, waiter);
            if (decision.m_outcome == quota_outcome::waiting) {
                m_hosts[index].m_waiters.emplace(waiter, organisation);
                return;
            }
            m_on_outcome(m_now, organisation, decision);
        });
    }

    /** Ends the process @p index at once; a new one starts after @p delay with the last limits and view. */
    void restart(std::size_t index, duration delay)
    {
        host& target = m_hosts[index];
        target.m_quota.reset();
        target.m_waiters.clear();
        target.m_inbox.clear();
        target.m_frozen = false;
        target.m_ready = false;
        after(delay, [this, index] {
            start(index);
            configure(index, quota_limits(m_hosts[index].m_limits));
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                m_hosts[index].m_seen[other] = m_now; // The registration rows name all nodes.
                tell(index, other, quota_presence::alive);
            }
        });
    }

    /** Freezes the process @p index for @p length; what it gets meanwhile is handled at the end. */
    void freeze(std::size_t index, duration length)
    {
        m_hosts[index].m_frozen = true;
        after(length, [this, index] {
            m_hosts[index].m_frozen = false;
            for (const auto& work : std::exchange(m_hosts[index].m_inbox, {})) {
                visit(index, work);
            }
        });
    }

    /** Cuts @p index off from all other nodes, or ends that. */
    void cut(std::size_t index, bool is_cut) { m_hosts[index].m_cut = is_cut; }

private:
    using visitor = std::function<void(quota&, boot_instant, std::vector<quota_action>&)>;

    /** One node. */
    struct host {
        std::optional<quota> m_quota; ///< None while the process does not run.
        std::uint64_t m_incarnation = 0;
        double m_rate = 1.0;
        duration m_offset{};
        bool m_frozen = false;
        bool m_ready = false; ///< Whether limits are in force.
        bool m_cut = false;
        std::uint64_t m_timer = 0; ///< Identifies the valid timer.
        std::vector<visitor> m_inbox;
        std::map<std::uint64_t, organisation_name> m_waiters;
        quota_limits m_limits; ///< Newest ones; in force later if the process is frozen.
        quota_limits m_in_force;
        std::map<std::size_t, quota_presence> m_view;
        std::map<std::size_t, duration> m_seen; ///< When each other node last answered.
    };

    /** Work at a time. */
    struct scheduled {
        duration m_at;
        std::uint64_t m_order;
        std::function<void()> m_work;
        bool operator<(const scheduled& other) const
        {
            return std::pair(other.m_at, other.m_order) < std::pair(m_at, m_order);
        }
    };

    /** Updates the view that @p index has of @p other. */
    void watch(std::size_t index, std::size_t other)
    {
        host& self = m_hosts[index];
        const host& peer = m_hosts[other];
        const bool runs = self.m_quota.has_value() && !self.m_frozen;
        const bool answers = peer.m_quota.has_value() && !peer.m_frozen && !peer.m_cut && !self.m_cut;
        if (index == other || (runs && !answers && self.m_view[other] == quota_presence::dead)) {
            return;
        }
        if (!runs || answers) {
            self.m_seen[other] = m_now;
            if (runs && (!self.m_view.contains(other) || self.m_view[other] != quota_presence::alive)) {
                tell(index, other, quota_presence::alive);
            }
        }
        else if (m_now - self.m_seen[other] > std::chrono::milliseconds(4000 + m_random() % 4000)) {
            tell(index, other, quota_presence::dead);
        }
    }

    boot_instant clock(const host& target) const
    {
        return boot_instant(target.m_offset + std::chrono::duration_cast<duration>(m_now * target.m_rate));
    }

    void start(std::size_t index)
    {
        host& target = m_hosts[index];
        target.m_quota.emplace(name(index), incarnation{++target.m_incarnation}, clock(target));
        target.m_quota->on_fleet_discovered(clock(target));
    }

    void visit(std::size_t index, const visitor& work)
    {
        host& target = m_hosts[index];
        if (target.m_frozen) {
            target.m_inbox.push_back(work);
            return;
        }
        if (!target.m_quota.has_value()) {
            return;
        }
        std::vector<quota_action> actions;
        work(*target.m_quota, clock(target), actions);
        if (target.m_quota->next_tick() <= clock(target)) {
            target.m_quota->tick(clock(target), actions);
        }
        apply(index, actions);
        const boot_instant next = target.m_quota->next_tick();
        if (next != boot_instant::max()) {
            const std::uint64_t timer = ++target.m_timer;
            after(std::max(next - clock(target), duration(0)) + std::chrono::microseconds(100),
                  [this, index, timer] {
                      if (m_hosts[index].m_timer == timer) {
                          visit(index, [](quota& expired, boot_instant time,
                                          std::vector<quota_action>& wanted) { expired.tick(time, wanted); });
                      }
                  });
        }
    }

    void apply(std::size_t index, const std::vector<quota_action>& actions)
    {
        for (const quota_action& action : actions) {
            if (const auto* const wake = std::get_if<quota_wake>(&action)) {
                const auto waiter = m_hosts[index].m_waiters.extract(wake->m_waiter);
                m_on_outcome(m_now, waiter.mapped(), wake->m_decision);
            }
            else if (const auto* const outgoing = std::get_if<quota_send>(&action)) {
                ++m_messages;
                m_bytes += outgoing->m_payload.size();
                const std::size_t to = std::stoul(outgoing->m_node.m_value.substr(5));
                const bool lost = random_unit(m_random) < m_faults.m_loss;
                const bool twice = random_unit(m_random) < m_faults.m_duplicates;
                for (int copy = 0; copy < (lost ? 0 : 1) + (twice ? 1 : 0); ++copy) {
                    deliver(index, to, outgoing->m_payload);
                }
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const std::string& payload)
    {
        const double part = random_unit(m_random);
        const duration spread = m_faults.m_max_delay - m_faults.m_min_delay;
        after(m_faults.m_min_delay + std::chrono::duration_cast<duration>(spread * part * part),
              [this, from, to, payload] {
                  if (m_hosts[from].m_cut || m_hosts[to].m_cut) {
                      return;
                  }
                  visit(to, [from, payload](quota& target, boot_instant time,
                                            std::vector<quota_action>& actions) {
                      target.on_message(time, name(from), payload, actions);
                  });
              });
    }

    random_source m_random;
    network_faults m_faults;
    std::vector<host> m_hosts;
    duration m_now{};
    duration m_configured_at{};
    std::priority_queue<scheduled> m_events;
    std::uint64_t m_event_count = 0;
    std::uint64_t m_last_waiter = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    outcome_handler m_on_outcome;
};

} // namespace waxwing

#endif
