/** @file announcement_task_base.h Keeps the departure of the target beyond the end of the process. */
#ifndef WAXWING_NODE_ANNOUNCEMENT_TASK_BASE_H
#define WAXWING_NODE_ANNOUNCEMENT_TASK_BASE_H

#include "loop/loop.h"
#include "member/member.h"
#include "storage/storage.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/**
 * Passes on the announcements of the target, and acknowledges them. A departure is written to the platform's
 * table before it is acknowledged, and read at the start before any announcement is passed on: the next
 * process of the node could not tell a late announcement of a target that has left from a current one.
 *
 * While the table does not respond, announcements are passed on after the first failed read, and departures
 * are acknowledged after `acknowledgement_timeout`; reading and writing are repeated until they succeed.
 * Thread safety: the loop's thread only.
 */
class announcement_task {
public:
    using acknowledgement = std::function<void()>;

    /** Receivers of what the task passes on. */
    struct handlers {
        std::function<void(const target_announcement&)> m_on_announcement; ///< An announcement applies now.
        /** An earlier process of this node acknowledged the departure. */
        std::function<void(const target_departure&)> m_on_earlier_departure;
    };

    /** Longest time for which the acknowledgement of a departure waits for the table. Targets wait for 1 s.
     */
    static constexpr duration acknowledgement_timeout = std::chrono::milliseconds(700);

    /** @param self node whose target announces itself. @pre @p loop and @p platform_storage outlive the task.
     */
    announcement_task(event_loop& loop, storage& platform_storage, const node_id& self, std::uint64_t seed,
                      handlers receivers);

    /** Starts to read the departure that an earlier process recorded. @pre Called once. */
    void start();

    /** Handles an announcement. @param acknowledge is called once, possibly before this returns. */
    void announce(const target_announcement& announcement, acknowledgement acknowledge);

    /** Writes @p departure to the table, unless it or a later one is known. A departure of an incarnation
     * without a start time is not written, as later announcements could not be compared with it. */
    void record(const target_departure& departure);

    /** Writes the known departure again, as the platform has restored its table from an older copy. */
    void on_table_restored();

private:
    void read();
    void on_read(const result<std::optional<table_row>>& row);
    void pass_held_on();
    void write();
    void on_written(const target_departure& written, const result<table_commit>& outcome);
    void acknowledge_all();
    duration retry_delay();

    storage& m_storage;
    std::string m_key; ///< Key of the row.
    random_source m_random;
    handlers m_receivers;
    bool m_is_holding = true;                    ///< Whether announcements wait for the first read.
    std::deque<target_announcement> m_held;      ///< Announcements that wait, oldest first.
    std::vector<acknowledgement> m_unanswered;   ///< Acknowledgements that wait for the table.
    std::optional<target_departure> m_departure; ///< Latest known departure.
    bool m_is_written = true;                    ///< Whether the table contains m_departure.
    bool m_is_writing = false;                   ///< Whether a write has not ended.
    bool m_is_failing = false;                   ///< Whether the last read or write failed.
    timer m_read_timer;                          ///< Repeats a failed read.
    timer m_write_timer;                         ///< Repeats a failed write.
    timer m_acknowledgement_timer;               ///< Ends the wait of m_unanswered.
};

} // namespace waxwing

#endif
