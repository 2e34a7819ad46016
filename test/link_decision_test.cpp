/** @file link_decision_test.cpp Tests of the handshake, the heartbeat, the backoff and the accept gate. */
#include "link/accept_gate_base.h"
#include "link/backoff_base.h"
#include "link/handshake_base.h"
#include "link/liveness_base.h"
#include "link_message_generators.h"

#include <criterion/criterion.h>

using namespace waxwing;
using namespace waxwing_test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{};

/** Times of a link that is closed by its silence timeout only. */
constexpr liveness_settings slow_liveness{seconds(2), seconds(6), seconds(6), seconds(6)};

/** Times of a link that is closed soon after a ping without an answer. */
constexpr liveness_settings quick_liveness{seconds(2), seconds(6), milliseconds(500), milliseconds(1500)};

/** Returns the handshake settings of alpha, which opens a link to beta. */
handshake_settings opener_settings(std::string_view key = "key")
{
    handshake_settings settings;
    settings.m_side = link_side::opener;
    settings.m_key = key;
    settings.m_self = {"alpha"};
    settings.m_peer = {"beta"};
    settings.m_hello.m_nonce = std::string(nonce_size, 'a');
    settings.m_hello.m_instance = 1;
    return settings;
}

/** Returns the handshake settings of beta, which accepts the link. */
handshake_settings acceptor_settings(std::string_view key = "key")
{
    handshake_settings settings;
    settings.m_side = link_side::acceptor;
    settings.m_key = key;
    settings.m_self = {"beta"};
    settings.m_hello.m_nonce = std::string(nonce_size, 'b');
    settings.m_hello.m_instance = 2;
    return settings;
}

/** Returns whether both sides authenticate each other. */
bool both_authenticated(handshake opener, handshake acceptor)
{
    const auto challenge = acceptor.accept(opener.first_message());
    if (challenge.has_error() || challenge.value().m_authenticated) {
        return false;
    }
    const auto claim = opener.accept(challenge.value().m_reply);
    if (claim.has_error() || claim.value().m_authenticated) {
        return false;
    }
    const auto confirmation = acceptor.accept(claim.value().m_reply);
    if (confirmation.has_error() || !confirmation.value().m_authenticated) {
        return false;
    }
    const auto end = opener.accept(confirmation.value().m_reply);
    return end.has_value() && end.value().m_authenticated && opener.peer() == node_id{"beta"} &&
           acceptor.peer() == node_id{"alpha"} && acceptor.peer_hello().m_instance == 1 &&
           opener.peer_hello().m_instance == 2;
}

} // namespace

Test(handshake, proves_the_key_both_ways)
{
    cr_assert(both_authenticated(handshake(opener_settings()), handshake(acceptor_settings())));
    cr_assert(!both_authenticated(handshake(opener_settings("other")), handshake(acceptor_settings())));
}

Test(handshake, the_opener_refuses_an_acceptor_without_the_key)
{
    handshake opener(opener_settings());
    hello message;
    message.m_nonce = std::string(nonce_size, 'm');
    const auto claim = opener.accept(encode_hello(message));
    cr_assert(claim.has_value());
    cr_assert(opener.accept(claim.value().m_reply).has_error(), "the opener accepted its own proof");
    cr_assert(opener.accept(std::string(proof_size, '\0')).has_error());
    cr_assert(opener.accept("").has_error());
}

Test(handshake, a_proof_of_another_handshake_is_refused)
{
    handshake first(acceptor_settings());
    handshake opener(opener_settings());
    const auto claim = opener.accept(first.accept(opener.first_message()).value().m_reply);
    handshake_settings settings = acceptor_settings();
    settings.m_hello.m_nonce = std::string(nonce_size, 'c');
    handshake second(settings);
    cr_assert(second.accept(opener.first_message()).has_value());
    cr_assert(second.accept(claim.value().m_reply).has_error());
    cr_assert(first.accept(claim.value().m_reply).has_value());
}

Test(handshake, any_modification_of_a_hello_is_detected)
{
    cr_assert(rc::check("a modified hello makes the handshake fail", [] {
        handshake opener(opener_settings());
        handshake acceptor(acceptor_settings());
        std::string changed = opener.first_message();
        const auto place = *rc::gen::inRange<std::size_t>(0, changed.size());
        changed[place] = static_cast<char>(changed[place] ^ *rc::gen::inRange(1, 256));
        const auto challenge = acceptor.accept(changed);
        if (challenge.has_value()) {
            const auto claim = opener.accept(challenge.value().m_reply);
            RC_ASSERT(acceptor.accept(claim.value().m_reply).has_error());
        }
    }));
}

Test(handshake, another_node_or_itself_is_refused)
{
    handshake_settings wants_gamma = opener_settings();
    wants_gamma.m_peer = {"gamma"};
    cr_assert(handshake(acceptor_settings()).accept(handshake(wants_gamma).first_message()).has_error());
    handshake_settings is_beta = opener_settings();
    is_beta.m_self = {"beta"};
    cr_assert(handshake(acceptor_settings()).accept(handshake(is_beta).first_message()).has_error());
    handshake_settings nameless = opener_settings();
    nameless.m_self = {};
    cr_assert(handshake(acceptor_settings()).accept(handshake(nameless).first_message()).has_error());
}

Test(handshake, the_newest_common_version_is_chosen)
{
    const auto agreed = [](std::uint16_t oldest, std::uint16_t newest) {
        hello older;
        older.m_oldest = 3;
        older.m_newest = 5;
        hello other;
        other.m_oldest = oldest;
        other.m_newest = newest;
        const result<std::uint16_t> version = agreed_version(older, other);
        return version.has_value() ? version.value() : 0;
    };
    cr_assert(agreed(1, 3) == 3 && agreed(4, 9) == 5 && agreed(5, 5) == 5);
    cr_assert(agreed(1, 2) == 0 && agreed(6, 9) == 0);
    handshake_settings future = opener_settings();
    future.m_hello.m_oldest = link_version_newest + 1;
    future.m_hello.m_newest = link_version_newest + 1;
    cr_assert(handshake(acceptor_settings()).accept(handshake(future).first_message()).has_error());
}

Test(handshake, hellos_round_trip_and_random_bytes_are_refused)
{
    cr_assert(rc::check("decoding restores the encoded hello", [] {
        hello message;
        message.m_nonce = std::string(nonce_size, any<char>());
        message.m_instance = any<std::uint64_t>();
        message.m_message_limit = any<std::uint64_t>();
        message.m_from = {any<std::string>().substr(0, node_name_limit)};
        message.m_to = {any<std::string>().substr(0, node_name_limit)};
        const std::string bytes = encode_hello(message);
        const result<hello> back = decode_hello(bytes);
        RC_ASSERT(back.has_value());
        RC_ASSERT(encode_hello(back.value()) == bytes);
        RC_ASSERT(back.value().m_to == message.m_to);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            RC_ASSERT(decode_hello(std::string_view(bytes).substr(0, size)).has_error());
        }
        RC_ASSERT(decode_hello(any<std::string>()).has_error());
    }));
}

Test(handshake, a_hello_with_zero_streams_is_rejected)
{
    hello message;
    message.m_nonce = std::string(nonce_size, 'n');
    cr_assert(decode_hello(encode_hello(message)).has_value());
    message.m_stream_limit = 0;
    cr_assert(decode_hello(encode_hello(message)).has_error());
}

Test(proof, hmac_agrees_with_rfc_4231)
{
    const std::string digest = hmac_sha256("Jefe", "what do ya want for nothing?");
    const unsigned char expected[] = {0x5b, 0xdc, 0xc1, 0x46, 0xbf, 0x60, 0x75, 0x4e, 0x6a, 0x04, 0x24,
                                      0x26, 0x08, 0x95, 0x75, 0xc7, 0x5a, 0x00, 0x3f, 0x08, 0x9d, 0x27,
                                      0x39, 0x83, 0x9d, 0xec, 0x58, 0xb9, 0x64, 0xec, 0x38, 0x43};
    cr_assert(digest == std::string(reinterpret_cast<const char*>(expected), sizeof expected));
    cr_assert(equal_in_constant_time(digest, digest));
    cr_assert(!equal_in_constant_time(digest, digest.substr(1)));
}

Test(liveness, pings_a_quiet_link_and_closes_a_silent_one)
{
    liveness link(slow_liveness, start);
    cr_assert(link.next_due() == start + seconds(2));
    cr_assert(link.decide(start + milliseconds(1999)) == liveness_step::wait);
    cr_assert(link.decide(start + seconds(2)) == liveness_step::ping);
    cr_assert(link.decide(start + seconds(2)) == liveness_step::wait);
    link.on_bytes_received(start + seconds(3));
    cr_assert(link.next_due() == start + seconds(5));
    cr_assert(link.decide(start + seconds(5)) == liveness_step::ping);
    cr_assert(link.decide(start + seconds(7)) == liveness_step::ping);
    cr_assert(link.next_due() == start + seconds(9));
    cr_assert(link.decide(start + seconds(9) - duration(1)) == liveness_step::wait);
    cr_assert(link.decide(start + seconds(9)) == liveness_step::close);
}

Test(liveness, a_link_in_use_is_never_pinged)
{
    liveness link(slow_liveness, start);
    for (int count = 1; count < 100; ++count) {
        const instant now = start + milliseconds(1900) * count;
        cr_assert(link.decide(now) == liveness_step::wait);
        link.on_bytes_received(now);
    }
}

/** The calls on a connection that had gone silent without a reset were held for up to 6 s. */
Test(liveness, a_silent_link_held_calls_until_its_silence_timeout)
{
    liveness link(quick_liveness, start);
    cr_assert(link.on_request_sent(start + milliseconds(100)));
    cr_assert(!link.on_request_sent(start + milliseconds(200)), "the first call decides");
    cr_assert(link.next_due() == start + milliseconds(600));
    cr_assert(link.decide(start + milliseconds(600)) == liveness_step::ping);
    cr_assert(link.next_due() == start + milliseconds(2100));
    cr_assert(link.decide(start + milliseconds(2099)) == liveness_step::wait);
    cr_assert(link.decide(start + milliseconds(2100)) == liveness_step::close);
}

Test(liveness, an_idle_link_that_went_silent_is_closed_after_its_heartbeat)
{
    liveness link(quick_liveness, start);
    cr_assert(link.decide(start + seconds(2)) == liveness_step::ping);
    cr_assert(link.decide(start + milliseconds(3499)) == liveness_step::wait);
    cr_assert(link.decide(start + milliseconds(3500)) == liveness_step::close);
}

Test(liveness, a_link_with_a_slow_target_is_pinged_and_stays)
{
    liveness link(quick_liveness, start);
    link.on_request_sent(start);
    instant now = start;
    for (int count = 0; count < 20; ++count) {
        now = link.next_due();
        cr_assert(link.decide(now) == liveness_step::ping);
        now += milliseconds(1400);
        cr_assert(link.decide(now) == liveness_step::wait);
        link.on_bytes_received(now);
    }
}

Test(liveness, a_link_whose_ping_waits_behind_a_long_message_stays)
{
    liveness link(quick_liveness, start);
    link.on_request_sent(start);
    cr_assert(link.decide(start + milliseconds(500)) == liveness_step::ping);
    link.on_progress(start + milliseconds(1900));
    cr_assert(link.decide(start + milliseconds(2000)) == liveness_step::wait);
    cr_assert(link.decide(start + milliseconds(3400)) == liveness_step::close);
}

Test(backoff, delays_are_spread_below_a_doubling_bound)
{
    cr_assert(rc::check("0 <= delay <= min(max, min * 2^n)", [] {
        random_source random(any<std::uint64_t>());
        backoff delays(milliseconds(100), seconds(10));
        duration bound = milliseconds(100);
        for (int count = 0; count < 12; ++count) {
            const duration delay = delays.next_delay(random);
            RC_ASSERT(delay >= duration::zero());
            RC_ASSERT(delay <= bound);
            bound = std::min<duration>(2 * bound, seconds(10));
        }
    }));
}

Test(backoff, delays_cover_the_whole_range)
{
    random_source random(1);
    int low = 0;
    int high = 0;
    constexpr int draws = 1000;
    for (int count = 0; count < draws; ++count) {
        backoff delays(milliseconds(100), seconds(10));
        const duration delay = delays.next_delay(random);
        low += delay < milliseconds(25) ? 1 : 0;
        high += delay > milliseconds(75) ? 1 : 0;
    }
    cr_assert(low > draws / 5 && low < draws / 3 && high > draws / 5 && high < draws / 3);
}

Test(backoff, only_a_long_lived_link_resets_the_bound)
{
    const auto next_delay_after = [](duration up_duration) {
        random_source random(1);
        backoff delays(milliseconds(100), seconds(10));
        for (int count = 0; count < 10; ++count) {
            delays.next_delay(random);
        }
        delays.on_link_lost(up_duration);
        return delays.next_delay(random);
    };
    cr_assert(next_delay_after(seconds(10)) <= milliseconds(100));
    cr_assert(next_delay_after(seconds(9)) > milliseconds(100));
}

Test(accept_gate, evicts_only_the_old_and_only_when_full)
{
    cr_assert(decide_accept(0, {}) == accept_step::accept);
    cr_assert(decide_accept(unauthenticated_limit - 1, seconds(9)) == accept_step::accept);
    cr_assert(decide_accept(unauthenticated_limit, unauthenticated_grace_period - duration(1)) ==
              accept_step::wait);
    cr_assert(decide_accept(unauthenticated_limit, unauthenticated_grace_period) ==
              accept_step::evict_oldest);
}
