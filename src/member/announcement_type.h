/** @file announcement_type.h What targets say of themselves, and which of their words are the newest. */
#ifndef WAXWING_MEMBER_ANNOUNCEMENT_TYPE_H
#define WAXWING_MEMBER_ANNOUNCEMENT_TYPE_H

#include "base/base.h"

#include <string>

namespace waxwing {

/** What a target says of its readiness. */
enum class target_intent {
    serve, ///< Takes work.
    drain, ///< Finishes its work and takes none.
    leave  ///< Has left, or leaves without a drain.
};

/** What a target says of itself. */
struct target_announcement {
    service_name m_service;                        ///< What it serves.
    endpoint m_address;                            ///< Where it listens.
    std::uint32_t m_slots = 1;                     ///< Calls that it can run at once.
    std::uint32_t m_connections = 0;               ///< Connections that it accepts; 0 is unknown.
    std::string m_instance;                        ///< Id of its present life; empty where it gives none.
    incarnation m_incarnation;                     ///< When that life began; zero where it does not say.
    std::uint64_t m_sequence = 0;                  ///< Grows with each announcement of one life.
    target_intent m_intent = target_intent::serve; ///< Whether it takes work.
    duration m_warm_up_remaining{};                ///< Time for which it will still be slow after its start.
};

/** What an announcement means beside those before it. */
enum class announcement_result {
    stale,   ///< A newer one came before it, or its life has left.
    same,    ///< A newer word of the life that is known.
    new_life ///< The target has started anew.
};

/**
 * Orders the announcements of the one target beside a node: a later life goes before an earlier one, and
 * within a life a later word before an earlier one. Announcements may come late and in any order. Thread
 * safety: none needed; one owner.
 */
class announcement_order {
public:
    /** Takes in @p said. @return what it means. */
    announcement_result take(const target_announcement& said);

    /** Tells whether @p said speaks of the life that is known. */
    bool is_current(const target_announcement& said) const;

private:
    std::string m_instance;       ///< Of the newest life.
    incarnation m_incarnation;    ///< Of the newest life.
    std::uint64_t m_sequence = 0; ///< Of its newest announcement.
    bool m_known = false;         ///< Whether any target has announced itself.
    bool m_left = false;          ///< Whether the newest life has left.
};

} // namespace waxwing

#endif
