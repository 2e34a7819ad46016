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

/** How a node recognises sub-calls of its target. */
enum class sub_call_sign {
    context,   ///< They carry the context of the parent call.
    request_id ///< They come from this machine, and their ids extend that of the parent call.
};

/** The settings of one node. */
struct node_settings {
    node_id m_name;                                     ///< Unique in the fleet.
    region_name m_region;                               ///< Region of the node.
    data_centre_name m_data_centre;                     ///< Data centre of the node.
    control_mode m_control = control_mode::full;        ///< Other modes are baselines for measurements.
    duration m_stop_timeout = std::chrono::seconds(60); ///< Maximum duration of a planned stop.
    std::string m_charts;                               ///< Folder of the state charts.
    std::uint32_t m_memory = 256;                       ///< Memory that the process may use, in MiB.

    endpoint m_callers;                         ///< Listener for callers.
    endpoint m_links;                           ///< Links of other nodes.
    endpoint m_gossip;                          ///< Datagrams of other nodes.
    std::optional<endpoint> m_advertised_links; ///< Where other nodes reach m_links, where it differs.
    endpoint m_operators;                       ///< Listener for operators.
    std::size_t m_body_limit = 1024 * 1024;     ///< Longest body of a request, in bytes.
    std::uint32_t m_caller_connections = 1000;  ///< Callers' connections at once.
    std::uint32_t m_descriptors = 0;            ///< Descriptors that the process may open; 0 is unknown.
    sub_call_sign m_sub_calls = sub_call_sign::context; ///< How sub-calls are recognised.

    service_name m_service;            ///< What the target serves; empty until it announces itself.
    std::optional<endpoint> m_target;  ///< Where the target listens; none until it announces itself.
    std::uint32_t m_slots = 16;        ///< Calls that the target can run at once.
    std::uint32_t m_connections = 100; ///< Connections that the target accepts.

    endpoint m_store; ///< The platform's store of rows and objects.
    configuration_source m_configuration = configuration_source::published; ///< Who writes the configuration.
    std::optional<endpoint> m_registry; ///< Where targets announce themselves in the platform's format.
    std::optional<endpoint> m_redirects_after;  ///< Targets are redirected to ports above this one,
    std::optional<endpoint> m_redirects_before; ///< and below this one.
    std::optional<endpoint> m_readiness; ///< Where the platform asks whether this node accepts callers.

    std::string m_shared_key;     ///< Proves that a node belongs to the fleet.
    std::string m_operator_token; ///< Proves that an operator may change things; empty refuses all changes.

    bool m_fail_closed = false; ///< Whether keys are refused while the configuration may be out of date.
    /** With m_fail_closed: a key runs no request sent this long after its withdrawal was accepted. */
    duration m_revocation_timeout = std::chrono::seconds(5);

    log_format m_log_format = log_format::text; ///< How events are written.

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/** Effect of a settings change on a running node. */
struct settings_change {
    bool m_applied = false;       ///< Whether any new value was applied.
    bool m_needs_restart = false; ///< Whether any changed value waits for a restart.
};

/**
 * Copies to @p current_settings the values of @p new_settings that do not need a restart: the stop timeout,
 * the operator token, and the limits of the caller listener. All other values are unchanged. Thread safety:
 * pure.
 */
settings_change apply_settings(const node_settings& new_settings, node_settings& current_settings);

/** Reads the whole file @p path; empty if it cannot be opened. Thread safety: pure but for the file. */
std::optional<std::string> read_file(const std::string& path);

/** Reads and checks settings. @return them, or all errors with file and line. Thread safety: pure. */
result<node_settings, located_errors> read_settings(const std::string& file, const std::string& text);

} // namespace waxwing

#endif
