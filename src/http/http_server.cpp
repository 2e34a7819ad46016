/** @file http_server.cpp The HTTP server task: its listener and its connections. */
#include "http/connection_set_base.h"
#include "http/server_connection_base.h"

#include <unordered_map>

namespace waxwing {

namespace {

constexpr int accept_batch = 64;       ///< Connections accepted in a row, so that the others get their turn.
constexpr unsigned surplus_share = 10; ///< One in so many connections above the limit is kept for refusals.

/** The server. */
class beast_server final : public http_server {
public:
    beast_server(event_loop& loop, const http_server_settings& settings, handler on_event)
        : m_shared{loop, settings, false, {}, {}, {}, {}, {}}, m_events(loop, std::move(on_event)),
          m_accept(loop, [this](int) { accept_some(); }), m_connections(loop)
    {
        m_shared.m_begin = [this](server_connection& connection) {
            const exchange_id id{++m_last_exchange};
            m_exchanges.emplace(id, &connection);
            return id;
        };
        m_shared.m_on_request = [this](http_request&& request) { m_events.post(std::move(request)); };
        m_shared.m_on_end = [this](exchange_id id, bool gone) {
            m_exchanges.erase(id);
            if (gone) {
                m_events.post(http_client_disconnected{id});
            }
        };
        m_shared.m_on_idle = [this](server_connection& connection, bool idle) {
            note_idle(connection, idle);
        };
        m_shared.m_on_closed = [this](server_connection& connection) { retire(connection); };
    }

    /** Starts to listen. */
    result<void> start()
    {
        result<descriptor> listener = listen_at(m_shared.m_settings.m_address, socket_use::http);
        if (listener.has_error()) {
            return listener.error();
        }
        m_listener = std::move(listener).value();
        m_accept.watch(m_listener.get(), EV_READ);
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
        const endpoint address = m_shared.m_settings.m_address;
        m_shared.m_settings = settings;
        m_shared.m_settings.m_address = address;
    }

    void drain() override
    {
        // An idle connection stays open: its client may be sending a request just now.
        m_shared.m_draining = true;
    }

    void stop_listening() override
    {
        m_accept.stop();
        m_listener.reset();
    }

    std::size_t in_progress() const override { return m_exchanges.size(); }
    std::size_t connections() const override { return m_connections.size(); }
    endpoint address() const override
    {
        return m_listener.get() < 0 ? m_shared.m_settings.m_address : local_address(m_listener.get());
    }

private:
    void accept_some()
    {
        const std::size_t limit = m_shared.m_settings.m_connection_limit;
        const std::size_t most = limit + limit / surplus_share;
        for (int count = 0; count < accept_batch; ++count) {
            if (m_connections.size() > most) {
                pause_accepting();
                return;
            }
            result<accepted_connection> accepted = accept_connection(m_listener.get(), socket_use::http);
            if (accepted.has_error()) {
                if (accepted.error().m_code == error_code::exhausted) {
                    pause_accepting();
                }
                return;
            }
            // Only now: closing one for a client that does not come would cost a caller its connection.
            if (m_connections.size() >= limit && !m_idle.empty()) {
                m_idle.front()->close();
            }
            m_connections.add(std::make_unique<server_connection>(m_shared, std::move(accepted).value(),
                                                                  m_connections.size() >= limit));
        }
    }

    /** Lets new connections wait until one has ended; the listener would be ready all the while. */
    void pause_accepting()
    {
        m_accept.stop();
        m_accepting = false;
    }

    void note_idle(server_connection& connection, bool idle)
    {
        if (idle) {
            connection.m_idle_position = m_idle.insert(m_idle.end(), &connection);
        }
        else if (connection.m_idle_position) {
            m_idle.erase(*connection.m_idle_position);
            connection.m_idle_position.reset();
        }
    }

    /** Destroys @p connection in the loop's next step. */
    void retire(server_connection& connection)
    {
        note_idle(connection, false);
        const bool retired = m_connections.retire(connection);
        if (retired && !m_accepting && m_listener.get() >= 0) {
            m_accepting = true;
            m_accept.watch(m_listener.get(), EV_READ);
        }
    }

    server_shared m_shared;
    mailbox<http_server_event> m_events;
    descriptor m_listener;
    io_watcher m_accept;
    bool m_accepting = true; ///< Whether m_accept watches the listener.
    connection_set<server_connection> m_connections;
    std::list<server_connection*> m_idle; ///< Longest idle first.
    std::unordered_map<exchange_id, server_connection*> m_exchanges;
    std::uint64_t m_last_exchange = 0;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::open(event_loop& loop, const http_server_settings& settings,
                                                       handler on_event)
{
    auto server = std::make_unique<beast_server>(loop, settings, std::move(on_event));
    const result<void> started = server->start();
    if (started.has_error()) {
        return started.error();
    }
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace waxwing
