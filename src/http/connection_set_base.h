/** @file connection_set_base.h The connections that an HTTP task owns. */
#ifndef WAXWING_HTTP_CONNECTION_SET_BASE_H
#define WAXWING_HTTP_CONNECTION_SET_BASE_H

#include "loop/loop.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace waxwing {

/**
 * Owns connections. One that ends is destroyed in the loop's next step, since it may be what called.
 * Thread safety: for the loop's thread only.
 */
template<class Connection>
class connection_set {
public:
    explicit connection_set(event_loop& loop) : m_reaper(loop, [this] { m_closed.clear(); }) {}

    /** Takes over @p made and gives it back as a plain pointer. */
    Connection* add(std::unique_ptr<Connection> made)
    {
        Connection* const raw = made.get();
        m_open.emplace(raw, std::move(made));
        return raw;
    }

    /** Lets go of @p ended. @return false where that was done before. */
    bool retire(Connection& ended)
    {
        const auto position = m_open.find(&ended);
        if (position == m_open.end()) {
            return false;
        }
        m_closed.push_back(std::move(position->second));
        m_open.erase(position);
        m_reaper.wake();
        return true;
    }

    /** Counts those that have not ended. */
    std::size_t size() const { return m_open.size(); }

private:
    wakeup m_reaper;
    std::unordered_map<Connection*, std::unique_ptr<Connection>> m_open;
    std::vector<std::unique_ptr<Connection>> m_closed; ///< To be destroyed.
};

} // namespace waxwing

#endif
