/** @file quota_base.h The quota of organisations over all nodes, as one node takes part in it. */
#ifndef WAXWING_POLICY_QUOTA_BASE_H
#define WAXWING_POLICY_QUOTA_BASE_H

#include "policy/quota_account_base.h"
#include "policy/quota_members_base.h"
#include "policy/quota_owners_base.h"
#include "policy/quota_shard_base.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace waxwing {

/** Sends a message of the topic `quota` to another node. */
struct quota_send {
    node_id m_node;        ///< The receiver.
    std::string m_payload; ///< At most the size of a control message.
};

/** Reports that an owner did not answer in time. */
struct quota_silence {
    node_id m_node; ///< The owner.
};

/** Action that a quota requests from its owner. */
using quota_action = std::variant<quota_send, quota_wake, quota_silence>;

/** Counters of a quota since its start. */
struct quota_counters {
    std::uint64_t m_granted = 0;    ///< Tokens that this node has granted as an owner.
    std::uint64_t m_unanswered = 0; ///< Requests of this node that no owner answered in time.
};

/** Limits by organisation; those without a limit are absent. */
using quota_limits = std::map<organisation_name, quota_limit>;

/**
 * Entry and owner of quotas on one node. Request path: take and give_back take the same time whatever the
 * number of members and organisations. Thread safety: none; one owner.
 */
class quota {
public:
    /** An owner grants nothing for this long after the start of its process. */
    static constexpr duration start_delay = std::chrono::seconds(1);

    /** The same for a node that knows no other one, from on_fleet_discovered on: it would own all shards in
     * its own view. */
    static constexpr duration lone_start_delay = std::chrono::seconds(3);

    /** An owner grants nothing for this long after it took over a shard while running. */
    static constexpr duration takeover_delay = std::chrono::seconds(2);

    /** A node that was not run for this long resets its shards: its members may have been replaced. */
    static constexpr duration freeze_duration = std::chrono::seconds(10);

    /** @param own_incarnation higher than that of any earlier process of @p self. @param now of the start. */
    quota(node_id self, incarnation own_incarnation, boot_instant now);

    /** Applies @p limits; organisations that are absent have none. */
    void configure(boot_instant now, const quota_limits& limits, std::vector<quota_action>& actions);

    /** Records a change of another node. */
    void on_member(boot_instant now, const node_id& node, quota_presence presence);

    /** Records that this node would know another one if there was any. Before that, a node that knows no
     * other one grants nothing: it may not have found the fleet yet. */
    void on_fleet_discovered(boot_instant now) { m_discovered_at = m_discovered_at.value_or(now); }

    /** Records whether this node is probably cut off from most others. */
    void on_isolation(boot_instant now, bool is_isolated);

    /** Decides on one request of @p organisation. @param waiter identifies it in a quota_wake. */
    quota_decision take(boot_instant now, const organisation_name& organisation, std::uint64_t waiter);

    /** Takes back the token of a request that has not run and will not. */
    void give_back(boot_instant now, const organisation_name& organisation, boot_instant expires_at);

    /** Handles a message of @p from. Safe on untrusted input. */
    void on_message(boot_instant now, const node_id& from, std::string_view payload,
                    std::vector<quota_action>& actions);

    /** Performs the work that is due. Call at next_tick. */
    void tick(boot_instant now, std::vector<quota_action>& actions);

    /** Returns when tick is due; boot_instant::max() if there is no limit, the past if at once. */
    boot_instant next_tick() const;

    const quota_counters& counters() const { return m_counters; }

private:
    /** One organisation with a limit. */
    struct organisation_state {
        organisation_state(const organisation_name& name, quota_limit limit) : m_limit(limit), m_owners(name)
        {
        }

        quota_limit m_limit;                ///< Over all nodes.
        quota_owners m_owners;              ///< Owners of its shards.
        std::optional<quota_shard> m_shard; ///< If this node is an owner.
        quota_account m_account;            ///< Tokens of this entry.
        bool m_pending = false;             ///< Whether it is in m_pending.
    };

    /** Request to one owner that the present tick collects. */
    struct outgoing_request {
        quota_request m_request; ///< The request.
        std::size_t m_bytes = 0; ///< Its encoded size, at most.
    };

    /** Last request of an entry. */
    struct entry_state {
        incarnation m_incarnation;  ///< Its process.
        std::uint64_t m_number = 0; ///< The number of the request.
    };

    void update_shard(boot_instant begin, organisation_state& organisation, std::size_t old_shards);
    void reset_shards(boot_instant begin);
    void add_node(boot_instant now, const node_id& node);
    void remove_node(boot_instant now, const node_id& node);
    void check_members(boot_instant now);
    bool may_grant(boot_instant now) const;
    bool is_newer(const node_id& from, const quota_request& request);
    quota_answer_item grant(boot_instant now, const node_id& from, std::uint64_t number,
                            const quota_request_item& item);
    void on_request(boot_instant now, const node_id& from, const quota_request& request,
                    std::vector<quota_action>& actions);
    void on_answer(boot_instant now, const node_id& from, const quota_answer& answer);
    void mark_pending(const organisation_name& name, organisation_state& organisation);
    void step(boot_instant now, const organisation_name& name, organisation_state& organisation,
              std::vector<quota_action>& actions);
    std::vector<quota_candidate> candidates(boot_instant now, const organisation_state& organisation) const;
    std::uint64_t add_outgoing(const quota_ask& ask, const organisation_name& name,
                               std::vector<quota_action>& actions);
    void flush(std::vector<quota_action>& actions);

    node_id m_self;
    incarnation m_incarnation;
    boot_instant m_started_at;
    boot_instant m_ticked_at;
    std::optional<boot_instant> m_discovered_at; ///< When this node had found all others.
    quota_members m_members;
    bool m_may_grant = true;
    std::unordered_map<organisation_name, organisation_state> m_organisations;
    std::vector<organisation_name> m_pending;                        ///< To be handled by the next tick.
    std::set<std::pair<boot_instant, organisation_name>> m_timeouts; ///< Ends of waits for answers.
    std::unordered_map<node_id, entry_state> m_entries;
    std::unordered_map<node_id, boot_instant> m_silent_until; ///< Owners that have not answered.
    std::map<node_id, outgoing_request> m_outgoing;           ///< Requests collected by the present tick.
    std::uint64_t m_last_number = 0;
    boot_instant m_next_check;
    quota_counters m_counters;
};

} // namespace waxwing

#endif
