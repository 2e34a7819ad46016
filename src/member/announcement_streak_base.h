/** @file announcement_streak_base.h Whether the announcements of one incarnation of a target go on. */
#ifndef WAXWING_MEMBER_ANNOUNCEMENT_STREAK_BASE_H
#define WAXWING_MEMBER_ANNOUNCEMENT_STREAK_BASE_H

#include "member/announcement_type.h"

namespace waxwing {

/**
 * Tells the announcements of a running target from late ones of a target that has left: only a running one
 * goes on announcing itself. Thread safety: none needed; one owner.
 */
class announcement_streak {
public:
    static constexpr unsigned min_announcements = 3;                          ///< Of one incarnation.
    static constexpr duration min_duration = std::chrono::milliseconds(2500); ///< From the first to the last.

    /** Records @p announcement. One with a sequence number that is not higher than that of the last one, or
     * of an earlier incarnation, does not count.
     * @return whether the incarnation has announced itself often enough and for long enough. */
    bool extend(instant now, const target_announcement& announcement);

private:
    std::string m_instance;
    incarnation m_incarnation;
    std::uint64_t m_last_sequence = 0;
    instant m_first_at{};
    instant m_last_at{};
    unsigned m_count = 0;
};

} // namespace waxwing

#endif
