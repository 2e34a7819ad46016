/** @file member_type.h Record of one node and its target, and the actions that membership requests. */
#ifndef WAXWING_MEMBER_MEMBER_TYPE_H
#define WAXWING_MEMBER_MEMBER_TYPE_H

#include "base/base.h"

#include <algorithm>
#include <optional>
#include <string>
#include <variant>

namespace waxwing {

/** Membership state of a node. */
enum class member_state {
    alive,   ///< Answers probes.
    suspect, ///< Failed a probe; can still refute.
    dead,    ///< Did not refute within the suspicion timeout.
    left     ///< Announced that it leaves.
};

/** Looks up the name of @p state. */
std::string_view to_string(member_state state);

/** Readiness of the target beside a node. */
enum class target_state {
    absent,   ///< No target has announced itself.
    starting, ///< Announced, but not ready yet.
    ready,    ///< Accepts calls.
    draining, ///< Finishes its calls and accepts no new ones.
    down      ///< Accepts no connection.
};

/** Looks up the name of @p state. */
std::string_view to_string(target_state state);

/** One node as its peers know it. */
struct member_record {
    node_id m_node;                               ///< Its name.
    incarnation m_incarnation;                    ///< A restarted process has a higher one.
    std::uint64_t m_version = 0;                  ///< Increases with each change that the node itself makes.
    member_state m_state = member_state::alive;   ///< Membership state.
    endpoint m_gossip;                            ///< Gossip (datagram) address.
    endpoint m_link;                              ///< Link address.
    region_name m_region;                         ///< Region of the node.
    data_centre_name m_data_centre;               ///< Data centre of the node.
    service_name m_service;                       ///< Service that its target provides.
    target_state m_target = target_state::absent; ///< Readiness of the target.
    std::uint32_t m_slots = 0;                    ///< Calls that the target can run concurrently.
    revision m_revision;                          ///< Configuration revision in force.
};

/** When the platform's table last answered nodes that watch it, as far as one node knows; none if never. */
struct table_contacts {
    std::optional<instant> m_any;     ///< Any node.
    std::optional<instant> m_elected; ///< A node that is elected to watch.

    /** Keeps the later moments of both. */
    void merge(const table_contacts& other)
    {
        m_any = std::max(m_any, other.m_any);
        m_elected = std::max(m_elected, other.m_elected);
    }
};

/** Sends a gossip payload by datagram. */
struct member_send {
    endpoint m_to;         ///< Destination.
    std::string m_payload; ///< At most gossip_payload_limit (1,200) bytes.
};

/** Reports that a member was added or has changed, its death or leave included. */
struct member_change {
    member_record m_record; ///< Record after the change.
};

/** Reports that a member has put a higher revision in force; nothing else of its record has changed. */
struct member_revision {
    node_id m_node;      ///< The member.
    revision m_revision; ///< Its revision.
};

/** Writes or deletes a registration row in the platform's table. Unless it deletes one, the outcome is passed
 * to membership::on_registered. */
struct member_register {
    std::string m_key;     ///< Key of the row.
    std::string m_value;   ///< Value of the row.
    bool m_remove = false; ///< Whether to delete the row instead.
};

/** Reads the registration rows from the platform's table and passes them to membership::add_registered. */
struct member_discover {
    std::string m_prefix; ///< Prefix of the row keys.
};

/** Action that membership requests from its owner. */
using member_action =
    std::variant<member_send, member_change, member_revision, member_register, member_discover>;

} // namespace waxwing

#endif
