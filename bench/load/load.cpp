/** @file load.cpp The load generator. */
#include "bench/load/load_base.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace waxwing {

namespace {

using json = nlohmann::ordered_json;

constexpr long max_connections = 600;
constexpr duration drain_timeout = std::chrono::seconds(4); ///< Wait for outstanding answers.

/** Checks whether @p status is 2xx. */
bool is_success(std::uint16_t status)
{
    return status >= 200 && status < 300;
}

/** Converts @p counts to JSON for the report. */
json to_json(const load_counts& counts)
{
    return {{"sent", counts.m_sent},
            {"completed", counts.m_completed},
            {"not_run", counts.m_not_run},
            {"unknown", counts.m_unknown},
            {"attempts", counts.m_attempts}};
}

} // namespace

load_generator::load_generator(event_loop& loop, load_plan plan, std::uint64_t seed)
    : m_loop(loop), m_plan(std::move(plan)), m_random(seed), m_interval_counts(m_plan.m_kinds.size()),
      m_phase_timer(loop, [this] { next_phase(); }), m_report_timer(loop, [this] { report_interval(); }),
      m_drain_timer(loop, [this] { query_targets(); })
{
    http_client_settings settings;
    settings.m_connection_limit = max_connections;
    m_client =
        http_client::make(loop, settings, [this](http_client_event&& event) { on_event(std::move(event)); });
    m_target_client =
        http_client::make(loop, {}, [this](http_client_event&& event) { on_executions(std::move(event)); });
}

void load_generator::start()
{
    m_sending_since = event_loop::now();
    for (std::size_t kind = 0; kind < m_plan.m_kinds.size(); ++kind) {
        m_arrivals.push_back(std::make_unique<timer>(m_loop, [this, kind] { start_request(kind); }));
        schedule_next(kind);
    }
    m_phase_timer.set(m_plan.m_phases.front().m_duration);
    m_report_timer.set(m_plan.m_report_interval);
}

/** Schedules the next request of @p kind; the arrivals are a Poisson process. */
void load_generator::schedule_next(std::size_t kind)
{
    const double rate = m_plan.m_kinds[kind].m_rate * m_plan.m_phases[m_phase].m_factor;
    if (rate <= 0.0 || !m_sending) {
        return;
    }
    std::exponential_distribution<double> gap(rate);
    m_arrivals[kind]->set(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(m_random))));
}

void load_generator::start_request(std::size_t kind)
{
    if (!m_sending) {
        return;
    }
    schedule_next(kind);
    const exchange_id id{++m_last_exchange};
    open_request request;
    request.m_kind = kind;
    request.m_phase = m_phase;
    request.m_number = m_last_exchange;
    request.m_started_at = event_loop::now();
    request.m_record.m_key = "key-" + std::to_string(m_random());
    ++m_phase_counts[{m_phase, kind}].m_sent;
    ++m_interval_counts[kind].m_sent;
    open_request& current = m_requests.emplace(id, std::move(request)).first->second;
    send(id, current);
}

void load_generator::send(exchange_id id, const open_request& current)
{
    open_request& request = m_requests.at(id);
    ++request.m_attempts;
    ++m_phase_counts[{current.m_phase, current.m_kind}].m_attempts;
    ++m_interval_counts[current.m_kind].m_attempts;
    const plan_kind& kind = m_plan.m_kinds[current.m_kind];
    const duration remaining_duration = kind.m_timeout - (event_loop::now() - current.m_started_at);
    std::uniform_int_distribution<std::size_t> entry_distribution(0, m_plan.m_entries.size() - 1);
    std::string path = kind.m_path;
    const std::size_t placeholder = path.find('#');
    if (placeholder != std::string::npos) {
        path.replace(placeholder, 1, std::to_string(current.m_number));
    }
    header_list headers{{"Host", kind.m_service.m_value},
                        {"Waxwing-Caller", kind.m_caller},
                        {"Waxwing-Deadline-Ms",
                         std::to_string(std::max<std::int64_t>(1, to_milliseconds(remaining_duration)))},
                        {"X-Request-Id", std::to_string(current.m_number)}};
    if (kind.m_keyed) {
        headers.push_back({"Idempotency-Key", current.m_record.m_key});
    }
    m_client->send({id, m_plan.m_entries[entry_distribution(m_random)], kind.m_method, path,
                    std::move(headers), std::string(kind.m_body_size, 'x'),
                    std::max<duration>(remaining_duration, std::chrono::milliseconds(1))});
}

void load_generator::on_event(http_client_event&& event)
{
    if (const auto* const answer = std::get_if<http_answer>(&event)) {
        on_answer(answer->m_exchange, answer->m_status, answer->m_headers);
        return;
    }
    const auto& failure = std::get<http_failure>(event);
    const auto position = m_requests.find(failure.m_exchange);
    if (position == m_requests.end()) {
        return;
    }
    if (failure.m_kind != http_failure_kind::not_sent) {
        position->second.m_record.m_all_not_run = false;
    }
    on_answer(failure.m_exchange, 0, {});
}

/**
 * Finishes the request, or retries it at once, without backoff, to simulate an impatient caller. A request
 * with an idempotency key is retried only while all its attempts are known not to have run.
 */
void load_generator::on_answer(exchange_id id, std::uint16_t status, const header_list& headers)
{
    const auto position = m_requests.find(id);
    if (position == m_requests.end()) {
        return;
    }
    open_request& current = position->second;
    if (is_success(status)) {
        finish_request(id, true);
        return;
    }
    const std::string* const outcome = find_header(headers, "Waxwing-Outcome");
    const bool not_run = outcome != nullptr && *outcome == "not-run";
    if (status != 0 && !not_run) {
        current.m_record.m_all_not_run = false;
    }
    const plan_kind& kind = m_plan.m_kinds[current.m_kind];
    const bool before_deadline = event_loop::now() - current.m_started_at < kind.m_timeout;
    const bool may_retry = !kind.m_keyed || current.m_record.m_all_not_run;
    if (may_retry && current.m_attempts <= kind.m_max_retries && before_deadline &&
        (m_sending || kind.m_keyed)) {
        send(id, current);
        return;
    }
    finish_request(id, false);
}

void load_generator::finish_request(exchange_id id, bool completed)
{
    const auto position = m_requests.find(id);
    open_request request = std::move(position->second);
    m_requests.erase(position);
    request.m_record.m_completed = completed;
    for (load_counts* counts :
         {&m_phase_counts[{request.m_phase, request.m_kind}], &m_interval_counts[request.m_kind]}) {
        counts->m_completed += completed ? 1 : 0;
        counts->m_not_run += !completed && request.m_record.m_all_not_run ? 1 : 0;
        counts->m_unknown += !completed && !request.m_record.m_all_not_run ? 1 : 0;
    }
    if (completed) {
        m_latencies[{request.m_phase, request.m_kind}].add(event_loop::now() - request.m_started_at);
    }
    if (m_plan.m_kinds[request.m_kind].m_keyed) {
        m_keys.push_back(std::move(request.m_record));
    }
}

void load_generator::next_phase()
{
    if (m_phase + 1 < m_plan.m_phases.size()) {
        ++m_phase;
        m_phase_timer.set(m_plan.m_phases[m_phase].m_duration);
        for (std::size_t kind = 0; kind < m_plan.m_kinds.size(); ++kind) {
            schedule_next(kind);
        }
        return;
    }
    m_sending = false;
    m_drain_timer.set(drain_timeout);
}

/** Writes a report line with the counts of the last interval. */
void load_generator::report_interval()
{
    json line{{"t", to_seconds(event_loop::now() - m_sending_since)},
              {"phase", m_plan.m_phases[m_phase].m_name}};
    for (std::size_t kind = 0; kind < m_plan.m_kinds.size(); ++kind) {
        line["kinds"][m_plan.m_kinds[kind].m_name] = to_json(m_interval_counts[kind]);
        m_interval_counts[kind] = {};
    }
    std::cout << line.dump() << std::endl;
    if (m_sending) {
        m_report_timer.set(m_plan.m_report_interval);
    }
}

/** Queries each target for its number of executions by key. */
void load_generator::query_targets()
{
    m_pending_targets = m_plan.m_targets.size();
    if (m_pending_targets == 0) {
        report_summary();
        return;
    }
    for (const endpoint& target : m_plan.m_targets) {
        m_target_client->send(
            {exchange_id{++m_last_exchange}, target, "GET", "/executions", {}, "", std::chrono::seconds(5)});
    }
}

void load_generator::on_executions(http_client_event&& event)
{
    if (const auto* const answer = std::get_if<http_answer>(&event)) {
        const json content = json::parse(answer->m_body.text(), nullptr, false);
        if (content.is_object() && content.contains("by_key")) {
            for (const auto& [key, count] : content["by_key"].items()) {
                m_executions[key] += count.get<std::uint64_t>();
            }
        }
    }
    if (--m_pending_targets == 0) {
        report_summary();
    }
}

/**
 * Writes the last line: counts by phase and kind, and the keys whose executions at the targets contradict
 * what the caller knows.
 */
void load_generator::report_summary()
{
    json summary = json::object();
    for (const auto& [phase_and_kind, counts] : m_phase_counts) {
        json row = to_json(counts);
        const auto latencies = m_latencies.find(phase_and_kind);
        if (latencies != m_latencies.end()) {
            row["p50_ms"] = to_seconds(latencies->second.quantile(0.5)) * 1000;
            row["p99_ms"] = to_seconds(latencies->second.quantile(0.99)) * 1000;
        }
        summary[m_plan.m_phases[phase_and_kind.first].m_name][m_plan.m_kinds[phase_and_kind.second].m_name] =
            std::move(row);
    }
    std::uint64_t duplicates = 0;
    std::uint64_t lost = 0;
    std::uint64_t false_not_run = 0;
    for (const key_record& record : m_keys) {
        const auto execution = m_executions.find(record.m_key);
        const std::uint64_t runs = execution == m_executions.end() ? 0 : execution->second;
        duplicates += runs > 1 ? 1 : 0;
        lost += record.m_completed && runs == 0 ? 1 : 0;
        false_not_run += !record.m_completed && record.m_all_not_run && runs > 0 ? 1 : 0;
    }
    const json keys{{"keys", m_keys.size()},
                    {"duplicates", duplicates},
                    {"lost", lost},
                    {"false_not_run", false_not_run}};
    std::cout << json{{"summary", summary}, {"orders", keys}}.dump() << std::endl;
    m_loop.stop();
}

} // namespace waxwing
