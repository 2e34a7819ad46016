/** @file membership_base.h Membership by probes and gossip (SWIM) with discovery through the platform's
 * table. */
#ifndef WAXWING_MEMBER_MEMBERSHIP_BASE_H
#define WAXWING_MEMBER_MEMBERSHIP_BASE_H

#include "member/member_type.h"

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

/** Times of the membership protocol. */
struct member_settings {
    duration m_probe_interval = std::chrono::seconds(1);       ///< Time between probes.
    duration m_probe_timeout = std::chrono::milliseconds(300); ///< Wait for an answer before indirect probes.
    duration m_suspicion_timeout = std::chrono::seconds(4);    ///< Time in which a suspect may refute.
    duration m_dead_retention = std::chrono::hours(2);         ///< Dead members are remembered for it.
    duration m_register_interval = std::chrono::seconds(30);   ///< Time between writes of the own row.
    duration m_discover_interval = std::chrono::seconds(60);   ///< Time between reads of the rows.
    unsigned m_indirect_probes = 3;                            ///< Members asked to probe on one's behalf.
    std::size_t m_member_capacity = 4096;                      ///< Members held at most.
};

/**
 * One node's view of the fleet. Thread safety: none needed; one owner.
 */
class membership {
public:
    /** @param self the own record, with an incarnation above that of any earlier life. */
    membership(const member_settings& settings, member_record self, std::uint64_t seed);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    /** Takes in a datagram. Total over hostile bytes. */
    void receive(instant now, const endpoint& from, std::string_view payload,
                 std::vector<member_action>& actions);

    /** Takes in rows (key, value) of the platform's table. */
    void add_registered(instant now, const std::vector<std::pair<std::string, std::string>>& rows,
                        std::vector<member_action>& actions);

    /** Does what is due. Call at next_tick. */
    void tick(instant now, std::vector<member_action>& actions);

    /** Gives the time at which tick has something to do. */
    instant next_tick() const;

    /** Tells peers of a change of the own target or of the revision in force. */
    void set_target(instant now, target_state target, const service_name& service, std::uint32_t slots,
                    std::vector<member_action>& actions);

    /** Tells peers which revision this node has in force. */
    void set_revision(instant now, revision in_force);

    /** Tells peers that this node leaves. */
    void leave(instant now, std::vector<member_action>& actions);

    /** Gives the own record. */
    const member_record& self() const;

    /** Finds the record of @p node; null where it is unknown. */
    const member_record* find(const node_id& node) const;

    /** Lists all members but this one, dead ones included. */
    std::vector<member_record> members() const;

    /** Tells whether half of the members of this node's view or more have become unreachable within seconds.
     */
    bool likely_isolated(instant now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
