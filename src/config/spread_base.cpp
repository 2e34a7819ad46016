/** @file spread_base.cpp Distribution of revisions to all nodes, from the platform and between peers. */
#include "config/spread_base.h"

#include "config/delta_func.h"
#include "config/spread_message_func.h"
#include "config/spread_state_base.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t peer_limit = 128;
constexpr std::size_t fetch_limit = 3;
constexpr std::size_t max_history_bytes = std::size_t{8} << 20U;
constexpr unsigned answers_limit = 64;
constexpr duration answers_window = std::chrono::seconds(1);
/** Minimum interval between reads of the head row after failures. */
constexpr duration retry_poll_interval = std::chrono::seconds(1);
constexpr duration object_timeout = std::chrono::seconds(5);

} // namespace

/** Returns whether @p number is newer than the revision in force and not known to be unreadable. */
bool spread::state::is_needed(revision number) const
{
    return in_force() < number && m_unreadable < number;
}

/** Returns a random duration between 0.8 and 1.2 times @p mean. */
duration spread::state::jitter(duration mean)
{
    std::uniform_int_distribution<duration::rep> distribution(mean.count() * 4 / 5, mean.count() * 6 / 5);
    return duration(distribution(m_random));
}

/** Returns a random interval until the next read of the head row. */
duration spread::state::poll_interval()
{
    return jitter(m_is_watching ? m_settings.m_poll_interval : m_settings.m_unwatched_poll_interval);
}

const std::string* spread::state::find_text(revision number) const
{
    const auto found = std::find_if(m_revisions.begin(), m_revisions.end(), [&](const stored_revision& each) {
        return each.m_info.m_revision == number;
    });
    return found == m_revisions.end() ? nullptr : &found->m_text;
}

/**
 * Puts a revision in force if it is newer and valid. One that can't be parsed is recorded as unreadable.
 * @pre the digest of @p text has been verified.
 */
void spread::state::apply_revision(instant now, const revision_info& info, std::string text,
                                   std::vector<spread_action>& actions)
{
    if (!is_needed(info.m_revision)) {
        return;
    }
    result<config_set, located_errors> set = read_config({config_file{"revision", text}});
    if (set.has_error()) {
        m_unreadable = info.m_revision;
        return;
    }
    m_revision_bytes += text.size();
    m_revisions.push_back(stored_revision{info, std::move(text)});
    while (m_revisions.size() > 1 &&
           (m_revisions.size() > m_settings.m_history || m_revision_bytes > max_history_bytes)) {
        m_revision_bytes -= m_revisions.front().m_text.size();
        m_revisions.pop_front();
    }
    m_fetch_failed = false;
    actions.emplace_back(spread_in_force{info, std::make_shared<const config_set>(std::move(set).value())});
    request_from_peers(now, actions);
}

/** Requests the newest revision from peers: from up to fetch_limit while none is in force, else from one. */
void spread::state::request_from_peers(instant now, std::vector<spread_action>& actions)
{
    const std::size_t limit = in_force().m_value == 0 ? fetch_limit : 1;
    while (m_fetches.size() < limit) {
        std::vector<node_id> best;
        revision newest;
        for (const auto& [peer, peer_state] : m_peers) {
            if (!is_needed(peer_state.m_newest) || now < peer_state.m_not_before ||
                peer_state.m_newest < newest) {
                continue;
            }
            if (newest < peer_state.m_newest) {
                best.clear();
                newest = peer_state.m_newest;
            }
            best.push_back(peer);
        }
        if (best.empty()) {
            return;
        }
        send_request(now, best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(m_random)],
                     in_force(), actions);
    }
}

/** Requests the delta from @p base to the newest revision of @p peer. */
void spread::state::send_request(instant now, const node_id& peer, revision base,
                                 std::vector<spread_action>& actions)
{
    const instant deadline = now + jitter(m_settings.m_fetch_timeout);
    m_peers[peer].m_not_before = deadline;
    m_fetches.push_back(delta_fetch{peer, deadline, std::nullopt, {}});
    actions.emplace_back(spread_send{peer, encode_spread(spread_request{base})});
}

/** Sends a request to a random peer, whatever revision it has reported, unless one is open. */
void spread::state::request_from_random_peer(instant now, std::vector<spread_action>& actions)
{
    if (m_peers.empty() || !m_fetches.empty()) {
        return;
    }
    const auto index = std::uniform_int_distribution<std::size_t>(0, m_peers.size() - 1)(m_random);
    const auto peer = std::next(m_peers.begin(), static_cast<std::ptrdiff_t>(index));
    if (peer->second.m_not_before <= now) {
        send_request(now, peer->first, in_force(), actions);
    }
}

/** Delays the next request to @p peer; the delay doubles each time. */
void spread::state::back_off(instant now, const node_id& peer)
{
    spread_peer& peer_state = m_peers[peer];
    peer_state.m_not_before = now + jitter(peer_state.m_backoff);
    peer_state.m_backoff = std::min(peer_state.m_backoff * 2, spread_max_backoff);
}

/** Reads the head row soon, as a peer failed to deliver a revision or none is in force. */
void spread::state::poll_soon(instant now)
{
    m_next_poll_at = std::min(m_next_poll_at, std::max(now, m_polled_at + jitter(retry_poll_interval)));
}

/** Returns the state of @p peer, never null. At peer_limit a new peer evicts the one with the oldest
 * revision. */
spread_peer* spread::state::find_or_add_peer(const node_id& peer)
{
    if (m_peers.size() >= peer_limit && m_peers.count(peer) == 0) {
        const auto oldest =
            std::min_element(m_peers.begin(), m_peers.end(), [](const auto& a, const auto& b) {
                return a.second.m_newest < b.second.m_newest;
            });
        m_peers.erase(oldest);
    }
    return &m_peers[peer];
}

void spread::state::on_message(instant now, const node_id& peer, const spread_request& message,
                               std::vector<spread_action>& actions)
{
    if (m_window_since + answers_window <= now) {
        m_window_since = now;
        m_answers = 0;
    }
    if (++m_answers > answers_limit) {
        return;
    }
    if (!(message.m_known_revision < in_force())) {
        actions.emplace_back(spread_send{peer, encode_spread(spread_no_update{in_force()})});
        return;
    }
    const stored_revision& newest = m_revisions.back();
    const std::string* const base = find_text(message.m_known_revision);
    const std::string delta = encode_delta(base == nullptr ? std::string_view{} : *base, newest.m_text);
    const std::size_t pages = (delta.size() + spread_page_size - 1) / spread_page_size;
    for (std::size_t page = 0; page < pages; ++page) {
        actions.emplace_back(spread_send{
            peer,
            encode_spread(spread_page{newest.m_info, base == nullptr ? revision{} : message.m_known_revision,
                                      static_cast<std::uint32_t>(page), static_cast<std::uint32_t>(pages),
                                      delta.substr(page * spread_page_size, spread_page_size)})});
    }
}

void spread::state::on_message(instant now, const node_id& peer, const spread_no_update& message,
                               std::vector<spread_action>& actions)
{
    std::erase_if(m_fetches, [&](const delta_fetch& fetch) { return fetch.m_peer == peer; });
    if (const auto peer_state = m_peers.find(peer); peer_state != m_peers.end()) {
        peer_state->second.m_newest = message.m_known_revision;
        back_off(now, peer);
    }
    request_from_peers(now, actions);
}

void spread::state::on_message(instant now, const node_id& peer, const spread_page& message,
                               std::vector<spread_action>& actions)
{
    const auto fetch = std::find_if(m_fetches.begin(), m_fetches.end(),
                                    [&](const delta_fetch& each) { return each.m_peer == peer; });
    if (fetch == m_fetches.end()) {
        return;
    }
    const std::optional<spread_page>& first = fetch->m_first_page;
    const bool is_different = !first || first->m_info.m_digest != message.m_info.m_digest ||
                              first->m_info.m_revision != message.m_info.m_revision ||
                              first->m_base != message.m_base || first->m_pages != message.m_pages;
    if (is_different) {
        fetch->m_first_page = spread_page{message.m_info, message.m_base, 0, message.m_pages, {}};
        fetch->m_data.clear();
    }
    fetch->m_data.emplace(message.m_page, message.m_data);
    fetch->m_deadline = now + jitter(m_settings.m_fetch_timeout);
    if (fetch->m_data.size() < message.m_pages) {
        return;
    }
    const delta_fetch complete = std::move(*fetch);
    m_fetches.erase(fetch);
    finish_fetch(now, complete, actions);
}

/**
 * Applies a complete delta and puts the result in force if its digest is right. If not, requests the whole
 * configuration, unless the delta already was that.
 */
void spread::state::finish_fetch(instant now, const delta_fetch& fetch, std::vector<spread_action>& actions)
{
    std::string delta;
    for (const auto& [page, data] : fetch.m_data) {
        delta += data;
    }
    const revision base = fetch.m_first_page->m_base;
    const std::string* const before = find_text(base);
    result<std::string> text = apply_delta(before == nullptr ? std::string_view{} : *before, delta);
    if (text.has_value() && digest_of(text.value()) == fetch.m_first_page->m_info.m_digest) {
        m_peers[fetch.m_peer] = spread_peer{fetch.m_first_page->m_info.m_revision, now, spread_base_backoff};
        apply_revision(now, fetch.m_first_page->m_info, std::move(text).value(), actions);
        request_from_peers(now, actions);
        return;
    }
    if (base.m_value != 0) {
        send_request(now, fetch.m_peer, revision{}, actions);
        return;
    }
    back_off(now, fetch.m_peer);
    request_from_peers(now, actions);
}

spread::spread(const spread_settings& settings, std::uint64_t seed) : m_state(std::make_unique<state>())
{
    m_state->m_settings = settings;
    m_state->m_random.seed(seed);
}

spread::~spread() = default;
spread::spread(spread&&) noexcept = default;
spread& spread::operator=(spread&&) noexcept = default;

void spread::on_head(instant now, const result<std::optional<revision_info>>& head,
                     std::vector<spread_action>& actions, row_version version)
{
    state& self = *m_state;
    if (head.has_error()) {
        if (self.m_fetch_failed || self.in_force().m_value == 0) {
            self.poll_soon(now);
        }
        self.request_from_random_peer(now, actions);
        return;
    }
    self.restore_head(now, head.value() ? head.value()->m_revision : revision{}, version, actions);
    if (!head.value() || !self.is_needed(head.value()->m_revision)) {
        return;
    }
    const bool is_being_fetched =
        std::any_of(self.m_fetches.begin(), self.m_fetches.end(), [&](const auto& fetch) {
            return !(self.m_peers[fetch.m_peer].m_newest < head.value()->m_revision);
        });
    if ((!is_being_fetched || self.m_fetch_failed) &&
        (!self.m_object_fetch || self.m_object_fetch->m_deadline <= now ||
         self.m_object_fetch->m_info.m_revision < head.value()->m_revision)) {
        self.m_object_fetch = object_fetch{*head.value(), now + object_timeout};
        actions.emplace_back(spread_get_object{object_name(head.value()->m_digest)});
    }
}

void spread::on_object(instant now, const std::string& name, const result<std::optional<std::string>>& bytes,
                       std::vector<spread_action>& actions)
{
    state& self = *m_state;
    if (!self.m_object_fetch || object_name(self.m_object_fetch->m_info.m_digest) != name) {
        return;
    }
    const revision_info info = self.m_object_fetch->m_info;
    self.m_object_fetch.reset();
    if (bytes.has_value() && bytes.value() && digest_of(*bytes.value()) == info.m_digest) {
        self.apply_revision(now, info, *bytes.value(), actions);
        return;
    }
    self.m_next_poll_at = std::min(self.m_next_poll_at, now + self.jitter(spread_base_backoff * 2));
    self.request_from_random_peer(now, actions);
}

void spread::on_peer_revision(instant now, const node_id& peer, revision newest,
                              std::vector<spread_action>& actions)
{
    spread_peer& peer_state = *m_state->find_or_add_peer(peer);
    if (peer_state.m_newest < newest) {
        peer_state.m_newest = newest;
        peer_state.m_backoff = spread_base_backoff;
    }
    m_state->request_from_peers(now, actions);
}

void spread::on_message(instant now, const node_id& peer, std::string_view payload,
                        std::vector<spread_action>& actions)
{
    const result<spread_message> message = decode_spread(payload);
    if (message.has_value()) {
        std::visit([&](const auto& each) { m_state->on_message(now, peer, each, actions); }, message.value());
    }
}

void spread::set_watching(instant now, bool is_watching)
{
    state& self = *m_state;
    if (self.m_is_watching != is_watching) {
        self.m_is_watching = is_watching;
        self.m_next_poll_at = std::min(self.m_next_poll_at, now + self.poll_interval());
    }
}

void spread::tick(instant now, std::vector<spread_action>& actions)
{
    state& self = *m_state;
    for (const delta_fetch& fetch : self.m_fetches) {
        if (fetch.m_deadline <= now) {
            self.back_off(now, fetch.m_peer);
            self.m_fetch_failed = true;
            self.poll_soon(now);
        }
    }
    std::erase_if(self.m_fetches, [&](const delta_fetch& fetch) { return fetch.m_deadline <= now; });
    if (self.m_next_poll_at <= now) {
        self.m_polled_at = now;
        self.m_next_poll_at = now + self.poll_interval();
        actions.emplace_back(spread_read_head{});
    }
    self.request_from_peers(now, actions);
}

instant spread::next_tick() const
{
    instant next = m_state->m_next_poll_at;
    for (const delta_fetch& fetch : m_state->m_fetches) {
        next = std::min(next, fetch.m_deadline);
    }
    for (const auto& [peer, peer_state] : m_state->m_peers) {
        if (m_state->is_needed(peer_state.m_newest) && m_state->m_fetches.empty()) {
            next = std::min(next, peer_state.m_not_before);
        }
    }
    return next;
}

revision spread::in_force() const
{
    return m_state->in_force();
}

revision spread::unreadable() const
{
    return m_state->m_unreadable;
}

} // namespace waxwing
