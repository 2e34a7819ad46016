/** @file announcement_task.cpp Keeps the departure of the target beyond the end of the process. */
#include "node/announcement_task_base.h"

#include "events/events.h"

#include <utility>

namespace waxwing {

namespace {

constexpr std::size_t max_held = 64; ///< Announcements held at the start; the oldest ones are dropped.
constexpr duration retry_interval = std::chrono::seconds(1);

} // namespace

announcement_task::announcement_task(event_loop& loop, storage& platform_storage, const node_id& self,
                                     std::uint64_t seed, handlers receivers)
    : m_storage(platform_storage), m_key("departure/" + self.m_value), m_random(seed),
      m_receivers(std::move(receivers)), m_read_timer(loop, [this] { read(); }),
      m_write_timer(loop, [this] { write(); }), m_acknowledgement_timer(loop, [this] { acknowledge_all(); })
{
}

void announcement_task::start()
{
    read();
}

void announcement_task::announce(const target_announcement& announcement, acknowledgement acknowledge)
{
    if (m_is_holding) {
        if (m_held.size() == max_held) {
            m_held.pop_front();
        }
        m_held.push_back(announcement);
    }
    else {
        m_receivers.m_on_announcement(announcement);
    }
    const bool is_recorded = !m_is_holding && m_is_written;
    if (announcement.m_intent == target_intent::serve || is_recorded) {
        acknowledge();
        return;
    }
    m_unanswered.push_back(std::move(acknowledge));
    if (!m_acknowledgement_timer.pending()) {
        m_acknowledgement_timer.set(acknowledgement_timeout);
    }
}

void announcement_task::record(const target_departure& departure)
{
    const bool is_known = m_departure && !(m_departure->m_incarnation < departure.m_incarnation);
    if (is_known || departure.m_incarnation.m_value == 0) {
        return;
    }
    m_departure = departure;
    m_is_written = false;
    write();
}

void announcement_task::on_table_restored()
{
    if (m_departure) {
        m_is_written = false;
        write();
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
    if (row.value()) {
        const result<target_departure> departure = decode_departure(row.value()->m_value);
        if (departure.has_error()) {
            log_event(event::departure_unsettled, {{"reason", departure.error().m_text}});
        }
        else {
            log_event(event::departure_restored, {{"instance", departure.value().m_instance}});
            m_departure = m_departure.value_or(departure.value());
            m_receivers.m_on_earlier_departure(departure.value());
        }
    }
    pass_held_on();
}

/** Passes on the announcements that have waited for the first read. */
void announcement_task::pass_held_on()
{
    m_is_holding = false;
    for (const target_announcement& announcement : std::exchange(m_held, {})) {
        m_receivers.m_on_announcement(announcement);
    }
    if (m_is_written) {
        acknowledge_all();
    }
}

/** Writes the known departure, unless it is written or a write is in progress. */
void announcement_task::write()
{
    if (m_is_written || m_is_writing) {
        return;
    }
    m_is_writing = true;
    table_transaction transaction;
    transaction.m_writes.push_back({m_key, encode_departure(*m_departure)});
    m_storage.commit(std::move(transaction),
                     [this, written = *m_departure](const auto& outcome) { on_written(written, outcome); });
}

void announcement_task::on_written(const target_departure& written, const result<table_commit>& outcome)
{
    m_is_writing = false;
    if (outcome.has_error() || !outcome.value().m_applied) {
        if (!std::exchange(m_is_failing, true)) {
            log_event(event::departure_unsettled,
                      {{"reason", outcome.has_error() ? outcome.error().m_text : "the write was refused"}});
        }
        m_write_timer.set(retry_delay());
        return;
    }
    m_is_failing = false;
    if (written != *m_departure) {
        write();
        return;
    }
    m_is_written = true;
    acknowledge_all();
}

/** Acknowledges the announcements that wait, since their departures are written or took too long. */
void announcement_task::acknowledge_all()
{
    m_acknowledgement_timer.cancel();
    for (const acknowledgement& acknowledge : std::exchange(m_unanswered, {})) {
        acknowledge();
    }
}

duration announcement_task::retry_delay()
{
    std::uniform_int_distribution<duration::rep> distribution(retry_interval.count() / 2,
                                                              retry_interval.count());
    return duration(distribution(m_random));
}

} // namespace waxwing
