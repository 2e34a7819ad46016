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

announcement_result announcement_order::take(const target_announcement& announcement)
{
    const bool leaves = announcement.m_intent == target_intent::leave;
    const bool is_dated = announcement.m_incarnation.m_value != 0;
    if (m_known && m_incarnation.m_value != 0 && !is_dated && !leaves) {
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
    const bool older = m_known && is_dated && !(m_incarnation < announcement.m_incarnation);
    if (older || (leaves && !is_dated)) {
        return announcement_result::stale;
    }
    m_instance = announcement.m_instance;
    m_incarnation = announcement.m_incarnation;
    m_sequence = announcement.m_sequence;
    m_known = true;
    m_left = leaves;
    return leaves ? announcement_result::left : announcement_result::new_life;
}

bool announcement_order::restore(const target_departure& restored)
{
    const bool is_undated = m_known && m_incarnation.m_value == 0;
    const bool is_older = m_known && !(m_incarnation < restored.m_incarnation);
    if (is_undated || (is_older && restored != departure())) {
        return false;
    }
    m_instance = restored.m_instance;
    m_incarnation = restored.m_incarnation;
    m_left = true;
    return std::exchange(m_known, true);
}

} // namespace waxwing
