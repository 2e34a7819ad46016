/** @file quota_members_base.h Which nodes may own shards, in the view of one node. */
#ifndef WAXWING_POLICY_QUOTA_MEMBERS_BASE_H
#define WAXWING_POLICY_QUOTA_MEMBERS_BASE_H

#include "policy/quota_type.h"

#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/**
 * The counting members: all that have not left. A dead one stops counting after dead_duration in which more
 * than half of the counting members were alive. The node itself is always one, and alive. Thread safety:
 * none; one owner.
 */
class quota_members {
public:
    /** Time for which a dead member still counts. Longer than minority_duration, so that an owner that is cut
     * off grants nothing any more when another node takes its shard over. */
    static constexpr duration dead_duration = std::chrono::seconds(30);

    /** An owner may grant this long while at most half of the counting members are alive. */
    static constexpr duration minority_duration = std::chrono::seconds(20);

    /** Members that are recorded, at most. */
    static constexpr std::size_t max_members = 4096;

    explicit quota_members(node_id self);

    /** Records @p presence of @p node. @return whether it was added to the counting members or removed. */
    bool put(boot_instant now, const node_id& node, quota_presence presence);

    /** Removes dead members that no longer count. @return them. */
    std::vector<node_id> remove_dead(boot_instant now);

    /**
     * Records whether this node is probably cut off from most others. That counts like a lost majority: a
     * node that is cut off alone learns of each unreachable member only by its own probe, one a second, so
     * that in a large fleet it would see the majority as alive long after others took over its shards.
     */
    void set_isolated(boot_instant now, bool is_isolated);

    /** Counts the time of all dead members anew. What this node knows of them may be old if it was cut off or
     * did not run: they may have been alive for the others meanwhile, for which they still count. */
    void restart_dead(boot_instant now);

    /** Returns whether an owner may grant, as more than half of the counting members are alive or were so
     * recently. */
    bool may_grant(boot_instant now) const;

    /** Returns whether @p node counts. */
    bool counts(const node_id& node) const { return m_members.contains(node); }

    /** Returns whether @p node counts and is alive. */
    bool is_alive(const node_id& node) const;

    /** Returns the number of counting members. */
    std::size_t size() const { return m_members.size(); }

    /** Returns the counting members. */
    std::vector<node_id> nodes() const;

private:
    bool has_majority() const { return !m_isolated && m_alive * 2 > m_members.size(); }
    void update_majority(boot_instant now);

    node_id m_self;
    std::map<node_id, std::optional<boot_instant>> m_members; ///< With the time of death; none if alive.
    std::size_t m_alive = 1;
    bool m_isolated = false;
    std::optional<boot_instant> m_minority_since;
};

} // namespace waxwing

#endif
