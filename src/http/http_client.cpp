/** @file http_client.cpp The HTTP client task: its connections and the queue of requests. */
#include "http/carried_ids_base.h"
#include "http/client_connection_base.h"
#include "http/connection_set_base.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>

namespace waxwing {

namespace {

/**
 * A request that is not idempotent reuses a connection only within this time after its last answer, when the
 * server is unlikely to be closing it.
 */
constexpr duration fresh_window = std::chrono::milliseconds(100);

/** Percentage of the server's idle time-out during which a connection is reused; the rest is a margin. */
constexpr int idle_reuse_percent = 70;

/** Client that parses with Boost.Beast. */
class beast_client final : public http_client {
public:
    beast_client(event_loop& loop, const http_client_settings& settings, handler on_event)
        : m_loop(loop), m_settings(settings), m_events(loop, std::move(on_event)), m_connections(loop),
          m_timer(loop, [this] { on_timer(); })
    {
    }

    void send(http_send request) override
    {
        const exchange_id id = request.m_exchange;
        const instant deadline = event_loop::now() + request.m_timeout;
        pending_request& pending =
            m_pending.insert_or_assign(id, pending_request{std::move(request), nullptr, deadline})
                .first->second;
        add_deadline(deadline, id);
        if (!assign_connection(pending)) {
            m_waiting.push_back(id);
        }
    }

    void abort(exchange_id exchange) override
    {
        fail_exchange(exchange, http_failure_kind::aborted, "aborted");
    }

    void close_idle() override
    {
        while (close_oldest_idle()) {
        }
    }

    std::size_t in_progress() const override { return m_pending.size(); }

private:
    /** A request whose event is still to come. */
    struct pending_request {
        http_send m_request;
        client_connection* m_connection = nullptr; ///< Carries the request; null while it waits for one.
        instant m_deadline;                        ///< The whole answer must have been received by then.
        /** For a new connection; instant::max() on a reused one. */
        instant m_connect_deadline = instant::max();
    };

    /** Sends @p pending on an idle or a new connection. @return false at the connection limit. */
    bool assign_connection(pending_request& pending)
    {
        client_connection* connection = find_idle(pending.m_request);
        if (connection == nullptr) {
            if (m_connections.size() >= m_settings.m_connection_limit && !close_oldest_idle()) {
                return false;
            }
            connection = open(pending.m_request.m_address);
            pending.m_connect_deadline = event_loop::now() + m_settings.m_connect_timeout;
            add_deadline(pending.m_connect_deadline, pending.m_request.m_exchange);
        }
        pending.m_connection = connection;
        if (const std::string* const id = echoed_id(pending.m_request)) {
            m_carried.add(*id, connection->number());
        }
        connection->send(pending.m_request);
        return true;
    }

    /** Returns the identifier that the answer to @p request repeats; null if it has none. */
    static const std::string* echoed_id(const http_send& request)
    {
        return request.m_echoed_header.empty() ? nullptr
                                               : find_header(request.m_headers, request.m_echoed_header);
    }

    /** Takes the most recently used idle connection that suits @p request; null where there is none. */
    client_connection* find_idle(const http_send& request)
    {
        const instant now = event_loop::now();
        const std::string* const id = echoed_id(request);
        for (auto position = m_idle.rbegin(); position != m_idle.rend(); ++position) {
            client_connection* const candidate = *position;
            const duration idle = now - candidate->idle_since();
            const bool fresh = request.m_idempotent || idle <= fresh_window;
            const bool is_resend = id != nullptr && m_carried.contains(*id, candidate->number());
            if (candidate->address() == request.m_address && fresh && !is_resend &&
                idle < reuse_timeout(*candidate)) {
                m_idle.erase(std::next(position).base());
                return candidate;
            }
        }
        return nullptr;
    }

    /** Returns the idle time after which @p connection is no longer reused. */
    duration reuse_timeout(const client_connection& connection) const
    {
        const duration server_timeout = connection.server_idle_timeout();
        const duration usable =
            server_timeout == duration::max() ? server_timeout : server_timeout * idle_reuse_percent / 100;
        return std::min(m_settings.m_idle_timeout, usable);
    }

    client_connection* open(const endpoint& address)
    {
        client_connection::handlers callbacks;
        callbacks.m_on_end = [this](client_connection& connection, exchange_outcome outcome,
                                    http_answer&& answer, const std::string& reason) {
            on_end(connection, outcome, std::move(answer), reason);
        };
        callbacks.m_on_closed = [this](client_connection& connection) { retire(connection); };
        callbacks.m_on_held = [this](std::size_t before, std::size_t now) {
            m_held += now - before;
            if (now > before && (m_held > m_settings.m_held_limit || is_over_budget(now))) {
                give_up_longest();
            }
        };
        return m_connections.add(
            std::make_unique<client_connection>(m_loop, ++m_last_connection, address, m_settings.m_body_limit,
                                                m_settings.m_budget, std::move(callbacks)));
    }

    /** Closes the connection that has been idle longest. @return false where none is idle. */
    bool close_oldest_idle()
    {
        if (m_idle.empty()) {
            return false;
        }
        client_connection* const oldest = m_idle.front();
        oldest->close();
        retire(*oldest);
        return true;
    }

    /** Removes @p connection, to be destroyed once the current handler has returned. */
    void retire(client_connection& connection)
    {
        m_idle.erase(std::remove(m_idle.begin(), m_idle.end(), &connection), m_idle.end());
        m_connections.retire(connection);
    }

    void on_end(client_connection& connection, exchange_outcome outcome, http_answer&& answer,
                const std::string& reason)
    {
        const exchange_id id = answer.m_exchange;
        if (connection.is_reusable()) {
            m_idle.push_back(&connection);
            schedule();
        }
        else {
            retire(connection);
        }
        const auto position = m_pending.find(id);
        if (position != m_pending.end()) {
            const bool on_reused_connection = position->second.m_connect_deadline == instant::max();
            if (outcome == exchange_outcome::not_sent && on_reused_connection) {
                // The reused connection was already closed and no byte was sent, so another one may carry the
                // request.
                position->second.m_connection = nullptr;
                if (!assign_connection(position->second)) {
                    m_waiting.push_back(id);
                }
                return;
            }
            erase(position);
            post_outcome(id, outcome, std::move(answer), reason);
        }
        assign_waiting();
    }

    void post_outcome(exchange_id id, exchange_outcome outcome, http_answer&& answer,
                      const std::string& reason)
    {
        if (outcome == exchange_outcome::answered) {
            m_events.post(std::move(answer));
            return;
        }
        const http_failure_kind kind =
            outcome == exchange_outcome::not_sent ? http_failure_kind::not_sent : http_failure_kind::lost;
        m_events.post(http_failure{id, kind, reason});
    }

    /** Sends waiting requests while connections are available. */
    void assign_waiting()
    {
        while (!m_waiting.empty()) {
            const auto position = m_pending.find(m_waiting.front());
            if (position != m_pending.end() && position->second.m_connection == nullptr &&
                !assign_connection(position->second)) {
                return;
            }
            m_waiting.pop_front();
        }
    }

    /** Ends @p exchange with a failure and closes its connection. */
    void fail_exchange(exchange_id exchange, http_failure_kind kind, const std::string& reason)
    {
        const auto position = m_pending.find(exchange);
        if (position == m_pending.end()) {
            return;
        }
        client_connection* const connection = position->second.m_connection;
        const bool sent = connection != nullptr && connection->has_sent();
        erase(position);
        if (connection != nullptr) {
            connection->close();
            retire(*connection);
        }
        m_events.post(http_failure{exchange, sent ? kind : http_failure_kind::not_sent, reason});
        assign_waiting();
    }

    /** Returns whether the budget has no room for an unfinished answer of @p size bytes, and reports it. */
    bool is_over_budget(std::size_t size) const
    {
        if (m_settings.m_budget == nullptr || m_settings.m_budget->has_room(0, use_of(size))) {
            return false;
        }
        m_settings.m_budget->report_shortage();
        return true;
    }

    /** Gives up the exchange whose answer is the longest so far. */
    void give_up_longest()
    {
        const auto longest =
            std::max_element(m_pending.begin(), m_pending.end(), [](const auto& a, const auto& b) {
                return held_by(a.second) < held_by(b.second);
            });
        if (longest != m_pending.end()) {
            fail_exchange(longest->first, http_failure_kind::lost,
                          "the unfinished answers take too much memory");
        }
    }

    /** Returns the bytes held of the answer to @p pending. */
    static std::size_t held_by(const pending_request& pending)
    {
        return pending.m_connection == nullptr ? 0 : pending.m_connection->held();
    }

    /** Removes a request that has ended, and its deadlines. */
    void erase(std::unordered_map<exchange_id, pending_request>::iterator position)
    {
        m_deadlines.erase({position->second.m_deadline, position->first});
        m_deadlines.erase({position->second.m_connect_deadline, position->first});
        m_pending.erase(position);
    }

    void add_deadline(instant deadline, exchange_id exchange)
    {
        m_deadlines.emplace(deadline, exchange);
        schedule();
    }

    /** Sets the timer for the next deadline or idle time-out. */
    void schedule()
    {
        instant next = m_deadlines.empty() ? instant::max() : m_deadlines.begin()->first;
        if (!m_idle.empty()) {
            next = std::min(next, m_idle.front()->idle_since() + reuse_timeout(*m_idle.front()));
        }
        if (next == instant::max() || (m_timer.pending() && m_timer_due_at <= next)) {
            return;
        }
        m_timer_due_at = next;
        m_timer.set(std::max(next - event_loop::now(), duration::zero()));
    }

    void on_timer()
    {
        const instant now = event_loop::now();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const exchange_id id = m_deadlines.begin()->second;
            m_deadlines.erase(m_deadlines.begin());
            const auto position = m_pending.find(id);
            if (position == m_pending.end()) {
                continue;
            }
            pending_request& pending = position->second;
            const bool connect_timed_out = pending.m_connection != nullptr &&
                                           pending.m_connect_deadline <= now &&
                                           !pending.m_connection->has_sent();
            if (pending.m_deadline <= now || connect_timed_out) {
                fail_exchange(id, http_failure_kind::timeout,
                              connect_timed_out ? "connection not established in time"
                                                : "no answer within the time-out");
            }
        }
        while (!m_idle.empty() && m_idle.front()->idle_since() + reuse_timeout(*m_idle.front()) <= now) {
            close_oldest_idle();
        }
        schedule();
    }

    event_loop& m_loop;
    http_client_settings m_settings;
    mailbox<http_client_event> m_events;
    connection_set<client_connection> m_connections;
    carried_ids m_carried;                 ///< Requests that each connection has carried.
    std::uint64_t m_last_connection = 0;   ///< Number of the connection opened last.
    std::size_t m_held = 0;                ///< Bytes held of all unfinished answers.
    std::deque<client_connection*> m_idle; ///< Idle longest first.
    std::unordered_map<exchange_id, pending_request> m_pending;
    std::deque<exchange_id> m_waiting;                     ///< Requests without a connection, oldest first.
    std::set<std::pair<instant, exchange_id>> m_deadlines; ///< When on_timer checks which request.
    instant m_timer_due_at{};                              ///< When the timer expires.
    timer m_timer;
};

} // namespace

std::unique_ptr<http_client> http_client::make(event_loop& loop, const http_client_settings& settings,
                                               handler on_event)
{
    return std::make_unique<beast_client>(loop, settings, std::move(on_event));
}

} // namespace waxwing
