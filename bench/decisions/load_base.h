/** @file load_base.h Simulation of a target and its load, to measure admission control. */
#ifndef WAXWING_BENCH_DECISIONS_LOAD_BASE_H
#define WAXWING_BENCH_DECISIONS_LOAD_BASE_H

#include "policy/policy.h"

#include <deque>
#include <map>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace waxwing::bench {

/** How the speed of a target depends on its calls in progress. */
enum class target_kind {
    parallel, ///< Each slot runs at full speed.
    shared,   ///< All calls in progress share a number of cores.
    degrading ///< As shared, with overhead for each call in excess of the cores.
};

/** How calls are admitted to the target. */
enum class control_kind {
    none,     ///< All calls go to the target immediately.
    fixed,    ///< As many calls as slots, the others wait in a FIFO queue.
    admission ///< By the class admission, which is measured.
};

inline constexpr std::array<std::string_view, 3> target_names{"parallel", "shared",
                                                              "degrading"};                   ///< By value.
inline constexpr std::array<std::string_view, 3> control_names{"none", "fixed", "admission"}; ///< By value.

/** Parameters of a simulation run. Overload means the period from m_begin to m_end. */
struct load_plan {
    target_kind m_target = target_kind::parallel;     ///< Type of the target.
    control_kind m_control = control_kind::admission; ///< Type of admission control.
    std::uint32_t m_slots = 10;                       ///< Slots of the target.
    double m_cores = 4.0;                             ///< Cores of the target, if they are shared.
    double m_work = 0.05;                             ///< Mean run time without contention, in seconds.
    double m_sub_calls = 0.0; ///< Mean time waiting for sub-calls, in seconds; 0 if there are none.
    double m_base_load = 0.7; ///< Load outside the overload, as a ratio of capacity.
    double m_load = 3.0;      ///< Load during the overload, as a ratio of the normal capacity.
    double m_slow = 1.0;      ///< Factor on run times during the overload.
    double m_orders = 0.1;    ///< Ratio of orders among the calls.
    double m_begin = 5.0;     ///< Start of the overload, in seconds.
    double m_end = 25.0;      ///< End of the overload, in seconds.
    double m_length = 35.0;   ///< Length of the run, in seconds.
    double m_deadline = 1.0;  ///< Time from the arrival of a call to its deadline, in seconds.
    std::uint64_t m_seed = 1; ///< Seed of the random source.
    bool m_trace = false;     ///< Whether to print a line for each interval of the goodput curve.

    /** Returns the number of calls per second that the target can complete. */
    double capacity() const;
};

/** Results of a simulation run. */
struct load_figures {
    double m_goodput =
        0.0; ///< Calls completed in time, as a ratio of those possible, in the settled overload.
    double m_orders = 0.0; ///< Ratio of the orders offered during the overload that completed in time.
    double m_wasted = 0.0; ///< Ratio of runs that ended after their deadline.
    double m_ramp_up =
        0.0; ///< Seconds of overload until goodput first time_to_reach 90 % of what is possible.
    double m_recovery =
        0.0; ///< Seconds after the overload until goodput time_to_reach 95 % of the offered load.
};

/** Simulates @p plan. */
load_figures run_load(const load_plan& plan);

} // namespace waxwing::bench

#endif
