/** @file caller_share_base.h Shares of callers at an entry. */
#ifndef WAXWING_POLICY_CALLER_SHARE_BASE_H
#define WAXWING_POLICY_CALLER_SHARE_BASE_H

#include "policy/settings_type.h"

#include <memory>

namespace waxwing {

/** Number of buckets that callers without an object of their own share. */
inline constexpr std::size_t unknown_caller_buckets = 256;

/** Whether a caller may send one more request now, and in which order it is shed. */
struct share_decision {
    bool m_admitted = true;    ///< Whether it may.
    duration m_retry_after{};  ///< When it may, where not now.
    std::uint8_t m_cohort = 0; ///< Greater is shed later, among requests of one importance.
};

/**
 * Bounds each caller by its rate, and orders the requests of one importance so that callers share by weight
 * what can be served: a request gets a random place between zero and its caller's rate over weight, and the
 * cohort is its rank among the places of all callers. Shedding the low cohorts then takes from each caller
 * what it asks above one common level, whatever that level is. State is bounded: a row for each caller of the
 * configuration, and buckets that all other names share. Thread safety: none needed; one owner.
 */
class caller_shares {
public:
    /** @param salt keeps strangers from choosing whose bucket they share. */
    caller_shares(const share_settings& unknown, std::uint64_t salt);
    ~caller_shares();
    caller_shares(caller_shares&&) noexcept;
    caller_shares& operator=(caller_shares&&) noexcept;

    /** Sets the share of @p caller. */
    void put(const caller_name& caller, const share_settings& settings);

    /** Takes out the own row of @p caller. */
    void remove(const caller_name& caller);

    /** Decides on one request of @p caller; re-sends count like requests. */
    share_decision decide(instant now, const caller_name& caller, random_source& random);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
