/** @file announcement_streak.cpp Whether the announcements of one incarnation of a target go on. */
#include "member/announcement_streak_base.h"

namespace waxwing {

bool announcement_streak::extend(instant now, const target_announcement& announcement)
{
    if (announcement.m_incarnation < m_incarnation) {
        return false;
    }
    const bool is_same = announcement.m_instance == m_instance && announcement.m_incarnation == m_incarnation;
    if (m_count == 0 || !is_same) {
        m_instance = announcement.m_instance;
        m_incarnation = announcement.m_incarnation;
        m_last_sequence = announcement.m_sequence;
        m_first_at = now;
        m_last_at = now;
        m_count = 1;
    }
    else if (m_last_sequence < announcement.m_sequence) {
        m_last_sequence = announcement.m_sequence;
        m_last_at = now;
        ++m_count;
    }
    return m_count >= min_announcements && m_last_at - m_first_at >= min_duration;
}

} // namespace waxwing
