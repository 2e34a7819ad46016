/** @file confirmation_base.cpp Until when the revision in force is known to have been the newest one. */
#include "config/confirmation_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Questions whose late answers are still accepted. */
constexpr std::size_t max_questions = 8;
/** However short the revocation timeout, peers are not asked more often. */
constexpr duration min_ask_interval = std::chrono::milliseconds(100);
/** Rounds without a later confirmation after which a node reads the head row itself. */
constexpr int rounds_before_fallback = 2;

/** Returns the elements of @p peers other than @p excluded. */
std::vector<node_id> without(const std::vector<node_id>& peers, const node_id& excluded)
{
    std::vector<node_id> others;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(others),
                 [&](const node_id& each) { return each != excluded; });
    return others;
}

} // namespace

confirmation_settings to_confirmation_settings(duration revocation_timeout)
{
    confirmation_settings settings;
    settings.m_revocation_timeout = revocation_timeout;
    settings.m_ask_interval = std::clamp(revocation_timeout / 7, min_ask_interval, settings.m_ask_interval);
    settings.m_answer_timeout = std::min(settings.m_answer_timeout, settings.m_ask_interval / 2);
    settings.m_fallback_age = std::min(settings.m_fallback_age, revocation_timeout * 2 / 5);
    settings.m_max_watcher_age = std::min(settings.m_max_watcher_age, revocation_timeout * 3 / 10);
    return settings;
}

confirmation::confirmation(const confirmation_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed)
{
}

void confirmation::set_required(boot_instant now, bool is_required)
{
    if (is_required == m_is_required) {
        return;
    }
    m_is_required = is_required;
    m_next_round_at = now;
    m_second_at.reset();
    m_advanced_at = now;
}

void confirmation::set_in_force(revision number)
{
    m_in_force = number;
    if (m_pending.has_value() && !(number < m_pending->m_revision)) {
        confirm(m_pending->m_at);
        m_pending.reset();
    }
}

void confirmation::on_head(row_version version, revision number)
{
    const bool is_shown = m_store_evidence.has_value() && m_store_evidence->m_version == version;
    if (m_head.has_value() && version < m_head->m_version && !is_shown) {
        return; // The answer to an earlier read arrived late.
    }
    m_head = head_state{version, number};
    match_store_evidence();
}

void confirmation::on_store(row_version version, boot_instant sent_at)
{
    if (m_store_evidence.has_value() && sent_at < m_store_evidence->m_sent_at) {
        return;
    }
    m_store_evidence = store_evidence{version, sent_at};
    match_store_evidence();
}

void confirmation::set_joined()
{
    m_has_joined = true;
    match_store_evidence();
}

/** Applies the evidence of the store once this node has found the fleet and the row that it speaks of has
 * been read. */
void confirmation::match_store_evidence()
{
    if (m_has_joined && m_head.has_value() && m_store_evidence.has_value() &&
        m_head->m_version == m_store_evidence->m_version) {
        apply({m_head->m_revision, m_store_evidence->m_sent_at});
    }
}

/** Applies @p found, at once or when its revision is in force. A revision that is known to exist is waited
 * for even if the evidence does not name it, since a store restored from a copy may have lost it. */
void confirmation::apply(const evidence& found)
{
    m_known_newest = std::max(m_known_newest, found.m_revision);
    if (m_in_force.m_value != 0 && !(m_in_force < m_known_newest)) {
        confirm(found.m_at);
        return;
    }
    if (!m_pending.has_value() || m_pending->m_at < found.m_at) {
        m_pending = evidence{m_known_newest, found.m_at};
    }
}

void confirmation::confirm(boot_instant at)
{
    m_confirmed_at = std::max(m_confirmed_at.value_or(at), at);
}

bool confirmation::is_current(boot_instant now) const
{
    return m_confirmed_at.has_value() &&
           now - *m_confirmed_at < m_settings.m_revocation_timeout - revocation_margin;
}

void confirmation::on_message(boot_instant now, const node_id& peer, std::string_view payload,
                              std::vector<confirmation_action>& actions)
{
    const result<confirmation_message> message = decode_confirmation(payload);
    if (message.has_error()) {
        return;
    }
    if (const auto* const request = std::get_if<confirmation_request>(&message.value())) {
        answer(now, peer, *request, actions);
        return;
    }
    on_answer(now, peer, std::get<confirmation_answer>(message.value()), actions);
}

void confirmation::answer(boot_instant now, const node_id& peer, const confirmation_request& request,
                          std::vector<confirmation_action>& actions) const
{
    confirmation_answer message{request.m_id, m_in_force, std::nullopt};
    if (m_confirmed_at.has_value()) {
        message.m_age = now - *m_confirmed_at;
    }
    actions.emplace_back(confirmation_send{peer, encode_confirmation(message)});
}

void confirmation::on_answer(boot_instant now, const node_id& peer, const confirmation_answer& message,
                             std::vector<confirmation_action>& actions)
{
    const auto found = std::find_if(m_questions.begin(), m_questions.end(), [&](const question& each) {
        return each.m_id == message.m_id && each.m_peer == peer;
    });
    if (found == m_questions.end()) {
        return;
    }
    const question asked = *found;
    m_questions.erase(found);
    if (m_in_force < message.m_revision) {
        m_known_newest = std::max(m_known_newest, message.m_revision);
        actions.emplace_back(confirmation_fetch{peer, message.m_revision});
    }
    const std::optional<boot_instant> previous = m_confirmed_at;
    if (message.m_age.has_value()) {
        apply({message.m_revision, asked.m_sent_at - *message.m_age});
    }
    if (m_confirmed_at != previous) {
        m_advanced_at = now;
    }
    if (asked.m_is_first && m_second_at.has_value()) {
        const bool is_recent =
            message.m_age.has_value() && *message.m_age <= m_settings.m_revocation_timeout / 2;
        m_second_at = is_recent ? std::nullopt : std::optional(now);
    }
}

/** Asks a random one of @p candidates. */
void confirmation::ask(boot_instant now, const std::vector<node_id>& candidates, bool is_first,
                       std::vector<confirmation_action>& actions)
{
    if (candidates.empty()) {
        return;
    }
    const node_id& peer =
        candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    if (is_first) {
        m_first_peer = peer;
    }
    if (m_questions.size() >= max_questions) {
        m_questions.erase(m_questions.begin());
    }
    m_questions.push_back({m_random(), peer, now, is_first});
    actions.emplace_back(
        confirmation_send{peer, encode_confirmation(confirmation_request{m_questions.back().m_id})});
}

/** Returns whether this node asks peers: one that watches does so only if its own checks have failed. */
bool confirmation::needs_peers(boot_instant now) const
{
    return !m_is_watching || !m_confirmed_at.has_value() ||
           now - *m_confirmed_at > m_settings.m_max_watcher_age;
}

/** Returns when the head row is to be read for want of a confirmation. A node that watches reads it anyway.
 */
boot_instant confirmation::fallback_due_at() const
{
    if (m_is_watching) {
        return boot_instant::max();
    }
    const boot_instant old_at = m_confirmed_at.value_or(m_advanced_at) + m_settings.m_fallback_age;
    return std::max({old_at, m_advanced_at + rounds_before_fallback * m_settings.m_ask_interval,
                     m_fallback_at + m_settings.m_fallback_interval});
}

void confirmation::tick(boot_instant now, const confirmation_peers& peers,
                        std::vector<confirmation_action>& actions)
{
    if (!m_is_required) {
        return;
    }
    if (m_second_at.has_value() && *m_second_at <= now) {
        m_second_at.reset();
        ask(now, without(peers.m_far.empty() ? peers.m_near : peers.m_far, m_first_peer), false, actions);
    }
    if (m_next_round_at <= now) {
        // A node that has just started is refused for as long as the peers that it asks have just started
        // too.
        const auto interval =
            (m_confirmed_at.has_value() ? m_settings.m_ask_interval : min_ask_interval).count();
        std::uniform_int_distribution<duration::rep> distribution(interval * 9 / 10, interval);
        m_next_round_at = now + duration(distribution(m_random));
        if (needs_peers(now)) {
            ask(now, peers.m_near.empty() ? peers.m_far : peers.m_near, true, actions);
            m_second_at = now + m_settings.m_answer_timeout;
        }
    }
    if (fallback_due_at() <= now) {
        m_fallback_at = now;
        actions.emplace_back(confirmation_read_head{});
    }
}

boot_instant confirmation::next_tick() const
{
    if (!m_is_required) {
        return boot_instant::max();
    }
    return std::min({m_next_round_at, m_second_at.value_or(boot_instant::max()), fallback_due_at()});
}

} // namespace waxwing
