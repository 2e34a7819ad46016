/** @file operators_task.cpp The operator HTTP API: routes, status and commands. */
#include "node/operators_task_base.h"

#include "events/events.h"
#include "node/http_conversion_func.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <charconv>

namespace waxwing {

namespace {

using json = nlohmann::ordered_json;

constexpr std::string_view bearer = "Bearer ";
constexpr unsigned operator_connections = 100;
constexpr std::size_t operator_body_limit = 8 * 1024 * 1024; ///< Bytes; a whole configuration fits.

/** Returns the value of @p key in the query of @p path; empty where there is none. */
std::string query_value(std::string_view path, std::string_view key)
{
    const std::size_t mark = path.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : path.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == key && equals != std::string_view::npos) {
            return std::string(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return {};
}

/** Reads a revision; zero where @p text is not a number. */
revision read_revision(const std::string& text)
{
    revision read;
    std::from_chars(text.data(), text.data() + text.size(), read.m_value);
    return read;
}

/** Parses the announcement of a target. */
result<target_announcement> read_announcement(const std::string& body)
{
    const json fields = json::parse(body, nullptr, false);
    const bool is_complete = fields.is_object() && fields.contains("service") &&
                             fields["service"].is_string() && fields.contains("address") &&
                             fields["address"].is_string();
    if (!is_complete) {
        return fail(error_code::invalid, "an announcement needs service and address");
    }
    const result<endpoint> address = parse_endpoint(fields["address"].get<std::string>());
    if (address.has_error()) {
        return address.error();
    }
    target_announcement announcement;
    announcement.m_service.m_value = fields["service"].get<std::string>();
    announcement.m_address = address.value();
    for (const auto& [key, field] :
         {std::pair{"slots", &announcement.m_slots}, std::pair{"connections", &announcement.m_connections}}) {
        const bool valid = fields.contains(key) && fields[key].is_number_unsigned() && fields[key] >= 1U &&
                           fields[key] <= 100'000U;
        if (!valid) {
            return fail(error_code::invalid, std::string(key) + " must be a whole number from 1 to 100000");
        }
        *field = fields[key].get<std::uint32_t>();
    }
    return announcement;
}

} // namespace

const std::array<operators_task::route, 12> operators_task::routes{{
    {"GET", "/metrics", false, &operators_task::get_metrics},
    {"GET", "/health", false, &operators_task::get_health},
    {"GET", "/status", false, &operators_task::get_status},
    {"GET", "/v1/status", false, &operators_task::get_status},
    {"GET", "/v1/config", false, &operators_task::get_config},
    {"GET", "/v1/history", false, &operators_task::get_history},
    {"GET", "/v1/in_force", false, &operators_task::get_in_force},
    {"PUT", "/v1/target", false, &operators_task::put_target},
    {"POST", "/v1/config", true, &operators_task::post_config},
    {"POST", "/v1/rollback", true, &operators_task::post_rollback},
    {"POST", "/v1/drain", true, &operators_task::post_drain},
    {"POST", "/v1/release", true, &operators_task::post_release},
}};

operators_task::operators_task(event_loop& loop, const node_settings& settings, node_tasks tasks,
                               std::uint64_t seed)
    : m_loop(loop), m_settings(settings), m_tasks(tasks), m_publications(loop, tasks.m_control.store(), seed)
{
}

result<void> operators_task::listen()
{
    http_server_settings server_settings;
    server_settings.m_address = m_settings.m_operators;
    server_settings.m_body_limit = operator_body_limit;
    server_settings.m_connection_limit = operator_connections;
    auto server = http_server::open(m_loop, server_settings,
                                    [this](http_server_event&& event) { on_http(std::move(event)); });
    if (server.has_error()) {
        return server.error();
    }
    m_server = std::move(server).value();
    return success();
}

void operators_task::on_http(http_server_event&& event)
{
    const auto* const request = std::get_if<http_request>(&event);
    if (request == nullptr) {
        return;
    }
    const std::string_view path = std::string_view(request->m_path).substr(0, request->m_path.find('?'));
    for (const route& candidate : routes) {
        if (candidate.m_path != path || candidate.m_method != request->m_method) {
            continue;
        }
        if (request->m_body_too_large) {
            refuse(*request, rule::body_too_large, "");
            return;
        }
        if (candidate.m_needs_token && !is_authorised(*request)) {
            const char* const detail =
                m_settings.m_operator_token.empty()
                    ? "the node has no operator_token in its settings, so it takes no changes"
                    : "send the header Authorization: Bearer TOKEN";
            refuse(*request, rule::unauthorised, detail);
            return;
        }
        (this->*candidate.m_page)(*request);
        return;
    }
    refuse(*request, rule::not_found, "");
}

/** Compares the operator token in constant time, so that response times do not reveal its content. */
bool operators_task::is_authorised(const http_request& request) const
{
    const std::string& token = m_settings.m_operator_token;
    const std::string* const header = find_header(request.m_headers, "Authorization");
    if (token.empty() || header == nullptr || header->size() != bearer.size() + token.size()) {
        return false;
    }
    const bool scheme = header->compare(0, bearer.size(), bearer) == 0;
    return scheme && CRYPTO_memcmp(header->data() + bearer.size(), token.data(), token.size()) == 0;
}

void operators_task::refuse(const http_request& request, rule why, const std::string& detail)
{
    if (why == rule::unauthorised) {
        log_event(event::operator_refused,
                  {{"what", request.m_method + " " + request.m_path}, {"reason", "token"}});
    }
    m_server->reply(problem_reply(request.m_exchange, why, detail));
}

void operators_task::answer_json(exchange_id exchange, std::uint16_t status, const json& body)
{
    const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    m_server->reply(
        {exchange, status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, text});
}

void operators_task::get_metrics(const http_request& request)
{
    const instant now = event_loop::now();
    metrics& node_metrics = m_tasks.m_metrics;
    const load_report load = m_tasks.m_calls.runner_state().report(now);
    node_metrics.set("waxwing_target_in_progress", {}, load.m_in_progress);
    node_metrics.set("waxwing_target_queued", {}, load.m_queued);
    node_metrics.set("waxwing_target_limit", {}, load.m_limit);
    node_metrics.set("waxwing_threshold", {}, load.m_threshold.m_value);
    const revision in_force = m_tasks.m_control.in_force().m_info.m_revision;
    node_metrics.set("waxwing_revision", {}, static_cast<double>(in_force.m_value));
    node_metrics.set("waxwing_revision_refused", {}, m_tasks.m_control.refusal() ? 1.0 : 0.0);
    const entry_counters& entries = m_tasks.m_calls.entry_state().counters();
    node_metrics.set("waxwing_attempts", {}, static_cast<double>(entries.m_attempts));
    node_metrics.set("waxwing_retries", {}, static_cast<double>(entries.m_retries));
    node_metrics.set("waxwing_joined", {}, static_cast<double>(entries.m_joined));
    node_metrics.set("waxwing_wasted_answers", {}, static_cast<double>(entries.m_wasted));
    const link_counters& links = m_tasks.m_peers.counters();
    node_metrics.set("waxwing_link_bytes", {{"direction", "in"}}, static_cast<double>(links.m_bytes_in));
    node_metrics.set("waxwing_link_bytes", {{"direction", "out"}}, static_cast<double>(links.m_bytes_out));
    node_metrics.set("waxwing_links", {}, static_cast<double>(links.m_links));
    node_metrics.set("waxwing_link_malformed", {}, static_cast<double>(links.m_malformed));
    const datagram_counters& datagrams = m_tasks.m_control.counters();
    node_metrics.set("waxwing_gossip_bytes", {{"direction", "in"}},
                     static_cast<double>(datagrams.m_bytes_in));
    node_metrics.set("waxwing_gossip_bytes", {{"direction", "out"}},
                     static_cast<double>(datagrams.m_bytes_out));
    m_server->reply(
        {request.m_exchange, 200, {{"Content-Type", "text/plain; version=0.0.4"}}, node_metrics.write()});
}

void operators_task::get_health(const http_request& request)
{
    const std::string& life = m_tasks.m_state_machine.state();
    const bool serving = life == "serving";
    answer_json(request.m_exchange, serving ? 200 : 503, {{"life", life}});
}

json operators_task::status_of_calls() const
{
    const instant now = event_loop::now();
    const load_report load = m_tasks.m_calls.runner_state().report(now);
    json thresholds = json::object();
    const auto& set = m_tasks.m_control.in_force().m_set;
    if (set != nullptr) {
        for (const auto& [name, object] : set->m_kinds) {
            thresholds[name.m_value] = m_tasks.m_calls.entry_state().threshold(now, name).m_value;
        }
    }
    json suspects = json::array();
    for (const auto& [name, held] : m_tasks.m_calls.runner_state().suspects(now)) {
        suspects.push_back({{"fingerprint", name}, {"quarantined", held == suspicion::quarantined}});
    }
    const runner_counters& runs = m_tasks.m_calls.runner_state().counters();
    return {{"in_progress", m_tasks.m_calls.in_progress()},
            {"running", load.m_in_progress},
            {"queued", load.m_queued},
            {"limit", load.m_limit},
            {"threshold", load.m_threshold.m_value},
            {"thresholds_below", std::move(thresholds)},
            {"started", runs.m_started},
            {"succeeded", runs.m_succeeded},
            {"refused", runs.m_refused},
            {"suspects", std::move(suspects)}};
}

json operators_task::status_of_members() const
{
    json members = json::array();
    for (const member_record& record : m_tasks.m_control.members().members()) {
        members.push_back({{"node", record.m_node.m_value},
                           {"state", to_string(record.m_state)},
                           {"service", record.m_service.m_value},
                           {"target", to_string(record.m_target)},
                           {"data_centre", record.m_data_centre.m_value},
                           {"revision", record.m_revision.m_value}});
    }
    return members;
}

void operators_task::get_status(const http_request& request)
{
    const revision_in_force& configuration = m_tasks.m_control.in_force();
    const std::optional<std::string> refusal = m_tasks.m_control.refusal();
    answer_json(request.m_exchange, 200,
                {{"node", m_settings.m_name.m_value},
                 {"life", m_tasks.m_state_machine.state()},
                 {"target", to_string(m_tasks.m_target.state())},
                 {"service", m_tasks.m_target.target().m_service.m_value},
                 {"revision", configuration.m_info.m_revision.m_value},
                 {"digest", configuration.m_info.m_digest},
                 {"refused", refusal ? json(*refusal) : json()},
                 {"calls", status_of_calls()},
                 {"members", status_of_members()}});
}

void operators_task::get_in_force(const http_request& request)
{
    const revision min_revision = read_revision(query_value(request.m_path, "revision"));
    std::size_t known_count = 1;
    std::size_t in_force_count = m_tasks.m_control.in_force().m_info.m_revision < min_revision ? 0 : 1;
    json missing = json::array();
    if (in_force_count == 0) {
        missing.push_back(m_settings.m_name.m_value);
    }
    for (const member_record& record : m_tasks.m_control.members().members()) {
        if (record.m_state != member_state::alive) {
            continue;
        }
        ++known_count;
        if (record.m_revision < min_revision) {
            missing.push_back(record.m_node.m_value);
        }
        else {
            ++in_force_count;
        }
    }
    answer_json(request.m_exchange, 200,
                {{"known", known_count}, {"in_force", in_force_count}, {"missing", missing}});
}

void operators_task::put_target(const http_request& request)
{
    const result<target_announcement> parsed = read_announcement(request.m_body.text());
    if (parsed.has_error()) {
        refuse(request, rule::bad_request, parsed.error().m_text);
        return;
    }
    const target_announcement& announcement = parsed.value();
    const bool same_host = announcement.m_address.m_host == m_settings.m_callers.m_host;
    const bool same_service = m_settings.m_service.empty() || m_settings.m_service == announcement.m_service;
    const bool same_address =
        !m_settings.m_target.has_value() || *m_settings.m_target == announcement.m_address;
    if (!same_host || !same_service || !same_address) {
        refuse(request, rule::conflict, "the announcement differs from the node's settings");
        return;
    }
    m_tasks.m_target.announce(announcement);
    answer_json(request.m_exchange, 200, {{"target", to_string(m_tasks.m_target.state())}});
}

void operators_task::post_drain(const http_request& request)
{
    const json body = json::parse(request.m_body.text(), nullptr, false);
    const bool undo = body.is_object() && body.value("undo", false);
    log_event(event::operator_change, {{"what", undo ? "drain --undo" : "drain"}, {"who", "operator"}});
    m_tasks.m_target.set_operator_drain(!undo);
    answer_json(request.m_exchange, 200, {{"target", to_string(m_tasks.m_target.state())}});
}

void operators_task::post_release(const http_request& request)
{
    const json body = json::parse(request.m_body.text(), nullptr, false);
    const std::string name = body.is_object() ? body.value("fingerprint", "") : "";
    if (!m_tasks.m_calls.release(name)) {
        refuse(request, rule::not_found, "no request is held under this fingerprint");
        return;
    }
    log_event(event::request_released, {{"fingerprint", name}});
    answer_json(request.m_exchange, 200, {{"released", name}});
}

} // namespace waxwing
