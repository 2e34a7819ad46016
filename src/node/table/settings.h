/** @file settings.h The table of settings: section, key, how to read it, and what it means. */
#ifndef WAXWING_NODE_TABLE_SETTINGS_H
#define WAXWING_NODE_TABLE_SETTINGS_H

#include "node/settings_func.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace waxwing {

/** Where a setting's value goes; the type says how it is read. */
using setting_field =
    std::variant<std::string node_settings::*, node_id node_settings::*, region_name node_settings::*,
                 data_centre_name node_settings::*, service_name node_settings::*, endpoint node_settings::*,
                 std::optional<endpoint> node_settings::*, std::uint32_t node_settings::*,
                 std::size_t node_settings::*, duration node_settings::*, control_mode node_settings::*,
                 log_format node_settings::*, configuration_source node_settings::*,
                 sub_call_sign node_settings::*>;

/** One setting. */
struct setting_info {
    std::string_view m_section; ///< Section of the INI file.
    std::string_view m_key;     ///< Key.
    bool m_required;            ///< Whether it must be there.
    setting_field m_field;      ///< Where it goes.
    std::uint64_t m_min;        ///< Least number, or least length of a text.
    std::uint64_t m_max;        ///< Greatest number, or greatest length of a text; durations in milliseconds.
    std::string_view m_meaning; ///< For people.
};

inline constexpr std::uint64_t most_name = 64;             ///< Longest name, in bytes.
inline constexpr std::uint64_t most_text = 4096;           ///< Longest text, in bytes.
inline constexpr std::uint64_t least_secret = 16;          ///< Shortest secret, in bytes.
inline constexpr std::uint64_t most_connections = 100'000; ///< Connections or slots.
inline constexpr std::uint64_t most_body = 64ULL << 20U;   ///< Bytes.
inline constexpr std::uint64_t hour_ms = 3'600'000;        ///< Milliseconds.

/** All settings. */
inline constexpr std::array<setting_info, 26> settings_table{{
    {"node", "name", true, &node_settings::m_name, 1, most_name, "Name of the node, unique in the fleet"},
    {"node", "region", true, &node_settings::m_region, 1, most_name, "Region in which it runs"},
    {"node", "data_centre", true, &node_settings::m_data_centre, 1, most_name,
     "Data centre in which it runs"},
    {"node", "control", false, &node_settings::m_control, 0, 0,
     "full; fixed-slots and none are baselines for measurements"},
    {"node", "stop_limit", false, &node_settings::m_stop_timeout, 0, hour_ms, "Longest planned stop"},
    {"node", "charts", false, &node_settings::m_charts, 1, most_text, "Folder of the state charts"},
    {"listen", "callers", true, &node_settings::m_callers, 0, 0, "Address of the callers' door"},
    {"listen", "links", true, &node_settings::m_links, 0, 0, "TCP address for links of other nodes"},
    {"listen", "gossip", true, &node_settings::m_gossip, 0, 0, "UDP address for datagrams of other nodes"},
    {"listen", "advertised_links", false, &node_settings::m_advertised_links, 0, 0,
     "Address at which other nodes reach links, where a forwarder stands between"},
    {"listen", "operators", true, &node_settings::m_operators, 0, 0, "Address of the operators' door"},
    {"listen", "body_limit", false, &node_settings::m_body_limit, 1, most_body,
     "Longest request body, in bytes"},
    {"listen", "caller_connections", false, &node_settings::m_caller_connections, 1, most_connections,
     "Callers' connections at once"},
    {"target", "service", false, &node_settings::m_service, 1, most_name, "Service that the target serves"},
    {"target", "address", false, &node_settings::m_target, 0, 0,
     "Address of the target; without it the target announces itself"},
    {"target", "slots", false, &node_settings::m_slots, 1, most_connections, "Calls that it can run at once"},
    {"target", "connections", false, &node_settings::m_connections, 1, most_connections,
     "Connections that it accepts"},
    {"listen", "descriptors", false, &node_settings::m_descriptors, 400, 10'000'000,
     "Descriptors that the process may open; with it, caller_connections is at most half of them"},
    {"target", "sub_calls", false, &node_settings::m_sub_calls, 0, 0,
     "How sub-calls of the target are known: by their context, or by request ids that extend their parent's"},
    {"platform", "store", true, &node_settings::m_store, 0, 0, "Address of the platform's store"},
    {"platform", "configuration", false, &node_settings::m_configuration, 0, 0,
     "Who writes the configuration: published by waxwingctl, or written to the platform's store"},
    {"platform", "registry", false, &node_settings::m_registry, 0, 0,
     "Address at which targets announce themselves in the platform's form"},
    {"platform", "readiness", false, &node_settings::m_readiness, 0, 0,
     "Address at which the platform asks whether the node takes callers"},
    {"security", "shared_key", true, &node_settings::m_shared_key, least_secret, most_text,
     "Secret of all nodes of the fleet"},
    {"security", "operator_token", false, &node_settings::m_operator_token, least_secret, most_text,
     "Bearer token for changes; without it all changes are refused"},
    {"log", "format", false, &node_settings::m_log_format, 0, 0, "text or json"},
}};

} // namespace waxwing

#endif
