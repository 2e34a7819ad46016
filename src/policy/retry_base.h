/** @file retry_base.h Bounds on retries: tokens for a whole request, a budget for a hop. */
#ifndef WAXWING_POLICY_RETRY_BASE_H
#define WAXWING_POLICY_RETRY_BASE_H

#include "policy/settings_type.h"

#include <array>
#include <map>

namespace waxwing {

/**
 * The retry tokens that one node holds for one call of a whole request. Tokens are only ever moved or spent,
 * so the sum over the tree never grows. Thread safety: none needed, a plain value.
 */
class retry_tokens {
public:
    /** Holds @p granted tokens. */
    explicit retry_tokens(std::uint16_t granted) : m_available(granted) {}

    /** Lends half of the tokens, rounded up, to a sub-call and gives their number. */
    std::uint16_t lend();

    /**
     * Takes back at most @p lent of the @p returned tokens; the rest stays lost.
     * @pre Called at most once for each loan; settle sees to it.
     */
    void return_tokens(std::uint16_t returned, std::uint16_t lent);

    /** Gives back once: sets @p lent to zero, so that a second answer to the same call brings nothing. */
    void settle(std::uint16_t returned, std::uint16_t& lent);

    /** Spends one token on a retry. @return false where there is none. */
    bool spend();

    /** Gives the tokens held. */
    std::uint16_t available() const { return m_available; }

private:
    std::uint16_t m_available; ///< Neither lent nor spent.
    std::uint16_t m_lent = 0;  ///< Lent and not given back; with m_available never above what was granted.
};

/**
 * The repeats that one node may send to the targets of one service: a share of the requests for it in a
 * sliding window, and a floor. Both counts add up over nodes, so the sum over any set of nodes keeps the same
 * share without agreement. Where the share is short, repeats of the highest priorities go first: a whole
 * request of many calls succeeds only if all its calls do, and the priority is the same in all of them.
 *
 * Answers a service whose targets refuse a part of the calls at random, below a tree of calls.
 * Thread safety: none needed; one owner.
 */
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings) : m_settings(settings) {}

    /** Takes new settings into force; what was counted stays. */
    void configure(const retry_settings& settings) { m_settings = settings; }

    /** Counts a request of @p wanted for the service, whether it is sent or refused. */
    void on_request(instant now, priority wanted);

    /** Counts a repeat that is not this budget's choice: a call made by a run that is a repeat itself. */
    void charge(instant now);

    /** Spends one repeat of a request of @p wanted. @return false where the budget has none for it. */
    bool try_spend(instant now, priority wanted);

    /** Gives the repeats allowed in the window that ends now, spent ones included. */
    double allowance(instant now) const;

private:
    static constexpr std::int64_t window_seconds = 10; ///< Length of the sliding window.

    /** Counts by the second; the slots of a ring. */
    using second_counts = std::array<std::uint32_t, window_seconds + 1>;

    /** Requests by priority, in steps of 16 cohorts; at most 4,096 entries. */
    using rank_counts = std::map<std::uint16_t, std::uint32_t>;

    /** Gives the slot of @p second, which is not negative. */
    static std::size_t slot_of(std::int64_t second)
    {
        return static_cast<std::size_t>(second % (window_seconds + 1));
    }

    /** Clears the seconds that have begun since the last call. */
    void advance(instant now);

    /** Sums the last @p seconds of @p counts. */
    double sum(const second_counts& counts, std::int64_t seconds) const;

    /** Gives the part of the allowance that repeats of @p wanted may use, by its rank among the requests. */
    double part_of(priority wanted) const;

    retry_settings m_settings;   ///< The settings in force.
    std::int64_t m_second = 0;   ///< The second that the counts have come to.
    second_counts m_requests{};  ///< Requests of each second.
    second_counts m_spent{};     ///< Repeats of each second.
    rank_counts m_ranks;         ///< Of the present generation of a window's length.
    rank_counts m_ranks_before;  ///< Of the generation before.
    std::int64_t m_rank_end = 0; ///< The second at which the present generation ends.
};

/** Draws the wait before the retry with the number @p attempt, from one: exponential with full jitter. */
duration retry_backoff(const retry_settings& settings, unsigned attempt, random_source& random);

} // namespace waxwing

#endif
