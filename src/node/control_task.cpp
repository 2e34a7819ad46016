/** @file control_task.cpp The control task: membership, configuration and platform storage. */
#include "node/control_task_base.h"

#include "events/events.h"
#include "node/transaction_func.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t page_size = 500;            ///< Rows per read.
constexpr std::size_t max_discovered_rows = 4096; ///< Rows after which a discovery stops reading.

/** Returns the member record with which a node with @p settings joins the fleet. */
member_record to_member_record(const node_settings& settings, incarnation own_incarnation)
{
    member_record record;
    record.m_node = settings.m_name;
    record.m_incarnation = own_incarnation;
    record.m_gossip = settings.m_gossip;
    record.m_link = settings.m_advertised_links.value_or(settings.m_links);
    record.m_region = settings.m_region;
    record.m_data_centre = settings.m_data_centre;
    return record;
}

/** Returns the settings of the distribution of a configuration that is kept in @p platform_storage. */
spread_settings to_spread_settings(const storage& platform_storage)
{
    spread_settings settings;
    settings.m_restores_head = platform_storage.accepts_publications();
    return settings;
}

} // namespace

control_task::control_task(event_loop& loop, const node_settings& settings, storage& platform_storage,
                           incarnation own_incarnation, std::uint64_t seed, handler on_output)
    : m_loop(loop), m_settings(settings), m_on_output(std::move(on_output)),
      m_members(member_settings{}, to_member_record(settings, own_incarnation), seed),
      m_watch_election(settings.m_name, settings.m_data_centre, watch_settings{}, seed + 3),
      m_spread(to_spread_settings(platform_storage), seed + 1), m_storage(platform_storage),
      m_confirmation(
          loop, settings, seed + 2,
          {[this](control_output&& output) { m_on_output(std::move(output)); },
           [this] {
               return confirmation_peers{m_watch_election.near_watchers(), m_watch_election.far_watchers()};
           },
           [this] { read_head_to_confirm(); },
           [this](const node_id& peer, revision number) { fetch(peer, number); }}),
      m_timer(loop, [this] { on_timer(); })
{
}

result<void> control_task::listen()
{
    auto datagrams =
        datagram_task::open(m_loop, m_settings.m_gossip, m_settings.m_shared_key, [this](datagram&& packet) {
            m_watch_election.on_message(event_loop::now());
            m_members.receive(event_loop::now(), packet.m_from, packet.m_payload, m_member_actions);
            process_actions();
        });
    if (datagrams.has_error()) {
        return datagrams.error();
    }
    m_datagrams = std::move(datagrams).value();
    m_storage.watch_row(std::string(head_key), [this] { read_head(); });
    m_storage.watch_contacts(std::string(head_key), [this](boot_instant sent_at) {
        const instant contact_at = event_loop::now() - (event_loop::boot_now() - sent_at);
        m_members.add_table_contacts(
            {contact_at, m_watch_election.is_elected() ? std::optional(contact_at) : std::nullopt});
    });
    if (m_settings.m_fail_closed) {
        m_storage.watch_confirmations(
            std::string(head_key),
            [this](row_version version, boot_instant sent_at) { m_confirmation.on_store(version, sent_at); });
    }
    m_storage.watch_restorations([this] {
        m_members.on_table_restored(event_loop::now());
        process_actions();
        m_on_output(table_restored{});
    });
    on_timer();
    return success();
}

void control_task::on_timer()
{
    const instant now = event_loop::now();
    m_members.tick(now, m_member_actions);
    m_spread.tick(now, m_spread_actions);
    process_actions();
}

/** Applies pending actions of membership and spread until none remain, then arms the timer. */
void control_task::process_actions()
{
    if (m_processing_actions) {
        return;
    }
    m_processing_actions = true;
    while (!m_member_actions.empty() || !m_spread_actions.empty()) {
        for (member_action& action : std::exchange(m_member_actions, {})) {
            apply(std::move(action));
        }
        for (spread_action& action : std::exchange(m_spread_actions, {})) {
            apply(std::move(action));
        }
    }
    m_processing_actions = false;
    log_unreadable_revision();
    update_watch();
    report_progress();
    const instant next =
        std::min({m_members.next_tick(), m_spread.next_tick(), m_watch_election.next_update()});
    m_timer.set(next - event_loop::now());
}

/** Reports once that this node has found the fleet, and that others can find it. */
void control_task::report_progress()
{
    const bool has_joined = m_members.has_joined(event_loop::now());
    if (has_joined && !std::exchange(m_has_joined, true)) {
        log_event(event::fleet_joined, {{"members", std::to_string(m_members.members().size())}});
        m_confirmation.set_joined();
    }
    if (m_members.is_discoverable() && !std::exchange(m_is_discoverable, true)) {
        m_on_output(fleet_discovered{});
    }
}

/** Starts or stops watching the head row, or tries to read it, as the election decides. */
void control_task::update_watch()
{
    const instant now = event_loop::now();
    const watch_action action =
        m_watch_election.update(now, m_members.likely_isolated(now), m_members.contacts());
    if (action == watch_action::attempt) {
        attempt_watch();
    }
    const bool is_watching = action == watch_action::watch;
    if (is_watching == m_is_watching) {
        return;
    }
    m_is_watching = is_watching;
    log_event(event::watch_changed, {{"watching", is_watching ? "yes" : "no"},
                                     {"substitute", m_watch_election.is_substitute() ? "yes" : "no"}});
    m_spread.set_watching(now, is_watching);
    m_confirmation.set_watching(is_watching);
    m_storage.set_watch_active(std::string(head_key), is_watching);
}

/** Reads the head row, to watch it in place of the elected nodes if the table answers. A failure does not
 * reach the distribution, which would request the revision from a random peer each time. */
void control_task::attempt_watch()
{
    m_storage.read(std::string(head_key),
                   [this, sent_at = event_loop::now()](const result<std::optional<table_row>>& row) {
                       m_watch_election.on_attempt(event_loop::now(), row.has_value());
                       if (row.has_value()) {
                           m_members.add_table_contacts({sent_at, std::nullopt});
                           on_head(row);
                           return;
                       }
                       process_actions();
                   });
}

/** Logs once for each accepted revision that this version cannot read. */
void control_task::log_unreadable_revision()
{
    const revision unreadable = m_spread.unreadable();
    if (unreadable == m_unreadable) {
        return;
    }
    m_unreadable = unreadable;
    log_event(event::config_refused, {{"revision", std::to_string(unreadable.m_value)},
                                      {"reason", "the revision requires a newer version"}});
}

std::optional<std::string> control_task::refusal() const
{
    if (m_spread.in_force() < m_spread.unreadable()) {
        return "revision " + std::to_string(m_spread.unreadable().m_value) + " requires a newer version";
    }
    return m_storage.head_refusal();
}

void control_task::apply(member_action&& action)
{
    std::visit(overloaded{
                   [&](member_send& outgoing) { m_datagrams->send(outgoing.m_to, outgoing.m_payload); },
                   [&](member_change& change) {
                       const member_record& record = change.m_record;
                       m_watch_election.put(record);
                       m_confirmation.on_peer_revision(record.m_revision);
                       m_spread.on_peer_revision(event_loop::now(), record.m_node, record.m_revision,
                                                 m_spread_actions);
                       m_on_output(peer_changed{record});
                   },
                   [&](member_revision& change) {
                       m_confirmation.on_peer_revision(change.m_revision);
                       m_spread.on_peer_revision(event_loop::now(), change.m_node, change.m_revision,
                                                 m_spread_actions);
                   },
                   [&](member_register& request) { apply_registration(request); },
                   [&](member_discover& request) { discover(request.m_prefix, "", {}); },
               },
               action);
}

void control_task::apply(spread_action&& action)
{
    std::visit(overloaded{
                   [&](spread_read_head&) {
                       m_storage.read(std::string(head_key), [this](const auto& row) { on_head(row); });
                   },
                   [&](spread_get_object& request) {
                       m_storage.get_object(request.m_name, [this, name = request.m_name](const auto& bytes) {
                           m_spread.on_object(event_loop::now(), name, bytes, m_spread_actions);
                           process_actions();
                       });
                   },
                   [&](spread_send& outgoing) {
                       m_on_output(
                           peer_send{outgoing.m_peer, control_message{control_topic::configuration,
                                                                      std::move(outgoing.m_payload)}});
                   },
                   [&](spread_in_force& change) {
                       m_in_force = {change.m_info, change.m_set};
                       m_members.set_revision(event_loop::now(), change.m_info.m_revision, m_member_actions);
                       log_event(event::config_in_force,
                                 {{"revision", std::to_string(change.m_info.m_revision.m_value)},
                                  {"digest", change.m_info.m_digest}});
                       m_on_output(revision_in_force(m_in_force));
                       m_confirmation.set_in_force(m_in_force);
                   },
                   [&](spread_restore& request) {
                       restore(std::make_shared<const spread_restore>(std::move(request)), 0);
                   },
               },
               action);
}

/** Puts the objects of @p request from number @p next_put on, then runs its transaction. */
void control_task::restore(const std::shared_ptr<const spread_restore>& request, std::size_t next_put)
{
    if (next_put < request->m_puts.size()) {
        const publish_put_object& put = request->m_puts[next_put];
        m_storage.put_object(put.m_name, put.m_bytes, [this, request, next_put](const result<bool>& outcome) {
            outcome.has_error() ? end_restore() : restore(request, next_put + 1);
        });
        return;
    }
    m_storage.commit(to_transaction(request->m_commit), [this](const result<table_commit>& outcome) {
        if (outcome.has_value() && outcome.value().m_applied) {
            log_event(event::head_restored,
                      {{"revision", std::to_string(m_in_force.m_info.m_revision.m_value)}});
        }
        end_restore();
    });
}

void control_task::end_restore()
{
    m_spread.on_restored(event_loop::now());
    process_actions();
}

void control_task::on_head(const result<std::optional<table_row>>& row)
{
    on_platform_result(row.has_value(), row.has_error() ? row.error().m_text : "");
    const instant now = event_loop::now();
    if (row.has_error()) {
        m_spread.on_head(now, row.error(), m_spread_actions);
        process_actions();
        return;
    }
    if (!row.value().has_value()) {
        m_spread.on_head(now, std::optional<revision_info>{}, m_spread_actions);
        process_actions();
        return;
    }
    const result<revision_info> info = decode_revision(row.value()->m_value);
    if (info.has_error()) {
        log_event(event::config_refused, {{"revision", "?"}, {"reason", info.error().m_text}});
        m_spread.on_head(now, info.error(), m_spread_actions);
    }
    else {
        m_spread.on_head(now, std::optional<revision_info>(info.value()), m_spread_actions,
                         row.value()->m_version);
        m_confirmation.on_head(row.value()->m_version, info.value().m_revision);
    }
    process_actions();
}

void control_task::apply_registration(const member_register& registration)
{
    table_transaction transaction;
    transaction.m_writes.push_back(
        {registration.m_key,
         registration.m_remove ? std::nullopt : std::optional<std::string>(registration.m_value)});
    m_storage.commit(std::move(transaction), [this, remove = registration.m_remove](const auto& outcome) {
        on_platform_result(outcome.has_value(), outcome.has_error() ? outcome.error().m_text : "");
        if (!remove) {
            m_members.on_registered(event_loop::now(), outcome.has_value());
        }
    });
}

/** Reads the registration rows page by page and passes them to membership. */
void control_task::discover(const std::string& prefix, const std::string& after,
                            std::vector<std::pair<std::string, std::string>> found)
{
    m_storage.list(prefix, after, page_size,
                   [this, prefix, found = std::move(found)](const result<table_page>& page) mutable {
                       on_platform_result(page.has_value(), page.has_error() ? page.error().m_text : "");
                       if (page.has_error()) {
                           m_members.on_discovery_failed(event_loop::now());
                           process_actions();
                           return;
                       }
                       for (const table_row& row : page.value().m_rows) {
                           found.emplace_back(row.m_key, row.m_value);
                       }
                       if (page.value().m_has_more && found.size() < max_discovered_rows) {
                           const std::string last = found.back().first;
                           discover(prefix, last, std::move(found));
                           return;
                       }
                       m_members.add_registered(event_loop::now(), found, m_member_actions);
                       process_actions();
                   });
}

void control_task::on_platform_result(bool is_working, const std::string& reason)
{
    const instant now = event_loop::now();
    if (!is_working && !m_platform_failing_since.has_value()) {
        m_platform_failing_since = now;
        log_event(event::platform_failing, {{"reason", reason}});
    }
    if (is_working && m_platform_failing_since.has_value()) {
        const std::int64_t outage = to_milliseconds(now - *m_platform_failing_since);
        m_platform_failing_since.reset();
        log_event(event::platform_recovered, {{"outage_ms", std::to_string(outage)}});
        m_members.on_table_available(now);
    }
}

void control_task::set_target(const target_changed& changed)
{
    m_members.set_target(event_loop::now(), changed.m_state, changed.m_service, changed.m_slots,
                         m_member_actions);
    process_actions();
}

void control_task::on_configuration(const node_id& peer, std::string_view payload)
{
    m_spread.on_message(event_loop::now(), peer, payload, m_spread_actions);
    process_actions();
}

void control_task::read_head()
{
    apply(spread_action{spread_read_head{}});
}

/** Reads the head row for want of a confirmation. A failure does not reach the distribution, which would
 * request the revision from a random peer each time. */
void control_task::read_head_to_confirm()
{
    m_storage.read(std::string(head_key), [this](const result<std::optional<table_row>>& row) {
        if (row.has_value()) {
            on_head(row);
        }
    });
}

/** Fetches the revision @p number, which @p peer has in force. */
void control_task::fetch(const node_id& peer, revision number)
{
    m_spread.on_peer_revision(event_loop::now(), peer, number, m_spread_actions);
    process_actions();
}

void control_task::leave()
{
    m_members.leave(event_loop::now(), m_member_actions);
    process_actions();
}

} // namespace waxwing
