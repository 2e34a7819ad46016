/** @file departure_writer.cpp Writes the departures of one node's targets to the platform's table. */
#include "node/departure_writer_base.h"

#include <utility>

namespace waxwing {

namespace {

constexpr duration retry_interval = std::chrono::seconds(1);

} // namespace

departure_writer::departure_writer(event_loop& loop, storage& platform_storage, const node_id& node,
                                   std::uint64_t seed, handlers receivers)
    : m_storage(platform_storage), m_key(key_of(node)), m_random(seed), m_receivers(std::move(receivers)),
      m_retry_timer(loop, [this] { attempt(); })
{
}

void departure_writer::write(const departure_list& departures)
{
    m_departures.merge(departures);
    attempt();
}

void departure_writer::set_row(const std::optional<table_row>& row)
{
    m_row = known_row{};
    if (!row) {
        return;
    }
    m_row->m_version = row->m_version;
    const result<departure_list> departures = decode_departures(row->m_value);
    if (departures.has_value()) {
        m_row->m_departures = departures.value();
    }
}

void departure_writer::rewrite()
{
    m_row.reset();
    attempt();
}

/** Starts an attempt, unless one is in progress or there is nothing to write. */
void departure_writer::attempt()
{
    if (m_is_busy || m_departures.items().empty()) {
        return;
    }
    m_is_busy = true;
    m_retry_timer.cancel();
    if (m_row) {
        commit();
        return;
    }
    m_storage.read(m_key, [this](const auto& row) { on_read(row); });
}

void departure_writer::on_read(const result<std::optional<table_row>>& row)
{
    if (row.has_error()) {
        fail_attempt(row.error().m_text);
        return;
    }
    set_row(row.value());
    commit();
}

/** Writes the departures that the row lacks. @pre m_row is known. */
void departure_writer::commit()
{
    departure_list merged = m_row->m_departures;
    if (!merged.merge(m_departures)) {
        finish(m_departures);
        return;
    }
    table_transaction transaction;
    transaction.m_checks.push_back({m_key, m_row->m_version});
    transaction.m_writes.push_back({m_key, encode_departures(merged)});
    m_storage.commit(std::move(transaction),
                     [this, written = m_departures](const auto& outcome) { on_committed(written, outcome); });
}

void departure_writer::on_committed(const departure_list& written, const result<table_commit>& outcome)
{
    m_row.reset();
    if (outcome.has_error()) {
        fail_attempt(outcome.error().m_text);
        return;
    }
    if (!outcome.value().m_applied) {
        m_is_busy = false;
        attempt();
        return;
    }
    finish(written);
}

void departure_writer::fail_attempt(const std::string& reason)
{
    m_is_busy = false;
    m_row.reset();
    std::uniform_int_distribution<duration::rep> distribution(retry_interval.count() / 2,
                                                              retry_interval.count());
    m_retry_timer.set(duration(distribution(m_random)));
    m_receivers.m_on_failure(reason);
}

/** Reports that the row contains @p written, and goes on with what was added meanwhile. */
void departure_writer::finish(const departure_list& written)
{
    m_is_busy = false;
    const bool is_complete = written == m_departures;
    m_receivers.m_on_written(written);
    if (!is_complete) {
        attempt();
    }
}

} // namespace waxwing
