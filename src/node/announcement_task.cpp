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
/** Time in which all nodes that are asked at first have to hold a departure. */
constexpr duration all_holders_duration = std::chrono::seconds(2);
/** Time in which only the table counts, as it outlives all processes at once. */
constexpr duration table_preference_duration = std::chrono::milliseconds(500);

} // namespace

announcement_task::announcement_task(event_loop& loop, storage& platform_storage, const node_id& self,
                                     std::uint64_t seed, handlers receivers)
    : m_storage(platform_storage), m_key(departure_writer::key_of(self)), m_random(seed),
      m_receivers(std::move(receivers)),
      m_writer(loop, platform_storage, self, m_random(),
               {[this](const departure_list& written) { on_written(written); },
                [this](const std::string& reason) { on_write_failed(reason); }}),
      m_trust(event_loop::now(), event_loop::wall_now()), m_generation(m_random() / 2),
      m_written_generation(m_generation), m_read_timer(loop, [this] { read(); }),
      m_mark_timer(loop, [this] { mark_row(); }), m_offer_timer(loop, [this] { offer(); }),
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
    m_is_holding ? hold(announcement) : pass_on(announcement);
}

void announcement_task::hold(const target_announcement& announcement)
{
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
    if (reminder.m_memory && !m_trust.is_established()) {
        m_trust.on_keeper_memory(event_loop::now(), *reminder.m_memory);
        on_trust_established();
    }
}

/** Passes on what has been held for want of trust, if there is trust now. */
void announcement_task::on_trust_established()
{
    if (!m_trust.is_established() || m_is_holding) {
        return;
    }
    for (const target_announcement& announcement : std::exchange(m_held, {})) {
        m_receivers.m_on_announcement(announcement);
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
    if (!std::exchange(m_was_read, true)) {
        const std::optional<store_era> era = m_storage.current_era();
        m_trust.on_first_read(row.value().has_value(), era ? std::optional(era->m_number) : std::nullopt);
    }
    if (!has_changed()) {
        m_writer.set_row(row.value());
    }
    if (!row.value()) {
        mark_row();
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

/** Writes an empty row, unless a departure has been written, which tells the next process that there was an
 * earlier one. */
void announcement_task::mark_row()
{
    if (has_changed()) {
        return;
    }
    table_transaction transaction;
    transaction.m_checks.push_back({m_key, row_version{}});
    transaction.m_writes.push_back({m_key, encode_departures({})});
    m_storage.commit(std::move(transaction), [this](const result<table_commit>& outcome) {
        if (outcome.has_error()) {
            m_mark_timer.set(retry_delay());
            return;
        }
        m_writer.rewrite(); // The version of the row that it knows is no longer the last one.
    });
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
    if (announcement.m_intent != target_intent::serve || m_trust.is_established()) {
        m_receivers.m_on_announcement(announcement);
        return;
    }
    if (!m_trust.take(event_loop::now(), announcement)) {
        hold(announcement);
        return;
    }
    m_held.clear(); // Older than this one, which proves that the target runs.
    m_receivers.m_on_announcement(announcement);
}

/** Writes the list, and asks other nodes to hold it if that takes long. */
void announcement_task::on_list_changed()
{
    ++m_generation;
    m_asked_count = keeper_count;
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

/** Offers the list to the keepers that have not confirmed it, and to one more each time while nobody has
 * written it: the table may turn away those that were asked before. */
void announcement_task::offer()
{
    for (const node_id& keeper : m_receivers.m_keepers(m_asked_count)) {
        if (m_receipts[keeper].m_generation < m_generation) {
            m_receivers.m_send(keeper, departure_offer{m_generation, m_departures});
        }
    }
    if (!is_stored(m_generation)) {
        m_asked_count = std::min(m_asked_count + 1, max_keeper_count);
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

/** Returns whether enough other nodes hold the list @p generation. All that are asked at first have to, so
 * that any of them can tell the next process that it knows of all departures. One that doesn't answer must
 * not keep the target from its acknowledgement for long. */
bool announcement_task::is_held(std::uint64_t generation) const
{
    const std::vector<node_id> keepers = m_receivers.m_keepers(keeper_count);
    const auto holders = std::count_if(keepers.begin(), keepers.end(), [&](const node_id& keeper) {
        const auto receipt = m_receipts.find(keeper);
        return receipt != m_receipts.end() && generation <= receipt->second.m_generation;
    });
    const bool is_late = event_loop::now() - m_changed_at >= all_holders_duration;
    const std::size_t required = is_late ? std::min(min_holders, keepers.size()) : keepers.size();
    return !keepers.empty() && static_cast<std::size_t>(holders) >= required;
}

duration announcement_task::retry_delay()
{
    std::uniform_int_distribution<duration::rep> distribution(retry_interval.count() / 2,
                                                              retry_interval.count());
    return duration(distribution(m_random));
}

} // namespace waxwing
