/** @file main.cpp Stateful fuzzing of the fleet model; prints a shortened sequence of steps for a failure. */
#include "test/fleet_steps.h"

#include <docopt/docopt.h>

#include <iostream>

using namespace waxwing;
using namespace waxwing::model;

namespace {

constexpr const char* usage = R"(bench_fuzz - stateful fuzzing of the fleet model

Usage:
  bench_fuzz [--seed=N] [--minutes=M] [--runs=R]
  bench_fuzz (-h | --help)

Options:
  --seed=N     Seed of the first run; each run uses the next [default: 1].
  --minutes=M  Time limit in minutes [default: 1].
  --runs=R     Maximum number of runs; 0 for no limit [default: 0].

Exit status: 0 if no invariant was violated, 1 otherwise.
)";

constexpr std::size_t max_steps = 120;

/** Draws steps with the generator of the tests, without its shrinking. */
std::vector<step> draw_steps(random_source& random)
{
    const rc::Gen<std::vector<step>> generator = rc::gen::arbitrary<std::vector<step>>();
    return generator(rc::Random(random()), static_cast<int>(max_steps)).value();
}

/** Removes steps as long as the failure still occurs. */
std::vector<step> shorten(std::vector<step> steps, std::uint64_t seed)
{
    for (std::size_t removed_count = steps.size() / 2; removed_count > 0; removed_count /= 2) {
        for (std::size_t start = 0; start + removed_count <= steps.size();) {
            std::vector<step> fewer = steps;
            const auto first = fewer.begin() + static_cast<std::ptrdiff_t>(start);
            fewer.erase(first, first + static_cast<std::ptrdiff_t>(removed_count));
            if (run_steps(fewer, seed).empty()) {
                ++start;
            }
            else {
                steps = std::move(fewer);
            }
        }
    }
    return steps;
}

} // namespace

int main(int count, char** arguments)
{
    const std::vector<std::string> words(arguments + 1, arguments + count);
    const auto options = docopt::docopt(usage, words, true);
    std::uint64_t seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
    const long runs = options.at("--runs").asLong();
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::minutes(options.at("--minutes").asLong());
    std::uint64_t steps_done = 0;
    long run = 0;
    while (std::chrono::steady_clock::now() < end && (runs == 0 || run < runs)) {
        random_source random(seed);
        std::vector<step> steps = draw_steps(random);
        steps_done += steps.size();
        const std::string violation = run_steps(steps, seed);
        if (!violation.empty()) {
            std::cout << "seed " << seed << ": " << violation << '\n';
            for (const step& one : shorten(std::move(steps), seed)) {
                showValue(one, std::cout);
                std::cout << ",\n";
            }
            return 1;
        }
        ++seed;
        ++run;
    }
    std::cout << "fuzz: " << run << " runs, " << steps_done << " steps, no promise broken\n";
    return 0;
}
