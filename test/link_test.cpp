/** @file link_test.cpp Tests of the link task over loopback sockets. */
#include "link_fleet.h"

#include <algorithm>

using namespace waxwing;
using namespace waxwing_test;

namespace {

/** Returns the attempts of the calls in @p events. */
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
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    call_message request = call_of(7);
    std::string body;
    for (int count = 0; count < 1024 * 1024; ++count) {
        body.push_back(static_cast<char>(count * 7));
    }
    request.m_call.m_body = std::move(body);
    alpha.m_task->send({"beta"}, request);
    fleet.run_until([&] { return beta.count<link_received>() == 1; });
    const link_received call = beta.events<link_received>().front();
    cr_assert(call.m_peer == node_id{"alpha"});
    cr_assert(std::get<call_message>(call.m_message).m_call.m_body == request.m_call.m_body);

    beta.m_task->send({"alpha"}, answer_of(7));
    fleet.run_until([&] { return alpha.count<link_received>() == 1; });
    const link_received answer = alpha.events<link_received>().front();
    cr_assert(std::get<answer_message>(answer.m_message).m_attempt == attempt_id{7});
    cr_assert(alpha.count<link_up>() == 1 && alpha.count<link_down>() == 0);
    cr_assert(alpha.m_task->counters().m_messages_out == 1 && alpha.m_task->counters().m_messages_in == 1);
}

Test(link, many_calls_of_mixed_sizes_arrive_once_each_both_ways)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    constexpr std::uint64_t calls = 300;
    for (std::uint64_t attempt = 0; attempt < calls; ++attempt) {
        const std::size_t size = attempt % 10 == 0 ? 300 * 1024 : 400;
        alpha.m_task->send({"beta"}, call_of(attempt, size));
        beta.m_task->send({"alpha"}, call_of(attempt, size));
    }
    fleet.run_until(
        [&] { return alpha.count<link_received>() == calls && beta.count<link_received>() == calls; });
    for (const test_node* node : {&alpha, &beta}) {
        std::vector<std::uint64_t> attempts = attempts_in(node->events<link_received>());
        std::sort(attempts.begin(), attempts.end());
        for (std::uint64_t attempt = 0; attempt < calls; ++attempt) {
            cr_assert(attempts[attempt] == attempt);
        }
    }
}

Test(link, a_different_key_gives_no_link)
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

Test(link, an_unexpected_peer_name_gives_no_link)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    alpha.m_task->connect({"gamma"}, beta.m_task->address());
    fleet.run_until([&] { return beta.m_task->counters().m_refused >= 2; });
    cr_assert(alpha.m_events.empty() && beta.m_events.empty());
}

Test(link, simultaneous_links_are_reduced_to_one)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    alpha.m_task->connect({"beta"}, beta.m_task->address());
    beta.m_task->connect({"alpha"}, alpha.m_task->address());
    std::size_t max_links = 0;
    std::uint64_t sent = 0;
    fleet.run_until(
        [&] {
            if (alpha.m_task->is_up({"beta"}) && sent < 50) {
                alpha.m_task->send({"beta"}, call_of(++sent, 40 * 1024));
            }
            max_links = std::max(max_links, alpha.m_task->counters().m_links);
            return sent == 50 && beta.count<link_received>() == sent &&
                   alpha.m_task->counters().m_links == 1 && beta.m_task->counters().m_links == 1;
        },
        duration::zero());
    cr_assert(max_links == 2, "the two links were not up at the same time");
    for (const test_node* node : {&alpha, &beta}) {
        cr_assert(node->count<link_up>() == 1 && node->count<link_down>() == 0);
        cr_assert(node->count<link_undelivered>() == 0);
    }
}

Test(link, a_stopped_peer_is_reported_once_and_reconnected)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    const endpoint address = beta.m_task->address();
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    beta.m_task.reset();
    fleet.run_until([&] { return alpha.count<link_down>() == 1; });
    cr_assert(!alpha.m_task->is_up({"beta"}));
    alpha.m_task->send({"beta"}, call_of(1));
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 1; });

    link_settings settings = settings_of("beta");
    settings.m_listen = address;
    test_node& restarted = fleet.start(settings);
    fleet.run_until([&] { return alpha.count<link_up>() == 2 && restarted.count<link_up>() == 1; });
    alpha.m_task->send({"beta"}, call_of(2));
    fleet.run_until([&] { return restarted.count<link_received>() == 1; });
    cr_assert(attempts_in(restarted.events<link_received>()).front() == 2);
}

Test(link, a_restarted_peer_replaces_its_old_links)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& old_instance = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", old_instance, "beta");
    test_node& new_instance = fleet.start("beta");
    new_instance.m_task->connect({"alpha"}, alpha.m_task->address());
    fleet.run_until([&] { return new_instance.count<link_up>() == 1 && alpha.count<link_up>() == 2; });
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
    fleet.link_nodes(alpha, "alpha", before, "beta");
    alpha.m_task->connect({"beta"}, after.m_task->address());
    fleet.run_until([&] { return after.count<link_up>() == 1 && before.count<link_down>() == 1; });
    fleet.run_until([&] { return alpha.count<link_up>() == 2; });
    alpha.m_task->send({"beta"}, call_of(1));
    fleet.run_until([&] { return after.count<link_received>() == 1; });
    cr_assert(before.count<link_received>() == 0);
}

Test(link, a_forgotten_peer_is_disconnected_once_its_call_is_answered)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    alpha.m_task->send({"beta"}, call_of(1));
    fleet.run_until([&] { return beta.count<link_received>() == 1; });
    alpha.m_task->forget({"beta"});
    const std::uint64_t before = alpha.m_task->counters().m_bytes_in;
    fleet.run_until([&] { return alpha.m_task->counters().m_bytes_in > before; });
    cr_assert(alpha.count<link_down>() == 0, "the link ended while a call was unanswered");
    beta.m_task->send({"alpha"}, answer_of(1));
    fleet.run_until([&] { return alpha.count<link_down>() == 1 && beta.count<link_down>() == 1; });
    cr_assert(alpha.count<link_received>() == 1);
    cr_assert(alpha.m_task->counters().m_links == 0);
}

Test(link, no_call_is_sent_to_a_leaving_peer)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", beta, "beta");
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

Test(link, a_cancelled_unsent_call_is_returned)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    test_node& beta = fleet.start("beta");
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    alpha.m_task->send({"beta"}, call_of(1));
    alpha.m_task->send({"beta"}, cancel_message{{1}});
    alpha.m_task->send({"beta"}, call_of(2));
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 2 && beta.count<link_received>() == 1; });
    cr_assert(attempts_in(alpha.events<link_undelivered>()) == std::vector<std::uint64_t>{1});
    cr_assert(attempts_in(beta.events<link_received>()) == std::vector<std::uint64_t>{2});
}

Test(link, a_message_above_the_peers_limit_is_returned)
{
    test_fleet fleet;
    test_node& alpha = fleet.start("alpha");
    link_settings settings = settings_of("beta");
    settings.m_message_limit = 100 * 1024;
    test_node& beta = fleet.start(settings);
    fleet.link_nodes(alpha, "alpha", beta, "beta");
    alpha.m_task->send({"beta"}, call_of(1, 200 * 1024));
    alpha.m_task->send({"beta"}, call_of(2, 50 * 1024));
    fleet.run_until([&] { return alpha.count<link_undelivered>() == 1 && beta.count<link_received>() == 1; });
    cr_assert(attempts_in(alpha.events<link_undelivered>()) == std::vector<std::uint64_t>{1});
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
