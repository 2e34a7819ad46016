/** @file control_task.cpp The task of the control side. */
#include "node/control_task_base.h"

#include "events/events.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t page_size = 100;       ///< Rows read at once.
constexpr std::size_t discover_limit = 4096; ///< Rows read in one discovery.

/** Gives the record by which a node with @p settings enters the fleet. */
member_record to_member_record(const node_settings& settings, incarnation own_incarnation)
{
    member_record made;
    made.m_node = settings.m_name;
    made.m_incarnation = own_incarnation;
    made.m_gossip = settings.m_gossip;
    made.m_link = settings.m_advertised_links.value_or(settings.m_links);
    made.m_region = settings.m_region;
    made.m_data_centre = settings.m_data_centre;
    return made;
}

} // namespace

control_task::control_task(event_loop& loop, const node_settings& settings, storage& kept,
                           incarnation own_incarnation, std::uint64_t seed, handler on_output)
    : m_loop(loop), m_settings(settings), m_on_output(std::move(on_output)),
      m_members(member_settings{}, to_member_record(settings, own_incarnation), seed),
      m_spread(spread_settings{}, seed + 1), m_storage(kept), m_timer(loop, [this] { on_time(); })
{
}

result<void> control_task::listen()
{
    auto opened =
        datagram_task::open(m_loop, m_settings.m_gossip, m_settings.m_shared_key, [this](datagram&& came) {
            m_members.receive(event_loop::now(), came.m_from, came.m_payload, m_member_actions);
            settle();
        });
    if (opened.has_error()) {
        return opened.error();
    }
    m_datagrams = std::move(opened).value();
    m_storage.watch_row(std::string(head_key), [this] { look_for_revision(); });
    on_time();
    return success();
}

void control_task::on_time()
{
    const instant now = event_loop::now();
    m_members.tick(now, m_member_actions);
    m_spread.tick(now, m_spread_actions);
    settle();
}

/** Carries out all that membership and spread have decided, and sets the timer. */
void control_task::settle()
{
    if (m_settling) {
        return;
    }
    m_settling = true;
    while (!m_member_actions.empty() || !m_spread_actions.empty()) {
        for (member_action& action : std::exchange(m_member_actions, {})) {
            apply(std::move(action));
        }
        for (spread_action& action : std::exchange(m_spread_actions, {})) {
            apply(std::move(action));
        }
    }
    m_settling = false;
    note_unreadable();
    const instant next = std::min(m_members.next_tick(), m_spread.next_tick());
    m_timer.set(next - event_loop::now());
}

/** Logs once where an accepted revision can't be read by this version. */
void control_task::note_unreadable()
{
    const revision unreadable = m_spread.unreadable();
    if (unreadable == m_unreadable) {
        return;
    }
    m_unreadable = unreadable;
    log_event(event::config_refused, {{"revision", std::to_string(unreadable.m_value)},
                                      {"reason", "it was written for a newer version"}});
}

void control_task::apply(member_action&& action)
{
    std::visit(overloaded{
                   [&](member_send& sent) { m_datagrams->send(sent.m_to, sent.m_payload); },
                   [&](member_change& changed) {
                       const member_record& record = changed.m_record;
                       m_spread.on_peer_revision(event_loop::now(), record.m_node, record.m_revision,
                                                 m_spread_actions);
                       m_on_output(peer_changed{record});
                   },
                   [&](member_register& wanted) { apply_registration(wanted); },
                   [&](member_discover& wanted) { discover(wanted.m_prefix, "", {}); },
               },
               action);
}

void control_task::apply(spread_action&& action)
{
    std::visit(overloaded{
                   [&](spread_read_head&) {
                       m_storage.read(std::string(head_key), [this](const auto& row) { on_head(row); });
                   },
                   [&](spread_get_object& wanted) {
                       m_storage.get_object(wanted.m_name, [this, name = wanted.m_name](const auto& bytes) {
                           m_spread.on_object(event_loop::now(), name, bytes, m_spread_actions);
                           settle();
                       });
                   },
                   [&](spread_send& sent) {
                       m_on_output(peer_send{sent.m_peer, control_message{control_topic::configuration,
                                                                          std::move(sent.m_payload)}});
                   },
                   [&](spread_in_force& taken) {
                       m_in_force = {taken.m_info, taken.m_set};
                       m_members.set_revision(event_loop::now(), taken.m_info.m_revision);
                       log_event(event::config_in_force,
                                 {{"revision", std::to_string(taken.m_info.m_revision.m_value)},
                                  {"digest", taken.m_info.m_digest}});
                       m_on_output(revision_in_force(m_in_force));
                   },
               },
               action);
}

void control_task::on_head(const result<std::optional<table_row>>& row)
{
    note_platform(row.has_value(), row.has_error() ? row.error().m_text : "");
    const instant now = event_loop::now();
    if (row.has_error()) {
        m_spread.on_head(now, row.error(), m_spread_actions);
        settle();
        return;
    }
    if (!row.value().has_value()) {
        m_spread.on_head(now, std::optional<revision_info>{}, m_spread_actions);
        settle();
        return;
    }
    const result<revision_info> info = decode_revision(row.value()->m_value);
    if (info.has_error()) {
        log_event(event::config_refused, {{"revision", "?"}, {"reason", info.error().m_text}});
        m_spread.on_head(now, info.error(), m_spread_actions);
    }
    else {
        m_spread.on_head(now, std::optional<revision_info>(info.value()), m_spread_actions);
    }
    settle();
}

void control_task::apply_registration(const member_register& wanted)
{
    table_transaction transaction;
    transaction.m_writes.push_back(
        {wanted.m_key, wanted.m_remove ? std::nullopt : std::optional<std::string>(wanted.m_value)});
    m_storage.commit(std::move(transaction), [this](const auto& ended) {
        note_platform(ended.has_value(), ended.has_error() ? ended.error().m_text : "");
    });
}

/** Reads the registration rows page by page and gives them to membership. */
void control_task::discover(const std::string& prefix, const std::string& after,
                            std::vector<std::pair<std::string, std::string>> found)
{
    m_storage.list(prefix, after, page_size,
                   [this, prefix, found = std::move(found)](const result<table_page>& page) mutable {
                       if (page.has_error()) {
                           note_platform(false, page.error().m_text);
                           return;
                       }
                       for (const table_row& row : page.value().m_rows) {
                           found.emplace_back(row.m_key, row.m_value);
                       }
                       if (page.value().m_has_more && found.size() < discover_limit) {
                           const std::string last = found.back().first;
                           discover(prefix, last, std::move(found));
                           return;
                       }
                       m_members.add_registered(event_loop::now(), found, m_member_actions);
                       settle();
                   });
}

void control_task::note_platform(bool works, const std::string& reason)
{
    const instant now = event_loop::now();
    if (!works && !m_platform_failing_since.has_value()) {
        m_platform_failing_since = now;
        log_event(event::platform_failing, {{"reason", reason}});
    }
    if (works && m_platform_failing_since.has_value()) {
        const std::int64_t outage = to_milliseconds(now - *m_platform_failing_since);
        m_platform_failing_since.reset();
        log_event(event::platform_recovered, {{"outage_ms", std::to_string(outage)}});
    }
}

void control_task::set_target(const target_changed& changed)
{
    m_members.set_target(event_loop::now(), changed.m_state, changed.m_service, changed.m_slots,
                         m_member_actions);
    settle();
}

void control_task::on_configuration(const node_id& peer, std::string_view payload)
{
    m_spread.on_message(event_loop::now(), peer, payload, m_spread_actions);
    settle();
}

void control_task::look_for_revision()
{
    apply(spread_action{spread_read_head{}});
}

void control_task::leave()
{
    m_members.leave(event_loop::now(), m_member_actions);
    settle();
}

} // namespace waxwing
