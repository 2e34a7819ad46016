/** @file websocket.cpp WebSockets on websocketpp's iostream transport. */
#include "link/websocket_base.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace waxwing {

namespace {

/** Configures one thread, no logs, and no close handshake after an error. */
struct websocket_config : websocketpp::config::core {
    using type = websocket_config;
    using base = websocketpp::config::core;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;

    struct transport_config : base::transport_config {
        using concurrency_type = websocket_config::concurrency_type;
        using elog_type = websocket_config::elog_type;
        using alog_type = websocket_config::alog_type;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

    static const bool enable_multithreading = false;
    static const bool drop_on_protocol_error = true;
    static const bool silent_close = true;
    static const std::size_t max_message_size = handshake_message_limit;
    static const std::size_t max_http_body_size = 0;
};

using client_endpoint = websocketpp::client<websocket_config>;
using server_endpoint = websocketpp::server<websocket_config>;
using connection_ptr = client_endpoint::connection_ptr;
using message_manager = websocket_config::con_msg_manager_type;
using handle = websocketpp::connection_hdl;
using websocket_error = websocketpp::lib::error_code;

/**
 * Masking key of the opener's frames. Masking protects proxies that interpret WebSocket traffic as HTTP;
 * there are none between nodes, and a key of zero leaves the bytes unchanged.
 */
constexpr std::uint32_t no_mask = 0;

/** Implementation of websocket by a websocketpp connection. */
class websocketpp_socket final : public websocket {
public:
    /** @param client endpoint of the opener's side; null on the acceptor's side. */
    websocketpp_socket(client_endpoint* client, connection_ptr connection, websocket_handlers handlers)
        : m_client(client), m_connection(std::move(connection)), m_handlers(std::move(handlers))
    {
        m_connection->set_write_handler([this](const handle&, const char* bytes, std::size_t size) {
            m_handlers.m_on_output(bytes, size);
            return websocket_error();
        });
        m_connection->set_open_handler([this](const handle&) { m_handlers.m_on_open(); });
        m_connection->set_message_handler([this](const handle&, const auto& message) {
            m_ended = m_ended || message->get_opcode() != websocketpp::frame::opcode::binary;
            if (!m_ended) {
                m_handlers.m_on_frame(message->get_payload());
            }
        });
        m_connection->set_close_handler([this](const handle&) { m_ended = true; });
        m_connection->set_fail_handler([this](const handle&) { m_ended = true; });
    }

    /** Breaks the cycles of shared pointers that websocketpp keeps while a read is pending. */
    ~websocketpp_socket() override
    {
        m_connection->set_write_handler(
            [](const handle&, const char*, std::size_t) { return websocket_error(); });
        m_connection->set_open_handler(nullptr);
        m_connection->set_message_handler(nullptr);
        m_connection->set_close_handler(nullptr);
        m_connection->set_fail_handler(nullptr);
        m_connection->fatal_error();
    }

    void start() override
    {
        if (m_client == nullptr) {
            m_connection->start();
            return;
        }
        m_client->connect(m_connection);
    }

    bool feed(const char* bytes, std::size_t size) override
    {
        return m_connection->read_all(bytes, size) == size && !m_ended;
    }

    bool send(std::string frame) override
    {
        const bool masked = m_client != nullptr;
        const websocketpp::frame::basic_header head(websocketpp::frame::opcode::binary, frame.size(), true,
                                                    masked);
        const auto rest = masked ? websocketpp::frame::extended_header(frame.size(), no_mask)
                                 : websocketpp::frame::extended_header(frame.size());
        const auto message = m_messages->get_message();
        message->set_header(websocketpp::frame::prepare_header(head, rest));
        message->get_raw_payload() = std::move(frame);
        message->set_opcode(websocketpp::frame::opcode::binary);
        message->set_prepared(true);
        return !m_connection->send(message);
    }

    void ping() override
    {
        websocket_error ignored;
        m_connection->ping("", ignored);
    }

    void set_frame_limit(std::size_t limit) override { m_connection->set_max_message_size(limit); }

private:
    client_endpoint* m_client;
    connection_ptr m_connection;
    message_manager::ptr m_messages =
        std::make_shared<message_manager>(); ///< Allocates the messages to send.
    websocket_handlers m_handlers;
    bool m_ended = false; ///< Whether the connection has ended or received a message that is not binary.
};

} // namespace

/** websocketpp endpoints for both sides. */
struct websocket_factory::endpoints {
    client_endpoint m_client;
    server_endpoint m_server;
};

websocket_factory::websocket_factory() : m_endpoints(std::make_unique<endpoints>())
{
    m_endpoints->m_client.set_user_agent("");
    m_endpoints->m_server.set_user_agent("");
}

websocket_factory::~websocket_factory() = default;

std::unique_ptr<websocket> websocket_factory::make(link_side side, const endpoint& peer,
                                                   websocket_handlers handlers)
{
    if (side == link_side::acceptor) {
        return std::make_unique<websocketpp_socket>(nullptr, m_endpoints->m_server.get_connection(),
                                                    std::move(handlers));
    }
    websocket_error ignored;
    const connection_ptr connection =
        m_endpoints->m_client.get_connection("ws://" + to_string(peer) + "/link", ignored);
    return std::make_unique<websocketpp_socket>(&m_endpoints->m_client, connection, std::move(handlers));
}

} // namespace waxwing
