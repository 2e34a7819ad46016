/** @file quota_exchange.cpp Messages between entries and owners of quotas. */
#include "policy/quota_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** An owner that did not answer is not asked again for this long, so that the requests of each organisation
 * do not wait for it one after the other. */
constexpr duration silence_duration = std::chrono::seconds(1);

/** Size of the items of one message, in bytes; a control message may have 64 KiB. */
constexpr std::size_t max_item_bytes = 32UL * 1024UL;

/** Bytes of an item besides the name, at most. */
constexpr std::size_t item_overhead = 48;

} // namespace

void quota::on_message(boot_instant now, const node_id& from, std::string_view payload,
                       std::vector<quota_action>& actions)
{
    const result<quota_message> message = decode_quota(payload);
    if (message.has_error()) {
        return;
    }
    check_members(now);
    if (const auto* const request = std::get_if<quota_request>(&message.value())) {
        on_request(now, from, *request, actions);
    }
    else {
        on_answer(now, from, std::get<quota_answer>(message.value()));
        tick(now, actions);
    }
}

/** Returns whether @p request comes after all others of @p from, and records it. One that does not may be a
 * duplicate, whose returned tokens must not be taken back twice. */
bool quota::is_newer(const node_id& from, const quota_request& request)
{
    if (!m_entries.contains(from) && m_entries.size() >= quota_members::max_members) {
        return false;
    }
    entry_state& last = m_entries[from];
    const auto key = [](incarnation process, std::uint64_t number) {
        return std::pair(process.m_value, number);
    };
    if (key(request.m_incarnation, request.m_number) <= key(last.m_incarnation, last.m_number)) {
        return false;
    }
    last = {request.m_incarnation, request.m_number};
    return true;
}

void quota::on_request(boot_instant now, const node_id& from, const quota_request& request,
                       std::vector<quota_action>& actions)
{
    if (!is_newer(from, request)) {
        return;
    }
    quota_answer response{request.m_incarnation, request.m_number, {}};
    for (const quota_request_item& item : request.m_items) {
        response.m_items.push_back(grant(now, from, request.m_number, item));
    }
    actions.emplace_back(quota_send{from, encode_quota(response)});
}

/** Debits tokens for one organisation. An organisation whose shard this node does not own, or not yet, gets
 * an answer without a wait, so that the entry asks the next owner at once. */
quota_answer_item quota::grant(boot_instant now, const node_id& from, std::uint64_t number,
                               const quota_request_item& item)
{
    const auto position = m_organisations.find(item.m_organisation);
    if (position == m_organisations.end() || !position->second.m_shard.has_value() || !may_grant(now)) {
        return {item.m_organisation, 0, duration::zero()};
    }
    quota_shard& shard = *position->second.m_shard;
    if (item.m_returned > 0) {
        shard.put_back(now, from, item.m_returned_request, item.m_returned);
    }
    const std::uint32_t granted = shard.grant(now, from, number, item.m_wanted);
    m_counters.m_granted += granted;
    return {item.m_organisation, granted, granted < item.m_wanted ? shard.wait(now) : duration::zero()};
}

void quota::on_answer(boot_instant now, const node_id& from, const quota_answer& answer)
{
    if (answer.m_incarnation != m_incarnation) {
        return;
    }
    m_silent_until.erase(from);
    for (const quota_answer_item& item : answer.m_items) {
        const auto position = m_organisations.find(item.m_organisation);
        if (position != m_organisations.end() &&
            position->second.m_account.on_answer(now, from, answer.m_number, item)) {
            mark_pending(position->first, position->second);
        }
    }
}

/** Wakes waiting requests of @p organisation and asks its next owner, this node itself without a message. */
void quota::step(boot_instant now, const organisation_name& name, organisation_state& organisation,
                 std::vector<quota_action>& actions)
{
    quota_account& account = organisation.m_account;
    if (const std::optional<node_id> silent = account.take_overdue(now)) {
        ++m_counters.m_unanswered;
        m_silent_until[*silent] = now + silence_duration;
        actions.emplace_back(quota_silence{*silent});
    }
    std::vector<quota_wake> wakes;
    const std::vector<quota_candidate> owners = candidates(now, organisation);
    while (const std::optional<quota_ask> ask = account.step(now, owners, wakes)) {
        if (ask->m_owner != m_self) {
            account.on_sent(now, ask->m_owner, add_outgoing(*ask, name, actions));
            m_timeouts.emplace(now + quota_account::answer_timeout, name);
            break;
        }
        const std::uint64_t number = ++m_last_number;
        account.on_sent(now, m_self, number);
        account.on_answer(now, m_self, number, grant(now, m_self, number, {name, ask->m_wanted, 0, 0}));
    }
    actions.insert(actions.end(), wakes.begin(), wakes.end());
}

std::vector<quota_candidate> quota::candidates(boot_instant now, const organisation_state& organisation) const
{
    std::vector<quota_candidate> listed;
    for (const node_id& node : organisation.m_owners.nodes()) {
        const auto silent = m_silent_until.find(node);
        const bool is_silent = silent != m_silent_until.end() && now < silent->second;
        listed.push_back({node, !is_silent && m_members.is_alive(node)});
    }
    return listed;
}

/** Adds @p ask for the organisation @p name to the request to its owner. @return the number of the request.
 */
std::uint64_t quota::add_outgoing(const quota_ask& ask, const organisation_name& name,
                                  std::vector<quota_action>& actions)
{
    const std::size_t bytes = name.m_value.size() + item_overhead;
    const auto full = m_outgoing.find(ask.m_owner);
    if (full != m_outgoing.end() && full->second.m_bytes + bytes > max_item_bytes) {
        actions.emplace_back(quota_send{ask.m_owner, encode_quota(full->second.m_request)});
        m_outgoing.erase(full);
    }
    const auto [position, is_new] = m_outgoing.try_emplace(ask.m_owner);
    outgoing_request& outgoing = position->second;
    if (is_new) {
        outgoing.m_request.m_incarnation = m_incarnation;
        outgoing.m_request.m_number = ++m_last_number;
    }
    outgoing.m_request.m_items.push_back({name, ask.m_wanted, 0, 0});
    outgoing.m_bytes += bytes;
    return outgoing.m_request.m_number;
}

/** Sends the requests that the present tick has collected. */
void quota::flush(std::vector<quota_action>& actions)
{
    for (const auto& [owner, outgoing] : m_outgoing) {
        actions.emplace_back(quota_send{owner, encode_quota(outgoing.m_request)});
    }
    m_outgoing.clear();
}

} // namespace waxwing
