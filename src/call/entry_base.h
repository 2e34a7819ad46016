/** @file entry_base.h Call handling at the entry, the node that the caller reached. */
#ifndef WAXWING_CALL_ENTRY_BASE_H
#define WAXWING_CALL_ENTRY_BASE_H

#include "call/call_action_type.h"
#include "call/dialect_type.h"
#include "call/running_base.h"
#include "config/config.h"
#include "policy/policy.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwing {

/** Request as received from a caller. */
struct entry_request {
    exchange_id m_exchange;        ///< Identifies the exchange with the caller.
    std::string m_method;          ///< HTTP method.
    std::string m_path;            ///< Path with query.
    header_list m_headers;         ///< All headers.
    shared_body m_body;            ///< The whole body.
    bool m_body_too_large = false; ///< Whether the body exceeded the limit and was dropped.
    bool m_local = false;          ///< Whether it was sent from this machine, and so may be a sub-call.
    bool m_over_connection_limit =
        false; ///< Whether its connection exceeds the limit, so that the request is refused.
    boot_instant m_received_at{}; ///< When the whole request had arrived.
    bool m_same_machine = false;  ///< Whether it came from this machine, so that its context can be that of a
                                  ///< call here.
};

/** Settings of an entry. */
struct entry_settings {
    node_id m_self;                 ///< Id of this node.
    data_centre_name m_data_centre; ///< Data centre of this node, for routing.
    service_name m_service;         ///< Service of the target beside this node; empty if there is no target.
    control_mode m_mode = control_mode::full; ///< How much of the overload control is active.
    request_dialect m_dialect;                ///< Header names.
    /** Whether requests that need a key are refused while the configuration is not known to be current. */
    bool m_fail_closed = false;
    /** With m_fail_closed: a key runs no request sent this long after its withdrawal was accepted. */
    duration m_revocation_timeout = std::chrono::seconds(5);
};

/** Counters of an entry since its start. */
struct entry_counters {
    std::uint64_t m_arrived = 0;  ///< Requests received.
    std::uint64_t m_attempts = 0; ///< Attempts sent, including retries.
    std::uint64_t m_retries = 0;  ///< Attempts after the first of a call.
    std::uint64_t m_joined = 0;   ///< Re-sends that joined a call in progress.
    std::uint64_t m_wasted = 0;   ///< Answers and ended calls that no caller waited for any longer.
};

/**
 * Accepts requests from callers, chooses targets, limits retries and answers each caller exactly once.
 * Thread safety: none; used by a single owner.
 */
class entry {
public:
    /**
     * @param settings identity and mode of the entry.
     * @param running table shared with the runner of this node; must outlive the entry.
     * @param seed seed of ids and random choices.
     */
    entry(const entry_settings& settings, running_calls& running, std::uint64_t seed);

    /** Applies @p set to requests that arrive from now on. */
    void configure(std::shared_ptr<const config_set> set);

    /** Adds or updates a target. */
    void put_target(instant now, const route_target& target);

    /** Removes the target beside @p node from routing; its attempts in flight continue. */
    void remove_target(const node_id& node);

    /** Begins a planned stop, which ends at @p end. No call lasts longer, so that each caller is answered;
     * new calls that are unlikely to end in time are refused, and targets are told the shorter time. */
    void begin_stop(instant end);

    /** Refuses new requests of callers from now on, as the node is about to stop. Sub-calls of its target are
     * still accepted if their deadline is not later than the end of the stop. */
    void drain() { m_draining = true; }

    /** Handles a request; results in exactly one entry_reply unless on_caller_disconnected is called before.
     */
    void on_request(instant now, entry_request request, std::vector<entry_action>& actions);

    /** Handles the decision on the request @p waiter of an entry_take_token; must follow for each. */
    void on_quota(instant now, std::uint64_t waiter, const quota_decision& decision,
                  std::vector<entry_action>& actions);

    /** Records that the caller of @p exchange disconnected. */
    void on_caller_disconnected(instant now, exchange_id exchange, std::vector<entry_action>& actions);

    /** Handles the answer to @p attempt. */
    void on_answer(instant now, attempt_id attempt, const answer& response,
                   std::vector<entry_action>& actions);

    /** Records that @p attempt was never sent from this node. */
    void on_undelivered(instant now, attempt_id attempt, std::vector<entry_action>& actions);

    /** Records that the last link to @p node was lost. */
    void on_peer_lost(instant now, const node_id& node, std::vector<entry_action>& actions);

    /** Handles deadlines and retries that are due. To be called at next_tick. */
    void tick(instant now, std::vector<entry_action>& actions);

    /** Returns the time at which tick is due next; instant::max if nothing is scheduled. */
    instant next_tick() const;

    /** Returns the number of calls in progress. */
    std::size_t in_progress() const { return m_calls.size() + m_token_waits.size(); }

    /** Records that the configuration in force was known to be the newest one at @p confirmed_at; an earlier
     * time than the recorded one changes nothing. */
    void confirm(boot_instant confirmed_at);

    /** Returns whether requests that need a key are accepted at @p now: always unless the deployment fails
     * closed, else only shortly after the latest confirmation. */
    bool is_confirmed(boot_instant now) const;

    const entry_counters& counters() const { return m_counters; }

    /** Returns the shedding threshold that applies to @p kind. */
    priority threshold(instant now, const kind_name& kind) const { return m_thresholds.current(now, kind); }

    /** Returns whether any target serves @p service. */
    bool serves(const service_name& service) const;

private:
    /** Identifies a call from its arrival to its answer. */
    using call_number = std::uint64_t;

    /** One call in progress. */
    struct open_call {
        std::shared_ptr<const config_set> m_config; ///< Configuration at the arrival.
        const kind_object* m_kind = nullptr;        ///< Points into m_config.
        retry_settings m_retry;                     ///< Retry policy of the kind.
        std::vector<exchange_id> m_waiters;         ///< The caller and the re-sends that joined.
        call m_call;                                ///< Call to run.
        instant m_arrived_at;                       ///< Time of arrival.
        instant m_deadline;                         ///< Time by which the call must end.
        retry_tokens m_tokens{0};                   ///< Retry tokens that are not lent out.
        std::uint16_t m_lent_tokens = 0;            ///< Tokens lent to the attempt in flight.
        std::uint16_t m_granted_tokens = 0;         ///< Tokens granted to this call at its start.
        attempt_id m_attempt;                       ///< Attempt in flight; 0 between attempts.
        node_id m_node;                             ///< Node of the last attempt.
        std::vector<node_id> m_tried_nodes;         ///< Nodes that were already tried.
        unsigned m_attempts = 0;                    ///< Number of attempts sent.
        bool m_may_have_run = false;                ///< Whether an earlier attempt may have run.
        answer m_last_answer;                       ///< Answer of the last attempt, while a retry is pending.
        instant m_next_tick_at;                     ///< Key of the call in m_tick_times.
        std::optional<attempt_id> m_parent;         ///< Running call that makes this sub-call.
        organisation_name m_organisation; ///< Whose key the root request carried; empty if there was none.
        std::optional<boot_instant> m_token_expires_at; ///< Of the token that it spent, if it needed one.
        bool m_has_key = false;     ///< Whether the request itself carried a key; it is then a root request.
        bool m_is_sub_call = false; ///< Whether a target sent it, even if the parent call is unknown.
        std::vector<node_id> m_reached_nodes; ///< Nodes whose target received an attempt, without duplicates.
        std::vector<node_id>
            m_refusing_nodes; ///< Those of m_reached_nodes whose target refused, oldest refusal first.
    };

    /** A request that waits for a token of its organisation. */
    struct token_wait {
        entry_request m_request; ///< The request.
        request_fields m_fields; ///< Its headers.
        open_call m_call;        ///< As check_request has left it.
    };

    /** State of the weighted round robin over the services of a split. */
    struct split_state {
        std::vector<split_part> m_parts;     ///< Configured services and weights.
        std::vector<std::int64_t> m_credits; ///< Current credit of each part, in units of weight.
    };

    void configure_shares(const config_set* previous);
    answer check_request(instant now, const entry_request& request, const request_fields& fields,
                         open_call& new_call);
    answer check_key(const entry_request& request, const request_fields& fields, open_call& new_call);
    bool needs_quota(const open_call& current) const;
    void wait_for_token(entry_request request, request_fields fields, open_call new_call,
                        std::vector<entry_action>& actions);
    std::optional<token_wait> end_token_wait(call_number number);
    void end_late_token_waits(instant now, std::vector<entry_action>& actions);
    static void return_token(const open_call& current, std::vector<entry_action>& actions);
    void accept(instant now, entry_request request, const request_fields& fields, open_call new_call,
                std::vector<entry_action>& actions);
    void refuse(instant now, const entry_request& request, bool root, const open_call& new_call,
                answer response, std::vector<entry_action>& actions);
    static bool is_root(const request_fields& fields, const open_call& new_call);
    std::uint8_t importance_of(const open_call& current) const;
    static std::string label_of(const open_call& current);
    void set_headers(const header_list& received, open_call& new_call) const;
    answer prepare(instant now, const entry_request& request, const request_fields& fields,
                   open_call& new_call);
    answer prepare_root(instant now, open_call& new_call);
    bool ends_before_stop(instant now, const open_call& new_call) const;
    running_call* parent_call(const parent_reference& reference);
    answer begin_sub_call(instant now, open_call& new_call, attempt_id parent_id, running_call& parent);
    std::optional<attempt_id> parent_of(const entry_request& request, instant deadline) const;
    const service_name& choose_service(const kind_object& kind);
    answer prepare_sub_call(instant now, const parent_reference& reference, open_call& new_call);
    bool join(const entry_request& request, const open_call& new_call);
    std::string join_key(const open_call& new_call, const header_list& headers) const;
    void remove_key(call_number number, const open_call& current);
    void open(instant now, open_call new_call, std::vector<entry_action>& actions);
    void send_attempt(instant now, call_number number, open_call& current,
                      std::vector<entry_action>& actions);
    std::optional<node_id> choose_node(instant now, const open_call& current);
    static void record_reached(open_call& current, const answer& response);
    void end_attempt(instant now, call_number number, const answer& response,
                     std::vector<entry_action>& actions);
    bool may_retry(instant now, const open_call& current, const answer& response);
    void retry_later(instant now, call_number number, open_call& current, answer response);
    void finish(instant now, call_number number, answer response, std::vector<entry_action>& actions);
    void update_parent(instant now, const open_call& current, const answer& response);
    void schedule_tick(call_number number, open_call& current, instant tick_at);
    void add_retry_after(answer& response);
    router& router_of(const service_name& service);
    retry_budget& budget_of(const service_name& service, const retry_settings& settings);
    attempt_id new_attempt();

    entry_settings m_settings;
    running_calls& m_running;
    random_source m_random;
    std::shared_ptr<const config_set> m_config;
    std::unique_ptr<const kind_index> m_kinds;                 ///< Index of the kinds in m_config.
    std::unique_ptr<const organisation_index> m_organisations; ///< Index of the keys in m_config.
    std::optional<boot_instant> m_confirmed_at; ///< When m_config was last known to be the newest one.
    std::unordered_map<kind_name, split_state> m_splits;
    std::unordered_map<service_name, router> m_routers; ///< Routers by service.
    threshold_table m_thresholds;
    caller_shares m_shares;
    std::unordered_map<service_name, retry_budget> m_budgets;
    std::unordered_map<call_number, open_call> m_calls;
    std::unordered_map<attempt_id, call_number> m_attempts;
    std::unordered_map<exchange_id, call_number> m_exchanges;
    std::unordered_map<std::string, call_number> m_keys;    ///< Calls by join_key, for re-sends.
    std::set<std::pair<instant, call_number>> m_tick_times; ///< Calls by the time at which tick handles them.
    std::unordered_map<call_number, token_wait> m_token_waits; ///< Requests without a token.
    std::unordered_map<exchange_id, call_number> m_token_wait_exchanges;
    std::set<std::pair<instant, call_number>> m_token_wait_ends; ///< By their deadline.
    call_number m_last_number = 0;
    std::uint64_t m_attempt_base;
    std::uint64_t m_attempt_count = 0;
    bool m_draining = false;
    instant m_stop_at = instant::max(); ///< When all calls have to end.
    entry_counters m_counters;
};

} // namespace waxwing

#endif
