/** @file row_store_base.h Rows of the stand-in for the platform: conditional transactions and a change
 * history. */
#ifndef WAXWING_STANDIN_PLATFORM_ROW_STORE_BASE_H
#define WAXWING_STANDIN_PLATFORM_ROW_STORE_BASE_H

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace waxwing {

/** Rows by table, partition and key. Throws exceptions of the JSON library on malformed requests. Thread
 * safety: none; for a single owner. */
class row_store {
public:
    /** Result of a transaction. */
    struct commit_result {
        bool m_applied = false;  ///< Whether all rows had the expected versions.
        nlohmann::json m_answer; ///< Body of the answer; lists the current rows if not applied.
    };
    /** Carries out a transaction if all rows have the expected versions. */
    commit_result commit(const nlohmann::json& transaction);

    /** Reads up to @p limit rows of a partition with keys from @p from to below @p end; an empty @p end is no
     * bound. */
    nlohmann::json read(const std::string& table, const std::string& partition, const std::string& from,
                        const std::string& end, std::size_t limit) const;

    /** Returns the changes of @p table after @p version; none if the history no longer reaches back to it or
     * does not reach it yet. */
    std::optional<nlohmann::json> changes(const std::string& table, std::uint64_t version) const;

    /** Drops the history. */
    void compact();

private:
    using location = std::tuple<std::string, std::string, std::string>; ///< Table, partition, key.

    /** Value and version of a row. */
    struct row {
        std::string m_value; ///< Encoded as base64, as received.
        std::uint64_t m_version = 0;
    };

    /** A change of a row. */
    struct change {
        location m_location;
        row m_row;
        bool m_deleted = false;
    };

    static location location_of(const nlohmann::json& item);
    static nlohmann::json to_json(const location& position, const row& state);

    std::map<location, row> m_rows;
    std::deque<change> m_history;
    std::uint64_t m_version = 0;       ///< Version of the last transaction.
    std::uint64_t m_history_start = 0; ///< The history contains the changes after this version.
};

} // namespace waxwing

#endif
