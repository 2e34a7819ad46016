/** @file row_store.cpp Rows of the stand-in for the platform. */
#include "standin/platform/row_store_base.h"

#include "platform/table/wire.h"

namespace waxwing {

using nlohmann::json;

namespace {

constexpr std::size_t history_capacity = 10'000; ///< Maximum number of changes.

} // namespace

row_store::location row_store::location_of(const json& item)
{
    return {item.at(wire::table).get<std::string>(), item.value(wire::partition, ""),
            item.at(wire::key).get<std::string>()};
}

json row_store::to_json(const location& position, const row& state)
{
    return {{wire::table, std::get<0>(position)},
            {wire::partition, std::get<1>(position)},
            {wire::key, std::get<2>(position)},
            {wire::value, state.m_value},
            {wire::version, state.m_version}};
}

row_store::commit_result row_store::commit(const json& transaction)
{
    bool versions_match = true;
    json current = json::array();
    for (const json& condition : transaction.value(wire::expected_versions, json::array())) {
        const auto position = m_rows.find(location_of(condition));
        const std::uint64_t version = position == m_rows.end() ? 0 : position->second.m_version;
        versions_match = versions_match && version == condition.at(wire::version).get<std::uint64_t>();
        if (position != m_rows.end()) {
            current.push_back(to_json(position->first, position->second));
        }
    }
    if (!versions_match) {
        return {false, {{wire::rows, current}, {wire::version, m_version}}};
    }
    ++m_version;
    for (const json& item : transaction.value(wire::writes, json::array())) {
        const row new_row{item.at(wire::value).get<std::string>(), m_version};
        m_rows[location_of(item)] = new_row;
        m_history.push_back({location_of(item), new_row, false});
    }
    for (const json& item : transaction.value(wire::removals, json::array())) {
        if (m_rows.erase(location_of(item)) > 0) {
            m_history.push_back({location_of(item), {"", m_version}, true});
        }
    }
    while (m_history.size() > history_capacity) {
        m_history_start = m_history.front().m_row.m_version;
        m_history.pop_front();
    }
    return {true, {{wire::version, m_version}}};
}

json row_store::read(const std::string& table, const std::string& partition, const std::string& from,
                     const std::string& end, std::size_t limit) const
{
    json rows = json::array();
    bool has_more = false;
    for (auto position = m_rows.lower_bound({table, partition, from}); position != m_rows.end(); ++position) {
        const auto& [row_table, row_partition, key] = position->first;
        if (row_table != table || row_partition != partition || (!end.empty() && key >= end)) {
            break;
        }
        if (rows.size() == limit) {
            has_more = true;
            break;
        }
        rows.push_back(to_json(position->first, position->second));
    }
    return {{wire::rows, rows}, {wire::has_more, has_more}, {wire::version, m_version}};
}

std::optional<json> row_store::changes(const std::string& table, std::uint64_t version) const
{
    if (version < m_history_start || version > m_version) {
        return std::nullopt;
    }
    json rows = json::array();
    for (const change& record : m_history) {
        if (record.m_row.m_version <= version || std::get<0>(record.m_location) != table) {
            continue;
        }
        json object = to_json(record.m_location, record.m_row);
        if (record.m_deleted) {
            object[wire::deleted] = true;
        }
        rows.push_back(std::move(object));
    }
    return json{{wire::rows, rows}, {wire::version, m_version}};
}

void row_store::compact()
{
    m_history.clear();
    m_history_start = m_version;
}

} // namespace waxwing
