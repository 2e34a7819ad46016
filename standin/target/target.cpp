/** @file target.cpp Stand-in target for tests. */
#include "standin/target/target_base.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace waxwing {

namespace {

using json = nlohmann::ordered_json;

constexpr duration announce_retry_interval = std::chrono::milliseconds(100);
constexpr duration announce_renew_interval = std::chrono::seconds(5);
constexpr duration sub_call_timeout = std::chrono::seconds(10);
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_failed = 500;
constexpr std::uint16_t status_unavailable = 503;
constexpr int crash_status = 70;
constexpr int decimal_base = 10;

/** Computes a checksum of @p text, so that tests can detect a truncated body. */
std::uint64_t checksum(const std::string& text)
{
    std::uint64_t sum = text.size();
    for (const char letter : text) {
        sum = sum * 31 + static_cast<unsigned char>(letter);
    }
    return sum;
}

/** Returns the value of the header @p name; empty if it is missing. */
std::string header_or_empty(const http_request& request, std::string_view name)
{
    const std::string* const found = find_header(request.m_headers, name);
    return found == nullptr ? "" : *found;
}

} // namespace

target_standin::target_standin(event_loop& loop, target_options options)
    : m_loop(loop), m_options(std::move(options)), m_random(m_options.m_seed),
      m_announce_timer(loop, [this] { announce(); })
{
    http_client_settings client_settings;
    client_settings.m_connection_limit = 1000;
    m_client = http_client::make(loop, client_settings,
                                 [this](http_client_event&& event) { on_sub_call(std::move(event)); });
    m_announcer = http_client::make(loop, {}, [this](http_client_event&& event) {
        const auto* const answer = std::get_if<http_answer>(&event);
        m_announce_timer.set(answer != nullptr && answer->m_status == status_ok ? announce_renew_interval
                                                                                : announce_retry_interval);
    });
}

result<void> target_standin::start()
{
    m_listening_since = event_loop::now();
    http_server_settings settings;
    settings.m_address = m_options.m_listen;
    settings.m_body_limit = std::size_t{16} << 20U;
    settings.m_connection_limit = m_options.m_max_connections + 10;
    settings.m_idle_timeout = std::chrono::seconds(120);
    auto server =
        http_server::open(m_loop, settings, [this](http_server_event&& event) { on_http(std::move(event)); });
    if (server.has_error()) {
        return server.error();
    }
    m_server = std::move(server).value();
    if (m_options.m_announce.m_port != 0) {
        announce();
    }
    return success();
}

/** Announces the target to its node. Repeated, since a restarted node has lost the announcement. */
void target_standin::announce()
{
    const json announcement{{"service", m_options.m_service},
                            {"address", to_string(m_options.m_listen)},
                            {"slots", m_options.m_slots},
                            {"connections", m_options.m_max_connections}};
    m_announcer->send({exchange_id{++m_last_exchange},
                       m_options.m_announce,
                       "PUT",
                       "/v1/target",
                       {},
                       announcement.dump(),
                       std::chrono::seconds(1)});
}

void target_standin::on_http(http_server_event&& event)
{
    if (auto* const request = std::get_if<http_request>(&event)) {
        on_request(std::move(*request));
        return;
    }
    const exchange_id disconnected_exchange = std::get<http_client_disconnected>(event).m_exchange;
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [disconnected_exchange](const http_request& request) {
                                          return request.m_exchange == disconnected_exchange;
                                      });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return;
    }
    const auto position = m_work_items.find(disconnected_exchange);
    if (position != m_work_items.end()) {
        ++m_abandoned;
        m_work_ms += to_seconds(position->second.m_work_duration) * 1000;
        m_work_items.erase(position);
        start_waiting();
    }
}

void target_standin::on_request(http_request&& request)
{
    if (answer_control(request)) {
        return;
    }
    if (header_or_empty(request, "X-Crash") == "1") {
        std::_Exit(crash_status);
    }
    if (m_faults.m_sheds_all || m_waiting.size() >= m_options.m_max_waiting) {
        shed(request.m_exchange);
        return;
    }
    if (m_work_items.size() >= m_options.m_slots) {
        m_waiting.push_back(std::move(request));
        return;
    }
    start_work(std::move(request));
}

/** Answers requests for health, load, faults and counts. @return false if @p request is for none of these. */
bool target_standin::answer_control(const http_request& request)
{
    const exchange_id id = request.m_exchange;
    if (request.m_path == "/health" || request.m_path == "/") {
        m_server->reply({id, is_healthy() ? status_ok : status_unavailable, {}, ""});
        return true;
    }
    if (request.m_path == "/load") {
        const unsigned slots = m_faults.m_reported_slots == 0 ? m_options.m_slots : m_faults.m_reported_slots;
        m_server->reply({id, status_ok, {}, json{{"slots", slots}, {"busy", m_work_items.size()}}.dump()});
        return true;
    }
    if (request.m_path == "/executions") {
        m_server->reply({id, status_ok, {{"Content-Type", "application/json"}}, executions()});
        return true;
    }
    if (request.m_path == "/faults") {
        apply_faults(request);
        m_server->reply({id, status_ok, {}, ""});
        return true;
    }
    return false;
}

void target_standin::apply_faults(const http_request& request)
{
    const json faults = json::parse(request.m_body.text(), nullptr, false);
    if (!faults.is_object()) {
        return;
    }
    m_faults.m_service_factor = faults.value("service_factor", m_faults.m_service_factor);
    m_faults.m_failure_ratio = faults.value("failure_share", m_faults.m_failure_ratio);
    m_faults.m_always_healthy = faults.value("health_lies", m_faults.m_always_healthy);
    m_faults.m_reported_slots = faults.value("load_lie", m_faults.m_reported_slots);
    m_faults.m_sheds_all = faults.value("sheds_all", m_faults.m_sheds_all);
}

bool target_standin::is_healthy() const
{
    return m_faults.m_always_healthy ||
           event_loop::now() - m_listening_since >= m_options.m_cold_start_duration;
}

std::string target_standin::executions() const
{
    return json{
        {"total", m_runs}, {"work_ms", m_work_ms}, {"abandoned", m_abandoned}, {"by_key", m_runs_by_key}}
        .dump();
}

void target_standin::shed(exchange_id id)
{
    m_server->reply({id, status_unavailable, {{"Waxwing-Outcome", "not-run"}}, "shed"});
}

void target_standin::start_work(http_request&& request)
{
    const exchange_id id = request.m_exchange;
    const std::string key = header_or_empty(request, "Idempotency-Key");
    ++m_runs;
    if (!key.empty()) {
        ++m_runs_by_key[key];
    }
    work_item item;
    item.m_context = header_or_empty(request, "Waxwing-Context");
    item.m_request = std::move(request);
    item.m_started_at = event_loop::now();
    m_work_items.emplace(id, std::move(item));
    continue_work(id);
}

/** Makes the next sub-call of a request, or starts its own work after the last one. */
void target_standin::continue_work(exchange_id id)
{
    work_item& current = m_work_items.at(id);
    if (current.m_next_call < m_options.m_sub_call_plan.size() && !current.m_sub_call_failed) {
        const sub_call& next = m_options.m_sub_call_plan[current.m_next_call++];
        const exchange_id sub_exchange{++m_last_exchange};
        m_sub_calls.emplace(sub_exchange, id);
        header_list headers{{"Host", next.m_service}};
        if (!current.m_context.empty()) {
            headers.push_back({"Waxwing-Context", current.m_context});
        }
        m_client->send(
            {sub_exchange, m_options.m_node, "GET", next.m_path, std::move(headers), "", sub_call_timeout});
        return;
    }
    std::lognormal_distribution<double> noise(0.0, 0.2);
    const double factor = m_faults.m_service_factor * noise(m_random);
    const auto work_duration = std::chrono::duration_cast<duration>(m_options.m_service_duration * factor);
    current.m_timer = std::make_unique<timer>(m_loop, [this, id] { end_work(id); });
    current.m_work_duration = current.m_sub_call_failed ? duration::zero() : work_duration;
    current.m_timer->set(current.m_work_duration);
}

void target_standin::on_sub_call(http_client_event&& event)
{
    const auto* const answer = std::get_if<http_answer>(&event);
    const exchange_id sub_exchange =
        answer != nullptr ? answer->m_exchange : std::get<http_failure>(event).m_exchange;
    const auto position = m_sub_calls.find(sub_exchange);
    const exchange_id id = position->second;
    m_sub_calls.erase(position);
    const auto item = m_work_items.find(id);
    if (item == m_work_items.end()) {
        return;
    }
    item->second.m_sub_call_failed |= answer == nullptr || answer->m_status != status_ok;
    continue_work(id);
}

void target_standin::end_work(exchange_id id)
{
    const auto position = m_work_items.find(id);
    const std::unique_ptr<timer> work_timer = std::move(position->second.m_timer);
    const work_item item = std::move(position->second);
    m_work_items.erase(position);
    m_work_ms += to_seconds(item.m_work_duration) * 1000;
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    const bool fails = item.m_sub_call_failed || chance(m_random) < m_faults.m_failure_ratio;
    json body{{"service", m_options.m_service},
              {"path", item.m_request.m_path},
              {"request_id", header_or_empty(item.m_request, "X-Request-Id")},
              {"body_size", item.m_request.m_body.size()},
              {"body_checksum", checksum(item.m_request.m_body.text())}};
    const std::string answer_bytes = header_or_empty(item.m_request, "X-Answer-Bytes");
    if (!answer_bytes.empty()) {
        body["filler"] = std::string(std::strtoul(answer_bytes.c_str(), nullptr, decimal_base), 'x');
    }
    m_server->reply(
        {id, fails ? status_failed : status_ok, {{"Content-Type", "application/json"}}, body.dump()});
    start_waiting();
}

/** Starts the oldest waiting request if a slot is free. */
void target_standin::start_waiting()
{
    if (m_waiting.empty() || m_work_items.size() >= m_options.m_slots) {
        return;
    }
    http_request next = std::move(m_waiting.front());
    m_waiting.pop_front();
    start_work(std::move(next));
}

} // namespace waxwing
