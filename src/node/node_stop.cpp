/** @file node_stop.cpp The planned stop of the node, and its periodic checks. */
#include "node/node_base.h"

#include "events/events.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr duration drain_check_interval = std::chrono::milliseconds(50);
constexpr duration min_drain_duration = std::chrono::seconds(3); ///< Time for peers to learn of the drain.
constexpr duration caller_drain_delay =
    std::chrono::milliseconds(2500); ///< Time for callers to switch to other nodes.
constexpr duration stop_margin =
    std::chrono::milliseconds(400); ///< The stop ends this long before its timeout.
constexpr duration reply_margin =
    std::chrono::milliseconds(200); ///< Callers are answered this long before the stop timeout.
constexpr duration exit_delay = std::chrono::milliseconds(300); ///< Time to send the last messages.

} // namespace

void node::stop()
{
    m_stop_began_at = event_loop::now();
    raise("stop");
}

void node::raise(std::string_view event_name)
{
    const std::vector<std::string> actions = m_state_machine.raise(event_name);
    for (const std::string& action : actions) {
        execute_action(action);
    }
}

/** Executes the action @p action of the node chart. */
void node::execute_action(const std::string& action)
{
    if (action == "accept-callers") {
        const revision now = m_control.in_force().m_info.m_revision;
        log_event(event::node_ready, {{"revision", std::to_string(now.m_value)}});
    }
    else if (action == "refuse-new-work") {
        log_event(event::node_stopping, {{"in_progress", std::to_string(m_calls.in_progress())}});
        m_calls.drain(m_stop_began_at + m_settings.m_stop_timeout - reply_margin);
    }
    else if (action == "drain-target") {
        m_target.raise("drain");
    }
    else if (action == "start-drain-timer") {
        m_drain_timer.set(drain_check_interval);
        m_refuse_timer.set(std::min(caller_drain_delay, m_settings.m_stop_timeout / 2));
    }
    else if (action == "log-in-progress") {
        log_event(event::stop_overrun, {{"in_progress", std::to_string(m_calls.in_progress())}});
    }
    else if (action == "leave-fleet") {
        m_control.leave();
    }
    else if (action == "close-listeners") {
        log_event(event::node_stopped);
        m_exit_timer.set(exit_delay);
    }
}

/** Ends the planned stop when no work is in progress and peers have had time to learn of it, or shortly
 * before the stop timeout. */
void node::check_drained()
{
    const duration elapsed = event_loop::now() - m_stop_began_at;
    if (m_calls.in_progress() == 0 && elapsed >= min_drain_duration) {
        raise("drained");
        return;
    }
    if (elapsed >= m_settings.m_stop_timeout - stop_margin) {
        raise("drain-timeout");
        return;
    }
    m_drain_timer.set(drain_check_interval);
}

/** Tells the call task when this node is cut off from most others, or no longer is. */
void node::check_isolation()
{
    const bool is_isolated = m_control.members().likely_isolated(event_loop::now());
    if (std::exchange(m_isolated, is_isolated) != is_isolated) {
        m_calls.post(isolation_changed{is_isolated});
    }
}

/** Logs when load shedding begins and ends. */
void node::check_overload()
{
    check_isolation();
    const instant now = event_loop::now();
    const priority threshold = m_calls.runner_state().report(now).m_threshold;
    const std::string& service = m_own_target.m_service.m_value;
    if (threshold.m_value > 0 && !m_overload_since.has_value()) {
        m_overload_since = now;
        log_event(event::overload_started,
                  {{"service", service}, {"threshold", std::to_string(threshold.m_value)}});
    }
    if (threshold.m_value == 0 && m_overload_since.has_value()) {
        const std::int64_t elapsed = to_milliseconds(now - *m_overload_since);
        m_overload_since.reset();
        log_event(event::overload_ended, {{"service", service}, {"lasted_ms", std::to_string(elapsed)}});
    }
    m_overload_timer.set(overload_interval);
}

} // namespace waxwing
