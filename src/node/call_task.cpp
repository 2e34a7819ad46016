/** @file call_task.cpp The task of the callers' door. */
#include "node/call_task_base.h"

#include "node/door_func.h"

namespace waxwing {

namespace {

/** Gives the settings of the runner of a node with @p settings. */
runner_settings to_runner_settings(const node_settings& settings, const request_dialect& dialect,
                                   incarnation own_incarnation)
{
    runner_settings made;
    made.m_self = settings.m_name;
    made.m_incarnation = own_incarnation;
    made.m_service = settings.m_service;
    made.m_slots = settings.m_slots;
    made.m_shared_key = settings.m_shared_key;
    made.m_mode = settings.m_control;
    made.m_dialect = dialect;
    return made;
}

/** Gives the settings of the entry of a node with @p settings. */
entry_settings to_entry_settings(const node_settings& settings, const request_dialect& dialect)
{
    return {settings.m_name, settings.m_data_centre, settings.m_service, settings.m_control, dialect};
}

/** Gives the id of the whole request to which the request @p id belongs. */
std::string_view root_of(std::string_view id)
{
    return id.substr(0, id.find('.'));
}

/** Decides whether an answer is logged. */
sample_decision sample(request_sampler& sampler, const std::string& id, const answer& given)
{
    constexpr std::uint16_t first_failure = 500;
    const bool failed = given.m_rule != rule::none || given.m_status >= first_failure;
    return failed ? sampler.on_failure(event_loop::now(), root_of(id)) : sampler.on_success(root_of(id));
}

} // namespace

call_task::call_task(event_loop& loop, const node_settings& settings, const request_dialect& dialect,
                     incarnation own_incarnation, std::uint64_t seed, metrics& counted, handler on_output)
    : m_loop(loop), m_settings(settings), m_dialect(dialect), m_metrics(counted),
      m_on_output(std::move(on_output)), m_entry(to_entry_settings(settings, dialect), m_running, seed),
      m_runner(to_runner_settings(settings, dialect, own_incarnation), m_running),
      m_commands(loop, [this](call_command&& command) { on_command(std::move(command)); }),
      m_timer(loop, [this] { on_time(); })
{
    m_runner.close(rule::target_unreachable, m_runner_actions);
}

result<void> call_task::listen()
{
    auto opened = http_server::open(m_loop, door_settings(),
                                    [this](http_server_event&& event) { on_http(std::move(event)); });
    if (opened.has_error()) {
        return opened.error();
    }
    m_door = std::move(opened).value();
    return success();
}

void call_task::drain()
{
    m_door->drain();
    m_runner.close(rule::draining, m_runner_actions);
    settle();
}

void call_task::refuse_callers()
{
    m_entry.drain();
}

std::size_t call_task::in_progress() const
{
    const std::size_t exchanges = m_door == nullptr ? 0 : m_door->in_progress();
    return std::max(exchanges, m_entry.in_progress()) + m_runner.in_progress();
}

bool call_task::release(const std::string& name)
{
    const bool released = m_runner.release(event_loop::now(), name, m_runner_actions);
    settle();
    return released;
}

void call_task::bound_callers()
{
    http_server_settings bounds = door_settings();
    if (m_limits.has_value()) {
        bounds.m_header_limit = m_limits->m_max_header_bytes;
        bounds.m_body_limit = m_limits->m_max_body_bytes;
        bounds.m_request_timeout = m_limits->m_request_timeout;
        bounds.m_idle_timeout = m_limits->m_idle_timeout;
    }
    m_door->configure(bounds);
}

http_server_settings call_task::door_settings() const
{
    http_server_settings made;
    made.m_address = m_settings.m_callers;
    made.m_body_limit = m_settings.m_body_limit;
    made.m_connection_limit = m_settings.m_caller_connections;
    return made;
}

void call_task::on_http(http_server_event&& event)
{
    const instant now = event_loop::now();
    if (auto* const received = std::get_if<http_request>(&event)) {
        const bool local = m_settings.m_sub_calls == sub_call_sign::request_id &&
                           received->m_peer == m_settings.m_callers.m_host;
        m_entry.on_request(now, to_entry_request(std::move(*received), local), m_entry_actions);
    }
    else {
        m_entry.on_caller_disconnected(now, std::get<http_client_disconnected>(event).m_exchange,
                                       m_entry_actions);
    }
    settle();
}

void call_task::on_command(call_command&& command)
{
    const instant now = event_loop::now();
    std::visit(overloaded{
                   [&](calls_configure& given) {
                       m_revision = given.m_revision;
                       m_limits = given.m_set->m_caller_limits;
                       bound_callers();
                       m_entry.configure(given.m_set);
                       m_runner.configure(given.m_set);
                   },
                   [&](calls_put_target& given) { m_entry.put_target(now, given.m_target); },
                   [&](calls_remove_target& given) { m_entry.remove_target(given.m_node); },
                   [&](calls_set_target& given) {
                       m_runner.set_target(given.m_service, given.m_slots, std::move(given.m_instance));
                   },
                   [&](calls_gate& given) {
                       if (given.m_open) {
                           m_runner.reopen();
                       }
                       else {
                           m_runner.close(given.m_why, m_runner_actions);
                       }
                   },
                   [&](run_answered& given) {
                       m_runner.on_target_answer(now, given.m_attempt, std::move(given.m_answer),
                                                 m_runner_actions);
                   },
                   [&](run_failed& given) {
                       m_runner.on_target_failure(now, given.m_attempt, given.m_failure, m_runner_actions);
                   },
                   [&](probe_ended& given) { m_runner.on_probe(now, given.m_accepts, m_runner_actions); },
                   [&](limit_hinted& given) { m_runner.hint(now, given.m_slots); },
                   [&](suspects_heard& given) { m_runner.on_quarantine(now, given.m_records); },
                   [&](link_event& given) { on_link(std::move(given)); },
               },
               command);
    settle();
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
    if (auto* const asked = std::get_if<call_message>(&message)) {
        m_runner.on_call(now, peer, asked->m_attempt, std::move(asked->m_call), m_runner_actions);
    }
    else if (auto* const answered = std::get_if<answer_message>(&message)) {
        m_entry.on_answer(now, answered->m_attempt, answered->m_answer, m_entry_actions);
    }
    else if (const auto* const cancelled = std::get_if<cancel_message>(&message)) {
        m_runner.cancel(now, cancelled->m_attempt, m_runner_actions);
    }
}

void call_task::on_undelivered(link_undelivered&& event)
{
    if (const auto* const asked = std::get_if<call_message>(&event.m_message)) {
        m_entry.on_undelivered(event_loop::now(), asked->m_attempt, m_entry_actions);
    }
}

void call_task::on_time()
{
    const instant now = event_loop::now();
    m_entry.tick(now, m_entry_actions);
    m_runner.tick(now, m_runner_actions);
    settle();
}

/** Carries out all that entry and runner have decided, and sets the timer for what is due next. */
void call_task::settle()
{
    bool busy = true;
    while (busy) {
        busy = apply_entry_actions();
        busy = apply_runner_actions() || busy;
    }
    const instant next = std::min(m_entry.next_tick(), m_runner.next_tick());
    if (next == instant::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.set(next - event_loop::now());
}

/** Carries out what the entry has decided. @return whether there was anything. */
bool call_task::apply_entry_actions()
{
    std::vector<entry_action> decided = std::exchange(m_entry_actions, {});
    const instant now = event_loop::now();
    for (entry_action& action : decided) {
        std::visit(
            overloaded{
                [&](entry_send& sent) {
                    if (sent.m_node == m_settings.m_name) {
                        m_runner.on_call(now, sent.m_node, sent.m_attempt, std::move(sent.m_call),
                                         m_runner_actions);
                        return;
                    }
                    m_on_output(peer_send{sent.m_node, call_message{sent.m_attempt, std::move(sent.m_call)}});
                },
                [&](entry_cancel& cancelled) {
                    if (cancelled.m_node == m_settings.m_name) {
                        m_runner.cancel(now, cancelled.m_attempt, m_runner_actions);
                        return;
                    }
                    m_on_output(peer_send{cancelled.m_node, cancel_message{cancelled.m_attempt}});
                },
                [&](entry_reply& given) { reply(std::move(given)); },
            },
            action);
    }
    return !decided.empty();
}

/** Carries out what the runner has decided. @return whether there was anything. */
bool call_task::apply_runner_actions()
{
    std::vector<runner_action> decided = std::exchange(m_runner_actions, {});
    const instant now = event_loop::now();
    for (runner_action& action : decided) {
        std::visit(overloaded{
                       [&](runner_answer& given) {
                           log_run(given);
                           if (given.m_node == m_settings.m_name) {
                               m_entry.on_answer(now, given.m_attempt, given.m_answer, m_entry_actions);
                               return;
                           }
                           m_on_output(peer_send{given.m_node,
                                                 answer_message{given.m_attempt, std::move(given.m_answer)}});
                       },
                       [&](auto& asked) { m_on_output(std::move(asked)); },
                   },
                   action);
    }
    return !decided.empty();
}

void call_task::log_reply(const entry_reply& given)
{
    const sample_decision decided = sample(m_entry_log, given.m_request_id, given.m_answer);
    if (!decided.m_logged) {
        return;
    }
    const answer& told = given.m_answer;
    log_event(event::request_answered,
              {{"request", given.m_request_id},
               {"kind", given.m_kind.m_value},
               {"service", given.m_service.m_value},
               {"rule", std::string(info_of(told.m_rule).m_name)},
               {"outcome", std::string(to_string(told.m_state))},
               {"status", std::to_string(told.m_status)},
               {"attempts", std::to_string(given.m_attempts)},
               {"node", given.m_node.m_value},
               {"took_ms", std::to_string(to_milliseconds(given.m_took))},
               {"depth", std::to_string(given.m_depth)},
               {"revision", std::to_string(m_revision.m_value)},
               {"threshold", std::to_string(m_entry.threshold(event_loop::now(), given.m_kind).m_value)},
               {"suppressed", std::to_string(decided.m_suppressed)}});
}

void call_task::log_run(const runner_answer& given)
{
    const sample_decision decided = sample(m_run_log, given.m_request_id, given.m_answer);
    if (!decided.m_logged) {
        return;
    }
    const answer& told = given.m_answer;
    log_event(event::run_ended, {{"request", given.m_request_id},
                                 {"kind", given.m_kind.m_value},
                                 {"rule", std::string(info_of(told.m_rule).m_name)},
                                 {"outcome", std::string(to_string(told.m_state))},
                                 {"status", std::to_string(told.m_status)},
                                 {"waited_ms", std::to_string(to_milliseconds(given.m_waited))},
                                 {"took_ms", std::to_string(to_milliseconds(given.m_took))},
                                 {"priority", std::to_string(given.m_priority.m_value)},
                                 {"running", std::to_string(told.m_load.m_in_progress)},
                                 {"queued", std::to_string(told.m_load.m_queued)},
                                 {"limit", std::to_string(told.m_load.m_limit)},
                                 {"threshold", std::to_string(told.m_load.m_threshold.m_value)},
                                 {"suppressed", std::to_string(decided.m_suppressed)}});
}

void call_task::reply(entry_reply&& given)
{
    log_reply(given);
    const std::string hop = given.m_root ? "root" : "sub-call";
    const metric_labels labels{{"kind", given.m_kind.m_value},
                               {"rule", std::string(info_of(given.m_answer.m_rule).m_name)},
                               {"hop", hop}};
    m_metrics.count("waxwing_requests_total", labels);
    m_metrics.observe("waxwing_request_seconds", {{"kind", given.m_kind.m_value}, {"hop", hop}},
                      given.m_took);
    m_door->reply(to_http_reply(std::move(given), m_dialect));
}

} // namespace waxwing
