/** @file load_base.h The load generator: callers that send and retry requests by a plan and count the
 * outcomes. */
#ifndef WAXWING_BENCH_LOAD_LOAD_BASE_H
#define WAXWING_BENCH_LOAD_LOAD_BASE_H

#include "bench/load/plan_type.h"
#include "http/http.h"
#include "loop/loop.h"
#include "metrics/metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** Outcomes of the requests of one kind, in one phase or report interval. */
struct load_counts {
    std::uint64_t m_sent = 0;      ///< Requests started, not counting retries.
    std::uint64_t m_completed = 0; ///< Requests answered with 2xx.
    std::uint64_t m_not_run = 0;   ///< Requests that failed and are known not to have run.
    std::uint64_t m_unknown = 0;   ///< Requests that failed and may have run.
    std::uint64_t m_attempts = 0;  ///< HTTP requests, including retries.
};

/** What the caller knows about one idempotency key. */
struct key_record {
    std::string m_key;         ///< The key.
    bool m_completed = false;  ///< Whether an attempt was answered with 2xx.
    bool m_all_not_run = true; ///< Whether all failed attempts are known not to have run.
};

/** Simulates callers that send by a plan. Thread safety: for the loop's thread only. */
class load_generator {
public:
    /** @pre @p loop outlives this and is run after start(). */
    load_generator(event_loop& loop, load_plan plan, std::uint64_t seed);

    /** Starts the first phase. Stops the loop after the summary is written. */
    void start();

private:
    /** A request in progress, with all its attempts. */
    struct open_request {
        std::size_t m_kind = 0;     ///< Index of its kind.
        std::size_t m_phase = 0;    ///< Index of the phase that it started in.
        std::uint64_t m_number = 0; ///< For its path and X-Request-Id.
        instant m_started_at;       ///< When its first attempt was sent.
        unsigned m_attempts = 0;    ///< Attempts so far.
        key_record m_record;        ///< Outcomes of its attempts.
    };

    void schedule_next(std::size_t kind);
    void start_request(std::size_t kind);
    void send(exchange_id id, const open_request& current);
    void on_event(http_client_event&& event);
    void on_answer(exchange_id id, std::uint16_t status, const header_list& headers);
    void finish_request(exchange_id id, bool completed);
    void next_phase();
    void report_interval();
    void query_targets();
    void on_executions(http_client_event&& event);
    void report_summary();

    event_loop& m_loop;
    load_plan m_plan;
    random_source m_random;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_client> m_target_client;
    std::vector<std::unique_ptr<timer>> m_arrivals; ///< Next request of each kind.
    std::unordered_map<exchange_id, open_request> m_requests;
    std::map<std::pair<std::size_t, std::size_t>, load_counts> m_phase_counts;    ///< By phase and kind.
    std::map<std::pair<std::size_t, std::size_t>, latency_histogram> m_latencies; ///< By phase and kind.
    std::vector<load_counts> m_interval_counts;        ///< Since the last report line, by kind.
    std::vector<key_record> m_keys;                    ///< Keys of all requests that ended.
    std::map<std::string, std::uint64_t> m_executions; ///< Executions at the targets, by key.
    std::size_t m_phase = 0;
    bool m_sending = true; ///< Whether a phase is in progress; false while waiting for the last answers.
    instant m_sending_since;
    std::uint64_t m_last_exchange = 0;
    std::size_t m_pending_targets = 0; ///< Targets that have not answered the query for executions.
    timer m_phase_timer;
    timer m_report_timer;
    timer m_drain_timer; ///< Ends the wait for the last answers.
};

} // namespace waxwing

#endif
