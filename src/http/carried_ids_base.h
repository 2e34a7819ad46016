/** @file carried_ids_base.h Which connections of a client have carried which requests. */
#ifndef WAXWING_HTTP_CARRIED_IDS_BASE_H
#define WAXWING_HTTP_CARRIED_IDS_BASE_H

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing {

/**
 * Remembers the connections that have carried a request, by the identifier that its answer repeats. A server
 * may send a second copy of an answer, which can't be told from the answer to the same request sent again on
 * that connection. Identifiers are kept as hashes; a collision only keeps a request off a connection that it
 * could have used. Thread safety: none; one owner.
 */
class carried_ids {
public:
    /** Records that the connection @p connection carries the request @p id. */
    void add(const std::string& id, std::uint64_t connection)
    {
        const std::size_t key = std::hash<std::string>{}(id);
        const auto [position, is_new] = m_connections.try_emplace(key);
        position->second.push_back(connection);
        if (!is_new) {
            return;
        }
        m_order.push_back(key);
        if (m_order.size() > id_limit) {
            m_connections.erase(m_order.front());
            m_order.pop_front();
        }
    }

    /** Returns whether the connection @p connection has carried the request @p id. */
    bool contains(const std::string& id, std::uint64_t connection) const
    {
        const auto position = m_connections.find(std::hash<std::string>{}(id));
        return position != m_connections.end() && std::find(position->second.begin(), position->second.end(),
                                                            connection) != position->second.end();
    }

private:
    /** Identifiers that are remembered: those of several seconds at a thousand requests a second, longer than
     * a request is sent again. */
    static constexpr std::size_t id_limit = 8192;

    std::unordered_map<std::size_t, std::vector<std::uint64_t>> m_connections; ///< By the hash of the id.
    std::deque<std::size_t> m_order;                                           ///< Hashes, oldest first.
};

} // namespace waxwing

#endif
