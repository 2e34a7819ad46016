/** @file main.cpp The daemon waxwingd. */
#include "events/events.h"
#include "loop/loop.h"
#include "node/node.h"
#include "platform/platform.h"

#include <docopt/docopt.h>

#include <malloc.h>

#include <csignal>
#include <iostream>

using namespace waxwing;

namespace {

constexpr int settings_refused_status = 2;
constexpr int start_failed_status = 1;
/** Blocks from this size on are returned to the system when they are freed. Set, since glibc otherwise raises
 * the threshold to the size of the largest block freed, and then keeps freed bodies. */
constexpr int mapped_block_bytes = 128 * 1024;
constexpr duration settings_poll_interval = std::chrono::seconds(5); ///< A read takes about 20 us.

constexpr const char* usage = R"(waxwingd - a waxwinghub node

Usage:
  waxwingd --settings=FILE [--check]
  waxwingd (-h | --help)
  waxwingd --version

Options:
  --settings=FILE  Settings file, in INI format.
  --check          Check the settings and the charts, then exit.
  -h --help        Show this text.
  --version        Show the version.

A running node reloads a changed settings file on SIGHUP, and also without a signal, since it polls the file. Settings
that can't change at run time apply after a restart; a file with errors changes nothing.

Exit status: 0 after a planned stop or passed check, 1 if the node can't start, 2 if the settings or charts are invalid.
)";

/** Prints @p errors to standard error, one a line. */
void print_errors(const located_errors& errors)
{
    for (const located_error& error : errors) {
        std::cerr << to_string(error) << '\n';
    }
}

/**
 * Parses the settings in @p text, read from @p path.
 * @return the settings, or the errors; a missing @p text is one.
 */
result<node_settings, located_errors> parse_settings(const std::string& path,
                                                     const std::optional<std::string>& text)
{
    if (!text.has_value()) {
        return located_errors{{path, 0, "can't be opened"}};
    }
    result<node_settings, located_errors> settings = read_settings(path, *text);
    if (settings.has_value() && settings.value().m_charts.empty()) {
        settings.value().m_charts = WAXWING_CHARTS;
    }
    return settings;
}

/**
 * Reloads the settings file after a change. The file is also polled, since it may change without a signal.
 * Thread safety: for the loop's thread only.
 */
class settings_watcher {
public:
    /** Starts polling @p path. @pre @p loop and @p local_node outlive this. */
    settings_watcher(event_loop& loop, node& local_node, std::string path)
        : m_node(local_node), m_path(std::move(path)), m_text(read_file(m_path)),
          m_timer(loop, [this] { check_file(); })
    {
        m_timer.set(settings_poll_interval);
    }

    /** Applies the file if it has changed; if it has errors, the last valid settings stay in force. */
    void check_file()
    {
        m_timer.set(settings_poll_interval);
        std::optional<std::string> text = read_file(m_path);
        if (text == m_text) {
            return;
        }
        m_text = std::move(text);
        const result<node_settings, located_errors> settings = parse_settings(m_path, m_text);
        if (settings.has_error()) {
            log_event(event::settings_refused, {{"place", to_string(settings.error().front())}});
            return;
        }
        const settings_change change = m_node.apply(settings.value());
        log_event(event::settings_reloaded, {{"changed", change.m_applied ? "yes" : "no"},
                                             {"needs_restart", change.m_needs_restart ? "yes" : "no"}});
    }

private:
    node& m_node;                      ///< Applies the settings.
    std::string m_path;                ///< The settings file.
    std::optional<std::string> m_text; ///< Its text at the last check; absent if it could not be read.
    timer m_timer;                     ///< Polls the file.
};

/** Runs the node until a signal stops it. @return the exit status. */
int serve(const std::string& path, const node_settings& settings, node_charts charts)
{
    start_log("waxwingd", settings.m_log_format);
    event_loop loop;
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    const incarnation own_incarnation{
        static_cast<std::uint64_t>(event_loop::wall_now().time_since_epoch().count())};
    const bool on_platform = settings.m_configuration == configuration_source::platform;
    store_settings store_options;
    store_options.m_address = settings.m_store;
    const std::unique_ptr<storage> store = on_platform ? make_operator_store(loop, store_options, seed + 1)
                                                       : make_store_client(loop, store_options, seed + 1);
    const node_environment environment{*store, on_platform ? platform_dialect() : request_dialect{}};
    node local_node(loop, settings, environment, std::move(charts), own_incarnation, seed);
    result<void> start_result = local_node.start();
    gateway_handlers handlers;
    handlers.m_on_announcement = [&local_node](const target_announcement& announcement,
                                               std::function<void(bool)> acknowledge) {
        local_node.announce(announcement, std::move(acknowledge));
    };
    handlers.m_trusts_target = [&local_node] { return local_node.trusts_target(); };
    handlers.m_is_ready = [&local_node] { return local_node.ready().m_ready; };
    auto platform_gateway = gateway::open(loop,
                                          {settings.m_registry, settings.m_readiness, settings.m_service,
                                           settings.m_redirects_after, settings.m_redirects_before},
                                          std::move(handlers));
    if (start_result.has_value() && platform_gateway.has_error()) {
        start_result = platform_gateway.error();
    }
    if (start_result.has_error()) {
        log_event(event::listen_failed, {{"reason", start_result.error().m_text}});
        return start_failed_status;
    }
    log_event(event::node_started, {{"node", settings.m_name.m_value}, {"version", WAXWING_VERSION}});
    settings_watcher watcher(loop, local_node, path);
    const signal_watcher hangup_watcher(loop, SIGHUP, [&watcher] { watcher.check_file(); });
    const signal_watcher terminate_watcher(loop, SIGTERM, [&local_node] { local_node.stop(); });
    const signal_watcher interrupt_watcher(loop, SIGINT, [&local_node] { local_node.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGHUP, SIG_IGN); // Until serve() handles it: by default SIGHUP would end the process.
    const std::vector<std::string> args(argv + 1, argv + argc);
    const auto options = docopt::docopt(usage, args, true, std::string("waxwingd ") + WAXWING_VERSION);
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
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
    return serve(path, settings.value(), std::move(charts).value());
}
