/** @file node.cpp The node: its tasks, and the messages between them. */
#include "node/node_base.h"

#include "events/events.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
/** Part of the memory that bodies and buffers may take; the rest is for the process itself and the allocator.
 */
constexpr std::size_t budget_numerator = 5;
constexpr std::size_t budget_denominator = 8;
constexpr std::size_t quarantine_sender_count = 3; ///< Nodes that send a new one the quarantine records.

/** Reads the chart of @p subject in @p folder; errors are added to @p errors. */
chart read_chart(const std::string& folder, chart_subject subject, located_errors& errors)
{
    const std::string path = folder + "/" + std::string(chart_file(subject));
    const std::optional<std::string> text = read_file(path);
    if (!text.has_value()) {
        errors.push_back({path, 0, "cannot be opened"});
        return {};
    }
    result<chart, located_errors> read =
        chart::read(path, text.value(), chart_events(subject), chart_actions(subject));
    if (read.has_error()) {
        errors.insert(errors.end(), read.error().begin(), read.error().end());
        return {};
    }
    return std::move(read).value();
}

/** Logs the changes of quarantine records that this node made. */
void log_suspicions(const std::vector<suspicion_change>& changes)
{
    for (const suspicion_change& change : changes) {
        event logged = event::request_released;
        if (is_suspected(change.m_suspicion)) {
            logged = event::request_suspected;
        }
        if (change.m_suspicion == suspicion::quarantined) {
            logged = event::request_quarantined;
        }
        log_event(logged, {{"fingerprint", change.m_fingerprint}});
    }
}

/** Returns whether peers may send work to the target beside the node of @p record. */
bool accepts_work(const member_record& record)
{
    const bool present = record.m_state == member_state::alive || record.m_state == member_state::suspect;
    return present && record.m_target == target_state::ready;
}

/** Returns what @p state means for the ownership of quotas. */
quota_presence to_presence(member_state state)
{
    if (state == member_state::left) {
        return quota_presence::left;
    }
    return state == member_state::dead ? quota_presence::dead : quota_presence::alive;
}

/** Converts @p record to a target for routing. */
route_target to_route_target(const member_record& record)
{
    return {record.m_node, record.m_service, record.m_data_centre, record.m_slots};
}

} // namespace

result<node_charts, located_errors> read_charts(const std::string& folder)
{
    located_errors errors;
    chart node_chart = read_chart(folder, chart_subject::node, errors);
    chart target_chart = read_chart(folder, chart_subject::target, errors);
    if (!errors.empty()) {
        return errors;
    }
    return node_charts{std::move(node_chart), std::move(target_chart)};
}

node::node(event_loop& loop, node_settings settings, const node_environment& environment, node_charts charts,
           incarnation own_incarnation, std::uint64_t seed)
    : m_loop(loop), m_settings(std::move(settings)), m_charts(std::move(charts)),
      m_state_machine(m_charts.m_node),
      m_budget(std::make_shared<memory_budget>(m_settings.m_memory * mebibyte / budget_denominator *
                                               budget_numerator)),
      m_calls(loop, m_settings, environment.m_dialect, own_incarnation, seed, m_metrics,
              [this](call_output&& output) { on_call_output(std::move(output)); }),
      m_target(loop, environment.m_dialect, m_charts.m_target,
               [this](target_output&& output) { on_target_output(std::move(output)); }),
      m_announcements(
          loop, environment.m_storage, m_settings.m_name, seed + 300,
          {[this](const target_announcement& announcement) { m_target.announce(announcement); },
           [this](const target_departure& departure) { m_target.restore_departure(departure); },
           [this](std::size_t count) { return departure_keepers(count); },
           [this](const node_id& peer, const departure_message& message) { send_departure(peer, message); }}),
      m_departure_keeper(
          loop, environment.m_storage, seed + 400,
          [this](const node_id& peer, const departure_message& message) { send_departure(peer, message); }),
      m_control(loop, m_settings, environment.m_storage, own_incarnation, seed + 100,
                [this](control_output&& output) { on_control_output(std::move(output)); }),
      m_peers(loop, [this](link_event&& event) { on_link_event(std::move(event)); }),
      m_operators(loop, m_settings,
                  node_tasks{m_calls, m_target, m_control, m_peers, m_metrics, m_state_machine}, seed + 200),
      m_started_at(event_loop::now()), m_drain_timer(loop, [this] { check_drained(); }),
      m_refuse_timer(loop, [this] { m_calls.refuse_callers(); }),
      m_exit_timer(loop, [this] { m_loop.stop(); }), m_overload_timer(loop, [this] { check_overload(); })
{
}

result<void> node::start()
{
    m_calls.set_budget(m_budget);
    m_peers.set_budget(m_budget);
    m_target.set_budget(m_budget);
    for (const result<void>& outcome :
         {m_calls.listen(), m_peers.listen(m_settings, m_settings.m_name.m_value.size()),
          m_operators.listen(), m_control.listen()}) {
        if (outcome.has_error()) {
            return outcome.error();
        }
    }
    m_target.start(m_settings);
    m_announcements.start();
    m_overload_timer.set(overload_interval);
    raise("listening");
    return success();
}

void node::on_call_output(call_output&& output)
{
    std::visit(overloaded{
                   [&](peer_send& outgoing) { m_peers.send(outgoing.m_peer, std::move(outgoing.m_message)); },
                   [&](runner_run& request) { m_target.run(std::move(request)); },
                   [&](runner_abort& request) { m_target.abort(request.m_attempt); },
                   [&](runner_probe&) { m_target.probe(); },
                   [&](runner_spread& update) {
                       log_suspicions(update.m_changes);
                       broadcast_quarantine(update.m_payload);
                   },
                   [&](runner_crash& crash) {
                       log_event(event::target_crashed, {{"running", std::to_string(crash.m_running)}});
                       m_metrics.count("waxwing_target_crashes_total", {});
                   },
               },
               output);
}

void node::on_target_output(target_output&& output)
{
    std::visit(overloaded{
                   [&](target_changed& changed) { on_target_changed(changed); },
                   [&](target_departed& departed) { m_announcements.record(departed.m_departure); },
                   [&](calls_gate& gate) {
                       const bool stopping = m_state_machine.state() == "draining" || m_state_machine.ended();
                       if (!gate.m_open || !stopping) {
                           m_calls.post(gate);
                       }
                   },
                   [&](auto& message) { m_calls.post(std::move(message)); },
               },
               output);
}

void node::on_target_changed(const target_changed& changed)
{
    log_event(event::target_state_changed, {{"from", std::string(to_string(m_own_target.m_state))},
                                            {"to", std::string(to_string(changed.m_state))}});
    m_own_target = changed;
    m_calls.post(calls_set_target{changed.m_service, changed.m_slots, changed.m_instance});
    m_control.set_target(changed);
    update_routes_to(m_settings.m_name, changed.m_service);
}

void node::on_control_output(control_output&& output)
{
    std::visit(overloaded{
                   [&](peer_changed& changed) { on_peer_changed(changed.m_record); },
                   [&](revision_in_force& configuration) { on_revision(configuration); },
                   [&](peer_send& outgoing) { m_peers.send(outgoing.m_peer, std::move(outgoing.m_message)); },
                   [&](table_restored&) {
                       m_announcements.on_table_restored();
                       m_departure_keeper.on_table_restored();
                   },
                   [&](calls_confirm& confirmed) { m_calls.post(confirmed); },
                   [&](fleet_discovered&) { m_calls.post(quota_fleet_discovered{}); },
               },
               output);
}

void node::on_peer_changed(const member_record& record)
{
    log_event(event::member_changed, {{"node", record.m_node.m_value},
                                      {"state", std::string(to_string(record.m_state))},
                                      {"target", std::string(to_string(record.m_target))}});
    if (record.m_state == member_state::dead || record.m_state == member_state::left) {
        m_peers.remove(record.m_node);
    }
    else {
        m_peers.put(record.m_node, record.m_link);
        const bool is_new =
            std::exchange(m_incarnations[record.m_node], record.m_incarnation) != record.m_incarnation;
        if (is_new) {
            send_quarantine_snapshot(record);
            m_announcements.on_new_process(record.m_node);
            m_departure_keeper.on_new_process(record.m_node, memory_for(record.m_node));
        }
    }
    m_calls.post(quota_member_changed{record.m_node, to_presence(record.m_state)});
    update_routes_to(record.m_node, record.m_service);
}

/** Updates the routes of the service that @p target_node serves now, and of all others that contain it. */
void node::update_routes_to(const node_id& target_node, const service_name& current_service)
{
    std::vector<service_name> services{current_service};
    for (const auto& [service, route_nodes] : m_routes) {
        if (service != current_service &&
            std::find(route_nodes.begin(), route_nodes.end(), target_node) != route_nodes.end()) {
            services.push_back(service);
        }
    }
    for (const service_name& service : services) {
        update_routes(service);
    }
}

/** Sends the quarantine records to a new incarnation of a member if this node is among its nearest peers. */
void node::send_quarantine_snapshot(const member_record& record)
{
    std::vector<node_id> others{m_settings.m_name};
    for (const member_record& other : m_control.members().members()) {
        if (other.m_state == member_state::alive && other.m_node != record.m_node) {
            others.push_back(other.m_node);
        }
    }
    const std::string payload = m_calls.runner_state().quarantine_snapshot(event_loop::now());
    if (!payload.empty() &&
        is_among_nearest(m_settings.m_name, record.m_node, others, quarantine_sender_count)) {
        m_peers.send(record.m_node, control_message{control_topic::quarantine, payload});
    }
}

/** Updates the entry with the subset of targets that this node uses for @p service. */
void node::update_routes(const service_name& service)
{
    if (service.empty()) {
        return;
    }
    std::vector<route_target> candidates;
    for (const member_record& record : m_control.members().members()) {
        if (record.m_service == service && accepts_work(record)) {
            candidates.push_back(to_route_target(record));
        }
    }
    if (m_own_target.m_service == service && m_own_target.m_state == target_state::ready) {
        candidates.push_back({m_settings.m_name, service, m_settings.m_data_centre, m_own_target.m_slots});
    }
    std::vector<node_id>& route_nodes = m_routes[service];
    const std::vector<node_id> old_nodes = std::exchange(route_nodes, {});
    for (const route_target& target :
         choose_subset(m_settings.m_name, m_settings.m_data_centre, candidates)) {
        route_nodes.push_back(target.m_node);
        m_calls.post(calls_put_target{target});
    }
    for (const node_id& old_node : old_nodes) {
        if (std::find(route_nodes.begin(), route_nodes.end(), old_node) == route_nodes.end()) {
            m_calls.post(calls_remove_target{old_node});
        }
    }
}

void node::on_revision(const revision_in_force& configuration)
{
    m_calls.post(calls_configure{configuration.m_set, configuration.m_info.m_revision});
    const auto service = configuration.m_set->m_services.find(m_target.target().m_service);
    if (service != configuration.m_set->m_services.end()) {
        m_target.set_paths(service->second.m_health_path, service->second.m_load_path);
        m_target.set_connections(service->second.m_connections);
    }
    raise("configured");
}

void node::on_link_event(link_event&& event)
{
    if (const auto* const received = std::get_if<link_received>(&event)) {
        const auto* const message = std::get_if<control_message>(&received->m_message);
        if (message != nullptr) {
            on_control_message(received->m_peer, *message);
            return;
        }
    }
    if (const auto* const up = std::get_if<link_up>(&event)) {
        log_event(event::link_peer_up, {{"peer", up->m_peer.m_value}});
    }
    if (const auto* const down = std::get_if<link_down>(&event)) {
        log_event(event::link_peer_down, {{"peer", down->m_peer.m_value}});
    }
    m_calls.post(std::move(event));
}

void node::on_control_message(const node_id& peer, const control_message& message)
{
    if (message.m_topic == control_topic::configuration) {
        m_control.on_configuration(peer, message.m_payload);
        return;
    }
    if (message.m_topic == control_topic::confirmation) {
        m_control.on_confirmation(peer, message.m_payload);
        return;
    }
    if (message.m_topic == control_topic::quarantine) {
        const auto records = decode_quarantine(message.m_payload);
        if (records.has_value()) {
            m_calls.post(quarantine_received{records.value()});
        }
    }
    if (message.m_topic == control_topic::quota) {
        m_calls.post(quota_received{peer, message.m_payload});
    }
    if (message.m_topic == control_topic::departure) {
        on_departure_message(peer, message.m_payload);
    }
}

void node::on_departure_message(const node_id& peer, const std::string& payload)
{
    const result<departure_message> message = decode_departure_message(payload);
    if (message.has_error()) {
        return;
    }
    std::visit(overloaded{
                   [&](const departure_offer& offer) { m_departure_keeper.on_offer(peer, offer); },
                   [&](const departure_receipt& receipt) { m_announcements.on_receipt(peer, receipt); },
                   [&](const departure_reminder& reminder) { m_announcements.on_reminder(reminder); },
               },
               message.value());
}

void node::send_departure(const node_id& peer, const departure_message& message)
{
    m_peers.send(peer, control_message{control_topic::departure, encode_departure_message(message)});
}

/** Returns the nodes that hold the departures of the own target while the table does not respond. */
std::vector<node_id> node::departure_keepers(std::size_t count) const
{
    std::vector<node_id> others;
    for (const member_record& record : m_control.members().members()) {
        if (record.m_state == member_state::alive) {
            others.push_back(record.m_node);
        }
    }
    return nearest_nodes(m_settings.m_name, std::move(others), count);
}

/** Returns how far the memory of this node reaches if it has to hold the departures of @p peer; none if not.
 * Members that are dead count as well, as they may have held them instead. */
std::optional<keeper_memory> node::memory_for(const node_id& peer) const
{
    std::vector<node_id> others{m_settings.m_name};
    for (const member_record& record : m_control.members().members()) {
        if (record.m_state != member_state::left && record.m_node != peer) {
            others.push_back(record.m_node);
        }
    }
    if (!is_among_nearest(m_settings.m_name, peer, others, announcement_task::keeper_count)) {
        return std::nullopt;
    }
    const std::optional<store_era> era = m_control.store().current_era();
    const instant known_since = era ? std::max(era->m_known_since, m_started_at) : m_started_at;
    return keeper_memory{event_loop::now() - known_since, era ? std::optional(era->m_number) : std::nullopt};
}

/** Sends quarantine records to every live member. */
void node::broadcast_quarantine(const std::string& payload)
{
    for (const member_record& record : m_control.members().members()) {
        if (record.m_state == member_state::alive) {
            m_peers.send(record.m_node, control_message{control_topic::quarantine, payload});
        }
    }
}

settings_change node::apply(const node_settings& new_settings)
{
    const settings_change change = apply_settings(new_settings, m_settings);
    if (change.m_applied) {
        m_calls.apply_caller_limits();
    }
    return change;
}

readiness node::ready() const
{
    if (m_state_machine.state() != "serving") {
        const bool starting = m_state_machine.state() == "starting" || m_state_machine.state() == "joining";
        return {false, starting ? "no configuration is in force" : "the node is stopping"};
    }
    if (!m_control.has_joined()) {
        return {false, "the fleet is not known yet"};
    }
    return {true, "callers are served"};
}

} // namespace waxwing
