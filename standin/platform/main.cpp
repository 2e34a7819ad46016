/** @file main.cpp Stand-in for the platform's store: rows with conditional transactions and a change feed,
 * and objects. */
#include "loop/loop.h"
#include "standin/platform/platform_base.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

using namespace waxwing;

namespace {

constexpr const char* usage = R"(standin_platform - stand-in for the platform's store

Usage:
  standin_platform --listen=ADDRESS [--writes=N] [--reads=N] [--seed=N]
  standin_platform (-h | --help)

Options:
  --listen=ADDRESS  Address to listen on.
  --writes=N        Writes per second; more are refused with 429 [default: 300].
  --reads=N         Reads per second; more are refused with 429 [default: 2000].
  --seed=N          Seed of the random choice of lost answers [default: 1].

Over HTTP: POST /faults with down (answer 503), slow_ms (delay of answers), lose_answers (ratio of writes that
take effect but whose answer is dropped), lose_next (number of next writes whose answer is dropped), compact
(drop the change history), writes and reads (limits per second), copy (take a copy of all rows and objects),
restore (go back to the copy: raises Store-Era, which all answers name, and refuses waiting feeds); GET /counters.
)";

} // namespace

int main(int count, char** arguments)
{
    const std::vector<std::string> argument_list(arguments + 1, arguments + count);
    const auto options = docopt::docopt(usage, argument_list, true);
    const result<endpoint> address = parse_endpoint(options.at("--listen").asString());
    if (address.has_error()) {
        std::cerr << address.error().m_text << '\n';
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    platform_standin platform(loop, static_cast<double>(options.at("--writes").asLong()),
                              static_cast<double>(options.at("--reads").asLong()),
                              static_cast<std::uint64_t>(options.at("--seed").asLong()));
    const result<void> outcome = platform.start(address.value());
    if (outcome.has_error()) {
        std::cerr << outcome.error().m_text << '\n';
        return 1;
    }
    const signal_watcher on_terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
