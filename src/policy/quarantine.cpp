/** @file quarantine.cpp Quarantine of requests that crash targets. */
#include "policy/quarantine_base.h"

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <tuple>
#include <unordered_map>

namespace waxwing {

namespace {

constexpr unsigned release_shift = 32; ///< Bits of a version below the number of releases.
constexpr std::uint64_t change_mask = (std::uint64_t{1} << release_shift) - 1;

/** Returns the number of changes in @p version. */
std::uint64_t changes_of(std::uint64_t version)
{
    return version & change_mask;
}

/** Returns the number of releases in @p version. */
std::uint64_t releases_of(std::uint64_t version)
{
    return version >> release_shift;
}

/** The table entry of one fingerprint. */
struct entry {
    suspicion m_suspicion = suspicion::none; ///< Its quarantine state.
    std::uint64_t m_version = 0;             ///< As in quarantine_record.
    instant m_changed_at{};                  ///< Time of the last change.
};

/** Returns the merge key of a record; the record with the greater key wins a merge. */
auto merge_key(suspicion current, std::uint64_t version)
{
    return std::make_tuple(releases_of(version), current == suspicion::quarantined, changes_of(version),
                           current);
}

constexpr std::size_t max_crashes = 64;    ///< Recent crashes remembered, at most.
constexpr std::size_t max_finishes = 4096; ///< Requests whose recent finish is remembered, at most.

/** A crash of a target. */
struct crash {
    instant m_at;                      ///< When it became known.
    bool m_is_own = false;             ///< Whether it was the target of this node.
    std::set<std::uint64_t> m_running; ///< Requests in progress there.
};

/** Classes of entries, in the order in which they are evicted when the table is full. */
enum class eviction_class { cleared, suspect, released, quarantined };
constexpr std::size_t eviction_classes = 4;

/** Returns the eviction class of an entry in state @p current with @p version. */
eviction_class eviction_class_of(suspicion current, std::uint64_t version)
{
    if (current == suspicion::quarantined) {
        return eviction_class::quarantined;
    }
    if (is_suspected(current)) {
        return eviction_class::suspect;
    }
    return releases_of(version) > 0 ? eviction_class::released : eviction_class::cleared;
}

/** Mixes the bits of @p value, so that every output bit depends on every input bit. */
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xFF51AFD7ED558CCDULL;
    value ^= value >> 33U;
    value *= 0xC4CEB9FE1A85EC53ULL;
    return value ^ (value >> 33U);
}

/** Returns the FNV-1a hash of @p name, which is the same in every process. */
std::uint64_t fnv1a_hash(const std::string& name)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL; // FNV-1a offset basis.
    for (const char letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
    }
    return hash;
}

} // namespace

/** The entries and their eviction order. */
struct quarantine::state {
    using eviction_key = std::tuple<instant, std::uint64_t>; ///< Oldest first.

    quarantine_settings m_settings;
    std::uint64_t m_salt;
    std::uint64_t m_clock = 0; ///< Highest number of changes seen, as a Lamport clock.
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::array<std::set<eviction_key>, eviction_classes> m_eviction_order; ///< Indexed by eviction_class.
    std::deque<crash> m_crashes; ///< Crashes within the coincidence window, oldest first.
    std::unordered_map<std::uint64_t, instant> m_finishes; ///< Last clean finish here, by fingerprint.
    std::set<eviction_key> m_finish_order;                 ///< The same, oldest first.

    duration retention_of(eviction_class kind) const;
    bool expired(instant now, const entry& current) const;
    void erase(std::uint64_t fingerprint);
    void expire(instant now);
    void put(std::uint64_t fingerprint, const entry& value);
    quarantine_record change(instant now, std::uint64_t fingerprint, suspicion next, std::uint64_t releases);
    bool merge_record(instant now, const quarantine_record& record);
    void add_crash(instant now, bool is_own, const std::set<std::uint64_t>& running);
    void add_finish(instant now, std::uint64_t fingerprint);
    void expire_finishes(instant now);
    bool is_coincidence_likely(std::uint64_t fingerprint) const;
    suspicion after_crash(std::uint64_t fingerprint, suspicion current, bool exclusive) const;
};

duration quarantine::state::retention_of(eviction_class kind) const
{
    const bool is_long = kind == eviction_class::quarantined || kind == eviction_class::released;
    return is_long ? m_settings.m_quarantine_retention : m_settings.m_suspect_retention;
}

bool quarantine::state::expired(instant now, const entry& current) const
{
    return now - current.m_changed_at >=
           retention_of(eviction_class_of(current.m_suspicion, current.m_version));
}

void quarantine::state::erase(std::uint64_t fingerprint)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return;
    }
    const entry& current = found->second;
    const eviction_class order = eviction_class_of(current.m_suspicion, current.m_version);
    m_eviction_order[static_cast<std::size_t>(order)].erase({current.m_changed_at, fingerprint});
    m_entries.erase(found);
}

void quarantine::state::expire(instant now)
{
    for (std::size_t index = 0; index < eviction_classes; ++index) {
        const duration retention = retention_of(static_cast<eviction_class>(index));
        std::set<eviction_key>& order = m_eviction_order[index];
        while (!order.empty() && now - std::get<instant>(*order.begin()) >= retention) {
            erase(std::get<std::uint64_t>(*order.begin()));
        }
    }
}

void quarantine::state::put(std::uint64_t fingerprint, const entry& value)
{
    erase(fingerprint);
    m_entries.emplace(fingerprint, value);
    const eviction_class order = eviction_class_of(value.m_suspicion, value.m_version);
    m_eviction_order[static_cast<std::size_t>(order)].insert({value.m_changed_at, fingerprint});
    m_clock = std::max(m_clock, changes_of(value.m_version));
    for (std::size_t index = 0; index < eviction_classes && m_entries.size() > m_settings.m_capacity;
         ++index) {
        if (!m_eviction_order[index].empty()) {
            erase(std::get<std::uint64_t>(*m_eviction_order[index].begin()));
        }
    }
}

quarantine_record quarantine::state::change(instant now, std::uint64_t fingerprint, suspicion next,
                                            std::uint64_t releases)
{
    const std::uint64_t version = (releases << release_shift) | (m_clock + 1);
    put(fingerprint, {next, version, now});
    return {fingerprint, next, version, duration::zero()};
}

bool quarantine::state::merge_record(instant now, const quarantine_record& record)
{
    const entry incoming{record.m_suspicion, record.m_version, now - record.m_age};
    if (expired(now, incoming)) {
        return false;
    }
    const auto found = m_entries.find(record.m_fingerprint);
    if (found == m_entries.end()) {
        put(record.m_fingerprint, incoming);
        return m_entries.count(record.m_fingerprint) != 0;
    }
    const entry current = found->second;
    const auto current_key = merge_key(current.m_suspicion, current.m_version);
    const auto incoming_key = merge_key(incoming.m_suspicion, incoming.m_version);
    if (incoming_key == current_key && incoming.m_changed_at < current.m_changed_at) {
        // The same change: the record with the longer age is closer to its actual time.
        put(record.m_fingerprint, incoming);
        return false;
    }
    if (incoming_key <= current_key) {
        return false;
    }
    put(record.m_fingerprint, incoming);
    return true;
}

/** Remembers a crash; a call for the own target at the time of its last crash adds to that crash. */
void quarantine::state::add_crash(instant now, bool is_own, const std::set<std::uint64_t>& running)
{
    while (!m_crashes.empty() && (now - m_crashes.front().m_at > m_settings.m_coincidence_window ||
                                  m_crashes.size() >= max_crashes)) {
        m_crashes.pop_front();
    }
    const bool is_same =
        is_own && !m_crashes.empty() && m_crashes.back().m_is_own && m_crashes.back().m_at == now;
    if (!is_same) {
        m_crashes.push_back({now, is_own, {}});
    }
    m_crashes.back().m_running.insert(running.begin(), running.end());
}

/** Remembers that @p fingerprint finished without a crash. */
void quarantine::state::add_finish(instant now, std::uint64_t fingerprint)
{
    const auto [found, is_new] = m_finishes.try_emplace(fingerprint, now);
    if (!is_new) {
        m_finish_order.erase({found->second, fingerprint});
        found->second = now;
    }
    m_finish_order.insert({now, fingerprint});
    expire_finishes(now);
}

void quarantine::state::expire_finishes(instant now)
{
    while (!m_finish_order.empty() &&
           (m_finishes.size() > max_finishes ||
            now - std::get<instant>(*m_finish_order.begin()) > m_settings.m_coincidence_window)) {
        m_finishes.erase(std::get<std::uint64_t>(*m_finish_order.begin()));
        m_finish_order.erase(m_finish_order.begin());
    }
}

/** Returns whether @p fingerprint has finished recently, or a target has crashed recently that did not run
 * it. */
bool quarantine::state::is_coincidence_likely(std::uint64_t fingerprint) const
{
    if (m_finishes.contains(fingerprint)) {
        return true;
    }
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [fingerprint](const crash& each) { return !each.m_running.contains(fingerprint); });
}

/** Returns the state of @p fingerprint, which was @p current when a target that ran it crashed. */
suspicion quarantine::state::after_crash(std::uint64_t fingerprint, suspicion current, bool exclusive) const
{
    if (!exclusive || !is_suspected(current)) {
        return current == suspicion::strong_suspect ? current : suspicion::suspect;
    }
    if (current == suspicion::suspect && is_coincidence_likely(fingerprint)) {
        return suspicion::strong_suspect;
    }
    return suspicion::quarantined;
}

quarantine::quarantine(const quarantine_settings& settings, std::uint64_t salt)
    : m_state(std::make_unique<state>())
{
    m_state->m_settings = settings;
    m_state->m_salt = salt;
}

quarantine::~quarantine() = default;
quarantine::quarantine(quarantine&&) noexcept = default;
quarantine& quarantine::operator=(quarantine&&) noexcept = default;

suspicion quarantine::look_up(instant now, std::uint64_t fingerprint) const
{
    const auto found = m_state->m_entries.find(fingerprint);
    if (found == m_state->m_entries.end() || m_state->expired(now, found->second)) {
        return suspicion::none;
    }
    return found->second.m_suspicion;
}

std::vector<quarantine_record> quarantine::on_crash(instant now, const std::vector<std::uint64_t>& running,
                                                    bool exclusive)
{
    m_state->expire(now);
    m_state->expire_finishes(now);
    std::vector<quarantine_record> changed;
    const std::set<std::uint64_t> distinct(running.begin(), running.end());
    m_state->add_crash(now, true, distinct);
    for (const std::uint64_t fingerprint : distinct) {
        const auto found = m_state->m_entries.find(fingerprint);
        const entry current = found == m_state->m_entries.end() ? entry{} : found->second;
        if (current.m_suspicion == suspicion::quarantined) {
            continue;
        }
        const suspicion next = m_state->after_crash(fingerprint, current.m_suspicion, exclusive);
        changed.push_back(m_state->change(now, fingerprint, next, releases_of(current.m_version)));
    }
    return changed;
}

std::vector<quarantine_record> quarantine::on_completed(instant now, std::uint64_t fingerprint)
{
    m_state->expire(now);
    m_state->add_finish(now, fingerprint);
    if (!is_suspected(look_up(now, fingerprint))) {
        return {};
    }
    const std::uint64_t releases = releases_of(m_state->m_entries.at(fingerprint).m_version);
    return {m_state->change(now, fingerprint, suspicion::none, releases)};
}

std::vector<quarantine_record> quarantine::release(instant now, std::uint64_t fingerprint)
{
    m_state->expire(now);
    if (look_up(now, fingerprint) == suspicion::none) {
        return {};
    }
    const std::uint64_t releases = releases_of(m_state->m_entries.at(fingerprint).m_version);
    return {m_state->change(now, fingerprint, suspicion::none, releases + 1)};
}

std::vector<quarantine_record> quarantine::merge(instant now, const std::vector<quarantine_record>& records)
{
    m_state->expire(now);
    std::vector<quarantine_record> changed;
    std::set<std::uint64_t> running;
    for (const quarantine_record& record : records) {
        if (m_state->merge_record(now, record)) {
            changed.push_back(record);
        }
        if (record.m_suspicion != suspicion::none &&
            record.m_age <= m_state->m_settings.m_coincidence_window) {
            running.insert(record.m_fingerprint);
        }
    }
    if (!changed.empty() && !running.empty()) {
        m_state->add_crash(now, false, running);
    }
    return changed;
}

std::vector<quarantine_record> quarantine::records(instant now) const
{
    std::vector<quarantine_record> listed;
    for (const auto& [fingerprint, current] : m_state->m_entries) {
        if (!m_state->expired(now, current)) {
            listed.push_back(
                {fingerprint, current.m_suspicion, current.m_version, now - current.m_changed_at});
        }
    }
    return listed;
}

std::string quarantine::name_of(std::uint64_t fingerprint) const
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::uint64_t hash = mix(mix(fingerprint ^ m_state->m_salt) + m_state->m_salt);
    std::string name;
    for (unsigned shift = 64; shift > 0; shift -= 4) {
        name += digits[(hash >> (shift - 4)) & 0xFU];
    }
    return name;
}

const node_id* suspect_home(std::uint64_t fingerprint, const std::vector<node_id>& candidates)
{
    const node_id* home = nullptr;
    std::uint64_t highest = 0;
    for (const node_id& candidate : candidates) {
        const std::uint64_t weight = mix(fnv1a_hash(candidate.m_value) ^ mix(fingerprint));
        if (home == nullptr || weight > highest || (weight == highest && candidate < *home)) {
            home = &candidate;
            highest = weight;
        }
    }
    return home;
}

} // namespace waxwing
