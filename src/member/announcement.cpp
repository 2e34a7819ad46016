/** @file announcement.cpp The order of a target's announcements. */
#include "member/announcement_type.h"

#include <algorithm>

namespace waxwing {

bool announcement_order::is_current(const target_announcement& said) const
{
    const bool same_life = said.m_life == m_life || said.m_life.m_value == 0;
    return m_known && said.m_instance == m_instance && same_life;
}

announcement_news announcement_order::take(const target_announcement& said)
{
    if (is_current(said)) {
        const bool leaves = said.m_intent == target_intent::leave;
        if (m_left || (!leaves && said.m_order != 0 && said.m_order <= m_order)) {
            return announcement_news::stale;
        }
        m_order = std::max(m_order, said.m_order);
        m_left = leaves;
        return announcement_news::same;
    }
    const bool older = m_known && said.m_life.m_value != 0 && !(m_life < said.m_life);
    if (older || said.m_intent == target_intent::leave) {
        return announcement_news::stale;
    }
    m_instance = said.m_instance;
    m_life = said.m_life;
    m_order = said.m_order;
    m_known = true;
    m_left = false;
    return announcement_news::new_life;
}

} // namespace waxwing
