/** @file departure_keeper_base.h Keeps the departures of other nodes' targets. */
#ifndef WAXWING_NODE_DEPARTURE_KEEPER_BASE_H
#define WAXWING_NODE_DEPARTURE_KEEPER_BASE_H

#include "loop/loop.h"
#include "member/member.h"
#include "node/departure_writer_base.h"
#include "storage/storage.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace waxwing {

/**
 * Holds the departures that other nodes can't write to the platform's table, writes them there as soon as
 * this node can, and tells them to the next process of such a node. Thread safety: the loop's thread only.
 */
class departure_keeper {
public:
    /** Sends a message of the topic `departure`. */
    using sender = std::function<void(const node_id&, const departure_message&)>;

    /** Nodes whose departures are held. Offers of further nodes are not answered, unless the table contains
     * those of another node, which is then dropped. */
    static constexpr std::size_t max_nodes = 256;

    /** @pre @p loop and @p platform_storage outlive the keeper. */
    departure_keeper(event_loop& loop, storage& platform_storage, std::uint64_t seed, sender send);

    /** Handles an offer of @p node. */
    void on_offer(const node_id& node, const departure_offer& offer);

    /** Records that a new process of @p node has joined. @param memory is told to it; none if this node need
     * not hold its departures. */
    void on_new_process(const node_id& node, const std::optional<keeper_memory>& memory);

    /** Writes everything again, as the platform has restored its table from an older copy. */
    void on_table_restored();

private:
    /** The departures of one node. */
    struct held_list {
        std::uint64_t m_generation = 0; ///< Of the last offer.
        departure_list m_departures;
        bool m_is_stored = false; ///< Whether the table contains them.
        std::unique_ptr<departure_writer> m_writer;
    };

    bool make_room();
    void on_written(const node_id& node, const departure_list& written);

    event_loop& m_loop;
    storage& m_storage;
    random_source m_random;
    sender m_send;
    std::map<node_id, held_list> m_lists;
};

} // namespace waxwing

#endif
