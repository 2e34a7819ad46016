/** @file socket_func.h Non-blocking sockets. C++17. */
#ifndef WAXWING_LOOP_SOCKET_FUNC_H
#define WAXWING_LOOP_SOCKET_FUNC_H

#include "base/base.h"

#include <sys/socket.h>
#include <utility>

namespace waxwing {

/** Owns a file descriptor. Thread safety: for one thread only. */
class descriptor {
public:
    descriptor() = default;
    explicit descriptor(int number) : m_number(number) {}
    ~descriptor() { reset(); }
    descriptor(descriptor&& other) noexcept : m_number(std::exchange(other.m_number, -1)) {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        reset();
        m_number = std::exchange(other.m_number, -1);
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    /** Returns the descriptor; negative where none is owned. */
    int get() const { return m_number; }

    /** Closes the descriptor, if any. */
    void reset();

private:
    int m_number = -1;
};

/** An address in the form of the socket API. */
struct socket_address {
    sockaddr_storage m_storage{}; ///< IPv4 or IPv6.
    socklen_t m_size = 0;         ///< Bytes of m_storage in use.
};

/** Converts @p address to the form of the socket API; an error where its host is not an IP address. */
result<socket_address> to_socket_address(const endpoint& address);

/** Converts @p address from the form of the socket API. */
endpoint to_endpoint(const socket_address& address);

/** Returns the address to which @p socket is bound. */
endpoint local_address(int socket);

/** The use of a TCP socket, which determines its options. */
enum class socket_use {
    link, ///< Multiplexes many calls: TCP_NODELAY, and small limits on unsent and unread bytes.
    http  ///< One request at a time: TCP_NODELAY, and time-outs that detect an unresponsive peer.
};

/** Opens a TCP socket that listens on @p address. */
result<descriptor> listen_at(const endpoint& address, socket_use use = socket_use::link);

/** Opens a UDP socket bound to @p address. */
result<descriptor> bind_datagrams(const endpoint& address);

/** Starts to connect to @p address; the socket becomes writable once the attempt has succeeded or failed. */
result<descriptor> start_connect(const endpoint& address, socket_use use = socket_use::link);

/** Returns whether a connection attempt has succeeded. @pre The socket has become writable. */
bool connect_succeeded(int socket);

/** An accepted connection. */
struct accepted_connection {
    descriptor m_socket;
    endpoint m_peer; ///< Remote address.
};

/**
 * Accepts a connection.
 * @return the connection; `unavailable` where none is waiting, `exhausted` for any other failure, such as a
 * lack of descriptors.
 */
result<accepted_connection> accept_connection(int listener, socket_use use = socket_use::link);

} // namespace waxwing

#endif
