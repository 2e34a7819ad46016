/** @file settings_func.h The settings of one node, in INI. */
#ifndef WAXWING_NODE_SETTINGS_FUNC_H
#define WAXWING_NODE_SETTINGS_FUNC_H

#include "base/base.h"
#include "call/call.h"
#include "events/events.h"

#include <optional>
#include <string>

namespace waxwing {

/** Who writes the configuration. */
enum class configuration_source {
    published, ///< Operators publish it by waxwingctl.
    platform   ///< Operators write it into the platform's store.
};

/** How a node knows the sub-calls of its target. */
enum class sub_call_sign {
    context,   ///< They carry the context of the call that makes them.
    request_id ///< They come from this machine, and their ids extend that of the call that makes them.
};

/** The settings of one node. */
struct node_settings {
    node_id m_name;                                     ///< Unique in the fleet.
    region_name m_region;                               ///< Where it is.
    data_centre_name m_data_centre;                     ///< Where it is.
    control_mode m_control = control_mode::full;        ///< Less than full is for measurements.
    duration m_stop_timeout = std::chrono::seconds(60); ///< Longest planned stop.
    std::string m_charts;                               ///< Folder of the state charts.

    endpoint m_callers;                         ///< Callers' door.
    endpoint m_links;                           ///< Links of other nodes.
    endpoint m_gossip;                          ///< Datagrams of other nodes.
    std::optional<endpoint> m_advertised_links; ///< Where other nodes reach m_links, where it differs.
    endpoint m_operators;                       ///< Operators' door.
    std::size_t m_body_limit = 1024 * 1024;     ///< Longest body of a request, in bytes.
    std::uint32_t m_caller_connections = 1000;  ///< Callers' connections at once.
    std::uint32_t m_descriptors = 0;            ///< Descriptors that the process may open; 0 is unknown.
    sub_call_sign m_sub_calls = sub_call_sign::context; ///< How sub-calls are known.

    service_name m_service;            ///< What the target serves; empty until it announces itself.
    std::optional<endpoint> m_target;  ///< Where the target listens; none until it announces itself.
    std::uint32_t m_slots = 16;        ///< Calls that the target can run at once.
    std::uint32_t m_connections = 100; ///< Connections that the target accepts.

    endpoint m_store; ///< The platform's store of rows and objects.
    configuration_source m_configuration = configuration_source::published; ///< Who writes the configuration.
    std::optional<endpoint> m_registry;  ///< Where targets announce themselves in the platform's form.
    std::optional<endpoint> m_readiness; ///< Where the platform asks whether this node takes callers.

    std::string m_shared_key;     ///< Proves that a node belongs to the fleet.
    std::string m_operator_token; ///< Proves that an operator may change things; empty refuses all changes.

    log_format m_log_format = log_format::text; ///< How events are written.

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/** What a change of the settings of a running node did. */
struct settings_change {
    bool m_applied = false;       ///< Whether any value is in force that was not before.
    bool m_needs_restart = false; ///< Whether any changed value waits for a restart.
};

/**
 * Takes from @p wanted the values that a running node can take into force: the limit of a stop, the
 * operators' token, and the bounds of the callers' door. All others stay as they are in @p in_force. Thread
 * safety: pure.
 */
settings_change apply_settings(const node_settings& wanted, node_settings& in_force);

/** Reads the whole file @p path; none where it can't be opened. Thread safety: pure but for the file. */
std::optional<std::string> read_file(const std::string& path);

/** Reads and checks settings. @return them, or every error with file and line. Thread safety: pure. */
result<node_settings, located_errors> read_settings(const std::string& file, const std::string& text);

} // namespace waxwing

#endif
