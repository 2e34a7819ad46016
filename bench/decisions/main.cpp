/** @file main.cpp Measures the cost of decisions, and the effect of admission control in a simulation. */
#include "bench/decisions/cost_base.h"
#include "bench/decisions/load_base.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

using namespace waxwing;
using namespace waxwing::bench;

namespace {

constexpr std::uint64_t seeds = 5; ///< Runs per case.

/** Size of a target. */
struct size_case {
    std::uint32_t m_slots; ///< Slots.
    double m_work;         ///< Mean run time, in seconds.
};

constexpr std::array<size_case, 3> sizes{{{10, 0.05}, {35, 0.02}, {160, 0.04}}};

/** Returns the median of @p values. */
double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/** Runs @p plan with each seed and prints the results. */
void print_case(const char* name, load_plan plan)
{
    std::vector<double> goodput;
    std::vector<double> orders;
    std::vector<double> wasted;
    std::vector<double> found;
    std::vector<double> recovery;
    for (plan.m_seed = 1; plan.m_seed <= seeds; ++plan.m_seed) {
        const load_figures figures = run_load(plan);
        goodput.push_back(figures.m_goodput);
        orders.push_back(figures.m_orders);
        wasted.push_back(figures.m_wasted);
        found.push_back(figures.m_ramp_up);
        recovery.push_back(figures.m_recovery);
    }
    std::printf(
        "%-9s %-9s %3u %-9s goodput %5.3f (worst %5.3f) orders %6.4f (worst %6.4f) wasted %5.3f found %4.1f "
        "recovery %4.1f (worst %4.1f)\n",
        name, target_names[static_cast<std::size_t>(plan.m_target)].data(), plan.m_slots,
        control_names[static_cast<std::size_t>(plan.m_control)].data(), median(goodput),
        *std::min_element(goodput.begin(), goodput.end()), median(orders),
        *std::min_element(orders.begin(), orders.end()), median(wasted), median(found), median(recovery),
        *std::max_element(recovery.begin(), recovery.end()));
}

/** Returns the plan of a case.
 * @param name `surge`: load above capacity; `slow`: target at a quarter of its speed; `nested`: a surge with
 *             sub-calls.
 */
load_plan make_plan(std::string_view name, target_kind target, control_kind control, const size_case& size)
{
    load_plan plan;
    plan.m_target = target;
    plan.m_control = control;
    plan.m_slots = size.m_slots;
    plan.m_cores = std::ceil(0.4 * size.m_slots);
    plan.m_work = size.m_work;
    if (name == "slow") {
        plan.m_load = plan.m_base_load;
        plan.m_slow = 4.0;
    }
    if (name == "nested") {
        plan.m_sub_calls = 3.0 * size.m_work;
    }
    return plan;
}

/** Runs and prints all load cases.
 * @param only Name of the only control to measure; null for all.
 */
void print_load(const char* only)
{
    for (const char* name : {"surge", "slow", "nested"}) {
        for (const target_kind target :
             {target_kind::parallel, target_kind::shared, target_kind::degrading}) {
            for (const size_case& size : sizes) {
                for (const control_kind control :
                     {control_kind::none, control_kind::fixed, control_kind::admission}) {
                    if (only == nullptr || control_names[static_cast<std::size_t>(control)] == only) {
                        print_case(name, make_plan(name, target, control, size));
                    }
                }
            }
        }
    }
}

} // namespace

int main(int count, char** arguments)
{
    if (count >= 5 && std::strcmp(arguments[1], "trace") == 0) {
        load_plan plan =
            make_plan(arguments[2], static_cast<target_kind>(std::atoi(arguments[3])),
                      control_kind::admission, sizes.at(static_cast<std::size_t>(std::atoi(arguments[4]))));
        plan.m_seed = count >= 6 ? static_cast<std::uint64_t>(std::atoi(arguments[5])) : 1;
        plan.m_trace = true;
        run_load(plan);
        return 0;
    }
    print_cost();
    print_shares();
    print_load(count >= 2 ? arguments[1] : nullptr);
    return 0;
}
