/** @file announcement.cpp Ordering of the announcements of a target. */
#include "member/announcement_type.h"

#include <algorithm>
#include <utility>

namespace waxwing {

bool announcement_order::is_current(const target_announcement& announcement) const
{
    const bool same_incarnation =
        announcement.m_incarnation == m_incarnation || announcement.m_incarnation.m_value == 0;
    return m_known && announcement.m_instance == m_instance && same_incarnation;
}

/** Returns whether @p announcement is of a process that left before it was known. */
bool announcement_order::has_departed(const target_announcement& announcement) const
{
    return m_departures.covers({announcement.m_instance, announcement.m_incarnation});
}

announcement_result announcement_order::take(const target_announcement& announcement, wall_time now)
{
    const bool leaves = announcement.m_intent == target_intent::leave;
    const bool departs = announcement.m_intent != target_intent::serve;
    const bool is_dated = announcement.m_incarnation.m_value != 0;
    const bool is_from_other_writer = m_known && m_incarnation.m_value != 0 && !is_dated && !leaves;
    if (is_from_other_writer || (!leaves && has_departed(announcement))) {
        return announcement_result::stale;
    }
    if (is_current(announcement)) {
        if (m_left || (!leaves && announcement.m_sequence != 0 && announcement.m_sequence <= m_sequence)) {
            return announcement_result::stale;
        }
        m_sequence = std::max(m_sequence, announcement.m_sequence);
        m_left = leaves;
        return announcement_result::same;
    }
    const bool is_older = m_known && is_dated && !(m_incarnation < announcement.m_incarnation);
    if (is_older && !departs) {
        return announcement_result::stale;
    }
    if (is_older || (leaves && !is_dated)) {
        m_departures.add(departure_of(announcement, now));
        return announcement_result::other_left;
    }
    m_instance = announcement.m_instance;
    m_incarnation = announcement.m_incarnation;
    m_sequence = announcement.m_sequence;
    m_known = true;
    m_left = leaves;
    return leaves ? announcement_result::left : announcement_result::new_life;
}

target_departure announcement_order::departure(wall_time now) const
{
    return m_incarnation.m_value == 0 ? undated_departure(m_instance, now)
                                      : target_departure{m_instance, m_incarnation};
}

target_departure announcement_order::departure_of(const target_announcement& announcement,
                                                  wall_time now) const
{
    if (is_current(announcement)) {
        return departure(now);
    }
    return announcement.m_incarnation.m_value == 0
               ? undated_departure(announcement.m_instance, now)
               : target_departure{announcement.m_instance, announcement.m_incarnation};
}

bool announcement_order::restore(const target_departure& restored)
{
    const bool is_known_id = m_known && restored.m_instance == m_instance;
    if (restored.m_is_bound) {
        m_departures.add(restored);
        const bool leaves = is_known_id && !(restored.m_incarnation < m_incarnation) && !m_left;
        m_left = m_left || leaves;
        return leaves;
    }
    const bool is_undated = m_known && m_incarnation.m_value == 0;
    const bool is_older = m_known && !(m_incarnation < restored.m_incarnation);
    const bool is_known = is_known_id && restored.m_incarnation == m_incarnation;
    if (is_undated || (is_older && !is_known)) {
        return false;
    }
    m_instance = restored.m_instance;
    m_incarnation = restored.m_incarnation;
    m_left = true;
    return std::exchange(m_known, true);
}

} // namespace waxwing
