/** @file membership_base.h Membership by probes and gossip (SWIM), with discovery through the platform's
 * table. */
#ifndef WAXWING_MEMBER_MEMBERSHIP_BASE_H
#define WAXWING_MEMBER_MEMBERSHIP_BASE_H

#include "member/member_type.h"

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

/** Intervals, timeouts and limits of the membership protocol. */
struct member_settings {
    duration m_probe_interval = std::chrono::seconds(1);       ///< Interval between probes.
    duration m_probe_timeout = std::chrono::milliseconds(300); ///< Wait for an ack before indirect probes.
    duration m_suspicion_timeout = std::chrono::seconds(4);    ///< Time for a suspect to refute.
    duration m_dead_retention = std::chrono::hours(2); ///< Time for which dead and left members are kept.
    /** Interval between writes of the own row, which restore it if another node deleted it. */
    duration m_register_interval = std::chrono::minutes(10);
    duration m_register_retry_interval = std::chrono::seconds(5); ///< Delay after a write that failed.
    /** Interval in which m_discover_readers nodes of the whole fleet read all rows. */
    duration m_discover_interval = std::chrono::seconds(60);
    unsigned m_discover_readers = 4;      ///< Mean number of nodes that read all rows in each interval.
    unsigned m_indirect_probes = 3;       ///< Members asked to probe on behalf of this node.
    std::size_t m_member_capacity = 4096; ///< Maximum number of known members.
    duration m_join_timeout = std::chrono::seconds(3); ///< Wait for other members once the rows are read.
};

/**
 * The membership protocol of one node, and its view of the fleet. It performs no I/O: the caller executes the
 * actions that it returns. Thread safety: none needed; one owner.
 */
class membership {
public:
    /** @param self record of this node; its incarnation must be higher than that of any earlier process. */
    membership(const member_settings& settings, member_record self, std::uint64_t seed);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    /** Handles a datagram. Safe on untrusted input. */
    void receive(instant now, const endpoint& from, std::string_view payload,
                 std::vector<member_action>& actions);

    /** Handles the outcome of writing the own row. */
    void on_registered(instant now, bool is_written);

    /** Writes the own row again soon, as the platform has restored the table from an older copy. */
    void on_table_restored(instant now);

    /** Records that the platform's table responds again after a failure. */
    void on_table_available(instant now);

    /** Records that the registration rows could not be read. */
    void on_discovery_failed(instant now);

    /** Merges registration rows (key, value) of the platform's table, and deletes those of members that have
     * been dead for long. @pre @p rows are all rows. */
    void add_registered(instant now, const std::vector<std::pair<std::string, std::string>>& rows,
                        std::vector<member_action>& actions);

    /** Performs the work that is due. Call at next_tick. */
    void tick(instant now, std::vector<member_action>& actions);

    /** Returns the time of the next call to tick. */
    instant next_tick() const;

    /** Announces a change of the node's target to peers. */
    void set_target(instant now, target_state target, const service_name& service, std::uint32_t slots,
                    std::vector<member_action>& actions);

    /** Records the revision in force and tells it to peers. A lower revision is ignored. */
    void set_revision(instant now, revision in_force, std::vector<member_action>& actions);

    /** Records that the platform's table has answered nodes that watch it, which is told to peers. */
    void add_table_contacts(const table_contacts& contacts);

    /** Returns the latest contacts of all nodes with the platform's table, as far as this node knows. */
    const table_contacts& contacts() const;

    /** Announces to peers that this node leaves, and deletes its row. */
    void leave(instant now, std::vector<member_action>& actions);

    /** Returns the record of this node. */
    const member_record& self() const;

    /** Returns the record of @p node, or null if it is unknown. */
    const member_record* find(const node_id& node) const;

    /** Returns the records of all other members, including dead ones. */
    std::vector<member_record> members() const;

    /** Returns whether this node has found the fleet since its start: another member has contacted it or, for
     * join_timeout after all rows were read, none that they name has answered. Before that, what it knows
     * says nothing about the other nodes. */
    bool has_joined(instant now) const;

    /** Returns whether all rows have been read since the own one was written: any other node that has read
     * them since then knows this one, and one that had not has a row that this node has read. */
    bool is_discoverable() const;

    /** Returns whether this node is probably cut off: at least half of the alive members became suspect
     * within seconds, or most of the last probes failed. Stays true until most known members are alive again.
     */
    bool likely_isolated(instant now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
