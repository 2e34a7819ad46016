/** @file link_datagram_test.cpp Tests of the datagram task over loopback. */
#include "link/link.h"
#include "loop/loop.h"

#include <criterion/criterion.h>
#include <vector>

using namespace waxwing;

namespace {

const endpoint any_port{"127.0.0.1", 0};

/** A datagram task and the datagrams that it received. */
struct receiver {
    explicit receiver(event_loop& loop, const std::string& key = "key")
    {
        m_task = std::move(datagram_task::open(loop, any_port, key, [this, &loop](datagram&& incoming) {
                     m_datagrams.push_back(std::move(incoming));
                     loop.stop();
                 })).value();
    }
    std::unique_ptr<datagram_task> m_task; ///< The task.
    std::vector<datagram> m_datagrams;     ///< Received datagrams, in order.
};

/** Sends @p bytes without a tag to @p to, from a separate socket. */
void send_raw(const endpoint& to, const std::string& bytes)
{
    static const descriptor socket = std::move(bind_datagrams(any_port)).value();
    const socket_address destination = to_socket_address(to).value();
    cr_assert(sendto(socket.get(), bytes.data(), bytes.size(), 0,
                     reinterpret_cast<const sockaddr*>(&destination.m_storage),
                     destination.m_size) == static_cast<ssize_t>(bytes.size()));
}

/** Receives one datagram including its tag. */
std::string receive_raw(const descriptor& socket)
{
    std::string bytes(2000, '\0');
    ssize_t size = -1;
    while (size < 0) {
        size = recv(socket.get(), bytes.data(), bytes.size(), 0);
    }
    bytes.resize(static_cast<std::size_t>(size));
    return bytes;
}

} // namespace

Test(datagram, arrives_with_its_senders_address)
{
    event_loop loop;
    receiver alpha(loop);
    receiver beta(loop);
    for (const std::size_t size : {std::size_t{0}, std::size_t{1}, datagram_payload_limit}) {
        const std::string payload(size, 'x');
        alpha.m_task->send(beta.m_task->address(), payload);
        loop.run();
        cr_assert(beta.m_datagrams.back().m_payload == payload);
        cr_assert(beta.m_datagrams.back().m_from == alpha.m_task->address());
    }
    cr_assert(beta.m_task->counters().m_bytes_in == alpha.m_task->counters().m_bytes_out);
}

Test(datagram, without_proof_is_counted_and_dropped)
{
    event_loop loop;
    receiver alpha(loop);
    receiver other_key(loop, "another key");
    receiver beta(loop);
    const endpoint to = beta.m_task->address();
    other_key.m_task->send(to, "payload");
    send_raw(to, "");
    send_raw(to, "short");
    send_raw(to, std::string(100, 'x'));
    send_raw(to, std::string(datagram_payload_limit + 17, 'x'));
    send_raw(to, std::string(10000, 'x'));
    alpha.m_task->send(to, "last");
    loop.run();
    cr_assert(beta.m_datagrams.size() == 1 && beta.m_datagrams.front().m_payload == "last");
    cr_assert(beta.m_task->counters().m_refused == 6);
}

Test(datagram, a_changed_byte_anywhere_is_refused)
{
    event_loop loop;
    receiver alpha(loop);
    receiver beta(loop);
    const descriptor wire = std::move(bind_datagrams(any_port)).value();
    alpha.m_task->send(local_address(wire.get()), "payload");
    const std::string valid_datagram = receive_raw(wire);
    for (std::size_t place = 0; place < valid_datagram.size(); ++place) {
        std::string changed = valid_datagram;
        changed[place] = static_cast<char>(changed[place] ^ 1);
        send_raw(beta.m_task->address(), changed);
    }
    send_raw(beta.m_task->address(), valid_datagram.substr(1));
    send_raw(beta.m_task->address(), valid_datagram);
    loop.run();
    cr_assert(beta.m_datagrams.size() == 1 && beta.m_task->counters().m_refused == valid_datagram.size() + 1);
}

Test(datagram, oversize_is_not_sent)
{
    event_loop loop;
    receiver alpha(loop);
    receiver beta(loop);
    alpha.m_task->send(beta.m_task->address(), std::string(datagram_payload_limit + 1, 'x'));
    cr_assert(alpha.m_task->counters().m_bytes_out == 0);
    alpha.m_task->send({"no number", 1}, "x");
    cr_assert(alpha.m_task->counters().m_bytes_out == 0);
}

Test(datagram, an_empty_key_or_a_bad_address_is_refused)
{
    event_loop loop;
    const auto ignore = [](datagram&&) {};
    cr_assert(datagram_task::open(loop, any_port, "", ignore).has_error());
    cr_assert(datagram_task::open(loop, {"example.org", 1}, "key", ignore).has_error());
    cr_assert(datagram_task::open(loop, {"192.0.2.1", 1}, "key", ignore).has_error());
}
