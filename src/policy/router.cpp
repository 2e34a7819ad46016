/** @file router.cpp Load balancing over the targets of a service. */
#include "policy/router_base.h"

#include "policy/number_func.h"

#include <unordered_map>

namespace waxwing {

namespace {

constexpr double min_slow_start_ratio = 0.1; ///< Ratio of its size with which a new target starts.
constexpr unsigned max_draws = 4; ///< Random draws for one candidate before all targets are searched.
constexpr double max_ejection_factor = 10.0; ///< Longest ejection, as a multiple of the first.
constexpr std::uint32_t max_slots = 65536;   ///< Larger sizes count as this.
constexpr double mean_load_weight = 0.05;    ///< Weight of one report in the mean load of a service.

/** State of one target. */
struct target_entry {
    node_id m_node;            ///< The node beside the target.
    std::uint32_t m_slots = 1; ///< Its size, in concurrent calls.
    bool m_local = true;       ///< Whether it is in the own data centre.
    /** Whether it may receive attempts; false if it was removed and still has attempts in flight. */
    bool m_listed = false;
    std::uint32_t m_in_flight = 0; ///< Attempts sent by this node and not ended.
    double m_other_load = 0.0;     ///< Calls in progress or queued there for other nodes, by the last report.
    std::uint32_t m_limit = 1;     ///< Its concurrency limit by the last report.
    instant m_reported_at = instant::min(); ///< Time of the last report.
    instant m_slow_start_since{};           ///< Start of the slow start.
    std::uint32_t m_failures = 0;           ///< Consecutive failures.
    std::uint32_t m_ejections = 0;          ///< Ejections since the last success.
    instant m_ejected_until{};              ///< End of the ejection, if m_ejected.
    bool m_ejected = false;
};

/** The targets of one service that are in the own data centre, or those that are in others. */
struct target_group {
    std::vector<target_entry*> m_targets; ///< Targets that may receive attempts.
    /** Cumulative sums of their slots, for draws weighted by size. */
    std::vector<std::uint64_t> m_cumulative_slots;
};

/** The targets of one service. */
struct service_entry {
    target_group m_local;      ///< Targets in the own data centre.
    target_group m_remote;     ///< Targets in other data centres.
    double m_mean_load = 0.0;  ///< Mean load caused by other nodes, as a ratio of the limit.
    std::size_t m_ejected = 0; ///< Number of ejected targets.

    /** Returns the number of targets. */
    std::size_t size() const { return m_local.m_targets.size() + m_remote.m_targets.size(); }
};

/** Adds @p target to @p group. */
void insert_into(target_group& group, target_entry* target)
{
    const std::uint64_t before = group.m_cumulative_slots.empty() ? 0 : group.m_cumulative_slots.back();
    group.m_targets.push_back(target);
    group.m_cumulative_slots.push_back(before + target->m_slots);
}

/** Removes @p target from @p group, if it is there. */
void erase_from(target_group& group, const target_entry* target)
{
    std::vector<target_entry*> targets;
    targets.swap(group.m_targets);
    group.m_cumulative_slots.clear();
    for (target_entry* other : targets) {
        if (other != target) {
            insert_into(group, other);
        }
    }
}

} // namespace

/** All services and targets. */
struct router::state {
    /** A target and the service that it belongs to. */
    struct target_record {
        target_entry m_target;              ///< State of the target.
        service_entry* m_service = nullptr; ///< The service that lists the target.
    };

    router_settings m_settings;           ///< The current settings.
    data_centre_name m_local_data_centre; ///< The own data centre.
    /** Targets by service. The map's nodes never move, so that pointers to them stay valid. */
    std::unordered_map<service_name, service_entry> m_services;
    /** By node beside the target. The map's nodes never move, so that pointers to them stay valid. */
    std::unordered_map<node_id, target_record> m_records;

    /** Removes @p entry from its service. */
    void unlist(target_record& entry);

    /** Ends the ejection of @p entry if its time is over, and begins a slow start. */
    void end_ejection(instant now, target_record& entry);

    /** Ejects the target of @p entry, unless too many targets of its service are ejected. */
    void eject(instant now, target_record& entry);

    /** Updates @p entry from a load report. */
    void apply_report(instant now, target_record& entry, const load_report& report);

    /** Returns the load of @p target with one more attempt, as a ratio of its capacity. */
    double load_of(instant now, const service_entry& service, const target_entry& target) const;

    /** Chooses the less loaded of two targets drawn from @p group; null if none is eligible. */
    const target_entry* choose(instant now, const service_entry& service, const target_group& group,
                               std::span<const node_id> excluded, random_source& random) const;
};

namespace {

/** Returns whether @p target is neither ejected nor excluded. */
bool is_eligible(instant now, const target_entry& target, std::span<const node_id> excluded)
{
    const bool ejected = target.m_ejected && now < target.m_ejected_until;
    return !ejected && std::find(excluded.begin(), excluded.end(), target.m_node) == excluded.end();
}

/** Draws an eligible target of @p group other than @p other, weighted by size; null if there is none. */
const target_entry* draw(instant now, const target_group& group, const target_entry* other,
                         std::span<const node_id> excluded, random_source& random)
{
    for (unsigned count = 0; count < max_draws; ++count) {
        const auto point = static_cast<std::uint64_t>(random_unit(random) *
                                                      static_cast<double>(group.m_cumulative_slots.back()));
        const auto sum =
            std::upper_bound(group.m_cumulative_slots.begin(), group.m_cumulative_slots.end() - 1, point);
        const target_entry* target =
            group.m_targets[static_cast<std::size_t>(sum - group.m_cumulative_slots.begin())];
        if (target != other && is_eligible(now, *target, excluded)) {
            return target;
        }
    }
    const std::size_t size = group.m_targets.size();
    const std::size_t first = random_below(random, static_cast<std::uint32_t>(size));
    for (std::size_t step = 0; step < size; ++step) {
        const target_entry* target = group.m_targets[(first + step) % size];
        if (target != other && is_eligible(now, *target, excluded)) {
            return target;
        }
    }
    return nullptr;
}

/** Picks a target of @p group that is not excluded, even if it is ejected; null if there is none. */
const target_entry* pick_fallback(const target_group& group, std::span<const node_id> excluded,
                                  random_source& random)
{
    const std::size_t size = group.m_targets.size();
    const std::size_t first = size == 0 ? 0 : random_below(random, static_cast<std::uint32_t>(size));
    for (std::size_t step = 0; step < size; ++step) {
        const target_entry* target = group.m_targets[(first + step) % size];
        if (std::find(excluded.begin(), excluded.end(), target->m_node) == excluded.end()) {
            return target;
        }
    }
    return nullptr;
}

} // namespace

void router::state::unlist(target_record& entry)
{
    if (!entry.m_target.m_listed) {
        return;
    }
    entry.m_target.m_listed = false;
    erase_from(entry.m_target.m_local ? entry.m_service->m_local : entry.m_service->m_remote,
               &entry.m_target);
    if (entry.m_target.m_ejected) {
        entry.m_target.m_ejected = false;
        --entry.m_service->m_ejected;
    }
}

void router::state::end_ejection(instant now, target_record& entry)
{
    target_entry& target = entry.m_target;
    if (target.m_ejected && now >= target.m_ejected_until) {
        target.m_ejected = false;
        --entry.m_service->m_ejected;
        target.m_slow_start_since = target.m_ejected_until;
    }
}

void router::state::eject(instant now, target_record& entry)
{
    const std::size_t size = entry.m_service->size();
    const double ratio = clamp_number(m_settings.m_max_ejection_ratio, 0.0, 1.0);
    const auto max_ejected = std::min(static_cast<std::size_t>(ratio * static_cast<double>(size)), size - 1);
    if (entry.m_target.m_ejected || entry.m_service->m_ejected >= max_ejected) {
        return;
    }
    const double factor = std::min(
        std::ldexp(1.0, static_cast<int>(std::min(entry.m_target.m_ejections, 10U))), max_ejection_factor);
    entry.m_target.m_ejected = true;
    entry.m_target.m_ejected_until =
        add_saturating(now, from_seconds(to_seconds(m_settings.m_ejection_duration) * factor));
    entry.m_target.m_ejections = std::min(entry.m_target.m_ejections + 1, 10U);
    entry.m_target.m_failures = 0;
    ++entry.m_service->m_ejected;
}

void router::state::apply_report(instant now, target_record& entry, const load_report& report)
{
    target_entry& target = entry.m_target;
    const double all = static_cast<double>(report.m_in_progress) + static_cast<double>(report.m_queued);
    target.m_other_load = std::max(0.0, all - static_cast<double>(target.m_in_flight));
    target.m_limit = std::clamp(report.m_limit, 1U, target.m_slots);
    target.m_reported_at = now;
    const double load = std::min(target.m_other_load / target.m_limit, 1.0);
    entry.m_service->m_mean_load += (load - entry.m_service->m_mean_load) * mean_load_weight;
}

double router::state::load_of(instant now, const service_entry& service, const target_entry& target) const
{
    const duration age = elapsed(target.m_reported_at, now);
    const double max_age_seconds = to_seconds(m_settings.m_max_report_age);
    const double report_weight =
        age < m_settings.m_max_report_age ? 1.0 - to_seconds(age) / max_age_seconds : 0.0;
    const double limit = report_weight * target.m_limit + (1.0 - report_weight) * target.m_slots;
    const double other_load =
        report_weight * target.m_other_load + (1.0 - report_weight) * service.m_mean_load * target.m_slots;
    const double since_start_seconds = to_seconds(elapsed(target.m_slow_start_since, now));
    const double slow_start_seconds = to_seconds(m_settings.m_slow_start_duration);
    const double slow_start_ratio =
        slow_start_seconds > since_start_seconds
            ? std::max(since_start_seconds / slow_start_seconds, min_slow_start_ratio)
            : 1.0;
    return (target.m_in_flight + other_load + 1.0) / (limit * slow_start_ratio);
}

const target_entry* router::state::choose(instant now, const service_entry& service,
                                          const target_group& group, std::span<const node_id> excluded,
                                          random_source& random) const
{
    if (group.m_targets.empty()) {
        return nullptr;
    }
    const target_entry* first = draw(now, group, nullptr, excluded, random);
    if (first == nullptr || group.m_targets.size() == 1) {
        return first;
    }
    const target_entry* second = draw(now, group, first, excluded, random);
    if (second == nullptr) {
        return first;
    }
    return load_of(now, service, *second) < load_of(now, service, *first) ? second : first;
}

router::router(const router_settings& settings, data_centre_name own_data_centre)
    : m_state(std::make_unique<state>())
{
    m_state->m_settings = settings;
    m_state->m_local_data_centre = std::move(own_data_centre);
}

void router::configure(const router_settings& settings)
{
    m_state->m_settings = settings;
}

router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::put(instant now, const route_target& target)
{
    state::target_record& entry = m_state->m_records[target.m_node];
    const bool known = entry.m_target.m_listed;
    const bool local = target.m_data_centre == m_state->m_local_data_centre;
    const std::uint32_t slots = std::clamp(target.m_slots, 1U, max_slots);
    service_entry& service = m_state->m_services[target.m_service];
    if (known && entry.m_service == &service && entry.m_target.m_local == local &&
        entry.m_target.m_slots == slots) {
        return;
    }
    const bool ejected = known && entry.m_target.m_ejected && entry.m_service == &service;
    m_state->unlist(entry);
    if (!known) {
        const std::uint32_t in_flight = entry.m_target.m_in_flight;
        entry.m_target = target_entry{};
        entry.m_target.m_in_flight = in_flight;
        entry.m_target.m_slow_start_since = now;
    }
    entry.m_target.m_node = target.m_node;
    entry.m_target.m_slots = slots;
    entry.m_target.m_limit = known ? std::min(entry.m_target.m_limit, slots) : slots;
    entry.m_target.m_local = local;
    entry.m_target.m_listed = true;
    entry.m_target.m_ejected = ejected;
    entry.m_service = &service;
    service.m_ejected += ejected ? 1 : 0;
    insert_into(local ? service.m_local : service.m_remote, &entry.m_target);
}

void router::remove(const node_id& node)
{
    const auto position = m_state->m_records.find(node);
    if (position == m_state->m_records.end()) {
        return;
    }
    m_state->unlist(position->second);
    if (position->second.m_target.m_in_flight == 0) {
        m_state->m_records.erase(position);
    }
}

std::optional<node_id> router::pick(instant now, const service_name& service,
                                    std::span<const node_id> excluded, random_source& random)
{
    const auto position = m_state->m_services.find(service);
    if (position == m_state->m_services.end()) {
        return std::nullopt;
    }
    const service_entry& entry = position->second;
    const target_entry* local = m_state->choose(now, entry, entry.m_local, excluded, random);
    const target_entry* remote = m_state->choose(now, entry, entry.m_remote, excluded, random);
    const double penalty = clamp_number(m_state->m_settings.m_remote_penalty, 1.0, 1.0e6);
    const target_entry* best = local;
    if (local == nullptr || (remote != nullptr && m_state->load_of(now, entry, *remote) * penalty <
                                                      m_state->load_of(now, entry, *local))) {
        best = remote;
    }
    if (best == nullptr) {
        best = pick_fallback(entry.m_local, excluded, random);
    }
    if (best == nullptr) {
        best = pick_fallback(entry.m_remote, excluded, random);
    }
    return best == nullptr ? std::nullopt : std::optional(best->m_node);
}

void router::on_sent(const node_id& node)
{
    const auto position = m_state->m_records.find(node);
    if (position != m_state->m_records.end()) {
        ++position->second.m_target.m_in_flight;
    }
}

void router::on_end(instant now, const node_id& node, route_result end, const load_report* report)
{
    const auto position = m_state->m_records.find(node);
    if (position == m_state->m_records.end()) {
        return;
    }
    state::target_record& entry = position->second;
    target_entry& target = entry.m_target;
    target.m_in_flight -= target.m_in_flight == 0 ? 0 : 1;
    if (!target.m_listed) {
        if (target.m_in_flight == 0) {
            m_state->m_records.erase(position);
        }
        return;
    }
    m_state->end_ejection(now, entry);
    if (report != nullptr) {
        m_state->apply_report(now, entry, *report);
    }
    else if (end == route_result::refused) {
        target.m_other_load = target.m_limit;
        target.m_reported_at = now;
    }
    if (end != route_result::failed) {
        target.m_failures = 0;
        target.m_ejections = end == route_result::succeeded ? 0 : target.m_ejections;
    }
    else if (++target.m_failures >= std::max(m_state->m_settings.m_ejection_failures, 1U)) {
        m_state->eject(now, entry);
    }
}

bool router::serves(const service_name& service) const
{
    const auto position = m_state->m_services.find(service);
    return position != m_state->m_services.end() && position->second.size() > 0;
}

std::vector<node_id> router::nodes() const
{
    std::vector<node_id> listed_nodes;
    for (const auto& [node, entry] : m_state->m_records) {
        if (entry.m_target.m_listed) {
            listed_nodes.push_back(node);
        }
    }
    return listed_nodes;
}

} // namespace waxwing
