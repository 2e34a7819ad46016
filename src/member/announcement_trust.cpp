/** @file announcement_trust.cpp Whether a new process may use what the target beside it announces. */
#include "member/announcement_trust_base.h"

#include <algorithm>

namespace waxwing {

void announcement_trust::on_first_read(bool is_present, std::optional<std::uint64_t> era)
{
    m_was_read = true;
    m_era = era;
    m_is_established = m_is_established || !is_present;
    update();
}

/** Only nodes that were running for max_announcement_delay before this process count: they were there when
 * any departure was acknowledged whose target may still seem to announce itself. */
void announcement_trust::on_keeper_memory(instant now, const keeper_memory& memory)
{
    if (memory.m_age >= now - m_started_at + max_announcement_delay) {
        m_memories.push_back(memory);
        update();
    }
}

/** Establishes trust once the row was read and a node has told what it holds. One that knows another era of
 * the store than that in which the row was read does not count: the store may have lost the row. */
void announcement_trust::update()
{
    const bool is_complete =
        m_was_read && std::any_of(m_memories.begin(), m_memories.end(),
                                  [this](const keeper_memory& memory) { return memory.m_era == m_era; });
    m_is_established = m_is_established || is_complete;
}

/** Returns whether the target of @p announcement has started when the earlier process had ended. */
bool announcement_trust::is_newborn(const target_announcement& announcement) const
{
    const auto started_at_ms = m_started_at_wall.time_since_epoch().count();
    const auto born_at_ms = static_cast<std::int64_t>(announcement.m_incarnation.m_value);
    return born_at_ms >= started_at_ms - to_milliseconds(min_life);
}

bool announcement_trust::take(instant now, const target_announcement& announcement)
{
    const bool goes_on = m_streak.extend(now, announcement);
    m_is_established = m_is_established || announcement.m_is_redirected || is_newborn(announcement) ||
                       (goes_on && now - m_started_at >= max_announcement_delay);
    return m_is_established;
}

} // namespace waxwing
