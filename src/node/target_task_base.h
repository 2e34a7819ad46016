/** @file target_task_base.h The task that communicates with the target beside the node. */
#ifndef WAXWING_NODE_TARGET_TASK_BASE_H
#define WAXWING_NODE_TARGET_TASK_BASE_H

#include "call/call.h"
#include "chart/chart.h"
#include "http/http.h"
#include "member/member.h"
#include "node/settings_func.h"
#include "node/task_message_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace waxwing {

/**
 * Owns the connections to the target, and tracks its state by the chart `target`.
 * Thread safety: the loop's thread only.
 */
class target_task {
public:
    using handler = std::function<void(target_output&&)>;

    /** @pre @p loop, @p dialect and @p target_chart outlive the task. */
    target_task(event_loop& loop, const request_dialect& dialect, const chart& target_chart,
                handler on_output);

    /** Counts the target's answers by @p budget. @pre Before start() and announce(). */
    void set_budget(std::shared_ptr<memory_budget> budget) { m_budget = std::move(budget); }

    /** Announces the target from the settings, if they contain one. */
    void start(const node_settings& settings);

    /** Handles an announcement of the target; announcements older than the last one have no effect. */
    void announce(const target_announcement& announcement);

    /** Records that an earlier process of this node acknowledged @p departure; drains the target if it is
     * that incarnation or an earlier one. */
    void restore_departure(const target_departure& departure);

    /** Sets the number of connections allowed by the configuration; 0 uses the announced number. */
    void set_connections(std::uint32_t connections);

    /** Sets the paths of the target's health and load endpoints; empty means no endpoint. */
    void set_paths(std::string health_path, std::string load_path);

    /** Sends a call to the target. */
    void run(runner_run&& request);

    /** Aborts a call to the target. */
    void abort(attempt_id attempt);

    /** Checks whether the target accepts connections; outputs one probe_ended. */
    void probe();

    /** Raises the event @p name of the chart `target`: drain, resume, drained or node-stopped. */
    void raise(std::string_view name);

    /**
     * Starts or ends the operator's drain. The drain also applies to targets that announce themselves later:
     * it outlasts restarts of the target and may precede its first announcement.
     */
    void set_operator_drain(bool is_drained);

    /** Returns the current state of the target. */
    target_state state() const;

    /** Returns the target as last announced; the service is empty before the first announcement. */
    const target_announcement& target() const { return m_target; }

private:
    void on_run_event(std::uint64_t generation, http_client_event&& event);
    void read_rate_limit(const header_list& headers);
    void read_leaving(const header_list& headers);
    void set_rate_limit(std::optional<double> rate);
    void on_probe_event(http_client_event&& event);
    void begin_incarnation(const target_announcement& announcement);
    void depart();
    void start_client();
    std::size_t connection_limit() const;
    void on_connect_probe(bool accepts);
    void send_probe(const std::string& path);
    void execute_action(const std::string& action);
    void on_timer();
    void schedule();

    std::shared_ptr<memory_budget> m_budget; ///< Null if nothing is counted.
    event_loop& m_loop;
    const request_dialect& m_dialect;
    handler m_on_output;
    state_machine m_state_machine;
    target_announcement m_target;
    announcement_order m_order;
    bool m_operator_drain = false;      ///< Whether an operator has drained the target.
    bool m_announces_readiness = false; ///< Whether the target announces readiness, so no polling is needed.
    std::uint32_t m_connections = 0;    ///< From the configuration; 0 uses the announced number.
    std::string m_health_path;
    std::string m_load_path;
    std::unique_ptr<http_client> m_client;               ///< For calls.
    std::vector<std::unique_ptr<http_client>> m_retired; ///< Of earlier incarnations, with calls in progress.
    std::uint64_t m_generation = 0; ///< Number of m_client, to tell answers of an earlier incarnation.
    std::optional<double>
        m_rate_limit; ///< Requests a second that the target takes; none if it names no limit.
    connect_probe m_connect_probe;
    std::unique_ptr<http_client> m_probe_client; ///< For probes, so that they never queue behind calls.
    std::uint64_t m_last_probe = 0;
    exchange_id m_load_probe;       ///< The last probe of the load endpoint.
    bool m_probe_requested = false; ///< Whether the call task waits for probe_ended.
    timer m_timer;
};

} // namespace waxwing

#endif
