/** @file quota_test.cpp Tests of the parts of the quota, and of its upper bound under faults. */
#include "test/quota_model.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

const boot_instant start{1000h};
const organisation_name acme{"acme"};

/** Returns the largest number of @p spent moments in any window of 5 s. */
std::size_t most_in_window(const std::vector<duration>& spent)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < spent.size(); ++last) {
        while (spent[last] - spent[first] >= 5s) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/** Returns the bound of the design page for a window of 5 s. */
double bound(quota_limit limit)
{
    return (limit.m_rate * 5.0 + std::max(limit.m_burst, 1.0)) * 1.1 + 20.0;
}

/** Does something to a node that is not in another fault. */
void add_fault(quota_world& world, std::size_t count, std::vector<duration>& busy_until)
{
    const std::size_t node = world.random()() % count;
    const duration length = std::chrono::milliseconds(50 + world.random()() % 50'000);
    const auto kind = world.random()() % 3;
    if (world.now() < busy_until[node]) {
        return;
    }
    busy_until[node] = world.now() + length + 3s;
    if (kind == 0) {
        world.restart(node, length);
    }
    else if (kind == 1) {
        world.freeze(node, length);
    }
    else {
        world.cut(node, true);
        world.after(length, [&world, node] { world.cut(node, false); });
    }
}

} // namespace

Test(quota, shard_is_bounded_and_takes_back_a_grant_once_and_in_time)
{
    quota_shard shard({10.0, 5.0}, start);
    cr_assert(shard.grant(start, node_id{"a"}, 1, 1) == 0 && shard.wait(start) == 100ms);
    cr_assert(shard.grant(start + 10s, node_id{"a"}, 2, 9) == 5);
    shard.put_back(start + 10s, node_id{"a"}, 1, 5);
    cr_assert(shard.grant(start + 10s, node_id{"b"}, 1, 9) == 0, "a return of another request is ignored");
    shard.put_back(start + 10s, node_id{"a"}, 2, 3);
    shard.put_back(start + 10s, node_id{"a"}, 2, 9);
    cr_assert(shard.grant(start + 10s, node_id{"b"}, 2, 9) == 5, "no more is taken back than was granted");
    shard.put_back(start + 10s + 401ms, node_id{"b"}, 2, 5);
    cr_assert(shard.grant(start + 10s + 401ms, node_id{"b"}, 3, 9) == 4, "a late return is ignored");
    shard.configure(start + 20s, {10.0, 0.0});
    cr_assert(shard.grant(start + 20s, node_id{"b"}, 4, 9) == 1, "a burst below 1 counts as 1");
    shard.reset(start + 22s);
    cr_assert(shard.grant(start + 21s, node_id{"b"}, 5, 1) == 0 && !shard.grants(start + 21s));
    cr_assert(shard.grant(start + 22s + 100ms, node_id{"b"}, 6, 1) == 1);
}

Test(quota, owners_do_not_depend_on_the_order_and_move_only_with_an_owner)
{
    cr_assert(rc::check("owners", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 12);
        std::vector<node_id> nodes;
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(quota_world::name(index));
        }
        quota_owners owners(acme);
        quota_owners shuffled(acme);
        std::vector<node_id> other_order = nodes;
        std::shuffle(other_order.begin(), other_order.end(),
                     random_source(*rc::gen::arbitrary<std::uint64_t>()));
        for (std::size_t index = 0; index < count; ++index) {
            owners.add(nodes[index]);
            shuffled.add(other_order[index]);
        }
        RC_ASSERT(owners.nodes() == shuffled.nodes() &&
                  owners.nodes().size() == std::min<std::size_t>(count, 3));
        const std::vector<node_id> before = owners.nodes();
        const node_id gone = other_order.front();
        std::erase(nodes, gone);
        RC_ASSERT(owners.remove(gone, nodes) ==
                  (std::find(before.begin(), before.end(), gone) != before.end()));
        RC_ASSERT(!owners.owns(gone));
        for (const node_id& owner : before) {
            RC_ASSERT(owner == gone || owners.owns(owner));
        }
    }));
}

Test(quota, dead_members_count_for_30_s_and_longer_without_a_majority)
{
    quota_members members(node_id{"a"});
    for (const char* const other : {"b", "c", "d"}) {
        cr_assert(members.put(start, node_id{other}, quota_presence::alive));
    }
    members.put(start, node_id{"d"}, quota_presence::dead);
    cr_assert(members.remove_dead(start + 29s).empty() && members.counts(node_id{"d"}));
    members.put(start, node_id{"c"}, quota_presence::dead);
    cr_assert(members.remove_dead(start + 60s).empty(), "half of the members are no majority");
    cr_assert(members.may_grant(start + 19s) && !members.may_grant(start + 20s));
    members.put(start + 60s, node_id{"c"}, quota_presence::alive);
    cr_assert(members.may_grant(start + 60s) && members.remove_dead(start + 89s).empty(),
              "what was known before the majority was lost may be old");
    cr_assert(members.remove_dead(start + 90s).size() == 1);
    members.set_isolated(start + 91s, true);
    cr_assert(members.may_grant(start + 110s) && !members.may_grant(start + 111s), "isolated for 20 s");
    cr_assert(!members.put(start, node_id{"x"}, quota_presence::dead) && members.size() == 3);
    cr_assert(members.put(start, node_id{"b"}, quota_presence::left) && members.size() == 2);
}

Test(quota, codec_returns_what_was_encoded_and_refuses_other_bytes)
{
    cr_assert(rc::check("round trip", [] {
        quota_request request{
            {*rc::gen::arbitrary<std::uint64_t>()}, *rc::gen::arbitrary<std::uint64_t>(), {}};
        const auto name = *rc::gen::arbitrary<std::string>();
        request.m_items.push_back(
            {organisation_name{name}, *rc::gen::inRange<std::uint32_t>(0, 10'000'000), 3, 7});
        const std::string bytes = encode_quota(request);
        const auto decoded = decode_quota(bytes);
        RC_ASSERT((decoded.has_value() && encode_quota(decoded.value()) == bytes));
        const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
        std::string damaged = bytes;
        damaged[place] = static_cast<char>(*rc::gen::inRange(0, 256));
        const auto other = decode_quota(damaged);
        RC_ASSERT((other.has_error() || !encode_quota(other.value()).empty()));
        RC_ASSERT(decode_quota(bytes.substr(0, place)).has_error());
    }));
    const quota_answer answer{{5}, 9, {{acme, 0, 1500us}, {organisation_name{"b"}, 4, 0ms}}};
    const auto decoded = decode_quota(encode_quota(answer));
    cr_assert(decoded.has_value());
    const auto& items = std::get<quota_answer>(decoded.value()).m_items;
    cr_assert(items[0].m_wait == 2ms && items[1].m_granted == 4, "a wait is rounded up");
    cr_assert(decode_quota("").has_error() && decode_quota(std::string(70'000, '\x80')).has_error());
}

Test(quota, account_drops_a_late_or_repeated_answer)
{
    quota_account account;
    std::vector<quota_wake> wakes;
    cr_assert(account.take(start, 1).m_outcome == quota_outcome::waiting);
    const std::vector<quota_candidate> owners{{node_id{"a"}, true}, {node_id{"b"}, true}};
    const auto ask = account.step(start, owners, wakes);
    cr_assert(ask.has_value() && ask->m_owner == node_id{"a"} && ask->m_wanted == 1);
    account.on_sent(start, ask->m_owner, 1);
    cr_assert(!account.take_overdue(start + 149ms).has_value());
    cr_assert(account.take_overdue(start + 150ms) == node_id{"a"});
    const auto second = account.step(start + 150ms, owners, wakes);
    cr_assert(second.has_value() && second->m_owner == node_id{"b"});
    account.on_sent(start + 150ms, second->m_owner, 2);
    account.on_answer(start + 400ms, node_id{"a"}, 1, {acme, 2, {}});
    cr_assert(account.tokens(start + 400ms) == 0, "a grant is worth nothing 400 ms after it was asked for");
    account.on_answer(start + 400ms, node_id{"b"}, 2, {acme, 2, {}});
    account.on_answer(start + 400ms, node_id{"b"}, 2, {acme, 2, {}});
    cr_assert(account.tokens(start + 400ms) == 2);
    account.step(start + 400ms, owners, wakes);
    cr_assert(wakes.size() == 1 && wakes[0].m_decision.m_expires_at == start + 550ms);
    account.give_back(start + 410ms, wakes[0].m_decision.m_expires_at);
    cr_assert(account.tokens(start + 410ms) == 2 && account.tokens(start + 550ms) == 0);
}

/** review/6: nodes that the table turned away each granted the whole quota, as if they were the fleet. */
Test(quota, node_that_has_not_found_the_fleet_granted_the_whole_quota)
{
    quota state(node_id{"a"}, incarnation{1}, start);
    std::vector<quota_action> actions;
    state.configure(start, {{acme, {40.0, 40.0}}}, actions);
    const auto granted = [&](boot_instant begin, boot_instant end) {
        const std::uint64_t before = state.counters().m_granted;
        std::uint64_t waiter = 0;
        for (boot_instant now = begin; now < end; now += 20ms) {
            state.take(now, acme, ++waiter);
            state.tick(now, actions);
        }
        return state.counters().m_granted - before;
    };
    cr_assert(granted(start, start + 30s) == 0);
    state.on_fleet_discovered(start + 30s);
    cr_assert(granted(start + 30s, start + 33s) == 0, "another node may be about to make contact");
    cr_assert(granted(start + 33s, start + 40s) > 200, "it is alone");
}

Test(quota, bound_holds_under_faults)
{
    cr_assert(rc::check("bound", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto count = *rc::gen::inRange<std::size_t>(1, 7);
        const quota_limit high{static_cast<double>(*rc::gen::inRange(1, 80)),
                               static_cast<double>(*rc::gen::inRange(0, 60))};
        const quota_limit low{high.m_rate / 2.0, high.m_burst / 2.0};
        const duration delay = std::chrono::milliseconds(*rc::gen::element(5, 100, 600));
        quota_world world(count, seed, {0.05, 0.05, 300us, delay}, 200.0);
        std::vector<duration> spent;
        const duration lowered_at = 70s;
        world.on_outcome([&](duration now, const organisation_name&, const quota_decision& decision) {
            if (decision.m_outcome == quota_outcome::granted) {
                spent.push_back(now);
            }
        });
        for (std::size_t node = 0; node < count; ++node) {
            world.configure(node, {{acme, high}});
            world.after(lowered_at, [&world, node, low] { world.configure(node, {{acme, low}}); });
        }
        world.begin_membership();
        std::vector<duration> busy_until(count, 3s);
        for (int fault = 0; fault < 10; ++fault) {
            world.after(3s + std::chrono::milliseconds(world.random()() % 90'000),
                        [&] { add_fault(world, count, busy_until); });
        }
        const auto interval = std::chrono::duration_cast<duration>(1s / (high.m_rate * 4.0));
        std::function<void()> load = [&] {
            world.request(world.random()() % count, acme);
            world.after(interval, load);
        };
        world.after(0s, load);
        world.run(100s);
        RC_ASSERT(static_cast<double>(most_in_window(spent)) <= bound(high));
        const duration lowered = std::max(world.configured_at(), lowered_at) + 500ms;
        const std::vector<duration> spent_low(std::lower_bound(spent.begin(), spent.end(), lowered),
                                              spent.end());
        RC_ASSERT(static_cast<double>(most_in_window(spent_low)) <= bound(low));
        RC_ASSERT(!spent.empty());
    }));
}
