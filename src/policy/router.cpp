/** @file router.cpp The choice of a target. */
#include "policy/router_base.h"

#include "policy/number_func.h"

#include <unordered_map>

namespace waxwing {

namespace {

constexpr double slow_start_least = 0.1;    ///< Share of its size that a new target counts with at first.
constexpr unsigned draws_most = 4;          ///< Draws for one candidate before all targets are looked at.
constexpr double eject_growth_most = 10.0;  ///< The longest ejection, in first ejections.
constexpr std::uint32_t slots_most = 65536; ///< Larger sizes count as this.
constexpr double typical_weight = 0.05;     ///< Weight of one report in the typical load of a service.

/** What is known of one target. */
struct target_entry {
    node_id m_node;                      ///< The node beside it.
    std::uint32_t m_slots = 1;           ///< Its size.
    bool m_own = true;                   ///< Whether it is in the own data centre.
    bool m_listed = false;               ///< Whether it may take work; false where only attempts are left.
    std::uint32_t m_in_flight = 0;       ///< Attempts sent from here and not ended.
    double m_others = 0.0;               ///< Work that others gave it, by the last report.
    std::uint32_t m_limit = 1;           ///< The limit by the last report.
    instant m_reported = instant::min(); ///< When the last report came.
    instant m_started{};                 ///< When the slow start began.
    std::uint32_t m_failures = 0;        ///< Consecutive failures.
    std::uint32_t m_ejections = 0;       ///< Ejections without a success since.
    instant m_ejected_until{};           ///< Takes no work until then, where m_ejected.
    bool m_ejected = false;              ///< Whether it is ejected.
};

/** The targets of one service that lie on the same side: in the own data centre, or elsewhere. */
struct target_group {
    std::vector<target_entry*> m_targets; ///< Those that may take work.
    std::vector<std::uint64_t> m_sums;    ///< Running sums of their slots; draws are by size.
};

/** The targets of one service. */
struct service_entry {
    target_group m_own;        ///< In the own data centre.
    target_group m_foreign;    ///< In other data centres.
    double m_typical = 0.0;    ///< Mean load that others give, as a share of the limit.
    std::size_t m_ejected = 0; ///< How many are ejected now.

    /** Counts the targets. */
    std::size_t size() const { return m_own.m_targets.size() + m_foreign.m_targets.size(); }
};

/** Takes @p target into @p group. */
void insert_into(target_group& group, target_entry* target)
{
    const std::uint64_t before = group.m_sums.empty() ? 0 : group.m_sums.back();
    group.m_targets.push_back(target);
    group.m_sums.push_back(before + target->m_slots);
}

/** Takes @p target out of @p group, where it is there. */
void erase_from(target_group& group, const target_entry* target)
{
    std::vector<target_entry*> kept;
    kept.swap(group.m_targets);
    group.m_sums.clear();
    for (target_entry* other : kept) {
        if (other != target) {
            insert_into(group, other);
        }
    }
}

} // namespace

/** All services and targets. */
struct router::state {
    /** A target with the service that it belongs to. */
    struct record {
        target_entry m_target;              ///< What is known of it.
        service_entry* m_service = nullptr; ///< Where it is listed.
    };

    router_settings m_settings;                                 ///< The settings in force.
    data_centre_name m_own;                                     ///< The own data centre.
    std::unordered_map<service_name, service_entry> m_services; ///< Nodes of the map never move.
    std::unordered_map<node_id, record> m_records;              ///< By node; nodes of the map never move.

    /** Takes @p entry off its service's list. */
    void unlist(record& entry);

    /** Brings @p target back where its ejection is over. */
    void end_ejection(instant now, record& entry);

    /** Ejects the target of @p entry, where the bounds allow. */
    void eject(instant now, record& entry);

    /** Takes in @p report. */
    void take_report(instant now, record& entry, const load_report& report);

    /** Computes the load of @p target with one more attempt, as a share of what it can run. */
    double load_of(instant now, const service_entry& service, const target_entry& target) const;

    /** Chooses the less loaded of two targets drawn from @p group; null where none may be chosen. */
    const target_entry* choose(instant now, const service_entry& service, const target_group& group,
                               std::span<const node_id> excluded, random_source& random) const;
};

namespace {

/** Tells whether @p target may be chosen. */
bool eligible(instant now, const target_entry& target, std::span<const node_id> excluded)
{
    const bool ejected = target.m_ejected && now < target.m_ejected_until;
    return !ejected && std::find(excluded.begin(), excluded.end(), target.m_node) == excluded.end();
}

/** Draws a target of @p group by size that may be chosen and is not @p other; null where none is found. */
const target_entry* draw(instant now, const target_group& group, const target_entry* other,
                         std::span<const node_id> excluded, random_source& random)
{
    for (unsigned count = 0; count < draws_most; ++count) {
        const auto point =
            static_cast<std::uint64_t>(random_unit(random) * static_cast<double>(group.m_sums.back()));
        const auto sum = std::upper_bound(group.m_sums.begin(), group.m_sums.end() - 1, point);
        const target_entry* target = group.m_targets[static_cast<std::size_t>(sum - group.m_sums.begin())];
        if (target != other && eligible(now, *target, excluded)) {
            return target;
        }
    }
    const std::size_t size = group.m_targets.size();
    const std::size_t first = random_below(random, static_cast<std::uint32_t>(size));
    for (std::size_t step = 0; step < size; ++step) {
        const target_entry* target = group.m_targets[(first + step) % size];
        if (target != other && eligible(now, *target, excluded)) {
            return target;
        }
    }
    return nullptr;
}

/** Finds a target of @p group that is ejected but not excluded; null where there is none. */
const target_entry* last_resort(const target_group& group, std::span<const node_id> excluded,
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

void router::state::unlist(record& entry)
{
    if (!entry.m_target.m_listed) {
        return;
    }
    entry.m_target.m_listed = false;
    erase_from(entry.m_target.m_own ? entry.m_service->m_own : entry.m_service->m_foreign, &entry.m_target);
    if (entry.m_target.m_ejected) {
        entry.m_target.m_ejected = false;
        --entry.m_service->m_ejected;
    }
}

void router::state::end_ejection(instant now, record& entry)
{
    target_entry& target = entry.m_target;
    if (target.m_ejected && now >= target.m_ejected_until) {
        target.m_ejected = false;
        --entry.m_service->m_ejected;
        target.m_started = target.m_ejected_until;
    }
}

void router::state::eject(instant now, record& entry)
{
    const std::size_t size = entry.m_service->size();
    const double share = clamp_number(m_settings.m_max_ejection_ratio, 0.0, 1.0);
    const auto most = std::min(static_cast<std::size_t>(share * static_cast<double>(size)), size - 1);
    if (entry.m_target.m_ejected || entry.m_service->m_ejected >= most) {
        return;
    }
    const double factor = std::min(
        std::ldexp(1.0, static_cast<int>(std::min(entry.m_target.m_ejections, 10U))), eject_growth_most);
    entry.m_target.m_ejected = true;
    entry.m_target.m_ejected_until =
        add_saturating(now, from_seconds(to_seconds(m_settings.m_ejection_duration) * factor));
    entry.m_target.m_ejections = std::min(entry.m_target.m_ejections + 1, 10U);
    entry.m_target.m_failures = 0;
    ++entry.m_service->m_ejected;
}

void router::state::take_report(instant now, record& entry, const load_report& report)
{
    target_entry& target = entry.m_target;
    const double all = static_cast<double>(report.m_in_progress) + static_cast<double>(report.m_queued);
    target.m_others = std::max(0.0, all - static_cast<double>(target.m_in_flight));
    target.m_limit = std::clamp(report.m_limit, 1U, target.m_slots);
    target.m_reported = now;
    const double load = std::min(target.m_others / target.m_limit, 1.0);
    entry.m_service->m_typical += (load - entry.m_service->m_typical) * typical_weight;
}

double router::state::load_of(instant now, const service_entry& service, const target_entry& target) const
{
    const duration age = elapsed(target.m_reported, now);
    const double memory = to_seconds(m_settings.m_max_report_age);
    const double trust = age < m_settings.m_max_report_age ? 1.0 - to_seconds(age) / memory : 0.0;
    const double limit = trust * target.m_limit + (1.0 - trust) * target.m_slots;
    const double others = trust * target.m_others + (1.0 - trust) * service.m_typical * target.m_slots;
    const double since = to_seconds(elapsed(target.m_started, now));
    const double ramp = to_seconds(m_settings.m_slow_start_duration);
    const double started = ramp > since ? std::max(since / ramp, slow_start_least) : 1.0;
    return (target.m_in_flight + others + 1.0) / (limit * started);
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
    m_state->m_own = std::move(own_data_centre);
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
    state::record& entry = m_state->m_records[target.m_node];
    const bool known = entry.m_target.m_listed;
    const bool own = target.m_data_centre == m_state->m_own;
    const std::uint32_t slots = std::clamp(target.m_slots, 1U, slots_most);
    service_entry& service = m_state->m_services[target.m_service];
    if (known && entry.m_service == &service && entry.m_target.m_own == own &&
        entry.m_target.m_slots == slots) {
        return;
    }
    const bool ejected = known && entry.m_target.m_ejected && entry.m_service == &service;
    m_state->unlist(entry);
    if (!known) {
        const std::uint32_t in_flight = entry.m_target.m_in_flight;
        entry.m_target = target_entry{};
        entry.m_target.m_in_flight = in_flight;
        entry.m_target.m_started = now;
    }
    entry.m_target.m_node = target.m_node;
    entry.m_target.m_slots = slots;
    entry.m_target.m_limit = known ? std::min(entry.m_target.m_limit, slots) : slots;
    entry.m_target.m_own = own;
    entry.m_target.m_listed = true;
    entry.m_target.m_ejected = ejected;
    entry.m_service = &service;
    service.m_ejected += ejected ? 1 : 0;
    insert_into(own ? service.m_own : service.m_foreign, &entry.m_target);
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
    const target_entry* own = m_state->choose(now, entry, entry.m_own, excluded, random);
    const target_entry* foreign = m_state->choose(now, entry, entry.m_foreign, excluded, random);
    const double penalty = clamp_number(m_state->m_settings.m_remote_penalty, 1.0, 1.0e6);
    const target_entry* best = own;
    if (own == nullptr || (foreign != nullptr && m_state->load_of(now, entry, *foreign) * penalty <
                                                     m_state->load_of(now, entry, *own))) {
        best = foreign;
    }
    if (best == nullptr) {
        best = last_resort(entry.m_own, excluded, random);
    }
    if (best == nullptr) {
        best = last_resort(entry.m_foreign, excluded, random);
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
    state::record& entry = position->second;
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
        m_state->take_report(now, entry, *report);
    }
    else if (end == route_result::refused) {
        target.m_others = target.m_limit;
        target.m_reported = now;
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
    std::vector<node_id> found;
    for (const auto& [node, entry] : m_state->m_records) {
        if (entry.m_target.m_listed) {
            found.push_back(node);
        }
    }
    return found;
}

} // namespace waxwing
