/** @file admission.cpp Admission at a target's node. */
#include "policy/admission_base.h"

#include "policy/failure_ratio_base.h"
#include "policy/limit_base.h"
#include "policy/number_func.h"
#include "policy/queue_base.h"
#include "policy/run_estimate_base.h"
#include "policy/shed_base.h"
#include "policy/start_rate_base.h"

namespace waxwing {

namespace {

/** A larger configured queue capacity is reduced to this. */
constexpr std::uint32_t max_queue_capacity = 65536;
constexpr std::size_t max_exclusive_waiting = 16; ///< Exclusive calls that may wait at a time.
constexpr std::uint32_t min_headroom_limit = 3;   ///< Below this limit, no headroom is reserved.
/** A waiting exclusive call blocks other starts for no longer. */
constexpr duration max_barrier_duration = std::chrono::milliseconds(100);
constexpr int barrier_pause_factor = 4; ///< Pause after a barrier, as a multiple of its duration.
constexpr duration shed_retry_delay = std::chrono::seconds(1); ///< Retry hint after shedding.
/** Retry hint after other refusals that may be retried. */
constexpr duration busy_retry_delay = std::chrono::milliseconds(300);

/** Time for a refusal to reach the target that made the sub-call. */
constexpr duration refusal_delivery_time = std::chrono::milliseconds(10);

/** Returns the retry hint for a refusal by @p reason; zero if a retry is not advised. */
duration retry_after(rule reason)
{
    if (!info_of(reason).m_retry_later) {
        return duration::zero();
    }
    return reason == rule::shed ? shed_retry_delay : busy_retry_delay;
}

} // namespace

/** The calls, and the limit, threshold and barrier that control them. */
struct admission::state {
    explicit state(const admission_settings& settings) : m_settings(settings), m_limit(settings.m_limit)
    {
        m_shed_threshold.configure(settings.m_target_queue_delay);
    }

    admission_settings m_settings;       ///< The current settings.
    concurrency_limit m_limit;           ///< The concurrency limit.
    shed_threshold m_shed_threshold;     ///< The threshold below which calls are shed.
    run_estimate m_run_estimate;         ///< Lower estimate of the run time.
    failure_ratio m_failure_ratio;       ///< Part of the runs that fail.
    call_table m_calls;                  ///< The waiting and running calls.
    rule m_close_reason = rule::none;    ///< The rule that refuses all calls while closed; none while open.
    std::size_t m_exclusive_waiting = 0; ///< Waiting exclusive calls.
    std::size_t m_ordinary_running = 0;  ///< Running calls that may not use the headroom.
    bool m_exclusive_running = false;    ///< Whether an exclusive call runs.
    /** Start of the barrier: other starts are blocked in favour of an exclusive call. */
    std::optional<instant> m_barrier_since;
    instant m_next_barrier_at = instant::min(); ///< No barrier is raised before.
    start_rate m_start_rate;                    ///< Limits the starts to the rate that the target names.
    instant m_rate_allows_at = instant::max();  ///< When the rate allows the next waiting call to start.

    /** Refuses @p call by @p reason. @pre It does not wait. */
    void refuse(call_entry& call, rule reason, std::vector<admission_action>& actions);

    /** Removes @p call from the queue. */
    void dequeue(call_entry& call);

    /** Accounts for the time up to @p now, sheds queued calls if the threshold rose, and expires calls. */
    void advance(instant now, std::vector<admission_action>& actions);

    /** Returns the rule by which @p request is not queued; none if it may be. */
    rule refusal_reason(instant now, const admission_request& request) const;

    /** Refuses calls that have waited too long, and ends a barrier that is over. */
    void expire(instant now, std::vector<admission_action>& actions);

    /** Returns whether @p request, started now, could still end by its deadline. */
    bool can_finish(instant now, const admission_request& request) const;

    /** Returns how many calls may wait: no more than the target's rate allows to start within the longest
     * time in queue, so that others are sent to another target at once. */
    std::size_t queue_capacity() const
    {
        const std::size_t capacity = std::min(m_settings.m_queue_capacity, max_queue_capacity);
        const duration longest = std::max(m_settings.m_queue_timeout, duration::zero());
        const std::optional<double> startable = m_start_rate.starts_within(longest);
        return startable ? std::min(capacity, static_cast<std::size_t>(*startable)) : capacity;
    }

    /**
     * Returns the limit to report to peers. A rate named by the target lowers it to the calls that are in
     * progress on average at that rate. It is lowered while runs fail, far more than in proportion: a
     * target that fails half of its calls serves no request whose tree makes several, and one that fails fast
     * always looks idle.
     */
    std::uint32_t reported_limit(instant now) const
    {
        constexpr double failure_exponent = 4.0;
        const double factor = std::pow(1.0 - m_failure_ratio.value(now), failure_exponent);
        const double slots = m_limit.value(now);
        const double limit = std::min(slots, m_start_rate.mean_in_progress().value_or(slots));
        return std::max(1U, static_cast<std::uint32_t>(std::lround(limit * factor)));
    }

    /** Returns how many slots of @p limit are reserved for important calls. */
    std::uint32_t headroom(std::uint32_t limit) const;

    /** Returns whether @p request may use the headroom. */
    bool is_important(const admission_request& request) const
    {
        return request.m_priority.importance() >= m_settings.m_headroom_importance;
    }

    /**
     * Returns whether the threshold sheds @p request. Sub-calls are never shed: refusing one wastes the slots
     * and the work of all calls above it. Instead, the threshold is reported up the call tree, and entries
     * refuse whole requests.
     */
    bool is_shed(const admission_request& request) const
    {
        return request.m_depth == 0 && request.m_priority < m_shed_threshold.value();
    }

    /**
     * Returns the time at which @p request, queued at @p now, is refused. A sub-call waits until it can no
     * longer end by its deadline: until the threshold reacts to a surge, refusing sub-calls sooner would
     * waste whole requests that could still end in time. Waiting until the deadline itself would be too long:
     * its caller then times out, and answers before it learns the threshold that the refusal carries.
     */
    instant expiry_of(instant now, const admission_request& request) const
    {
        if (request.m_depth > 0) {
            const duration margin = std::max(m_run_estimate.value(now), refusal_delivery_time);
            return request.m_deadline - std::min(margin, elapsed(now, request.m_deadline));
        }
        const duration timeout = std::max(m_settings.m_queue_timeout, duration::zero());
        return std::min(request.m_deadline, add_saturating(now, timeout));
    }

    /** Returns whether a slot is free for @p request. */
    bool has_slot(instant now, const admission_request& request) const;

    /**
     * Returns the waiting call that starts next, raising a barrier if an exclusive call must wait; null if
     * none may start.
     */
    call_entry* next_to_start(instant now);

    /** Starts all calls that may start. */
    void dispatch(instant now, std::vector<admission_action>& actions);

    /** Starts @p call, or refuses it if it can no longer end by its deadline. @pre It waits. */
    void start(instant now, call_entry& call, std::vector<admission_action>& actions);

    /** Ends the barrier and begins the pause before the next one. */
    void end_barrier(instant now);
};

void admission::state::refuse(call_entry& call, rule reason, std::vector<admission_action>& actions)
{
    actions.emplace_back(admission_refuse{call.m_request.m_attempt, reason, retry_after(reason)});
    m_calls.erase(call);
}

void admission::state::dequeue(call_entry& call)
{
    m_calls.dequeue(call);
    m_exclusive_waiting -= call.m_request.m_exclusive ? 1 : 0;
}

bool admission::state::can_finish(instant now, const admission_request& request) const
{
    return now < request.m_deadline && add_saturating(now, m_run_estimate.value(now)) <= request.m_deadline;
}

void admission::state::end_barrier(instant now)
{
    if (m_barrier_since) {
        const duration barrier_duration =
            std::min(elapsed(*m_barrier_since, now), duration::max() / barrier_pause_factor);
        m_next_barrier_at = add_saturating(now, barrier_duration * barrier_pause_factor);
        m_barrier_since.reset();
    }
}

void admission::state::expire(instant now, std::vector<admission_action>& actions)
{
    for (call_entry* call = m_calls.first_to_expire(); call != nullptr && call->m_expires_at <= now;
         call = m_calls.first_to_expire()) {
        dequeue(*call);
        const bool deadline_passed = call->m_request.m_deadline <= now;
        const rule timeout_rule = call->m_request.m_exclusive ? rule::suspect_waiting : rule::queue_timeout;
        refuse(*call, deadline_passed ? rule::deadline_expired : timeout_rule, actions);
        m_shed_threshold.count_dropped();
    }
    if (m_barrier_since && !m_exclusive_running &&
        (m_exclusive_waiting == 0 || elapsed(*m_barrier_since, now) >= max_barrier_duration)) {
        end_barrier(now);
    }
}

std::uint32_t admission::state::headroom(std::uint32_t limit) const
{
    if (limit < min_headroom_limit) {
        return 0;
    }
    const double ratio = clamp_number(m_settings.m_headroom_ratio, 0.0, 1.0);
    return std::clamp(static_cast<std::uint32_t>(std::ceil(ratio * limit)), 1U, limit - 1);
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
    const std::size_t free_usable = std::min<std::size_t>(limit, limit - headroom(limit) + important);
    const bool is_rate_reached = m_start_rate.wait(now) > duration::zero();
    const std::size_t usable =
        is_rate_reached ? std::clamp<std::size_t>(m_calls.running(), 1, free_usable) : free_usable;
    const shed_view view{m_calls.waiting(), m_calls.running(), usable};
    m_limit.advance(now, view.m_running,
                    (view.m_waiting > 0 && !is_rate_reached) || view.m_running >= free_usable);
    if (m_shed_threshold.advance(now, view)) {
        call_entry* call = m_calls.worst();
        while (call != nullptr && call->m_request.m_priority < m_shed_threshold.value()) {
            call_entry* const next = m_calls.next_before(*call);
            if (is_shed(call->m_request)) {
                dequeue(*call);
                refuse(*call, rule::shed, actions);
            }
            call = next;
        }
    }
    expire(now, actions);
}

rule admission::state::refusal_reason(instant now, const admission_request& request) const
{
    if (m_close_reason != rule::none) {
        return m_close_reason;
    }
    if (!can_finish(now, request)) {
        return rule::deadline_expired;
    }
    if (is_shed(request)) {
        return rule::shed;
    }
    return request.m_exclusive && m_exclusive_waiting >= max_exclusive_waiting ? rule::suspect_waiting
                                                                               : rule::none;
}

call_entry* admission::state::next_to_start(instant now)
{
    m_rate_allows_at = instant::max();
    if (m_exclusive_running) {
        return nullptr;
    }
    if (const duration wait = m_start_rate.wait(now); wait > duration::zero()) {
        m_rate_allows_at = add_saturating(now, wait);
        return nullptr;
    }
    call_entry* call = m_calls.best();
    const bool barrier_paused = now < m_next_barrier_at;
    while (call != nullptr && call->m_request.m_exclusive && barrier_paused &&
           m_calls.waiting() > m_exclusive_waiting) {
        call = m_calls.next_after(*call);
    }
    if (call == nullptr) {
        return nullptr;
    }
    if (!call->m_request.m_exclusive) {
        return has_slot(now, call->m_request) ? call : nullptr;
    }
    if (m_calls.running() > 0 && !barrier_paused && !m_barrier_since) {
        m_barrier_since = now;
    }
    return m_calls.running() == 0 ? call : nullptr;
}

void admission::state::start(instant now, call_entry& call, std::vector<admission_action>& actions)
{
    dequeue(call);
    call.m_important = is_important(call.m_request);
    if (!can_finish(now, call.m_request)) {
        refuse(call, rule::deadline_expired, actions);
        return;
    }
    if (call.m_request.m_exclusive) {
        m_exclusive_running = true;
        m_barrier_since = m_barrier_since.value_or(now);
    }
    m_calls.start(call, now);
    m_start_rate.count_start(now);
    m_ordinary_running += call.m_important ? 0 : 1;
    m_shed_threshold.count_start();
    actions.emplace_back(admission_start{call.m_request.m_attempt});
}

void admission::state::dispatch(instant now, std::vector<admission_action>& actions)
{
    for (call_entry* call = next_to_start(now); call != nullptr; call = next_to_start(now)) {
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
    m_state->m_shed_threshold.configure(settings.m_target_queue_delay);
}

void admission::offer(instant now, const admission_request& request, std::vector<admission_action>& actions)
{
    state& impl = *m_state;
    if (impl.m_calls.find(request.m_attempt) != nullptr) {
        return;
    }
    impl.advance(now, actions);
    impl.m_shed_threshold.count_offer(request.m_priority);
    call_entry& call = impl.m_calls.add(request, now);
    const rule refusal = impl.refusal_reason(now, request);
    if (refusal != rule::none) {
        impl.refuse(call, refusal, actions);
        impl.dispatch(now, actions);
        return;
    }
    impl.m_exclusive_waiting += request.m_exclusive ? 1 : 0;
    impl.m_calls.enqueue(call, impl.expiry_of(now, request), impl.m_shed_threshold.overloaded());
    impl.dispatch(now, actions);
    if (impl.m_calls.waiting() > impl.queue_capacity()) {
        call_entry& worst = *impl.m_calls.worst();
        impl.dequeue(worst);
        impl.refuse(worst, rule::overloaded, actions);
        impl.m_shed_threshold.count_dropped();
    }
}

void admission::finish(instant now, attempt_id attempt, duration run_time, run_end end,
                       std::vector<admission_action>& actions)
{
    state& impl = *m_state;
    call_entry* call = impl.m_calls.find(attempt);
    if (call == nullptr || !call->m_running) {
        return;
    }
    impl.advance(now, actions);
    const duration slot_duration = elapsed(call->m_started_at, now);
    impl.m_limit.record(run_time, slot_duration, end);
    impl.m_start_rate.record_slot_duration(slot_duration);
    if (end == run_end::succeeded) {
        impl.m_run_estimate.record(now, run_time);
    }
    if (end == run_end::succeeded || end == run_end::failed) {
        impl.m_failure_ratio.record(now, end == run_end::failed);
    }
    if (call->m_request.m_exclusive) {
        impl.m_exclusive_running = false;
        impl.end_barrier(now);
    }
    impl.m_shed_threshold.count_end();
    impl.m_ordinary_running -= call->m_important ? 0 : 1;
    impl.m_calls.erase(*call);
    impl.dispatch(now, actions);
}

bool admission::cancel(attempt_id attempt)
{
    call_entry* call = m_state->m_calls.find(attempt);
    if (call == nullptr || call->m_running) {
        return false;
    }
    m_state->dequeue(*call);
    m_state->m_calls.erase(*call);
    return true;
}

void admission::tick(instant now, std::vector<admission_action>& actions)
{
    m_state->advance(now, actions);
    m_state->dispatch(now, actions);
}

instant admission::next_tick() const
{
    const state& impl = *m_state;
    const call_entry* first = m_state->m_calls.first_to_expire();
    instant next = first == nullptr ? instant::max() : std::min(first->m_expires_at, impl.m_rate_allows_at);
    if (impl.m_barrier_since && !impl.m_exclusive_running) {
        next = std::min(next, impl.m_exclusive_waiting == 0
                                  ? *impl.m_barrier_since
                                  : add_saturating(*impl.m_barrier_since, max_barrier_duration));
    }
    const bool window_active = first != nullptr || impl.m_shed_threshold.value().m_value > 0;
    return window_active ? std::min(next, impl.m_shed_threshold.window_end()) : next;
}

void admission::hint(instant now, std::uint32_t slots)
{
    m_state->m_limit.hint(now, slots);
}

void admission::limit_starts(instant now, std::optional<double> rate, std::vector<admission_action>& actions)
{
    state& impl = *m_state;
    impl.advance(now, actions);
    impl.m_start_rate.set(rate);
    impl.dispatch(now, actions);
}

void admission::close(rule reason, std::vector<admission_action>& actions)
{
    m_state->m_close_reason = reason == rule::none ? rule::draining : reason;
    for (call_entry* call = m_state->m_calls.best(); call != nullptr; call = m_state->m_calls.best()) {
        m_state->dequeue(*call);
        m_state->refuse(*call, m_state->m_close_reason, actions);
    }
}

void admission::reopen()
{
    m_state->m_close_reason = rule::none;
}

load_report admission::report(instant now) const
{
    load_report report;
    report.m_in_progress = static_cast<std::uint32_t>(m_state->m_calls.running());
    report.m_queued = static_cast<std::uint32_t>(m_state->m_calls.waiting());
    report.m_limit = m_state->reported_limit(now);
    report.m_threshold = m_state->m_shed_threshold.value();
    return report;
}

} // namespace waxwing
