/** @file quota_shard.cpp Token bucket of one shard. */
#include "policy/quota_shard_base.h"

#include "policy/number_func.h"

namespace waxwing {

quota_shard::quota_shard(quota_limit limit, boot_instant begin)
    : m_limit(limit), m_begin(begin), m_refilled_at(begin)
{
}

void quota_shard::configure(boot_instant now, quota_limit limit)
{
    refill(now);
    m_limit = limit;
    m_tokens = std::min(m_tokens, capacity());
}

void quota_shard::reset(boot_instant begin)
{
    m_begin = begin;
    m_refilled_at = begin;
    m_tokens = 0.0;
    m_grants.clear();
}

std::uint32_t quota_shard::grant(boot_instant now, const node_id& entry, std::uint64_t number,
                                 std::uint32_t wanted)
{
    refill(now);
    const auto available = static_cast<std::uint32_t>(std::min(m_tokens, 4.0e9));
    const std::uint32_t granted = grants(now) ? std::min(wanted, available) : 0;
    if (granted > 0) {
        m_tokens -= granted;
        m_grants[entry] = {number, granted, now};
    }
    return granted;
}

void quota_shard::put_back(boot_instant now, const node_id& entry, std::uint64_t number,
                           std::uint32_t returned)
{
    const auto position = m_grants.find(entry);
    if (position == m_grants.end() || position->second.m_number != number ||
        now - position->second.m_at > token_age) {
        return;
    }
    refill(now);
    const std::uint32_t accepted = std::min(returned, position->second.m_tokens);
    position->second.m_tokens -= accepted;
    m_tokens = std::min(m_tokens + accepted, capacity());
}

duration quota_shard::wait(boot_instant now) const
{
    const double missing = 1.0 - level(now);
    if (!grants(now) || missing <= 0.0) {
        return duration::zero();
    }
    return std::max<duration>(from_seconds(missing / m_limit.m_rate), std::chrono::milliseconds(1));
}

void quota_shard::forget_grants(boot_instant now)
{
    std::erase_if(m_grants, [now](const auto& item) { return now - item.second.m_at > token_age; });
}

double quota_shard::capacity() const
{
    return std::max(m_limit.m_burst, 1.0);
}

double quota_shard::level(boot_instant now) const
{
    const duration gained = now > m_refilled_at ? now - m_refilled_at : duration::zero();
    return std::min(m_tokens + to_seconds(gained) * m_limit.m_rate, capacity());
}

void quota_shard::refill(boot_instant now)
{
    m_tokens = level(now);
    m_refilled_at = std::max(m_refilled_at, now);
}

} // namespace waxwing
