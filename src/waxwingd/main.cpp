/** @file main.cpp The daemon waxwingd. */
#include "events/events.h"
#include "loop/loop.h"
#include "node/node.h"
#include "platform/platform.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

using namespace waxwing;

namespace {

constexpr int settings_refused_status = 2;
constexpr int start_failed_status = 1;
constexpr duration settings_poll_interval = std::chrono::seconds(5); ///< One small file, read in some 20 us.

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

The settings file may change while the node runs, with SIGHUP or without. What a running node can't take waits for a
restart; a file with errors changes nothing.

Exit status: 0 after a planned stop or a good check, 1 where the node can't start, 2 where the settings are wrong.
)";

/** Writes @p errors for people. */
void print_errors(const located_errors& errors)
{
    for (const located_error& where : errors) {
        std::cerr << to_string(where) << '\n';
    }
}

/** Reads the settings in @p text, which came from @p path. */
result<node_settings, located_errors> parse_settings(const std::string& path,
                                                     const std::optional<std::string>& text)
{
    if (!text.has_value()) {
        return located_errors{{path, 0, "can't be opened"}};
    }
    result<node_settings, located_errors> read = read_settings(path, *text);
    if (read.has_value() && read.value().m_charts.empty()) {
        read.value().m_charts = WAXWING_CHARTS;
    }
    return read;
}

/** Looks for changes of the settings file, on a signal and now and then, since it may change without one. */
class settings_watch {
public:
    settings_watch(event_loop& loop, node& served, std::string path)
        : m_served(served), m_path(std::move(path)), m_text(read_file(m_path)),
          m_timer(loop, [this] { look(); })
    {
        m_timer.set(settings_poll_interval);
    }

    /** Takes the file into force where it has changed; one that is wrong leaves the last good settings. */
    void look()
    {
        m_timer.set(settings_poll_interval);
        std::optional<std::string> text = read_file(m_path);
        if (text == m_text) {
            return;
        }
        m_text = std::move(text);
        const result<node_settings, located_errors> read = parse_settings(m_path, m_text);
        if (read.has_error()) {
            log_event(event::settings_refused, {{"place", to_string(read.error().front())}});
            return;
        }
        const settings_change done = m_served.apply(read.value());
        log_event(event::settings_reloaded, {{"changed", done.m_applied ? "yes" : "no"},
                                             {"needs_restart", done.m_needs_restart ? "yes" : "no"}});
    }

private:
    node& m_served;
    std::string m_path;
    std::optional<std::string> m_text; ///< As it was last seen.
    timer m_timer;
};

/** Runs the node until its planned stop. @return the exit status. */
int serve(const std::string& path, const node_settings& settings, node_charts charts)
{
    start_log("waxwingd", settings.m_log_format);
    event_loop loop;
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    const incarnation own_incarnation{
        static_cast<std::uint64_t>(event_loop::wall_now().time_since_epoch().count())};
    const bool on_platform = settings.m_configuration == configuration_source::platform;
    store_settings store;
    store.m_address = settings.m_store;
    const std::unique_ptr<storage> kept =
        on_platform ? make_operator_store(loop, store, seed + 1) : make_store_client(loop, store, seed + 1);
    const node_environment environment{*kept, on_platform ? platform_dialect() : request_dialect{}};
    node served(loop, settings, environment, std::move(charts), own_incarnation, seed);
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
    settings_watch watched(loop, served, path);
    const signal_watcher on_hangup(loop, SIGHUP, [&watched] { watched.look(); });
    const signal_watcher on_terminate(loop, SIGTERM, [&served] { served.stop(); });
    const signal_watcher on_interrupt(loop, SIGINT, [&served] { served.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGHUP, SIG_IGN); // Until the settings are watched; the default would end the process.
    const std::vector<std::string> words(arguments + 1, arguments + count);
    const auto options = docopt::docopt(usage, words, true, std::string("waxwingd ") + WAXWING_VERSION);
    const std::string path = options.at("--settings").asString();
    const result<node_settings, located_errors> settings = parse_settings(path, read_file(path));
    if (settings.has_error()) {
        print_errors(settings.error());
        return settings_refused_status;
    }
    result<node_charts, located_errors> charts = read_charts(settings.value().m_charts);
    if (charts.has_error()) {
        print_errors(charts.error());
        return settings_refused_status;
    }
    if (options.at("--check").asBool()) {
        std::cout << path << ": the settings are in order\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return serve(path, settings.value(), std::move(charts).value());
}
