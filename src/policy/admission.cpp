/** @file admission.cpp Admission at a target's node. */
#include "policy/admission_base.h"

#include "policy/limit_base.h"
#include "policy/number_func.h"
#include "policy/queue_base.h"
#include "policy/run_estimate_base.h"
#include "policy/shed_base.h"

namespace waxwing {

namespace {

constexpr std::uint32_t room_most = 65536;                        ///< A larger room counts as this.
constexpr std::size_t alone_most = 16;                            ///< Calls that wait to run alone, at most.
constexpr std::uint32_t headroom_limit = 3;                       ///< A lower limit keeps no headroom.
constexpr duration barrier_most = std::chrono::milliseconds(100); ///< One call may hold others back so long.
constexpr int rest_factor = 4;                                    ///< Rest after a barrier, in its lengths.
constexpr duration shed_retry = std::chrono::seconds(1);          ///< Hint after shedding.
constexpr duration busy_retry = std::chrono::milliseconds(300);   ///< Hint after other refusals.

/** Gives the hint that goes with a refusal by @p why. */
duration retry_after(rule why)
{
    if (!info_of(why).m_retry_later) {
        return duration::zero();
    }
    return why == rule::shed ? shed_retry : busy_retry;
}

} // namespace

/** The calls, the limit and what holds them back. */
struct admission::state {
    explicit state(const admission_settings& settings) : m_settings(settings), m_limit(settings.m_limit)
    {
        m_shed.configure(settings.m_target_queue_delay);
    }

    admission_settings m_settings;         ///< The settings in force.
    concurrency_limit m_limit;             ///< The concurrency limit.
    shed_threshold m_shed;                 ///< The threshold.
    run_estimate m_run;                    ///< How long calls run at the least.
    call_table m_calls;                    ///< What waits and runs.
    rule m_closed = rule::none;            ///< Why nothing is taken; none where calls are.
    std::size_t m_alone_waiting = 0;       ///< Calls that wait to run alone.
    std::size_t m_ordinary_running = 0;    ///< Calls that run and may not use the headroom.
    bool m_alone_running = false;          ///< Whether one runs alone.
    std::optional<instant> m_barrier;      ///< Since when others are held back for it.
    instant m_rest_until = instant::min(); ///< Nothing is held back until then.

    /** Refuses @p call, which does not wait, by @p why. */
    void refuse(held_call& call, rule why, std::vector<admission_action>& actions);

    /** Takes @p call out of the queue. */
    void take_out(held_call& call);

    /** Accounts for the time up to @p now, and sheds from the queue where the threshold rose. */
    void advance(instant now, std::vector<admission_action>& actions);

    /** Finds why @p request is not taken into the queue; none where it is. */
    rule refusal_of(instant now, const admission_request& request) const;

    /** Refuses what has waited too long. */
    void expire(instant now, std::vector<admission_action>& actions);

    /** Tells whether @p call could still end by its deadline. */
    bool can_finish(instant now, const admission_request& request) const;

    /** Counts the slots out of @p limit that only important calls may use. */
    std::uint32_t headroom(std::uint32_t limit) const;

    /** Tells whether @p request may use the headroom. */
    bool is_important(const admission_request& request) const
    {
        return request.m_priority.importance() >= m_settings.m_headroom_importance;
    }

    /**
     * Tells whether the threshold sheds @p request. Sub-calls are never shed: refusing one wastes the slots
     * and the work of all calls above it, so the threshold travels up and entries refuse whole requests.
     */
    bool is_shed(const admission_request& request) const
    {
        return request.m_depth == 0 && request.m_priority < m_shed.value();
    }

    /**
     * Gives the time at which @p request, queued at @p now, is refused. A sub-call waits until its deadline:
     * in the time of a surge that the threshold needs to act, refusing sub-calls sooner wastes whole requests
     * that would still end in time.
     */
    instant expiry_of(instant now, const admission_request& request) const
    {
        const duration most = std::max(m_settings.m_queue_timeout, duration::zero());
        return request.m_depth > 0 ? request.m_deadline
                                   : std::min(request.m_deadline, add_saturating(now, most));
    }

    /** Tells whether a slot is free for @p request. */
    bool has_slot(instant now, const admission_request& request) const;

    /** Finds the call that starts next; null where none may. */
    held_call* next_to_start(instant now);

    /** Starts what may start. */
    void dispatch(instant now, std::vector<admission_action>& actions);

    /** Starts @p call, which waits. */
    void start(instant now, held_call& call, std::vector<admission_action>& actions);

    /** Ends the time in which others are held back. */
    void end_barrier(instant now);
};

void admission::state::refuse(held_call& call, rule why, std::vector<admission_action>& actions)
{
    actions.emplace_back(admission_refuse{call.m_request.m_attempt, why, retry_after(why)});
    m_calls.drop(call);
}

void admission::state::take_out(held_call& call)
{
    m_calls.dequeue(call);
    m_alone_waiting -= call.m_request.m_exclusive ? 1 : 0;
}

bool admission::state::can_finish(instant now, const admission_request& request) const
{
    return now < request.m_deadline && add_saturating(now, m_run.value(now)) <= request.m_deadline;
}

void admission::state::end_barrier(instant now)
{
    if (m_barrier) {
        const duration held = std::min(elapsed(*m_barrier, now), duration::max() / rest_factor);
        m_rest_until = add_saturating(now, held * rest_factor);
        m_barrier.reset();
    }
}

void admission::state::expire(instant now, std::vector<admission_action>& actions)
{
    for (held_call* call = m_calls.first_to_expire(); call != nullptr && call->m_expires <= now;
         call = m_calls.first_to_expire()) {
        take_out(*call);
        const bool late = call->m_request.m_deadline <= now;
        const rule waited = call->m_request.m_exclusive ? rule::suspect_waiting : rule::queue_timeout;
        refuse(*call, late ? rule::deadline_expired : waited, actions);
        m_shed.count_loss();
    }
    if (m_barrier && !m_alone_running && (m_alone_waiting == 0 || elapsed(*m_barrier, now) >= barrier_most)) {
        end_barrier(now);
    }
}

std::uint32_t admission::state::headroom(std::uint32_t limit) const
{
    if (limit < headroom_limit) {
        return 0;
    }
    const double share = clamp_number(m_settings.m_headroom_ratio, 0.0, 1.0);
    return std::clamp(static_cast<std::uint32_t>(std::ceil(share * limit)), 1U, limit - 1);
}

bool admission::state::has_slot(instant now, const admission_request& request) const
{
    const std::uint32_t limit = m_limit.value(now);
    return m_calls.running() < limit &&
           (is_important(request) || m_ordinary_running < limit - headroom(limit));
}

void admission::state::advance(instant now, std::vector<admission_action>& actions)
{
    const std::uint32_t limit = m_limit.value(now);
    const std::size_t important = m_calls.running() - m_ordinary_running;
    const std::size_t usable = std::min<std::size_t>(limit, limit - headroom(limit) + important);
    const shed_view view{m_calls.waiting(), m_calls.running(), usable};
    m_limit.advance(now, view.m_running, view.m_waiting > 0 || view.m_running >= usable);
    if (m_shed.advance(now, view)) {
        held_call* call = m_calls.worst();
        while (call != nullptr && call->m_request.m_priority < m_shed.value()) {
            held_call* const next = m_calls.next_before(*call);
            if (is_shed(call->m_request)) {
                take_out(*call);
                refuse(*call, rule::shed, actions);
            }
            call = next;
        }
    }
    expire(now, actions);
}

rule admission::state::refusal_of(instant now, const admission_request& request) const
{
    if (m_closed != rule::none) {
        return m_closed;
    }
    if (!can_finish(now, request)) {
        return rule::deadline_expired;
    }
    if (is_shed(request)) {
        return rule::shed;
    }
    return request.m_exclusive && m_alone_waiting >= alone_most ? rule::suspect_waiting : rule::none;
}

held_call* admission::state::next_to_start(instant now)
{
    if (m_alone_running) {
        return nullptr;
    }
    held_call* call = m_calls.best();
    const bool resting = now < m_rest_until;
    while (call != nullptr && call->m_request.m_exclusive && resting && m_calls.waiting() > m_alone_waiting) {
        call = m_calls.next_after(*call);
    }
    if (call == nullptr) {
        return nullptr;
    }
    if (!call->m_request.m_exclusive) {
        return has_slot(now, call->m_request) ? call : nullptr;
    }
    if (m_calls.running() > 0 && !resting && !m_barrier) {
        m_barrier = now;
    }
    return m_calls.running() == 0 ? call : nullptr;
}

void admission::state::start(instant now, held_call& call, std::vector<admission_action>& actions)
{
    take_out(call);
    call.m_important = is_important(call.m_request);
    if (!can_finish(now, call.m_request)) {
        refuse(call, rule::deadline_expired, actions);
        return;
    }
    if (call.m_request.m_exclusive) {
        m_alone_running = true;
        m_barrier = m_barrier.value_or(now);
    }
    m_calls.start(call, now);
    m_ordinary_running += call.m_important ? 0 : 1;
    m_shed.count_start();
    actions.emplace_back(admission_start{call.m_request.m_attempt});
}

void admission::state::dispatch(instant now, std::vector<admission_action>& actions)
{
    for (held_call* call = next_to_start(now); call != nullptr; call = next_to_start(now)) {
        start(now, *call, actions);
    }
}

admission::admission(const admission_settings& settings) : m_state(std::make_unique<state>(settings)) {}
admission::~admission() = default;
admission::admission(admission&&) noexcept = default;
admission& admission::operator=(admission&&) noexcept = default;

void admission::configure(const admission_settings& settings)
{
    m_state->m_settings = settings;
    m_state->m_limit.configure(settings.m_limit);
    m_state->m_shed.configure(settings.m_target_queue_delay);
}

void admission::offer(instant now, const admission_request& request, std::vector<admission_action>& actions)
{
    state& own = *m_state;
    if (own.m_calls.find(request.m_attempt) != nullptr) {
        return;
    }
    own.advance(now, actions);
    own.m_shed.count_offer(request.m_priority);
    held_call& call = own.m_calls.add(request, now);
    const rule refusal = own.refusal_of(now, request);
    if (refusal != rule::none) {
        own.refuse(call, refusal, actions);
        own.dispatch(now, actions);
        return;
    }
    own.m_alone_waiting += request.m_exclusive ? 1 : 0;
    own.m_calls.enqueue(call, own.expiry_of(now, request), own.m_shed.overloaded());
    own.dispatch(now, actions);
    if (own.m_calls.waiting() > std::min(own.m_settings.m_queue_capacity, room_most)) {
        held_call& worst = *own.m_calls.worst();
        own.take_out(worst);
        own.refuse(worst, rule::overloaded, actions);
        own.m_shed.count_loss();
    }
}

void admission::finish(instant now, attempt_id attempt, duration run_time, run_end end,
                       std::vector<admission_action>& actions)
{
    state& own = *m_state;
    held_call* call = own.m_calls.find(attempt);
    if (call == nullptr || !call->m_running) {
        return;
    }
    own.advance(now, actions);
    own.m_limit.record(run_time, elapsed(call->m_started, now), end);
    if (end == run_end::succeeded) {
        own.m_run.record(now, run_time);
    }
    if (call->m_request.m_exclusive) {
        own.m_alone_running = false;
        own.end_barrier(now);
    }
    own.m_shed.count_end();
    own.m_ordinary_running -= call->m_important ? 0 : 1;
    own.m_calls.drop(*call);
    own.dispatch(now, actions);
}

bool admission::cancel(attempt_id attempt)
{
    held_call* call = m_state->m_calls.find(attempt);
    if (call == nullptr || call->m_running) {
        return false;
    }
    m_state->take_out(*call);
    m_state->m_calls.drop(*call);
    return true;
}

void admission::tick(instant now, std::vector<admission_action>& actions)
{
    m_state->advance(now, actions);
    m_state->dispatch(now, actions);
}

instant admission::next_tick() const
{
    const state& own = *m_state;
    const held_call* first = m_state->m_calls.first_to_expire();
    instant next = first == nullptr ? instant::max() : first->m_expires;
    if (own.m_barrier && !own.m_alone_running) {
        next = std::min(next, own.m_alone_waiting == 0 ? *own.m_barrier
                                                       : add_saturating(*own.m_barrier, barrier_most));
    }
    const bool moving = first != nullptr || own.m_shed.value().m_value > 0;
    return moving ? std::min(next, own.m_shed.window_end()) : next;
}

void admission::hint(instant now, std::uint32_t slots)
{
    m_state->m_limit.hint(now, slots);
}

void admission::close(rule why, std::vector<admission_action>& actions)
{
    m_state->m_closed = why == rule::none ? rule::draining : why;
    for (held_call* call = m_state->m_calls.best(); call != nullptr; call = m_state->m_calls.best()) {
        m_state->take_out(*call);
        m_state->refuse(*call, m_state->m_closed, actions);
    }
}

void admission::reopen()
{
    m_state->m_closed = rule::none;
}

load_report admission::report(instant now) const
{
    load_report report;
    report.m_in_progress = static_cast<std::uint32_t>(m_state->m_calls.running());
    report.m_queued = static_cast<std::uint32_t>(m_state->m_calls.waiting());
    report.m_limit = m_state->m_limit.value(now);
    report.m_threshold = m_state->m_shed.value();
    return report;
}

} // namespace waxwing
