/** @file admission_base.h Admission at a target's node: the limit, the queue and the threshold. */
#ifndef WAXWING_POLICY_ADMISSION_BASE_H
#define WAXWING_POLICY_ADMISSION_BASE_H

#include "policy/settings_type.h"

#include <memory>
#include <variant>
#include <vector>

namespace waxwing {

/** A call that asks to run. */
struct admission_request {
    attempt_id m_attempt;     ///< Unique among those waiting or running.
    priority m_priority;      ///< Who goes first.
    std::uint8_t m_depth = 0; ///< Deeper goes first among equals.
    instant m_deadline;       ///< It must have ended by then.
    bool m_exclusive = false; ///< Runs only while nothing else runs, and nothing starts beside it.
};

/** Start to run the call. */
struct admission_start {
    attempt_id m_attempt; ///< Which.
};

/** Refuse the call; it did not run. */
struct admission_refuse {
    attempt_id m_attempt;     ///< Which.
    rule m_rule = rule::none; ///< Why.
    duration m_retry_after{}; ///< Hint to the caller.
};

/** What admission decides. */
using admission_action = std::variant<admission_start, admission_refuse>;

/** How a run ended. */
enum class run_end {
    succeeded, ///< The target answered.
    failed,    ///< The target failed or answered 5xx.
    refused,   ///< The target itself shed the call.
    cancelled  ///< Nobody waited any more; says nothing about the target.
};

/**
 * Decides what runs at one target. Every offered call gets exactly one start or refuse, unless cancel takes
 * it out. Thread safety: none needed; one owner.
 */
class admission {
public:
    explicit admission(const admission_settings& settings);
    ~admission();
    admission(admission&&) noexcept;
    admission& operator=(admission&&) noexcept;

    /** Takes new settings into force; calls that wait or run stay. */
    void configure(const admission_settings& settings);

    /** Offers @p request. @pre Its attempt neither waits nor runs. Decisions are added to @p actions. */
    void offer(instant now, const admission_request& request, std::vector<admission_action>& actions);

    /** Ends the run of @p attempt, which took @p run_time. Ignored where it does not run. */
    void finish(instant now, attempt_id attempt, duration run_time, run_end end,
                std::vector<admission_action>& actions);

    /** Takes @p attempt out of the queue. @return whether it was waiting there. */
    bool cancel(attempt_id attempt);

    /** Refuses what has waited too long. Call at next_tick. */
    void tick(instant now, std::vector<admission_action>& actions);

    /** Gives the time at which tick has something to do; instant::max where never. */
    instant next_tick() const;

    /** Lowers the limit to @p slots for a while, as the target's load endpoint hints; never raises it. */
    void hint(instant now, std::uint32_t slots);

    /** Refuses all that waits with @p why and takes nothing new until reopened; runs go on. */
    void close(rule why, std::vector<admission_action>& actions);

    /** Takes calls again. */
    void reopen();

    /** Gives the load as peers should see it. */
    load_report report(instant now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
