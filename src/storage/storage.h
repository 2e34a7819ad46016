/** @file storage.h Public header of the storage library: rows and objects that outlive the nodes. */
#ifndef WAXWING_STORAGE_STORAGE_H
#define WAXWING_STORAGE_STORAGE_H

#include "base/base.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/** One row of the table. */
struct table_row {
    std::string m_key;           ///< Unique; rows sort by it.
    std::string m_value;         ///< Bytes.
    std::uint64_t m_version = 0; ///< Grows with each write of the row; zero is "no such row".
};

/** A condition of a transaction: the row has this version now. */
struct table_check {
    std::string m_key;           ///< The row.
    std::uint64_t m_version = 0; ///< Zero: the row must not exist.
};

/** A write of a transaction. */
struct table_write {
    std::string m_key;                  ///< The row.
    std::optional<std::string> m_value; ///< None deletes the row.
};

/** All checks hold and all writes take effect, or nothing does. */
struct table_transaction {
    std::vector<table_check> m_checks; ///< What must hold.
    std::vector<table_write> m_writes; ///< What to do.
};

/** What became of a transaction that got an answer. */
struct table_commit {
    bool m_applied = false;                   ///< Whether the checks held.
    std::vector<std::string> m_failed_checks; ///< Keys of the checks that did not hold.
};

/** A page of rows. */
struct table_page {
    std::vector<table_row> m_rows; ///< In the order of their keys.
    bool m_has_more = false;       ///< Whether further rows follow the last one.
};

/**
 * The store of rows and objects, as the rest of the system sees it. Each call ends in exactly one
 * call of its handler, never from within the call. An error `unavailable` says that nothing took effect,
 * `unknown` that it may have. Thread safety: for the loop's thread only.
 */
class storage {
public:
    template<class T>
    using handler = std::function<void(result<T>)>;

    storage() = default;
    virtual ~storage() = default;
    storage(const storage&) = delete;
    storage& operator=(const storage&) = delete;

    /** Reads the row @p key; none where it does not exist. */
    virtual void read(const std::string& key, handler<std::optional<table_row>> on_done) = 0;

    /** Reads up to @p limit rows whose key starts with @p prefix and comes after @p after. */
    virtual void list(const std::string& prefix, const std::string& after, std::size_t limit,
                      handler<table_page> on_done) = 0;

    /** Tries @p transaction. */
    virtual void commit(table_transaction transaction, handler<table_commit> on_done) = 0;

    /** Calls @p on_change each time that the row @p key may have changed, until the storage is destroyed. */
    virtual void watch_row(const std::string& key, std::function<void()> on_change) = 0;

    /** Puts the object @p name; the same bytes again do no harm. */
    virtual void put_object(const std::string& name, std::string bytes, handler<bool> on_done) = 0;

    /** Gets the object @p name; none where it does not exist. */
    virtual void get_object(const std::string& name, handler<std::optional<std::string>> on_done) = 0;
};

} // namespace waxwing

#endif
