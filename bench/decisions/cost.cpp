/** @file cost.cpp What decisions cost. */
#include "bench/decisions/cost_base.h"

#include "policy/policy.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

namespace {

std::size_t allocations = 0; ///< Calls of operator new so far.

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* room = std::malloc(size)) {
        return room;
    }
    std::abort();
}

void operator delete(void* room) noexcept
{
    std::free(room);
}

void operator delete(void* room, std::size_t) noexcept
{
    std::free(room);
}

namespace waxwing::bench {

namespace {

constexpr int rounds = 11;     ///< Measurements of each case; the median is printed.
constexpr int calls = 200'000; ///< Calls in one measurement.
constexpr instant start_time{std::chrono::seconds(1000)};

/** What one call goes through at an entry and beside its target. */
class call_path {
public:
    call_path(std::size_t targets, std::uint32_t slots, std::size_t queued)
        : m_routes({}, {"cairo"}), m_shares({1e9, 1e9, 1.0}, 7), m_gate(settings_of(slots))
    {
        for (std::size_t number = 0; number < targets; ++number) {
            m_routes.put(start_time, {{"node" + std::to_string(number)}, m_service, {"cairo"}, 35});
        }
        m_actions.reserve(16);
        for (std::size_t number = 0; number < slots + queued; ++number) {
            offer();
        }
    }

    /** Takes one call all the way, and ends the oldest one that runs. */
    void step()
    {
        m_now += std::chrono::microseconds(50);
        if (!m_shares.decide(m_now, m_caller, m_random).m_admitted ||
            m_thresholds.should_shed(m_now, m_kind, {0xffff}, m_random)) {
            return;
        }
        const std::optional<node_id> node = m_routes.pick(m_now, m_service, {}, m_random);
        m_routes.on_sent(*node);
        offer();
        const attempt_id ended = m_running[m_ended++ % m_running.size()];
        m_gate.finish(m_now, ended, std::chrono::milliseconds(1), run_end::succeeded, m_actions);
        take_actions();
        const load_report report = m_gate.report(m_now);
        m_routes.on_end(m_now, *node, route_result::succeeded, &report);
        m_thresholds.learn(m_now, m_kind, report.m_threshold);
        m_budget.on_request(m_now, priority_of(128, 7));
    }

private:
    static admission_settings settings_of(std::uint32_t slots)
    {
        admission_settings settings;
        settings.m_limit.m_slots = slots;
        settings.m_limit.m_floor = slots;
        settings.m_headroom_ratio = 0.0;
        settings.m_queue_timeout = std::chrono::hours(1);
        settings.m_target_queue_delay = std::chrono::hours(1);
        settings.m_queue_capacity = 60'000;
        return settings;
    }

    void offer()
    {
        const auto cohort = static_cast<std::uint16_t>(m_random() & 255U);
        const std::uint16_t importance = 192U << 8U;
        m_gate.offer(
            m_now, {{++m_last}, {static_cast<std::uint16_t>(importance | cohort)}, 0, instant::max(), false},
            m_actions);
        take_actions();
    }

    void take_actions()
    {
        for (const admission_action& action : m_actions) {
            if (const auto* started = std::get_if<admission_start>(&action)) {
                m_running[m_started++ % m_running.size()] = started->m_attempt;
            }
        }
        m_actions.clear();
    }

    router m_routes;
    caller_shares m_shares;
    threshold_table m_thresholds;
    retry_budget m_budget{{}};
    admission m_gate;
    random_source m_random{1};
    service_name m_service{"records"};
    kind_name m_kind{"lookup"};
    caller_name m_caller{"club"};
    std::vector<attempt_id> m_running = std::vector<attempt_id>(1024); ///< A ring, in the order of starting.
    std::size_t m_started = 0;
    std::size_t m_ended = 0;
    std::vector<admission_action> m_actions;
    instant m_now = start_time;
    std::uint64_t m_last = 0;
};

/** Measures one size. */
void print_path(std::size_t targets, std::uint32_t slots, std::size_t queued)
{
    call_path path(targets, slots, queued);
    std::vector<double> costs;
    std::size_t allocated = 0;
    for (int round = 0; round <= rounds; ++round) {
        const std::size_t before = allocations;
        const auto begun = std::chrono::steady_clock::now();
        for (int count = 0; count < calls; ++count) {
            path.step();
        }
        const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - begun;
        if (round > 0) {
            costs.push_back(taken.count() / calls);
            allocated += allocations - before;
        }
    }
    std::sort(costs.begin(), costs.end());
    std::printf("cost %4zu targets %3u slots %5zu queued: %5.0f ns a call (least %5.0f, most %5.0f), "
                "%.4f allocations a call\n",
                targets, slots, queued, costs[costs.size() / 2], costs.front(), costs.back(),
                static_cast<double>(allocated) / (static_cast<double>(calls) * rounds));
}

/** How callers are bounded in a measurement of shares. */
enum class share_kind {
    none,   ///< Not at all.
    rates,  ///< By their rate only.
    weights ///< By their rate, and by the cohorts that weights give.
};

constexpr std::array<const char*, 3> share_names{"none", "rates", "weights"};

/** Measures the quiet callers beside a flood of @p factor times the capacity, which is random where shed. */
void print_flood(share_kind kind, double factor)
{
    constexpr double capacity = 1000.0;
    constexpr double quiet_rate = 50.0;
    constexpr int quiet_callers = 4;
    const double allowed = kind == share_kind::none ? 1e9 : 2000.0;
    caller_shares shares({allowed, 100.0, 1.0}, 3);
    random_source random(5);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double asked = 0.0;
    double quiet = 0.0;
    double served = 0.0;
    double credit = 0.0;
    double load = 0.0;
    for (int step = 0; step < 30'000; ++step) {
        const instant now = start_time + std::chrono::milliseconds(step);
        credit = std::min(credit + capacity / 1000.0, 20.0);
        for (int caller = 0; caller <= quiet_callers; ++caller) {
            const double rate = caller == 0 ? factor * capacity : quiet_rate;
            for (double left = rate / 1000.0; left > 0.0; left -= 1.0) {
                if (unit(random) >= left) {
                    continue;
                }
                const bool counts = step >= 10'000;
                asked += counts && caller > 0 ? 1.0 : 0.0;
                const share_decision decision = shares.decide(now, {std::to_string(caller)}, random);
                load += decision.m_admitted ? 5.0 : 0.0;
                const double ranked = (decision.m_cohort + unit(random)) / 256.0;
                const double place = kind == share_kind::weights ? 1.0 - ranked : unit(random);
                const bool shed =
                    !decision.m_admitted || credit < 1.0 || place >= capacity / std::max(load, capacity);
                credit -= shed ? 0.0 : 1.0;
                quiet += counts && caller > 0 && !shed ? 1.0 : 0.0;
                served += counts && !shed ? 1.0 : 0.0;
            }
        }
        load *= 1.0 - 5.0 / 1000.0;
    }
    std::printf(
        "shares %-7s flood %4.1f of capacity: quiet callers get %.3f of what they ask, capacity used %.3f\n",
        share_names[static_cast<std::size_t>(kind)], factor, quiet / asked, served / (capacity * 20.0));
}

} // namespace

void print_cost()
{
    print_path(4, 10, 0);
    print_path(4, 35, 100);
    print_path(30, 160, 1000);
}

void print_shares()
{
    for (const double factor : {0.9, 1.5, 3.0, 10.0}) {
        for (const share_kind kind : {share_kind::none, share_kind::rates, share_kind::weights}) {
            print_flood(kind, factor);
        }
    }
}

} // namespace waxwing::bench
