/** @file member_probe_test.cpp Tests of probes and merging with single messages. */
#include "member/gossip_codec_func.h"
#include "member/member.h"

#include <criterion/criterion.h>
#include <malloc.h>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

const instant start{1h};
const endpoint peer_address{"10.0.0.2", 7400};

/** Returns a record of @p name. */
member_record record_of(const std::string& name, std::uint64_t incarnation_value, const endpoint& address)
{
    member_record record;
    record.m_node = {name};
    record.m_incarnation = {incarnation_value};
    record.m_version = 3;
    record.m_gossip = address;
    record.m_link = {address.m_host, 7401};
    return record;
}

/** Returns the first message of @p kind in @p actions. */
std::optional<gossip_message> first_of(gossip_kind kind, const std::vector<member_action>& actions)
{
    for (const member_action& action : actions) {
        const auto* const out = std::get_if<member_send>(&action);
        if (out != nullptr && decode_gossip(out->m_payload).value().m_kind == kind) {
            return decode_gossip(out->m_payload).value();
        }
    }
    return std::nullopt;
}

/** A node that knows one peer in incarnation 5 and has just sent it a ping. */
struct prober {
    membership m_node{{}, record_of("me", 1, {"10.0.0.1", 7400}), 1}; ///< Node under test.
    instant m_now = start;                                            ///< Simulated time.
    std::uint64_t m_sequence = 0;                                     ///< Sequence number of the ping.

    prober()
    {
        std::vector<member_action> actions;
        m_node.add_registered(m_now, {{"member/peer", encode_row(record_of("peer", 5, peer_address))}},
                              actions);
        m_node.tick(m_now, actions);
        const auto ping = first_of(gossip_kind::ping, actions);
        cr_assert(ping && ping->m_node.m_value == "peer" && ping->m_incarnation.m_value == 5);
        m_sequence = ping->m_sequence;
    }

    /** Delivers @p message from the peer's address. */
    std::vector<member_action> receive(const gossip_message& message)
    {
        std::vector<member_action> actions;
        m_node.receive(m_now, peer_address, encode_gossip(message), actions);
        return actions;
    }

    /** Answers the ping with an ack from @p from. */
    void answer(const member_record& from)
    {
        gossip_message ack;
        ack.m_kind = gossip_kind::ack;
        ack.m_from = from;
        ack.m_sequence = m_sequence;
        receive(ack);
    }

    /** Ticks until the probe has failed or was answered. @return the state of the peer. */
    member_state peer_after_timeout()
    {
        while (m_now < start + 950ms) {
            m_now = std::max(m_now + 1ms, m_node.next_tick());
            std::vector<member_action> actions;
            m_node.tick(m_now, actions);
            if (m_now > start + 850ms && m_now < start + 950ms) {
                break;
            }
        }
        return m_node.find({"peer"})->m_state;
    }
};

} // namespace

Test(member_probe, an_answer_in_time_is_proof)
{
    prober node;
    node.answer(record_of("peer", 5, peer_address));
    cr_assert(node.peer_after_timeout() == member_state::alive);
}

Test(member_probe, no_answer_makes_a_suspect)
{
    prober node;
    cr_assert(node.peer_after_timeout() == member_state::suspect);
}

Test(member_probe, the_answer_of_another_node_is_no_proof)
{
    prober node;
    node.answer(record_of("stranger", 9, peer_address));
    cr_assert(node.peer_after_timeout() == member_state::suspect);
}

Test(member_probe, the_answer_of_an_older_life_is_no_proof)
{
    prober node;
    node.answer(record_of("peer", 4, peer_address));
    cr_assert(node.peer_after_timeout() == member_state::suspect);
    cr_assert(node.m_node.find({"peer"})->m_incarnation.m_value == 5);
}

Test(member_probe, an_answer_to_another_probe_is_no_proof)
{
    prober node;
    ++node.m_sequence;
    node.answer(record_of("peer", 5, peer_address));
    cr_assert(node.peer_after_timeout() == member_state::suspect);
}

Test(member_probe, a_helper_proves_only_the_life_that_was_asked_for)
{
    for (const std::uint64_t incarnation_value : {4, 5}) {
        prober node;
        gossip_message indirect_ack;
        indirect_ack.m_kind = gossip_kind::indirect_ack;
        indirect_ack.m_sequence = node.m_sequence;
        indirect_ack.m_node = {"peer"};
        indirect_ack.m_incarnation = {incarnation_value};
        node.receive(indirect_ack);
        cr_assert((node.peer_after_timeout() == member_state::alive) == (incarnation_value == 5));
    }
}

Test(member_probe, a_ping_for_another_node_or_a_later_life_gets_no_ack)
{
    prober node;
    gossip_message ping;
    ping.m_kind = gossip_kind::ping;
    ping.m_from = record_of("peer", 5, peer_address);
    ping.m_node = {"me"};
    ping.m_incarnation = {1};
    cr_assert(first_of(gossip_kind::ack, node.receive(ping)).has_value());
    ping.m_incarnation = {2};
    cr_assert(!first_of(gossip_kind::ack, node.receive(ping)).has_value());
    ping.m_incarnation = {1};
    ping.m_node = {"you"};
    const auto reply = node.receive(ping);
    cr_assert(!first_of(gossip_kind::ack, reply) && first_of(gossip_kind::other, reply));
}

Test(member_probe, a_helper_pings_with_its_own_sequence_and_passes_the_answer_back)
{
    prober node;
    gossip_message request;
    request.m_kind = gossip_kind::ping_request;
    request.m_from = record_of("asker", 2, {"10.0.0.3", 7400});
    request.m_sequence = 77;
    request.m_node = {"peer"};
    request.m_incarnation = {5};
    request.m_address = peer_address;
    const auto ping = first_of(gossip_kind::ping, node.receive(request));
    cr_assert(ping && ping->m_sequence != node.m_sequence && ping->m_sequence != 77);
    gossip_message ack;
    ack.m_kind = gossip_kind::ack;
    ack.m_from = record_of("peer", 5, peer_address);
    ack.m_sequence = ping->m_sequence;
    const auto indirect_ack = first_of(gossip_kind::indirect_ack, node.receive(ack));
    cr_assert(indirect_ack && indirect_ack->m_sequence == 77 && indirect_ack->m_node.m_value == "peer" &&
              indirect_ack->m_items.size() == 1);
    cr_assert(!first_of(gossip_kind::indirect_ack, node.receive(ack)).has_value());
}

Test(member_probe, a_claim_about_the_own_incarnation_is_refuted_but_not_a_record_of_another_process)
{
    prober node;
    gossip_message rumour;
    rumour.m_items = {member_claim{{"me"}, {1}, 5, member_state::dead}};
    node.receive(rumour);
    cr_assert(node.m_node.self().m_version == 6);
    rumour.m_items = {member_claim{{"me"}, {1}, 5, member_state::dead}};
    node.receive(rumour);
    cr_assert(node.m_node.self().m_version == 6);
    rumour.m_items = {record_of("me", 8, {"10.0.0.99", 7400})};
    node.receive(rumour);
    cr_assert(node.m_node.self().m_incarnation.m_value == 1);
}

Test(member_probe, a_record_with_an_older_revision_does_not_lower_the_revision)
{
    prober node;
    gossip_message rumour;
    rumour.m_items = {revision_note{{"peer"}, {5}, {10}}};
    node.receive(rumour);
    member_record later = record_of("peer", 5, peer_address);
    later.m_version = 4;
    later.m_revision = {9};
    rumour.m_items = {later};
    node.receive(rumour);
    const member_record& current = *node.m_node.find({"peer"});
    cr_assert(current.m_version == 4 && current.m_revision.m_value == 10);
}

Test(member_probe, a_version_once_seen_is_never_replaced_by_an_older_one)
{
    prober node;
    gossip_message rumour;
    member_record changed = record_of("peer", 5, peer_address);
    changed.m_version = 7;
    changed.m_target = target_state::draining;
    for (const auto& [incarnation_value, version] : {std::pair{5, 7}, {5, 6}, {4, 99}}) {
        changed.m_incarnation = {static_cast<std::uint64_t>(incarnation_value)};
        changed.m_version = static_cast<std::uint64_t>(version);
        rumour.m_items = {changed};
        node.receive(rumour);
        changed.m_target = target_state::ready;
    }
    cr_assert(node.m_node.find({"peer"})->m_target == target_state::draining);
    rumour.m_items = {member_claim{{"peer"}, {5}, 6, member_state::suspect}};
    node.receive(rumour);
    cr_assert(node.m_node.find({"peer"})->m_state == member_state::alive);
}

Test(member_probe, a_page_never_exceeds_a_datagram)
{
    prober node;
    std::vector<std::pair<std::string, std::string>> rows;
    for (std::size_t index = 1; index <= 60; ++index) {
        const std::string name = "n" + std::string(index % 50, 'x') + std::to_string(index);
        rows.emplace_back("member/" + name, encode_row(record_of(name, index, peer_address)));
    }
    std::vector<member_action> actions;
    node.m_node.add_registered(node.m_now, rows, actions);
    gossip_message pull;
    pull.m_kind = gossip_kind::pull;
    pull.m_digests.assign(64, 1);
    std::size_t longest = 0;
    for (int turn = 0; turn < 300; ++turn) {
        const std::vector<member_action> reply = node.receive(pull);
        longest = std::max(longest, std::get<member_send>(reply.front()).m_payload.size());
    }
    cr_assert(longest > 1180 && longest <= 1200, "%zu", longest);
}

Test(member_probe, a_member_that_dies_and_returns_again_and_again_takes_no_more_memory)
{
    prober node;
    gossip_message rumour;
    member_record peer = record_of("peer", 5, peer_address);
    std::size_t used_bytes = 0;
    for (int turn = 0; turn < 10000; ++turn) {
        rumour.m_items = {
            member_claim{peer.m_node, peer.m_incarnation, peer.m_version, member_state::suspect}};
        node.receive(rumour);
        for (int step = 0; step < 12; ++step) {
            node.m_now += 400ms;
            std::vector<member_action> actions;
            node.m_node.tick(node.m_now, actions);
        }
        cr_assert(node.m_node.find(peer.m_node)->m_state == member_state::dead);
        ++peer.m_version;
        rumour.m_items = {peer};
        node.receive(rumour);
        cr_assert(node.m_node.find(peer.m_node)->m_state == member_state::alive);
        if (turn == 100) {
            used_bytes = mallinfo2().uordblks;
        }
    }
    constexpr std::size_t tolerance = 50000;
    cr_assert(mallinfo2().uordblks < used_bytes + tolerance, "%zu -> %zu", used_bytes, mallinfo2().uordblks);
}

Test(member_probe, a_lasting_difference_of_digests_is_repaired_by_a_pull)
{
    for (const bool digests_match_once : {false, true}) {
        prober node;
        gossip_message ping;
        ping.m_kind = gossip_kind::ping;
        ping.m_from = record_of("peer", 5, peer_address);
        ping.m_node = {"me"};
        ping.m_incarnation = {1};
        const auto advance = [&](duration time) {
            for (duration passed{}; passed < time; passed += 50ms) {
                node.m_now += 50ms;
                std::vector<member_action> actions;
                node.m_node.tick(node.m_now, actions);
            }
        };
        advance(3s); // Longer than the minimum interval between pulls.
        const auto matching_ack = first_of(gossip_kind::ack, node.receive(ping));
        cr_assert(matching_ack && matching_ack->m_digests.size() == 1);
        ping.m_digests = {matching_ack->m_digests.front() + 1};
        cr_assert(!first_of(gossip_kind::pull, node.receive(ping)));
        advance(350ms);
        gossip_message same = ping;
        same.m_digests = matching_ack->m_digests;
        node.receive(digests_match_once ? same : ping);
        advance(350ms);
        const auto pull = first_of(gossip_kind::pull, node.receive(ping));
        cr_assert(pull.has_value() != digests_match_once);
        cr_assert(digests_match_once || pull->m_digests.size() == 64);
    }
}

/** The row of a node that started after the copy was made is missing from the restored table. */
Test(member_probe, a_row_lost_by_a_restored_table_is_written_again)
{
    prober node;
    node.m_node.on_registered(node.m_now, true);
    node.m_node.on_table_restored(node.m_now);
    bool is_written = false;
    while (!is_written && node.m_now < start + 10s) {
        node.m_now = std::max(node.m_now + 1ms, node.m_node.next_tick());
        std::vector<member_action> actions;
        node.m_node.tick(node.m_now, actions);
        is_written = std::any_of(actions.begin(), actions.end(), [](const member_action& action) {
            const auto* const registration = std::get_if<member_register>(&action);
            return registration != nullptr && !registration->m_remove && !registration->m_value.empty();
        });
    }
    cr_assert(is_written);
}
