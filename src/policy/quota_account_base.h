/** @file quota_account_base.h Tokens that an entry holds for one organisation, and its requests without one.
 */
#ifndef WAXWING_POLICY_QUOTA_ACCOUNT_BASE_H
#define WAXWING_POLICY_QUOTA_ACCOUNT_BASE_H

#include "policy/quota_type.h"

#include <deque>
#include <optional>
#include <vector>

namespace waxwing {

/** Request for tokens to one owner, to be sent by the owner of the account. */
struct quota_ask {
    node_id m_owner;            ///< Owner of a shard.
    std::uint32_t m_wanted = 0; ///< Tokens.
};

/** Decision on a request that was waiting. */
struct quota_wake {
    std::uint64_t m_waiter = 0; ///< As passed to take.
    quota_decision m_decision;  ///< Granted or refused.
};

/** Owner of a shard, as the account needs it. */
struct quota_candidate {
    node_id m_node;         ///< The owner.
    bool m_answers = false; ///< Whether it is worth asking: it is alive and has answered lately.
};

/**
 * The tokens of one organisation at one entry. It asks the owners in turn, one at a time: a round ends when
 * the waiting requests have tokens, or when each owner was asked. Thread safety: none; one owner.
 */
class quota_account {
public:
    /** Time for an answer, after which the next owner is asked. */
    static constexpr duration answer_timeout = std::chrono::milliseconds(150);

    /** Decides on one request. @param waiter identifies it in a quota_wake, if it has to wait. */
    quota_decision take(boot_instant now, std::uint64_t waiter);

    /** Takes back the token of a request that has not run. */
    void give_back(boot_instant now, boot_instant expires_at);

    /** Returns whether step has something to do, other than to wait for an answer or its timeout. */
    bool needs_step(boot_instant now) const;

    /**
     * Wakes the requests that have tokens or are refused, and chooses the next owner to ask.
     * @param candidates owners of the shards, in an order that all nodes share.
     * @return the request to send. @post on_sent is called for it.
     */
    std::optional<quota_ask> step(boot_instant now, const std::vector<quota_candidate>& candidates,
                                  std::vector<quota_wake>& wakes);

    /** Records that the request chosen by step was sent to @p owner as @p number. */
    void on_sent(boot_instant now, const node_id& owner, std::uint64_t number);

    /** Handles the answer of @p owner to the request @p number; ignored if it was answered before. @return
     * whether it was the answer that the account waits for. */
    bool on_answer(boot_instant now, const node_id& owner, std::uint64_t number,
                   const quota_answer_item& item);

    /** Returns the owner whose answer is overdue at @p now, once for each request. */
    std::optional<node_id> take_overdue(boot_instant now);

    /** Wakes all waiting requests with @p decision. */
    void wake_all(const quota_decision& decision, std::vector<quota_wake>& wakes);

    /** Returns the tokens held. */
    std::uint32_t tokens(boot_instant now) const;

    /** Returns the number of waiting requests. */
    std::size_t waiting() const { return m_waiting.size(); }

private:
    /** Tokens that expire together. */
    struct token_batch {
        std::uint32_t m_tokens = 0;  ///< Tokens left.
        boot_instant m_expires_at{}; ///< When they expire.
    };

    /** Request to an owner that may still be answered in time. */
    struct sent_ask {
        node_id m_owner;            ///< The owner.
        std::uint64_t m_number = 0; ///< Number of the request.
        boot_instant m_sent_at{};   ///< When it was sent.
    };

    std::optional<boot_instant> spend(boot_instant now);
    void count_demand(boot_instant now);
    double demand(boot_instant now) const;
    bool is_low(boot_instant now) const;
    void serve(boot_instant now, std::vector<quota_wake>& wakes);
    void end_round(boot_instant now, std::vector<quota_wake>& wakes);
    quota_ask make_ask(boot_instant now, const node_id& owner);

    std::vector<token_batch> m_batches;   ///< In the order in which they came.
    std::vector<sent_ask> m_asks;         ///< Sent within token_age and not answered.
    std::deque<std::uint64_t> m_waiting;  ///< Oldest first.
    std::optional<sent_ask> m_open;       ///< Request that the round waits for.
    std::size_t m_next = 0;               ///< Index of the owner that the next round asks first.
    std::size_t m_tried = 0;              ///< Owners already tried in this round.
    std::optional<duration> m_least_wait; ///< Least wait among the owners of this round that have no token.
    boot_instant m_refused_until{};       ///< Requests are refused without asking until then.
    boot_instant m_available_at{};        ///< While they are: when a token is available.
    boot_instant m_ask_ahead_at{};        ///< Tokens are not asked for in advance before.
    double m_recent_requests = 0.0;       ///< Requests, each weighted by its age.
    boot_instant m_counted_at{};          ///< When the last one came.
};

} // namespace waxwing

#endif
