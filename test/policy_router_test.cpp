/** @file policy_router_test.cpp Tests of load balancing over targets. */
#include "policy/policy.h"

#include <criterion/criterion.h>
#include <limits>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>

using namespace waxwing;

namespace {

constexpr instant start_time{std::chrono::seconds(1000)};
const service_name service{"records"};
const data_centre_name local_data_centre{"cairo"};
const data_centre_name remote_data_centre{"luxor"};

/** Returns the identifier of the node @p number. */
node_id node(std::size_t number)
{
    return {"node" + std::to_string(number)};
}

/** Returns a router with @p count targets of @p slots each in its own data centre, past their slow start. */
router make_router(std::size_t count, std::uint32_t slots, const router_settings& settings = {})
{
    router warm_router(settings, local_data_centre);
    for (std::size_t number = 0; number < count; ++number) {
        warm_router.put(start_time - std::chrono::hours(1),
                        {node(number), service, local_data_centre, slots});
    }
    return warm_router;
}

/** Picks targets for @p calls calls, which all stay in flight. @return the calls of each node. */
std::map<node_id, int> send_calls(router& routes, int calls, random_source& random)
{
    std::map<node_id, int> counts;
    for (int count = 0; count < calls; ++count) {
        const node_id chosen = *routes.pick(start_time, service, {}, random);
        routes.on_sent(chosen);
        ++counts[chosen];
    }
    return counts;
}

} // namespace

Test(router, chooses_a_listed_target_that_is_not_excluded)
{
    cr_assert(rc::check("a pick is listed and not excluded, and fails only if no such target is left", [] {
        router_settings settings;
        settings.m_ejection_failures = 2;
        router routes(settings, local_data_centre);
        random_source random(*rc::gen::arbitrary<std::uint64_t>());
        std::set<node_id> listed;
        instant now = start_time;
        for (const std::uint16_t step : *rc::gen::arbitrary<std::vector<std::uint16_t>>()) {
            const node_id chosen_node = node(step / 8 % 6);
            now += std::chrono::milliseconds(step % 512);
            switch (step % 8) {
            case 0:
                routes.remove(chosen_node);
                listed.erase(chosen_node);
                break;
            case 1:
            case 2:
                routes.put(now, {chosen_node, service, step % 3 == 0 ? local_data_centre : remote_data_centre,
                                 step % 5U});
                listed.insert(chosen_node);
                break;
            case 3:
            case 4:
                routes.on_end(now, chosen_node, static_cast<route_result>(step % 3), nullptr);
                break;
            default:
                const std::vector<node_id> excluded{chosen_node, node(step / 64 % 6)};
                const std::optional<node_id> chosen = routes.pick(now, service, excluded, random);
                const auto left =
                    std::count_if(listed.begin(), listed.end(), [&excluded](const node_id& name) {
                        return name != excluded[0] && name != excluded[1];
                    });
                RC_ASSERT(chosen.has_value() == (left > 0));
                if (chosen) {
                    RC_ASSERT(listed.count(*chosen) == 1U);
                    RC_ASSERT(*chosen != excluded[0] && *chosen != excluded[1]);
                    routes.on_sent(*chosen);
                }
            }
            RC_ASSERT(routes.nodes().size() == listed.size());
            RC_ASSERT(routes.serves(service) == !listed.empty());
        }
    }));
}

Test(router, spreads_by_size)
{
    router routes = make_router(3, 10);
    routes.put(start_time - std::chrono::hours(1), {node(9), service, local_data_centre, 40});
    random_source random(3);
    std::map<node_id, int> counts = send_calls(routes, 700, random);
    cr_assert(counts[node(9)] > 360 && counts[node(9)] < 440, "%d", counts[node(9)]);
    cr_assert(counts[node(0)] > 80 && counts[node(0)] < 120, "%d", counts[node(0)]);
}

Test(router, a_false_load_report_gains_at_most_twice_the_fair_load)
{
    router routes = make_router(4, 10);
    random_source random(5);
    const load_report busy{9, 20, 10, {}};
    const load_report idle{0, 0, 1'000'000, {}};
    std::map<node_id, int> counts;
    std::vector<node_id> in_flight;
    instant now = start_time;
    for (int count = 0; count < 4000; ++count) {
        now += std::chrono::milliseconds(1);
        const node_id chosen = *routes.pick(now, service, {}, random);
        routes.on_sent(chosen);
        in_flight.push_back(chosen);
        ++counts[chosen];
        if (in_flight.size() > 20) {
            const node_id ended = in_flight.front();
            in_flight.erase(in_flight.begin());
            routes.on_end(now, ended, route_result::succeeded, ended == node(0) ? &idle : &busy);
        }
    }
    cr_assert(counts[node(0)] <= 4000 / 2, "%d", counts[node(0)]);
    cr_assert(counts[node(1)] >= 400, "%d", counts[node(1)]);
}

Test(router, spreads_load_despite_one_stale_report)
{
    router routes = make_router(4, 10);
    random_source random(5);
    const load_report busy{10, 0, 10, {}};
    const load_report idle{0, 0, 10, {}};
    for (std::size_t number = 0; number < 4; ++number) {
        routes.on_end(start_time, node(number), route_result::succeeded, number == 0 ? &idle : &busy);
    }
    std::map<node_id, int> counts = send_calls(routes, 100, random);
    cr_assert(counts[node(0)] <= 36, "%d", counts[node(0)]);
}

Test(router, ignores_a_reported_limit_above_the_size)
{
    router routes = make_router(8, 10);
    random_source random(5);
    const load_report idle{0, 0, 10, {}};
    const load_report lie{0, 0, 1'000'000, {}};
    for (std::size_t number = 0; number < 8; ++number) {
        routes.on_end(start_time, node(number), route_result::succeeded, number == 0 ? &lie : &idle);
    }
    std::map<node_id, int> counts = send_calls(routes, 200, random);
    cr_assert(counts[node(0)] <= 32, "%d", counts[node(0)]);
}

Test(router, weights_a_report_less_as_it_ages)
{
    router routes = make_router(2, 10);
    random_source random(5);
    const load_report busy{100, 0, 10, {}};
    routes.on_end(start_time, node(0), route_result::succeeded, &busy);
    for (int count = 0; count < 20; ++count) {
        cr_assert(*routes.pick(start_time, service, {}, random) == node(1));
    }
    int first = 0;
    for (int count = 0; count < 100; ++count) {
        first += *routes.pick(start_time + std::chrono::seconds(3), service, {}, random) == node(0) ? 1 : 0;
    }
    cr_assert(first > 20, "%d", first);
}

Test(router, prefers_its_data_centre_until_clearly_busier)
{
    router routes = make_router(2, 10);
    routes.put(start_time - std::chrono::hours(1), {node(8), service, remote_data_centre, 10});
    routes.put(start_time - std::chrono::hours(1), {node(9), service, remote_data_centre, 10});
    random_source random(5);
    std::map<node_id, int> counts = send_calls(routes, 50, random);
    const int remote_count = counts[node(8)] + counts[node(9)];
    cr_assert(remote_count >= 15 && remote_count <= 22, "%d", remote_count);
    for (std::size_t number = 0; number < 2; ++number) {
        routes.remove(node(number));
    }
    cr_assert(routes.pick(start_time, service, {}, random).has_value());
}

Test(router, starts_a_new_target_slowly)
{
    router routes = make_router(3, 10);
    routes.put(start_time, {node(9), service, local_data_centre, 10});
    random_source random(5);
    std::map<node_id, int> counts = send_calls(routes, 60, random);
    cr_assert(counts[node(9)] <= 4, "%d", counts[node(9)]);
}

Test(router, limits_ejections_and_ends_them)
{
    router_settings settings;
    settings.m_max_ejection_ratio = 1.0;
    router routes = make_router(3, 10, settings);
    random_source random(5);
    for (std::size_t number = 0; number < 3; ++number) {
        for (std::uint32_t count = 0; count < settings.m_ejection_failures; ++count) {
            routes.on_end(start_time, node(number), route_result::failed, nullptr);
        }
    }
    for (int count = 0; count < 50; ++count) {
        cr_assert(*routes.pick(start_time, service, {}, random) == node(2));
    }
    const std::vector<node_id> excluded{node(2)};
    cr_assert(routes.pick(start_time, service, excluded, random).has_value());
    std::set<node_id> picked;
    for (int count = 0; count < 50; ++count) {
        picked.insert(*routes.pick(start_time + std::chrono::minutes(1), service, {}, random));
    }
    cr_assert(picked.size() == 3);
}

Test(router, keeps_in_flight_counts_over_removal_and_return)
{
    router routes = make_router(2, 10);
    random_source random(5);
    for (int count = 0; count < 50; ++count) {
        routes.on_sent(node(0));
    }
    routes.remove(node(0));
    routes.put(start_time - std::chrono::hours(1), {node(0), service, local_data_centre, 10});
    for (int count = 0; count < 20; ++count) {
        cr_assert(*routes.pick(start_time, service, {}, random) == node(1));
    }
    for (int count = 0; count < 100; ++count) {
        routes.on_end(start_time, node(0), route_result::succeeded, nullptr);
    }
    std::map<node_id, int> counts = send_calls(routes, 20, random);
    cr_assert(counts[node(0)] == 10, "%d", counts[node(0)]);
}

Test(router, handles_extreme_settings_and_times)
{
    const double not_a_number = std::numeric_limits<double>::quiet_NaN();
    const std::uint32_t max_count = std::numeric_limits<std::uint32_t>::max();
    for (const double value : {not_a_number, -1.0, 0.0, std::numeric_limits<double>::infinity()}) {
        router_settings settings{value, duration::min(), duration::max(), 0, duration::max(), value};
        router routes(settings, local_data_centre);
        random_source random(1);
        routes.put(instant::max(), {node(0), service, local_data_centre, 0});
        routes.put(instant::min(), {node(1), service, remote_data_centre, max_count});
        const load_report report{max_count, max_count, 0, {}};
        for (const instant now : {instant::min(), start_time, instant::max()}) {
            const std::optional<node_id> chosen = routes.pick(now, service, {}, random);
            cr_assert(chosen.has_value());
            routes.on_sent(*chosen);
            routes.on_end(now, *chosen, route_result::failed, &report);
            routes.on_end(now, {"stranger"}, route_result::failed, nullptr);
        }
    }
}
