/** @file settings.h The table of settings: section, key, how to read it, and what it means. */
#ifndef WAXWING_NODE_TABLE_SETTINGS_H
#define WAXWING_NODE_TABLE_SETTINGS_H

#include "node/settings_func.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace waxwing {

/** Destination of a setting; its type selects the parser. */
using setting_field =
    std::variant<std::string node_settings::*, node_id node_settings::*, region_name node_settings::*,
                 data_centre_name node_settings::*, service_name node_settings::*, endpoint node_settings::*,
                 std::optional<endpoint> node_settings::*, std::uint32_t node_settings::*,
                 std::size_t node_settings::*, duration node_settings::*, control_mode node_settings::*,
                 log_format node_settings::*, configuration_source node_settings::*,
                 sub_call_sign node_settings::*, bool node_settings::*>;

/** One setting. */
struct setting_info {
    std::string_view m_section; ///< Section of the INI file.
    std::string_view m_key;     ///< Key.
    bool m_required;            ///< Whether it is mandatory.
    setting_field m_field;      ///< Member of node_settings.
    std::uint64_t m_min;        ///< Minimum number or text length.
    std::uint64_t m_max;        ///< Maximum number or text length; durations in milliseconds.
    std::string_view m_meaning; ///< Help text.
};

inline constexpr std::uint64_t max_name_bytes = 64;           ///< Longest name, in bytes.
inline constexpr std::uint64_t max_text_bytes = 4096;         ///< Longest text, in bytes.
inline constexpr std::uint64_t min_secret_bytes = 16;         ///< Shortest secret, in bytes.
inline constexpr std::uint64_t max_connections = 100'000;     ///< Also the maximum number of slots.
inline constexpr std::uint64_t max_body_bytes = 64ULL << 20U; ///< Bytes.
inline constexpr std::uint64_t min_memory_mib = 32;           ///< MiB; an idle node takes 10.
inline constexpr std::uint64_t max_memory_mib = 1'048'576;    ///< MiB.
inline constexpr std::uint64_t hour_ms = 3'600'000;           ///< Milliseconds.
inline constexpr std::uint64_t week_ms = 168 * hour_ms;       ///< Milliseconds.

/** All settings. */
inline constexpr std::array<setting_info, 31> settings_table{{
    {"node", "name", true, &node_settings::m_name, 1, max_name_bytes,
     "Name of the node, unique in the fleet"},
    {"node", "region", true, &node_settings::m_region, 1, max_name_bytes, "Region of the node"},
    {"node", "data_centre", true, &node_settings::m_data_centre, 1, max_name_bytes,
     "Data centre of the node"},
    {"node", "control", false, &node_settings::m_control, 0, 0,
     "full; fixed-slots and none are baselines for measurements"},
    {"node", "stop_limit", false, &node_settings::m_stop_timeout, 0, hour_ms,
     "Maximum duration of a planned stop"},
    {"node", "charts", false, &node_settings::m_charts, 1, max_text_bytes, "Folder of the state charts"},
    {"node", "memory", false, &node_settings::m_memory, min_memory_mib, max_memory_mib,
     "Memory that the process may use, in MiB; bodies and buffers take at most five eighths of it"},
    {"listen", "callers", true, &node_settings::m_callers, 0, 0, "Address that accepts callers"},
    {"listen", "links", true, &node_settings::m_links, 0, 0, "TCP address for links of other nodes"},
    {"listen", "gossip", true, &node_settings::m_gossip, 0, 0, "UDP address for datagrams of other nodes"},
    {"listen", "advertised_links", false, &node_settings::m_advertised_links, 0, 0,
     "Address at which other nodes reach links, if it differs because of a forwarder"},
    {"listen", "operators", true, &node_settings::m_operators, 0, 0, "Address of the operator API"},
    {"listen", "body_limit", false, &node_settings::m_body_limit, 1, max_body_bytes,
     "Longest request body, in bytes"},
    {"listen", "caller_connections", false, &node_settings::m_caller_connections, 1, max_connections,
     "Callers' connections at once"},
    {"target", "service", false, &node_settings::m_service, 1, max_name_bytes,
     "Service that the target serves"},
    {"target", "address", false, &node_settings::m_target, 0, 0,
     "Address of the target; without it the target announces itself"},
    {"target", "slots", false, &node_settings::m_slots, 1, max_connections,
     "Calls that the target can run at once"},
    {"target", "connections", false, &node_settings::m_connections, 1, max_connections,
     "Connections that the target accepts"},
    {"listen", "descriptors", false, &node_settings::m_descriptors, 400, 10'000'000,
     "Descriptors that the process may open; with it, caller_connections is at most half of them"},
    {"target", "sub_calls", false, &node_settings::m_sub_calls, 0, 0,
     "How sub-calls of the target are recognised: by context, or by request ids that extend their parent's"},
    {"platform", "store", true, &node_settings::m_store, 0, 0, "Address of the platform's store"},
    {"platform", "configuration", false, &node_settings::m_configuration, 0, 0,
     "Who writes the configuration: published by waxwingctl, or written to the platform's store"},
    {"platform", "registry", false, &node_settings::m_registry, 0, 0,
     "Address at which targets announce themselves in the platform's format"},
    {"platform", "redirects_after", false, &node_settings::m_redirects_after, 0, 0,
     "With redirects_before: a target that may have left is asked to announce itself at a port between the "
     "two"},
    {"platform", "redirects_before", false, &node_settings::m_redirects_before, 0, 0,
     "See redirects_after; the ports between the two must be free"},
    {"platform", "readiness", false, &node_settings::m_readiness, 0, 0,
     "Address at which the platform asks whether the node accepts callers"},
    {"security", "shared_key", true, &node_settings::m_shared_key, min_secret_bytes, max_text_bytes,
     "Secret of all nodes of the fleet"},
    {"security", "operator_token", false, &node_settings::m_operator_token, min_secret_bytes, max_text_bytes,
     "Bearer token for changes; without it all changes are refused"},
    {"organisations", "fail_closed", false, &node_settings::m_fail_closed, 0, 0,
     "yes or no: whether requests that need a key are refused while the configuration in force is not known "
     "to be the newest one"},
    {"organisations", "revocation_timeout", false, &node_settings::m_revocation_timeout, 0, week_ms,
     "With fail_closed: a key runs no request sent this long after its withdrawal was accepted"},
    {"log", "format", false, &node_settings::m_log_format, 0, 0, "text or json"},
}};

} // namespace waxwing

#endif
