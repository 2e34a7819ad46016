/** @file runner_base.h Call handling at the node beside the target. */
#ifndef WAXWING_CALL_RUNNER_BASE_H
#define WAXWING_CALL_RUNNER_BASE_H

#include "call/call_action_type.h"
#include "call/dialect_type.h"
#include "call/running_base.h"
#include "config/config.h"
#include "policy/policy.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace waxwing {

/** Why a call got no complete answer, as reported by the HTTP client. */
enum class target_failure {
    not_sent, ///< No byte was sent to the target.
    timeout,  ///< The deadline passed.
    lost,     ///< The connection was lost.
    aborted   ///< The call was aborted.
};

/** Settings of a runner and of its components. */
struct runner_settings {
    node_id m_self;            ///< Id of this node.
    incarnation m_incarnation; ///< Incarnation of this node's process.
    service_name m_service;    ///< Service of the target.
    std::uint32_t m_slots = 1; ///< Number of slots of the target.
    std::string m_shared_key;  ///< Shared key that makes the names of suspects the same on all nodes.
    control_mode m_mode = control_mode::full; ///< How much of the overload control is active.
    request_dialect m_dialect;                ///< Header names.
    quarantine_settings m_quarantine;         ///< Limits of the quarantine table.
};

/** Counters of a runner since its start. */
struct runner_counters {
    std::uint64_t m_arrived = 0;   ///< Calls received.
    std::uint64_t m_started = 0;   ///< Runs started at the target.
    std::uint64_t m_succeeded = 0; ///< Runs that the target answered with a status below 500.
    std::uint64_t m_refused = 0;   ///< Calls refused without a run.
    std::uint64_t m_cancelled = 0; ///< Calls cancelled because no caller waited any longer.
};

/**
 * Decides which calls run at the target beside this node, and answers each call exactly once.
 * Thread safety: none; used by a single owner.
 */
class runner {
public:
    /** @param running table shared with the entry of this node; must outlive the runner. */
    runner(const runner_settings& settings, running_calls& running);

    /** Applies @p set to calls that arrive from now on. */
    void configure(std::shared_ptr<const config_set> set);

    /** Sets the target's service, its number of slots and its current instance; empty if it has none. */
    void set_target(const service_name& service, std::uint32_t slots, std::string instance = {});

    /** Handles a call sent by the entry of @p origin; results in exactly one runner_answer. A repeated
     * message is ignored. @param refusing_rule refuses the call without a run; rule::none if it may run. */
    void on_call(instant now, const node_id& origin, attempt_id attempt, call incoming,
                 std::vector<runner_action>& actions, rule refusing_rule = rule::none);

    /** Cancels @p attempt, as no caller waits for it any longer. */
    void cancel(instant now, attempt_id attempt, std::vector<runner_action>& actions);

    /** Records that the last link to @p node was lost, and cancels its calls. */
    void on_peer_lost(instant now, const node_id& node, std::vector<runner_action>& actions);

    /** Handles the target's answer to the run of @p attempt. */
    void on_target_answer(instant now, attempt_id attempt, answer response,
                          std::vector<runner_action>& actions);

    /** Records that the run of @p attempt got no complete answer. */
    void on_target_failure(instant now, attempt_id attempt, target_failure failure,
                           std::vector<runner_action>& actions);

    /** Handles the result of runner_probe.
     * @param accepts whether the target accepts connections. */
    void on_probe(instant now, bool accepts, std::vector<runner_action>& actions);

    /** Merges quarantine records received from a peer. */
    void on_quarantine(instant now, const std::vector<quarantine_record>& records);

    /** Returns all quarantine records, encoded for a node that has just joined; empty if there are none. */
    std::string quarantine_snapshot(instant now) const;

    /** Releases the request that appears in logs as @p name. @return whether there is one. */
    bool release(instant now, const std::string& name, std::vector<runner_action>& actions);

    /** Refuses new calls with @p reason; runs in progress continue. */
    void close(instant now, rule reason, std::vector<runner_action>& actions);

    /** Accepts calls again. */
    void reopen();

    /** Lowers the concurrency limit to @p slots temporarily. */
    void hint(instant now, std::uint32_t slots);

    /** Starts no more than @p rate runs a second; none ends the limit. */
    void limit_rate(instant now, std::optional<double> rate, std::vector<runner_action>& actions);

    /** Handles timers that are due. To be called at next_tick. */
    void tick(instant now, std::vector<runner_action>& actions);

    /** Returns the time at which tick is due next; instant::max if nothing is scheduled. */
    instant next_tick() const;

    /** Returns the number of calls that wait or run. */
    std::size_t in_progress() const { return m_calls.size(); }

    /** Returns the load report that is sent to peers. */
    load_report report(instant now) const { return m_admission.report(now); }

    const runner_counters& counters() const { return m_counters; }

    /** Lists the requests in the quarantine table by the names that appear in logs. */
    std::vector<std::pair<std::string, suspicion>> suspects(instant now) const;

private:
    /** Stage of a call. */
    enum class stage {
        queued,     ///< Waits for a slot.
        running,    ///< Was sent to the target.
        interrupted ///< Lost its connection or its target; waits for the probe, or for the answers after a
                    ///< crash.
    };

    /** Call that waits or runs. */
    struct open_call {
        node_id m_origin;                   ///< Node of the entry.
        call m_call;                        ///< Call to run; its body is cleared when the run starts.
        stage m_stage = stage::queued;      ///< Stage of the call.
        instant m_arrived_at;               ///< Time of arrival.
        instant m_started_at;               ///< Time at which it got its slot.
        instant m_deadline;                 ///< Time by which it must end.
        bool m_exclusive = false;           ///< Whether it must run alone.
        bool m_cancelled = false;           ///< Whether no caller waits any longer.
        std::uint16_t m_refusal_status = 0; ///< Status of a target that did not run the call; 0 if none.
    };

    void configure_admission();
    bool is_repeated(attempt_id attempt);
    void refuse(instant now, attempt_id attempt, answer response, std::vector<runner_action>& actions);
    void apply(instant now, std::vector<runner_action>& actions);
    void start(instant now, attempt_id attempt, std::vector<runner_action>& actions);
    void run(instant now, attempt_id attempt, open_call& current, std::vector<runner_action>& actions);
    void add_target_headers(const open_call& current, attempt_id attempt, duration time_left,
                            call& outbound) const;
    void probe(std::vector<runner_action>& actions);
    void end_run(instant now, attempt_id attempt, answer response, run_end end,
                 std::vector<runner_action>& actions);
    void send_answer(instant now, attempt_id attempt, const open_call& ended_call, answer response,
                     std::vector<runner_action>& actions);
    void end_interrupted(instant now, rule reason, std::vector<runner_action>& actions);
    void on_target_crash(instant now, std::vector<runner_action>& actions);
    void broadcast(const std::vector<quarantine_record>& records, std::vector<runner_action>& actions) const;
    bool is_target_refusal(const open_call& current, const answer& response) const;

    runner_settings m_settings;
    running_calls& m_running;
    std::string m_instance; ///< Id of the target's current instance; empty if it has none.
    std::shared_ptr<const config_set> m_config;
    admission m_admission;
    quarantine m_quarantine;
    std::unordered_map<attempt_id, open_call> m_calls;
    std::unordered_set<attempt_id>
        m_recent_attempts; ///< Attempts received recently, so that a repeated message is not run again.
    std::deque<attempt_id> m_recent_order;             ///< m_recent_attempts, oldest first.
    std::vector<admission_action> m_admission_actions; ///< Buffer reused between calls.
    instant m_crash_answers_at = instant::max();       ///< When the calls of a crashed target are answered.
    rule m_closed = rule::none;   ///< Why new calls are refused; rule::none while the target accepts work.
    bool m_probe_pending = false; ///< Whether a probe is in progress.
    runner_counters m_counters;
};

} // namespace waxwing

#endif
