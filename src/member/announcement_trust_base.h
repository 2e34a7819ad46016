/** @file announcement_trust_base.h Whether a new process may use what the target beside it announces. */
#ifndef WAXWING_MEMBER_ANNOUNCEMENT_TRUST_BASE_H
#define WAXWING_MEMBER_ANNOUNCEMENT_TRUST_BASE_H

#include "member/announcement_streak_base.h"
#include "member/departure_type.h"

#include <optional>
#include <vector>

namespace waxwing {

/**
 * Decides whether a new process of a node may use the target that announces itself. An earlier process may
 * have acknowledged that the target leaves, and an announcement that was sent before may arrive late. The
 * process knows all such departures if the platform's table shows that there was no earlier process, or if it
 * has read the table and a node that holds what the table lacks has been running for long. A target that
 * started with this process cannot have left before. Any other one has to prove that it still announces
 * itself: at an address that only this process has named, or for longer than announcements are delayed.
 * Thread safety: none needed; one owner.
 */
class announcement_trust {
public:
    /** Longest delay of an announcement, from its being sent to its arrival. */
    static constexpr duration max_announcement_delay = std::chrono::seconds(10);

    /** A target that started at most this long before the process cannot have left with an earlier one. */
    static constexpr duration min_life = std::chrono::milliseconds(500);

    /** @param started_at when this process started. @param started_at_wall the same by the clock of the
     * machine, which targets use as well. */
    announcement_trust(instant started_at, wall_time started_at_wall)
        : m_started_at(started_at), m_started_at_wall(started_at_wall)
    {
    }

    /** Records that the row with the departures was read for the first time. @param is_present whether an
     * earlier process of the node has written it. @param era era of the store that the answer named. */
    void on_first_read(bool is_present, std::optional<std::uint64_t> era);

    /** Records what a node that holds departures of this one has told about its memory at @p now. */
    void on_keeper_memory(instant now, const keeper_memory& memory);

    /** Records @p announcement, which has arrived at @p now. @return whether the target may be used. */
    bool take(instant now, const target_announcement& announcement);

    /** Returns whether targets may be used from now on. */
    bool is_established() const { return m_is_established; }

private:
    void update();
    bool is_newborn(const target_announcement& announcement) const;

    instant m_started_at;
    wall_time m_started_at_wall;
    bool m_is_established = false;
    bool m_was_read = false;               ///< Whether the row was read.
    std::optional<std::uint64_t> m_era;    ///< Era in which it was read.
    std::vector<keeper_memory> m_memories; ///< Of nodes that were running long before this process.
    announcement_streak m_streak;
};

} // namespace waxwing

#endif
