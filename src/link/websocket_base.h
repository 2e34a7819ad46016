/** @file websocket_base.h A WebSocket connection independent of the socket. C++17. */
#ifndef WAXWING_LINK_WEBSOCKET_BASE_H
#define WAXWING_LINK_WEBSOCKET_BASE_H

#include "base/base.h"
#include "link/proof_func.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace waxwing {

/** Handlers of websocket events; called from within websocket::feed, except as noted. */
struct websocket_handlers {
    std::function<void()> m_on_open;                  ///< The upgrade is complete.
    std::function<void(std::string_view)> m_on_frame; ///< A binary message was received.
    std::function<void(const char*, std::size_t)>
        m_on_output; ///< Bytes are to be written to the socket; also called from start, send and ping.
};

/**
 * A WebSocket connection (RFC 6455) that leaves reading and writing the socket to its owner.
 * Thread safety: for use by one thread only.
 */
class websocket {
public:
    virtual ~websocket() = default;
    websocket(const websocket&) = delete;
    websocket& operator=(const websocket&) = delete;

    /** Starts the connection; the opener sends the upgrade request. */
    virtual void start() = 0;

    /** Processes received bytes. @return false if the connection ended or violated the protocol. */
    virtual bool feed(const char* bytes, std::size_t size) = 0;

    /** Sends one binary message. @return false if the connection has ended. @pre m_on_open was called. */
    virtual bool send(std::string frame) = 0;

    /** Sends a ping. @pre m_on_open was called. */
    virtual void ping() = 0;

    /** Sets the maximum length of a message from the peer, in bytes. */
    virtual void set_frame_limit(std::size_t limit) = 0;

protected:
    websocket() = default;
};

/** Creates websockets. Thread safety: for use by one thread only. */
class websocket_factory {
public:
    websocket_factory();
    ~websocket_factory();
    websocket_factory(const websocket_factory&) = delete;
    websocket_factory& operator=(const websocket_factory&) = delete;

    /** Creates one side of a connection with @p peer. @pre This object outlives the websocket. */
    std::unique_ptr<websocket> make(link_side side, const endpoint& peer, websocket_handlers handlers);

private:
    struct endpoints;
    std::unique_ptr<endpoints> m_endpoints;
};

} // namespace waxwing

#endif
