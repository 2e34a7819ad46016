/** @file quota_account.cpp Tokens, demand and waiting requests of one organisation at one entry. */
#include "policy/quota_account_base.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

/** Decay time of the measured demand. */
constexpr duration demand_window = std::chrono::seconds(1);

/** Demand that one request to an owner covers. */
constexpr double asked_seconds = 0.25;

/** Tokens are asked for in advance when those held last for less than this. */
constexpr double low_seconds = 0.1;

/** Least time between requests in advance, and for which a refusal is reused: bounds the messages for an
 * organisation above its limit, whose wait may be some milliseconds only. */
constexpr duration min_ask_interval = std::chrono::milliseconds(50);

/** A refusal is reused for at most this long. */
constexpr duration max_refusal_age = std::chrono::milliseconds(200);

/** Tokens in one request, at most. */
constexpr double max_wanted = 1.0e6;

/** A request that no owner could decide on is worth sending again after this. */
constexpr duration unavailable_delay = std::chrono::seconds(1);

} // namespace

quota_decision quota_account::take(boot_instant now, std::uint64_t waiter)
{
    count_demand(now);
    if (m_waiting.empty()) {
        if (const std::optional<boot_instant> expires_at = spend(now)) {
            return {quota_outcome::granted, *expires_at, rule::none, {}};
        }
    }
    if (now < m_refused_until) {
        return {
            quota_outcome::refused, {}, rule::quota_exceeded, std::max(m_available_at - now, duration{1})};
    }
    m_waiting.push_back(waiter);
    return {quota_outcome::waiting, {}, rule::none, {}};
}

void quota_account::give_back(boot_instant now, boot_instant expires_at)
{
    const auto same =
        std::find_if(m_batches.begin(), m_batches.end(),
                     [expires_at](const token_batch& batch) { return batch.m_expires_at == expires_at; });
    if (same != m_batches.end()) {
        ++same->m_tokens;
    }
    else if (now < expires_at) {
        m_batches.push_back({1, expires_at});
    }
}

bool quota_account::needs_step(boot_instant now) const
{
    if (m_open.has_value()) {
        return now - m_open->m_sent_at >= answer_timeout;
    }
    return !m_waiting.empty() || is_low(now);
}

std::optional<quota_ask> quota_account::step(boot_instant now, const std::vector<quota_candidate>& candidates,
                                             std::vector<quota_wake>& wakes)
{
    std::erase_if(m_asks, [now](const sent_ask& ask) { return now - ask.m_sent_at >= token_age; });
    std::erase_if(m_batches, [now](const token_batch& batch) { return now >= batch.m_expires_at; });
    serve(now, wakes);
    if (m_open.has_value()) {
        return std::nullopt;
    }
    while (m_tried < candidates.size()) {
        const bool ahead = m_waiting.empty();
        if (ahead && (m_tried > 0 || !is_low(now))) {
            break;
        }
        const quota_candidate& candidate = candidates[(m_next + m_tried) % candidates.size()];
        ++m_tried;
        if (candidate.m_answers) {
            return make_ask(now, candidate.m_node);
        }
    }
    m_next = candidates.empty() ? 0 : (m_next + std::max<std::size_t>(m_tried, 1)) % candidates.size();
    end_round(now, wakes);
    return std::nullopt;
}

void quota_account::on_sent(boot_instant now, const node_id& owner, std::uint64_t number)
{
    m_open = sent_ask{owner, number, now};
    m_asks.push_back(*m_open);
    m_ask_ahead_at = now + min_ask_interval;
}

bool quota_account::on_answer(boot_instant now, const node_id& owner, std::uint64_t number,
                              const quota_answer_item& item)
{
    const auto ask = std::find_if(m_asks.begin(), m_asks.end(), [&](const sent_ask& sent) {
        return sent.m_owner == owner && sent.m_number == number;
    });
    if (ask == m_asks.end()) {
        return false;
    }
    const boot_instant expires_at = ask->m_sent_at + token_age;
    m_asks.erase(ask);
    if (item.m_granted > 0 && now < expires_at) {
        m_batches.push_back({item.m_granted, expires_at});
    }
    const bool awaited = m_open.has_value() && m_open->m_owner == owner && m_open->m_number == number;
    if (!awaited) {
        return item.m_granted > 0;
    }
    m_open.reset();
    if (item.m_wait > duration::zero()) {
        m_least_wait = std::min(m_least_wait.value_or(item.m_wait), item.m_wait);
    }
    return true;
}

std::optional<node_id> quota_account::take_overdue(boot_instant now)
{
    if (!m_open.has_value() || now - m_open->m_sent_at < answer_timeout) {
        return std::nullopt;
    }
    const node_id owner = m_open->m_owner;
    m_open.reset();
    return owner;
}

void quota_account::wake_all(const quota_decision& decision, std::vector<quota_wake>& wakes)
{
    for (const std::uint64_t waiter : m_waiting) {
        wakes.push_back({waiter, decision});
    }
    m_waiting.clear();
}

std::uint32_t quota_account::tokens(boot_instant now) const
{
    std::uint32_t sum = 0;
    for (const token_batch& batch : m_batches) {
        sum += now < batch.m_expires_at ? batch.m_tokens : 0;
    }
    return sum;
}

/** Spends the token that expires first. @return when it would have expired; none if there is no token. */
std::optional<boot_instant> quota_account::spend(boot_instant now)
{
    token_batch* first = nullptr;
    for (token_batch& batch : m_batches) {
        const bool usable = batch.m_tokens > 0 && now < batch.m_expires_at;
        if (usable && (first == nullptr || batch.m_expires_at < first->m_expires_at)) {
            first = &batch;
        }
    }
    if (first == nullptr) {
        m_batches.clear();
        return std::nullopt;
    }
    const boot_instant expires_at = first->m_expires_at;
    if (--first->m_tokens == 0) {
        m_batches.erase(m_batches.begin() + (first - m_batches.data()));
    }
    return expires_at;
}

void quota_account::count_demand(boot_instant now)
{
    m_recent_requests = demand(now) * to_seconds(demand_window) + 1.0;
    m_counted_at = now;
}

/** Returns the requests a second of late. */
double quota_account::demand(boot_instant now) const
{
    const double age = to_seconds(now - m_counted_at) / to_seconds(demand_window);
    return m_recent_requests * std::exp(-age) / to_seconds(demand_window);
}

/** Returns whether tokens are to be asked for in advance. Not for a demand below one request in
 * asked_seconds: most of such tokens would expire unspent, and use up the limit of a small organisation. */
bool quota_account::is_low(boot_instant now) const
{
    const double rate = demand(now);
    return now >= m_ask_ahead_at && now >= m_refused_until && rate * asked_seconds >= 1.0 &&
           tokens(now) < rate * low_seconds;
}

/** Gives the tokens to the requests that have waited longest. */
void quota_account::serve(boot_instant now, std::vector<quota_wake>& wakes)
{
    while (!m_waiting.empty()) {
        const std::optional<boot_instant> expires_at = spend(now);
        if (!expires_at.has_value()) {
            return;
        }
        wakes.push_back({m_waiting.front(), {quota_outcome::granted, *expires_at, rule::none, {}}});
        m_waiting.pop_front();
    }
}

/** Refuses the requests that still wait: no owner is left to ask. */
void quota_account::end_round(boot_instant now, std::vector<quota_wake>& wakes)
{
    if (!m_waiting.empty() && m_least_wait.has_value()) {
        m_available_at = now + *m_least_wait;
        m_refused_until = now + std::clamp(*m_least_wait, min_ask_interval, max_refusal_age);
        wake_all({quota_outcome::refused, {}, rule::quota_exceeded, *m_least_wait}, wakes);
    }
    else if (!m_waiting.empty()) {
        wake_all({quota_outcome::refused, {}, rule::quota_unavailable, unavailable_delay}, wakes);
    }
    m_tried = 0;
    m_least_wait.reset();
}

/** Returns the request to @p owner: for the waiting requests and for asked_seconds of the demand. */
quota_ask quota_account::make_ask(boot_instant now, const node_id& owner)
{
    const double ahead = std::floor(demand(now) * asked_seconds);
    const double wanted = std::clamp(static_cast<double>(m_waiting.size()) + ahead, 1.0, max_wanted);
    return {owner, static_cast<std::uint32_t>(wanted)};
}

} // namespace waxwing
