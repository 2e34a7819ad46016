/** @file announcement_task_base.h Keeps the departures of the target beyond the end of the process. */
#ifndef WAXWING_NODE_ANNOUNCEMENT_TASK_BASE_H
#define WAXWING_NODE_ANNOUNCEMENT_TASK_BASE_H

#include "loop/loop.h"
#include "member/member.h"
#include "node/departure_writer_base.h"
#include "storage/storage.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/**
 * Passes on the announcements of the target, and acknowledges them. A departure is acknowledged only when it
 * outlives the process: once the platform's table contains it or, while the table does not respond, other
 * nodes hold it. The next process of the node could not tell a late announcement of a target that has left
 * from a current one.
 *
 * At the start the table is read before any announcement is passed on, and announcement_trust decides whether
 * this process knows all departures that earlier ones acknowledged. Thread safety: the loop's thread only.
 */
class announcement_task {
public:
    /** Called with whether the announcement binds; if not, the target has to repeat it. */
    using acknowledgement = std::function<void(bool is_kept)>;

    /** Receivers of what the task passes on. */
    struct handlers {
        std::function<void(const target_announcement&)> m_on_announcement; ///< An announcement applies now.
        /** An earlier process of this node acknowledged the departure. */
        std::function<void(const target_departure&)> m_on_earlier_departure;
        /** Returns the other nodes that have to hold departures, at most the given number. */
        std::function<std::vector<node_id>(std::size_t count)> m_keepers;
        /** Sends a message of the topic `departure`. */
        std::function<void(const node_id&, const departure_message&)> m_send;
    };

    /** Longest time for which an acknowledgement is delayed. Targets wait for 1 s. */
    static constexpr duration acknowledgement_timeout = std::chrono::milliseconds(700);

    /** Other nodes that are asked to hold a departure at first. */
    static constexpr std::size_t keeper_count = 4;

    /** Nodes that are asked while none of those before can write it to the table. */
    static constexpr std::size_t max_keeper_count = 9;

    /** Nodes that have to hold a departure if not all that are asked at first do so in time, or all that are
     * alive if there are fewer. */
    static constexpr std::size_t min_holders = 2;

    /** @param self node whose target announces itself. @pre @p loop and @p platform_storage outlive the task.
     */
    announcement_task(event_loop& loop, storage& platform_storage, const node_id& self, std::uint64_t seed,
                      handlers receivers);

    /** Starts to read the departures that earlier processes recorded. @pre Called once. */
    void start();

    /** Handles an announcement. @param acknowledge is called once, possibly before this returns. */
    void announce(const target_announcement& announcement, acknowledgement acknowledge);

    /** Records @p departure, unless it or a later one of the same id is known. */
    void record(const target_departure& departure);

    /** Writes the known departures again, as the platform has restored its table from an older copy. */
    void on_table_restored();

    /** Records that a new process of @p node has joined, which holds nothing of what an earlier one did. */
    void on_new_process(const node_id& node) { m_receipts.erase(node); }

    /** Handles the answer of @p keeper to an offer. */
    void on_receipt(const node_id& keeper, const departure_receipt& receipt);

    /** Records the departures that an earlier process of this node had offered to another node. */
    void on_reminder(const departure_reminder& reminder);

    /** Returns whether announcements are used as they come. If not, the target has to prove that it runs. */
    bool trusts_target() const { return m_trust.is_established(); }

private:
    /** A departure that is not acknowledged yet. */
    struct waiting_departure {
        instant m_since;                           ///< When it was announced.
        std::optional<std::uint64_t> m_generation; ///< List that contains it; none before it is passed on.
        acknowledgement m_acknowledge;
    };

    void read();
    void on_read(const result<std::optional<table_row>>& row);
    void restore(const departure_list& departures);
    void receive(const target_announcement& announcement);
    void pass_held_on();
    void pass_on(const target_announcement& announcement);
    void hold(const target_announcement& announcement);
    void on_trust_established();
    void on_list_changed();
    void on_written(const departure_list& written);
    void on_write_failed(const std::string& reason);
    void offer();
    void sweep();
    void acknowledge_kept();
    void mark_row();
    /** Returns whether this process has recorded a departure. */
    bool has_changed() const { return m_changed_at != instant{}; }
    bool is_stored(std::uint64_t generation) const;
    bool is_held(std::uint64_t generation) const;
    duration retry_delay();

    storage& m_storage;
    std::string m_key; ///< Key of the row.
    random_source m_random;
    handlers m_receivers;
    departure_writer m_writer;
    bool m_is_holding = true;   ///< Whether announcements wait for the first read.
    bool m_was_read = false;    ///< Whether the row was read.
    announcement_trust m_trust; ///< Whether targets may be used.
    std::deque<target_announcement>
        m_held; ///< Announcements that wait for the read or for trust, oldest first.
    std::size_t m_asked_count = keeper_count; ///< Nodes that are asked to hold the departures.
    std::vector<waiting_departure> m_waiting;
    departure_list m_departures; ///< All that is known.
    /** Of m_departures; increases with each change. It begins at a random number, so that receipts of an
     * earlier process confirm nothing. */
    std::uint64_t m_generation;
    std::uint64_t m_written_generation;              ///< Contained in the table.
    instant m_changed_at{};                          ///< When m_departures changed last.
    std::map<node_id, departure_receipt> m_receipts; ///< Latest answer of each keeper.
    bool m_is_failing = false;                       ///< Whether the last read or write failed.
    timer m_read_timer;                              ///< Repeats a failed read.
    timer m_mark_timer;                              ///< Writes the row of a new node.
    timer m_offer_timer; ///< Repeats the offers while the table lacks a departure.
    timer m_sweep_timer; ///< Ends the waits in m_waiting.
};

} // namespace waxwing

#endif
