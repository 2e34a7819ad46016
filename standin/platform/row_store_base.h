/** @file row_store_base.h The rows of the stand-in platform: conditional transactions and a history of
 * changes. */
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

/** Rows by table, part and key. Reads JSON throws its exceptions. Thread safety: none needed; one owner. */
class row_store {
public:
    /** Carries out a transaction. @return its answer, or the current rows of its conditions where one fails.
     */
    struct commit_end {
        bool m_applied = false; ///< Whether all conditions held.
        nlohmann::json m_answer;
    };
    commit_end commit(const nlohmann::json& wanted);

    /** Reads rows of one part from the key @p from on, below @p end where it is not empty. */
    nlohmann::json read(const std::string& table, const std::string& part, const std::string& from,
                        const std::string& end, std::size_t limit) const;

    /** Lists the changes of @p table after @p version; none where the history no longer reaches back to it.
     */
    std::optional<nlohmann::json> changes(const std::string& table, std::uint64_t version) const;

    /** Drops the history. */
    void compact();

private:
    using place = std::tuple<std::string, std::string, std::string>; ///< Table, part, key.

    /** One row. */
    struct row {
        std::string m_value; ///< In base64, as it came.
        std::uint64_t m_version = 0;
    };

    /** One change. */
    struct change {
        place m_place;
        row m_row;
        bool m_deleted = false;
    };

    static place place_of(const nlohmann::json& entry);
    static nlohmann::json to_json(const place& where, const row& shown);

    std::map<place, row> m_rows;
    std::deque<change> m_history;
    std::uint64_t m_version = 0;       ///< Of the last transaction.
    std::uint64_t m_history_start = 0; ///< Changes after this version are kept.
};

} // namespace waxwing

#endif
