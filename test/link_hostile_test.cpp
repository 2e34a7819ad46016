/** @file link_hostile_test.cpp Tests of a link task with peers that send arbitrary bytes. */
#include "link/accept_gate_base.h"
#include "link/chunk_type.h"
#include "link/codec_func.h"
#include "link_fleet.h"
#include "link_raw_peer.h"

#include <algorithm>
#include <list>
#include <set>

using namespace waxwing;
using namespace waxwing_test;

namespace {

/** Connects a raw peer named @p self to @p node, which is alpha, and completes the handshake. */
std::unique_ptr<raw_peer> authenticated_peer(test_fleet& fleet, test_node& node, const std::string& self)
{
    auto peer = std::make_unique<raw_peer>(fleet.loop(), node.m_task->address());
    peer->start_handshake(self, "alpha", "key");
    fleet.run_until([&] { return peer->handshake_done() && node.m_task->is_up({self}); });
    return peer;
}

/** Returns a frame with a complete message. */
std::string message_frame(const std::string& message)
{
    return client_frame(static_cast<char>(frame_kind::whole) + message);
}

/** Reads the attempt from the start of an encoded call: array head, kind, body length, attempt. */
std::uint64_t attempt_of(const std::string& bytes)
{
    const auto number = [&](std::size_t& at) {
        const auto first = static_cast<unsigned char>(bytes[at++]);
        const std::size_t width = first < 24 ? 0 : std::size_t{1} << (first - 24U);
        std::uint64_t value = first < 24 ? first : 0;
        for (std::size_t index = 0; index < width; ++index) {
            value = value * 256 + static_cast<unsigned char>(bytes[at++]);
        }
        return value;
    };
    std::size_t at = 2;
    (void)number(at);
    return number(at);
}

/** Outcome of calls to a peer that does not read until the link has ended. */
struct broken_link {
    /** Sends @p calls calls with bodies of size(attempt) bytes, and ends the link. */
    broken_link(std::uint64_t calls, const std::function<std::size_t(std::uint64_t)>& size)
    {
        test_fleet fleet;
        test_node& alpha = fleet.start("alpha");
        const auto peer = authenticated_peer(fleet, alpha, "beta");
        peer->stop_reading();
        for (std::uint64_t attempt = 0; attempt < calls; ++attempt) {
            alpha.m_task->send({"beta"}, call_of(attempt, size(attempt)));
        }
        std::uint64_t written = 0;
        int unchanged_checks = 0;
        fleet.run_until([&] {
            const std::uint64_t now = alpha.m_task->counters().m_bytes_out;
            unchanged_checks = written == now && written > 0 ? unchanged_checks + 1 : 0;
            written = now;
            return unchanged_checks > 20;
        });
        peer->finish_sending();
        fleet.run_until([&] { return alpha.count<link_down>() == 1; });
        peer->start_reading();
        fleet.run_until([&] { return peer->ended(); });
        m_link_down_last = std::holds_alternative<link_down>(alpha.m_events.back());
        m_messages_out = alpha.m_task->counters().m_messages_out;
        m_partial_frame = peer->has_partial_frame();
        collect(alpha, *peer);
    }

    std::set<std::uint64_t> m_undelivered; ///< Calls that were reported as undelivered.
    std::set<std::uint64_t> m_received;    ///< Calls whose first frame the peer received completely.
    std::size_t m_in_both_count = 0;       ///< Number of calls in both sets.
    std::uint64_t m_messages_out = 0;      ///< The task's counter of sent messages.
    bool m_partial_frame = false;          ///< Whether the peer received the last frame only partly.
    bool m_link_down_last = false;         ///< Whether link_down was the last event.

private:
    /** Fills the sets. */
    void collect(const test_node& alpha, const raw_peer& peer)
    {
        for (const link_undelivered& event : alpha.events<link_undelivered>()) {
            m_undelivered.insert(std::get<call_message>(event.m_message).m_attempt.m_value);
        }
        constexpr std::ptrdiff_t handshake_frames = 2;
        std::vector<std::string> frames = peer.frames();
        frames.erase(frames.begin(), frames.begin() + handshake_frames);
        for (const std::string& frame : frames) {
            const auto kind = static_cast<frame_kind>(frame[0]);
            if (kind != frame_kind::more) {
                m_received.insert(
                    attempt_of(frame.substr(kind == frame_kind::begin ? frame_header_limit : 1)));
            }
        }
        for (const std::uint64_t attempt : m_received) {
            m_in_both_count += m_undelivered.count(attempt);
        }
    }
};

/** Sends @p bytes on a new connection and waits until @p node closes it. @return the bytes received. */
std::string response_before_close(test_fleet& fleet, test_node& node, const std::string& bytes)
{
    raw_peer peer(fleet.loop(), node.m_task->address());
    peer.send(bytes);
    fleet.run_until([&] { return peer.ended(); });
    return peer.input();
}

} // namespace

Test(hostile, unauthenticated_bytes_close_the_connection_and_disclose_nothing)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    const std::vector<std::string> inputs = {
        std::string(100000, 'x'),
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /link HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
        "GET /link HTTP/1.1\r\n" + std::string(20000, 'h'),
        upgrade_request + std::string(20, '\xff'),
        upgrade_request + client_frame("no hello"),
        upgrade_request + client_frame("text", 0x81),
        upgrade_request + client_frame(std::string(2000, 'x')),
        upgrade_request + message_frame(encode_message(call_of(1))),
        upgrade_request + client_frame("", 0x88),
    };
    for (const std::string& bytes : inputs) {
        const std::string response = response_before_close(fleet, alpha, bytes);
        cr_assert(response.find("alpha") == std::string::npos && response.size() < 1000);
    }
    cr_assert(alpha.count<link_received>() == 0 && alpha.count<link_up>() == 1);
    const link_counters& counters = alpha.m_task->counters();
    cr_assert(counters.m_malformed + counters.m_refused >= inputs.size() - 1);
    beta.m_task->send({"alpha"}, call_of(2));
    fleet.run_until([&] { return alpha.count<link_received>() == 1; });
}

Test(hostile, an_unauthenticated_hello_gets_no_names)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    raw_peer peer(fleet.loop(), alpha.m_task->address());
    hello message;
    message.m_nonce = std::string(nonce_size, 'n');
    message.m_from = {"mallory"};
    message.m_to = {"alpha"};
    peer.send(upgrade_request + client_frame(encode_hello(message)));
    fleet.run_until([&] { return !peer.frames().empty(); });
    peer.send(client_frame(std::string(proof_size, 'p')));
    fleet.run_until([&] { return peer.ended(); });
    cr_assert(peer.frames().size() == 1);
    const result<hello> answer = decode_hello(peer.frames().front());
    cr_assert(answer.has_value() && answer.value().m_from.empty() && answer.value().m_to.empty());
    cr_assert(alpha.m_events.empty() && alpha.m_task->counters().m_refused == 1);
}

Test(hostile, malformed_messages_end_their_link_only)
{
    const std::vector<std::string> malformed = {
        message_frame("no message"),
        message_frame(std::string(16000, '\x81')),
        message_frame(encode_message(call_of(1)) + "x"),
        client_frame(""),
        client_frame("\x09unknown"),
        client_frame(std::string("\x03\x00\x00\x00\x01x", 6)),
        client_frame(std::string("\x02\x00\x00\x00\x01\xff\xff\xff\xffx", 10)),
        client_frame("text", 0x81),
        client_frame("\x04", 0x81),
        client_frame("reserved", 0xf2),
    };
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    std::uint64_t expected = 0;
    for (const std::string& bytes : malformed) {
        const auto peer = authenticated_peer(fleet, alpha, "mallory");
        peer->send(message_frame(encode_message(call_of(++expected))) + bytes +
                   message_frame(encode_message(call_of(99))));
        fleet.run_until([&] { return peer->ended() && !alpha.m_task->is_up({"mallory"}); });
        cr_assert(alpha.m_task->counters().m_malformed == expected);
        cr_assert(alpha.count<link_received>() == expected && alpha.count<link_down>() == expected);
    }
    cr_assert(alpha.m_task->is_up({"beta"}));
    beta.m_task->send({"alpha"}, call_of(50));
    fleet.run_until([&] { return alpha.count<link_received>() == expected + 1; });
}

Test(hostile, a_peer_that_floods_pings_and_reads_nothing_is_disconnected)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    const auto peer = authenticated_peer(fleet, alpha, "mallory");
    std::string pings;
    for (int count = 0; count < 20000; ++count) {
        pings += client_frame(std::string(125, 'p'), 0x89);
    }
    for (int count = 0; count < 40; ++count) {
        peer->send(pings);
    }
    peer->write_only();
    fleet.run_until([&] { return alpha.count<link_down>() == 1; });
    cr_assert(alpha.m_task->counters().m_malformed == 1);
}

Test(hostile, silent_connections_are_bounded_in_number_and_time)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_handshake_timeout = std::chrono::milliseconds(400);
    test_node& alpha = fleet.start(settings);
    std::list<raw_peer> silent;
    constexpr std::size_t count = 2 * unauthenticated_limit;
    for (std::size_t index = 0; index < count; ++index) {
        silent.emplace_back(fleet.loop(), alpha.m_task->address());
        silent.back().send("GET /li");
    }
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(beta, "beta", alpha, "alpha");
    fleet.run_until([&] {
        return std::all_of(silent.begin(), silent.end(), [](const raw_peer& peer) { return peer.ended(); });
    });
    cr_assert(alpha.m_task->counters().m_refused == count);
    cr_assert(alpha.m_task->is_up({"beta"}));
}

Test(hostile, links_beyond_the_limit_are_not_accepted)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_link_limit = 2;
    test_node& alpha = fleet.start(settings);
    const auto first = authenticated_peer(fleet, alpha, "one");
    const auto second = authenticated_peer(fleet, alpha, "two");
    raw_peer third(fleet.loop(), alpha.m_task->address());
    third.start_handshake("three", "alpha", "key");
    fleet.run_until([&] { return third.ended(); });
    cr_assert(third.input().empty() && alpha.m_task->counters().m_links == 2);
}

Test(hostile, a_silent_peer_is_disconnected)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_heartbeat = std::chrono::milliseconds(20);
    settings.m_silence_timeout = std::chrono::milliseconds(100);
    test_node& alpha = fleet.start(settings);
    const auto peer = authenticated_peer(fleet, alpha, "beta");
    fleet.run_until([&] { return alpha.count<link_down>() == 1 && peer->ended(); });
    const std::string ping("\x89\x00", 2);
    cr_assert(peer->input().find(ping) != std::string::npos);
}

Test(hostile, a_ping_that_comes_when_the_heartbeat_is_due_is_answered)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_heartbeat = std::chrono::milliseconds(30);
    test_node& alpha = fleet.start(settings);
    const auto peer = authenticated_peer(fleet, alpha, "beta");
    const std::size_t before = peer->input().size();
    const instant due = event_loop::now() + settings.m_heartbeat;
    timer ping(fleet.loop(), [&] { peer->send_now(client_frame("", 0x89)); });
    ping.set(duration::zero());
    while (event_loop::now() < due) {
        // Blocks the loop, so that the ping is sent just before the heartbeat timer is served.
    }
    fleet.run_until([&] { return peer->input().size() > before; });
    const std::string pong("\x8a\x00", 2);
    cr_assert(peer->input().substr(before) == pong, "the pong was not sent before the next ping");
}

Test(hostile, unsent_large_messages_are_returned_before_link_down)
{
    constexpr std::uint64_t calls = 600;
    const broken_link broken(calls, [](std::uint64_t attempt) { return attempt % 3 == 0 ? 300 : 60 * 1024; });
    cr_assert(!broken.m_undelivered.empty() && !broken.m_received.empty());
    cr_assert(broken.m_link_down_last);
    cr_assert(broken.m_in_both_count == 0);
    // The partial frame may be the first frame of a message or a later one.
    const std::size_t accounted = broken.m_received.size() + broken.m_undelivered.size();
    cr_assert(accounted == calls || (broken.m_partial_frame && accounted == calls - 1));
    cr_assert(calls - broken.m_undelivered.size() == broken.m_messages_out);
}

Test(hostile, unsent_small_messages_are_returned_exactly)
{
    constexpr std::size_t above_kernel_buffer_size = 4000000;
    constexpr std::size_t min_frame_size = 60;
    for (const std::size_t body : {0, 100, 333, 1000}) {
        const std::uint64_t calls = above_kernel_buffer_size / (min_frame_size + body);
        const broken_link broken(calls, [&](std::uint64_t) { return body; });
        cr_assert(!broken.m_undelivered.empty() && !broken.m_received.empty());
        cr_assert(broken.m_link_down_last);
        cr_assert(broken.m_in_both_count == 0);
        cr_assert(broken.m_received.size() + (broken.m_partial_frame ? 1 : 0) + broken.m_undelivered.size() ==
                  calls);
        cr_assert(calls - broken.m_undelivered.size() == broken.m_messages_out);
    }
}

Test(hostile, the_queue_for_a_slow_reader_is_limited)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_queue_limit = 1024 * 1024;
    test_node& alpha = fleet.start(settings);
    const auto peer = authenticated_peer(fleet, alpha, "beta");
    peer->stop_reading();
    constexpr std::size_t body = 100 * 1024;
    std::uint64_t sent = 0;
    fleet.run_until([&] {
        for (int count = 0; count < 20; ++count) {
            alpha.m_task->send({"beta"}, call_of(++sent, body));
        }
        return alpha.count<link_undelivered>() > 100;
    });
    const std::uint64_t queued =
        sent - alpha.count<link_undelivered>() - alpha.m_task->counters().m_messages_out;
    cr_assert(queued * body <= settings.m_queue_limit, "%zu queued", std::size_t(queued));
}
