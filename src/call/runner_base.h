/** @file runner_base.h The life of a call at the node beside its target. */
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

/** How far a call that got no whole answer went; as the HTTP client tells it. */
enum class target_failure {
    not_sent, ///< No byte went to the target.
    timeout,  ///< The time is over.
    lost,     ///< The connection broke.
    aborted   ///< It was given up.
};

/** Who a runner is, and what its parts need. */
struct runner_settings {
    node_id m_self;                           ///< This node.
    incarnation m_incarnation;                ///< This life of its process.
    service_name m_service;                   ///< What the target serves.
    std::uint32_t m_slots = 1;                ///< The target's slots.
    std::string m_shared_key;                 ///< Names suspects alike on all nodes of the fleet.
    control_mode m_mode = control_mode::full; ///< How much of the control is in force.
    request_dialect m_dialect;                ///< Names of header fields.
    quarantine_settings m_quarantine;         ///< Bounds of the table of suspects.
};

/** What a runner has counted since its start. */
struct runner_counters {
    std::uint64_t m_arrived = 0;   ///< Calls.
    std::uint64_t m_started = 0;   ///< Runs at the target.
    std::uint64_t m_succeeded = 0; ///< Runs that the target answered below 500.
    std::uint64_t m_refused = 0;   ///< Calls that did not run.
    std::uint64_t m_cancelled = 0; ///< Calls that nobody waited for any more.
};

/**
 * Decides what runs at the target beside this node, and answers each call exactly once.
 * Thread safety: none needed; one owner.
 */
class runner {
public:
    /** @param running the table shared with the entry of this node; outlives this. */
    runner(const runner_settings& settings, running_calls& running);

    /** Takes @p set into force for calls that arrive from now on. */
    void configure(std::shared_ptr<const config_set> set);

    /** Takes note of what the target serves, of its size, and of the id of its present life; empty is none.
     */
    void set_target(const service_name& service, std::uint32_t slots, std::string instance = {});

    /** Takes in a call that the entry of @p origin sent; ends in one runner_answer. A repeated message is
     * ignored. */
    void on_call(instant now, const node_id& origin, attempt_id attempt, call received,
                 std::vector<runner_action>& actions);

    /** Takes note that nobody waits for @p attempt any more. */
    void cancel(instant now, attempt_id attempt, std::vector<runner_action>& actions);

    /** Takes note that the last link to @p node is gone: nobody waits for its calls. */
    void on_peer_lost(instant now, const node_id& node, std::vector<runner_action>& actions);

    /** Takes in the target's answer to the run of @p attempt. */
    void on_target_answer(instant now, attempt_id attempt, answer given, std::vector<runner_action>& actions);

    /** Takes note that the run of @p attempt got no whole answer. */
    void on_target_failure(instant now, attempt_id attempt, target_failure failure,
                           std::vector<runner_action>& actions);

    /** Takes in whether the target accepts connections, after runner_probe. */
    void on_probe(instant now, bool accepts, std::vector<runner_action>& actions);

    /** Merges what a peer says of requests that crash targets. */
    void on_quarantine(instant now, const std::vector<quarantine_record>& records);

    /** Gives all that is held of requests that crash targets, for a node that has just come; empty where
     * nothing is. */
    std::string quarantine_snapshot(instant now) const;

    /** Releases the request that logs call @p name. @return whether there is one. */
    bool release(instant now, const std::string& name, std::vector<runner_action>& actions);

    /** Takes no new calls, refusing them with @p why; runs go on. */
    void close(rule why, std::vector<runner_action>& actions);

    /** Takes calls again. */
    void reopen();

    /** Lowers the limit to @p slots for a while. */
    void hint(instant now, std::uint32_t slots);

    /** Does what is due. Call at next_tick. */
    void tick(instant now, std::vector<runner_action>& actions);

    /** Gives the time at which tick has something to do; instant::max where never. */
    instant next_tick() const;

    /** Gives the calls that wait or run. */
    std::size_t in_progress() const { return m_calls.size(); }

    /** Gives the load as peers see it. */
    load_report report(instant now) const { return m_admission.report(now); }

    /** Gives the counters. */
    const runner_counters& counters() const { return m_counters; }

    /** Lists what is held of requests that crash targets, by the names that logs use. */
    std::vector<std::pair<std::string, suspicion>> suspects(instant now) const;

private:
    /** How far a call has come. */
    enum class stage {
        queued,  ///< Waits for a slot.
        running, ///< Was sent to the target.
        held     ///< Its connection broke; the probe will tell whether the target died.
    };

    /** One call that waits or runs. */
    struct open_call {
        node_id m_origin;                   ///< The entry's node.
        call m_call;                        ///< What to run; its message is moved away on the run.
        stage m_stage = stage::queued;      ///< How far it has come.
        instant m_arrived;                  ///< When.
        instant m_started;                  ///< When it got its slot.
        instant m_deadline;                 ///< When it must have ended.
        bool m_exclusive = false;           ///< Whether it runs alone.
        bool m_unwanted = false;            ///< Whether nobody waits any more.
        std::uint16_t m_refusal_status = 0; ///< By which the target says "not run".
    };

    void configure_admission();
    bool is_repeated(attempt_id attempt);
    void refuse(instant now, attempt_id attempt, answer given, std::vector<runner_action>& actions);
    void apply(instant now, std::vector<runner_action>& actions);
    void start(instant now, attempt_id attempt, std::vector<runner_action>& actions);
    void run(instant now, attempt_id attempt, open_call& current, std::vector<runner_action>& actions);
    void add_fields(const open_call& current, attempt_id attempt, duration left, call& sent) const;
    void probe(std::vector<runner_action>& actions);
    void end_run(instant now, attempt_id attempt, answer given, run_end end,
                 std::vector<runner_action>& actions);
    void send_answer(instant now, attempt_id attempt, const open_call& ended, answer given,
                     std::vector<runner_action>& actions);
    void end_held(instant now, rule why, std::vector<runner_action>& actions);
    void target_died(instant now, std::vector<runner_action>& actions);
    void spread(const std::vector<quarantine_record>& changed, std::vector<runner_action>& actions) const;
    bool was_refused(const open_call& current, const answer& given) const;

    runner_settings m_settings;
    running_calls& m_running;
    std::string m_instance; ///< Id of the target's present life; empty where it gave none.
    std::shared_ptr<const config_set> m_config;
    admission m_admission;
    quarantine m_quarantine;
    std::unordered_map<attempt_id, open_call> m_calls;
    std::unordered_set<attempt_id>
        m_recent; ///< Attempts that came lately, so that a repeated message runs nothing.
    std::deque<attempt_id> m_recent_order;             ///< The same, oldest first.
    std::vector<admission_action> m_admission_actions; ///< Reused between calls.
    instant m_tell_crash_at = instant::max();          ///< When the calls of a dead target are answered.
    rule m_closed = rule::none; ///< Why nothing new runs; none where the target takes work.
    bool m_probing = false;     ///< Whether a probe is on its way.
    runner_counters m_counters;
};

} // namespace waxwing

#endif
