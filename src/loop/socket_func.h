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

    /** Gives the number; negative where nothing is owned. */
    int get() const { return m_number; }

    /** Closes what is owned. */
    void reset();

private:
    int m_number = -1;
};

/** An address as the system's calls take it. */
struct socket_address {
    sockaddr_storage m_storage{}; ///< IPv4 or IPv6.
    socklen_t m_size = 0;         ///< Bytes of m_storage in use.
};

/** Converts @p address; an error where its host is no IP number. */
result<socket_address> to_socket_address(const endpoint& address);

/** Converts @p address back. */
endpoint to_endpoint(const socket_address& address);

/** Gives the address to which @p socket is bound. */
endpoint local_address(int socket);

/** What a TCP socket carries, by which its options are chosen. */
enum class socket_use {
    link, ///< Messages of many calls: no delay, and short queues of unsent and unread bytes.
    http  ///< One request at a time: no delay, and an end where the other side went silent.
};

/** Opens a TCP socket that listens at @p address. */
result<descriptor> listen_at(const endpoint& address, socket_use use = socket_use::link);

/** Opens a UDP socket at @p address. */
result<descriptor> bind_datagrams(const endpoint& address);

/** Starts to connect to @p address; the socket becomes writable once that is done or has failed. */
result<descriptor> start_connect(const endpoint& address, socket_use use = socket_use::link);

/** Tells whether a connect that was started has succeeded. @pre The socket was found writable. */
bool connect_succeeded(int socket);

/** A connection that was accepted. */
struct accepted_connection {
    descriptor m_socket; ///< Its socket.
    endpoint m_peer;     ///< The other side.
};

/** Accepts a connection; the error is `unavailable` where none waits, `exhausted` where the process has no
 * room. */
result<accepted_connection> accept_connection(int listener, socket_use use = socket_use::link);

} // namespace waxwing

#endif
