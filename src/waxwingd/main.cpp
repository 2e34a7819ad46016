/** @file main.cpp The daemon waxwingd. */
#include "events/events.h"
#include "loop/loop.h"
#include "node/node.h"
#include "platform/platform.h"

#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace waxwing;

namespace {

constexpr int settings_refused_status = 2;
constexpr int start_failed_status = 1;

constexpr const char* usage = R"(waxwingd - the node beside one target

Usage:
  waxwingd --settings=FILE [--check]
  waxwingd (-h | --help)
  waxwingd --version

Options:
  --settings=FILE  Settings, in INI.
  --check          Only check the settings and the charts.
  -h --help        Show this text.
  --version        Show the version.

Exit status: 0 after a planned stop or a good check, 1 where the node can't start, 2 where the settings are wrong.
)";

/** Writes @p errors for people. */
void print_errors(const located_errors& errors)
{
    for (const located_error& where : errors) {
        std::cerr << to_string(where) << '\n';
    }
}

/** Reads the settings in @p path; errors are printed. */
std::optional<node_settings> load_settings(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        print_errors({{path, 0, "can't be opened"}});
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    result<node_settings, located_errors> read = read_settings(path, std::move(text).str());
    if (read.has_error()) {
        print_errors(read.error());
        return std::nullopt;
    }
    node_settings settings = std::move(read).value();
    if (settings.m_charts.empty()) {
        settings.m_charts = WAXWING_CHARTS;
    }
    return settings;
}

/** Runs the node until its planned stop. @return the exit status. */
int serve(const node_settings& settings, node_charts charts)
{
    start_log("waxwingd", settings.m_log_format);
    event_loop loop;
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    const incarnation life{static_cast<std::uint64_t>(event_loop::wall_now().time_since_epoch().count())};
    const bool on_platform = settings.m_configuration == configuration_source::platform;
    store_settings store;
    store.m_address = settings.m_store;
    const std::unique_ptr<storage> kept =
        on_platform ? make_operator_store(loop, store, seed + 1) : make_store_client(loop, store, seed + 1);
    const node_surroundings surroundings{*kept, on_platform ? platform_dialect() : request_dialect{}};
    node served(loop, settings, surroundings, std::move(charts), life, seed);
    result<void> started = served.start();
    gateway_handlers handlers;
    handlers.m_on_announcement = [&served](const target_announcement& said) { served.announce(said); };
    handlers.m_is_ready = [&served] { return served.ready().m_ready; };
    auto opened = gateway::open(loop, {settings.m_registry, settings.m_readiness, settings.m_service},
                                std::move(handlers));
    if (started.has_value() && opened.has_error()) {
        started = opened.error();
    }
    if (started.has_error()) {
        log_event(event::listen_failed, {{"reason", started.error().m_text}});
        return start_failed_status;
    }
    log_event(event::node_started, {{"node", settings.m_name.m_value}, {"version", WAXWING_VERSION}});
    const signal_watcher on_terminate(loop, SIGTERM, [&served] { served.stop(); });
    const signal_watcher on_interrupt(loop, SIGINT, [&served] { served.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int count, char** arguments)
{
    const std::vector<std::string> words(arguments + 1, arguments + count);
    const auto options = docopt::docopt(usage, words, true, std::string("waxwingd ") + WAXWING_VERSION);
    const std::string path = options.at("--settings").asString();
    const std::optional<node_settings> settings = load_settings(path);
    if (!settings.has_value()) {
        return settings_refused_status;
    }
    result<node_charts, located_errors> charts = read_charts(settings->m_charts);
    if (charts.has_error()) {
        print_errors(charts.error());
        return settings_refused_status;
    }
    if (options.at("--check").asBool()) {
        std::cout << path << ": the settings are in order\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return serve(*settings, std::move(charts).value());
}
