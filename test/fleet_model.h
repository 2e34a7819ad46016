/** @file fleet_model.h Model of several nodes: real entries and runners over fake links and targets that
 * lose, delay and repeat messages, with an oracle. */
#ifndef WAXWING_TEST_FLEET_MODEL_H
#define WAXWING_TEST_FLEET_MODEL_H

#include "call/call.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing::model {

inline constexpr std::size_t node_count = 4; ///< 0 and 1 serve `front`, 2 and 3 serve `deep`.
inline constexpr std::uint32_t slots = 2;
inline constexpr std::uint16_t max_retry_tokens = 1;
inline constexpr std::size_t max_crashes = 2; ///< Targets that one request may crash.
/** Longest time until a node knows that its target or that of a peer has crashed. */
inline constexpr duration crash_report_delay = std::chrono::seconds(1);
inline constexpr duration tick_step = std::chrono::milliseconds(1);

/** Action of a step. */
enum class step_type {
    lookup,       ///< Send an idempotent request.
    order,        ///< Send a non-idempotent request.
    poison,       ///< Send a request that crashes its target.
    caller_gone,  ///< Disconnect the caller of the last request.
    advance,      ///< Let time pass.
    cut,          ///< Break the links of a node for a while.
    crash_target, ///< Crash a target; it restarts after 50 ms.
    kill_node,    ///< Kill a node; it restarts with empty state.
    pause_node,   ///< Pause a node for a while.
    target_fails, ///< A target answers 500 for a while.
    target_mute,  ///< A target runs calls but its connections break before the answers, for a while.
    drain,        ///< A target's node refuses new work for a while.
    repeat_calls  ///< Links deliver each call message twice, for a while.
};
inline constexpr std::size_t step_type_count = static_cast<std::size_t>(step_type::repeat_calls) + 1;

/** Step of a run. */
struct step {
    step_type m_type = step_type::advance;
    unsigned m_node = 0;   ///< Index of the node, modulo node_count.
    unsigned m_number = 0; ///< Key, or duration in milliseconds.
};

/** Thrown when the oracle detects a violated invariant. */
struct invariant_violation {
    std::string m_text;
};

/** Returns the configuration of the model. */
inline std::shared_ptr<const config_set> model_config()
{
    auto set = std::make_shared<config_set>();
    for (const char* name : {"front", "deep"}) {
        service_object service;
        service.m_name.m_value = name;
        set->m_services[service.m_name] = service;
    }
    retry_settings few;
    few.m_tokens = max_retry_tokens;
    few.m_budget_floor = 1000.0;
    set->m_retries["few"] = few;
    const auto add = [&](const char* name, const char* service, const char* path, std::uint8_t importance,
                         bool idempotent) {
        kind_object kind;
        kind.m_name.m_value = name;
        kind.m_service.m_value = service;
        kind.m_path_prefix = path;
        kind.m_importance = importance;
        kind.m_idempotent = idempotent;
        kind.m_deadline = std::chrono::milliseconds(400);
        kind.m_retry = "few";
        set->m_kinds[kind.m_name] = kind;
    };
    add("lookup", "front", "/lookup", 128, true);
    add("order", "front", "/order", 224, false);
    add("fetch", "deep", "/fetch", 48, true);
    return set;
}

/** Fleet of nodes with its oracle. */
class fleet {
public:
    explicit fleet(std::uint64_t seed) : m_random(seed), m_config(model_config())
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            m_nodes.push_back(std::make_unique<node_state>());
            start_node(index);
        }
    }

    /** Performs @p current. Throws invariant_violation. */
    void apply(const step& current)
    {
        const std::size_t index = current.m_node % node_count;
        node_state& node = *m_nodes[index];
        const bool may_lose_broadcasts = current.m_type == step_type::cut ||
                                         current.m_type == step_type::kill_node ||
                                         current.m_type == step_type::pause_node;
        m_lost_broadcasts += may_lose_broadcasts ? 1 : 0;
        const instant until = m_now + std::chrono::milliseconds(20 + current.m_number % 200);
        switch (current.m_type) {
        case step_type::lookup:
            return send(index, "GET", "/lookup/" + std::to_string(++m_last_request));
        case step_type::order:
            return send(index, "POST", "/order");
        case step_type::poison:
            return send_poison(index, "/lookup/poison-" + std::to_string(current.m_number % 2));
        case step_type::caller_gone:
            return disconnect_last();
        case step_type::advance:
            return advance(std::chrono::milliseconds(current.m_number % 300));
        case step_type::cut:
            node.m_cut_until = until;
            return drop_links(index);
        case step_type::crash_target:
            m_crash_times[{}].push_back(m_now);
            return crash_target(index);
        case step_type::kill_node:
            return kill_node(index);
        case step_type::pause_node:
            node.m_paused_until = until;
            return;
        case step_type::target_fails:
            node.m_fails_until = until;
            return;
        case step_type::target_mute:
            node.m_mute_until = until;
            return;
        case step_type::drain:
            node.m_draining_until = until;
            node.m_runner->close(m_now, rule::draining, node.m_runner_actions);
            return carry_out_actions(index);
        case step_type::repeat_calls:
            m_repeat_until = until;
            return;
        }
    }

    /** Lets everything in progress end, and checks the final invariants. Throws invariant_violation. */
    void finish()
    {
        advance(std::chrono::seconds(3));
        for (const auto& [id, record] : m_requests) {
            require(record.m_replied || record.m_reply_optional, "a caller got no answer");
            const bool reported_not_run = record.m_replied && record.m_state == run_state::not_run;
            require(!reported_not_run || !was_run(record), "told not-run, but it ran: " + record.m_path);
        }
    }

    /** Returns the number of runs at targets. */
    std::uint64_t runs() const { return m_runs; }

    /** Returns the number of requests and sub-calls that a target answered with 200. */
    std::uint64_t completed() const { return m_completed; }

private:
    /** Node with its target. */
    struct node_state {
        node_id m_name;
        service_name m_service;
        std::unique_ptr<running_calls> m_running;
        std::unique_ptr<entry> m_entry;
        std::unique_ptr<runner> m_runner;
        std::vector<entry_action> m_entry_actions;
        std::vector<runner_action> m_runner_actions;
        std::uint64_t m_incarnation_count = 0;
        std::uint64_t m_target_incarnation = 0;
        std::set<attempt_id> m_at_target; ///< Runs in progress at the target.
        bool m_target_up = true;
        instant m_cut_until{};
        instant m_paused_until{};
        instant m_fails_until{};
        instant m_mute_until{};
        instant m_draining_until{};
        bool m_closed = false;
    };

    /** Request of a caller, and its outcome. */
    struct sent_request {
        std::string m_path;
        std::string m_body; ///< Unique for each exchange, except for poison; the answer must echo it.
        std::size_t m_node = 0;
        std::uint64_t m_incarnation_count = 0;
        bool m_replied = false;
        bool m_reply_optional = false; ///< The node was killed or the caller disconnected.
        run_state m_state = run_state::unknown;
        bool m_is_sub_call = false;
        std::function<void(const entry_reply&)> m_reply_handler;
    };

    static void require(bool holds, const std::string& text)
    {
        if (!holds) {
            throw invariant_violation{text};
        }
    }

    void start_node(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        const std::string names = "abcd";
        node.m_name.m_value = std::string(1, names[index]);
        node.m_service.m_value = index < 2 ? "front" : "deep";
        ++node.m_incarnation_count;
        node.m_running = std::make_unique<running_calls>();
        const entry_settings identity{
            node.m_name, data_centre_name{"one"}, node.m_service, control_mode::full, {}};
        node.m_entry = std::make_unique<entry>(identity, *node.m_running, m_random());
        runner_settings settings;
        settings.m_self = node.m_name;
        settings.m_incarnation.m_value = node.m_incarnation_count;
        settings.m_service = node.m_service;
        settings.m_slots = slots;
        settings.m_shared_key = "0123456789abcdef";
        node.m_runner = std::make_unique<runner>(settings, *node.m_running);
        node.m_entry->configure(m_config);
        node.m_runner->configure(m_config);
        for (std::size_t other = 0; other < node_count; ++other) {
            const char* const service = other < 2 ? "front" : "deep";
            node.m_entry->put_target(m_now, {node_id{std::string(1, names[other])}, service_name{service},
                                             data_centre_name{"one"}, slots});
        }
    }

    void schedule(duration delay, std::function<void()> action)
    {
        m_queue.emplace(m_now + delay, std::move(action));
    }

    duration random_delay() { return std::chrono::microseconds(100 + m_random() % 2000); }

    /** Advances the time by @p length in steps of tick_step. */
    void advance(duration length)
    {
        const instant end = m_now + length;
        while (m_now < end) {
            m_now += tick_step;
            while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
                const std::function<void()> action = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                action();
            }
            for (std::size_t index = 0; index < node_count; ++index) {
                tick(index);
            }
        }
    }

    bool is_paused(std::size_t index) const { return m_now < m_nodes[index]->m_paused_until; }

    void tick(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        if (is_paused(index)) {
            return;
        }
        const bool closed = m_now < node.m_draining_until || !node.m_target_up;
        if (node.m_closed && !closed) {
            node.m_runner->reopen();
        }
        node.m_closed = closed;
        if (node.m_entry->next_tick() <= m_now) {
            node.m_entry->tick(m_now, node.m_entry_actions);
        }
        if (node.m_runner->next_tick() <= m_now) {
            node.m_runner->tick(m_now, node.m_runner_actions);
        }
        carry_out_actions(index);
    }

    /** Calls @p action at node @p index after @p delay: later if the node is paused then, and not at all if
     * it has restarted. */
    void run_at_node(std::size_t index, duration delay, std::function<void(node_state&)> action)
    {
        const std::uint64_t incarnation_count = m_nodes[index]->m_incarnation_count;
        schedule(delay, [this, index, incarnation_count, action = std::move(action)] {
            node_state& node = *m_nodes[index];
            if (node.m_incarnation_count != incarnation_count) {
                return;
            }
            if (is_paused(index)) {
                run_at_node(index, node.m_paused_until - m_now + tick_step, action);
                return;
            }
            action(node);
            carry_out_actions(index);
        });
    }

    // Callers.

    void send(std::size_t index, const std::string& method, const std::string& path, header_list headers = {},
              std::function<void(const entry_reply&)> reply_handler = {})
    {
        node_state& node = *m_nodes[index];
        const exchange_id id{++m_last_exchange};
        sent_request record;
        record.m_path = path;
        const bool repeated = path.find("poison") != std::string::npos;
        record.m_body = repeated ? path : "body-" + std::to_string(id.m_value);
        record.m_node = index;
        record.m_incarnation_count = node.m_incarnation_count;
        record.m_reply_handler = std::move(reply_handler);
        entry_request request{id, method, path, std::move(headers), record.m_body, false};
        const bool sub_call = find_header(request.m_headers, context_header) != nullptr;
        record.m_is_sub_call = sub_call;
        request.m_headers.push_back({"Host", sub_call ? "deep" : "front"});
        m_requests.emplace(id, std::move(record));
        m_last_sent = id;
        run_at_node(index, random_delay(), [this, request](node_state& at) {
            at.m_entry->on_request(m_now, request, at.m_entry_actions);
        });
    }

    /** Sends a request that crashes its target, unless the previous one with the same path still waits: no
     * quarantine record can arrive before a request that was sent earlier. */
    void send_poison(std::size_t index, const std::string& path)
    {
        const auto last = m_requests.find(m_last_poison[path]);
        const bool is_pending =
            last != m_requests.end() && !last->second.m_replied && !last->second.m_reply_optional;
        if (is_pending) {
            return;
        }
        send(index, "GET", path);
        m_last_poison[path] = m_last_sent;
    }

    void disconnect_last()
    {
        const auto position = m_requests.find(m_last_sent);
        if (position == m_requests.end() || position->second.m_replied || position->second.m_is_sub_call) {
            return;
        }
        position->second.m_reply_optional = true;
        run_at_node(position->second.m_node, random_delay(), [this, id = m_last_sent](node_state& at) {
            at.m_entry->on_caller_disconnected(m_now, id, at.m_entry_actions);
        });
    }

    void on_reply(const entry_reply& reply)
    {
        const auto position = m_requests.find(reply.m_exchange);
        require(position != m_requests.end(), "an answer to no request");
        sent_request& record = position->second;
        require(!record.m_replied, "a caller got two answers");
        record.m_replied = true;
        record.m_state = reply.m_answer.m_state;
        const bool answered = reply.m_answer.m_rule == rule::none && reply.m_answer.m_status == 200;
        if (answered) {
            ++m_completed;
            require(reply.m_answer.m_body == record.m_body, "an answer to another request");
        }
        if (record.m_reply_handler) {
            record.m_reply_handler(reply);
        }
    }

    /** Returns whether a target ran @p record. Always false for bodies that several requests share, since
     * these don't identify one request. */
    bool was_run(const sent_request& record) const
    {
        return record.m_body.compare(0, 5, "body-") == 0 && m_run_bodies.contains(record.m_body);
    }

    // Links.

    bool is_cut(std::size_t a, std::size_t b) const
    {
        return a != b && (m_now < m_nodes[a]->m_cut_until || m_now < m_nodes[b]->m_cut_until);
    }

    /** Breaks the links of @p index: messages in transit are lost, and both sides are notified. */
    void drop_links(std::size_t index)
    {
        ++m_link_epoch[index];
        for (std::size_t other = 0; other < node_count; ++other) {
            if (other == index) {
                continue;
            }
            for (const auto& [at, lost] : {std::pair{index, other}, std::pair{other, index}}) {
                run_at_node(at, random_delay(), [this, name = m_nodes[lost]->m_name](node_state& node) {
                    node.m_entry->on_peer_lost(m_now, name, node.m_entry_actions);
                    node.m_runner->on_peer_lost(m_now, name, node.m_runner_actions);
                });
            }
        }
    }

    /** Delivers @p action to the node @p to as a message from @p from, unless the link breaks first. */
    void send_over_link(std::size_t from, std::size_t to, const std::function<void(node_state&)>& action)
    {
        const std::uint64_t epoch = m_link_epoch[from] + m_link_epoch[to];
        const auto deliver = [this, from, to, epoch, action](node_state& at) {
            if (from == to || m_link_epoch[from] + m_link_epoch[to] == epoch) {
                action(at);
            }
        };
        run_at_node(to, random_delay(), deliver);
        if (m_now < m_repeat_until && from != to) {
            run_at_node(to, random_delay(), deliver);
        }
    }

    std::size_t index_of(const node_id& name) const
    {
        return static_cast<std::size_t>(name.m_value[0] - 'a');
    }

    /** Carries out the pending actions of the node @p index. */
    void carry_out_actions(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        bool busy = true;
        while (busy) {
            const std::vector<entry_action> entry_actions = std::exchange(node.m_entry_actions, {});
            for (const entry_action& action : entry_actions) {
                std::visit([this, index](const auto& pending) { carry_out(index, pending); }, action);
            }
            const std::vector<runner_action> runner_actions = std::exchange(node.m_runner_actions, {});
            for (const runner_action& action : runner_actions) {
                std::visit([this, index](const auto& pending) { carry_out(index, pending); }, action);
            }
            busy = !entry_actions.empty() || !runner_actions.empty();
        }
    }

    void carry_out(std::size_t index, const entry_send& action)
    {
        const root_id root = action.m_call.m_context.m_root;
        auto& [sends, calls] = m_calls_by_root[root];
        ++sends;
        calls.insert(action.m_call.m_body);
        require(sends <= calls.size() + max_retry_tokens, "more retries over the chain than tokens");
        const std::size_t to = index_of(action.m_node);
        if (is_cut(index, to)) {
            run_at_node(index, random_delay(), [this, attempt = action.m_attempt](node_state& node) {
                node.m_entry->on_undelivered(m_now, attempt, node.m_entry_actions);
            });
            return;
        }
        send_over_link(index, to, [this, origin = m_nodes[index]->m_name, action](node_state& node) {
            node.m_runner->on_call(m_now, origin, action.m_attempt, action.m_call, node.m_runner_actions);
        });
    }

    void carry_out(std::size_t index, const entry_cancel& action)
    {
        send_over_link(index, index_of(action.m_node), [this, action](node_state& node) {
            node.m_runner->cancel(m_now, action.m_attempt, node.m_runner_actions);
        });
    }

    void carry_out(std::size_t, const entry_reply& reply) { on_reply(reply); }
    void carry_out(std::size_t, const entry_take_token&) {} // No organisation has a limit here.
    void carry_out(std::size_t, const entry_return_token&) {}

    void carry_out(std::size_t index, const runner_answer& action)
    {
        send_over_link(index, index_of(action.m_node), [this, action](node_state& node) {
            node.m_entry->on_answer(m_now, action.m_attempt, action.m_answer, node.m_entry_actions);
        });
    }

    // Targets.

    void carry_out(std::size_t index, const runner_run& action)
    {
        node_state& node = *m_nodes[index];
        require(m_now >= node.m_draining_until, "a draining target got new work");
        if (!node.m_target_up) {
            run_at_node(index, random_delay(), [this, attempt = action.m_attempt](node_state& at) {
                at.m_runner->on_target_failure(m_now, attempt, target_failure::not_sent, at.m_runner_actions);
            });
            return;
        }
        ++m_runs;
        m_run_bodies.insert(action.m_call.m_body);
        const bool once = !action.m_call.m_idempotent;
        const std::string& name = action.m_call.m_body;
        require(!once || ++m_order_runs[name] == 1, "a non-idempotent request ran twice: " + name);
        node.m_at_target.insert(action.m_attempt);
        require(node.m_at_target.size() <= slots, "more runs than slots");
        if (action.m_call.m_path.find("poison") != std::string::npos) {
            const std::string& path = action.m_call.m_path;
            m_crash_times[path].push_back(m_now);
            const std::size_t coincidences = was_coincidence_likely(path) ? 1 : 0;
            require(m_crash_times[path].size() <= max_crashes + coincidences + m_lost_broadcasts,
                    "one request crashed too many targets");
            crash_target(index);
            return;
        }
        const std::string* const context = find_header(action.m_call.m_headers, context_header);
        if (index < 2) {
            make_sub_call(index, action, *context);
            return;
        }
        end_run_later(index, action, true);
    }

    void make_sub_call(std::size_t index, const runner_run& action, const std::string& context)
    {
        const std::uint64_t target_incarnation = m_nodes[index]->m_target_incarnation;
        send(index, "GET", "/fetch", {{std::string(context_header), context}},
             [this, index, action, target_incarnation](const entry_reply& reply) {
                 if (m_nodes[index]->m_target_incarnation == target_incarnation) {
                     const bool succeeded =
                         reply.m_answer.m_rule == rule::none && reply.m_answer.m_status == 200;
                     end_run_later(index, action, succeeded);
                 }
             });
    }

    void end_run_later(std::size_t index, const runner_run& action, bool succeeds)
    {
        const std::uint64_t target_incarnation = m_nodes[index]->m_target_incarnation;
        const duration service_time = std::chrono::milliseconds(1 + m_random() % 20);
        run_at_node(
            index, service_time, [this, index, action, succeeds, target_incarnation](node_state& node) {
                if (node.m_target_incarnation != target_incarnation ||
                    node.m_at_target.erase(action.m_attempt) == 0) {
                    return;
                }
                if (m_now < node.m_mute_until) {
                    node.m_runner->on_target_failure(m_now, action.m_attempt, target_failure::lost,
                                                     node.m_runner_actions);
                    return;
                }
                answer response;
                response.m_status = succeeds && m_now >= node.m_fails_until ? 200 : 500;
                response.m_body = action.m_call.m_body;
                node.m_runner->on_target_answer(m_now, action.m_attempt, response, node.m_runner_actions);
                (void)index;
            });
    }

    void carry_out(std::size_t index, const runner_abort& action)
    {
        run_at_node(index, random_delay(), [this, action](node_state& node) {
            if (node.m_at_target.erase(action.m_attempt) > 0) {
                node.m_runner->on_target_failure(m_now, action.m_attempt, target_failure::aborted,
                                                 node.m_runner_actions);
            }
        });
    }

    void carry_out(std::size_t index, const runner_probe&)
    {
        run_at_node(index, random_delay(), [this](node_state& node) {
            node.m_runner->on_probe(m_now, node.m_target_up, node.m_runner_actions);
        });
    }

    void carry_out(std::size_t index, const runner_crash&) { m_nodes[index]->m_closed = true; }

    void carry_out(std::size_t index, const runner_spread& action)
    {
        const auto records = decode_quarantine(action.m_payload);
        require(records.has_value(), "quarantine records can't be read");
        for (std::size_t other = 0; other < node_count; ++other) {
            if (other != index && !is_cut(index, other)) {
                send_over_link(index, other, [this, peer_records = records.value()](node_state& node) {
                    node.m_runner->on_quarantine(m_now, peer_records);
                });
            }
        }
    }

    /** Sends the quarantine snapshots of the other nodes to the restarted node @p index. */
    void send_quarantine_snapshots(std::size_t index)
    {
        for (std::size_t other = 0; other < node_count; ++other) {
            const std::string snapshot = m_nodes[other]->m_runner->quarantine_snapshot(m_now);
            if (other != index && !snapshot.empty()) {
                send_over_link(other, index,
                               [this, peer_records = decode_quarantine(snapshot).value()](node_state& node) {
                                   node.m_runner->on_quarantine(m_now, peer_records);
                               });
            }
        }
    }

    /** Returns whether a target crashed without the request with @p path around the crash that would else
     * have quarantined it. */
    bool was_coincidence_likely(const std::string& path) const
    {
        const std::vector<instant>& own_crashes = m_crash_times.at(path);
        if (own_crashes.size() <= max_crashes) {
            return false;
        }
        const instant proof = own_crashes[max_crashes - 1];
        const instant since = proof - quarantine_settings{}.m_coincidence_window - crash_report_delay;
        const auto is_near = [&](instant at) { return since <= at && at <= proof + crash_report_delay; };
        return std::any_of(m_crash_times.begin(), m_crash_times.end(), [&](const auto& other) {
            return other.first != path && std::any_of(other.second.begin(), other.second.end(), is_near);
        });
    }

    void crash_target(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        if (!node.m_target_up) {
            return;
        }
        node.m_target_up = false;
        ++node.m_target_incarnation;
        const std::set<attempt_id> lost = std::exchange(node.m_at_target, {});
        for (const attempt_id attempt : lost) {
            run_at_node(index, random_delay(), [this, attempt](node_state& at) {
                at.m_runner->on_target_failure(m_now, attempt, target_failure::lost, at.m_runner_actions);
            });
        }
        schedule(std::chrono::milliseconds(50), [this, index] { m_nodes[index]->m_target_up = true; });
    }

    void kill_node(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        for (auto& [id, record] : m_requests) {
            record.m_reply_optional |= record.m_node == index &&
                                       record.m_incarnation_count == node.m_incarnation_count &&
                                       !record.m_replied;
        }
        ++node.m_target_incarnation;
        node.m_draining_until = instant{};
        node.m_at_target.clear();
        node.m_entry_actions.clear();
        node.m_runner_actions.clear();
        start_node(index);
        drop_links(index);
        send_quarantine_snapshots(index);
    }

    random_source m_random;
    std::shared_ptr<const config_set> m_config;
    instant m_now{std::chrono::hours(1)};
    std::multimap<instant, std::function<void()>> m_queue;
    std::vector<std::unique_ptr<node_state>> m_nodes;
    std::map<std::size_t, std::uint64_t> m_link_epoch;
    std::map<exchange_id, sent_request> m_requests;
    std::map<root_id, std::pair<std::size_t, std::set<std::string>>>
        m_calls_by_root; ///< Number of sends, and distinct calls, by root id.
    std::set<std::string> m_run_bodies;
    std::map<std::string, std::size_t> m_order_runs;
    std::map<std::string, std::vector<instant>>
        m_crash_times; ///< Of targets, by the path that crashed them; empty if none did.
    instant m_repeat_until{};
    exchange_id m_last_sent;
    std::map<std::string, exchange_id> m_last_poison;
    std::uint64_t m_last_exchange = 0;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_completed = 0;
    std::size_t m_lost_broadcasts = 0; ///< Steps that may lose quarantine records between nodes.
};

} // namespace waxwing::model

#endif
