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

/** A row of the table. */
struct table_row {
    std::string m_key;     ///< Unique; rows are ordered by it.
    std::string m_value;   ///< Arbitrary bytes.
    row_version m_version; ///< Increases with each write of the row.
};

/** A condition of a transaction: the current version of the row. */
struct table_check {
    std::string m_key;     ///< Key of the row.
    row_version m_version; ///< The required version; number zero if the row must not exist.
};

/** A write in a transaction. */
struct table_write {
    std::string m_key;                  ///< Key of the row.
    std::optional<std::string> m_value; ///< The new value; none deletes the row.
};

/** An atomic transaction: all writes take effect if all checks hold, otherwise none does. */
struct table_transaction {
    std::vector<table_check> m_checks; ///< The conditions.
    std::vector<table_write> m_writes; ///< The writes.
};

/** The result of a transaction, if an answer was received. */
struct table_commit {
    bool m_applied = false;                   ///< Whether all checks held and the writes took effect.
    std::vector<std::string> m_failed_checks; ///< Keys of the checks that failed.
};

/** A page of rows. */
struct table_page {
    std::vector<table_row> m_rows; ///< Ordered by key.
    bool m_has_more = false;       ///< Whether more rows follow the last one.
};

/** An era of the store, which ends when the platform restores the store from a copy. */
struct store_era {
    std::uint64_t m_number = 0; ///< As the store names it.
    instant m_known_since{};    ///< When an answer first named it.
};

/**
 * The interface to the platform's table and object store. Each operation calls its handler exactly once, and
 * never before the operation itself has returned. The error `unavailable` means that nothing took effect,
 * `unknown` that the operation may have taken effect. Thread safety: only on the loop's thread.
 */
class storage {
public:
    template<class T>
    using handler = std::function<void(result<T>)>;

    /** Called with the version of a row, number zero if it does not exist, and with the time at which the
     * call was sent that showed it: the row had this version at that time or later. */
    using confirmation_handler = std::function<void(row_version version, boot_instant sent_at)>;

    storage() = default;
    virtual ~storage() = default;
    storage(const storage&) = delete;
    storage& operator=(const storage&) = delete;

    /** Returns whether the head row holds what publications write there. If not, nothing may write it. */
    virtual bool accepts_publications() const = 0;

    /** Reads the row @p key; none if it does not exist. */
    virtual void read(const std::string& key, handler<std::optional<table_row>> on_done) = 0;

    /** Reads up to @p limit rows whose keys start with @p prefix and are greater than @p after. */
    virtual void list(const std::string& prefix, const std::string& after, std::size_t limit,
                      handler<table_page> on_done) = 0;

    /** Attempts to commit @p transaction. */
    virtual void commit(table_transaction transaction, handler<table_commit> on_done) = 0;

    /** Registers a watch of the row @p key, which is inactive at first. While it is active, @p on_change is
     * called each time the row may have changed. @pre the row has no watch yet. */
    virtual void watch_row(const std::string& key, std::function<void()> on_change) = 0;

    /** Activates or suspends the watch of the row @p key. A watch that becomes active reports the present
     * state of the row. One that is suspended may report one more change. @pre the row has a watch. */
    virtual void set_watch_active(const std::string& key, bool is_active) = 0;

    /** Registers the handler that is called each time the platform turns out to have restored the store from
     * an older copy, so that writes acknowledged before may be lost. Active watches report the state of their
     * rows again. */
    virtual void watch_restorations(std::function<void()> on_restored) = 0;

    /** Registers the handler that is called each time the store has shown which version the row @p key has:
     * after each read of the row, and by the checks of its watch while that is active, which need no further
     * calls. @pre no handler is registered yet. */
    virtual void watch_confirmations(const std::string& key, confirmation_handler on_confirmed) = 0;

    /** Called with the time at which a call was sent that the store has answered. */
    using contact_handler = std::function<void(boot_instant sent_at)>;

    /** Registers the handler that is called each time the store has answered the active watch of the row
     * @p key or a check of it. @pre the row has a watch. */
    virtual void watch_contacts(const std::string& key, contact_handler on_contact) = 0;

    /** Returns the present era of the store; none if no answer has named one. */
    virtual std::optional<store_era> current_era() const = 0;

    /** Returns why the newest state of the head row that was read can't be used; none if it can. */
    virtual std::optional<std::string> head_refusal() const = 0;

    /** Stores the object @p name; storing the same bytes again is harmless. */
    virtual void put_object(const std::string& name, std::string bytes, handler<bool> on_done) = 0;

    /** Reads the object @p name; none if it does not exist. */
    virtual void get_object(const std::string& name, handler<std::optional<std::string>> on_done) = 0;
};

} // namespace waxwing

#endif
