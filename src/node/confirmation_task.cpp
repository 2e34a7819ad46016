/** @file confirmation_task.cpp The part of the control task that keeps the configuration confirmed. */
#include "node/confirmation_task_base.h"

#include "events/events.h"

#include <algorithm>
#include <utility>

namespace waxwing {

confirmation_task::confirmation_task(event_loop& loop, const node_settings& settings, std::uint64_t seed,
                                     confirmation_handlers handlers)
    : m_settings(settings), m_handlers(std::move(handlers)),
      m_confirmation(to_confirmation_settings(settings.m_revocation_timeout), seed),
      m_timer(loop, [this] { advance(); })
{
}

void confirmation_task::on_message(const node_id& peer, std::string_view payload)
{
    if (!m_settings.m_fail_closed) {
        return;
    }
    m_confirmation.on_message(event_loop::boot_now(), peer, payload, m_actions);
    advance();
}

void confirmation_task::on_head(row_version version, revision number)
{
    if (m_settings.m_fail_closed) {
        m_confirmation.on_head(version, number);
        advance();
    }
}

void confirmation_task::on_store(row_version version, boot_instant sent_at)
{
    if (m_settings.m_fail_closed) {
        m_confirmation.on_store(version, sent_at);
        advance();
    }
}

void confirmation_task::set_watching(bool is_watching)
{
    if (m_settings.m_fail_closed) {
        m_confirmation.set_watching(is_watching);
        advance();
    }
}

void confirmation_task::set_joined()
{
    if (m_settings.m_fail_closed) {
        m_confirmation.set_joined();
        advance();
    }
}

void confirmation_task::on_peer_revision(revision number)
{
    if (m_settings.m_fail_closed) {
        m_confirmation.on_peer_revision(number);
    }
}

void confirmation_task::set_in_force(const revision_in_force& configuration)
{
    if (!m_settings.m_fail_closed) {
        return;
    }
    m_in_force = configuration.m_info.m_revision;
    m_confirmation.set_in_force(m_in_force);
    m_confirmation.set_required(event_loop::boot_now(), !configuration.m_set->m_organisations.empty());
    advance();
}

/** Performs what is due, reports changes and arms the timer. */
void confirmation_task::advance()
{
    const boot_instant now = event_loop::boot_now();
    if (m_confirmation.next_tick() <= now) {
        m_confirmation.tick(now, m_handlers.m_find_peers(), m_actions);
    }
    for (confirmation_action& action : std::exchange(m_actions, {})) {
        std::visit(
            overloaded{
                [&](confirmation_send& outgoing) {
                    m_handlers.m_on_output(
                        peer_send{outgoing.m_peer, control_message{control_topic::confirmation,
                                                                   std::move(outgoing.m_payload)}});
                },
                [&](confirmation_read_head&) { m_handlers.m_read_head(); },
                [&](confirmation_fetch& request) { m_handlers.m_fetch(request.m_peer, request.m_revision); },
            },
            action);
    }
    report();
    if (!m_confirmation.is_required()) {
        m_timer.cancel();
        return;
    }
    boot_instant next = m_confirmation.next_tick();
    if (m_reported_at.has_value() && !m_refusing_since.has_value()) {
        next = std::min(next, *m_reported_at + m_settings.m_revocation_timeout - revocation_margin);
    }
    m_timer.set(next - event_loop::boot_now());
}

/** Tells the call task of a later confirmation, and logs when the refusal of keys begins and ends. */
void confirmation_task::report()
{
    const std::optional<boot_instant> confirmed_at = m_confirmation.confirmed_at();
    if (m_confirmation.is_required() && confirmed_at.has_value() && confirmed_at != m_reported_at) {
        m_reported_at = confirmed_at;
        m_handlers.m_on_output(calls_confirm{*confirmed_at});
    }
    const boot_instant now = event_loop::boot_now();
    const bool is_refusing = m_confirmation.is_required() && !m_confirmation.is_current(now);
    const std::string revision_text = std::to_string(m_in_force.m_value);
    if (is_refusing && !m_refusing_since.has_value()) {
        m_refusing_since = now;
        log_event(event::keys_unconfirmed,
                  {{"revision", revision_text},
                   {"age_ms", confirmed_at.has_value() ? std::to_string(to_milliseconds(now - *confirmed_at))
                                                       : "never"}});
    }
    if (!is_refusing && m_refusing_since.has_value()) {
        const std::int64_t lasted = to_milliseconds(now - *m_refusing_since);
        m_refusing_since.reset();
        log_event(event::keys_confirmed,
                  {{"revision", revision_text}, {"lasted_ms", std::to_string(lasted)}});
    }
}

} // namespace waxwing
