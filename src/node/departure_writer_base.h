/** @file departure_writer_base.h Writes the departures of one node's targets to the platform's table. */
#ifndef WAXWING_NODE_DEPARTURE_WRITER_BASE_H
#define WAXWING_NODE_DEPARTURE_WRITER_BASE_H

#include "loop/loop.h"
#include "member/member.h"
#include "storage/storage.h"

#include <functional>
#include <optional>
#include <string>

namespace waxwing {

/**
 * Adds departures to the row of one node, and repeats that until it succeeds. Several nodes may write the
 * same row: each write depends on the version that was read, so that none takes a departure out again. Thread
 * safety: the loop's thread only.
 */
class departure_writer {
public:
    /** Receivers of the outcomes. */
    struct handlers {
        std::function<void(const departure_list& written)> m_on_written; ///< The row contains these.
        std::function<void(const std::string& reason)> m_on_failure;     ///< An attempt failed.
    };

    /** @param node whose row it writes. @pre @p loop and @p platform_storage outlive the writer. */
    departure_writer(event_loop& loop, storage& platform_storage, const node_id& node, std::uint64_t seed,
                     handlers receivers);

    /** Returns the key of the row of @p node. Thread safety: pure. */
    static std::string key_of(const node_id& node) { return "departure/" + node.m_value; }

    /** Adds @p departures to those that the row has to contain. */
    void write(const departure_list& departures);

    /** Records that the row was read, none if it does not exist, which saves the first read. */
    void set_row(const std::optional<table_row>& row);

    /** Writes all departures again, as the platform has restored its table from an older copy. */
    void rewrite();

private:
    /** The row as it was read. */
    struct known_row {
        row_version m_version;
        departure_list m_departures;
    };

    void attempt();
    void on_read(const result<std::optional<table_row>>& row);
    void commit();
    void on_committed(const departure_list& written, const result<table_commit>& outcome);
    void fail_attempt(const std::string& reason);
    void finish(const departure_list& written);

    storage& m_storage;
    std::string m_key;
    random_source m_random;
    handlers m_receivers;
    departure_list m_departures;    ///< What the row has to contain.
    std::optional<known_row> m_row; ///< As read last; none if it may have changed since.
    bool m_is_busy = false;         ///< Whether a call has not ended.
    timer m_retry_timer;
};

} // namespace waxwing

#endif
