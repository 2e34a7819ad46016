/** @file departure_keeper.cpp Keeps the departures of other nodes' targets. */
#include "node/departure_keeper_base.h"

#include "events/events.h"

#include <algorithm>
#include <utility>

namespace waxwing {

departure_keeper::departure_keeper(event_loop& loop, storage& platform_storage, std::uint64_t seed,
                                   sender send)
    : m_loop(loop), m_storage(platform_storage), m_random(seed), m_send(std::move(send))
{
}

void departure_keeper::on_offer(const node_id& node, const departure_offer& offer)
{
    if (!m_lists.contains(node)) {
        if (!make_room()) {
            return;
        }
        log_event(event::departure_held, {{"node", node.m_value}});
        m_lists[node].m_writer = std::make_unique<departure_writer>(
            m_loop, m_storage, node, m_random(),
            departure_writer::handlers{
                [this, node](const departure_list& written) { on_written(node, written); },
                [](const std::string& reason) { static_cast<void>(reason); }});
    }
    held_list& held = m_lists[node];
    held.m_generation = offer.m_generation;
    if (held.m_departures.merge(offer.m_departures)) {
        held.m_is_stored = false;
    }
    m_send(node, departure_receipt{held.m_generation, held.m_is_stored});
    if (!held.m_is_stored) {
        held.m_writer->write(held.m_departures);
    }
}

/** Makes room for another node. @return whether there is any. */
bool departure_keeper::make_room()
{
    if (m_lists.size() < max_nodes) {
        return true;
    }
    const auto stored = std::find_if(m_lists.begin(), m_lists.end(),
                                     [](const auto& item) { return item.second.m_is_stored; });
    if (stored == m_lists.end()) {
        return false;
    }
    m_lists.erase(stored);
    return true;
}

void departure_keeper::on_written(const node_id& node, const departure_list& written)
{
    held_list& held = m_lists.at(node);
    if (!written.covers(held.m_departures)) {
        return;
    }
    held.m_is_stored = true;
    m_send(node, departure_receipt{held.m_generation, true});
}

void departure_keeper::on_new_process(const node_id& node, const std::optional<keeper_memory>& memory)
{
    const auto position = m_lists.find(node);
    if (position != m_lists.end() || memory) {
        m_send(node,
               departure_reminder{
                   position != m_lists.end() ? position->second.m_departures : departure_list{}, memory});
    }
}

void departure_keeper::on_table_restored()
{
    for (auto& [node, held] : m_lists) {
        held.m_is_stored = false;
        held.m_writer->rewrite();
    }
}

} // namespace waxwing
