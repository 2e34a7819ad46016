/** @file retry_base.h Limits on retries: retry tokens for a whole request, and a retry budget for a hop. */
#ifndef WAXWING_POLICY_RETRY_BASE_H
#define WAXWING_POLICY_RETRY_BASE_H

#include "policy/settings_type.h"

#include <array>
#include <map>

namespace waxwing {

/**
 * The retry tokens that one node holds for one call of a whole request. Tokens are only moved or spent, never
 * created, so the sum over the call tree never grows. Thread safety: none; a plain value.
 */
class retry_tokens {
public:
    explicit retry_tokens(std::uint16_t granted) : m_available(granted) {}

    /** Lends half of the tokens, rounded up, to a sub-call. @return the number lent. */
    std::uint16_t lend();

    /**
     * Takes back @p returned tokens, at most @p lent; tokens that are not returned are lost.
     * @pre Called at most once for each loan, which settle ensures.
     */
    void return_tokens(std::uint16_t returned, std::uint16_t lent);

    /**
     * Returns the tokens of a loan once: sets @p lent to zero, so that a duplicate answer returns no tokens.
     */
    void settle(std::uint16_t returned, std::uint16_t& lent);

    /** Spends one token on a retry. @return false if there is none. */
    bool spend();

    /** Returns the number of tokens that can be spent or lent. */
    std::uint16_t available() const { return m_available; }

private:
    std::uint16_t m_available; ///< Tokens neither lent nor spent.
    /** Tokens lent and not returned; m_available + m_lent never exceeds the tokens granted. */
    std::uint16_t m_lent = 0;
};

/**
 * Limits the retries that one node may send to the targets of one service to a ratio of the requests for it
 * in a sliding window, plus a floor. Both counts add up over nodes, so any set of nodes keeps the same ratio
 * without coordination. When the budget is short, the highest priorities may use more of it: a whole request
 * succeeds only if all its calls do, and all of them have the same priority.
 *
 * This guards against a service at the end of a call tree whose targets refuse calls at random: retries
 * spread evenly over all requests would complete hardly any of them. Thread safety: none; one owner.
 */
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings) : m_settings(settings) {}

    /** Applies @p settings; the counts stay. */
    void configure(const retry_settings& settings) { m_settings = settings; }

    /** Counts a request of @p request_priority for the service, whether it is sent or refused. */
    void on_request(instant now, priority request_priority);

    /** Counts a retry that this budget did not decide on: a call made by a run that is itself a retry. */
    void charge(instant now);

    /** Spends one retry on a request of @p request_priority. @return false if the budget allows none. */
    bool try_spend(instant now, priority request_priority);

    /** Returns the retries allowed in the window that ends at @p now, including those already spent. */
    double allowance(instant now) const;

private:
    static constexpr std::int64_t window_seconds = 10; ///< Length of the sliding window.

    /** Counts of each second, in a ring buffer. */
    using second_counts = std::array<std::uint32_t, window_seconds + 1>;

    /** Requests by priority, in steps of 16 cohorts; at most 4,096 entries. */
    using rank_counts = std::map<std::uint16_t, std::uint32_t>;

    /** Returns the ring buffer slot of @p second. @pre @p second >= 0. */
    static std::size_t slot_of(std::int64_t second)
    {
        return static_cast<std::size_t>(second % (window_seconds + 1));
    }

    /** Clears the counts of the seconds that have begun since the last call. */
    void advance(instant now);

    /** Returns the sum of the last @p seconds of @p counts. */
    double sum(const second_counts& counts, std::int64_t seconds) const;

    /**
     * Returns the ratio of the allowance that retries of @p request_priority may use, by its rank among
     * recent requests.
     */
    double allowance_ratio(priority request_priority) const;

    retry_settings m_settings;          ///< The current settings.
    std::int64_t m_current_second = 0;  ///< The latest second counted.
    second_counts m_requests{};         ///< Requests of each second.
    second_counts m_spent{};            ///< Retries of each second.
    rank_counts m_ranks;                ///< Requests of the current generation, which lasts one window.
    rank_counts m_previous_ranks;       ///< Requests of the previous generation.
    std::int64_t m_rank_end_second = 0; ///< The second at which the current generation ends.
};

/**
 * Draws the delay before the retry with the number @p attempt, counted from one: exponential backoff with
 * full jitter.
 */
duration retry_backoff(const retry_settings& settings, unsigned attempt, random_source& random);

} // namespace waxwing

#endif
