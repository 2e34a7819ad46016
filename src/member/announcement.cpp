/** @file announcement.cpp Ordering of the announcements of a target. */
#include "member/announcement_type.h"

#include <algorithm>

namespace waxwing {

bool announcement_order::is_current(const target_announcement& announcement) const
{
    const bool same_incarnation =
        announcement.m_incarnation == m_incarnation || announcement.m_incarnation.m_value == 0;
    return m_known && announcement.m_instance == m_instance && same_incarnation;
}

announcement_result announcement_order::take(const target_announcement& announcement)
{
    if (is_current(announcement)) {
        const bool leaves = announcement.m_intent == target_intent::leave;
        if (m_left || (!leaves && announcement.m_sequence != 0 && announcement.m_sequence <= m_sequence)) {
            return announcement_result::stale;
        }
        m_sequence = std::max(m_sequence, announcement.m_sequence);
        m_left = leaves;
        return announcement_result::same;
    }
    const bool older =
        m_known && announcement.m_incarnation.m_value != 0 && !(m_incarnation < announcement.m_incarnation);
    if (older || announcement.m_intent == target_intent::leave) {
        return announcement_result::stale;
    }
    m_instance = announcement.m_instance;
    m_incarnation = announcement.m_incarnation;
    m_sequence = announcement.m_sequence;
    m_known = true;
    m_left = false;
    return announcement_result::new_life;
}

} // namespace waxwing
