/** @file admission_base.h Admission at a target's node: the limit, the queue and the threshold. */
#ifndef WAXWING_POLICY_ADMISSION_BASE_H
#define WAXWING_POLICY_ADMISSION_BASE_H

#include "policy/settings_type.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace waxwing {

/** A call offered for admission. */
struct admission_request {
    attempt_id m_attempt;     ///< Unique among the waiting and running calls.
    priority m_priority;      ///< Higher priorities start first and are shed last.
    std::uint8_t m_depth = 0; ///< Calls above it in the request's tree; zero for a whole request. Deeper
                              ///< calls start first among equal priorities.
    instant m_deadline;       ///< The call must have ended by then.
    bool m_exclusive = false; ///< Whether the call runs only while no other call runs.
};

/** Start the call. */
struct admission_start {
    attempt_id m_attempt; ///< The call.
};

/** Refuse the call without running it. */
struct admission_refuse {
    attempt_id m_attempt;     ///< The call.
    rule m_rule = rule::none; ///< The rule that refused it.
    duration m_retry_after{}; ///< Retry delay suggested to the caller.
};

/** A decision of admission. */
using admission_action = std::variant<admission_start, admission_refuse>;

/** How a run ended. */
enum class run_end {
    succeeded, ///< The target answered.
    failed,    ///< The target failed or answered with a 5xx status.
    refused,   ///< The target itself refused the call for overload.
    cancelled  ///< The caller no longer waited; not counted for or against the target.
};

/**
 * Decides which calls run at one target. Every offered call gets exactly one admission_start or
 * admission_refuse, unless cancel removes it first. Thread safety: none; one owner.
 */
class admission {
public:
    explicit admission(const admission_settings& settings);
    ~admission();
    admission(admission&&) noexcept;
    admission& operator=(admission&&) noexcept;

    /** Applies @p settings; waiting and running calls stay. */
    void configure(const admission_settings& settings);

    /**
     * Offers @p request and appends the resulting decisions to @p actions.
     * @pre Its attempt neither waits nor runs.
     */
    void offer(instant now, const admission_request& request, std::vector<admission_action>& actions);

    /** Ends the run of @p attempt, which took @p run_time. Ignored if it is not running. */
    void finish(instant now, attempt_id attempt, duration run_time, run_end end,
                std::vector<admission_action>& actions);

    /** Removes @p attempt from the queue. @return whether it was waiting there. */
    bool cancel(attempt_id attempt);

    /** Refuses calls that have waited too long and starts others. Call at next_tick. */
    void tick(instant now, std::vector<admission_action>& actions);

    /** Returns the time at which tick is next due; instant::max if it is not. */
    instant next_tick() const;

    /**
     * Lowers the limit to @p slots for two seconds, as reported by the target's load endpoint; never raises
     * it.
     */
    void hint(instant now, std::uint32_t slots);

    /** Starts no more than @p rate calls a second, as the target asks; none ends the limit. Calls in progress
     * continue. */
    void limit_starts(instant now, std::optional<double> rate, std::vector<admission_action>& actions);

    /** Refuses all waiting calls by @p reason, and all new ones until reopen; running calls continue. */
    void close(rule reason, std::vector<admission_action>& actions);

    /** Admits calls again after close. */
    void reopen();

    /** Returns the load report that is sent to peers. Its limit is lower while runs at the target fail, so
     * that peers send it less: a failing target that passes its health check would otherwise keep its share.
     */
    load_report report(instant now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
