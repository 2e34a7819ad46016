/** @file call_task_base.h The call task: caller connections, entry and runner. */
#ifndef WAXWING_NODE_CALL_TASK_BASE_H
#define WAXWING_NODE_CALL_TASK_BASE_H

#include "events/events.h"
#include "http/http.h"
#include "metrics/metrics.h"
#include "node/settings_func.h"
#include "node/task_message_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/**
 * Owns the caller connections and all calls of this node. Thread safety: the loop's thread only.
 */
class call_task {
public:
    using handler = std::function<void(call_output&&)>;

    /**
     * Creates the task without opening its listener.
     * @param loop outlives the task.
     * @param settings of the node; outlive the task.
     * @param dialect names of the HTTP headers; outlives the task.
     * @param own_incarnation of this process.
     * @param node_metrics receives the metrics; outlives the task.
     * @param on_output receives requests to the other tasks of the node.
     */
    call_task(event_loop& loop, const node_settings& settings, const request_dialect& dialect,
              incarnation own_incarnation, std::uint64_t seed, metrics& node_metrics, handler on_output);

    /** Counts the bodies of callers' requests by @p budget. @pre Before listen(). */
    void set_budget(std::shared_ptr<memory_budget> budget) { m_budget = std::move(budget); }

    /** Opens the listener for callers. */
    result<void> listen();

    /** Stops accepting calls for the target, and closes each caller connection after its last reply. Callers
     * are still served until refuse_callers; all of them are answered by @p end. */
    void drain(instant end);

    /** Refuses new requests of callers; requests in progress finish, including their sub-calls. */
    void refuse_callers();

    /** Queues @p command for the task. */
    void post(call_command command) { m_commands.post(std::move(command)); }

    /** Applies the caller limits of the settings and the configuration in force to the HTTP server. */
    void apply_caller_limits();

    /** Releases the quarantined request with the fingerprint @p name. @return whether there is one. */
    bool release(const std::string& name);

    /** Returns the number of caller requests and target calls in progress. */
    std::size_t in_progress() const;

    /** Returns the entry, for status pages. */
    const entry& entry_state() const { return m_entry; }

    /** Returns the runner, for status pages. */
    const runner& runner_state() const { return m_runner; }

private:
    void on_command(call_command&& command);
    void on_http(http_server_event&& event);
    http_server_settings server_settings() const;
    void limit_rate(instant now, std::optional<double> rate);
    void on_link(link_event&& event);
    void on_message(const node_id& peer, link_message&& message);
    void on_undelivered(link_undelivered&& event);
    void process_actions();
    bool apply_entry_actions();
    bool apply_runner_actions();
    void reply(entry_reply&& response);
    void log_reply(const entry_reply& response);
    void log_run(const runner_answer& run);
    void on_refused(const http_refusal& refused);
    void on_timer();
    void configure_quota(const config_set& set);
    void apply_quota_actions(std::vector<quota_action> actions);
    void count_quota_refusal(const entry_reply& response);
    void tick_quota();

    event_loop& m_loop;
    const node_settings& m_settings;
    const request_dialect& m_dialect;
    metrics& m_metrics;
    std::shared_ptr<memory_budget> m_budget; ///< Null if bodies are not counted.
    handler m_on_output;
    running_calls m_running;
    entry m_entry;
    runner m_runner;
    quota m_quota;
    std::vector<entry_action> m_entry_actions;
    std::vector<runner_action> m_runner_actions;
    mailbox<call_command> m_commands;
    timer m_timer;
    timer m_quota_timer;
    std::uint64_t m_reported_grants = 0; ///< Tokens granted as an owner, as far as the metric has them.
    std::unique_ptr<http_server> m_server;
    request_sampler m_entry_log{sampler_settings{}};
    request_sampler m_run_log{sampler_settings{}};
    request_sampler m_refusal_log{
        sampler_settings{.m_requests_per_sample = 0}}; ///< Unreadable requests have no id to sample by.
    revision m_revision;                               ///< Revision in force, for log events.
    std::optional<caller_limits> m_limits; ///< From the configuration; empty until one is in force.
};

} // namespace waxwing

#endif
