/** @file link_hostile_test.cpp Peers that write raw bytes to a link task. */
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

/** Connects a raw peer called @p self to @p node, which is alpha, with the proof of the key. */
std::unique_ptr<raw_peer> proven_peer(test_fleet& fleet, test_node& node, const std::string& self)
{
    auto peer = std::make_unique<raw_peer>(fleet.loop(), node.m_task->address());
    peer->start_handshake(self, "alpha", "key");
    fleet.run_until([&] { return peer->handshake_done() && node.m_task->is_up({self}); });
    return peer;
}

/** Makes the frame of a whole message. */
std::string whole(const std::string& message)
{
    return client_frame(static_cast<char>(frame_kind::whole) + message);
}

/** Reads the attempt from the first bytes of an encoded call: array head, kind, body length, attempt. */
std::uint64_t attempt_at(const std::string& bytes)
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

/** What becomes of calls to a peer that reads nothing until the link has ended. */
struct broken_link {
    /** Sends @p calls calls with bodies of the sizes that @p size gives, and ends the link. */
    broken_link(std::uint64_t calls, const std::function<std::size_t(std::uint64_t)>& size)
    {
        test_fleet fleet;
        test_node& alpha = fleet.start("alpha");
        const auto peer = proven_peer(fleet, alpha, "beta");
        peer->stop_reading();
        for (std::uint64_t attempt = 0; attempt < calls; ++attempt) {
            alpha.m_task->send({"beta"}, call_of(attempt, size(attempt)));
        }
        std::uint64_t written = 0;
        int still = 0;
        fleet.run_until([&] {
            const std::uint64_t now = alpha.m_task->counters().m_bytes_out;
            still = written == now && written > 0 ? still + 1 : 0;
            written = now;
            return still > 20;
        });
        peer->finish_sending();
        fleet.run_until([&] { return alpha.count<link_down>() == 1; });
        peer->start_reading();
        fleet.run_until([&] { return peer->ended(); });
        m_down_came_last = std::holds_alternative<link_down>(alpha.m_events.back());
        m_messages_out = alpha.m_task->counters().m_messages_out;
        m_partial = peer->has_partial_frame();
        collect(alpha, *peer);
    }

    std::set<std::uint64_t> m_untouched; ///< The calls that came back.
    std::set<std::uint64_t> m_begun;     ///< The calls whose first frame came whole.
    std::size_t m_told_twice = 0;        ///< Calls in both.
    std::uint64_t m_messages_out = 0;    ///< As the task counts.
    bool m_partial = false;              ///< Whether the last frame came in part.
    bool m_down_came_last = false;       ///< Whether link_down was the last event.

private:
    /** Fills the sets. */
    void collect(const test_node& alpha, const raw_peer& peer)
    {
        for (const link_undelivered& event : alpha.all<link_undelivered>()) {
            m_untouched.insert(std::get<call_message>(event.m_message).m_attempt.m_value);
        }
        constexpr std::ptrdiff_t handshake_frames = 2;
        std::vector<std::string> frames = peer.frames();
        frames.erase(frames.begin(), frames.begin() + handshake_frames);
        for (const std::string& frame : frames) {
            const auto kind = static_cast<frame_kind>(frame[0]);
            if (kind != frame_kind::more) {
                m_begun.insert(attempt_at(frame.substr(kind == frame_kind::begin ? frame_head_limit : 1)));
            }
        }
        for (const std::uint64_t attempt : m_begun) {
            m_told_twice += m_untouched.count(attempt);
        }
    }
};

/** Sends @p bytes as a peer without proof and waits until it is cut off; gives what it got. */
std::string cut_off_after(test_fleet& fleet, test_node& node, const std::string& bytes)
{
    raw_peer peer(fleet.loop(), node.m_task->address());
    peer.send(bytes);
    fleet.run_until([&] { return peer.ended(); });
    return peer.input();
}

} // namespace

Test(hostile, bytes_without_proof_are_cut_off_and_get_nothing)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link(alpha, "alpha", beta, "beta");
    const std::vector<std::string> attempts = {
        std::string(100000, 'x'),
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /link HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
        "GET /link HTTP/1.1\r\n" + std::string(20000, 'h'),
        upgrade_request + std::string(20, '\xff'),
        upgrade_request + client_frame("no hello"),
        upgrade_request + client_frame("text", 0x81),
        upgrade_request + client_frame(std::string(2000, 'x')),
        upgrade_request + whole(encode_message(call_of(1))),
        upgrade_request + client_frame("", 0x88),
    };
    for (const std::string& bytes : attempts) {
        const std::string got = cut_off_after(fleet, alpha, bytes);
        cr_assert(got.find("alpha") == std::string::npos && got.size() < 1000);
    }
    cr_assert(alpha.count<link_received>() == 0 && alpha.count<link_up>() == 1);
    const link_counters& counters = alpha.m_task->counters();
    cr_assert(counters.m_malformed + counters.m_refused >= attempts.size() - 1);
    beta.m_task->send({"alpha"}, call_of(2));
    fleet.run_until([&] { return alpha.count<link_received>() == 1; });
}

Test(hostile, a_hello_without_proof_gets_only_a_nonce)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    raw_peer peer(fleet.loop(), alpha.m_task->address());
    hello said;
    said.m_nonce = std::string(nonce_size, 'n');
    said.m_from = {"mallory"};
    said.m_to = {"alpha"};
    peer.send(upgrade_request + client_frame(encode_hello(said)));
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
        whole("no message"),
        whole(std::string(16000, '\x81')),
        whole(encode_message(call_of(1)) + "x"),
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
    fleet.link(alpha, "alpha", beta, "beta");
    std::uint64_t expected = 0;
    for (const std::string& bytes : malformed) {
        const auto peer = proven_peer(fleet, alpha, "mallory");
        peer->send(whole(encode_message(call_of(++expected))) + bytes + whole(encode_message(call_of(99))));
        fleet.run_until([&] { return peer->ended() && !alpha.m_task->is_up({"mallory"}); });
        cr_assert(alpha.m_task->counters().m_malformed == expected);
        cr_assert(alpha.count<link_received>() == expected && alpha.count<link_down>() == expected);
    }
    cr_assert(alpha.m_task->is_up({"beta"}));
    beta.m_task->send({"alpha"}, call_of(50));
    fleet.run_until([&] { return alpha.count<link_received>() == expected + 1; });
}

Test(hostile, a_peer_that_floods_pings_and_reads_nothing_is_ended)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    const auto peer = proven_peer(fleet, alpha, "mallory");
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
    settings.m_handshake_limit = std::chrono::milliseconds(400);
    test_node& alpha = fleet.start(settings);
    std::list<raw_peer> silent;
    constexpr std::size_t count = 2 * unproven_limit;
    for (std::size_t index = 0; index < count; ++index) {
        silent.emplace_back(fleet.loop(), alpha.m_task->address());
        silent.back().send("GET /li");
    }
    test_node& beta = fleet.start("beta");
    fleet.link(beta, "beta", alpha, "alpha");
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
    const auto first = proven_peer(fleet, alpha, "one");
    const auto second = proven_peer(fleet, alpha, "two");
    raw_peer third(fleet.loop(), alpha.m_task->address());
    third.start_handshake("three", "alpha", "key");
    fleet.run_until([&] { return third.ended(); });
    cr_assert(third.input().empty() && alpha.m_task->counters().m_links == 2);
}

Test(hostile, a_silent_peer_is_found)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_heartbeat = std::chrono::milliseconds(20);
    settings.m_silence_timeout = std::chrono::milliseconds(100);
    test_node& alpha = fleet.start(settings);
    const auto peer = proven_peer(fleet, alpha, "beta");
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
    const auto peer = proven_peer(fleet, alpha, "beta");
    const std::size_t before = peer->input().size();
    const instant due = event_loop::now() + settings.m_heartbeat;
    timer ping(fleet.loop(), [&] { peer->send_now(client_frame("", 0x89)); });
    ping.set(duration::zero());
    while (event_loop::now() < due) {
        // The loop stands still, so that the ping is sent just before the heartbeat's timer is served.
    }
    fleet.run_until([&] { return peer->input().size() > before; });
    const std::string pong("\x8a\x00", 2);
    cr_assert(peer->input().substr(before) == pong, "the pong waited for the next ping");
}

Test(hostile, untouched_large_messages_come_back_before_the_link_is_down_and_no_others)
{
    constexpr std::uint64_t calls = 600;
    const broken_link broken(calls, [](std::uint64_t attempt) { return attempt % 3 == 0 ? 300 : 60 * 1024; });
    cr_assert(!broken.m_untouched.empty() && !broken.m_begun.empty());
    cr_assert(broken.m_down_came_last);
    cr_assert(broken.m_told_twice == 0);
    // What came in part may be the first frame of a message or a later one.
    const std::size_t told = broken.m_begun.size() + broken.m_untouched.size();
    cr_assert(told == calls || (broken.m_partial && told == calls - 1));
    cr_assert(calls - broken.m_untouched.size() == broken.m_messages_out);
}

Test(hostile, untouched_small_messages_come_back_to_the_byte)
{
    constexpr std::size_t more_than_the_kernel_takes = 4000000;
    constexpr std::size_t least_frame = 60;
    for (const std::size_t body : {0, 100, 333, 1000}) {
        const std::uint64_t calls = more_than_the_kernel_takes / (least_frame + body);
        const broken_link broken(calls, [&](std::uint64_t) { return body; });
        cr_assert(!broken.m_untouched.empty() && !broken.m_begun.empty());
        cr_assert(broken.m_down_came_last);
        cr_assert(broken.m_told_twice == 0);
        cr_assert(broken.m_begun.size() + (broken.m_partial ? 1 : 0) + broken.m_untouched.size() == calls);
        cr_assert(calls - broken.m_untouched.size() == broken.m_messages_out);
    }
}

Test(hostile, a_slow_reader_gets_no_more_than_the_queue_limit_held)
{
    test_fleet fleet;
    link_settings settings = settings_of("alpha");
    settings.m_queue_limit = 1024 * 1024;
    test_node& alpha = fleet.start(settings);
    const auto peer = proven_peer(fleet, alpha, "beta");
    peer->stop_reading();
    constexpr std::size_t body = 100 * 1024;
    std::uint64_t sent = 0;
    fleet.run_until([&] {
        for (int count = 0; count < 20; ++count) {
            alpha.m_task->send({"beta"}, call_of(++sent, body));
        }
        return alpha.count<link_undelivered>() > 100;
    });
    const std::uint64_t held =
        sent - alpha.count<link_undelivered>() - alpha.m_task->counters().m_messages_out;
    cr_assert(held * body <= settings.m_queue_limit, "%zu held", std::size_t(held));
}
