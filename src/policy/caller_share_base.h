/** @file caller_share_base.h Rate limits and fair shares of callers at an entry. */
#ifndef WAXWING_POLICY_CALLER_SHARE_BASE_H
#define WAXWING_POLICY_CALLER_SHARE_BASE_H

#include "policy/settings_type.h"

#include <memory>

namespace waxwing {

/** Number of buckets shared by the callers without a configuration object of their own. */
inline constexpr std::size_t unknown_caller_buckets = 256;

/** Decision on one request of a caller. */
struct share_decision {
    bool m_admitted = true;    ///< Whether the caller may send it now.
    duration m_retry_after{};  ///< Time until it may be sent, if not admitted.
    std::uint8_t m_cohort = 0; ///< Among requests of one importance, greater cohorts are shed later.
};

/**
 * Limits the rate of each caller, and orders the requests of one importance so that callers share the
 * available capacity by weight. Each request draws a random value between zero and its caller's rate divided
 * by weight; its cohort is the reversed rank of that value among the recent values of all callers. Shedding
 * the low cohorts then takes from each caller the requests above one common level of rate per weight,
 * whatever that level is. State is bounded: one entry for each configured caller, and a fixed number of
 * buckets shared by all other names. Thread safety: none; one owner.
 */
class caller_shares {
public:
    /**
     * @param unknown limits of each bucket of callers that are not configured.
     * @param salt seed of the hash that selects a bucket, so that a caller cannot choose whose bucket it
     * shares.
     */
    caller_shares(const share_settings& unknown, std::uint64_t salt);
    ~caller_shares();
    caller_shares(caller_shares&&) noexcept;
    caller_shares& operator=(caller_shares&&) noexcept;

    /** Adds or changes the limits of @p caller. */
    void put(const caller_name& caller, const share_settings& settings);

    /** Removes the limits of @p caller, which then counts as unknown. */
    void remove(const caller_name& caller);

    /** Decides on one request of @p caller; repeated requests count like new ones. */
    share_decision decide(instant now, const caller_name& caller, random_source& random);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
