/** @file quota_shard_base.h One shard of the limit of an organisation, kept by its owner. */
#ifndef WAXWING_POLICY_QUOTA_SHARD_BASE_H
#define WAXWING_POLICY_QUOTA_SHARD_BASE_H

#include "policy/quota_type.h"

#include <unordered_map>

namespace waxwing {

/**
 * A token bucket that also records its last grant to each entry, so that unspent tokens can be returned.
 * Tokens that can be spent in any window of length w are at most capacity + rate x (w + token_age).
 * Thread safety: none; one owner.
 */
class quota_shard {
public:
    /** Creates an empty bucket. @param limit of the shard. @param begin nothing is granted or gained before.
     */
    quota_shard(quota_limit limit, boot_instant begin);

    /** Applies @p limit from @p now on; tokens above a lowered capacity are lost. */
    void configure(boot_instant now, quota_limit limit);

    /** Empties the bucket; nothing is granted or gained before @p begin. */
    void reset(boot_instant begin);

    /** Debits up to @p wanted tokens for the request @p number of @p entry. @return the tokens granted. */
    std::uint32_t grant(boot_instant now, const node_id& entry, std::uint64_t number, std::uint32_t wanted);

    /**
     * Takes back up to @p returned tokens of the grant @p number to @p entry. Ignored unless it is the last
     * grant to that entry and no older than token_age: a later return would add to what may be spent in a
     * window.
     */
    void put_back(boot_instant now, const node_id& entry, std::uint64_t number, std::uint32_t returned);

    /** Returns the time until a token is available; zero if one is, or if nothing is granted yet. */
    duration wait(boot_instant now) const;

    /** Returns whether tokens are granted at @p now. */
    bool grants(boot_instant now) const { return now >= m_begin; }

    /** Forgets grants that can't be returned any more. */
    void forget_grants(boot_instant now);

private:
    /** Last grant to an entry. */
    struct grant_record {
        std::uint64_t m_number = 0; ///< Number of the request.
        std::uint32_t m_tokens = 0; ///< Tokens not returned.
        boot_instant m_at{};        ///< When they were debited.
    };

    double capacity() const;
    double level(boot_instant now) const;
    void refill(boot_instant now);

    quota_limit m_limit;
    boot_instant m_begin;
    boot_instant m_refilled_at;
    double m_tokens = 0.0;
    std::unordered_map<node_id, grant_record> m_grants;
};

} // namespace waxwing

#endif
