/** @file announcement_task.cpp Keeps the departures of the target beyond the end of the process. */
#include "node/announcement_task_base.h"

#include "events/events.h"

#include <algorithm>
#include <utility>

namespace waxwing {

namespace {

constexpr std::size_t max_held = 64;    ///< Announcements held at the start; the oldest ones are dropped.
constexpr std::size_t max_waiting = 64; ///< Departures that wait; the oldest ones are refused.
constexpr duration retry_interval = std::chrono::seconds(1);
/** Time that a write may take before other nodes are asked to hold a departure. */
constexpr duration offer_delay = std::chrono::milliseconds(200);
/** Time in which only the table counts, as it outlives all processes at once. */
constexpr duration table_preference_duration = std::chrono::milliseconds(500);
/** Nodes that have to hold a departure, or all that are asked if there are fewer. */
constexpr std::size_t min_holders = 2;

} // namespace

announcement_task::announcement_task(event_loop& loop, storage& platform_storage, const node_id& self,
                                     std::uint64_t seed, handlers receivers)
    : m_storage(platform_storage), m_key(departure_writer::key_of(self)), m_random(seed),
      m_receivers(std::move(receivers)),
      m_writer(loop, platform_storage, self, m_random(),
               {[this](const departure_list& written) { on_written(written); },
                [this](const std::string& reason) { on_write_failed(reason); }}),
      m_generation(m_random() / 2), m_written_generation(m_generation),
      m_read_timer(loop, [this] { read(); }), m_offer_timer(loop, [this] { offer(); }),
      m_sweep_timer(loop, [this] { sweep(); })
{
}

void announcement_task::start()
{
    read();
}

void announcement_task::announce(const target_announcement& announcement, acknowledgement acknowledge)
{
    if (announcement.m_intent == target_intent::serve) {
        receive(announcement);
        acknowledge(true);
        return;
    }
    if (m_waiting.size() == max_waiting) {
        m_waiting.front().m_acknowledge(false);
        m_waiting.erase(m_waiting.begin());
    }
    m_waiting.push_back({event_loop::now(), std::nullopt, std::move(acknowledge)});
    receive(announcement);
    if (!m_is_holding) {
        m_waiting.back().m_generation = m_generation;
        acknowledge_kept();
    }
    if (!m_waiting.empty() && !m_sweep_timer.pending()) {
        m_sweep_timer.set(acknowledgement_timeout);
    }
}

/** Passes @p announcement on, or holds it until the first read has ended. */
void announcement_task::receive(const target_announcement& announcement)
{
    if (!m_is_holding) {
        pass_on(announcement);
        return;
    }
    if (m_held.size() == max_held) {
        m_held.pop_front();
    }
    m_held.push_back(announcement);
}

void announcement_task::record(const target_departure& departure)
{
    if (m_departures.add(departure)) {
        on_list_changed();
    }
}

void announcement_task::on_table_restored()
{
    if (!m_departures.items().empty()) {
        m_writer.rewrite();
        on_list_changed();
    }
}

void announcement_task::on_receipt(const node_id& keeper, const departure_receipt& receipt)
{
    departure_receipt& known = m_receipts[keeper];
    const bool is_older = receipt.m_generation < known.m_generation;
    const bool is_weaker = receipt.m_generation == known.m_generation && known.m_is_stored;
    if (is_older || is_weaker || receipt.m_generation > m_generation) {
        return;
    }
    known = receipt;
    acknowledge_kept();
}

void announcement_task::on_reminder(const departure_reminder& reminder)
{
    if (m_departures.merge(reminder.m_departures)) {
        restore(reminder.m_departures);
        on_list_changed();
    }
}

void announcement_task::read()
{
    m_storage.read(m_key, [this](const auto& row) { on_read(row); });
}

void announcement_task::on_read(const result<std::optional<table_row>>& row)
{
    if (row.has_error()) {
        if (!std::exchange(m_is_failing, true)) {
            log_event(event::departure_unsettled, {{"reason", row.error().m_text}});
        }
        m_read_timer.set(retry_delay());
        pass_held_on();
        return;
    }
    m_is_failing = false;
    m_is_verified = m_is_verified || m_is_holding;
    if (!has_changed()) {
        m_writer.set_row(row.value());
    }
    if (row.value()) {
        const result<departure_list> departures = decode_departures(row.value()->m_value);
        if (departures.has_error()) {
            log_event(event::departure_unsettled, {{"reason", departures.error().m_text}});
        }
        else {
            if (m_departures.merge(departures.value()) && has_changed()) {
                m_writer.write(m_departures);
            }
            restore(departures.value());
        }
    }
    pass_held_on();
}

/** Passes on @p departures, which an earlier process acknowledged. */
void announcement_task::restore(const departure_list& departures)
{
    for (const target_departure& departure : departures.items()) {
        log_event(event::departure_restored, {{"instance", departure.m_instance}});
        m_receivers.m_on_earlier_departure(departure);
    }
}

/** Passes on the announcements that have waited for the first read. */
void announcement_task::pass_held_on()
{
    if (!std::exchange(m_is_holding, false)) {
        return;
    }
    for (const target_announcement& announcement : std::exchange(m_held, {})) {
        pass_on(announcement);
    }
    for (waiting_departure& waiting : m_waiting) {
        waiting.m_generation = m_generation;
    }
    acknowledge_kept();
}

void announcement_task::pass_on(const target_announcement& announcement)
{
    if (announcement.m_intent != target_intent::serve || is_usable(announcement)) {
        m_receivers.m_on_announcement(announcement);
    }
}

/** Returns whether @p announcement cannot be a late one of a target whose departure was acknowledged by an
 * earlier process. */
bool announcement_task::is_usable(const target_announcement& announcement)
{
    m_is_verified = m_is_verified || m_streak.extend(event_loop::now(), announcement);
    return m_is_verified;
}

/** Writes the list, and asks other nodes to hold it if that takes long. */
void announcement_task::on_list_changed()
{
    ++m_generation;
    m_changed_at = event_loop::now();
    m_offer_timer.set(offer_delay);
    m_writer.write(m_departures);
}

void announcement_task::on_written(const departure_list& written)
{
    m_is_failing = false;
    if (!written.covers(m_departures)) {
        return;
    }
    m_written_generation = m_generation;
    m_offer_timer.cancel();
    acknowledge_kept();
}

void announcement_task::on_write_failed(const std::string& reason)
{
    if (!std::exchange(m_is_failing, true)) {
        log_event(event::departure_unsettled, {{"reason", reason}});
        offer();
    }
}

/** Offers the list to the keepers that have not confirmed it. */
void announcement_task::offer()
{
    for (const node_id& keeper : m_receivers.m_keepers()) {
        if (m_receipts[keeper].m_generation < m_generation) {
            m_receivers.m_send(keeper, departure_offer{m_generation, m_departures});
        }
    }
    m_offer_timer.set(retry_delay());
}

/** Acknowledges the departures that are stored, or held for want of the table. */
void announcement_task::acknowledge_kept()
{
    const bool may_be_held = event_loop::now() - m_changed_at >= table_preference_duration;
    std::vector<waiting_departure> kept;
    for (auto position = m_waiting.begin(); position != m_waiting.end();) {
        const auto generation = position->m_generation;
        if (generation && (is_stored(*generation) || (may_be_held && is_held(*generation)))) {
            kept.push_back(std::move(*position));
            position = m_waiting.erase(position);
        }
        else {
            ++position;
        }
    }
    for (const waiting_departure& departure : kept) {
        departure.m_acknowledge(true);
    }
}

/** Ends the waits that have lasted for acknowledgement_timeout. */
void announcement_task::sweep()
{
    acknowledge_kept();
    const instant now = event_loop::now();
    while (!m_waiting.empty() && now - m_waiting.front().m_since >= acknowledgement_timeout) {
        const waiting_departure refused = std::move(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
        log_event(event::departure_refused);
        refused.m_acknowledge(false);
    }
    if (!m_waiting.empty()) {
        m_sweep_timer.set(m_waiting.front().m_since + acknowledgement_timeout - now);
    }
}

/** Returns whether the table contains the list @p generation, by this node's write or by a keeper's. */
bool announcement_task::is_stored(std::uint64_t generation) const
{
    return generation <= m_written_generation ||
           std::any_of(m_receipts.begin(), m_receipts.end(), [generation](const auto& item) {
               return item.second.m_is_stored && generation <= item.second.m_generation;
           });
}

/** Returns whether enough other nodes hold the list @p generation. */
bool announcement_task::is_held(std::uint64_t generation) const
{
    const std::vector<node_id> keepers = m_receivers.m_keepers();
    const auto holders = std::count_if(keepers.begin(), keepers.end(), [&](const node_id& keeper) {
        const auto receipt = m_receipts.find(keeper);
        return receipt != m_receipts.end() && generation <= receipt->second.m_generation;
    });
    return !keepers.empty() && static_cast<std::size_t>(holders) >= std::min(min_holders, keepers.size());
}

duration announcement_task::retry_delay()
{
    std::uniform_int_distribution<duration::rep> distribution(retry_interval.count() / 2,
                                                              retry_interval.count());
    return duration(distribution(m_random));
}

} // namespace waxwing
