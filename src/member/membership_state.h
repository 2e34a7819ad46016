/** @file membership_state.h Internal state of membership. */
#ifndef WAXWING_MEMBER_MEMBERSHIP_STATE_H
#define WAXWING_MEMBER_MEMBERSHIP_STATE_H

#include "member/gossip_codec_func.h"
#include "member/member_table_base.h"
#include "member/membership_base.h"

#include <deque>
#include <optional>

namespace waxwing {

/** Probe that has not been answered. All times are active time. */
struct pending_probe {
    std::uint64_t m_sequence = 0; ///< Identifies it in acks.
    node_id m_node;               ///< Probed node.
    incarnation m_incarnation;    ///< Probed incarnation.
    instant m_indirect_at{};      ///< When to ask helpers.
    instant m_deadline{};         ///< When the probe counts as failed.
    bool m_indirect = false;      ///< Whether helpers have been asked.
};

/** Probe on behalf of another node. */
struct relayed_probe {
    std::uint64_t m_sequence = 0;           ///< Sequence number of this node's ping.
    endpoint m_requester;                   ///< Node that requested the probe.
    std::uint64_t m_requester_sequence = 0; ///< Sequence number in that request.
    node_id m_node;                         ///< Probed node.
    incarnation m_incarnation;              ///< Probed incarnation.
};

/** Deadline that applies to one version of one member. */
struct member_deadline {
    instant m_at{};              ///< Due time.
    node_id m_node;              ///< Member.
    incarnation m_incarnation;   ///< Incarnation of the member.
    std::uint64_t m_version = 0; ///< Version of the member.
};

/** How a change reached this node, which decides how it is forwarded. */
enum class gossip_source {
    local,     ///< Detected by this node: a failed probe or an expired suspicion.
    direct,    ///< Received from the member itself.
    piggyback, ///< Piggybacked on another message, such as a ping or ack.
    rumour,    ///< Received as an urgent change from another member.
    page,      ///< Received in the answer to a pull.
    row        ///< Read from the platform's table.
};

/** How fast a change must reach all members. */
enum class urgency {
    none,   ///< Piggybacked on pings and acks only.
    normal, ///< Sent immediately while the rumour budget is above its reserve.
    high    ///< Sent immediately while any rumour budget is left: calls must no longer go to the member.
};

/**
 * State and operations of membership. Active time is the current time minus all pauses of this process, so
 * that a pause shifts every deadline without visiting each of them.
 */
struct membership::state {
    using actions = std::vector<member_action>;

    member_settings m_settings;
    member_record m_self;
    random_source m_random;
    member_table m_table;
    table_contacts m_contacts; ///< Latest contacts of all nodes; not in active time.

    bool m_started = false;
    duration m_paused{};           ///< Sum of all pauses of this process.
    unsigned m_health_penalty = 0; ///< Zero is healthy; increases with failed probes and pauses (Lifeguard).
    std::uint64_t m_sequence;      ///< Sequence number of the last probe.
    instant m_next_probe{};
    instant m_next_dead_probe{};
    instant m_next_pull{};
    instant m_next_register{};
    instant m_next_discover{};
    instant m_rumour_at = instant::max(); ///< When to send the collected rumours.
    instant m_leave_at = instant::max();  ///< When to repeat the leave message.
    unsigned m_leave_repeats = 0;
    instant m_last_pull_at{};
    bool m_is_registered = false;         ///< Whether the own row was written since the start.
    bool m_is_discovery_complete = false; ///< Whether the last discovery began after that.
    bool m_is_discoverable = false;       ///< Whether such a discovery has succeeded.
    bool m_was_contacted = false;         ///< Whether another member has sent a message since the start.
    std::optional<instant> m_listed_at;   ///< When all rows were read for the first time.
    bool m_pull_had_updates = false;      ///< Whether the last pull returned new information.
    /** Since when all received digests have differed from the local one. */
    instant m_differs_since = instant::max();

    std::vector<pending_probe> m_probes;
    std::deque<relayed_probe> m_relays;
    std::deque<member_deadline> m_suspicions; ///< Sorted by time, as the suspicion timeout is constant.
    std::deque<member_deadline> m_removals;   ///< Removal of dead and left members; sorted likewise.
    std::deque<node_id> m_queue;              ///< Changes to piggyback, newest first.
    std::deque<node_id> m_notes;              ///< Revisions to piggyback.
    std::vector<node_id> m_rumours;           ///< Members with urgent changes that have not been sent.
    bool m_self_rumour = false;               ///< Whether this node's record is to be sent as well.
    urgency m_rumour_urgency = urgency::none; ///< Highest urgency among them.
    double m_rumour_budget_bytes = 0;         ///< Bytes left in the rumour budget.
    instant m_rumour_refilled_at{};           ///< When the budget was last refilled.

    std::deque<member_deadline> m_losses; ///< Recent changes from alive to suspect, by time.
    std::size_t m_recent_losses = 0;      ///< Number of them that have not recovered.
    std::uint32_t m_probe_results = 0;    ///< One bit per probe, newest in the lowest bit; set if it failed.
    bool m_isolated = false;

    state(const member_settings& settings, member_record self, std::uint64_t seed);

    // Timers (membership_timer.cpp).
    instant observe(instant now, actions& out);
    instant next_deadline() const;
    void run(instant active_now, actions& out);
    duration jittered(duration interval);
    void register_row(instant active_now, actions& out);
    void register_soon(instant active_now);
    duration retry_interval() const;
    void discover(instant active_now, actions& out);
    void expire_removals(instant active_now);
    void repeat_leave(instant active_now, actions& out);

    // Probes (membership_probe.cpp).
    void probe_next(instant active_now, actions& out);
    void probe_dead(actions& out);
    void check_probes(instant active_now, actions& out);
    void ask_helpers(pending_probe& probe, actions& out);
    void record_probe_result(bool failed);
    void expire_suspicions(instant active_now, actions& out);
    void on_ping(instant active_now, const endpoint& from, const gossip_message& message, actions& out);
    void on_ack(const gossip_message& message, actions& out);
    void on_ping_request(const endpoint& from, const gossip_message& message, actions& out);
    void on_indirect_ack(const gossip_message& message);
    void complete_probe(std::uint64_t sequence, const node_id& node, incarnation node_incarnation);

    // Dissemination (membership_spread.cpp).
    void fill(gossip_message& message, std::size_t free_bytes);
    contact_ages contact_ages_at(instant active_now) const;
    void fill_notes(gossip_message& message, std::size_t& free_bytes);
    void send(gossip_message message, const endpoint& to, const node_id& to_node, actions& out);
    void send_rumours(instant active_now, actions& out);
    void send_own_record(std::size_t fan_out, actions& out);
    void send_own_revision(std::size_t fan_out, actions& out);
    void send_to_random(const gossip_message& rumour, std::size_t fan_out, actions& out);
    void queue_change(member_entry& member);
    void queue_note(member_entry& member);
    void add_rumour(instant active_now, const node_id& node, urgency level);
    void pull(instant active_now, const member_entry& from, actions& out);
    void pull_from_any(instant active_now, actions& out);
    void compare_digest(instant active_now, const gossip_message& message, actions& out);
    void on_pull(const endpoint& from, const gossip_message& message, actions& out);
    unsigned transmit_limit() const;

    // Merge (membership_merge.cpp).
    void merge_contacts(instant now, const gossip_message& message);
    bool merge_items(instant active_now, const gossip_message& message, actions& out);
    bool merge_record(instant active_now, const member_record& update, gossip_source source, actions& out);
    bool merge_claim(instant active_now, const member_claim& claim, gossip_source source, actions& out);
    bool merge_revision(const revision_note& note, actions& out);
    bool add_member(instant active_now, const member_record& update, gossip_source source, actions& out);
    void merge_own_record(instant active_now, const member_record& update);
    void refute(instant active_now, std::uint64_t superseded_version);
    void change(instant active_now, member_entry& member, const member_record& next, gossip_source source,
                actions& out);
    void on_state_change(instant active_now, member_entry& member, member_state before);
    void record_loss(instant active_now, member_entry& member);
    void expire_losses(instant active_now);
    void forget(member_entry& member);
    void update_isolation();
    bool ensure_capacity();
    void increment_own_version();
};

/** Maximum of m_health_penalty; the probe timeout grows with the penalty. */
inline constexpr unsigned max_health_penalty = 4;

/** Members to which each leave message is sent. */
inline constexpr std::size_t leave_fan_out = 8;

/** Interval between repetitions of the leave message. */
inline constexpr duration leave_repeat_interval = std::chrono::milliseconds(200);

/** Interval between pulls while they return new information. */
inline constexpr duration eager_pull_interval = std::chrono::milliseconds(800);

/** Maximum delay between detecting an urgent change and sending it. */
inline constexpr duration rumour_delay = std::chrono::milliseconds(20);

} // namespace waxwing

#endif
