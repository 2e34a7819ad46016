/** @file announcement.cpp The order of a target's announcements. */
#include "member/announcement_type.h"

#include <algorithm>

namespace waxwing {

bool announcement_order::is_current(const target_announcement& said) const
{
    const bool same_life = said.m_incarnation == m_incarnation || said.m_incarnation.m_value == 0;
    return m_known && said.m_instance == m_instance && same_life;
}

announcement_result announcement_order::take(const target_announcement& said)
{
    if (is_current(said)) {
        const bool leaves = said.m_intent == target_intent::leave;
        if (m_left || (!leaves && said.m_sequence != 0 && said.m_sequence <= m_sequence)) {
            return announcement_result::stale;
        }
        m_sequence = std::max(m_sequence, said.m_sequence);
        m_left = leaves;
        return announcement_result::same;
    }
    const bool older = m_known && said.m_incarnation.m_value != 0 && !(m_incarnation < said.m_incarnation);
    if (older || said.m_intent == target_intent::leave) {
        return announcement_result::stale;
    }
    m_instance = said.m_instance;
    m_incarnation = said.m_incarnation;
    m_sequence = said.m_sequence;
    m_known = true;
    m_left = false;
    return announcement_result::new_life;
}

} // namespace waxwing
