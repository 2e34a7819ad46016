/** @file cost.cpp Time and allocations per decision, and the effect of caller shares. */
#include "bench/decisions/cost_base.h"

#include "policy/policy.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

namespace {

std::size_t allocations = 0; ///< Number of calls of operator new.

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    std::abort();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace waxwing::bench {

namespace {

constexpr int rounds = 11;     ///< Measured rounds per case, after one for warm-up; the median is printed.
constexpr int calls = 200'000; ///< Calls per round.
constexpr instant start_time{std::chrono::seconds(1000)};

/** All decisions for one call, at its entry and at the node of its target. */
class call_path {
public:
    call_path(std::size_t targets, std::uint32_t slots, std::size_t queued)
        : m_router({}, {"cairo"}), m_shares({1e9, 1e9, 1.0}, 7), m_admission(make_settings(slots))
    {
        for (std::size_t number = 0; number < targets; ++number) {
            m_router.put(start_time, {{"node" + std::to_string(number)}, m_service, {"cairo"}, 35});
        }
        m_actions.reserve(16);
        for (std::size_t number = 0; number < slots + queued; ++number) {
            offer();
        }
    }

    /** Processes one call completely and finishes the oldest running one. */
    void step()
    {
        m_now += std::chrono::microseconds(50);
        if (!m_shares.decide(m_now, m_caller, m_random).m_admitted ||
            m_threshold_table.should_shed(m_now, m_kind, {0xffff}, m_random)) {
            return;
        }
        const std::optional<node_id> node = m_router.pick(m_now, m_service, {}, m_random);
        m_router.on_sent(*node);
        offer();
        const attempt_id ended = m_running[m_finished_count++ % m_running.size()];
        m_admission.finish(m_now, ended, std::chrono::milliseconds(1), run_end::succeeded, m_actions);
        process_actions();
        const load_report report = m_admission.report(m_now);
        m_router.on_end(m_now, *node, route_result::succeeded, &report);
        m_threshold_table.learn(m_now, m_kind, report.m_threshold);
        m_budget.on_request(m_now, priority_of(128, 7));
    }

private:
    static admission_settings make_settings(std::uint32_t slots)
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
        m_admission.offer(
            m_now,
            {{++m_last_attempt}, {static_cast<std::uint16_t>(importance | cohort)}, 0, instant::max(), false},
            m_actions);
        process_actions();
    }

    void process_actions()
    {
        for (const admission_action& action : m_actions) {
            if (const auto* started = std::get_if<admission_start>(&action)) {
                m_running[m_started_count++ % m_running.size()] = started->m_attempt;
            }
        }
        m_actions.clear();
    }

    router m_router;
    caller_shares m_shares;
    threshold_table m_threshold_table;
    retry_budget m_budget{{}};
    admission m_admission;
    random_source m_random{1};
    service_name m_service{"records"};
    kind_name m_kind{"lookup"};
    caller_name m_caller{"club"};
    std::vector<attempt_id> m_running = std::vector<attempt_id>(1024); ///< Ring buffer, in order of start.
    std::size_t m_started_count = 0;
    std::size_t m_finished_count = 0;
    std::vector<admission_action> m_actions;
    instant m_now = start_time;
    std::uint64_t m_last_attempt = 0;
};

/** Measures and prints the cost per call with the given numbers of targets, slots and queued calls. */
void print_path(std::size_t targets, std::uint32_t slots, std::size_t queued)
{
    call_path path(targets, slots, queued);
    std::vector<double> costs_ns;
    std::size_t allocation_count = 0;
    for (int round = 0; round <= rounds; ++round) {
        const std::size_t before = allocations;
        const auto start = std::chrono::steady_clock::now();
        for (int count = 0; count < calls; ++count) {
            path.step();
        }
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
        if (round > 0) {
            costs_ns.push_back(elapsed.count() / calls);
            allocation_count += allocations - before;
        }
    }
    std::sort(costs_ns.begin(), costs_ns.end());
    std::printf("cost %4zu targets %3u slots %5zu queued: %5.0f ns a call (least %5.0f, most %5.0f), "
                "%.4f allocations a call\n",
                targets, slots, queued, costs_ns[costs_ns.size() / 2], costs_ns.front(), costs_ns.back(),
                static_cast<double>(allocation_count) / (static_cast<double>(calls) * rounds));
}

/** How callers are limited in a measurement of shares. */
enum class share_kind {
    none,   ///< No limit.
    rates,  ///< By rate only.
    weights ///< By rate, and by cohorts derived from weights.
};

constexpr std::array<const char*, 3> share_names{"none", "rates", "weights"};

/** Measures the requests served for callers with little load while one caller floods the target.
 * @param factor Load of the flooding caller, as a multiple of the capacity.
 * @note Except with share_kind::weights, the requests to shed are chosen at random.
 */
void print_flood(share_kind kind, double factor)
{
    constexpr double capacity = 1000.0;
    constexpr double quiet_rate = 50.0;
    constexpr int quiet_callers = 4;
    const double allowed = kind == share_kind::none ? 1e9 : 2000.0;
    caller_shares shares({allowed, 100.0, 1.0}, 3);
    random_source random(5);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double quiet_requests = 0.0;
    double quiet_served = 0.0;
    double served = 0.0;
    double credit = 0.0;
    double load = 0.0;
    for (int step = 0; step < 30'000; ++step) {
        const instant now = start_time + std::chrono::milliseconds(step);
        credit = std::min(credit + capacity / 1000.0, 20.0);
        for (int caller = 0; caller <= quiet_callers; ++caller) {
            const double rate = caller == 0 ? factor * capacity : quiet_rate;
            for (double remaining = rate / 1000.0; remaining > 0.0; remaining -= 1.0) {
                if (unit(random) >= remaining) {
                    continue;
                }
                const bool is_measured = step >= 10'000;
                quiet_requests += is_measured && caller > 0 ? 1.0 : 0.0;
                const share_decision decision = shares.decide(now, {std::to_string(caller)}, random);
                load += decision.m_admitted ? 5.0 : 0.0;
                const double rank = (decision.m_cohort + unit(random)) / 256.0;
                const double place = kind == share_kind::weights ? 1.0 - rank : unit(random);
                const bool shed =
                    !decision.m_admitted || credit < 1.0 || place >= capacity / std::max(load, capacity);
                credit -= shed ? 0.0 : 1.0;
                quiet_served += is_measured && caller > 0 && !shed ? 1.0 : 0.0;
                served += is_measured && !shed ? 1.0 : 0.0;
            }
        }
        load *= 1.0 - 5.0 / 1000.0;
    }
    std::printf("shares %-7s flood %4.1f of capacity: quiet callers get %.3f of what they ask, "
                "capacity used %.3f\n",
                share_names[static_cast<std::size_t>(kind)], factor, quiet_served / quiet_requests,
                served / (capacity * 20.0));
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
