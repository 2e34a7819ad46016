/** @file member_table.cpp Table of known members with constant-time random selection and digests. */
#include "member/member_table_base.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001B3ULL;
/** draw() shuffles the whole list if it holds at most this many times the requested count. */
constexpr std::size_t small_list_factor = 4;

/** Returns the FNV-1a hash of @p text; equal in every process, as digests are compared between nodes. */
std::uint64_t hash_text(const std::string& text)
{
    std::uint64_t hash = fnv_offset;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    return hash;
}

/** Mixes the bits of @p value (finaliser of MurmurHash3). */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xFF51AFD7ED558CCDULL;
    value = (value ^ (value >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
    return value ^ (value >> 33U);
}

/** Returns the digest of a record, which covers node, incarnation and version. */
std::uint32_t digest_of(const member_record& record)
{
    const std::uint64_t identity_hash =
        mix(hash_text(record.m_node.m_value) ^ mix(record.m_incarnation.m_value));
    return static_cast<std::uint32_t>(mix(identity_hash + record.m_version));
}

/** Returns a random number below @p bound. */
std::size_t random_below(random_source& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

} // namespace

std::uint64_t hash_of(const node_id& node)
{
    return mix(hash_text(node.m_value));
}

std::size_t bucket_of(const node_id& node)
{
    return hash_of(node) % bucket_count;
}

member_entry* member_table::find(const node_id& node) const
{
    const auto found = m_members.find(node);
    return found == m_members.end() ? nullptr : found->second.get();
}

member_entry& member_table::insert(const member_record& record)
{
    member_entry& member = *(m_members[record.m_node] = std::make_unique<member_entry>());
    member.m_record = record;
    std::vector<member_entry*>& bucket = m_buckets[bucket_of(record.m_node)];
    member.m_bucket_position = bucket.size();
    bucket.push_back(&member);
    add_to_lists(member);
    return member;
}

void member_table::replace(member_entry& member, const member_record& record)
{
    const bool list_changes =
        is_reachable(member.m_record.m_state) != is_reachable(record.m_state) ||
        (member.m_record.m_state == member_state::dead) != (record.m_state == member_state::dead);
    if (list_changes) {
        remove_from_lists(member);
        member.m_record = record;
        add_to_lists(member);
        return;
    }
    if (is_reachable(record.m_state)) {
        toggle_digest(member.m_record);
        toggle_digest(record);
        m_suspects -= member.m_record.m_state == member_state::suspect ? 1 : 0;
        m_suspects += record.m_state == member_state::suspect ? 1 : 0;
    }
    member.m_record = record;
}

void member_table::erase(member_entry& member)
{
    remove_from_lists(member);
    std::vector<member_entry*>& bucket = m_buckets[bucket_of(member.m_record.m_node)];
    bucket[member.m_bucket_position] = bucket.back();
    bucket[member.m_bucket_position]->m_bucket_position = member.m_bucket_position;
    bucket.pop_back();
    const node_id node = member.m_record.m_node;
    m_members.erase(node);
}

void member_table::toggle_digest(const member_record& record)
{
    const std::uint32_t digest = digest_of(record);
    m_digests[bucket_of(record.m_node)] ^= digest;
    m_digest_of_all ^= digest;
}

void member_table::add_to_lists(member_entry& member)
{
    if (is_reachable(member.m_record.m_state)) {
        toggle_digest(member.m_record);
        m_suspects += member.m_record.m_state == member_state::suspect ? 1 : 0;
        member.m_position = m_reachable.size();
        m_reachable.push_back(&member);
    }
    else if (member.m_record.m_state == member_state::dead) {
        member.m_position = m_dead.size();
        m_dead.push_back(&member);
    }
}

void member_table::remove_from_lists(member_entry& member)
{
    if (is_reachable(member.m_record.m_state)) {
        toggle_digest(member.m_record);
        m_suspects -= member.m_record.m_state == member_state::suspect ? 1 : 0;
        remove_reachable(member);
    }
    else if (member.m_record.m_state == member_state::dead) {
        m_dead[member.m_position] = m_dead.back();
        m_dead[member.m_position]->m_position = member.m_position;
        m_dead.pop_back();
    }
}

void member_table::remove_reachable(member_entry& member)
{
    std::size_t position = member.m_position;
    if (position < m_probed_count) {
        --m_probed_count;
        m_reachable[position] = m_reachable[m_probed_count];
        m_reachable[position]->m_position = position;
        position = m_probed_count;
    }
    if (position + 1 < m_reachable.size()) {
        m_reachable[position] = m_reachable.back();
        m_reachable[position]->m_position = position;
    }
    m_reachable.pop_back();
}

member_entry* member_table::next_to_probe(random_source& random)
{
    if (m_reachable.empty()) {
        return nullptr;
    }
    if (m_probed_count >= m_reachable.size()) {
        m_probed_count = 0;
    }
    const std::size_t index = m_probed_count + random_below(random, m_reachable.size() - m_probed_count);
    std::swap(m_reachable[m_probed_count], m_reachable[index]);
    m_reachable[m_probed_count]->m_position = m_probed_count;
    m_reachable[index]->m_position = index;
    return m_reachable[m_probed_count++];
}

member_entry* member_table::draw_dead(random_source& random) const
{
    return m_dead.empty() ? nullptr : m_dead[random_below(random, m_dead.size())];
}

std::vector<member_entry*> member_table::draw(random_source& random, std::size_t count,
                                              const node_id& excluded_node) const
{
    std::vector<member_entry*> selection;
    if (m_reachable.size() <= small_list_factor * count) {
        std::vector<member_entry*> all = m_reachable;
        std::shuffle(all.begin(), all.end(), random);
        std::copy_if(all.begin(), all.end(), std::back_inserter(selection),
                     [&](const member_entry* member) { return member->m_record.m_node != excluded_node; });
        selection.resize(std::min(selection.size(), count));
        return selection;
    }
    for (std::size_t attempt = 0; attempt < 2 * count && selection.size() < count; ++attempt) {
        member_entry* const member = m_reachable[random_below(random, m_reachable.size())];
        if (member->m_record.m_node != excluded_node &&
            std::find(selection.begin(), selection.end(), member) == selection.end()) {
            selection.push_back(member);
        }
    }
    return selection;
}

std::vector<member_record> member_table::list() const
{
    std::vector<member_record> records;
    records.reserve(m_members.size());
    for (const auto& [node, member] : m_members) {
        records.push_back(member->m_record);
    }
    return records;
}

} // namespace waxwing
