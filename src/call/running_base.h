/** @file running_base.h The calls that the target beside this node is running, as their sub-calls see them.
 */
#ifndef WAXWING_CALL_RUNNING_BASE_H
#define WAXWING_CALL_RUNNING_BASE_H

#include "policy/policy.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace waxwing {

/** One call that the target is running. */
struct running_call {
    call_context m_context;         ///< Of the call; its time left is as of the arrival.
    std::string m_request_id;       ///< Its id towards the target; empty where it has none.
    caller_name m_caller;           ///< The outside caller.
    instant m_deadline;             ///< The call must have ended by then.
    retry_tokens m_tokens{0};       ///< Not lent at present.
    unsigned m_open_sub_calls = 0;  ///< Sub-calls without an answer.
    instant m_waiting_since{};      ///< When the first of the open sub-calls began.
    duration m_waited{};            ///< Time with at least one open sub-call, but for the present stretch.
    priority m_threshold;           ///< Highest threshold that a sub-call met.
    bool m_sub_call_failed = false; ///< Whether a sub-call was refused or failed.
};

/**
 * The table of running calls that a node's entry and runner share. Bounded by the target's concurrency limit.
 * Thread safety: none needed; one owner.
 */
class running_calls {
public:
    /** Adds @p attempt. @pre It is not in the table. */
    void add(attempt_id attempt, const running_call& started);

    /** Finds the call whose id towards the target is @p request_id; none where there is none. */
    std::optional<attempt_id> with_request_id(const std::string& request_id) const;

    /** Finds the call whose deadline is the nearest to @p deadline, at most @p tolerance off; none where
     * there is none. */
    std::optional<attempt_id> nearest(instant deadline, duration tolerance) const;

    /** Finds @p attempt; null where it does not run here. The pointer holds until the next add or remove. */
    running_call* find(attempt_id attempt);

    /** Takes @p attempt out. */
    void remove(attempt_id attempt);

    /** Takes note that a sub-call of @p parent begins. */
    static void begin_sub_call(running_call& parent, instant now);

    /** Takes note that a sub-call of @p parent ended. */
    static void end_sub_call(running_call& parent, instant now);

private:
    std::unordered_map<attempt_id, running_call> m_calls;
    std::set<std::pair<instant, attempt_id>> m_deadlines;      ///< Of all calls.
    std::unordered_map<std::string, attempt_id> m_request_ids; ///< Of the calls that have one.
};

} // namespace waxwing

#endif
