/** @file entry_base.h The life of a call at the node that the caller reached. */
#ifndef WAXWING_CALL_ENTRY_BASE_H
#define WAXWING_CALL_ENTRY_BASE_H

#include "call/call_action_type.h"
#include "call/dialect_type.h"
#include "call/running_base.h"
#include "config/config.h"
#include "policy/policy.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwing {

/** A request as a caller sent it. */
struct entry_request {
    exchange_id m_exchange;        ///< Names the caller's exchange.
    std::string m_method;          ///< HTTP method.
    std::string m_path;            ///< Path with query.
    header_list m_headers;         ///< All fields.
    std::string m_body;            ///< The whole body.
    bool m_body_too_large = false; ///< Whether the body was over the limit and was dropped.
    bool m_local = false;          ///< Whether it came from this machine, so that it may be a sub-call.
    bool m_over_connection_limit =
        false; ///< Whether its connection is above the limit, so that it is refused.
};

/** Who an entry is. */
struct entry_settings {
    node_id m_self;                           ///< This node.
    data_centre_name m_data_centre;           ///< Where it is, for routing.
    service_name m_service;                   ///< What the target beside this node serves; empty is none.
    control_mode m_mode = control_mode::full; ///< How much of the control is in force.
    request_dialect m_dialect;                ///< Names of header fields.
};

/** What an entry has counted since its start. */
struct entry_counters {
    std::uint64_t m_arrived = 0;  ///< Requests.
    std::uint64_t m_attempts = 0; ///< Attempts sent.
    std::uint64_t m_retries = 0;  ///< Attempts beyond the first.
    std::uint64_t m_joined = 0;   ///< Re-sends that joined an attempt in progress.
    std::uint64_t m_wasted = 0;   ///< Answers that came when nobody waited any more.
};

/**
 * Takes callers' requests, chooses targets, bounds retries, and answers each caller exactly once.
 * Thread safety: none needed; one owner.
 */
class entry {
public:
    /**
     * @param settings who it is.
     * @param running the table shared with the runner of this node; outlives this.
     * @param seed of ids and random choices.
     */
    entry(const entry_settings& settings, running_calls& running, std::uint64_t seed);

    /** Takes @p set into force for requests that arrive from now on. */
    void configure(std::shared_ptr<const config_set> set);

    /** Adds or changes a target. */
    void put_target(instant now, const route_target& target);

    /** Takes the target beside @p node out of routing; its attempts in flight go on. */
    void remove_target(const node_id& node);

    /** Refuses callers' new requests from now on, since the node leaves; sub-calls of its target still pass.
     */
    void drain() { m_draining = true; }

    /** Takes in a request; ends in one entry_reply unless on_caller_disconnected comes first. */
    void on_request(instant now, entry_request request, std::vector<entry_action>& actions);

    /** Takes note that the caller of @p exchange went away. */
    void on_caller_disconnected(instant now, exchange_id exchange, std::vector<entry_action>& actions);

    /** Takes in the answer to @p attempt. */
    void on_answer(instant now, attempt_id attempt, const answer& given, std::vector<entry_action>& actions);

    /** Takes note that @p attempt never left this node. */
    void on_undelivered(instant now, attempt_id attempt, std::vector<entry_action>& actions);

    /** Takes note that the last link to @p node is gone. */
    void on_peer_lost(instant now, const node_id& node, std::vector<entry_action>& actions);

    /** Does what is due: deadlines and retries. Call at next_tick. */
    void tick(instant now, std::vector<entry_action>& actions);

    /** Gives the time at which tick has something to do; instant::max where never. */
    instant next_tick() const;

    /** Gives the calls in progress. */
    std::size_t in_progress() const { return m_calls.size(); }

    /** Gives the counters. */
    const entry_counters& counters() const { return m_counters; }

    /** Gives the threshold held against @p kind. */
    priority threshold(instant now, const kind_name& kind) const { return m_thresholds.current(now, kind); }

    /** Tells whether any target serves @p service. */
    bool serves(const service_name& service) const;

private:
    /** Names a call from its arrival to its answer. */
    using call_number = std::uint64_t;

    /** One call in progress. */
    struct open_call {
        std::shared_ptr<const config_set> m_config; ///< In force at the arrival.
        const kind_object* m_kind = nullptr;        ///< Within m_config.
        retry_settings m_retry;                     ///< Of the kind.
        std::vector<exchange_id> m_waiters;         ///< The caller, and its re-sends that joined.
        call m_call;                                ///< What to run.
        instant m_arrived;                          ///< When.
        instant m_deadline;                         ///< When it must have ended.
        retry_tokens m_tokens{0};                   ///< Not lent at present.
        std::uint16_t m_lent = 0;                   ///< Lent with the attempt in flight.
        std::uint16_t m_granted = 0;                ///< What this call was given.
        attempt_id m_attempt;                       ///< In flight; zero between attempts.
        node_id m_node;                             ///< Where it was sent.
        std::vector<node_id> m_tried;               ///< Nodes not to try again.
        unsigned m_attempts = 0;                    ///< Attempts sent.
        bool m_may_have_run = false;                ///< Whether an earlier attempt may have run.
        answer m_last;                              ///< Of the attempt before a retry.
        instant m_next;                             ///< When tick is to look at it.
        std::optional<attempt_id> m_parent;         ///< The running call that makes this sub-call.
        bool m_is_sub_call = false;      ///< Whether a target sent it, also where the call is not known.
        std::vector<node_id> m_reached;  ///< Nodes whose target was sent an attempt, each once.
        std::vector<node_id> m_refusers; ///< Those of m_reached whose target refused, the last one last.
    };

    /** Where the requests of one split go next. */
    struct split_state {
        std::vector<split_part> m_parts;     ///< As configured.
        std::vector<std::int64_t> m_credits; ///< What each part is owed, in weights.
    };

    answer prepare(instant now, const entry_request& request, const request_fields& fields,
                   open_call& opened);
    answer prepare_root(instant now, open_call& opened);
    answer begin_sub_call(instant now, open_call& opened, attempt_id parent_id, running_call& parent);
    std::optional<attempt_id> parent_of(const entry_request& request, instant deadline) const;
    const service_name& choose_service(const kind_object& kind);
    answer prepare_sub_call(instant now, const parent_reference& reference, open_call& opened);
    bool join(const entry_request& request, const open_call& opened);
    static std::string join_key(const open_call& opened);
    void forget_key(call_number number, const open_call& current);
    void open(instant now, open_call opened, std::vector<entry_action>& actions);
    void send_attempt(instant now, call_number number, open_call& current,
                      std::vector<entry_action>& actions);
    std::optional<node_id> choose_node(instant now, const open_call& current);
    static void note_reached(open_call& current, const answer& given);
    void end_attempt(instant now, call_number number, const answer& given,
                     std::vector<entry_action>& actions);
    bool may_retry(instant now, const open_call& current, const answer& given);
    void retry_later(instant now, call_number number, open_call& current, answer given);
    void finish(instant now, call_number number, answer given, std::vector<entry_action>& actions);
    void settle_parent(instant now, const open_call& current, const answer& given);
    void set_time(call_number number, open_call& current, instant when);
    void add_retry_after(answer& given);
    router& router_of(const service_name& service);
    retry_budget& budget_of(const service_name& service, const retry_settings& settings);
    attempt_id new_attempt();

    entry_settings m_settings;
    running_calls& m_running;
    random_source m_random;
    std::shared_ptr<const config_set> m_config;
    std::unique_ptr<const kind_index> m_kinds; ///< Of m_config.
    std::unordered_map<kind_name, split_state> m_splits;
    std::unordered_map<service_name, router> m_routers; ///< One a service, with the policy that it names.
    threshold_table m_thresholds;
    caller_shares m_shares;
    std::unordered_map<service_name, retry_budget> m_budgets;
    std::unordered_map<call_number, open_call> m_calls;
    std::unordered_map<attempt_id, call_number> m_attempts;
    std::unordered_map<exchange_id, call_number> m_exchanges;
    std::unordered_map<std::string, call_number> m_keys; ///< Calls with an idempotency key, for re-sends.
    std::set<std::pair<instant, call_number>> m_times;   ///< When tick is to look at which call.
    call_number m_last_number = 0;
    std::uint64_t m_attempt_base;
    std::uint64_t m_attempt_count = 0;
    bool m_draining = false;
    entry_counters m_counters;
};

} // namespace waxwing

#endif
