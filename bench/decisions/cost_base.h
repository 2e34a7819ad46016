/** @file cost_base.h Time and allocations per decision, and the effect of caller shares. */
#ifndef WAXWING_BENCH_DECISIONS_COST_BASE_H
#define WAXWING_BENCH_DECISIONS_COST_BASE_H

namespace waxwing::bench {

/** Measures and prints the time and the allocations for admission, routing and accounting of one call. */
void print_cost();

/** Measures and prints how caller shares protect callers with little load from one that sends a flood. */
void print_shares();

} // namespace waxwing::bench

#endif
