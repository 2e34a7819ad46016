/** @file quota_owners.cpp Choice of owners by rendezvous hashing. */
#include "policy/quota_owners_base.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace waxwing {

quota_owners::quota_owners(const organisation_name& organisation)
    : m_hash(XXH3_64bits(organisation.m_value.data(), organisation.m_value.size()))
{
}

bool quota_owners::add(const node_id& node)
{
    if (owns(node)) {
        return false;
    }
    const std::uint64_t rank = rank_of(node);
    std::size_t place = m_nodes.size();
    while (place > 0 && std::tie(m_ranks[place - 1], m_nodes[place - 1]) < std::tie(rank, node)) {
        --place;
    }
    if (place == max_quota_shards) {
        return false;
    }
    m_nodes.insert(m_nodes.begin() + static_cast<std::ptrdiff_t>(place), node);
    m_ranks.insert(m_ranks.begin() + static_cast<std::ptrdiff_t>(place), rank);
    m_nodes.resize(std::min(m_nodes.size(), max_quota_shards));
    m_ranks.resize(m_nodes.size());
    return true;
}

bool quota_owners::remove(const node_id& removed, const std::vector<node_id>& nodes)
{
    if (!owns(removed)) {
        return false;
    }
    m_nodes.clear();
    m_ranks.clear();
    for (const node_id& node : nodes) {
        add(node);
    }
    return true;
}

bool quota_owners::owns(const node_id& node) const
{
    return std::find(m_nodes.begin(), m_nodes.end(), node) != m_nodes.end();
}

std::uint64_t quota_owners::rank_of(const node_id& node) const
{
    return XXH3_64bits_withSeed(node.m_value.data(), node.m_value.size(), m_hash);
}

} // namespace waxwing
