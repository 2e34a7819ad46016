/** @file subset.cpp Selection of targets by rendezvous hashing. */
#include "policy/subset_func.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace waxwing {

namespace {

/** A candidate and its rank at one node. */
struct ranked_target {
    bool m_self;                  ///< Whether it is the node's own target.
    bool m_near;                  ///< Whether it is in the own data centre.
    std::uint64_t m_rank;         ///< Greater ranks first.
    const route_target* m_target; ///< The candidate.
};

/** Returns the rendezvous hash of @p self and @p other. */
std::uint64_t rank_of(const node_id& self, const node_id& other)
{
    const std::string text = self.m_value + '\n' + other.m_value;
    return XXH3_64bits(text.data(), text.size());
}

/** Returns whether @p a ranks before @p b. @pre Both are in the own data centre, or both in others. */
bool ranks_before(const ranked_target& a, const ranked_target& b)
{
    if (a.m_self != b.m_self) {
        return a.m_self;
    }
    return a.m_rank > b.m_rank;
}

} // namespace

bool is_among_nearest(const node_id& self, const node_id& node, const std::vector<node_id>& others,
                      std::size_t count)
{
    const std::uint64_t own = rank_of(node, self);
    const auto nearer = std::count_if(others.begin(), others.end(),
                                      [&](const node_id& other) { return rank_of(node, other) > own; });
    return static_cast<std::size_t>(nearer) < count;
}

std::vector<node_id> nearest_nodes(const node_id& node, std::vector<node_id> others, std::size_t count)
{
    const std::size_t size = std::min(count, others.size());
    std::partial_sort(
        others.begin(), others.begin() + static_cast<std::ptrdiff_t>(size), others.end(),
        [&](const node_id& a, const node_id& b) { return rank_of(node, a) > rank_of(node, b); });
    others.resize(size);
    return others;
}

std::vector<route_target> choose_subset(const node_id& self, const data_centre_name& own_data_centre,
                                        const std::vector<route_target>& candidates)
{
    std::vector<ranked_target> near;
    std::vector<ranked_target> far;
    for (const route_target& candidate : candidates) {
        const bool is_near = candidate.m_data_centre == own_data_centre;
        (is_near ? near : far)
            .push_back({candidate.m_node == self, is_near, rank_of(self, candidate.m_node), &candidate});
    }
    std::sort(near.begin(), near.end(), ranks_before);
    std::sort(far.begin(), far.end(), ranks_before);
    const std::size_t max_far = max_subset_size - std::min(near.size(), max_subset_own);
    const std::size_t far_count = std::min(far.size(), max_far);
    const std::size_t near_count = std::min(near.size(), max_subset_size - far_count);
    std::vector<route_target> chosen;
    for (std::size_t index = 0; index < near_count; ++index) {
        chosen.push_back(*near[index].m_target);
    }
    for (std::size_t index = 0; index < far_count; ++index) {
        chosen.push_back(*far[index].m_target);
    }
    return chosen;
}

} // namespace waxwing
