/** @file socket_func.h Non-blocking TCP sockets. */
#ifndef WAXWING_HTTP_SOCKET_FUNC_H
#define WAXWING_HTTP_SOCKET_FUNC_H

#include "base/base.h"

#include <string>

namespace waxwing {

/** A descriptor that is closed with its owner. Thread safety: none needed; one owner. */
class owned_socket {
public:
    explicit owned_socket(int descriptor = -1) : m_descriptor(descriptor) {}
    ~owned_socket() { reset(); }
    owned_socket(owned_socket&& other) noexcept : m_descriptor(other.release()) {}
    owned_socket& operator=(owned_socket&& other) noexcept
    {
        reset(other.release());
        return *this;
    }
    owned_socket(const owned_socket&) = delete;
    owned_socket& operator=(const owned_socket&) = delete;

    /** Gives the descriptor; negative where there is none. */
    int get() const { return m_descriptor; }

    /** Closes the descriptor and owns @p descriptor from now on. */
    void reset(int descriptor = -1);

private:
    int release();

    int m_descriptor;
};

/** Listens on @p address without blocking. @return the socket, or the system's reason. */
result<owned_socket> listen_on(const endpoint& address);

/** Gives the local address of @p descriptor. */
endpoint local_address(int descriptor);

/** A connection that was accepted. */
struct accepted_socket {
    owned_socket m_socket; ///< Negative where none was waiting.
    std::string m_peer;    ///< IP number of the other side.
};

/** Accepts one connection from @p listener. */
accepted_socket accept_from(int listener);

/** Begins to connect to @p address. @return the socket, which becomes writable once the attempt has ended, or the
 * system's reason. */
result<owned_socket> connect_to(const endpoint& address);

/** Tells how the attempt to connect @p descriptor ended; zero is success, else errno. */
int connect_error(int descriptor);

} // namespace waxwing

#endif
