/** @file membership_spread.cpp Dissemination of changes to the other members. */
#include "member/membership_state.h"

#include <algorithm>
#include <cmath>

namespace waxwing {

namespace {

constexpr std::size_t rumour_fan_out = 6;
constexpr double rumour_bytes_per_second = 2500;
constexpr double rumour_burst_bytes = 12000;
constexpr double rumour_reserve_bytes = 4000; ///< Reserved for urgency::high.
/** Changes waiting to be piggybacked; pulls and rows deliver those dropped. */
constexpr std::size_t max_queue = 256;
/** IP and UDP headers and the authentication tag made with the shared key. */
constexpr std::size_t frame_bytes = 44;
constexpr std::size_t max_notes = 16; ///< Maximum revisions piggybacked on one message.
constexpr std::size_t max_newest_in_page = 8;
constexpr unsigned note_transmits = 8;
constexpr duration pull_interval = std::chrono::seconds(30);
constexpr duration idle_pull_interval = std::chrono::seconds(2); ///< After a pull that returned nothing new.
/** Digests that differ for less than this are usually reconciled by rumours. */
constexpr duration digest_settle_period = std::chrono::milliseconds(600);
constexpr std::size_t array_head_bytes = 2; ///< Maximum growth of an encoded array length.

/** Returns the item that describes @p record: the whole record if it is alive, else a claim about its state.
 */
gossip_item item_of(const member_record& record)
{
    if (record.m_state == member_state::alive) {
        return record;
    }
    return member_claim{record.m_node, record.m_incarnation, record.m_version, record.m_state};
}

/** Appends @p item to @p message if it fits into @p free_bytes, which is reduced by its size. */
bool add_item(gossip_message& message, gossip_item item, std::size_t& free_bytes)
{
    const std::size_t size = encoded_size(item);
    if (size > free_bytes) {
        return false;
    }
    free_bytes -= size;
    message.m_items.push_back(std::move(item));
    return true;
}

/** Returns the bytes left in @p message for items. */
std::size_t free_bytes_in(const gossip_message& message)
{
    const std::size_t used = encode_gossip(message).size() + array_head_bytes;
    return used < gossip_payload_limit ? gossip_payload_limit - used : 0;
}

} // namespace

unsigned membership::state::transmit_limit() const
{
    constexpr unsigned factor = 2;
    return factor *
           static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(m_table.reachable()) + 2)));
}

void membership::state::fill(gossip_message& message, std::size_t free_bytes)
{
    free_bytes = std::min(free_bytes, free_bytes_in(message));
    const std::size_t queue_size = m_queue.size();
    for (std::size_t turn = 0; turn < queue_size; ++turn) {
        member_entry* const member = m_table.find(m_queue.front());
        if (member == nullptr || member->m_transmits == 0) {
            m_queue.pop_front();
            continue;
        }
        if (!add_item(message, item_of(member->m_record), free_bytes)) {
            break;
        }
        node_id node = std::move(m_queue.front());
        m_queue.pop_front();
        if (--member->m_transmits > 0) {
            m_queue.push_back(std::move(node));
        }
    }
    fill_notes(message, free_bytes);
}

/** Returns how old the contacts with the platform's table are at @p active_now. */
contact_ages membership::state::contact_ages_at(instant active_now) const
{
    const auto age_ms = [now = active_now + m_paused](const std::optional<instant>& contact) {
        const std::int64_t age = contact ? to_milliseconds(now - *contact) : max_contact_age_ms;
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, max_contact_age_ms));
    };
    return {age_ms(m_contacts.m_any), age_ms(m_contacts.m_elected)};
}

void membership::state::fill_notes(gossip_message& message, std::size_t& free_bytes)
{
    for (std::size_t turn = std::min(m_notes.size(), max_notes); turn > 0; --turn) {
        member_entry* const member = m_table.find(m_notes.front());
        if (member == nullptr || member->m_note_transmits == 0) {
            m_notes.pop_front();
            continue;
        }
        const member_record& record = member->m_record;
        if (!add_item(message, revision_note{record.m_node, record.m_incarnation, record.m_revision},
                      free_bytes)) {
            return;
        }
        node_id node = std::move(m_notes.front());
        m_notes.pop_front();
        if (--member->m_note_transmits > 0) {
            m_notes.push_back(std::move(node));
        }
    }
}

void membership::state::send(gossip_message message, const endpoint& to, const node_id& to_node, actions& out)
{
    const member_entry* const member = to_node.empty() ? nullptr : m_table.find(to_node);
    if (member != nullptr && member->m_record.m_state != member_state::alive) {
        // Lets the receiver refute a suspicion or death that is claimed of it.
        std::size_t free_bytes = free_bytes_in(message);
        add_item(message, item_of(member->m_record), free_bytes);
    }
    out.emplace_back(member_send{to, encode_gossip(message)});
}

void membership::state::queue_change(member_entry& member)
{
    if (member.m_transmits == 0) {
        m_queue.push_front(member.m_record.m_node);
    }
    if (m_queue.size() > max_queue) {
        member_entry* const oldest = m_table.find(m_queue.back());
        if (oldest != nullptr) {
            oldest->m_transmits = 0;
        }
        m_queue.pop_back();
    }
    member.m_transmits = transmit_limit();
}

void membership::state::queue_note(member_entry& member)
{
    if (member.m_note_transmits == 0) {
        m_notes.push_front(member.m_record.m_node);
    }
    member.m_note_transmits = note_transmits;
}

void membership::state::add_rumour(instant active_now, const node_id& node, urgency level)
{
    if (level == urgency::none) {
        return;
    }
    m_rumour_urgency = std::max(m_rumour_urgency, level);
    if (node == m_self.m_node) {
        m_self_rumour = true;
    }
    else if (std::find(m_rumours.begin(), m_rumours.end(), node) == m_rumours.end()) {
        constexpr std::size_t max_rumours = 64; // Further ones are piggybacked on pings and acks.
        if (m_rumours.size() >= max_rumours) {
            return;
        }
        m_rumours.push_back(node);
    }
    m_rumour_at = std::min(m_rumour_at, active_now + rumour_delay);
}

void membership::state::send_rumours(instant active_now, actions& out)
{
    m_rumour_at = instant::max();
    if (m_table.reachable() == 0) {
        return;
    }
    m_rumour_budget_bytes = std::min(
        rumour_burst_bytes,
        m_rumour_budget_bytes + rumour_bytes_per_second * to_seconds(active_now - m_rumour_refilled_at));
    m_rumour_refilled_at = active_now;
    gossip_message rumour;
    std::size_t free_bytes = free_bytes_in(rumour);
    if (m_self_rumour) {
        add_item(rumour, m_self, free_bytes);
    }
    std::size_t sent_count = 0;
    for (; sent_count < m_rumours.size(); ++sent_count) {
        const member_entry* const member = m_table.find(m_rumours[sent_count]);
        if (member != nullptr && !add_item(rumour, item_of(member->m_record), free_bytes)) {
            break;
        }
    }
    m_rumours.erase(m_rumours.begin(), m_rumours.begin() + static_cast<std::ptrdiff_t>(sent_count));
    m_self_rumour = false;
    const double reserve = m_rumour_urgency == urgency::high ? 0 : rumour_reserve_bytes;
    if (m_rumours.empty()) {
        m_rumour_urgency = urgency::none;
    }
    else {
        m_rumour_at = active_now + rumour_delay;
    }
    const std::string payload = encode_gossip(rumour);
    for (const member_entry* member : m_table.draw(m_random, rumour_fan_out, {})) {
        if (m_rumour_budget_bytes <= reserve) {
            return;
        }
        m_rumour_budget_bytes -= static_cast<double>(payload.size() + frame_bytes);
        out.emplace_back(member_send{member->m_record.m_gossip, payload});
    }
}

void membership::state::send_own_record(std::size_t fan_out, actions& out)
{
    gossip_message rumour;
    rumour.m_items.emplace_back(m_self);
    send_to_random(rumour, fan_out, out);
}

void membership::state::send_own_revision(std::size_t fan_out, actions& out)
{
    gossip_message rumour;
    rumour.m_items.emplace_back(revision_note{m_self.m_node, m_self.m_incarnation, m_self.m_revision});
    send_to_random(rumour, fan_out, out);
}

/** Sends @p rumour to @p fan_out random members at once, whatever is left of the rumour budget. */
void membership::state::send_to_random(const gossip_message& rumour, std::size_t fan_out, actions& out)
{
    const std::string payload = encode_gossip(rumour);
    for (const member_entry* member : m_table.draw(m_random, fan_out, {})) {
        m_rumour_budget_bytes -= static_cast<double>(payload.size() + frame_bytes);
        out.emplace_back(member_send{member->m_record.m_gossip, payload});
    }
}

void membership::state::pull_from_any(instant active_now, actions& out)
{
    m_next_pull = active_now + jittered(pull_interval);
    const std::vector<member_entry*> selection = m_table.draw(m_random, 1, {});
    if (!selection.empty()) {
        pull(active_now, *selection.front(), out);
    }
}

void membership::state::pull(instant active_now, const member_entry& from, actions& out)
{
    gossip_message request;
    request.m_kind = gossip_kind::pull;
    request.m_from = m_self;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        request.m_digests.push_back(m_table.digest(bucket));
    }
    m_last_pull_at = active_now;
    m_pull_had_updates = false;
    send(std::move(request), from.m_record.m_gossip, from.m_record.m_node, out);
}

void membership::state::compare_digest(instant active_now, const gossip_message& message, actions& out)
{
    if (message.m_digests.size() != 1 || !message.m_from) {
        return;
    }
    if (message.m_digests.front() == m_table.digest_of_all()) {
        m_differs_since = instant::max();
        return;
    }
    m_differs_since = std::min(m_differs_since, active_now);
    const duration interval = m_pull_had_updates ? eager_pull_interval : idle_pull_interval;
    const member_entry* const sender = m_table.find(message.m_from->m_node);
    if (sender != nullptr && active_now - m_differs_since >= digest_settle_period &&
        active_now - m_last_pull_at >= interval) {
        pull(active_now, *sender, out);
    }
}

void membership::state::on_pull(const endpoint& from, const gossip_message& message, actions& out)
{
    std::vector<const member_entry*> differing;
    bool own_differs = false;
    for (std::size_t offset = 0; offset < message.m_digests.size(); ++offset) {
        const std::size_t index = (message.m_first_bucket + offset) % bucket_count;
        if (m_table.digest(index) == message.m_digests[offset]) {
            continue;
        }
        const std::vector<member_entry*>& bucket = m_table.bucket(index);
        differing.insert(differing.end(), bucket.begin(), bucket.end());
        own_differs = own_differs || bucket_of(m_self.m_node) == index;
    }
    // The newest changes come first; the others in random order, so that repeated pulls reach all of them.
    std::shuffle(differing.begin(), differing.end(), m_random);
    const std::size_t newest = std::min(differing.size(), max_newest_in_page);
    std::partial_sort(
        differing.begin(), differing.begin() + static_cast<std::ptrdiff_t>(newest), differing.end(),
        [](const member_entry* a, const member_entry* b) { return a->m_changed_at > b->m_changed_at; });
    gossip_message page;
    page.m_kind = gossip_kind::page;
    page.m_sequence = message.m_sequence;
    page.m_first_bucket = message.m_first_bucket;
    std::size_t free_bytes = free_bytes_in(page);
    if (own_differs) {
        add_item(page, m_self, free_bytes);
    }
    for (const member_entry* member : differing) {
        if (!add_item(page, member->m_record, free_bytes)) {
            break;
        }
    }
    if (!page.m_items.empty()) {
        out.emplace_back(member_send{from, encode_gossip(page)});
    }
}

} // namespace waxwing
