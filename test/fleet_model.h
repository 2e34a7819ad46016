/** @file fleet_model.h A few nodes' decisions joined by fakes that lose, delay and repeat, with an oracle. */
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
inline constexpr std::uint16_t token_bound = 1;
inline constexpr std::size_t crash_bound = 2; ///< Targets lost to one request.
inline constexpr duration tick_step = std::chrono::milliseconds(1);

/** What a step does. */
enum class step_sort {
    lookup,       ///< Send an idempotent request.
    order,        ///< Send a non-idempotent request.
    poison,       ///< Send a request that crashes its target.
    caller_gone,  ///< The last caller goes away.
    advance,      ///< Let time pass.
    cut,          ///< Break the links of a node for a while.
    crash_target, ///< Kill a target; it restarts.
    kill_node,    ///< Kill a node; it restarts with nothing.
    pause_node,   ///< Freeze a node for a while.
    target_fails, ///< A target answers 500 for a while.
    target_mute,  ///< A target runs and its connection breaks before the answer, for a while.
    drain,        ///< A target's node refuses new work for a while.
    repeat_calls  ///< Links deliver each call message twice, for a while.
};
inline constexpr std::size_t step_sorts = static_cast<std::size_t>(step_sort::repeat_calls) + 1;

/** One step. */
struct step {
    step_sort m_sort = step_sort::advance;
    unsigned m_node = 0;   ///< Which node, modulo their number.
    unsigned m_number = 0; ///< Which key, or how many milliseconds.
};

/** Thrown where the oracle sees a promise broken. */
struct broken_promise {
    std::string m_text;
};

/** The configuration of the model. */
inline std::shared_ptr<const config_set> model_config()
{
    auto set = std::make_shared<config_set>();
    for (const char* name : {"front", "deep"}) {
        service_object service;
        service.m_name.m_value = name;
        set->m_services[service.m_name] = service;
    }
    retry_settings few;
    few.m_tokens = token_bound;
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

/** The fleet and its oracle. */
class fleet {
public:
    explicit fleet(std::uint64_t seed) : m_random(seed), m_config(model_config())
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            m_nodes.push_back(std::make_unique<node_state>());
            start_node(index);
        }
    }

    /** Carries out @p wanted. Throws broken_promise. */
    void apply(const step& wanted)
    {
        const std::size_t index = wanted.m_node % node_count;
        node_state& node = *m_nodes[index];
        const bool loses_news = wanted.m_sort == step_sort::cut || wanted.m_sort == step_sort::kill_node ||
                                wanted.m_sort == step_sort::pause_node;
        m_news_lost += loses_news ? 1 : 0;
        const instant until = m_now + std::chrono::milliseconds(20 + wanted.m_number % 200);
        switch (wanted.m_sort) {
        case step_sort::lookup:
            return send(index, "GET", "/lookup/" + std::to_string(++m_last_request));
        case step_sort::order:
            return send(index, "POST", "/order");
        case step_sort::poison:
            return send_poison(index, "/lookup/poison-" + std::to_string(wanted.m_number % 2));
        case step_sort::caller_gone:
            return leave_last();
        case step_sort::advance:
            return advance(std::chrono::milliseconds(wanted.m_number % 300));
        case step_sort::cut:
            node.m_cut_until = until;
            return drop_links(index);
        case step_sort::crash_target:
            return crash_target(index);
        case step_sort::kill_node:
            return kill_node(index);
        case step_sort::pause_node:
            node.m_paused_until = until;
            return;
        case step_sort::target_fails:
            node.m_fails_until = until;
            return;
        case step_sort::target_mute:
            node.m_mute_until = until;
            return;
        case step_sort::drain:
            node.m_draining_until = until;
            node.m_runner->close(rule::draining, node.m_runner_actions);
            return settle(index);
        case step_sort::repeat_calls:
            m_repeat_until = until;
            return;
        }
    }

    /** Lets all that is in progress end, and checks the promises that hold at the end. Throws broken_promise.
     */
    void finish()
    {
        advance(std::chrono::seconds(3));
        for (const auto& [id, sent] : m_sent) {
            require(sent.m_replied || sent.m_excused, "a caller got no answer");
            const bool told_not_run = sent.m_replied && sent.m_state == run_state::not_run;
            require(!told_not_run || !ran_under(sent), "told not-run, but it ran: " + sent.m_path);
        }
    }

    /** Gives the runs seen. */
    std::uint64_t runs() const { return m_runs; }

    /** Gives the requests answered by a target. */
    std::uint64_t completed() const { return m_completed; }

private:
    /** One node with its target. */
    struct node_state {
        node_id m_name;
        service_name m_service;
        std::unique_ptr<running_calls> m_running;
        std::unique_ptr<entry> m_entry;
        std::unique_ptr<runner> m_runner;
        std::vector<entry_action> m_entry_actions;
        std::vector<runner_action> m_runner_actions;
        std::uint64_t m_life = 0;
        std::uint64_t m_target_life = 0;
        std::set<attempt_id> m_at_target; ///< Runs that the target has.
        bool m_target_up = true;
        instant m_cut_until{};
        instant m_paused_until{};
        instant m_fails_until{};
        instant m_mute_until{};
        instant m_draining_until{};
        bool m_closed = false;
    };

    /** What a caller sent, and was told. */
    struct sent_request {
        std::string m_path;
        std::string m_body; ///< Unique for each exchange; the answer must echo it.
        std::size_t m_node = 0;
        std::uint64_t m_life = 0;
        bool m_replied = false;
        bool m_excused = false; ///< The node died or the caller left.
        run_state m_state = run_state::unknown;
        bool m_is_sub_call = false;
        std::function<void(const entry_reply&)> m_then;
    };

    static void require(bool holds, const std::string& text)
    {
        if (!holds) {
            throw broken_promise{text};
        }
    }

    void start_node(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        const std::string names = "abcd";
        node.m_name.m_value = std::string(1, names[index]);
        node.m_service.m_value = index < 2 ? "front" : "deep";
        ++node.m_life;
        node.m_running = std::make_unique<running_calls>();
        const entry_settings who{
            node.m_name, data_centre_name{"one"}, node.m_service, control_mode::full, {}};
        node.m_entry = std::make_unique<entry>(who, *node.m_running, m_random());
        runner_settings settings;
        settings.m_self = node.m_name;
        settings.m_incarnation.m_value = node.m_life;
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

    void later(duration delay, std::function<void()> deed)
    {
        m_queue.emplace(m_now + delay, std::move(deed));
    }

    duration some_delay() { return std::chrono::microseconds(100 + m_random() % 2000); }

    /** Lets time pass in small steps. */
    void advance(duration length)
    {
        const instant end = m_now + length;
        while (m_now < end) {
            m_now += tick_step;
            while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
                const std::function<void()> deed = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                deed();
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
        settle(index);
    }

    /** Calls @p deed at node @p index soon, in this life of it, and not while it is paused. */
    void at_node(std::size_t index, duration delay, std::function<void(node_state&)> deed)
    {
        const std::uint64_t life = m_nodes[index]->m_life;
        later(delay, [this, index, life, deed = std::move(deed)] {
            node_state& node = *m_nodes[index];
            if (node.m_life != life) {
                return;
            }
            if (is_paused(index)) {
                at_node(index, node.m_paused_until - m_now + tick_step, deed);
                return;
            }
            deed(node);
            settle(index);
        });
    }

    // Callers.

    void send(std::size_t index, const std::string& method, const std::string& path, header_list more = {},
              std::function<void(const entry_reply&)> then = {})
    {
        node_state& node = *m_nodes[index];
        const exchange_id id{++m_last_exchange};
        sent_request sent;
        sent.m_path = path;
        const bool repeated = path.find("poison") != std::string::npos;
        sent.m_body = repeated ? path : "body-" + std::to_string(id.m_value);
        sent.m_node = index;
        sent.m_life = node.m_life;
        sent.m_then = std::move(then);
        entry_request request{id, method, path, std::move(more), sent.m_body, false};
        const bool sub_call = find_header(request.m_headers, context_header) != nullptr;
        sent.m_is_sub_call = sub_call;
        request.m_headers.push_back({"Host", sub_call ? "deep" : "front"});
        m_sent.emplace(id, std::move(sent));
        m_last_sent = id;
        at_node(index, some_delay(), [this, request](node_state& at) {
            at.m_entry->on_request(m_now, request, at.m_entry_actions);
        });
    }

    /** Sends a request that crashes its target, unless its last sending still waits: no news could overtake
     * that. */
    void send_poison(std::size_t index, const std::string& path)
    {
        const auto last = m_sent.find(m_last_poison[path]);
        const bool waits = last != m_sent.end() && !last->second.m_replied && !last->second.m_excused;
        if (waits) {
            return;
        }
        send(index, "GET", path);
        m_last_poison[path] = m_last_sent;
    }

    void leave_last()
    {
        const auto position = m_sent.find(m_last_sent);
        if (position == m_sent.end() || position->second.m_replied || position->second.m_is_sub_call) {
            return;
        }
        position->second.m_excused = true;
        at_node(position->second.m_node, some_delay(), [this, id = m_last_sent](node_state& at) {
            at.m_entry->on_caller_disconnected(m_now, id, at.m_entry_actions);
        });
    }

    void on_reply(const entry_reply& given)
    {
        const auto position = m_sent.find(given.m_exchange);
        require(position != m_sent.end(), "an answer to no request");
        sent_request& sent = position->second;
        require(!sent.m_replied, "a caller got two answers");
        sent.m_replied = true;
        sent.m_state = given.m_answer.m_state;
        const bool answered = given.m_answer.m_rule == rule::none && given.m_answer.m_status == 200;
        if (answered) {
            ++m_completed;
            require(given.m_answer.m_body == sent.m_body, "an answer to another request");
        }
        if (sent.m_then) {
            sent.m_then(given);
        }
    }

    /** Tells whether a target was given what @p sent asked for; bodies that other sends share tell nothing.
     */
    bool ran_under(const sent_request& sent) const
    {
        return sent.m_body.compare(0, 5, "body-") == 0 && m_run_bodies.contains(sent.m_body);
    }

    // Links.

    bool is_cut(std::size_t a, std::size_t b) const
    {
        return a != b && (m_now < m_nodes[a]->m_cut_until || m_now < m_nodes[b]->m_cut_until);
    }

    /** Breaks the links of @p index: what is under way is lost, and both sides notice. */
    void drop_links(std::size_t index)
    {
        ++m_link_epoch[index];
        for (std::size_t other = 0; other < node_count; ++other) {
            if (other == index) {
                continue;
            }
            for (const auto& [at, lost] : {std::pair{index, other}, std::pair{other, index}}) {
                at_node(at, some_delay(), [this, name = m_nodes[lost]->m_name](node_state& node) {
                    node.m_entry->on_peer_lost(m_now, name, node.m_entry_actions);
                    node.m_runner->on_peer_lost(m_now, name, node.m_runner_actions);
                });
            }
        }
    }

    /** Carries @p deed to @p to, unless the link breaks on the way. */
    void over_link(std::size_t from, std::size_t to, const std::function<void(node_state&)>& deed)
    {
        const std::uint64_t epoch = m_link_epoch[from] + m_link_epoch[to];
        const auto carried = [this, from, to, epoch, deed](node_state& at) {
            if (from == to || m_link_epoch[from] + m_link_epoch[to] == epoch) {
                deed(at);
            }
        };
        at_node(to, some_delay(), carried);
        if (m_now < m_repeat_until && from != to) {
            at_node(to, some_delay(), carried);
        }
    }

    std::size_t index_of(const node_id& name) const
    {
        return static_cast<std::size_t>(name.m_value[0] - 'a');
    }

    /** Carries out what the node @p index has decided. */
    void settle(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        bool busy = true;
        while (busy) {
            const std::vector<entry_action> entry_decided = std::exchange(node.m_entry_actions, {});
            for (const entry_action& action : entry_decided) {
                std::visit([this, index](const auto& one) { carry_out(index, one); }, action);
            }
            const std::vector<runner_action> runner_decided = std::exchange(node.m_runner_actions, {});
            for (const runner_action& action : runner_decided) {
                std::visit([this, index](const auto& one) { carry_out(index, one); }, action);
            }
            busy = !entry_decided.empty() || !runner_decided.empty();
        }
    }

    void carry_out(std::size_t index, const entry_send& sent)
    {
        const root_id root = sent.m_call.m_context.m_root;
        auto& [sends, calls] = m_tree[root];
        ++sends;
        calls.insert(sent.m_call.m_body);
        require(sends <= calls.size() + token_bound, "more retries over the chain than tokens");
        const std::size_t to = index_of(sent.m_node);
        if (is_cut(index, to)) {
            at_node(index, some_delay(), [this, attempt = sent.m_attempt](node_state& node) {
                node.m_entry->on_undelivered(m_now, attempt, node.m_entry_actions);
            });
            return;
        }
        over_link(index, to, [this, origin = m_nodes[index]->m_name, sent](node_state& node) {
            node.m_runner->on_call(m_now, origin, sent.m_attempt, sent.m_call, node.m_runner_actions);
        });
    }

    void carry_out(std::size_t index, const entry_cancel& cancelled)
    {
        over_link(index, index_of(cancelled.m_node), [this, cancelled](node_state& node) {
            node.m_runner->cancel(m_now, cancelled.m_attempt, node.m_runner_actions);
        });
    }

    void carry_out(std::size_t, const entry_reply& given) { on_reply(given); }

    void carry_out(std::size_t index, const runner_answer& given)
    {
        over_link(index, index_of(given.m_node), [this, given](node_state& node) {
            node.m_entry->on_answer(m_now, given.m_attempt, given.m_answer, node.m_entry_actions);
        });
    }

    // Targets.

    void carry_out(std::size_t index, const runner_run& wanted)
    {
        node_state& node = *m_nodes[index];
        require(m_now >= node.m_draining_until, "a draining target got new work");
        if (!node.m_target_up) {
            at_node(index, some_delay(), [this, attempt = wanted.m_attempt](node_state& at) {
                at.m_runner->on_target_failure(m_now, attempt, target_failure::not_sent, at.m_runner_actions);
            });
            return;
        }
        ++m_runs;
        m_run_bodies.insert(wanted.m_call.m_body);
        const bool once = !wanted.m_call.m_idempotent;
        const std::string& name = wanted.m_call.m_body;
        require(!once || ++m_order_runs[name] == 1, "a non-idempotent request ran twice: " + name);
        node.m_at_target.insert(wanted.m_attempt);
        require(node.m_at_target.size() <= slots, "more runs than slots");
        if (wanted.m_call.m_path.find("poison") != std::string::npos) {
            const std::size_t lost = ++m_poison_crashes[wanted.m_call.m_path];
            require(lost <= crash_bound + m_news_lost, "one request crashed too many targets");
            crash_target(index);
            return;
        }
        const std::string* const context = find_header(wanted.m_call.m_headers, context_header);
        if (index < 2) {
            make_sub_call(index, wanted, *context);
            return;
        }
        end_run_later(index, wanted, true);
    }

    void make_sub_call(std::size_t index, const runner_run& wanted, const std::string& context)
    {
        const std::uint64_t target_life = m_nodes[index]->m_target_life;
        send(index, "GET", "/fetch", {{std::string(context_header), context}},
             [this, index, wanted, target_life](const entry_reply& given) {
                 if (m_nodes[index]->m_target_life == target_life) {
                     const bool good = given.m_answer.m_rule == rule::none && given.m_answer.m_status == 200;
                     end_run_later(index, wanted, good);
                 }
             });
    }

    void end_run_later(std::size_t index, const runner_run& wanted, bool good)
    {
        const std::uint64_t target_life = m_nodes[index]->m_target_life;
        const duration service_time = std::chrono::milliseconds(1 + m_random() % 20);
        at_node(index, service_time, [this, index, wanted, good, target_life](node_state& node) {
            if (node.m_target_life != target_life || node.m_at_target.erase(wanted.m_attempt) == 0) {
                return;
            }
            if (m_now < node.m_mute_until) {
                node.m_runner->on_target_failure(m_now, wanted.m_attempt, target_failure::lost,
                                                 node.m_runner_actions);
                return;
            }
            answer given;
            given.m_status = good && m_now >= node.m_fails_until ? 200 : 500;
            given.m_body = wanted.m_call.m_body;
            node.m_runner->on_target_answer(m_now, wanted.m_attempt, given, node.m_runner_actions);
            (void)index;
        });
    }

    void carry_out(std::size_t index, const runner_abort& wanted)
    {
        at_node(index, some_delay(), [this, wanted](node_state& node) {
            if (node.m_at_target.erase(wanted.m_attempt) > 0) {
                node.m_runner->on_target_failure(m_now, wanted.m_attempt, target_failure::aborted,
                                                 node.m_runner_actions);
            }
        });
    }

    void carry_out(std::size_t index, const runner_probe&)
    {
        at_node(index, some_delay(), [this](node_state& node) {
            node.m_runner->on_probe(m_now, node.m_target_up, node.m_runner_actions);
        });
    }

    void carry_out(std::size_t index, const runner_crash&) { m_nodes[index]->m_closed = true; }

    void carry_out(std::size_t index, const runner_spread& told)
    {
        const auto records = decode_quarantine(told.m_payload);
        require(records.has_value(), "quarantine records can't be read");
        for (std::size_t other = 0; other < node_count; ++other) {
            if (other != index && !is_cut(index, other)) {
                over_link(index, other, [this, heard = records.value()](node_state& node) {
                    node.m_runner->on_quarantine(m_now, heard);
                });
            }
        }
    }

    /** Lets a node that has just come hear what the others hold of requests that crash targets. */
    void hear_quarantine(std::size_t index)
    {
        for (std::size_t other = 0; other < node_count; ++other) {
            const std::string news = m_nodes[other]->m_runner->quarantine_snapshot(m_now);
            if (other != index && !news.empty()) {
                over_link(other, index, [this, heard = decode_quarantine(news).value()](node_state& node) {
                    node.m_runner->on_quarantine(m_now, heard);
                });
            }
        }
    }

    void crash_target(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        if (!node.m_target_up) {
            return;
        }
        node.m_target_up = false;
        ++node.m_target_life;
        const std::set<attempt_id> lost = std::exchange(node.m_at_target, {});
        for (const attempt_id attempt : lost) {
            at_node(index, some_delay(), [this, attempt](node_state& at) {
                at.m_runner->on_target_failure(m_now, attempt, target_failure::lost, at.m_runner_actions);
            });
        }
        later(std::chrono::milliseconds(50), [this, index] { m_nodes[index]->m_target_up = true; });
    }

    void kill_node(std::size_t index)
    {
        node_state& node = *m_nodes[index];
        for (auto& [id, sent] : m_sent) {
            sent.m_excused |= sent.m_node == index && sent.m_life == node.m_life && !sent.m_replied;
        }
        ++node.m_target_life;
        node.m_draining_until = instant{};
        node.m_at_target.clear();
        node.m_entry_actions.clear();
        node.m_runner_actions.clear();
        start_node(index);
        drop_links(index);
        hear_quarantine(index);
    }

    random_source m_random;
    std::shared_ptr<const config_set> m_config;
    instant m_now{std::chrono::hours(1)};
    std::multimap<instant, std::function<void()>> m_queue;
    std::vector<std::unique_ptr<node_state>> m_nodes;
    std::map<std::size_t, std::uint64_t> m_link_epoch;
    std::map<exchange_id, sent_request> m_sent;
    std::map<root_id, std::pair<std::size_t, std::set<std::string>>>
        m_tree; ///< Sends and distinct calls by root.
    std::set<std::string> m_run_bodies;
    std::map<std::string, std::size_t> m_order_runs;
    std::map<std::string, std::size_t> m_poison_crashes;
    instant m_repeat_until{};
    exchange_id m_last_sent;
    std::map<std::string, exchange_id> m_last_poison;
    std::uint64_t m_last_exchange = 0;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_completed = 0;
    std::size_t m_news_lost = 0; ///< Steps that may keep what one node knows of a crash from another.
};

} // namespace waxwing::model

#endif
