/** @file call_task_base.h The task of the callers' door: entry, runner, and the callers' sockets. */
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
 * Owns the callers' sockets and all calls of this node. Thread safety: for the loop's thread only.
 */
class call_task {
public:
    using handler = std::function<void(call_output&&)>;

    /**
     * Makes the task; it does not listen yet.
     * @param loop outlives the task.
     * @param settings of the node; outlive the task.
     * @param dialect names of the header fields; outlives the task.
     * @param own_incarnation of this process.
     * @param counted gets the metrics; outlives the task.
     * @param on_output gets what the task asks for.
     */
    call_task(event_loop& loop, const node_settings& settings, const request_dialect& dialect,
              incarnation own_incarnation, std::uint64_t seed, metrics& counted, handler on_output);

    /** Opens the callers' door. */
    result<void> listen();

    /** Takes no new work for the target, and closes callers' connections after their last reply; callers are
     * served until refuse_callers. */
    void drain();

    /** Refuses callers' new requests; what is in progress finishes, sub-calls included. */
    void refuse_callers();

    /** Sends the task @p command. */
    void post(call_command command) { m_commands.post(std::move(command)); }

    /** Gives the callers' door its bounds from the settings and the configuration in force. */
    void bound_callers();

    /** Releases the request that logs call @p name. @return whether there is one. */
    bool release(const std::string& name);

    /** Gives the requests of callers, and the calls of this node's target, in progress. */
    std::size_t in_progress() const;

    /** Gives the entry, for status pages. */
    const entry& entry_state() const { return m_entry; }

    /** Gives the runner, for status pages. */
    const runner& runner_state() const { return m_runner; }

private:
    void on_command(call_command&& command);
    void on_http(http_server_event&& event);
    http_server_settings door_settings() const;
    void on_link(link_event&& event);
    void on_message(const node_id& peer, link_message&& message);
    void on_undelivered(link_undelivered&& event);
    void settle();
    bool apply_entry_actions();
    bool apply_runner_actions();
    void reply(entry_reply&& given);
    void log_reply(const entry_reply& given);
    void log_run(const runner_answer& given);
    void on_time();

    event_loop& m_loop;
    const node_settings& m_settings;
    const request_dialect& m_dialect;
    metrics& m_metrics;
    handler m_on_output;
    running_calls m_running;
    entry m_entry;
    runner m_runner;
    std::vector<entry_action> m_entry_actions;
    std::vector<runner_action> m_runner_actions;
    mailbox<call_command> m_commands;
    timer m_timer;
    std::unique_ptr<http_server> m_door;
    request_sampler m_entry_log{sampler_settings{}};
    request_sampler m_run_log{sampler_settings{}};
    revision m_revision;                   ///< In force, for the log.
    std::optional<caller_limits> m_limits; ///< Of the configuration; none where none is in force.
};

} // namespace waxwing

#endif
