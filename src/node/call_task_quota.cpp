/** @file call_task_quota.cpp The quota of organisations in the call task. */
#include "node/call_task_base.h"

namespace waxwing {

void call_task::configure_quota(const config_set& set)
{
    quota_limits limits;
    for (const auto& [name, organisation] : set.m_organisations) {
        if (organisation.m_rate > 0.0) {
            limits.emplace(name, quota_limit{organisation.m_rate, organisation.m_burst});
        }
    }
    std::vector<quota_action> actions;
    m_quota.configure(event_loop::boot_now(), limits, actions);
    apply_quota_actions(std::move(actions));
}

void call_task::apply_quota_actions(std::vector<quota_action> actions)
{
    const instant now = event_loop::now();
    for (quota_action& action : actions) {
        std::visit(overloaded{
                       [&](quota_send& outgoing) {
                           m_on_output(
                               peer_send{outgoing.m_node, control_message{control_topic::quota,
                                                                          std::move(outgoing.m_payload)}});
                       },
                       [&](quota_wake& woken) {
                           m_entry.on_quota(now, woken.m_waiter, woken.m_decision, m_entry_actions);
                       },
                       [&](quota_silence& silent) {
                           m_metrics.count("waxwing_quota_unanswered_total", {});
                           log_event(event::quota_owner_silent, {{"owner", silent.m_node.m_value}});
                       },
                   },
                   action);
    }
}

/** Performs the work of the quota that is due, and arms its timer. */
void call_task::tick_quota()
{
    const boot_instant now = event_loop::boot_now();
    if (m_quota.next_tick() <= now) {
        std::vector<quota_action> actions;
        m_quota.tick(now, actions);
        apply_quota_actions(std::move(actions));
    }
    const std::uint64_t granted = m_quota.counters().m_granted;
    if (granted != m_reported_grants) {
        m_metrics.count("waxwing_quota_granted_total", {}, static_cast<double>(granted - m_reported_grants));
        m_reported_grants = granted;
    }
    const boot_instant next = m_quota.next_tick();
    if (next == boot_instant::max()) {
        m_quota_timer.cancel();
        return;
    }
    m_quota_timer.set(next - now);
}

/** Counts @p response if the quota refused the request. The entry names only organisations of the
 * configuration, so that the number of series is bounded. */
void call_task::count_quota_refusal(const entry_reply& response)
{
    const rule why = response.m_answer.m_rule;
    if (why == rule::quota_exceeded || why == rule::quota_unavailable) {
        m_metrics.count("waxwing_quota_refused_total", {{"organisation", response.m_organisation.m_value},
                                                        {"rule", std::string(info_of(why).m_name)}});
    }
}

} // namespace waxwing
