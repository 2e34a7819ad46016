/** @file main.cpp Command line of the load generator, which writes its report as JSON lines. */
#include "bench/load/load_base.h"

#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace waxwing;

namespace {

constexpr const char* usage = R"(bench_load - send load by a plan and report the outcomes as JSON lines

Usage:
  bench_load --plan=FILE [--seed=N]
  bench_load (-h | --help)

Options:
  --plan=FILE  Plan, in JSON; bench/load/plan_type.h describes its fields.
  --seed=N     Seed of the random source [default: 1].
)";

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> args(argv + 1, argv + argc);
    const auto options = docopt::docopt(usage, args, true);
    std::ifstream stream(options.at("--plan").asString(), std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    const result<load_plan> plan = read_plan(std::move(text).str());
    if (plan.has_error()) {
        std::cerr << plan.error().m_text << '\n';
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    load_generator generator(loop, plan.value(), static_cast<std::uint64_t>(options.at("--seed").asLong()));
    generator.start();
    loop.run();
    return 0;
}
