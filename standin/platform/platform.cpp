/** @file platform.cpp Stand-in for the platform's store. */
#include "standin/platform/platform_base.h"

#include "platform/table/wire.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace waxwing {

namespace {

constexpr std::size_t rows_limit = 500;                          ///< Maximum number of rows in an answer.
constexpr duration max_feed_duration = std::chrono::seconds(30); ///< Maximum duration of a feed.

/** Decodes the percent-encoded @p text. */
std::string unescape(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool is_escape = text[index] == '%' && index + 2 < text.size();
        decoded += is_escape
                       ? static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16))
                       : text[index];
        index += is_escape ? 2 : 0;
    }
    return decoded;
}

/** Parses the query of @p path. */
std::map<std::string, std::string> query_of(std::string_view path)
{
    std::map<std::string, std::string> fields;
    const std::size_t query_start = path.find('?');
    std::string_view rest = query_start == std::string_view::npos ? "" : path.substr(query_start + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        fields[std::string(pair.substr(0, equals))] =
            unescape(pair.substr(std::min(equals + 1, pair.size())));
        rest = pair.size() == rest.size() ? "" : rest.substr(pair.size() + 1);
    }
    return fields;
}

} // namespace

bool rate_limit::take(instant now)
{
    m_tokens = std::min(m_rate, m_tokens + m_rate * to_seconds(now - m_refilled_at));
    m_refilled_at = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

platform_standin::platform_standin(event_loop& loop, double writes, double reads, std::uint64_t seed)
    : m_loop(loop), m_writes{writes, writes, {}}, m_reads{reads, reads, {}}, m_random(seed)
{
}

result<void> platform_standin::start(const endpoint& address)
{
    http_server_settings settings;
    settings.m_address = address;
    settings.m_body_limit = std::size_t{32} << 20U;
    settings.m_connection_limit = 4000;
    settings.m_idle_timeout = std::chrono::seconds(300);
    auto server = http_server::open(m_loop, settings, [this](http_server_event&& event) {
        if (const auto* const request = std::get_if<http_request>(&event)) {
            on_any_request(*request);
        }
    });
    if (server.has_error()) {
        return server.error();
    }
    m_server = std::move(server).value();
    return success();
}

void platform_standin::on_any_request(const http_request& request)
{
    try {
        on_request(request);
    }
    catch (const std::exception& failure) {
        reply(request.m_exchange, 400, {{"error", failure.what()}});
    }
}

void platform_standin::on_request(const http_request& request)
{
    const std::string_view path = std::string_view(request.m_path).substr(0, request.m_path.find('?'));
    if (path == "/faults") {
        apply_faults(request);
        return reply(request.m_exchange, 200, json::object());
    }
    if (path == "/counters") {
        return reply(request.m_exchange, 200, m_counters);
    }
    if (m_down) {
        return reply(request.m_exchange, 503, json::object());
    }
    const bool is_write = request.m_method != "GET";
    if (!(is_write ? m_writes : m_reads).take(event_loop::now())) {
        increment_counter("throttled");
        return reply(request.m_exchange, 429, json::object());
    }
    increment_counter(is_write ? "writes" : "reads");
    if (path == wire::commit_path) {
        return answer_commit(request);
    }
    if (path == wire::read_path) {
        return answer_read(request);
    }
    if (path == wire::feed_path) {
        return answer_feed(request);
    }
    answer_object(request, std::string(path));
}

void platform_standin::increment_counter(const char* name)
{
    m_counters[name] = m_counters[name].get<std::uint64_t>() + 1;
}

void platform_standin::apply_faults(const http_request& request)
{
    const json faults = json::parse(request.m_body.text());
    m_down = faults.value("down", m_down);
    m_answer_delay = std::chrono::milliseconds(faults.value("slow_ms", to_milliseconds(m_answer_delay)));
    m_lost_answer_ratio = faults.value("lose_answers", m_lost_answer_ratio);
    m_answers_to_lose = faults.value("lose_next", m_answers_to_lose);
    m_writes.m_rate = faults.value("writes", m_writes.m_rate);
    m_reads.m_rate = faults.value("reads", m_reads.m_rate);
    if (faults.value("compact", false)) {
        m_rows.compact();
    }
    if (faults.value("copy", false)) {
        m_copy = store_copy{m_rows, m_objects};
    }
    if (faults.value("restore", false)) {
        restore_copy();
    }
}

void platform_standin::restore_copy()
{
    if (!m_copy) {
        throw std::invalid_argument("no copy was taken");
    }
    m_rows = m_copy->m_rows;
    m_objects = m_copy->m_objects;
    ++m_era;
    for (const waiting_feed& feed : std::exchange(m_feeds, {})) {
        reply(feed.m_exchange, 503, json::object());
    }
}

void platform_standin::answer_commit(const http_request& request)
{
    const row_store::commit_result outcome = m_rows.commit(json::parse(request.m_body.text()));
    reply_write(request.m_exchange, outcome.m_applied ? 200 : 412, outcome.m_answer);
    answer_waiting_feeds();
}

void platform_standin::answer_read(const http_request& request)
{
    const auto fields = query_of(request.m_path);
    const auto text = [&](const char* name) {
        return fields.contains(name) ? fields.at(name) : std::string{};
    };
    const std::size_t limit = fields.contains("limit") ? std::stoul(text("limit")) : rows_limit;
    reply(
        request.m_exchange, 200,
        m_rows.read(text("table"), text("part"), text("from"), text("target"), std::min(limit, rows_limit)));
}

void platform_standin::answer_feed(const http_request& request)
{
    const auto fields = query_of(request.m_path);
    waiting_feed feed{request.m_exchange, fields.at("table"), std::stoull(fields.at("after")), nullptr};
    const duration wait =
        std::min<duration>(std::chrono::milliseconds(std::stol(fields.at("waitMs"))), max_feed_duration);
    if (!try_feed(feed, wait == duration::zero())) {
        feed.m_timeout_timer =
            std::make_unique<timer>(m_loop, [this, id = feed.m_exchange] { end_feed(id); });
        feed.m_timeout_timer->set(wait);
        m_feeds.push_back(std::move(feed));
    }
}

bool platform_standin::try_feed(const waiting_feed& feed, bool at_end)
{
    const std::optional<json> changes = m_rows.changes(feed.m_table, feed.m_after);
    if (!changes) {
        reply(feed.m_exchange, 410, json::object());
        return true;
    }
    if (changes->at(wire::rows).empty() && !at_end) {
        return false;
    }
    reply(feed.m_exchange, 200, *changes);
    return true;
}

void platform_standin::answer_waiting_feeds()
{
    std::list<waiting_feed> feeds = std::move(m_feeds);
    m_feeds.clear();
    for (waiting_feed& feed : feeds) {
        if (!try_feed(feed, false)) {
            m_feeds.push_back(std::move(feed));
        }
    }
}

void platform_standin::end_feed(exchange_id id)
{
    for (const waiting_feed& feed : m_feeds) {
        if (feed.m_exchange == id) {
            try_feed(feed, true);
        }
    }
    m_ended_feeds.push_back(id);
    m_cleanup.wake();
}

void platform_standin::answer_object(const http_request& request, const std::string& path)
{
    if (request.m_method == "PUT" && path.find(wire::put_object_path) == 0) {
        m_objects[path.substr(wire::put_object_path.size())] = request.m_body;
        return reply_write(request.m_exchange, 200, json::object());
    }
    const bool is_get = path.find(wire::get_object_path) == 0;
    const auto position =
        is_get ? m_objects.find(path.substr(wire::get_object_path.size())) : m_objects.end();
    if (position == m_objects.end()) {
        return reply(request.m_exchange, 404, json::object());
    }
    send({request.m_exchange, 200, {}, position->second});
}

void platform_standin::reply_write(exchange_id id, std::uint16_t status, const json& body)
{
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (m_answers_to_lose > 0 || chance(m_random) < m_lost_answer_ratio) {
        m_answers_to_lose -= m_answers_to_lose > 0 ? 1 : 0;
        increment_counter("lost");
        return;
    }
    reply(id, status, body);
}

void platform_standin::reply(exchange_id id, std::uint16_t status, const json& body)
{
    send({id, status, {{"Content-Type", "application/json"}}, body.dump()});
}

void platform_standin::send(http_reply answer)
{
    answer.m_headers.push_back({std::string(wire::era_header), std::to_string(m_era)});
    if (m_answer_delay == duration::zero()) {
        m_server->reply(std::move(answer));
        return;
    }
    const std::uint64_t number = ++m_last_delay_number;
    auto delay_timer = std::make_unique<timer>(m_loop, [this, number, answer] {
        m_server->reply(answer);
        m_ended_delays.push_back(number);
        m_cleanup.wake();
    });
    delay_timer->set(m_answer_delay);
    m_delayed_answers.emplace(number, std::move(delay_timer));
}

void platform_standin::remove_ended()
{
    for (const std::uint64_t number : std::exchange(m_ended_delays, {})) {
        m_delayed_answers.erase(number);
    }
    for (const exchange_id id : std::exchange(m_ended_feeds, {})) {
        m_feeds.remove_if([id](const waiting_feed& feed) { return feed.m_exchange == id; });
    }
}

} // namespace waxwing
