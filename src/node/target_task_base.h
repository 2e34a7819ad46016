/** @file target_task_base.h The task that speaks to the target beside the node. */
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
#include <unordered_map>

namespace waxwing {

/**
 * Owns the connections to the target, and follows its life by the chart `target`.
 * Thread safety: for the loop's thread only.
 */
class target_task {
public:
    using handler = std::function<void(target_output&&)>;

    /** @pre @p loop, @p dialect and @p life_chart outlive the task. */
    target_task(event_loop& loop, const request_dialect& dialect, const chart& life_chart, handler on_output);

    /** Announces the target that the settings name, where they name one. */
    void start(const node_settings& settings);

    /** Takes in what the target says of itself; older words than those that are known change nothing. */
    void announce(const target_announcement& said);

    /** Sets how many connections the configuration allows to the target; 0 is what the target itself says. */
    void set_connections(std::uint32_t connections);

    /** Sets the paths of the target's health and load endpoints; empty is none. */
    void set_paths(std::string health_path, std::string load_path);

    /** Sends a call to the target. */
    void run(runner_run&& wanted);

    /** Gives up a call at the target. */
    void abort(attempt_id attempt);

    /** Finds out whether the target accepts connections; ends in one probe_ended. */
    void probe();

    /** Raises the event @p name of the chart `target`: drain, resume, drained or node-stopped. */
    void raise(std::string_view name);

    /**
     * Drains the target, and whatever announces itself here later, or ends that. An operator's drain outlasts
     * the target's restarts and may come before its first announcement.
     */
    void hold_drained(bool wanted);

    /** Gives the state in force. */
    target_state state() const;

    /** Gives what is known of the target; the service is empty where it is unknown. */
    const target_announcement& target() const { return m_target; }

private:
    void on_run_event(http_client_event&& event);
    void on_probe_event(http_client_event&& event);
    void begin_life(const target_announcement& said);
    void start_client();
    std::size_t connection_limit() const;
    void on_connect_probe(bool accepts);
    void send_probe(const std::string& path);
    void act(const std::string& action);
    void on_time();
    void schedule();

    event_loop& m_loop;
    const request_dialect& m_dialect;
    handler m_on_output;
    state_machine m_life;
    target_announcement m_target;
    announcement_order m_order;
    bool m_held_drained = false; ///< Whether an operator wants the target drained.
    bool m_speaks = false;       ///< Whether the target itself tells when it is ready, so that no probe need.
    std::uint32_t m_connections = 0; ///< By the configuration; 0 is what the target says.
    std::string m_health_path;
    std::string m_load_path;
    std::unique_ptr<http_client> m_client;               ///< For calls.
    std::vector<std::unique_ptr<http_client>> m_retired; ///< Of earlier lives, with calls in progress.
    connect_probe m_connect_probe;
    std::unique_ptr<http_client> m_probe_client; ///< For probes, so that they never wait behind calls.
    std::uint64_t m_last_probe = 0;
    exchange_id m_load_probe; ///< The probe whose answer is the load.
    bool m_wanted = false;    ///< Whether somebody waits for probe_ended.
    timer m_timer;
};

} // namespace waxwing

#endif
