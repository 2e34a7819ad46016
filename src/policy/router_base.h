/** @file router_base.h Load balancing over the targets of a service. */
#ifndef WAXWING_POLICY_ROUTER_BASE_H
#define WAXWING_POLICY_ROUTER_BASE_H

#include "policy/settings_type.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace waxwing {

/** A target that the router may choose. */
struct route_target {
    node_id m_node;                 ///< The node beside the target.
    service_name m_service;         ///< The service that it serves.
    data_centre_name m_data_centre; ///< The data centre that it is in.
    std::uint32_t m_slots = 1;      ///< Its size, in concurrent calls.
};

/** How an attempt ended. */
enum class route_result {
    succeeded, ///< The target answered.
    refused,   ///< Its node refused the attempt; the target is alive.
    failed     ///< The target, its node or the link failed.
};

/**
 * Chooses among the targets of each service: of two random targets, the one with the lower load. Thread
 * safety: none; one owner.
 */
class router {
public:
    router(const router_settings& settings, data_centre_name own_data_centre);
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    /** Applies @p settings; the state of the targets stays. */
    void configure(const router_settings& settings);

    /** Adds or changes a target that may receive attempts. */
    void put(instant now, const route_target& target);

    /** Removes the target beside @p node; its attempts in flight may still end. */
    void remove(const node_id& node);

    /** Chooses a target of @p service that is not in @p excluded; nullopt if there is none. */
    std::optional<node_id> pick(instant now, const service_name& service, std::span<const node_id> excluded,
                                random_source& random);

    /** Counts an attempt sent to @p node. */
    void on_sent(const node_id& node);

    /** Counts the end of an attempt; @p report is null if the answer carried none. */
    void on_end(instant now, const node_id& node, route_result end, const load_report* report);

    /** Returns whether any target serves @p service, including ejected ones. */
    bool serves(const service_name& service) const;

    /** Returns the nodes of all targets that may receive attempts. */
    std::vector<node_id> nodes() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
