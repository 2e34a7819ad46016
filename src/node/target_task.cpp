/** @file target_task.cpp The task that speaks to the target beside the node. */
#include "node/target_task_base.h"

#include "events/events.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(500);
constexpr duration quick_probe_interval = std::chrono::milliseconds(200); ///< While the target is not ready.
constexpr duration slow_probe_interval = std::chrono::seconds(1);         ///< While it is ready.
constexpr std::uint16_t first_error_status = 400;
constexpr duration least_run_time = std::chrono::milliseconds(1);
constexpr duration connect_timeout =
    std::chrono::seconds(1); ///< A target on the same machine answers in a few ms.
constexpr duration idle_limit = std::chrono::seconds(8); ///< Targets commonly close after 10 s or more.
constexpr std::size_t useful_connections = 2; ///< Per slot: one in use, one that is being closed or opened.
constexpr std::size_t spare_connections = 8;  ///< Beside those, for targets with few slots.

/** Looks up the state that the chart calls @p name. */
target_state state_called(const std::string& name)
{
    for (const target_state state :
         {target_state::starting, target_state::ready, target_state::draining, target_state::down}) {
        if (to_string(state) == name) {
            return state;
        }
    }
    return target_state::absent;
}

/** Tells how far a run that ended in @p kind went. */
target_failure to_target_failure(http_failure_kind kind)
{
    switch (kind) {
    case http_failure_kind::not_sent:
        return target_failure::not_sent;
    case http_failure_kind::timeout:
        return target_failure::timeout;
    case http_failure_kind::lost:
        return target_failure::lost;
    case http_failure_kind::aborted:
        return target_failure::aborted;
    }
    return target_failure::lost;
}

} // namespace

target_task::target_task(event_loop& loop, const request_dialect& dialect, const chart& life_chart,
                         handler on_output)
    : m_loop(loop), m_dialect(dialect), m_on_output(std::move(on_output)), m_life(life_chart),
      m_connect_probe(loop, [this](bool accepts) { on_connect_probe(accepts); }),
      m_timer(loop, [this] { on_time(); })
{
    http_client_settings probes;
    probes.m_connection_limit = 2;
    probes.m_connect_timeout = probe_timeout;
    m_probe_client = http_client::make(
        loop, probes, [this](http_client_event&& event) { on_probe_event(std::move(event)); });
}

void target_task::start(const node_settings& settings)
{
    if (!settings.m_target.has_value()) {
        return;
    }
    target_announcement said;
    said.m_service = settings.m_service;
    said.m_address = *settings.m_target;
    said.m_slots = settings.m_slots;
    said.m_connections = settings.m_connections;
    announce(said);
}

void target_task::announce(const target_announcement& said)
{
    const announcement_result news = m_order.take(said);
    if (news == announcement_result::stale) {
        return;
    }
    if (news == announcement_result::new_life) {
        begin_life(said);
    }
    const bool resized = m_target.m_slots != said.m_slots || m_target.m_service != said.m_service;
    if (said.m_intent != target_intent::serve) {
        m_target.m_intent = said.m_intent;
        raise("drain");
        return;
    }
    m_target = said;
    m_speaks = !said.m_instance.empty();
    raise("announced");
    if (m_speaks) {
        raise("healthy");
    }
    if (resized && news == announcement_result::same) {
        act("tell-peers");
    }
    schedule();
}

/** Starts with fresh connections, since those to an earlier life are dead or lead to another target. */
void target_task::begin_life(const target_announcement& said)
{
    log_event(event::target_announced, {{"service", said.m_service.m_value},
                                        {"instance", said.m_instance},
                                        {"life", std::to_string(said.m_incarnation.m_value)},
                                        {"address", to_string(said.m_address)},
                                        {"slots", std::to_string(said.m_slots)}});
    if (state() == target_state::draining) {
        raise("drained");
    }
    else if (state() == target_state::ready && m_speaks) {
        raise("lost");
    }
    m_target = said;
    start_client();
}

std::size_t target_task::connection_limit() const
{
    const std::uint32_t told = m_connections != 0 ? m_connections : m_target.m_connections;
    const std::size_t useful = std::size_t{m_target.m_slots} * useful_connections + spare_connections;
    return told == 0 ? useful : std::min<std::size_t>(told, useful);
}

void target_task::start_client()
{
    std::erase_if(m_retired, [](const auto& client) { return client->in_progress() == 0; });
    if (m_client != nullptr && m_client->in_progress() > 0) {
        m_retired.push_back(std::move(m_client));
    }
    http_client_settings calls;
    calls.m_connection_limit = connection_limit();
    calls.m_connect_timeout = connect_timeout;
    calls.m_idle_timeout = idle_limit;
    m_client = http_client::make(m_loop, calls,
                                 [this](http_client_event&& event) { on_run_event(std::move(event)); });
}

void target_task::set_connections(std::uint32_t connections)
{
    m_connections = connections;
}

void target_task::set_paths(std::string health_path, std::string load_path)
{
    m_health_path = std::move(health_path);
    m_load_path = std::move(load_path);
}

void target_task::run(runner_run&& wanted)
{
    call& sent = wanted.m_call;
    m_client->send({exchange_id{wanted.m_attempt.m_value}, m_target.m_address, std::move(sent.m_method),
                    std::move(sent.m_path), std::move(sent.m_headers), std::move(sent.m_body),
                    std::max(wanted.m_time_left, least_run_time), std::string(m_dialect.m_request_id),
                    sent.m_idempotent});
}

void target_task::abort(attempt_id attempt)
{
    m_client->abort(exchange_id{attempt.m_value});
    for (const auto& client : m_retired) {
        client->abort(exchange_id{attempt.m_value});
    }
}

void target_task::on_run_event(http_client_event&& event)
{
    if (auto* const answered = std::get_if<http_answer>(&event)) {
        answer given;
        given.m_status = answered->m_status;
        given.m_headers = std::move(answered->m_headers);
        given.m_body = std::move(answered->m_body);
        m_on_output(run_answered{attempt_id{answered->m_exchange.m_value}, std::move(given)});
        return;
    }
    const auto& failed = std::get<http_failure>(event);
    m_on_output(run_failed{attempt_id{failed.m_exchange.m_value}, to_target_failure(failed.m_kind)});
}

void target_task::probe()
{
    if (m_speaks) {
        m_connect_probe.start(m_target.m_address, probe_timeout);
        return;
    }
    m_wanted = true;
    send_probe(m_health_path);
}

void target_task::on_connect_probe(bool accepts)
{
    m_on_output(probe_ended{accepts});
    if (!accepts) {
        raise("lost");
    }
}

/** Sends a probe to @p path on a connection of its own. */
void target_task::send_probe(const std::string& path)
{
    ++m_last_probe;
    m_probe_client->send({exchange_id{m_last_probe},
                          m_target.m_address,
                          "GET",
                          path.empty() ? "/" : path,
                          {{"Connection", "close"}},
                          "",
                          probe_timeout});
}

void target_task::on_probe_event(http_client_event&& event)
{
    const auto* const answered = std::get_if<http_answer>(&event);
    if (answered != nullptr && answered->m_exchange == m_load_probe) {
        const nlohmann::json load = nlohmann::json::parse(answered->m_body, nullptr, false);
        if (load.is_object() && load.contains("slots") && load["slots"].is_number_unsigned()) {
            m_on_output(limit_hinted{load["slots"].get<std::uint32_t>()});
        }
        return;
    }
    const auto* const failed = std::get_if<http_failure>(&event);
    const bool accepts = failed == nullptr || failed->m_kind == http_failure_kind::timeout;
    if (std::exchange(m_wanted, false)) {
        m_on_output(probe_ended{accepts});
    }
    if (!accepts) {
        raise("lost");
        return;
    }
    const bool healthy =
        answered != nullptr && (m_health_path.empty() || answered->m_status < first_error_status);
    if (healthy) {
        raise("healthy");
    }
}

void target_task::hold_drained(bool wanted)
{
    m_held_drained = wanted;
    raise(wanted ? "drain" : "resume");
}

void target_task::raise(std::string_view name)
{
    const std::vector<std::string> actions = m_life.raise(name);
    for (const std::string& action : actions) {
        act(action);
    }
    if (m_held_drained && (state() == target_state::starting || state() == target_state::ready)) {
        raise("drain");
    }
    schedule();
}

/** Does what the chart calls @p action. */
void target_task::act(const std::string& action)
{
    if (action == "tell-peers") {
        m_on_output(target_changed{state(), m_target.m_service, m_target.m_slots, m_target.m_instance});
    }
    else if (action == "admit-work") {
        m_on_output(calls_gate{true, rule::none});
    }
    else if (action == "refuse-new-work") {
        const bool draining = state() == target_state::draining;
        m_on_output(calls_gate{false, draining ? rule::draining : rule::target_unreachable});
    }
}

target_state target_task::state() const
{
    return state_called(m_life.state());
}

void target_task::on_time()
{
    send_probe(m_health_path);
    if (!m_load_path.empty() && state() == target_state::ready) {
        send_probe(m_load_path);
        m_load_probe = exchange_id{m_last_probe};
    }
    schedule();
}

void target_task::schedule()
{
    if (m_life.ended() || m_speaks || state() == target_state::absent) {
        m_timer.cancel();
        return;
    }
    if (!m_timer.pending()) {
        m_timer.set(state() == target_state::ready ? slow_probe_interval : quick_probe_interval);
    }
}

} // namespace waxwing
