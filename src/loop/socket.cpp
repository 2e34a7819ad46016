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

/** Most unsent bytes in the kernel, so that a small message waits behind few bytes of larger ones. */
constexpr int unsent_limit_bytes = 64 * 1024;

/** Most unread bytes in the kernel, for the same reason; enough for 1 Gbit/s at a round trip of 1 ms. */
constexpr int unread_limit_bytes = 128 * 1024;

/** Longest time without acknowledgement on HTTP connections; allows a few retransmissions. */
constexpr int max_unacknowledged_ms = 5000;

/** Keep-alive probes of HTTP connections; an unresponsive peer is detected after about 4 s. */
constexpr int keep_alive_idle_seconds = 2;
constexpr int keep_alive_interval_seconds = 1;
constexpr int max_keep_alive_probes = 2;

/** Returns an error for @p operation, which failed on @p address, with the reason from errno. */
auto system_failure(const char* operation, const endpoint& address)
{
    return fail(error_code::system,
                std::string(operation) + " " + to_string(address) + ": " + std::strerror(errno));
}

void set_option(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

/** Sets the options of a TCP socket for @p use. */
void set_tcp_options(int socket, socket_use use)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    if (use == socket_use::link) {
        set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_limit_bytes);
        set_option(socket, SOL_SOCKET, SO_RCVBUF, unread_limit_bytes);
        return;
    }
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, max_unacknowledged_ms);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_keep_alive_probes);
}

/** Opens a socket of @p type that is bound to @p address. */
result<descriptor> bind_at(const endpoint& address, int type)
{
    const result<socket_address> system_address = to_socket_address(address);
    if (system_address.has_error()) {
        return system_address.error();
    }
    const socket_address& local = system_address.value();
    descriptor socket(::socket(local.m_storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.get() < 0) {
        return system_failure("cannot open a socket for", address);
    }
    if (type == SOCK_STREAM) {
        set_option(socket.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    }
    if (bind(socket.get(), reinterpret_cast<const sockaddr*>(&local.m_storage), local.m_size) != 0) {
        return system_failure("cannot bind", address);
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
    socket_address system_address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&system_address.m_storage);
    if (inet_pton(AF_INET, address.m_host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.m_port);
        system_address.m_size = sizeof *v4;
        return system_address;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&system_address.m_storage);
    if (inet_pton(AF_INET6, address.m_host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.m_port);
        system_address.m_size = sizeof *v6;
        return system_address;
    }
    return fail(error_code::invalid, "the host " + address.m_host + " is not an IP address");
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
        set_tcp_options(socket.value().get(), use);
    }
    if (socket.has_value() && listen(socket.value().get(), listen_backlog) != 0) {
        return system_failure("cannot listen on", address);
    }
    return socket;
}

result<descriptor> bind_datagrams(const endpoint& address)
{
    return bind_at(address, SOCK_DGRAM);
}

result<descriptor> start_connect(const endpoint& address, socket_use use)
{
    const result<socket_address> system_address = to_socket_address(address);
    if (system_address.has_error()) {
        return system_address.error();
    }
    const socket_address& destination = system_address.value();
    descriptor socket(
        ::socket(destination.m_storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (socket.get() < 0) {
        return system_failure("cannot open a socket for", address);
    }
    set_tcp_options(socket.get(), use);
    const auto* raw = reinterpret_cast<const sockaddr*>(&destination.m_storage);
    if (connect(socket.get(), raw, destination.m_size) != 0 && errno != EINPROGRESS) {
        return system_failure("cannot connect to", address);
    }
    return socket;
}

bool connect_succeeded(int socket)
{
    int socket_error = 0;
    socklen_t size = sizeof socket_error;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &socket_error, &size) == 0 && socket_error == 0;
}

result<accepted_connection> accept_connection(int listener, socket_use use)
{
    socket_address peer;
    peer.m_size = sizeof peer.m_storage;
    descriptor socket(accept4(listener, reinterpret_cast<sockaddr*>(&peer.m_storage), &peer.m_size,
                              SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.get() < 0) {
        const bool none_waiting = errno == EAGAIN || errno == ECONNABORTED || errno == EINTR;
        return fail(none_waiting ? error_code::unavailable : error_code::exhausted,
                    "cannot accept a connection");
    }
    set_tcp_options(socket.get(), use);
    return accepted_connection{std::move(socket), to_endpoint(peer)};
}

} // namespace waxwing
