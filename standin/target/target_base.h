/** @file target_base.h Stand-in target for tests: slots, service times, sub-calls, and injected faults. */
#ifndef WAXWING_STANDIN_TARGET_TARGET_BASE_H
#define WAXWING_STANDIN_TARGET_TARGET_BASE_H

#include "http/http.h"
#include "loop/loop.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** A sub-call that each request makes. */
struct sub_call {
    std::string m_service; ///< Service, sent as the Host header.
    std::string m_path;    ///< Path of the request.
};

/** Options of the stand-in target. */
struct target_options {
    std::string m_service;            ///< Service that it belongs to.
    endpoint m_listen;                ///< Address that it listens on.
    endpoint m_node;                  ///< Its node's address for callers, used for sub-calls.
    endpoint m_announce;              ///< Its node's operator API, to announce itself to; port 0 for none.
    unsigned m_slots = 16;            ///< Requests that it processes at once.
    unsigned m_max_connections = 100; ///< Connections that it accepts.
    duration m_service_duration = std::chrono::milliseconds(10); ///< Median, without sub-calls.
    duration m_cold_start_duration{};      ///< Time after the start until it reports healthy.
    std::vector<sub_call> m_sub_call_plan; ///< Sub-calls of each request, made in order before its own work.
    unsigned m_max_waiting = 1000;         ///< Requests that may wait for a slot; more are shed.
    std::uint64_t m_seed = 1;              ///< Seed of the random source.
};

/** Injected faults, set over HTTP. */
struct target_faults {
    double m_service_factor = 1.0; ///< Multiplies the service time.
    double m_failure_ratio = 0.0;  ///< Ratio of requests answered with 500 after their work.
    bool m_always_healthy = false; ///< Whether the health endpoint always reports healthy.
    unsigned m_reported_slots = 0; ///< Slots that the load endpoint reports; 0 reports the real number.
    bool m_sheds_all = false;      ///< Whether every request is shed before its work.
};

/** A stand-in for a target. Thread safety: for the loop's thread only. */
class target_standin {
public:
    /** @pre @p loop outlives this. */
    target_standin(event_loop& loop, target_options options);

    /** Starts listening and announces the target to its node. @return why it can't listen, if so. */
    result<void> start();

private:
    /** A request that holds a slot. */
    struct work_item {
        http_request m_request;         ///< The request.
        std::string m_context;          ///< Its Waxwing-Context, passed on to sub-calls.
        std::size_t m_next_call = 0;    ///< Index of the next sub-call.
        bool m_sub_call_failed = false; ///< Whether a sub-call failed; the request then fails as well.
        instant m_started_at;           ///< When it got its slot.
        duration m_work_duration{};     ///< Its service time, without sub-calls.
        std::unique_ptr<timer> m_timer; ///< Ends its own work.
    };

    void on_http(http_server_event&& event);
    void on_request(http_request&& request);
    bool answer_control(const http_request& request);
    void apply_faults(const http_request& request);
    void start_work(http_request&& request);
    void continue_work(exchange_id id);
    void on_sub_call(http_client_event&& event);
    void end_work(exchange_id id);
    void start_waiting();
    void shed(exchange_id id);
    void announce();
    std::string executions() const;
    bool is_healthy() const;

    event_loop& m_loop;
    target_options m_options;
    target_faults m_faults;
    random_source m_random;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_client> m_announcer;
    std::unordered_map<exchange_id, work_item> m_work_items; ///< By exchange of the server.
    std::deque<http_request> m_waiting;                      ///< Requests that wait for a slot, oldest first.
    std::unordered_map<exchange_id, exchange_id> m_sub_calls; ///< Client's exchange to server's exchange.
    std::map<std::string, std::uint64_t> m_runs_by_key;       ///< Runs by idempotency key.
    std::uint64_t m_runs = 0;                                 ///< Requests that got a slot.
    std::uint64_t m_abandoned = 0; ///< Requests whose client disconnected while they held a slot.
    double m_work_ms = 0.0;        ///< Service time of all requests that ended, without sub-calls.
    std::uint64_t m_last_exchange = 0;
    instant m_listening_since; ///< When it started listening.
    timer m_announce_timer;
};

} // namespace waxwing

#endif
