/** @file target_task.cpp The task that communicates with the target beside the node. */
#include "node/target_task_base.h"

#include "events/events.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace waxwing {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(500);
constexpr duration quick_probe_interval = std::chrono::milliseconds(200); ///< While the target is not ready.
constexpr duration slow_probe_interval = std::chrono::seconds(1);         ///< While it is ready.
constexpr std::uint16_t first_error_status = 400;
constexpr duration min_run_timeout = std::chrono::milliseconds(1);
constexpr duration connect_timeout =
    std::chrono::seconds(1); ///< A target on the same machine answers in a few ms.
constexpr duration idle_timeout =
    std::chrono::seconds(8); ///< Targets commonly close idle connections after 10 s or more.
constexpr std::size_t connections_per_slot = 2; ///< One in use, one being closed or opened.
constexpr std::size_t spare_connections = 8;    ///< Additional connections, for targets with few slots.
constexpr std::size_t max_logged_value = 64;    ///< Bytes of an invalid header value in the log.

/** Returns the target state with the chart name @p name. */
target_state to_target_state(const std::string& name)
{
    for (const target_state state :
         {target_state::starting, target_state::ready, target_state::draining, target_state::down}) {
        if (to_string(state) == name) {
            return state;
        }
    }
    return target_state::absent;
}

/** Reads a rate in requests a second: a decimal number; none if @p text is anything else. */
std::optional<double> read_rate(const std::string& text)
{
    double rate = 0.0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool is_valid = failure == std::errc{} && stop == end && std::isfinite(rate) && rate >= 0.0;
    return is_valid ? std::optional(rate) : std::nullopt;
}

/** Converts @p kind to how far the run had progressed. */
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

target_task::target_task(event_loop& loop, const request_dialect& dialect, const chart& target_chart,
                         handler on_output)
    : m_loop(loop), m_dialect(dialect), m_on_output(std::move(on_output)), m_state_machine(target_chart),
      m_connect_probe(loop, [this](bool accepts) { on_connect_probe(accepts); }),
      m_timer(loop, [this] { on_timer(); })
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
    target_announcement announcement;
    announcement.m_service = settings.m_service;
    announcement.m_address = *settings.m_target;
    announcement.m_slots = settings.m_slots;
    announcement.m_connections = settings.m_connections;
    announce(announcement);
}

void target_task::announce(const target_announcement& announcement)
{
    const wall_time now = event_loop::wall_now();
    const announcement_result effect = m_order.take(announcement, now);
    if (effect == announcement_result::stale) {
        return;
    }
    if (effect == announcement_result::other_left) {
        m_on_output(target_departed{m_order.departure_of(announcement, now)});
        return;
    }
    if (effect == announcement_result::new_life) {
        begin_incarnation(announcement);
    }
    const bool size_changed =
        m_target.m_slots != announcement.m_slots || m_target.m_service != announcement.m_service;
    if (announcement.m_intent != target_intent::serve) {
        m_target.m_intent = announcement.m_intent;
        depart();
        return;
    }
    m_target = announcement;
    m_announces_readiness = !announcement.m_instance.empty();
    raise("announced");
    if (m_announces_readiness) {
        raise("healthy");
    }
    if (size_changed && effect == announcement_result::same) {
        execute_action("tell-peers");
    }
    schedule();
}

/** Drains the target, since its known incarnation leaves. */
void target_task::depart()
{
    raise("drain");
    m_on_output(target_departed{m_order.departure(event_loop::wall_now())});
}

void target_task::restore_departure(const target_departure& departure)
{
    if (m_order.restore(departure)) {
        raise("drain");
    }
}

/** Opens new connections, since those to an earlier incarnation are dead or lead to another target. */
void target_task::begin_incarnation(const target_announcement& announcement)
{
    log_event(event::target_announced, {{"service", announcement.m_service.m_value},
                                        {"instance", announcement.m_instance},
                                        {"life", std::to_string(announcement.m_incarnation.m_value)},
                                        {"address", to_string(announcement.m_address)},
                                        {"slots", std::to_string(announcement.m_slots)}});
    if (state() == target_state::draining) {
        raise("drained");
    }
    else if (state() == target_state::ready && m_announces_readiness) {
        raise("lost");
    }
    m_target = announcement;
    if (m_rate_limit) {
        set_rate_limit(std::nullopt);
    }
    start_client();
}

std::size_t target_task::connection_limit() const
{
    const std::uint32_t stated_limit = m_connections != 0 ? m_connections : m_target.m_connections;
    const std::size_t useful_limit = std::size_t{m_target.m_slots} * connections_per_slot + spare_connections;
    return stated_limit == 0 ? useful_limit : std::min<std::size_t>(stated_limit, useful_limit);
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
    calls.m_idle_timeout = idle_timeout;
    calls.m_budget = m_budget;
    m_client =
        http_client::make(m_loop, calls, [this, generation = ++m_generation](http_client_event&& event) {
            on_run_event(generation, std::move(event));
        });
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

void target_task::run(runner_run&& request)
{
    call& outgoing = request.m_call;
    m_client->send({exchange_id{request.m_attempt.m_value}, m_target.m_address, std::move(outgoing.m_method),
                    std::move(outgoing.m_path), std::move(outgoing.m_headers), std::move(outgoing.m_body),
                    std::max(request.m_time_left, min_run_timeout), std::string(m_dialect.m_request_id),
                    outgoing.m_idempotent});
}

void target_task::abort(attempt_id attempt)
{
    m_client->abort(exchange_id{attempt.m_value});
    for (const auto& client : m_retired) {
        client->abort(exchange_id{attempt.m_value});
    }
}

/** Applies the rate limit that the target names in an answer with @p headers, or the end of it. */
void target_task::read_rate_limit(const header_list& headers)
{
    const std::string* const text =
        m_dialect.m_rate_limit.empty() ? nullptr : find_header(headers, m_dialect.m_rate_limit);
    const std::optional<double> rate = text == nullptr ? std::nullopt : read_rate(*text);
    if (text != nullptr && !rate) {
        log_event(event::rate_limit_ignored, {{"value", text->substr(0, max_logged_value)}});
        return;
    }
    if (rate != m_rate_limit) {
        set_rate_limit(rate);
    }
}

void target_task::set_rate_limit(std::optional<double> rate)
{
    m_rate_limit = rate;
    log_event(event::target_rate_limited, {{"rate", rate ? std::to_string(*rate) : "none"}});
    m_on_output(target_rate_limited{rate});
}

/** Drains the target if it says in an answer with @p headers that it leaves. */
void target_task::read_leaving(const header_list& headers)
{
    const std::string* const text =
        m_dialect.m_leaving.empty() ? nullptr : find_header(headers, m_dialect.m_leaving);
    if (text != nullptr && *text == "1" && state() == target_state::ready) {
        log_event(event::target_leaving, {{"instance", m_target.m_instance}});
        depart();
    }
}

void target_task::on_run_event(std::uint64_t generation, http_client_event&& event)
{
    if (auto* const http_response = std::get_if<http_answer>(&event)) {
        if (generation == m_generation) {
            read_rate_limit(http_response->m_headers);
            read_leaving(http_response->m_headers);
        }
        answer response;
        response.m_status = http_response->m_status;
        response.m_headers = std::move(http_response->m_headers);
        response.m_body = std::move(http_response->m_body);
        m_on_output(run_answered{attempt_id{http_response->m_exchange.m_value}, std::move(response)});
        return;
    }
    const auto& failure = std::get<http_failure>(event);
    m_on_output(run_failed{attempt_id{failure.m_exchange.m_value}, to_target_failure(failure.m_kind)});
}

void target_task::probe()
{
    if (m_announces_readiness) {
        m_connect_probe.start(m_target.m_address, probe_timeout);
        return;
    }
    m_probe_requested = true;
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
    const auto* const http_response = std::get_if<http_answer>(&event);
    const auto* const failure = std::get_if<http_failure>(&event);
    if (http_response != nullptr && http_response->m_exchange == m_load_probe) {
        const nlohmann::json load = nlohmann::json::parse(http_response->m_body.text(), nullptr, false);
        if (load.is_object() && load.contains("slots") && load["slots"].is_number_unsigned()) {
            m_on_output(limit_hinted{load["slots"].get<std::uint32_t>()});
        }
        return;
    }
    if (failure != nullptr && failure->m_exchange == m_load_probe) {
        log_event(event::load_probe_failed, {{"reason", failure->m_text}});
        return;
    }
    const bool accepts = failure == nullptr || failure->m_kind == http_failure_kind::timeout;
    if (std::exchange(m_probe_requested, false)) {
        m_on_output(probe_ended{accepts});
    }
    if (!accepts) {
        raise("lost");
        return;
    }
    const bool healthy =
        http_response != nullptr && (m_health_path.empty() || http_response->m_status < first_error_status);
    if (healthy) {
        raise("healthy");
    }
}

void target_task::set_operator_drain(bool is_drained)
{
    m_operator_drain = is_drained;
    raise(is_drained ? "drain" : "resume");
}

void target_task::raise(std::string_view name)
{
    const std::vector<std::string> actions = m_state_machine.raise(name);
    for (const std::string& action : actions) {
        execute_action(action);
    }
    if (m_operator_drain && (state() == target_state::starting || state() == target_state::ready)) {
        raise("drain");
    }
    schedule();
}

/** Executes the action @p action of the target chart. */
void target_task::execute_action(const std::string& action)
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
    return to_target_state(m_state_machine.state());
}

void target_task::on_timer()
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
    if (m_state_machine.ended() || m_announces_readiness || state() == target_state::absent) {
        m_timer.cancel();
        return;
    }
    if (!m_timer.pending()) {
        m_timer.set(state() == target_state::ready ? slow_probe_interval : quick_probe_interval);
    }
}

} // namespace waxwing
