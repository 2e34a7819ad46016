/** @file datagram.cpp Authenticated datagrams over UDP. */
#include "link/datagram_base.h"
#include "link/proof_func.h"
#include "loop/loop.h"

#include <array>
#include <cerrno>
#include <utility>

namespace waxwing {

namespace {

/** Length of the truncated HMAC that follows each payload, in bytes. */
constexpr std::size_t tag_size = 16;

/** Maximum length of a datagram, in bytes. */
constexpr std::size_t datagram_limit = datagram_payload_limit + tag_size;

/** Maximum number of datagrams read at once, so that other tasks are served. */
constexpr int read_batch = 64;

/** Computes the HMAC tag of @p payload; the label separates it from the proofs of link handshakes. */
std::string compute_tag(std::string_view key, std::string_view payload)
{
    std::string bytes("waxwing-datagram");
    bytes.append(payload);
    return hmac_sha256(key, bytes).substr(0, tag_size);
}

/** Implementation of datagram_task on a UDP socket. */
class udp_datagram_task final : public datagram_task {
public:
    udp_datagram_task(event_loop& loop, descriptor socket, std::string shared_key, handler on_datagram)
        : m_socket(std::move(socket)), m_address(local_address(m_socket.get())),
          m_shared_key(std::move(shared_key)), m_on_datagram(std::move(on_datagram)),
          m_watcher(loop, [this](int) { on_ready(); })
    {
        m_watcher.watch(m_socket.get(), EV_READ);
    }

    void send(const endpoint& to, std::string_view payload) override
    {
        const result<socket_address> converted = to_socket_address(to);
        if (converted.has_error() || payload.size() > datagram_payload_limit) {
            return;
        }
        std::string bytes(payload);
        bytes += compute_tag(m_shared_key, payload);
        const socket_address& destination = converted.value();
        const ssize_t sent =
            sendto(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                   reinterpret_cast<const sockaddr*>(&destination.m_storage), destination.m_size);
        if (sent > 0) {
            m_counters.m_bytes_out += static_cast<std::uint64_t>(sent);
        }
    }

    const datagram_counters& counters() const override { return m_counters; }

    endpoint address() const override { return m_address; }

private:
    /** Reads waiting datagrams. */
    void on_ready()
    {
        for (int count = 0; count < read_batch; ++count) {
            std::array<char, datagram_limit + 1> buffer{};
            socket_address from;
            from.m_size = sizeof from.m_storage;
            const ssize_t size = recvfrom(m_socket.get(), buffer.data(), buffer.size(), 0,
                                          reinterpret_cast<sockaddr*>(&from.m_storage), &from.m_size);
            if (size < 0) {
                return;
            }
            accept_datagram(from, {buffer.data(), static_cast<std::size_t>(size)});
        }
    }

    /** Verifies the tag of the datagram @p bytes and passes the payload to the handler. */
    void accept_datagram(const socket_address& from, std::string_view bytes)
    {
        m_counters.m_bytes_in += bytes.size();
        if (bytes.size() < tag_size || bytes.size() > datagram_limit) {
            ++m_counters.m_refused;
            return;
        }
        const std::string_view payload = bytes.substr(0, bytes.size() - tag_size);
        if (!equal_in_constant_time(bytes.substr(payload.size()), compute_tag(m_shared_key, payload))) {
            ++m_counters.m_refused;
            return;
        }
        m_on_datagram({to_endpoint(from), std::string(payload)});
    }

    descriptor m_socket;
    endpoint m_address;
    std::string m_shared_key;
    handler m_on_datagram;
    io_watcher m_watcher;
    datagram_counters m_counters;
};

} // namespace

result<std::unique_ptr<datagram_task>> datagram_task::open(event_loop& loop, const endpoint& address,
                                                           std::string shared_key, handler on_datagram)
{
    if (shared_key.empty()) {
        return fail(error_code::invalid, "the shared key is empty");
    }
    result<descriptor> socket = bind_datagrams(address);
    if (socket.has_error()) {
        return socket.error();
    }
    return std::unique_ptr<datagram_task>(std::make_unique<udp_datagram_task>(
        loop, std::move(socket).value(), std::move(shared_key), std::move(on_datagram)));
}

} // namespace waxwing
