/** @file member_table_base.h Table of known members with constant-time random selection and digests. */
#ifndef WAXWING_MEMBER_MEMBER_TABLE_BASE_H
#define WAXWING_MEMBER_MEMBER_TABLE_BASE_H

#include "member/member_type.h"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** One member: its record and the protocol state kept for it. */
struct member_entry {
    member_record m_record;            ///< Latest known record.
    instant m_changed_at{};            ///< When its record last changed locally, in active time.
    instant m_lost_at{};               ///< When it became suspect, in active time.
    instant m_gone_at{};               ///< When it became dead or left, in active time.
    bool m_removal_queued = false;     ///< Whether a removal deadline is queued; at most one per member.
    bool m_recently_lost = false;      ///< Whether it is counted as a recent loss.
    unsigned m_transmits = 0;          ///< Remaining times to piggyback its record.
    unsigned m_note_transmits = 0;     ///< Remaining times to piggyback its revision.
    std::size_t m_position = 0;        ///< Index in the list of reachable or dead members.
    std::size_t m_bucket_position = 0; ///< Index in its bucket.
};

/** Number of buckets into which members are divided for digests. */
inline constexpr std::size_t bucket_count = 64;

/** Returns a hash of the name of @p node; equal in every process. */
std::uint64_t hash_of(const node_id& node);

/** Returns the bucket of @p node; equal in every process. */
std::size_t bucket_of(const node_id& node);

/** Returns whether a member in @p state is probed and receives gossip. */
constexpr bool is_reachable(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

/**
 * All known members except the node itself. Only list() iterates over all of them. Thread safety: none
 * needed; one owner.
 */
class member_table {
public:
    /** Returns the entry of @p node, or null if it is unknown. */
    member_entry* find(const node_id& node) const;

    /** Adds @p record. @pre Its node is unknown. */
    member_entry& insert(const member_record& record);

    /** Replaces the record of @p member. @pre The node is the same. */
    void replace(member_entry& member, const member_record& record);

    /** Removes @p member and invalidates the reference. */
    void erase(member_entry& member);

    /** Adds the node's own @p record to the digests, or removes it if it was added before. */
    void toggle_digest(const member_record& record);

    /** Returns the next member to probe, or null if there is none. Each round visits every member once, in
     * random order. */
    member_entry* next_to_probe(random_source& random);

    /** Returns a random dead member, or null if there is none. */
    member_entry* draw_dead(random_source& random) const;

    /** Returns up to @p count distinct random reachable members other than @p excluded_node. */
    std::vector<member_entry*> draw(random_source& random, std::size_t count,
                                    const node_id& excluded_node) const;

    /** Returns the combined digest of all buckets. */
    std::uint32_t digest_of_all() const { return m_digest_of_all; }

    /** Returns the digest of a bucket. */
    std::uint32_t digest(std::size_t bucket) const { return m_digests[bucket]; }

    /** Returns the members of a bucket. */
    const std::vector<member_entry*>& bucket(std::size_t index) const { return m_buckets[index]; }

    /** Returns the records of all members. */
    std::vector<member_record> list() const;

    std::size_t size() const { return m_members.size(); }          ///< All members.
    std::size_t reachable() const { return m_reachable.size(); }   ///< Alive or suspect members.
    std::size_t suspects() const { return m_suspects; }            ///< Suspect members.
    std::size_t dead() const { return m_dead.size(); }             ///< Dead members.
    std::size_t alive() const { return reachable() - m_suspects; } ///< Alive members.

private:
    void add_to_lists(member_entry& member);
    void remove_from_lists(member_entry& member);
    void remove_reachable(member_entry& member);

    std::unordered_map<node_id, std::unique_ptr<member_entry>> m_members;
    std::vector<member_entry*> m_reachable; ///< The first m_probed_count have been probed in this round.
    std::size_t m_probed_count = 0;
    std::size_t m_suspects = 0;
    std::vector<member_entry*> m_dead;
    std::array<std::vector<member_entry*>, bucket_count> m_buckets;
    std::array<std::uint32_t, bucket_count> m_digests{};
    std::uint32_t m_digest_of_all = 0;
};

} // namespace waxwing

#endif
