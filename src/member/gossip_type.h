/** @file gossip_type.h Messages that nodes exchange by datagram. */
#ifndef WAXWING_MEMBER_GOSSIP_TYPE_H
#define WAXWING_MEMBER_GOSSIP_TYPE_H

#include "member/member_type.h"

#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/** Claim about the state of a member, without its whole record. */
struct member_claim {
    node_id m_node;                             ///< The member.
    incarnation m_incarnation;                  ///< Its incarnation.
    std::uint64_t m_version = 0;                ///< Version of the record to which the claim applies.
    member_state m_state = member_state::alive; ///< Claimed state.
};

/** Revision that a member has in force. */
struct revision_note {
    node_id m_node;            ///< The member.
    incarnation m_incarnation; ///< Its incarnation.
    revision m_revision;       ///< Revision in force.
};

/** One update about one member. */
using gossip_item = std::variant<member_record, member_claim, revision_note>;

/** Message types; the order is part of the wire format. */
enum class gossip_kind {
    ping,         ///< Asks one incarnation of one node for an ack.
    ack,          ///< Answers a ping.
    ping_request, ///< Asks a helper to ping another node.
    indirect_ack, ///< Reports that the probed node answered the helper.
    pull,         ///< Requests the records of the buckets whose digests differ.
    page,         ///< Answers a pull.
    rumour,       ///< Carries urgent changes.
    other         ///< Answers a ping addressed to another node or incarnation.
};
inline constexpr std::size_t gossip_kinds = 8;

/** Ages of table_contacts in milliseconds when a message was sent; max_contact_age_ms if there was none. */
struct contact_ages {
    std::uint32_t m_any_ms = 0;     ///< Of m_any.
    std::uint32_t m_elected_ms = 0; ///< Of m_elected.
};

/** Contacts of this age and older are not told to other nodes. */
inline constexpr std::uint32_t max_contact_age_ms = 600'000;

/** One datagram. Fields that a kind does not use are empty. */
struct gossip_message {
    gossip_kind m_kind = gossip_kind::rumour; ///< Message type.
    std::optional<member_record> m_from;      ///< The sender's own record.
    std::uint64_t m_sequence = 0;             ///< Identifies a probe at its sender.
    node_id m_node;                           ///< Probed node.
    incarnation m_incarnation;                ///< Probed incarnation of that node.
    endpoint m_address;                       ///< Gossip address of that node, for the helper.
    std::size_t m_first_bucket = 0;           ///< Bucket of the first digest.
    std::vector<std::uint32_t>
        m_digests; ///< Digests of consecutive buckets; a single one covers all buckets in a ping or ack.
    std::vector<gossip_item> m_items;                          ///< Piggybacked or requested updates.
    std::optional<contact_ages> m_contact_ages = std::nullopt; ///< In a ping or ack.
};

} // namespace waxwing

#endif
