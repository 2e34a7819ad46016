/** @file quota_model_test.cpp False refusals in a fleet of 66 nodes, and a fleet of three nodes exhaustively.
 */
#include "test/quota_model.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t organisation_count = 75;
constexpr double usual_requests = 1479.0; ///< Requests a second of all organisations together.
constexpr double hostile_factor = 7.5;

/** One organisation, and a single bucket with its whole limit to compare with. */
struct organisation_model {
    organisation_name m_name;
    double m_usual = 0.0;
    quota_limit m_limit;
    double m_tokens = 0.0;
    duration m_at{};

    /** Returns whether a request at @p now is below the limit. */
    bool is_below(duration now)
    {
        m_tokens =
            std::min(m_tokens + to_seconds(now - m_at) * m_limit.m_rate, std::max(m_limit.m_burst, 1.0));
        m_at = now;
        const bool below = m_tokens >= 1.0;
        m_tokens -= below ? 1.0 : 0.0;
        return below;
    }
};

/** Requests below the limit, and those of them that were refused. */
struct refusal_count {
    std::size_t m_below = 0;
    std::size_t m_refused = 0;

    double ratio() const { return static_cast<double>(m_refused) / static_cast<double>(m_below); }
};

/** Runs the model for 20 s; the largest organisation sends @p factor times its usual rate. */
refusal_count run_fleet(std::size_t nodes, double factor)
{
    quota_world world(nodes, 5, {0.0, 0.0, 300us, 40ms}, 100.0);
    std::vector<organisation_model> organisations(organisation_count);
    double sum = 0.0;
    for (std::size_t rank = 1; rank <= organisation_count; ++rank) {
        sum += std::pow(static_cast<double>(rank), -1.2);
    }
    quota_limits limits;
    for (std::size_t index = 0; index < organisation_count; ++index) {
        organisation_model& each = organisations[index];
        each.m_name.m_value = "organisation-" + std::to_string(index);
        each.m_usual = usual_requests * std::pow(static_cast<double>(index + 1), -1.2) / sum;
        each.m_limit = {each.m_usual * 1.6, each.m_usual * 1.6};
        limits[each.m_name] = each.m_limit;
    }
    for (std::size_t node = 0; node < nodes; ++node) {
        for (std::size_t other = 0; other < nodes; ++other) {
            world.tell(node, other, quota_presence::alive);
        }
        world.configure(node, limits);
    }
    refusal_count count;
    world.on_outcome([&](duration, const organisation_name& name, const quota_decision& decision) {
        const bool counts = factor == 1.0 || name != organisations[0].m_name;
        count.m_refused += counts && decision.m_outcome == quota_outcome::refused && world.now() > 5s ? 1 : 0;
    });
    std::function<void(std::size_t)> load = [&](std::size_t index) {
        organisation_model& each = organisations[index];
        if (world.now() > 5s) {
            const bool is_below = each.is_below(world.now());
            count.m_below += is_below && (factor == 1.0 || index > 0) ? 1 : 0;
        }
        if (world.now() > 2s) {
            world.request(world.random()() % nodes, each.m_name);
        }
        const double rate = each.m_usual * (index == 0 ? factor : 1.0);
        const double gap = -std::log(1.0 - random_unit(world.random())) / rate;
        world.after(from_seconds(gap), [&load, index] { load(index); });
    };
    for (std::size_t index = 0; index < organisation_count; ++index) {
        organisations[index].m_tokens = organisations[index].m_limit.m_burst;
        load(index);
    }
    world.run(25s);
    std::printf("%zu nodes, factor %.1f: %zu of %zu requests below the limit refused (%.3f %%), "
                "%.1f messages and %.0f bytes a second for each node\n",
                nodes, factor, count.m_refused, count.m_below, 100.0 * count.ratio(),
                static_cast<double>(world.messages()) / 25.0 / static_cast<double>(nodes),
                static_cast<double>(world.bytes()) / 25.0 / static_cast<double>(nodes));
    return count;
}

} // namespace

// Guards against tokens that expire unused at many entries, and so are missing at others.
Test(quota_model, few_requests_below_the_limit_are_refused)
{
    cr_expect(run_fleet(66, hostile_factor).ratio() < 0.01);
}

// Guards against small organisations that are refused at chance peaks far below their limits.
Test(quota_model, hardly_any_request_is_refused_in_normal_operation)
{
    cr_expect(run_fleet(66, 1.0).ratio() < 0.001);
}

// Guards against tokens that are granted twice: runs every order of a request, a delivery, a loss, a
// duplicate, a pause and a restart of an owner.
Test(quota_model, three_nodes_never_spend_more_than_the_limit)
{
    constexpr std::size_t depth = 6;
    constexpr std::size_t choices = 6;
    const organisation_name name{"a"};
    const quota_limit limit{3.0, 3.0};
    std::size_t most = 0;
    for (std::size_t code = 0; code < static_cast<std::size_t>(std::pow(choices, depth)); ++code) {
        boot_instant now{1h};
        std::vector<quota> nodes;
        std::vector<quota_action> actions;
        const auto start = [&](std::size_t index, std::uint64_t process) {
            quota created(quota_world::name(index), incarnation{process}, now);
            for (std::size_t other = 0; other < 3; ++other) {
                created.on_member(now, quota_world::name(other), quota_presence::alive);
            }
            created.configure(now, {{name, limit}}, actions);
            return created;
        };
        for (std::size_t index = 0; index < 3; ++index) {
            nodes.push_back(start(index, 1));
        }
        now += 2s;
        std::deque<std::tuple<std::size_t, std::size_t, std::string>> messages;
        std::size_t spent = 0;
        const auto apply = [&](std::size_t index) {
            nodes[index].tick(now, actions);
            for (const quota_action& action : std::exchange(actions, {})) {
                if (const auto* const outgoing = std::get_if<quota_send>(&action)) {
                    messages.emplace_back(index, std::stoul(outgoing->m_node.m_value.substr(5)),
                                          outgoing->m_payload);
                }
                else if (const auto* const wake = std::get_if<quota_wake>(&action)) {
                    spent += wake->m_decision.m_outcome == quota_outcome::granted ? 1 : 0;
                }
            }
        };
        duration passed = 1s;
        std::size_t rest = code;
        for (std::size_t step = 0; step < depth; ++step, rest /= choices) {
            const std::size_t choice = rest % choices;
            if (choice == 0) {
                for (std::uint64_t waiter = 0; waiter < 2; ++waiter) {
                    spent += nodes[0].take(now, name, waiter).m_outcome == quota_outcome::granted ? 1 : 0;
                }
                apply(0);
            }
            else if ((choice == 1 || choice == 3) && !messages.empty()) {
                const auto [from, to, payload] = messages.front();
                if (choice == 1) {
                    messages.pop_front();
                }
                nodes[to].on_message(now, quota_world::name(from), payload, actions);
                apply(to);
            }
            else if (choice == 2 && !messages.empty()) {
                messages.pop_front();
            }
            else if (choice == 4) {
                now += 160ms;
                passed += 160ms;
                apply(0);
            }
            else if (choice == 5) {
                nodes[1] = start(1, 2 + step);
            }
        }
        most = std::max(most, spent);
        cr_assert(static_cast<double>(spent) <= 3.0 + 3.0 * to_seconds(passed - 1s) + 1e-9, "code %zu", code);
    }
    cr_expect(most >= 3, "the model spends all tokens in some order");
}
