/** @file socket.cpp Non-blocking TCP sockets. */
#include "http/socket_func.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace waxwing {

namespace {

constexpr int listen_backlog = 1024;            ///< Connections that wait to be accepted.
constexpr unsigned unacknowledged_ms = 5000;    ///< Bytes unacknowledged for longer break a connection.

/** A socket address of either family. */
union socket_address {
    sockaddr m_any;
    sockaddr_in m_ip4;
    sockaddr_in6 m_ip6;
};

/** Turns @p address into the system's form. @pre It was read by parse_endpoint. */
socket_address to_system(const endpoint& address)
{
    socket_address system{};
    if (address.m_host.find(':') == std::string::npos) {
        system.m_ip4.sin_family = AF_INET;
        system.m_ip4.sin_port = htons(address.m_port);
        inet_pton(AF_INET, address.m_host.c_str(), &system.m_ip4.sin_addr);
    }
    else {
        system.m_ip6.sin6_family = AF_INET6;
        system.m_ip6.sin6_port = htons(address.m_port);
        inet_pton(AF_INET6, address.m_host.c_str(), &system.m_ip6.sin6_addr);
    }
    return system;
}

/** Turns the system's form into an address. */
endpoint from_system(const socket_address& system)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (system.m_any.sa_family == AF_INET6) {
        inet_ntop(AF_INET6, &system.m_ip6.sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(system.m_ip6.sin6_port)};
    }
    inet_ntop(AF_INET, &system.m_ip4.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(system.m_ip4.sin_port)};
}

/** Gives the length of @p system. */
socklen_t length_of(const socket_address& system)
{
    return system.m_any.sa_family == AF_INET6 ? sizeof system.m_ip6 : sizeof system.m_ip4;
}

/** Sets what every connection needs: no delay, and an end where the other side went silent. */
void tune(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
}

/** Makes the error of the last system call. */
auto system_error(const std::string& what)
{
    return fail(error_code::system, what + ": " + std::strerror(errno));
}

} // namespace

void owned_socket::reset(int descriptor)
{
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
    m_descriptor = descriptor;
}

int owned_socket::release()
{
    const int descriptor = m_descriptor;
    m_descriptor = -1;
    return descriptor;
}

result<owned_socket> listen_on(const endpoint& address)
{
    const std::string what = "can't listen on " + to_string(address);
    const socket_address system = to_system(address);
    owned_socket made(socket(system.m_any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (made.get() < 0) {
        return system_error(what);
    }
    const int on = 1;
    setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(made.get(), &system.m_any, length_of(system)) != 0 || listen(made.get(), listen_backlog) != 0) {
        return system_error(what);
    }
    return made;
}

endpoint local_address(int descriptor)
{
    socket_address system{};
    socklen_t length = sizeof system;
    getsockname(descriptor, &system.m_any, &length);
    return from_system(system);
}

accepted_socket accept_from(int listener)
{
    socket_address system{};
    socklen_t length = sizeof system;
    accepted_socket accepted{
        owned_socket(accept4(listener, &system.m_any, &length, SOCK_NONBLOCK | SOCK_CLOEXEC)), {}};
    if (accepted.m_socket.get() >= 0) {
        tune(accepted.m_socket.get());
        accepted.m_peer = from_system(system).m_host;
    }
    return accepted;
}

result<owned_socket> connect_to(const endpoint& address)
{
    const std::string what = "can't connect to " + to_string(address);
    const socket_address system = to_system(address);
    owned_socket made(socket(system.m_any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (made.get() < 0) {
        return system_error(what);
    }
    tune(made.get());
    if (connect(made.get(), &system.m_any, length_of(system)) != 0 && errno != EINPROGRESS) {
        return system_error(what);
    }
    return made;
}

int connect_error(int descriptor)
{
    int code = 0;
    socklen_t length = sizeof code;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &code, &length) == 0 ? code : errno;
}

} // namespace waxwing
