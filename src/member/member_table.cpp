/** @file member_table.cpp The members that a node knows, with constant-time choice and digests. */
#include "member/member_table_base.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001B3ULL;
constexpr std::size_t small_list_factor =
    4; ///< Lists up to so many times the number drawn are shuffled whole.

/** Hashes @p text by FNV-1a; the same in every process. */
std::uint64_t hash_text(const std::string& text)
{
    std::uint64_t hash = fnv_offset;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * fnv_prime;
    }
    return hash;
}

/** Mixes the bits of @p value. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xFF51AFD7ED558CCDULL;
    value = (value ^ (value >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
    return value ^ (value >> 33U);
}

/** Digests one record: its node, life and version. */
std::uint32_t digest_of(const member_record& record)
{
    const std::uint64_t life = mix(hash_text(record.m_node.m_value) ^ mix(record.m_incarnation.m_value));
    return static_cast<std::uint32_t>(mix(life + record.m_version));
}

/** Draws a number below @p bound. */
std::size_t random_below(random_source& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

} // namespace

std::size_t bucket_of(const node_id& node)
{
    return mix(hash_text(node.m_value)) % bucket_count;
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
    join_lists(member);
    return member;
}

void member_table::replace(member_entry& member, const member_record& record)
{
    const bool moves =
        is_reachable(member.m_record.m_state) != is_reachable(record.m_state) ||
        (member.m_record.m_state == member_state::dead) != (record.m_state == member_state::dead);
    if (moves) {
        leave_lists(member);
        member.m_record = record;
        join_lists(member);
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
    leave_lists(member);
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

void member_table::join_lists(member_entry& member)
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

void member_table::leave_lists(member_entry& member)
{
    if (is_reachable(member.m_record.m_state)) {
        toggle_digest(member.m_record);
        m_suspects -= member.m_record.m_state == member_state::suspect ? 1 : 0;
        leave_reachable(member);
    }
    else if (member.m_record.m_state == member_state::dead) {
        m_dead[member.m_position] = m_dead.back();
        m_dead[member.m_position]->m_position = member.m_position;
        m_dead.pop_back();
    }
}

void member_table::leave_reachable(member_entry& member)
{
    std::size_t gap = member.m_position;
    if (gap < m_probed) {
        --m_probed;
        m_reachable[gap] = m_reachable[m_probed];
        m_reachable[gap]->m_position = gap;
        gap = m_probed;
    }
    m_reachable[gap] = m_reachable.back();
    m_reachable[gap]->m_position = gap;
    m_reachable.pop_back();
}

member_entry* member_table::next_to_probe(random_source& random)
{
    if (m_reachable.empty()) {
        return nullptr;
    }
    if (m_probed >= m_reachable.size()) {
        m_probed = 0;
    }
    const std::size_t drawn = m_probed + random_below(random, m_reachable.size() - m_probed);
    std::swap(m_reachable[m_probed], m_reachable[drawn]);
    m_reachable[m_probed]->m_position = m_probed;
    m_reachable[drawn]->m_position = drawn;
    return m_reachable[m_probed++];
}

member_entry* member_table::draw_dead(random_source& random) const
{
    return m_dead.empty() ? nullptr : m_dead[random_below(random, m_dead.size())];
}

std::vector<member_entry*> member_table::draw(random_source& random, std::size_t count,
                                              const node_id& without) const
{
    std::vector<member_entry*> drawn;
    if (m_reachable.size() <= small_list_factor * count) {
        std::vector<member_entry*> all = m_reachable;
        std::shuffle(all.begin(), all.end(), random);
        std::copy_if(all.begin(), all.end(), std::back_inserter(drawn),
                     [&](const member_entry* member) { return member->m_record.m_node != without; });
        drawn.resize(std::min(drawn.size(), count));
        return drawn;
    }
    for (std::size_t attempt = 0; attempt < 2 * count && drawn.size() < count; ++attempt) {
        member_entry* const member = m_reachable[random_below(random, m_reachable.size())];
        if (member->m_record.m_node != without &&
            std::find(drawn.begin(), drawn.end(), member) == drawn.end()) {
            drawn.push_back(member);
        }
    }
    return drawn;
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
