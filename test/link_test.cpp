/** @file link_test.cpp Tests of the link task over loopback sockets. */
#include "link_fleet.h"

#include <algorithm>

using namespace waxwing;
using namespace waxwing_test;

namespace {

/** Gives the attempts of the calls among @p messages. */
template<class Event>
std::vector<std::uint64_t> attempts_in(const std::vector<Event>& events)
{
    std::vector<std::uint64_t> attempts;
    for (const Event& event : events) {
        if (const auto* call = std::get_if<call_message>(&event.m_message); call != nullptr) {
            attempts.push_back(call->m_attempt.m_value);
        }
    }
    return attempts;
}

} // namespace

Test(link, carries_a_large_call_and_its_answer)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link(alpha, "alpha", beta, "beta");
    call_message asked = call_of(7);
    for (int count = 0; count < 1024 * 1024; ++count) {
        asked.m_call.m_body.push_back(static_cast<char>(count * 7));
    }
    alpha.m_task->send({"beta"}, asked);
    fleet.run_until([&] { return beta.count<link_received>() == 1; });
    const link_received call = beta.all<link_received>().front();
    cr_assert(call.m_peer == node_id{"alpha"});
    cr_assert(std::get<call_message>(call.m_message).m_call.m_body == asked.m_call.m_body);

    beta.m_task->send({"alpha"}, answer_of(7));
    fleet.run_until([&] { return alpha.count<link_received>() == 1; });
    const link_received answer = alpha.all<link_received>().front();
    cr_assert(std::get<answer_message>(answer.m_message).m_attempt == attempt_id{7});
    cr_assert(alpha.count<link_up>() == 1 && alpha.count<link_down>() == 0);
    cr_assert(alpha.m_task->counters().m_messages_out == 1 && alpha.m_task->counters().m_messages_in == 1);
}

Test(link, many_calls_of_mixed_sizes_arrive_once_each_both_ways)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link(alpha, "alpha", beta, "beta");
    constexpr std::uint64_t calls = 300;
    for (std::uint64_t attempt = 0; attempt < calls; ++attempt) {
        const std::size_t size = attempt % 10 == 0 ? 300 * 1024 : 400;
        alpha.m_task->send({"beta"}, call_of(attempt, size));
        beta.m_task->send({"alpha"}, call_of(attempt, size));
    }
    fleet.run_until(
        [&] { return alpha.count<link_received>() == calls && beta.count<link_received>() == calls; });
    for (const test_node* node : {&alpha, &beta}) {
        std::vector<std::uint64_t> attempts = attempts_in(node->all<link_received>());
        std::sort(attempts.begin(), attempts.end());
        for (std::uint64_t attempt = 0; attempt < calls; ++attempt) {
            cr_assert(attempts[attempt] == attempt);
        }
    }
}

Test(link, another_key_gives_no_link)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    link_settings settings = settings_of("beta");
    settings.m_shared_key = "another key";
    test_node& beta = fleet.start(settings);
    alpha.m_task->connect({"beta"}, beta.m_task->address());
    fleet.run_until([&] { return beta.m_task->counters().m_refused >= 3; });
    cr_assert(alpha.m_events.empty() && beta.m_events.empty());
    cr_assert(!alpha.m_task->is_up({"beta"}) && !beta.m_task->is_up({"alpha"}));
}

Test(link, another_name_than_the_one_wanted_gives_no_link)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    alpha.m_task->connect({"gamma"}, beta.m_task->address());
    fleet.run_until([&] { return beta.m_task->counters().m_refused >= 2; });
    cr_assert(alpha.m_events.empty() && beta.m_events.empty());
}

Test(link, two_that_open_at_once_settle_on_one_link)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    alpha.m_task->connect({"beta"}, beta.m_task->address());
    beta.m_task->connect({"alpha"}, alpha.m_task->address());
    std::size_t most = 0;
    std::uint64_t sent = 0;
    fleet.run_until(
        [&] {
            if (alpha.m_task->is_up({"beta"}) && sent < 50) {
                alpha.m_task->send({"beta"}, call_of(++sent, 40 * 1024));
            }
            most = std::max(most, alpha.m_task->counters().m_links);
            return sent == 50 && beta.count<link_received>() == sent &&
                   alpha.m_task->counters().m_links == 1 && beta.m_task->counters().m_links == 1;
        },
        duration::zero());
    cr_assert(most == 2, "the links were not opened at once");
    for (const test_node* node : {&alpha, &beta}) {
        cr_assert(node->count<link_up>() == 1 && node->count<link_down>() == 0);
        cr_assert(node->count<link_undelivered>() == 0);
    }
}

Test(link, a_peer_that_ends_is_told_once_and_found_again)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    const endpoint address = beta.m_task->address();
    fleet.link(alpha, "alpha", beta, "beta");
    beta.m_task.reset();
    fleet.run_until([&] { return alpha.count<link_down>() == 1; });
    cr_assert(!alpha.m_task->is_up({"beta"}));
    alpha.m_task->send({"beta"}, call_of(1));
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 1; });

    link_settings settings = settings_of("beta");
    settings.m_listen = address;
    test_node& again = fleet.start(settings);
    fleet.run_until([&] { return alpha.count<link_up>() == 2 && again.count<link_up>() == 1; });
    alpha.m_task->send({"beta"}, call_of(2));
    fleet.run_until([&] { return again.count<link_received>() == 1; });
    cr_assert(attempts_in(again.all<link_received>()).front() == 2);
}

Test(link, a_new_life_of_a_peer_ends_the_links_of_the_old_one)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& old_life = fleet.start("beta");
    fleet.link(alpha, "alpha", old_life, "beta");
    test_node& new_life = fleet.start("beta");
    new_life.m_task->connect({"alpha"}, alpha.m_task->address());
    fleet.run_until([&] { return new_life.count<link_up>() == 1 && alpha.count<link_up>() == 2; });
    cr_assert(alpha.count<link_down>() == 1);
    alpha.m_task->forget({"beta"});
    cr_assert(std::holds_alternative<link_down>(alpha.m_events[1]));
    cr_assert(std::holds_alternative<link_up>(alpha.m_events[2]));
}

Test(link, a_changed_address_replaces_the_link)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& before = fleet.start("beta");
    test_node& after = fleet.start("beta");
    fleet.link(alpha, "alpha", before, "beta");
    alpha.m_task->connect({"beta"}, after.m_task->address());
    fleet.run_until([&] { return after.count<link_up>() == 1 && before.count<link_down>() == 1; });
    fleet.run_until([&] { return alpha.count<link_up>() == 2; });
    alpha.m_task->send({"beta"}, call_of(1));
    fleet.run_until([&] { return after.count<link_received>() == 1; });
    cr_assert(before.count<link_received>() == 0);
}

Test(link, a_forgotten_peer_is_left_once_its_call_is_answered)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link(alpha, "alpha", beta, "beta");
    alpha.m_task->send({"beta"}, call_of(1));
    fleet.run_until([&] { return beta.count<link_received>() == 1; });
    alpha.m_task->forget({"beta"});
    const std::uint64_t before = alpha.m_task->counters().m_bytes_in;
    fleet.run_until([&] { return alpha.m_task->counters().m_bytes_in > before; });
    cr_assert(alpha.count<link_down>() == 0, "the link went while a call waited");
    beta.m_task->send({"alpha"}, answer_of(1));
    fleet.run_until([&] { return alpha.count<link_down>() == 1 && beta.count<link_down>() == 1; });
    cr_assert(alpha.count<link_received>() == 1);
    cr_assert(alpha.m_task->counters().m_links == 0);
}

Test(link, no_call_goes_to_a_peer_that_leaves)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link(alpha, "alpha", beta, "beta");
    beta.m_task->send({"alpha"}, call_of(1));
    fleet.run_until([&] { return alpha.count<link_received>() == 1; });
    const std::uint64_t before = beta.m_task->counters().m_bytes_in;
    alpha.m_task->forget({"beta"});
    fleet.run_until([&] { return beta.m_task->counters().m_bytes_in > before; });
    beta.m_task->send({"alpha"}, call_of(2));
    fleet.run_until([&] { return beta.count<link_undelivered>() == 1; });
    alpha.m_task->send({"beta"}, answer_of(1));
    fleet.run_until([&] { return beta.count<link_down>() == 1; });
    cr_assert(beta.count<link_received>() == 1 && alpha.count<link_received>() == 1);
}

Test(link, a_link_to_itself_is_refused)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& other = fleet.start("alpha");
    alpha.m_task->connect({"alpha"}, alpha.m_task->address());
    alpha.m_task->send({"alpha"}, call_of(1));
    other.m_task->connect({"beta"}, alpha.m_task->address());
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 1; });
    cr_assert(alpha.count<link_up>() == 0 && alpha.m_task->counters().m_bytes_out == 0);
}

Test(link, events_never_come_from_within_a_call)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    alpha.m_task->send({"nobody"}, call_of(1));
    cr_assert(alpha.m_events.empty());
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 1; });
}

Test(link, a_cancelled_call_of_which_nothing_was_sent_comes_back)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link(alpha, "alpha", beta, "beta");
    alpha.m_task->send({"beta"}, call_of(1));
    alpha.m_task->send({"beta"}, cancel_message{{1}});
    alpha.m_task->send({"beta"}, call_of(2));
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 2 && beta.count<link_received>() == 1; });
    cr_assert(attempts_in(alpha.all<link_undelivered>()) == std::vector<std::uint64_t>{1});
    cr_assert(attempts_in(beta.all<link_received>()) == std::vector<std::uint64_t>{2});
}

Test(link, a_message_above_the_peers_limit_comes_back)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    link_settings settings = settings_of("beta");
    settings.m_message_limit = 100 * 1024;
    test_node& beta = fleet.start(settings);
    fleet.link(alpha, "alpha", beta, "beta");
    alpha.m_task->send({"beta"}, call_of(1, 200 * 1024));
    alpha.m_task->send({"beta"}, call_of(2, 50 * 1024));
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 1 && beta.count<link_received>() == 1; });
    cr_assert(attempts_in(alpha.all<link_undelivered>()) == std::vector<std::uint64_t>{1});
    cr_assert(beta.m_task->counters().m_malformed == 0);
}

Test(link, wrong_settings_are_refused)
{
    event_loop loop;
    const auto refused = [&](auto change) {
        link_settings settings = settings_of("alpha");
        change(settings);
        return link_task::open(loop, settings, 1, [](link_event&&) {}).has_error();
    };
    cr_assert(refused([](link_settings& settings) { settings.m_self = {}; }));
    cr_assert(refused([](link_settings& settings) { settings.m_self = {std::string(256, 'x')}; }));
    cr_assert(refused([](link_settings& settings) { settings.m_shared_key.clear(); }));
    cr_assert(refused([](link_settings& settings) { settings.m_heartbeat = settings.m_silence_timeout; }));
    cr_assert(refused([](link_settings& settings) { settings.m_min_reconnect_delay = {}; }));
    cr_assert(refused([](link_settings& settings) { settings.m_max_reconnect_delay = {}; }));
    cr_assert(refused([](link_settings& settings) { settings.m_message_limit = 0; }));
    cr_assert(refused([](link_settings& settings) { settings.m_listen = {"example.org", 1}; }));
    cr_assert(refused([](link_settings& settings) { settings.m_listen = {"192.0.2.1", 1}; }));
}
