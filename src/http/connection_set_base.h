/** @file connection_set_base.h The connections that an HTTP task owns. */
#ifndef WAXWING_HTTP_CONNECTION_SET_BASE_H
#define WAXWING_HTTP_CONNECTION_SET_BASE_H

#include "loop/loop.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace waxwing {

/**
 * Owns connections. One that has ended is destroyed from the event loop after the current handler has
 * returned, since that handler may belong to the connection itself.
 * Thread safety: for the loop's thread only.
 */
template<class Connection>
class connection_set {
public:
    explicit connection_set(event_loop& loop) : m_destroy_wakeup(loop, [this] { m_closed.clear(); }) {}

    /** Takes ownership of @p connection. @return a non-owning pointer to it. */
    Connection* add(std::unique_ptr<Connection> connection)
    {
        Connection* const raw = connection.get();
        m_open.emplace(raw, std::move(connection));
        return raw;
    }

    /** Schedules @p connection for destruction. @return false where that was done before. */
    bool retire(Connection& connection)
    {
        const auto position = m_open.find(&connection);
        if (position == m_open.end()) {
            return false;
        }
        m_closed.push_back(std::move(position->second));
        m_open.erase(position);
        m_destroy_wakeup.wake();
        return true;
    }

    /** Calls @p function with each connection that has not ended; it must not add or retire any. */
    template<class Function>
    void for_each(Function&& function) const
    {
        for (const auto& [raw, connection] : m_open) {
            function(*raw);
        }
    }

    /** Returns the number of connections that have not ended. */
    std::size_t size() const { return m_open.size(); }

private:
    wakeup m_destroy_wakeup;
    std::unordered_map<Connection*, std::unique_ptr<Connection>> m_open;
    std::vector<std::unique_ptr<Connection>> m_closed; ///< Waiting to be destroyed.
};

} // namespace waxwing

#endif
