/** @file membership_state.h The state behind membership. */
#ifndef WAXWING_MEMBER_MEMBERSHIP_STATE_H
#define WAXWING_MEMBER_MEMBERSHIP_STATE_H

#include "member/gossip_codec_func.h"
#include "member/member_table_base.h"
#include "member/membership_base.h"

#include <deque>

namespace waxwing {

/** One probe that has no answer yet. All times are running time. */
struct pending_probe {
    std::uint64_t m_sequence = 0; ///< Names it in the answers.
    node_id m_node;               ///< Who is probed.
    incarnation m_incarnation;    ///< Which life of it.
    instant m_indirect_at{};      ///< When helpers are asked.
    instant m_end{};              ///< When it has failed.
    bool m_indirect = false;      ///< Whether helpers were asked.
};

/** One probe on behalf of another node. */
struct relayed_probe {
    std::uint64_t m_sequence = 0;       ///< Of the own ping.
    endpoint m_asker;                   ///< Who asked.
    std::uint64_t m_asked_sequence = 0; ///< The asker's name for it.
    node_id m_node;                     ///< Who is probed.
    incarnation m_incarnation;          ///< Which life of it.
};

/** A deadline of one version of one member. */
struct member_deadline {
    instant m_at{};              ///< When.
    node_id m_node;              ///< Of whom.
    incarnation m_incarnation;   ///< Of which life.
    std::uint64_t m_version = 0; ///< Of which version.
};

/** How a change came to this node, and so how it is passed on. */
enum class gossip_source {
    own,    ///< Seen here: an answer, a probe that failed, a time that ran out.
    direct, ///< Told by the member itself.
    along,  ///< Sent along with a ping or ack.
    rumour, ///< Told at once by another member.
    page,   ///< Repaired by a pull.
    row     ///< Read from the table.
};

/** How fast a change must be known everywhere. */
enum class urgency {
    none,   ///< Sent along with pings and acks.
    normal, ///< Told at once while there is plenty of room for it.
    high    ///< Told at once as long as there is any room: work must no longer be sent there.
};

/**
 * What membership knows and does. Running time is the present time less all pauses of the own process, so
 * that a pause moves every deadline without a walk.
 */
struct membership::state {
    using actions = std::vector<member_action>;

    member_settings m_settings;
    member_record m_self;
    random_source m_random;
    member_table m_table;

    bool m_started = false;
    duration m_paused{};      ///< Sum of all pauses of the own process.
    unsigned m_health = 0;    ///< Zero is good; grows with missed answers (Lifeguard).
    std::uint64_t m_sequence; ///< Of the last probe.
    instant m_next_probe{};
    instant m_next_dead_probe{};
    instant m_next_pull{};
    instant m_next_register{};
    instant m_next_discover{};
    instant m_rumour_at = instant::max(); ///< When the rumours collected are sent.
    instant m_leave_at = instant::max();  ///< When the leave is repeated.
    unsigned m_leave_repeats = 0;
    instant m_last_pull{};
    bool m_pull_helped = false;               ///< Whether the last pull brought something new.
    instant m_differs_since = instant::max(); ///< Since when every digest of others differed from the own.

    std::vector<pending_probe> m_probes;
    std::deque<relayed_probe> m_relays;
    std::deque<member_deadline> m_suspicions; ///< Ordered, since the suspicion time is constant.
    std::deque<member_deadline> m_removals;   ///< Of dead and left members; ordered likewise.
    std::deque<node_id> m_queue;              ///< Changes to be sent along, newest first.
    std::deque<node_id> m_notes;              ///< Revisions to be sent along.
    std::vector<node_id> m_rumours;           ///< Urgent changes not yet sent.
    bool m_self_rumour = false;               ///< Whether the own record is among them.
    urgency m_rumour_urgency = urgency::none; ///< Of the most urgent of them.
    double m_rumour_bytes = 0;                ///< Bytes that may be sent as rumours now.
    instant m_rumour_refill{};                ///< When they were last counted.

    std::deque<member_deadline> m_losses; ///< Recent changes from alive to suspect.
    std::size_t m_recent_losses = 0;      ///< Those of them that still hold.
    std::uint32_t m_probe_results = 0;    ///< One bit a probe, the last one lowest; set where it failed.
    bool m_isolated = false;

    state(const member_settings& settings, member_record self, std::uint64_t seed);

    // Time (membership_timer.cpp).
    instant observe(instant now, actions& out);
    instant next_deadline() const;
    void run(instant running, actions& out);
    duration jittered(duration interval);
    void register_row(instant running, actions& out);
    void discover(instant running, actions& out);
    void expire_removals(instant running, actions& out);
    void repeat_leave(instant running, actions& out);

    // Probes (membership_probe.cpp).
    void probe_next(instant running, actions& out);
    void probe_dead(actions& out);
    void check_probes(instant running, actions& out);
    void ask_helpers(pending_probe& probe, actions& out);
    void note_result(bool failed);
    void expire_suspicions(instant running, actions& out);
    void on_ping(const endpoint& from, const gossip_message& message, actions& out);
    void on_ack(const gossip_message& message, actions& out);
    void on_ping_request(const endpoint& from, const gossip_message& message, actions& out);
    void on_indirect_ack(const gossip_message& message);
    void settle_probe(std::uint64_t sequence, const node_id& node, incarnation node_incarnation);

    // Spread (membership_spread.cpp).
    void fill(gossip_message& message, std::size_t room);
    void fill_notes(gossip_message& message, std::size_t& room);
    void send(gossip_message message, const endpoint& to, const node_id& to_node, actions& out);
    void send_rumours(instant running, actions& out);
    void send_own_record(std::size_t fan_out, actions& out);
    void queue_change(member_entry& member);
    void queue_note(member_entry& member);
    void add_rumour(instant running, const node_id& node, urgency how);
    void pull(instant running, const member_entry& from, actions& out);
    void pull_from_any(instant running, actions& out);
    void compare_digest(instant running, const gossip_message& message, actions& out);
    void on_pull(const endpoint& from, const gossip_message& message, actions& out);
    unsigned transmit_limit() const;

    // Merge (membership_merge.cpp).
    bool take_items(instant running, const gossip_message& message, actions& out);
    bool take_record(instant running, const member_record& offered, gossip_source source, actions& out);
    bool take_claim(instant running, const member_claim& claim, gossip_source source, actions& out);
    bool take_note(const revision_note& note, actions& out);
    bool take_new(instant running, const member_record& offered, gossip_source source, actions& out);
    void take_own(instant running, const member_record& offered);
    void refute(instant running, std::uint64_t above);
    void change(instant running, member_entry& member, const member_record& next, gossip_source source,
                actions& out);
    void note_state_change(instant running, member_entry& member, member_state before);
    void note_loss(instant running, member_entry& member);
    void expire_losses(instant running);
    void forget(member_entry& member);
    void judge_isolation();
    bool make_room();
    void bump_self();
};

/** The own health is this at worst; timeouts grow with it. */
inline constexpr unsigned max_health = 4;

/** Members told at once when this node leaves. */
inline constexpr std::size_t leave_fan_out = 8;

/** Time between the repetitions of a leave. */
inline constexpr duration leave_repeat_interval = std::chrono::milliseconds(200);

/** Time between pulls while they bring something new. */
inline constexpr duration eager_pull_interval = std::chrono::milliseconds(800);

/** Longest time between the discovery of an urgent change and its being passed on. */
inline constexpr duration rumour_delay = std::chrono::milliseconds(20);

} // namespace waxwing

#endif
