/** @file http_client.cpp The HTTP client task: its connections and the requests that wait for one. */
#include "http/client_connection_base.h"
#include "http/connection_set_base.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>

namespace waxwing {

namespace {

/** A request that can't be repeated goes out only on a connection that carried an answer this short ago. */
constexpr duration fresh_limit = std::chrono::milliseconds(100);

/** Share of the server's idle time-out in which its connections are used again. */
constexpr int idle_share_percent = 70;

/** The client. */
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
        pending& made =
            m_pending.insert_or_assign(id, pending{std::move(request), nullptr, deadline}).first->second;
        set_time(deadline, id);
        if (!place(made)) {
            m_waiting.push_back(id);
        }
    }

    void abort(exchange_id exchange) override { give_up(exchange, http_failure_kind::aborted, "aborted"); }

    std::size_t in_progress() const override { return m_pending.size(); }

private:
    /** One request without an event. */
    struct pending {
        http_send m_request;
        client_connection* m_connection = nullptr; ///< Carries it; null while it waits for one.
        instant m_deadline;                        ///< It fails then.
        instant m_connect_until = instant::max();  ///< The connection must be up then.
    };

    /** Gives @p wanted a connection. @return false where the limit is reached. */
    bool place(pending& wanted)
    {
        client_connection* connection = find_idle(wanted.m_request);
        if (connection == nullptr) {
            if (m_connections.size() >= m_settings.m_connection_limit && !drop_idle()) {
                return false;
            }
            connection = open(wanted.m_request.m_address);
            wanted.m_connect_until = event_loop::now() + m_settings.m_connect_timeout;
            set_time(wanted.m_connect_until, wanted.m_request.m_exchange);
        }
        wanted.m_connection = connection;
        connection->send(wanted.m_request);
        return true;
    }

    /** Finds the idle connection that was used last and fits @p request; null where there is none. */
    client_connection* find_idle(const http_send& request)
    {
        const instant now = event_loop::now();
        for (auto position = m_idle.rbegin(); position != m_idle.rend(); ++position) {
            client_connection* const candidate = *position;
            const duration idle = now - candidate->idle_since();
            const bool fresh = request.m_idempotent || idle <= fresh_limit;
            if (candidate->address() == request.m_address && fresh && idle < idle_limit(*candidate)) {
                m_idle.erase(std::next(position).base());
                return candidate;
            }
        }
        return nullptr;
    }

    /** Gives the time after which @p connection is not used again. */
    duration idle_limit(const client_connection& connection) const
    {
        const duration told = connection.server_idle_limit();
        const duration usable = told == duration::max() ? told : told * idle_share_percent / 100;
        return std::min(m_settings.m_idle_timeout, usable);
    }

    client_connection* open(const endpoint& address)
    {
        client_connection::handlers on;
        on.m_on_end = [this](client_connection& connection, exchange_end how, http_answer&& given,
                             const std::string& why) { on_end(connection, how, std::move(given), why); };
        on.m_on_closed = [this](client_connection& connection) { retire(connection); };
        return m_connections.add(
            std::make_unique<client_connection>(m_loop, address, m_settings.m_body_limit, std::move(on)));
    }

    /** Closes the connection that has been idle for longest. @return false where none is idle. */
    bool drop_idle()
    {
        if (m_idle.empty()) {
            return false;
        }
        client_connection* const oldest = m_idle.front();
        oldest->close();
        retire(*oldest);
        return true;
    }

    /** Forgets @p connection and destroys it in the loop's next step. */
    void retire(client_connection& connection)
    {
        m_idle.erase(std::remove(m_idle.begin(), m_idle.end(), &connection), m_idle.end());
        m_connections.retire(connection);
    }

    void on_end(client_connection& connection, exchange_end how, http_answer&& given, const std::string& why)
    {
        const exchange_id id = given.m_exchange;
        if (connection.is_reusable()) {
            m_idle.push_back(&connection);
            schedule();
        }
        else {
            retire(connection);
        }
        const auto position = m_pending.find(id);
        if (position != m_pending.end()) {
            const bool connected = position->second.m_connect_until == instant::max();
            if (how == exchange_end::unsent && connected) {
                // A kept connection was gone before the first byte: another one may carry the request.
                position->second.m_connection = nullptr;
                if (!place(position->second)) {
                    m_waiting.push_back(id);
                }
                return;
            }
            forget(position);
            tell(id, how, std::move(given), why);
        }
        place_waiting();
    }

    void tell(exchange_id id, exchange_end how, http_answer&& given, const std::string& why)
    {
        if (how == exchange_end::answered) {
            m_events.post(std::move(given));
            return;
        }
        const http_failure_kind kind =
            how == exchange_end::unsent ? http_failure_kind::not_sent : http_failure_kind::lost;
        m_events.post(http_failure{id, kind, why});
    }

    /** Gives requests that wait the connections that are free now. */
    void place_waiting()
    {
        while (!m_waiting.empty()) {
            const auto position = m_pending.find(m_waiting.front());
            if (position != m_pending.end() && position->second.m_connection == nullptr &&
                !place(position->second)) {
                return;
            }
            m_waiting.pop_front();
        }
    }

    /** Ends @p exchange without an answer; its connection closes. */
    void give_up(exchange_id exchange, http_failure_kind kind, const std::string& why)
    {
        const auto position = m_pending.find(exchange);
        if (position == m_pending.end()) {
            return;
        }
        client_connection* const connection = position->second.m_connection;
        const bool sent = connection != nullptr && connection->has_sent();
        forget(position);
        if (connection != nullptr) {
            connection->close();
            retire(*connection);
        }
        m_events.post(http_failure{exchange, sent ? kind : http_failure_kind::not_sent, why});
        place_waiting();
    }

    /** Drops a request that has ended, and its times. */
    void forget(std::unordered_map<exchange_id, pending>::iterator position)
    {
        m_times.erase({position->second.m_deadline, position->first});
        m_times.erase({position->second.m_connect_until, position->first});
        m_pending.erase(position);
    }

    void set_time(instant when, exchange_id exchange)
    {
        m_times.emplace(when, exchange);
        schedule();
    }

    /** Sets the timer for what is due next. */
    void schedule()
    {
        instant next = m_times.empty() ? instant::max() : m_times.begin()->first;
        if (!m_idle.empty()) {
            next = std::min(next, m_idle.front()->idle_since() + idle_limit(*m_idle.front()));
        }
        if (next == instant::max() || (m_timer.pending() && m_due <= next)) {
            return;
        }
        m_due = next;
        m_timer.set(std::max(next - event_loop::now(), duration::zero()));
    }

    void on_timer()
    {
        const instant now = event_loop::now();
        while (!m_times.empty() && m_times.begin()->first <= now) {
            const exchange_id id = m_times.begin()->second;
            m_times.erase(m_times.begin());
            const auto position = m_pending.find(id);
            if (position == m_pending.end()) {
                continue;
            }
            pending& current = position->second;
            const bool unconnected = current.m_connection != nullptr && current.m_connect_until <= now &&
                                     !current.m_connection->has_sent();
            if (current.m_deadline <= now || unconnected) {
                give_up(id, http_failure_kind::timeout,
                        unconnected ? "not connected in time" : "no answer in time");
            }
        }
        while (!m_idle.empty() && m_idle.front()->idle_since() + idle_limit(*m_idle.front()) <= now) {
            drop_idle();
        }
        schedule();
    }

    event_loop& m_loop;
    http_client_settings m_settings;
    mailbox<http_client_event> m_events;
    connection_set<client_connection> m_connections;
    std::deque<client_connection*> m_idle; ///< Longest idle first.
    std::unordered_map<exchange_id, pending> m_pending;
    std::deque<exchange_id> m_waiting;                 ///< Requests without a connection, oldest first.
    std::set<std::pair<instant, exchange_id>> m_times; ///< When on_timer is to look at which request.
    instant m_due{};                                   ///< For when the timer is set.
    timer m_timer;
};

} // namespace

std::unique_ptr<http_client> http_client::make(event_loop& loop, const http_client_settings& settings,
                                               handler on_event)
{
    return std::make_unique<beast_client>(loop, settings, std::move(on_event));
}

} // namespace waxwing
