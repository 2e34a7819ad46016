/** @file socket.cpp Non-blocking sockets. */
#include "loop/socket_func.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace waxwing {

namespace {

constexpr int listen_backlog = 1024;

/** Bytes that the kernel may hold unsent, so that a small message waits for few bytes of large ones. */
constexpr int unsent_limit = 64 * 1024;

/** Bytes that the kernel may hold unread, for the same reason; carries 1 Gbit/s over a millisecond. */
constexpr int unread_limit = 128 * 1024;

/** Bytes unacknowledged for longer break an HTTP connection, in milliseconds; above a few retransmissions. */
constexpr int unacknowledged_most = 5000;

/** Keep-alive probes of HTTP connections: a silent one ends after some 4 s, in seconds and probes. */
constexpr int keep_alive_idle = 2;
constexpr int keep_alive_interval = 1;
constexpr int keep_alive_probes = 2;

/** Makes the failure of the system call @p what at @p address. */
auto system_failure(const char* what, const endpoint& address)
{
    return fail(error_code::system,
                std::string(what) + " " + to_string(address) + ": " + std::strerror(errno));
}

/** Sets an option of @p socket to @p value. */
void set_option(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

/** Sets the options of a socket for @p use. */
void tune(int socket, socket_use use)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    if (use == socket_use::link) {
        set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_limit);
        set_option(socket, SOL_SOCKET, SO_RCVBUF, unread_limit);
        return;
    }
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_most);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

/** Opens a bound socket of @p type. */
result<descriptor> bind_at(const endpoint& address, int type)
{
    const result<socket_address> converted = to_socket_address(address);
    if (converted.has_error()) {
        return converted.error();
    }
    const socket_address& where = converted.value();
    descriptor socket(::socket(where.m_storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.get() < 0) {
        return system_failure("can't open a socket for", address);
    }
    if (type == SOCK_STREAM) {
        set_option(socket.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    }
    if (bind(socket.get(), reinterpret_cast<const sockaddr*>(&where.m_storage), where.m_size) != 0) {
        return system_failure("can't bind", address);
    }
    return socket;
}

} // namespace

void descriptor::reset()
{
    if (m_number >= 0) {
        close(std::exchange(m_number, -1));
    }
}

result<socket_address> to_socket_address(const endpoint& address)
{
    socket_address converted;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&converted.m_storage);
    if (inet_pton(AF_INET, address.m_host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.m_port);
        converted.m_size = sizeof *v4;
        return converted;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&converted.m_storage);
    if (inet_pton(AF_INET6, address.m_host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.m_port);
        converted.m_size = sizeof *v6;
        return converted;
    }
    return fail(error_code::invalid, "the host " + address.m_host + " is no IP number");
}

endpoint to_endpoint(const socket_address& address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.m_storage.ss_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address.m_storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(v6->sin6_port)};
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address.m_storage);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4->sin_port)};
}

endpoint local_address(int socket)
{
    socket_address bound;
    bound.m_size = sizeof bound.m_storage;
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound.m_storage), &bound.m_size);
    return to_endpoint(bound);
}

result<descriptor> listen_at(const endpoint& address, socket_use use)
{
    result<descriptor> socket = bind_at(address, SOCK_STREAM);
    if (socket.has_value()) {
        tune(socket.value().get(), use);
    }
    if (socket.has_value() && listen(socket.value().get(), listen_backlog) != 0) {
        return system_failure("can't listen at", address);
    }
    return socket;
}

result<descriptor> bind_datagrams(const endpoint& address)
{
    return bind_at(address, SOCK_DGRAM);
}

result<descriptor> start_connect(const endpoint& address, socket_use use)
{
    const result<socket_address> converted = to_socket_address(address);
    if (converted.has_error()) {
        return converted.error();
    }
    const socket_address& where = converted.value();
    descriptor socket(::socket(where.m_storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.get() < 0) {
        return system_failure("can't open a socket for", address);
    }
    tune(socket.get(), use);
    const auto* raw = reinterpret_cast<const sockaddr*>(&where.m_storage);
    if (connect(socket.get(), raw, where.m_size) != 0 && errno != EINPROGRESS) {
        return system_failure("can't connect to", address);
    }
    return socket;
}

bool connect_succeeded(int socket)
{
    int problem = 0;
    socklen_t size = sizeof problem;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &problem, &size) == 0 && problem == 0;
}

result<accepted_connection> accept_connection(int listener, socket_use use)
{
    socket_address from;
    from.m_size = sizeof from.m_storage;
    descriptor socket(accept4(listener, reinterpret_cast<sockaddr*>(&from.m_storage), &from.m_size,
                              SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.get() < 0) {
        const bool none_waits = errno == EAGAIN || errno == ECONNABORTED || errno == EINTR;
        return fail(none_waits ? error_code::unavailable : error_code::exhausted,
                    "no connection was accepted");
    }
    tune(socket.get(), use);
    return accepted_connection{std::move(socket), to_endpoint(from)};
}

} // namespace waxwing
