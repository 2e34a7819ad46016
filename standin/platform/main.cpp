/** @file main.cpp Stand-in for the platform's store: rows with conditional transactions and a change feed,
 * and objects. */
#include "http/http.h"
#include "loop/loop.h"
#include "platform/table/wire.h"
#include "standin/platform/row_store_base.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>
#include <list>
#include <map>
#include <random>

using namespace waxwing;

namespace {

using json = nlohmann::json;

constexpr const char* usage = R"(standin_platform - stand-in for the platform's store

Usage:
  standin_platform --listen=ADDRESS [--writes=N] [--reads=N] [--seed=N]
  standin_platform (-h | --help)

Options:
  --listen=ADDRESS  Address to listen on.
  --writes=N        Writes per second; more are refused with 429 [default: 300].
  --reads=N         Reads per second; more are refused with 429 [default: 2000].
  --seed=N          Seed of the random choice of lost answers [default: 1].

Over HTTP: POST /faults with down (answer 503), slow_ms (delay of answers), lose_answers (ratio of writes that
take effect but whose answer is dropped), lose_next (number of next writes whose answer is dropped), compact
(drop the change history), writes and reads (limits per second); GET /counters.
)";

constexpr std::size_t rows_limit = 500;                          ///< Maximum number of rows in an answer.
constexpr duration max_feed_duration = std::chrono::seconds(30); ///< Maximum duration of a feed.

/** Token bucket that allows a number of events per second. */
struct rate_limit {
    double m_rate = 0.0;
    double m_tokens = 0.0;
    instant m_refilled_at{};

    /** Takes a token for an event. @return whether one was available. */
    bool take(instant now)
    {
        m_tokens = std::min(m_rate, m_tokens + m_rate * to_seconds(now - m_refilled_at));
        m_refilled_at = now;
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }
};

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

/** HTTP server of the stand-in. */
class platform_standin {
public:
    platform_standin(event_loop& loop, double writes, double reads, std::uint64_t seed)
        : m_loop(loop), m_writes{writes, writes, {}}, m_reads{reads, reads, {}}, m_random(seed)
    {
    }

    /** Opens the listening socket. */
    result<void> start(const endpoint& address)
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

private:
    /** A feed that waits for a change. */
    struct waiting_feed {
        exchange_id m_exchange;
        std::string m_table;
        std::uint64_t m_after = 0;
        std::unique_ptr<timer> m_timeout_timer;
    };

    /** Carries out a request; answers 400 on any exception, such as those of the JSON library for a field of
     * a wrong type. */
    void on_any_request(const http_request& request)
    {
        try {
            on_request(request);
        }
        catch (const std::exception& failure) {
            reply(request.m_exchange, 400, {{"error", failure.what()}});
        }
    }

    void on_request(const http_request& request)
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

    void increment_counter(const char* name) { m_counters[name] = m_counters[name].get<std::uint64_t>() + 1; }

    void apply_faults(const http_request& request)
    {
        const json faults = json::parse(request.m_body);
        m_down = faults.value("down", m_down);
        m_answer_delay = std::chrono::milliseconds(faults.value("slow_ms", to_milliseconds(m_answer_delay)));
        m_lost_answer_ratio = faults.value("lose_answers", m_lost_answer_ratio);
        m_answers_to_lose = faults.value("lose_next", m_answers_to_lose);
        m_writes.m_rate = faults.value("writes", m_writes.m_rate);
        m_reads.m_rate = faults.value("reads", m_reads.m_rate);
        if (faults.value("compact", false)) {
            m_rows.compact();
        }
    }

    void answer_commit(const http_request& request)
    {
        const row_store::commit_result outcome = m_rows.commit(json::parse(request.m_body));
        reply_write(request.m_exchange, outcome.m_applied ? 200 : 412, outcome.m_answer);
        answer_waiting_feeds();
    }

    void answer_read(const http_request& request)
    {
        const auto fields = query_of(request.m_path);
        const auto text = [&](const char* name) {
            return fields.contains(name) ? fields.at(name) : std::string{};
        };
        const std::size_t limit = fields.contains("limit") ? std::stoul(text("limit")) : rows_limit;
        reply(request.m_exchange, 200,
              m_rows.read(text("table"), text("part"), text("from"), text("target"),
                          std::min(limit, rows_limit)));
    }

    void answer_feed(const http_request& request)
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

    /** Answers @p feed if there are changes or the history does not reach back far enough. @param at_end
     * answer in any case. @return whether it was answered. */
    bool try_feed(const waiting_feed& feed, bool at_end)
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

    void answer_waiting_feeds()
    {
        std::list<waiting_feed> feeds = std::move(m_feeds);
        m_feeds.clear();
        for (waiting_feed& feed : feeds) {
            if (!try_feed(feed, false)) {
                m_feeds.push_back(std::move(feed));
            }
        }
    }

    void end_feed(exchange_id id)
    {
        for (const waiting_feed& feed : m_feeds) {
            if (feed.m_exchange == id) {
                try_feed(feed, true);
            }
        }
        m_ended_feeds.push_back(id);
        m_cleanup.wake();
    }

    void answer_object(const http_request& request, const std::string& path)
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

    /** Answers a write that took effect, or drops the answer as the faults demand. */
    void reply_write(exchange_id id, std::uint16_t status, const json& body)
    {
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        if (m_answers_to_lose > 0 || chance(m_random) < m_lost_answer_ratio) {
            m_answers_to_lose -= m_answers_to_lose > 0 ? 1 : 0;
            increment_counter("lost");
            return;
        }
        reply(id, status, body);
    }

    void reply(exchange_id id, std::uint16_t status, const json& body)
    {
        send({id, status, {{"Content-Type", "application/json"}}, body.dump()});
    }

    /** Sends @p answer, after the delay set by the faults. */
    void send(http_reply answer)
    {
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

    /** Destroys expired timers. A timer can't be destroyed within its own callback. */
    void remove_ended()
    {
        for (const std::uint64_t number : std::exchange(m_ended_delays, {})) {
            m_delayed_answers.erase(number);
        }
        for (const exchange_id id : std::exchange(m_ended_feeds, {})) {
            m_feeds.remove_if([id](const waiting_feed& feed) { return feed.m_exchange == id; });
        }
    }

    event_loop& m_loop;
    rate_limit m_writes;
    rate_limit m_reads;
    random_source m_random;
    row_store m_rows;
    std::unique_ptr<http_server> m_server;
    std::list<waiting_feed> m_feeds;
    std::vector<exchange_id> m_ended_feeds;
    std::map<std::string, std::string> m_objects;
    json m_counters{{"reads", 0}, {"writes", 0}, {"throttled", 0}, {"lost", 0}};
    bool m_down = false;
    duration m_answer_delay{};
    double m_lost_answer_ratio = 0.0;
    std::uint64_t m_answers_to_lose = 0;
    std::map<std::uint64_t, std::unique_ptr<timer>> m_delayed_answers;
    std::vector<std::uint64_t> m_ended_delays;
    std::uint64_t m_last_delay_number = 0;
    wakeup m_cleanup{m_loop, [this] { remove_ended(); }};
};

} // namespace

int main(int count, char** arguments)
{
    const std::vector<std::string> argument_list(arguments + 1, arguments + count);
    const auto options = docopt::docopt(usage, argument_list, true);
    const result<endpoint> address = parse_endpoint(options.at("--listen").asString());
    if (address.has_error()) {
        std::cerr << address.error().m_text << '\n';
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    platform_standin platform(loop, static_cast<double>(options.at("--writes").asLong()),
                              static_cast<double>(options.at("--reads").asLong()),
                              static_cast<std::uint64_t>(options.at("--seed").asLong()));
    const result<void> outcome = platform.start(address.value());
    if (outcome.has_error()) {
        std::cerr << outcome.error().m_text << '\n';
        return 1;
    }
    const signal_watcher on_terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
