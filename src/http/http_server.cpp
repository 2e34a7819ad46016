/** @file http_server.cpp The HTTP server task: its listener and its connections. */
#include "http/connection_set_base.h"
#include "http/server_connection_base.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwing {

namespace {

/** Connections accepted per event, so that open connections are served in between. */
constexpr int max_accepts = 64;
/** Delay after which accepting is tried again. */
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);
/** The connection limit may be exceeded by one connection in so many, to send refusals on them. */
constexpr unsigned over_limit_divisor = 10;
/** Interval at which memory is relieved while it is short. */
constexpr duration relief_interval = std::chrono::milliseconds(200);
/** Time without a byte received or sent after which a connection may be evicted for memory. */
constexpr duration min_stall_duration = std::chrono::seconds(1);
/** Evictions free one part of so many of what large bodies may fill, so that others go on for a while. */
constexpr std::size_t relief_divisor = 8;

/** Server that parses with Boost.Beast. */
class beast_server final : public http_server {
public:
    beast_server(event_loop& loop, const http_server_settings& settings, handler on_event)
        : m_context{loop, settings, false, 0, {}, {}, {}, {}, {}, {}, {}},
          m_events(loop, std::move(on_event)), m_accept_watcher(loop, [this](int) { accept_connections(); }),
          m_accept_timer(loop, [this] { resume_accepting(); }),
          m_memory_timer(loop, [this] { relieve_memory(); }), m_connections(loop)
    {
        m_context.m_on_paused = [this] { expect_relief(); };
        if (settings.m_budget != nullptr) {
            settings.m_budget->set_shortage_handler([this] { expect_relief(); });
        }
        m_context.m_begin_exchange = [this](server_connection& connection) {
            const exchange_id id{++m_last_exchange};
            m_exchanges.emplace(id, &connection);
            return id;
        };
        m_context.m_on_request = [this](http_request&& request) { m_events.post(std::move(request)); };
        m_context.m_on_end = [this](exchange_id id, bool disconnected) {
            m_exchanges.erase(id);
            if (disconnected) {
                m_events.post(http_client_disconnected{id});
            }
        };
        m_context.m_on_refused = [this](http_refusal&& refused) {
            if (m_on_refused) {
                m_on_refused(refused);
            }
        };
        m_context.m_on_idle = [this](server_connection& connection, bool idle) {
            set_idle(connection, idle);
        };
        m_context.m_on_closed = [this](server_connection& connection) { retire(connection); };
    }

    ~beast_server() override
    {
        if (m_context.m_settings.m_budget != nullptr) {
            m_context.m_settings.m_budget->set_shortage_handler(nullptr);
        }
    }

    /** Starts to listen. */
    result<void> start()
    {
        result<descriptor> listener = listen_at(m_context.m_settings.m_address, socket_use::http);
        if (listener.has_error()) {
            return listener.error();
        }
        m_listener = std::move(listener).value();
        m_accept_watcher.watch(m_listener.get(), EV_READ);
        return success();
    }

    void reply(http_reply reply) override
    {
        const auto position = m_exchanges.find(reply.m_exchange);
        if (position != m_exchanges.end()) {
            position->second->reply(std::move(reply));
        }
    }

    void configure(const http_server_settings& settings) override
    {
        const endpoint address = m_context.m_settings.m_address;
        std::shared_ptr<memory_budget> budget = m_context.m_settings.m_budget;
        m_context.m_settings = settings;
        m_context.m_settings.m_address = address;
        m_context.m_settings.m_budget = std::move(budget);
    }

    void report_refusals(refusal_handler on_refused) override { m_on_refused = std::move(on_refused); }

    void drain() override
    {
        // Idle connections stay open, since a request may already be on its way from the client.
        m_context.m_draining = true;
    }

    void stop_listening() override
    {
        m_accept_watcher.stop();
        m_listener.reset();
    }

    std::size_t in_progress() const override { return m_exchanges.size() + m_context.m_sending; }
    std::size_t connections() const override { return m_connections.size(); }
    endpoint address() const override
    {
        return m_listener.get() < 0 ? m_context.m_settings.m_address : local_address(m_listener.get());
    }

private:
    void accept_connections()
    {
        const std::size_t limit = m_context.m_settings.m_connection_limit;
        const std::size_t max_connections = limit + limit / over_limit_divisor;
        for (int count = 0; count < max_accepts; ++count) {
            if (m_connections.size() > max_connections) {
                pause_accepting();
                return;
            }
            result<accepted_connection> connection = accept_connection(m_listener.get(), socket_use::http);
            if (connection.has_error()) {
                if (connection.error().m_code == error_code::exhausted) {
                    pause_accepting();
                }
                return;
            }
            // Close an idle connection only after accepting one: closing it for a client that does not arrive
            // would cost a caller its connection.
            if (m_connections.size() >= limit && !m_idle.empty()) {
                m_idle.front()->close();
            }
            m_connections.add(std::make_unique<server_connection>(m_context, std::move(connection).value(),
                                                                  m_connections.size() >= limit));
        }
    }

    /** Stops accepting for a while, or until a connection ends; a watched listener would wake the loop all
     * the time. */
    void pause_accepting()
    {
        m_accept_watcher.stop();
        m_accepting = false;
        m_accept_timer.set(accept_retry_delay);
    }

    void resume_accepting()
    {
        if (!m_accepting && m_listener.get() >= 0) {
            m_accepting = true;
            m_accept_timer.cancel();
            m_accept_watcher.watch(m_listener.get(), EV_READ);
        }
    }

    void set_idle(server_connection& connection, bool idle)
    {
        if (idle) {
            connection.m_idle_position = m_idle.insert(m_idle.end(), &connection);
        }
        else if (connection.m_idle_position) {
            m_idle.erase(*connection.m_idle_position);
            connection.m_idle_position.reset();
        }
    }

    /** Sets the timer after which memory is relieved, unless it is set. */
    void expect_relief()
    {
        if (!m_memory_timer.pending()) {
            m_memory_timer.set(relief_interval);
        }
    }

    /**
     * Evicts the connections that hold most and neither receive nor send, until there is room again; then
     * resumes reading. A connection that is paused counts as one that does not receive: otherwise requests
     * that together exceed the budget would wait for each other.
     */
    void relieve_memory()
    {
        const memory_budget& budget = *m_context.m_settings.m_budget;
        const instant now = event_loop::now();
        std::vector<std::pair<std::size_t, server_connection*>> holders;
        std::vector<server_connection*> paused;
        m_connections.for_each([&](server_connection& connection) {
            if (now - connection.last_activity_at() >= min_stall_duration && connection.held() > 0) {
                holders.emplace_back(connection.held(), &connection);
            }
            if (connection.is_paused()) {
                paused.push_back(&connection);
            }
        });
        std::sort(holders.rbegin(), holders.rend());
        const std::size_t target = budget.large_limit() - budget.large_limit() / relief_divisor;
        for (const auto& [held, connection] : holders) {
            if (budget.used() <= target) {
                break;
            }
            connection->evict();
        }
        for (server_connection* const connection : paused) {
            if (connection->is_paused()) {
                connection->resume();
            }
        }
    }

    /** Removes @p connection, to be destroyed once the current handler has returned. */
    void retire(server_connection& connection)
    {
        set_idle(connection, false);
        const bool was_open = m_connections.retire(connection);
        if (was_open) {
            resume_accepting();
        }
    }

    server_context m_context;
    mailbox<http_server_event> m_events;
    refusal_handler m_on_refused; ///< Empty if refusals are not reported.
    descriptor m_listener;
    io_watcher m_accept_watcher;
    timer m_accept_timer;    ///< Resumes accepting where no connection is open whose end would do so.
    timer m_memory_timer;    ///< Relieves memory after a shortage.
    bool m_accepting = true; ///< Whether m_accept_watcher watches the listener.
    connection_set<server_connection> m_connections;
    std::list<server_connection*> m_idle; ///< Idle longest first.
    std::unordered_map<exchange_id, server_connection*> m_exchanges;
    std::uint64_t m_last_exchange = 0;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::open(event_loop& loop, const http_server_settings& settings,
                                                       handler on_event)
{
    auto server = std::make_unique<beast_server>(loop, settings, std::move(on_event));
    const result<void> status = server->start();
    if (status.has_error()) {
        return status.error();
    }
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace waxwing
