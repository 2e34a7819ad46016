/** @file running_base.h Table of the calls that run at the target, with the state of their sub-calls. */
#ifndef WAXWING_CALL_RUNNING_BASE_H
#define WAXWING_CALL_RUNNING_BASE_H

#include "policy/policy.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace waxwing {

/** Call that runs at the target. */
struct running_call {
    call_context m_context;         ///< Context of the call; its time left is as of the arrival.
    std::string m_request_id;       ///< Request id sent to the target; empty if there is none.
    caller_name m_caller;           ///< Outside caller.
    instant m_deadline;             ///< Time by which the call must end.
    retry_tokens m_tokens{0};       ///< Retry tokens that are not lent to sub-calls.
    unsigned m_open_sub_calls = 0;  ///< Number of sub-calls without an answer.
    instant m_waiting_since{};      ///< Start of the current period with open sub-calls.
    duration m_waited{};            ///< Total time with open sub-calls, without the current period.
    priority m_threshold;           ///< Highest shedding threshold reported to a sub-call.
    bool m_sub_call_failed = false; ///< Whether a sub-call was refused or failed.
};

/** Statuses from here on report a failure of the target. */
inline constexpr std::uint16_t min_failure_status = 500;

/**
 * Table of running calls, shared by the entry and the runner of a node. Its size is bounded by the target's
 * concurrency limit.
 * Thread safety: none; used by a single owner.
 */
class running_calls {
public:
    /** Adds @p attempt. @pre @p attempt is not in the table. */
    void add(attempt_id attempt, const running_call& running);

    /** Returns the call that was sent to the target with @p request_id, if any. */
    std::optional<attempt_id> with_request_id(const std::string& request_id) const;

    /** Returns the call whose deadline is nearest to @p deadline and at most @p tolerance away from it, if
     * any. */
    std::optional<attempt_id> nearest(instant deadline, duration tolerance) const;

    /** Returns @p attempt, or null if it does not run here. The pointer is valid until the next add or
     * remove. */
    running_call* find(attempt_id attempt);

    /** Removes @p attempt, if present. */
    void remove(attempt_id attempt);

    /** Records that a sub-call of @p parent began. */
    static void begin_sub_call(running_call& parent, instant now);

    /** Records that a sub-call of @p parent ended. */
    static void end_sub_call(running_call& parent, instant now);

private:
    std::unordered_map<attempt_id, running_call> m_calls;
    std::set<std::pair<instant, attempt_id>> m_deadlines;      ///< Calls by deadline.
    std::unordered_map<std::string, attempt_id> m_request_ids; ///< Calls by request id, if they have one.
};

} // namespace waxwing

#endif
