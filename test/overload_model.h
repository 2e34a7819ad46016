/** @file overload_model.h Model of a fleet whose deepest service is overloaded, on the real decisions. */
#ifndef WAXWING_TEST_OVERLOAD_MODEL_H
#define WAXWING_TEST_OVERLOAD_MODEL_H

#include "policy/policy.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace waxwing {

/** Size and load of the model. */
struct overload_scenario {
    std::size_t m_entries = 200;  ///< Nodes at which requests enter.
    std::size_t m_targets = 20;   ///< Targets of the deepest service.
    std::uint32_t m_slots = 12;   ///< Slots of each.
    unsigned m_calls = 4;         ///< Calls to that service for each request, one after the other.
    double m_run_seconds = 0.055; ///< Mean run time of one of them.
    double m_order_ratio = 0.3;   ///< Orders among the requests; the others are lookups.
    duration m_sub_call_timeout = std::chrono::milliseconds(700); ///< After which its caller gives up.
    duration m_upstream_delay =
        std::chrono::milliseconds(700);                     ///< Mean time spent above the deepest service.
    duration m_answer_delay = std::chrono::milliseconds(3); ///< From the deepest service back to its caller.
    duration m_report_interval =
        std::chrono::milliseconds(200); ///< Age of the load by which targets are picked.
    /** Factors on the run time; targets take them in turn. */
    std::vector<double> m_speeds{0.7, 0.7, 1.6};
};

/** What became of the requests of one kind. */
struct overload_counts {
    std::size_t m_offered = 0;
    std::size_t m_refused = 0; ///< At the entry, before any work.
    std::size_t m_failed = 0;  ///< After a sub-call was refused.
    std::size_t m_completed = 0;
};

/** Runs requests of two kinds through entries, an upstream service without limits and the overloaded one. */
class overload_model {
public:
    overload_model(const overload_scenario& scenario, std::uint64_t seed)
        : m_scenario(scenario), m_random(seed), m_thresholds(scenario.m_entries)
    {
        admission_settings settings;
        settings.m_limit.m_slots = scenario.m_slots;
        settings.m_limit.m_floor = scenario.m_slots;
        for (std::size_t index = 0; index < scenario.m_targets; ++index) {
            m_targets.emplace_back(settings);
        }
        m_reported.resize(scenario.m_targets);
        report();
    }

    /** Returns the whole requests a second that the deepest service can complete. */
    double capacity() const
    {
        double calls_per_second = 0;
        for (std::size_t target = 0; target < m_scenario.m_targets; ++target) {
            calls_per_second += m_scenario.m_slots / (m_scenario.m_run_seconds * speed_of(target));
        }
        return calls_per_second / m_scenario.m_calls;
    }

    /** Offers @p load times the capacity for @p length. @return the counts by whether the request is an
     * order. */
    std::array<overload_counts, 2> run(double load, duration length)
    {
        m_counts = {};
        const instant end = m_now + length;
        schedule_arrival(load, end);
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto event = m_events.begin();
            m_now = event->first;
            const std::function<void()> action = std::move(event->second);
            m_events.erase(event);
            action();
        }
        m_now = end;
        return m_counts;
    }

private:
    /** One request in progress. */
    struct request {
        std::size_t m_entry = 0;
        bool m_is_order = false;
        priority m_priority;
        unsigned m_calls_left = 0;
        priority m_threshold; ///< Highest threshold reported by its calls.
    };

    /** One call to the deepest service. */
    struct sub_call {
        std::uint64_t m_request; ///< The request that makes it.
        instant m_deadline;      ///< When its caller gives up.
    };

    double speed_of(std::size_t target) const
    {
        return m_scenario.m_speeds[target % m_scenario.m_speeds.size()];
    }

    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    duration exponential(double mean_seconds)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean_seconds)(m_random)));
    }

    void at(instant when, std::function<void()> action) { m_events.emplace(when, std::move(action)); }

    void schedule_arrival(double load, instant end)
    {
        const instant next = m_now + exponential(1 / (load * capacity()));
        if (next < end) {
            at(next, [this, load, end] {
                arrive();
                schedule_arrival(load, end);
            });
        }
    }

    void arrive()
    {
        request current;
        current.m_entry = m_random() % m_scenario.m_entries;
        current.m_is_order = unit() < m_scenario.m_order_ratio;
        const unsigned importance = current.m_is_order ? 224 : 160;
        current.m_priority = {static_cast<std::uint16_t>(importance * 256 + m_random() % 256)};
        current.m_calls_left = m_scenario.m_calls;
        overload_counts& counts = m_counts[current.m_is_order ? 1 : 0];
        ++counts.m_offered;
        if (m_thresholds[current.m_entry].should_shed(m_now, kind_of(current), current.m_priority,
                                                      m_random)) {
            ++counts.m_refused;
            return;
        }
        const std::uint64_t number = ++m_last_request;
        m_requests.emplace(number, current);
        at(m_now + exponential(to_seconds(m_scenario.m_upstream_delay)), [this, number] { call(number); });
    }

    static const kind_name& kind_of(const request& current)
    {
        static const kind_name order{"order"};
        static const kind_name lookup{"lookup"};
        return current.m_is_order ? order : lookup;
    }

    /** Sends the next sub-call of the request @p number to the less loaded of two targets. */
    void call(std::uint64_t number)
    {
        // The reports by which a target is chosen are late.
        std::size_t target = m_random() % m_targets.size();
        const std::size_t other = m_random() % m_targets.size();
        target = m_reported[other] < m_reported[target] ? other : target;
        const attempt_id attempt{++m_last_attempt};
        const instant deadline = m_now + m_scenario.m_sub_call_timeout;
        m_attempts.emplace(attempt, sub_call{number, deadline});
        std::vector<admission_action> actions;
        m_targets[target].offer(m_now, {attempt, m_requests.at(number).m_priority, 3, deadline, false},
                                actions);
        apply(target, actions);
    }

    /** Copies the load of all targets, as their reports reach the entries. */
    void report()
    {
        for (std::size_t target = 0; target < m_targets.size(); ++target) {
            const load_report report = m_targets[target].report(m_now);
            m_reported[target] = report.m_in_progress + report.m_queued;
        }
        at(m_now + m_scenario.m_report_interval, [this] { report(); });
    }

    void apply(std::size_t target, const std::vector<admission_action>& actions)
    {
        for (const admission_action& action : actions) {
            if (const auto* const start = std::get_if<admission_start>(&action)) {
                const duration run_time = exponential(m_scenario.m_run_seconds * speed_of(target));
                at(m_now + run_time, [this, target, attempt = start->m_attempt, run_time] {
                    std::vector<admission_action> decisions;
                    m_targets[target].finish(m_now, attempt, run_time, run_end::succeeded, decisions);
                    end_call(target, attempt, true);
                    apply(target, decisions);
                });
            }
            else {
                end_call(target, std::get<admission_refuse>(action).m_attempt, false);
            }
        }
        const instant next = m_targets[target].next_tick();
        if (next != instant::max() && m_next_ticks[target] != next) {
            m_next_ticks[target] = next;
            at(std::max(next, m_now), [this, target, next] {
                if (m_next_ticks[target] == next) {
                    m_next_ticks.erase(target);
                    std::vector<admission_action> decisions;
                    m_targets[target].tick(m_now, decisions);
                    apply(target, decisions);
                }
            });
        }
    }

    void end_call(std::size_t target, attempt_id attempt, bool succeeded)
    {
        const sub_call ended = m_attempts.at(attempt);
        const std::uint64_t number = ended.m_request;
        m_attempts.erase(attempt);
        request& current = m_requests.at(number);
        // A target whose own call has timed out answers at once, before the refusal with the threshold
        // arrives.
        if (m_now + m_scenario.m_answer_delay < ended.m_deadline) {
            current.m_threshold = std::max(current.m_threshold, m_targets[target].report(m_now).m_threshold);
        }
        if (succeeded && --current.m_calls_left > 0) {
            call(number);
            return;
        }
        overload_counts& counts = m_counts[current.m_is_order ? 1 : 0];
        ++(succeeded ? counts.m_completed : counts.m_failed);
        m_thresholds[current.m_entry].learn(m_now, kind_of(current), current.m_threshold);
        m_requests.erase(number);
    }

    overload_scenario m_scenario;
    random_source m_random;
    instant m_now{std::chrono::seconds(1000)};
    std::vector<threshold_table> m_thresholds; ///< One for each entry.
    std::vector<admission> m_targets;
    std::vector<std::uint32_t> m_reported;       ///< Calls at each target by its last report.
    std::map<std::size_t, instant> m_next_ticks; ///< By target, where a tick is scheduled.
    std::multimap<instant, std::function<void()>> m_events;
    std::unordered_map<std::uint64_t, request> m_requests;
    std::unordered_map<attempt_id, sub_call> m_attempts;
    std::array<overload_counts, 2> m_counts;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_last_attempt = 0;
};

} // namespace waxwing

#endif
