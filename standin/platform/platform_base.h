/** @file platform_base.h Stand-in for the platform's store: rows, objects, a change feed and injected
 * faults. */
#ifndef WAXWING_STANDIN_PLATFORM_PLATFORM_BASE_H
#define WAXWING_STANDIN_PLATFORM_PLATFORM_BASE_H

#include "http/http.h"
#include "loop/loop.h"
#include "standin/platform/row_store_base.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace waxwing {

/** Token bucket that allows a number of events per second. */
struct rate_limit {
    double m_rate = 0.0;     ///< Events per second.
    double m_tokens = 0.0;   ///< Events allowed at once.
    instant m_refilled_at{}; ///< Time of the last refill.

    /** Takes a token for an event. @return whether one was available. */
    bool take(instant now);
};

/** HTTP server of the stand-in. Thread safety: for the loop's thread only. */
class platform_standin {
public:
    /** @param writes limit of writes per second. @param reads limit of reads per second. @param seed seed of
     * the choice of lost answers. @pre @p loop outlives this. */
    platform_standin(event_loop& loop, double writes, double reads, std::uint64_t seed);

    /** Opens the listening socket. @return why it can't listen, if so. */
    result<void> start(const endpoint& address);

private:
    using json = nlohmann::json;

    /** Rows and objects as they were when the copy was taken. */
    struct store_copy {
        row_store m_rows;                             ///< Rows with their versions and history.
        std::map<std::string, std::string> m_objects; ///< Contents of the objects by name.
    };

    /** A feed that waits for a change. */
    struct waiting_feed {
        exchange_id m_exchange;                 ///< Exchange to answer.
        std::string m_table;                    ///< Table whose changes are asked for.
        std::uint64_t m_after = 0;              ///< Version after which changes are asked for.
        std::unique_ptr<timer> m_timeout_timer; ///< Ends the feed; none before it waits.
    };

    /** Carries out a request; answers 400 on any exception, such as those of the JSON library for a field of
     * a wrong type. */
    void on_any_request(const http_request& request);
    void on_request(const http_request& request);
    void increment_counter(const char* name);
    void apply_faults(const http_request& request);

    /** Goes back to the copy, begins an era, and refuses the waiting feeds. Throws std::invalid_argument
     * where no copy was taken. */
    void restore_copy();
    void answer_commit(const http_request& request);
    void answer_read(const http_request& request);
    void answer_feed(const http_request& request);

    /** Answers @p feed if there are changes or the history does not reach back far enough. @param at_end
     * answer in any case. @return whether it was answered. */
    bool try_feed(const waiting_feed& feed, bool at_end);
    void answer_waiting_feeds();
    void end_feed(exchange_id id);
    void answer_object(const http_request& request, const std::string& path);

    /** Answers a write that took effect, or drops the answer as the faults demand. */
    void reply_write(exchange_id id, std::uint16_t status, const json& body);
    void reply(exchange_id id, std::uint16_t status, const json& body);

    /** Sends @p answer with the present era, after the delay set by the faults. */
    void send(http_reply answer);

    /** Destroys expired timers. A timer can't be destroyed within its own callback. */
    void remove_ended();

    event_loop& m_loop;
    rate_limit m_writes;
    rate_limit m_reads;
    random_source m_random;
    row_store m_rows;
    std::unique_ptr<http_server> m_server;
    std::list<waiting_feed> m_feeds;
    std::vector<exchange_id> m_ended_feeds;
    std::map<std::string, std::string> m_objects; ///< Contents by name.
    std::optional<store_copy> m_copy;
    std::uint64_t m_era = 1; ///< Number of restorations, plus one.
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

} // namespace waxwing

#endif
