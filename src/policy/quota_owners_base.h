/** @file quota_owners_base.h Which nodes own the shards of an organisation. */
#ifndef WAXWING_POLICY_QUOTA_OWNERS_BASE_H
#define WAXWING_POLICY_QUOTA_OWNERS_BASE_H

#include "policy/quota_type.h"

#include <vector>

namespace waxwing {

/**
 * The owners of the shards of one organisation: the max_quota_shards nodes with the highest rendezvous hash
 * of organisation and node. The same nodes give the same owners, in whatever order they came. Thread safety:
 * none; one owner.
 */
class quota_owners {
public:
    explicit quota_owners(const organisation_name& organisation);

    /** Takes @p node into account. @return whether the owners have changed. */
    bool add(const node_id& node);

    /** Chooses anew among @p nodes, if @p removed was an owner. @return whether the owners have changed. */
    bool remove(const node_id& removed, const std::vector<node_id>& nodes);

    /** Returns the owners, highest hash first. */
    const std::vector<node_id>& nodes() const { return m_nodes; }

    /** Returns whether @p node is an owner. */
    bool owns(const node_id& node) const;

private:
    std::uint64_t rank_of(const node_id& node) const;

    std::uint64_t m_hash;
    std::vector<node_id> m_nodes;
    std::vector<std::uint64_t> m_ranks; ///< Of m_nodes.
};

} // namespace waxwing

#endif
