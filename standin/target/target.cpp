/** @file target.cpp A stand-in for a target. */
#include "standin/target/target_base.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace waxwing {

namespace {

using json = nlohmann::ordered_json;

constexpr duration announce_interval = std::chrono::milliseconds(100);
constexpr duration renew_interval = std::chrono::seconds(5);
constexpr duration sub_call_timeout = std::chrono::seconds(10);
constexpr std::uint16_t ok = 200;
constexpr std::uint16_t failed = 500;
constexpr std::uint16_t unavailable = 503;
constexpr int crash_status = 70;

/** Sums the bytes of @p text, so that a whole body can be told from a cut one. */
std::uint64_t checksum(const std::string& text)
{
    std::uint64_t sum = text.size();
    for (const char letter : text) {
        sum = sum * 31 + static_cast<unsigned char>(letter);
    }
    return sum;
}

/** Gives the value of the header @p name; empty where it is missing. */
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
    http_client_settings calls;
    calls.m_connection_limit = 1000;
    m_client =
        http_client::make(loop, calls, [this](http_client_event&& event) { on_sub_call(std::move(event)); });
    m_announcer = http_client::make(loop, {}, [this](http_client_event&& event) {
        const auto* const answered = std::get_if<http_answer>(&event);
        m_announce_timer.set(answered != nullptr && answered->m_status == ok ? renew_interval
                                                                             : announce_interval);
    });
}

result<void> target_standin::start()
{
    m_started = event_loop::now();
    http_server_settings settings;
    settings.m_address = m_options.m_listen;
    settings.m_body_limit = std::size_t{16} << 20U;
    settings.m_connection_limit = m_options.m_connections + 10;
    settings.m_idle_timeout = std::chrono::seconds(120);
    auto opened =
        http_server::open(m_loop, settings, [this](http_server_event&& event) { on_http(std::move(event)); });
    if (opened.has_error()) {
        return opened.error();
    }
    m_server = std::move(opened).value();
    if (m_options.m_announce.m_port != 0) {
        announce();
    }
    return success();
}

/** Tells the own node about this target, again and again, since the node may be a new one. */
void target_standin::announce()
{
    const json said{{"service", m_options.m_service},
                    {"address", to_string(m_options.m_listen)},
                    {"slots", m_options.m_slots},
                    {"connections", m_options.m_connections}};
    m_announcer->send({exchange_id{++m_last_exchange},
                       m_options.m_announce,
                       "PUT",
                       "/v1/target",
                       {},
                       said.dump(),
                       std::chrono::seconds(1)});
}

void target_standin::on_http(http_server_event&& event)
{
    if (auto* const request = std::get_if<http_request>(&event)) {
        on_request(std::move(*request));
        return;
    }
    const exchange_id gone = std::get<http_client_disconnected>(event).m_exchange;
    const auto waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [gone](const http_request& request) { return request.m_exchange == gone; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return;
    }
    const auto position = m_works.find(gone);
    if (position != m_works.end()) {
        ++m_abandoned;
        m_work_ms += to_seconds(position->second.m_own_work) * 1000;
        m_works.erase(position);
        give_slot();
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
    if (m_faults.m_sheds_all || m_waiting.size() >= m_options.m_waiting_room) {
        shed(request.m_exchange);
        return;
    }
    if (m_works.size() >= m_options.m_slots) {
        m_waiting.push_back(std::move(request));
        return;
    }
    start_work(std::move(request));
}

/** Answers what is not work: health, load, faults and counts. @return whether it was one of these. */
bool target_standin::answer_control(const http_request& request)
{
    const exchange_id id = request.m_exchange;
    if (request.m_path == "/health" || request.m_path == "/") {
        m_server->reply({id, is_healthy() ? ok : unavailable, {}, ""});
        return true;
    }
    if (request.m_path == "/load") {
        const unsigned slots = m_faults.m_load_lie == 0 ? m_options.m_slots : m_faults.m_load_lie;
        m_server->reply({id, ok, {}, json{{"slots", slots}, {"busy", m_works.size()}}.dump()});
        return true;
    }
    if (request.m_path == "/executions") {
        m_server->reply({id, ok, {{"Content-Type", "application/json"}}, executions()});
        return true;
    }
    if (request.m_path == "/faults") {
        take_faults(request);
        m_server->reply({id, ok, {}, ""});
        return true;
    }
    return false;
}

void target_standin::take_faults(const http_request& request)
{
    const json ordered = json::parse(request.m_body, nullptr, false);
    if (!ordered.is_object()) {
        return;
    }
    m_faults.m_service_factor = ordered.value("service_factor", m_faults.m_service_factor);
    m_faults.m_failure_share = ordered.value("failure_share", m_faults.m_failure_share);
    m_faults.m_health_lies = ordered.value("health_lies", m_faults.m_health_lies);
    m_faults.m_load_lie = ordered.value("load_lie", m_faults.m_load_lie);
    m_faults.m_sheds_all = ordered.value("sheds_all", m_faults.m_sheds_all);
}

bool target_standin::is_healthy() const
{
    return m_faults.m_health_lies || event_loop::now() - m_started >= m_options.m_cold_start;
}

std::string target_standin::executions() const
{
    return json{
        {"total", m_runs}, {"work_ms", m_work_ms}, {"abandoned", m_abandoned}, {"by_key", m_runs_by_key}}
        .dump();
}

void target_standin::shed(exchange_id id)
{
    m_server->reply({id, unavailable, {{"Waxwing-Outcome", "not-run"}}, "shed"});
}

void target_standin::start_work(http_request&& request)
{
    const exchange_id id = request.m_exchange;
    const std::string key = header_or_empty(request, "Idempotency-Key");
    ++m_runs;
    if (!key.empty()) {
        ++m_runs_by_key[key];
    }
    work started;
    started.m_context = header_or_empty(request, "Waxwing-Context");
    started.m_request = std::move(request);
    started.m_began = event_loop::now();
    m_works.emplace(id, std::move(started));
    go_on(id);
}

/** Makes the next sub-call of a request, or does its own work. */
void target_standin::go_on(exchange_id id)
{
    work& current = m_works.at(id);
    if (current.m_next_call < m_options.m_calls.size() && !current.m_sub_call_failed) {
        const sub_call& next = m_options.m_calls[current.m_next_call++];
        const exchange_id sent{++m_last_exchange};
        m_sub_calls.emplace(sent, id);
        header_list headers{{"Host", next.m_service}};
        if (!current.m_context.empty()) {
            headers.push_back({"Waxwing-Context", current.m_context});
        }
        m_client->send(
            {sent, m_options.m_node, "GET", next.m_path, std::move(headers), "", sub_call_timeout});
        return;
    }
    std::lognormal_distribution<double> spread(0.0, 0.2);
    const double factor = m_faults.m_service_factor * spread(m_random);
    const auto length = std::chrono::duration_cast<duration>(m_options.m_service_time * factor);
    current.m_timer = std::make_unique<timer>(m_loop, [this, id] { end_work(id); });
    current.m_own_work = current.m_sub_call_failed ? duration::zero() : length;
    current.m_timer->set(current.m_own_work);
}

void target_standin::on_sub_call(http_client_event&& event)
{
    const auto* const answered = std::get_if<http_answer>(&event);
    const exchange_id sent =
        answered != nullptr ? answered->m_exchange : std::get<http_failure>(event).m_exchange;
    const auto position = m_sub_calls.find(sent);
    const exchange_id id = position->second;
    m_sub_calls.erase(position);
    const auto served = m_works.find(id);
    if (served == m_works.end()) {
        return;
    }
    served->second.m_sub_call_failed |= answered == nullptr || answered->m_status != ok;
    go_on(id);
}

void target_standin::end_work(exchange_id id)
{
    const auto position = m_works.find(id);
    const std::unique_ptr<timer> fired = std::move(position->second.m_timer);
    const work ended = std::move(position->second);
    m_works.erase(position);
    m_work_ms += to_seconds(ended.m_own_work) * 1000;
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    const bool fails = ended.m_sub_call_failed || chance(m_random) < m_faults.m_failure_share;
    const json body{{"service", m_options.m_service},
                    {"path", ended.m_request.m_path},
                    {"request_id", header_or_empty(ended.m_request, "X-Request-Id")},
                    {"body_size", ended.m_request.m_body.size()},
                    {"body_checksum", checksum(ended.m_request.m_body)}};
    m_server->reply({id, fails ? failed : ok, {{"Content-Type", "application/json"}}, body.dump()});
    give_slot();
}

/** Starts the work that has waited longest. */
void target_standin::give_slot()
{
    if (m_waiting.empty() || m_works.size() >= m_options.m_slots) {
        return;
    }
    http_request next = std::move(m_waiting.front());
    m_waiting.pop_front();
    start_work(std::move(next));
}

} // namespace waxwing
