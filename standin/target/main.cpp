/** @file main.cpp Command line of the stand-in target. */
#include "standin/target/target_base.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>
#include <sstream>

using namespace waxwing;

namespace {

constexpr const char* usage = R"(standin_target - a stand-in target for tests

Usage:
  standin_target --service=NAME --listen=ADDRESS [options]
  standin_target (-h | --help)

Options:
  --service=NAME       Service that it belongs to.
  --listen=ADDRESS     Address that it listens on.
  --node=ADDRESS       Its node's address for callers, used for sub-calls [default: 127.0.0.1:0].
  --announce=ADDRESS   Its node's operator API, to announce itself to [default: 127.0.0.1:0].
  --slots=N            Requests that it processes at once [default: 16].
  --connections=N      Connections that it accepts [default: 100].
  --service-ms=N       Median of the service time, without sub-calls [default: 10].
  --cold-start-ms=N    Time after the start until it reports healthy [default: 0].
  --calls=LIST         Sub-calls of each request, as service:/path,service:/path [default: ].
  --seed=N             Seed of the service times [default: 1].

Over HTTP: GET /health /load /executions; POST /faults with service_factor, failure_share, health_lies, load_lie,
sheds_all. A request with the header X-Crash: 1 ends the process; X-Answer-Bytes: N asks for an answer that is N bytes
longer.
)";

/** Parses `service:/path,service:/path`; parts without a colon are skipped. */
std::vector<sub_call> read_calls(const std::string& text)
{
    std::vector<sub_call> calls;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        const std::size_t colon = part.find(':');
        if (colon != std::string::npos) {
            calls.push_back({part.substr(0, colon), part.substr(colon + 1)});
        }
    }
    return calls;
}

/** Parses an address; exits with status 2 if it is invalid. */
endpoint read_address(const docopt::value& text)
{
    const result<endpoint> address = parse_endpoint(text.asString());
    if (address.has_error()) {
        std::cerr << address.error().m_text << '\n';
        std::exit(2);
    }
    return address.value();
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> args(argv + 1, argv + argc);
    const auto arguments = docopt::docopt(usage, args, true);
    target_options options;
    options.m_service = arguments.at("--service").asString();
    options.m_listen = read_address(arguments.at("--listen"));
    options.m_node = read_address(arguments.at("--node"));
    options.m_announce = read_address(arguments.at("--announce"));
    options.m_slots = static_cast<unsigned>(arguments.at("--slots").asLong());
    options.m_max_connections = static_cast<unsigned>(arguments.at("--connections").asLong());
    options.m_service_duration = std::chrono::milliseconds(arguments.at("--service-ms").asLong());
    options.m_cold_start_duration = std::chrono::milliseconds(arguments.at("--cold-start-ms").asLong());
    options.m_sub_call_plan = read_calls(arguments.at("--calls") ? arguments.at("--calls").asString() : "");
    options.m_seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    target_standin target(loop, options);
    const result<void> start_result = target.start();
    if (start_result.has_error()) {
        std::cerr << start_result.error().m_text << '\n';
        return 1;
    }
    const signal_watcher terminate_watcher(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
