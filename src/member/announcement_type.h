/** @file announcement_type.h Announcements of targets, and the rule that decides which of them is the newest.
 */
#ifndef WAXWING_MEMBER_ANNOUNCEMENT_TYPE_H
#define WAXWING_MEMBER_ANNOUNCEMENT_TYPE_H

#include "member/departure_type.h"

#include <string>

namespace waxwing {

/** Readiness that a target announces. */
enum class target_intent {
    serve, ///< Accepts calls.
    drain, ///< Finishes its calls and accepts no new ones.
    leave  ///< Has stopped, or stops without a drain.
};

/** Announcement that a target sends to the node beside it. */
struct target_announcement {
    service_name m_service;                        ///< Service that it provides.
    endpoint m_address;                            ///< Address on which it listens.
    std::uint32_t m_slots = 1;                     ///< Calls that it can run concurrently.
    std::uint32_t m_connections = 0;               ///< Connections that it accepts; 0 if unknown.
    std::string m_instance;                        ///< Id of the running process; empty if not announced.
    incarnation m_incarnation;                     ///< Start time of that process; zero if not announced.
    std::uint64_t m_sequence = 0;                  ///< Increases with each announcement of one incarnation.
    target_intent m_intent = target_intent::serve; ///< Whether it accepts calls.
    bool m_is_redirected = false;   ///< Whether it arrived where only this process has asked for it.
    duration m_warm_up_remaining{}; ///< Remaining time for which it is slow after its start.
};

/** How an announcement relates to the earlier ones. */
enum class announcement_result {
    stale,     ///< Superseded by an earlier received one, or its incarnation has left.
    same,      ///< A newer announcement of the known incarnation.
    new_life,  ///< The target has restarted.
    left,      ///< An incarnation that was not known has left; it supersedes the known one.
    other_left ///< A process other than the known one has left; its own announcements are stale.
};

/**
 * Orders the announcements of the one target beside a node. A later incarnation supersedes an earlier one,
 * and within an incarnation the higher sequence number wins. Announcements may arrive late and in any order.
 * One without a start time comes from another writer if the known incarnation has announced its own, unless
 * it is a departure, which need not contain it. Thread safety: none needed; one owner.
 */
class announcement_order {
public:
    /** Records @p announcement, which arrived at @p now. @return how it relates to the earlier announcements.
     */
    announcement_result take(const target_announcement& announcement, wall_time now);

    /** Records a departure that an earlier process of the node acknowledged, unless a later incarnation or
     * one without a start time is known. @return whether the known incarnation has left thereby. */
    bool restore(const target_departure& restored);

    /** Returns whether @p announcement belongs to the known incarnation. */
    bool is_current(const target_announcement& announcement) const;

    /** Returns the departure that the known incarnation has when it drains or leaves at @p now. */
    target_departure departure(wall_time now) const;

    /** Returns the departure to record for @p announcement, which does not serve and arrived at @p now. */
    target_departure departure_of(const target_announcement& announcement, wall_time now) const;

private:
    bool has_departed(const target_announcement& announcement) const;

    departure_list m_departures;  ///< Of processes that were not known when they left.
    std::string m_instance;       ///< Instance id of the newest incarnation.
    incarnation m_incarnation;    ///< Newest incarnation.
    std::uint64_t m_sequence = 0; ///< Highest sequence number of that incarnation.
    bool m_known = false;         ///< Whether any target has announced itself.
    bool m_left = false;          ///< Whether that incarnation has left.
};

} // namespace waxwing

#endif
