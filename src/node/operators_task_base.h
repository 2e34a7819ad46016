/** @file operators_task_base.h The operator HTTP API: metrics, status and administration. */
#ifndef WAXWING_NODE_OPERATORS_TASK_BASE_H
#define WAXWING_NODE_OPERATORS_TASK_BASE_H

#include "http/http.h"
#include "metrics/metrics.h"
#include "node/call_task_base.h"
#include "node/control_task_base.h"
#include "node/peer_task_base.h"
#include "node/publication_task_base.h"
#include "node/settings_func.h"
#include "node/target_task_base.h"

#include <array>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace waxwing {

/** The tasks that the operator API reads and commands. All outlive it. */
struct node_tasks {
    call_task& m_calls;
    target_task& m_target;
    control_task& m_control;
    peer_task& m_peers;
    metrics& m_metrics;
    state_machine& m_state_machine;
};

/**
 * Owns the operator connections. Thread safety: the loop's thread only.
 */
class operators_task {
public:
    /** @pre @p loop, @p settings and all of @p tasks outlive this. */
    operators_task(event_loop& loop, const node_settings& settings, node_tasks tasks, std::uint64_t seed);

    /** Opens the listener for operators. */
    result<void> listen();

private:
    using page = void (operators_task::*)(const http_request& request);

    /** One route of the operator API. */
    struct route {
        std::string_view m_method; ///< HTTP method.
        std::string_view m_path;   ///< Path without the query.
        bool m_needs_token;        ///< Whether the operator token is required.
        page m_page;               ///< Handler of the request.
    };
    static const std::array<route, 12> routes;

    void on_http(http_server_event&& event);
    bool is_authorised(const http_request& request) const;
    void get_metrics(const http_request& request);
    void get_health(const http_request& request);
    void get_status(const http_request& request);
    void get_config(const http_request& request);
    void get_history(const http_request& request);
    void get_in_force(const http_request& request);
    void put_target(const http_request& request);
    void post_config(const http_request& request);
    void post_rollback(const http_request& request);
    void list_history(exchange_id exchange, revision newest, nlohmann::ordered_json revisions);
    void publish(exchange_id exchange, publication request);
    void on_published(exchange_id exchange, const std::string& change_id, const publish_end& end);
    void post_drain(const http_request& request);
    void post_release(const http_request& request);
    void answer_json(exchange_id exchange, std::uint16_t status, const nlohmann::ordered_json& body);
    void refuse(const http_request& request, rule why, const std::string& detail);
    nlohmann::ordered_json status_of_calls() const;
    nlohmann::ordered_json status_of_members() const;

    event_loop& m_loop;
    const node_settings& m_settings;
    node_tasks m_tasks;
    publication_task m_publications;
    std::unique_ptr<http_server> m_server;
};

} // namespace waxwing

#endif
