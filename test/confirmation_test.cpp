/** @file confirmation_test.cpp Tests of confirmations that the revision in force was the newest one. */
#include "member/member.h"
#include "test/confirmation_world.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>
#include <set>

using namespace waxwing;
using namespace waxwing::model;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tested = 2; ///< Node that is neither a watcher nor the only one of its data centre.

/** One line of the truth table of docs/design/organisations.md. */
struct truth {
    bool m_reaches_store;
    bool m_reaches_peer; ///< The peer reaches the store.
    bool m_is_frozen;    ///< For longer than the revocation timeout, until the request arrives.
    bool m_is_restarted; ///< A revision is in force again, and nothing else has arrived.
    duration m_age;      ///< Age of the last confirmation, as far as the other inputs allow it.
};

/** Brings the tested node into the state of @p input. */
void prepare(confirmation_world& world, const truth& input)
{
    world.run(5s);
    world.m_nodes[tested].m_reaches_store = input.m_reaches_store;
    world.m_nodes[tested].m_reaches_peers = input.m_reaches_peer;
    world.drop_all();
    const duration passed = world.clock(tested) - world.m_nodes[tested].m_state.confirmed_at().value();
    world.run(input.m_age - passed);
    if (input.m_is_frozen) {
        world.m_nodes[tested].m_frozen_until = world.m_now + 5s;
        world.run(5s);
    }
    if (input.m_is_restarted) {
        world.restart(tested);
        world.put_in_force(tested, 1);
    }
}

} // namespace

/** A node that was cut off, frozen or restarted must not accept a key that may have been withdrawn, and one
 * in touch with the store or a peer must not refuse one for good. */
Test(confirmation, the_truth_table_decides_whether_a_key_is_accepted)
{
    for (unsigned line = 0; line < 48; ++line) {
        const truth input{(line & 1U) != 0, (line & 2U) != 0, (line & 4U) != 0, (line & 8U) != 0,
                          std::array<duration, 3>{3s, 4790ms, 4800ms}[line / 16]};
        const bool is_in_touch = input.m_reaches_store || input.m_reaches_peer;
        const bool is_accepted =
            !input.m_is_frozen && !input.m_is_restarted && (is_in_touch || input.m_age < 4800ms);
        confirmation_world world(4, 2, line);
        prepare(world, input);
        cr_expect(world.is_current(tested) == is_accepted, "line %u", line);
        if (is_in_touch) {
            world.run(2500ms);
            cr_expect(world.is_current(tested), "line %u: recovers", line);
        }
    }
}

/** The age of an answer must be taken from when the question was sent: any later time would count a revision
 * as the newest one after its successor was accepted. */
Test(confirmation, never_lies_after_the_last_moment_at_which_the_revision_was_the_newest)
{
    cr_assert(rc::check("any order, delay and loss, any freeze and restart", [](std::uint64_t seed) {
        confirmation_world world(5, 2, seed);
        world.m_max_delay_ms = world.draw(1, 3000);
        world.m_loss_percent = world.draw(0, 40);
        world.m_repeat_percent = world.draw(0, 40);
        for (int round = 0; round < 60; ++round) {
            const auto index = static_cast<std::size_t>(world.draw(0, 4));
            confirmed_node& node = world.m_nodes[index];
            switch (world.draw(0, 5)) {
            case 0:
                world.publish();
                break;
            case 1:
                node.m_frozen_until = world.m_now + std::chrono::milliseconds(world.draw(1, 8000));
                break;
            case 2:
                world.restart(index);
                break;
            case 3:
                node.m_reaches_store = !node.m_reaches_store;
                break;
            case 4:
                node.m_reaches_peers = !node.m_reaches_peers;
                break;
            default:
                break;
            }
            for (int part = 0; part < 10; ++part) {
                world.run(std::chrono::milliseconds(world.draw(1, 50)));
                RC_ASSERT(world.is_safe());
            }
        }
    }));
}

/** In normal operation no request may be refused for want of a confirmation, and no node reads the store for
 * one. */
Test(confirmation, keeps_all_nodes_current_by_messages_alone)
{
    confirmation_world world(20, 4, 7);
    world.run(3s);
    for (int round = 0; round < 600; ++round) {
        if (round % 50 == 0) {
            world.publish();
        }
        world.run(100ms);
        for (std::size_t index = 0; index < world.m_nodes.size(); ++index) {
            cr_assert(world.is_current(index), "node %zu in round %d", index, round);
        }
    }
    cr_assert(world.m_reads == 0, "%zu reads", world.m_reads);
}

/** A watcher that has lost the store would leave the nodes of its data centre unconfirmed. */
Test(confirmation, asks_another_data_centre_if_the_own_one_has_lost_the_store)
{
    confirmation_world world(8, 2, 9);
    world.run(3s);
    world.m_nodes[0].m_reaches_store = false;
    for (std::size_t index = 2; index < 8; ++index) {
        world.m_nodes[index].m_reaches_store = false;
    }
    world.run(20s);
    for (std::size_t index = 0; index < 8; ++index) {
        cr_assert(world.is_current(index), "node %zu", index);
    }
}

/** A node that learns of a newer revision by an answer must not wait for gossip, nor count as confirmed. */
Test(confirmation, a_newer_revision_in_an_answer_is_fetched_and_then_confirmed)
{
    confirmation state(confirmation_settings{}, 1);
    const boot_instant start(1h);
    state.set_in_force(revision{5});
    state.set_required(start, true);
    std::vector<confirmation_action> actions;
    state.tick(start, {{{"w"}}, {}}, actions);
    const auto question = std::get<confirmation_request>(
        decode_confirmation(std::get<confirmation_send>(actions.at(0)).m_payload).value());
    const std::string answer = encode_confirmation(confirmation_answer{question.m_id, revision{6}, 300ms});
    actions.clear();
    state.on_message(start + 1s, {"other"}, answer, actions);
    cr_assert(actions.empty(), "only the peer that was asked may answer");
    state.on_message(start + 1s, {"w"}, answer, actions);
    cr_assert(std::get<confirmation_fetch>(actions.at(0)).m_revision.m_value == 6);
    cr_assert(!state.confirmed_at().has_value());
    state.set_in_force(revision{6});
    cr_assert(state.confirmed_at() == start - 300ms, "counts from when the question was sent");
}

/** review/7: a store that came back from a copy confirmed an older revision to a node that had just started.
 */
Test(confirmation, restored_store_confirmed_an_older_revision_to_a_node_that_knew_no_other)
{
    const boot_instant start(1h);
    const row_version version{0, 7};
    confirmation state(confirmation_settings{}, 1);
    state.set_in_force(revision{1});
    state.set_required(start, true);
    state.on_head(version, revision{1});
    state.on_store(version, start);
    cr_assert(!state.confirmed_at().has_value(), "no peer was heard yet");
    confirmation alone = state;
    state.on_peer_revision(revision{2});
    state.set_joined();
    cr_assert(!state.confirmed_at().has_value(), "a peer has a later one in force");
    state.set_in_force(revision{2});
    cr_assert(state.confirmed_at() == start);
    alone.set_joined();
    cr_assert(alone.confirmed_at() == start, "no peer has a later one");
}

/** Without organisations or fail_closed nothing may be sent. */
Test(confirmation, sends_nothing_unless_required)
{
    confirmation state(confirmation_settings{}, 1);
    std::vector<confirmation_action> actions;
    state.set_in_force(revision{5});
    state.tick(boot_instant(1h), {{{"w"}}, {{"x"}}}, actions);
    cr_assert(actions.empty() && state.next_tick() == boot_instant::max());
}

/** Payloads come from the network: malformed ones must be refused, and an age must not get shorter. */
Test(confirmation, messages_are_total_and_keep_ages_rounded_up)
{
    cr_assert(rc::check("any bytes",
                        [](const std::string& bytes) { static_cast<void>(decode_confirmation(bytes)); }));
    cr_assert(rc::check("any answer", [](std::uint64_t id, std::uint64_t number) {
        const duration age(*rc::gen::inRange<std::int64_t>(0, duration(1h).count()));
        const auto decoded = std::get<confirmation_answer>(
            decode_confirmation(encode_confirmation(confirmation_answer{id, revision{number}, age})).value());
        RC_ASSERT(decoded.m_id == id && decoded.m_revision.m_value == number);
        RC_ASSERT(*decoded.m_age >= age && *decoded.m_age < age + 1us);
    }));
    const std::string old = encode_confirmation(confirmation_answer{1, revision{1}, duration(2h)});
    cr_assert(!std::get<confirmation_answer>(decode_confirmation(old).value()).m_age.has_value());
}

/** All nodes must agree on whom to ask; the node itself must not be among them. */
Test(confirmation, the_elected_nodes_of_all_data_centres_are_known)
{
    std::vector<watch_election> elections;
    const auto record_of = [](std::size_t index) {
        member_record record;
        record.m_node = {"node-" + std::to_string(index)};
        record.m_data_centre = {"dc-" + std::to_string(index % 3)};
        return record;
    };
    std::set<node_id> elected;
    for (std::size_t index = 0; index < 30; ++index) {
        watch_election& election = elections.emplace_back(
            record_of(index).m_node, record_of(index).m_data_centre, watch_settings{}, index);
        for (std::size_t other = 0; other < 30; ++other) {
            if (other != index) {
                election.put(record_of(other));
            }
        }
        election.on_message(instant(1h));
        election.update(instant(1h), false, {});
        election.on_message(instant(1h + 1s));
        if (election.update(instant(1h + 1s), false, {}) == watch_action::watch) {
            elected.insert(record_of(index).m_node);
        }
    }
    cr_assert(elected.size() == 9);
    for (std::size_t index = 0; index < 30; ++index) {
        std::set<node_id> known;
        for (const auto& nodes : {elections[index].near_watchers(), elections[index].far_watchers()}) {
            known.insert(nodes.begin(), nodes.end());
        }
        std::set<node_id> expected = elected;
        expected.erase(record_of(index).m_node);
        cr_assert(known == expected && elections[index].far_watchers().size() == 6, "node %zu", index);
    }
}
