/** @file row_store.cpp The rows of the stand-in platform. */
#include "standin/platform/row_store_base.h"

#include "platform/table/wire.h"

namespace waxwing {

using nlohmann::json;

namespace {

constexpr std::size_t history_room = 10'000; ///< Changes kept at most.

} // namespace

row_store::place row_store::place_of(const json& entry)
{
    return {entry.at(wire::table).get<std::string>(), entry.value(wire::part, ""),
            entry.at(wire::key).get<std::string>()};
}

json row_store::to_json(const place& where, const row& shown)
{
    return {{wire::table, std::get<0>(where)},
            {wire::part, std::get<1>(where)},
            {wire::key, std::get<2>(where)},
            {wire::value, shown.m_value},
            {wire::version, shown.m_version}};
}

row_store::commit_end row_store::commit(const json& wanted)
{
    bool holds = true;
    json current = json::array();
    for (const json& condition : wanted.value(wire::conditions, json::array())) {
        const auto position = m_rows.find(place_of(condition));
        const std::uint64_t version = position == m_rows.end() ? 0 : position->second.m_version;
        holds = holds && version == condition.at(wire::version).get<std::uint64_t>();
        if (position != m_rows.end()) {
            current.push_back(to_json(position->first, position->second));
        }
    }
    if (!holds) {
        return {false, {{wire::rows, current}, {wire::version, m_version}}};
    }
    ++m_version;
    for (const json& entry : wanted.value(wire::writes, json::array())) {
        const row written{entry.at(wire::value).get<std::string>(), m_version};
        m_rows[place_of(entry)] = written;
        m_history.push_back({place_of(entry), written, false});
    }
    for (const json& entry : wanted.value(wire::removals, json::array())) {
        if (m_rows.erase(place_of(entry)) > 0) {
            m_history.push_back({place_of(entry), {"", m_version}, true});
        }
    }
    while (m_history.size() > history_room) {
        m_history_start = m_history.front().m_row.m_version;
        m_history.pop_front();
    }
    return {true, {{wire::version, m_version}}};
}

json row_store::read(const std::string& table, const std::string& part, const std::string& from,
                     const std::string& end, std::size_t limit) const
{
    json rows = json::array();
    bool more = false;
    for (auto position = m_rows.lower_bound({table, part, from}); position != m_rows.end(); ++position) {
        const auto& [row_table, row_part, key] = position->first;
        if (row_table != table || row_part != part || (!end.empty() && key >= end)) {
            break;
        }
        if (rows.size() == limit) {
            more = true;
            break;
        }
        rows.push_back(to_json(position->first, position->second));
    }
    return {{wire::rows, rows}, {wire::has_more, more}, {wire::version, m_version}};
}

std::optional<json> row_store::changes(const std::string& table, std::uint64_t version) const
{
    if (version < m_history_start) {
        return std::nullopt;
    }
    json rows = json::array();
    for (const change& each : m_history) {
        if (each.m_row.m_version <= version || std::get<0>(each.m_place) != table) {
            continue;
        }
        json shown = to_json(each.m_place, each.m_row);
        if (each.m_deleted) {
            shown[wire::deleted] = true;
        }
        rows.push_back(std::move(shown));
    }
    return json{{wire::rows, rows}, {wire::version, m_version}};
}

void row_store::compact()
{
    m_history.clear();
    m_history_start = m_version;
}

} // namespace waxwing
