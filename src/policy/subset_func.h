/** @file subset_func.h Selection of the subset of targets that one node uses. */
#ifndef WAXWING_POLICY_SUBSET_FUNC_H
#define WAXWING_POLICY_SUBSET_FUNC_H

#include "policy/router_base.h"

#include <vector>

namespace waxwing {

/** Targets of one service that one node uses, at most. */
inline constexpr std::size_t max_subset_size = 12;

/** Targets of the own data centre among them, at most, while other data centres can fill the rest. */
inline constexpr std::size_t max_subset_own = 8;

/**
 * Chooses which of @p candidates, all of one service, the node @p self uses: its own target, most of the
 * others from its own data centre, and the rest from other ones. Uses rendezvous hashing, so that a change of
 * one candidate changes at most one member of the subset. Thread safety: pure.
 */
std::vector<route_target> choose_subset(const node_id& self, const data_centre_name& own_data_centre,
                                        const std::vector<route_target>& candidates);

/**
 * Returns whether @p self is among the @p count nodes of @p others, which include it, that rendezvous hashing
 * ranks nearest to @p node. Thread safety: pure.
 */
bool is_among_nearest(const node_id& self, const node_id& node, const std::vector<node_id>& others,
                      std::size_t count);

/**
 * Returns the @p count nodes of @p others that rendezvous hashing ranks nearest to @p node, nearest first;
 * all if there are fewer. Thread safety: pure.
 */
std::vector<node_id> nearest_nodes(const node_id& node, std::vector<node_id> others, std::size_t count);

} // namespace waxwing

#endif
