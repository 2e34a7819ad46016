/** @file call_task.cpp The call task: caller connections, entry and runner. */
#include "node/call_task_base.h"

#include "node/http_conversion_func.h"

namespace waxwing {

namespace {

/** Returns the settings of the runner of a node with @p settings. */
runner_settings to_runner_settings(const node_settings& settings, const request_dialect& dialect,
                                   incarnation own_incarnation)
{
    runner_settings values;
    values.m_self = settings.m_name;
    values.m_incarnation = own_incarnation;
    values.m_service = settings.m_service;
    values.m_slots = settings.m_slots;
    values.m_shared_key = settings.m_shared_key;
    values.m_mode = settings.m_control;
    values.m_dialect = dialect;
    return values;
}

/** Returns the settings of the entry of a node with @p settings. */
entry_settings to_entry_settings(const node_settings& settings, const request_dialect& dialect)
{
    return {settings.m_name, settings.m_data_centre, settings.m_service,           settings.m_control,
            dialect,         settings.m_fail_closed, settings.m_revocation_timeout};
}

/** Returns whether the IP address @p peer belongs to this machine, whose callers' listener is @p listener.
 * Where sub-calls are recognised by request ids, only the listener's own address counts: several machines may
 * then share the loopback network. */
bool is_same_machine(const std::string& peer, const endpoint& listener, sub_call_sign sign)
{
    const bool is_loopback = peer.rfind("127.", 0) == 0 || peer == "::1";
    return peer == listener.m_host || (sign == sub_call_sign::context && is_loopback);
}

/** Returns the id of the root request of the request @p id. */
std::string_view root_request_id(std::string_view id)
{
    return id.substr(0, id.find('.'));
}

/** Decides whether a response is logged; failed ones are sampled separately. */
sample_decision sample(request_sampler& sampler, const std::string& id, const answer& response)
{
    constexpr std::uint16_t first_failure = 500;
    const bool is_failure = response.m_rule != rule::none || response.m_status >= first_failure;
    return is_failure ? sampler.on_failure(event_loop::now(), root_request_id(id))
                      : sampler.on_success(root_request_id(id));
}

} // namespace

call_task::call_task(event_loop& loop, const node_settings& settings, const request_dialect& dialect,
                     incarnation own_incarnation, std::uint64_t seed, metrics& node_metrics,
                     handler on_output)
    : m_loop(loop), m_settings(settings), m_dialect(dialect), m_metrics(node_metrics),
      m_on_output(std::move(on_output)), m_entry(to_entry_settings(settings, dialect), m_running, seed),
      m_runner(to_runner_settings(settings, dialect, own_incarnation), m_running),
      m_quota(settings.m_name, own_incarnation, event_loop::boot_now()),
      m_commands(loop, [this](call_command&& command) { on_command(std::move(command)); }),
      m_timer(loop, [this] { on_timer(); }), m_quota_timer(loop, [this] { process_actions(); })
{
    m_runner.close(event_loop::now(), rule::target_unreachable, m_runner_actions);
}

result<void> call_task::listen()
{
    auto server = http_server::open(m_loop, server_settings(),
                                    [this](http_server_event&& event) { on_http(std::move(event)); });
    if (server.has_error()) {
        return server.error();
    }
    m_server = std::move(server).value();
    m_server->report_refusals([this](const http_refusal& refused) { on_refused(refused); });
    return success();
}

void call_task::drain(instant end)
{
    m_server->drain();
    m_entry.begin_stop(end);
    m_runner.close(event_loop::now(), rule::draining, m_runner_actions);
    process_actions();
}

void call_task::refuse_callers()
{
    m_entry.drain();
}

std::size_t call_task::in_progress() const
{
    const std::size_t exchanges = m_server == nullptr ? 0 : m_server->in_progress();
    return std::max(exchanges, m_entry.in_progress()) + m_runner.in_progress();
}

bool call_task::release(const std::string& name)
{
    const bool released = m_runner.release(event_loop::now(), name, m_runner_actions);
    process_actions();
    return released;
}

void call_task::apply_caller_limits()
{
    http_server_settings limits = server_settings();
    if (m_limits.has_value()) {
        limits.m_header_limit = m_limits->m_max_header_bytes;
        limits.m_body_limit = m_limits->m_max_body_bytes;
        limits.m_request_timeout = m_limits->m_request_timeout;
        limits.m_idle_timeout = m_limits->m_idle_timeout;
    }
    m_server->configure(limits);
}

http_server_settings call_task::server_settings() const
{
    http_server_settings values;
    values.m_address = m_settings.m_callers;
    values.m_body_limit = m_settings.m_body_limit;
    values.m_connection_limit = m_settings.m_caller_connections;
    values.m_budget = m_budget;
    return values;
}

void call_task::on_http(http_server_event&& event)
{
    const instant now = event_loop::now();
    if (auto* const received = std::get_if<http_request>(&event)) {
        const bool same_machine =
            is_same_machine(received->m_peer, m_settings.m_callers, m_settings.m_sub_calls);
        const bool local = m_settings.m_sub_calls == sub_call_sign::request_id && same_machine;
        entry_request request = to_entry_request(std::move(*received), local, event_loop::boot_now());
        request.m_same_machine = same_machine;
        m_entry.on_request(now, std::move(request), m_entry_actions);
    }
    else {
        m_entry.on_caller_disconnected(now, std::get<http_client_disconnected>(event).m_exchange,
                                       m_entry_actions);
    }
    process_actions();
}

void call_task::on_command(call_command&& command)
{
    const instant now = event_loop::now();
    std::visit(overloaded{
                   [&](calls_configure& message) {
                       m_revision = message.m_revision;
                       m_limits = message.m_set->m_caller_limits;
                       apply_caller_limits();
                       m_entry.configure(message.m_set);
                       m_runner.configure(message.m_set);
                       configure_quota(*message.m_set);
                   },
                   [&](calls_put_target& message) { m_entry.put_target(now, message.m_target); },
                   [&](calls_remove_target& message) { m_entry.remove_target(message.m_node); },
                   [&](calls_set_target& message) {
                       m_runner.set_target(message.m_service, message.m_slots, std::move(message.m_instance));
                   },
                   [&](calls_gate& message) {
                       if (message.m_open) {
                           m_runner.reopen();
                       }
                       else {
                           m_runner.close(now, message.m_why, m_runner_actions);
                       }
                   },
                   [&](run_answered& message) {
                       m_runner.on_target_answer(now, message.m_attempt, std::move(message.m_answer),
                                                 m_runner_actions);
                   },
                   [&](run_failed& message) {
                       m_runner.on_target_failure(now, message.m_attempt, message.m_failure,
                                                  m_runner_actions);
                   },
                   [&](probe_ended& message) { m_runner.on_probe(now, message.m_accepts, m_runner_actions); },
                   [&](limit_hinted& message) { m_runner.hint(now, message.m_slots); },
                   [&](target_rate_limited& message) { limit_rate(now, message.m_rate); },
                   [&](quarantine_received& message) { m_runner.on_quarantine(now, message.m_records); },
                   [&](calls_confirm& message) { m_entry.confirm(message.m_confirmed_at); },
                   [&](quota_received& message) {
                       std::vector<quota_action> actions;
                       m_quota.on_message(event_loop::boot_now(), message.m_peer, message.m_payload, actions);
                       apply_quota_actions(std::move(actions));
                   },
                   [&](quota_member_changed& message) {
                       m_quota.on_member(event_loop::boot_now(), message.m_node, message.m_presence);
                   },
                   [&](quota_fleet_discovered&) { m_quota.on_fleet_discovered(event_loop::boot_now()); },
                   [&](isolation_changed& message) {
                       m_quota.on_isolation(event_loop::boot_now(), message.m_isolated);
                   },
                   [&](link_event& message) { on_link(std::move(message)); },
               },
               command);
    process_actions();
}

void call_task::limit_rate(instant now, std::optional<double> rate)
{
    m_runner.limit_rate(now, rate, m_runner_actions);
}

void call_task::on_link(link_event&& event)
{
    const instant now = event_loop::now();
    if (auto* const received = std::get_if<link_received>(&event)) {
        on_message(received->m_peer, std::move(received->m_message));
    }
    else if (auto* const undelivered = std::get_if<link_undelivered>(&event)) {
        on_undelivered(std::move(*undelivered));
    }
    else if (const auto* const down = std::get_if<link_down>(&event)) {
        m_entry.on_peer_lost(now, down->m_peer, m_entry_actions);
        m_runner.on_peer_lost(now, down->m_peer, m_runner_actions);
    }
}

void call_task::on_message(const node_id& peer, link_message&& message)
{
    const instant now = event_loop::now();
    if (auto* const request = std::get_if<call_message>(&message)) {
        const bool fits = m_budget == nullptr || m_budget->has_room(0, use_of(request->m_call.m_body.size()));
        const rule refusing_rule = request->m_body_dropped || !fits ? rule::out_of_memory : rule::none;
        m_runner.on_call(now, peer, request->m_attempt, std::move(request->m_call), m_runner_actions,
                         refusing_rule);
    }
    else if (auto* const response = std::get_if<answer_message>(&message)) {
        m_entry.on_answer(now, response->m_attempt, response->m_answer, m_entry_actions);
    }
    else if (const auto* const cancellation = std::get_if<cancel_message>(&message)) {
        m_runner.cancel(now, cancellation->m_attempt, m_runner_actions);
    }
}

void call_task::on_undelivered(link_undelivered&& event)
{
    if (const auto* const request = std::get_if<call_message>(&event.m_message)) {
        m_entry.on_undelivered(event_loop::now(), request->m_attempt, m_entry_actions);
    }
}

void call_task::on_timer()
{
    const instant now = event_loop::now();
    m_entry.tick(now, m_entry_actions);
    m_runner.tick(now, m_runner_actions);
    process_actions();
}

/** Applies pending actions of entry and runner until none remain, then arms the timer for the next tick. */
void call_task::process_actions()
{
    bool busy = true;
    while (busy) {
        busy = apply_entry_actions();
        busy = apply_runner_actions() || busy;
        if (!busy) {
            tick_quota();
            busy = !m_entry_actions.empty();
        }
    }
    const instant next = std::min(m_entry.next_tick(), m_runner.next_tick());
    if (next == instant::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.set(next - event_loop::now());
}

/** Applies the pending actions of the entry. @return whether there were any. */
bool call_task::apply_entry_actions()
{
    std::vector<entry_action> actions = std::exchange(m_entry_actions, {});
    const instant now = event_loop::now();
    for (entry_action& action : actions) {
        std::visit(
            overloaded{
                [&](entry_send& outgoing) {
                    if (outgoing.m_node == m_settings.m_name) {
                        m_runner.on_call(now, outgoing.m_node, outgoing.m_attempt, std::move(outgoing.m_call),
                                         m_runner_actions);
                        return;
                    }
                    m_on_output(peer_send{outgoing.m_node,
                                          call_message{outgoing.m_attempt, std::move(outgoing.m_call)}});
                },
                [&](entry_cancel& cancellation) {
                    if (cancellation.m_node == m_settings.m_name) {
                        m_runner.cancel(now, cancellation.m_attempt, m_runner_actions);
                        return;
                    }
                    m_on_output(peer_send{cancellation.m_node, cancel_message{cancellation.m_attempt}});
                },
                [&](entry_reply& response) { reply(std::move(response)); },
                [&](entry_take_token& request) {
                    const quota_decision decision =
                        m_quota.take(event_loop::boot_now(), request.m_organisation, request.m_waiter);
                    if (decision.m_outcome != quota_outcome::waiting) {
                        m_entry.on_quota(now, request.m_waiter, decision, m_entry_actions);
                    }
                },
                [&](entry_return_token& returned) {
                    m_quota.give_back(event_loop::boot_now(), returned.m_organisation, returned.m_expires_at);
                },
            },
            action);
    }
    return !actions.empty();
}

/** Applies the pending actions of the runner. @return whether there were any. */
bool call_task::apply_runner_actions()
{
    std::vector<runner_action> actions = std::exchange(m_runner_actions, {});
    const instant now = event_loop::now();
    for (runner_action& action : actions) {
        std::visit(overloaded{
                       [&](runner_answer& response) {
                           log_run(response);
                           if (response.m_node == m_settings.m_name) {
                               m_entry.on_answer(now, response.m_attempt, response.m_answer, m_entry_actions);
                               return;
                           }
                           m_on_output(
                               peer_send{response.m_node,
                                         answer_message{response.m_attempt, std::move(response.m_answer)}});
                       },
                       [&](auto& request) { m_on_output(std::move(request)); },
                   },
                   action);
    }
    return !actions.empty();
}

void call_task::log_reply(const entry_reply& response)
{
    const sample_decision decision = sample(m_entry_log, response.m_request_id, response.m_answer);
    if (!decision.m_logged) {
        return;
    }
    const answer& content = response.m_answer;
    log_event(event::request_answered,
              {{"request", response.m_request_id},
               {"kind", response.m_kind.m_value},
               {"service", response.m_service.m_value},
               {"rule", std::string(info_of(content.m_rule).m_name)},
               {"outcome", std::string(to_string(content.m_state))},
               {"status", std::to_string(content.m_status)},
               {"attempts", std::to_string(response.m_attempts)},
               {"node", response.m_node.m_value},
               {"took_ms", std::to_string(to_milliseconds(response.m_took))},
               {"depth", std::to_string(response.m_depth)},
               {"revision", std::to_string(m_revision.m_value)},
               {"threshold", std::to_string(m_entry.threshold(event_loop::now(), response.m_kind).m_value)},
               {"suppressed", std::to_string(decision.m_suppressed)}});
}

void call_task::log_run(const runner_answer& run)
{
    const sample_decision decision = sample(m_run_log, run.m_request_id, run.m_answer);
    if (!decision.m_logged) {
        return;
    }
    const answer& content = run.m_answer;
    log_event(event::run_ended, {{"request", run.m_request_id},
                                 {"kind", run.m_kind.m_value},
                                 {"rule", std::string(info_of(content.m_rule).m_name)},
                                 {"outcome", std::string(to_string(content.m_state))},
                                 {"status", std::to_string(content.m_status)},
                                 {"waited_ms", std::to_string(to_milliseconds(run.m_waited))},
                                 {"took_ms", std::to_string(to_milliseconds(run.m_took))},
                                 {"priority", std::to_string(run.m_priority.m_value)},
                                 {"running", std::to_string(content.m_load.m_in_progress)},
                                 {"queued", std::to_string(content.m_load.m_queued)},
                                 {"limit", std::to_string(content.m_load.m_limit)},
                                 {"threshold", std::to_string(content.m_load.m_threshold.m_value)},
                                 {"suppressed", std::to_string(decision.m_suppressed)}});
}

/** Counts and logs a request that the HTTP server refused by itself. */
void call_task::on_refused(const http_refusal& refused)
{
    const std::string status = std::to_string(refused.m_status);
    m_metrics.count("waxwing_unreadable_requests_total", {{"status", status}});
    const sample_decision decision = m_refusal_log.on_failure(event_loop::now(), refused.m_peer);
    if (decision.m_logged) {
        log_event(event::request_unreadable, {{"status", status},
                                              {"peer", refused.m_peer},
                                              {"suppressed", std::to_string(decision.m_suppressed)}});
    }
}

void call_task::reply(entry_reply&& response)
{
    log_reply(response);
    const std::string hop = response.m_root ? "root" : "sub-call";
    const metric_labels labels{{"kind", response.m_kind.m_value},
                               {"rule", std::string(info_of(response.m_answer.m_rule).m_name)},
                               {"hop", hop}};
    m_metrics.count("waxwing_requests_total", labels);
    count_quota_refusal(response);
    m_metrics.observe("waxwing_request_seconds", {{"kind", response.m_kind.m_value}, {"hop", hop}},
                      response.m_took);
    m_server->reply(to_http_reply(std::move(response), m_dialect));
}

} // namespace waxwing
