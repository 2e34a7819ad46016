/** @file main.cpp Benchmarks links: message cost, latency beside large bodies, idle traffic, memory. */
#include "link/link.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace waxwing;

namespace {

constexpr std::size_t small_body = 400;
constexpr std::size_t large_body = 1024 * 1024;
constexpr std::uint64_t large_attempt = std::uint64_t{1} << 32U;

/** Returns settings of a node that listens on a port chosen by the system. */
link_settings settings_of(const std::string& name)
{
    link_settings settings;
    settings.m_self = {name};
    settings.m_listen = {"127.0.0.1", 0};
    settings.m_shared_key = "bench";
    return settings;
}

/** Opens a link task; exits the program on failure. */
std::unique_ptr<link_task> open_or_exit(event_loop& loop, const std::string& name,
                                        link_task::handler on_event)
{
    auto task = link_task::open(loop, settings_of(name), 1, std::move(on_event));
    if (task.has_error()) {
        std::fprintf(stderr, "%s\n", task.error().m_text.c_str());
        std::exit(1);
    }
    return std::move(task).value();
}

/** Returns the processor time of this process, in microseconds. */
double processor_microseconds()
{
    timespec reading{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &reading);
    return static_cast<double>(reading.tv_sec) * 1e6 + static_cast<double>(reading.tv_nsec) / 1e3;
}

/** Returns the resident memory of this process, in bytes. */
double resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/** Echoes the body of each call; runs an event loop on its own thread. */
class echo_node {
public:
    explicit echo_node(const std::string& name)
    {
        std::atomic<bool> ready = false;
        m_thread = std::thread([this, name, &ready] { run(name, ready); });
        while (!ready) {
            std::this_thread::yield();
        }
    }

    ~echo_node()
    {
        m_stop = true;
        m_thread.join();
    }
    echo_node(const echo_node&) = delete;
    echo_node& operator=(const echo_node&) = delete;

    /** Returns the listening address. */
    const endpoint& address() const { return m_address; }

private:
    /** Runs the node until the destructor. */
    void run(const std::string& name, std::atomic<bool>& ready)
    {
        event_loop loop;
        link_task* task = nullptr;
        const auto owned = open_or_exit(loop, name, [&](link_event&& event) {
            if (auto* received = std::get_if<link_received>(&event); received != nullptr) {
                auto& call = std::get<call_message>(received->m_message);
                answer_message answer;
                answer.m_attempt = call.m_attempt;
                answer.m_answer.m_body = std::move(call.m_call.m_body);
                task->send(received->m_peer, std::move(answer));
            }
        });
        task = owned.get();
        m_address = owned->address();
        timer stop_check(loop, [&] {
            if (m_stop) {
                loop.stop();
                return;
            }
            stop_check.set(std::chrono::milliseconds(10));
        });
        stop_check.set(std::chrono::milliseconds(10));
        ready = true;
        loop.run();
    }

    std::thread m_thread;
    std::atomic<bool> m_stop = false;
    endpoint m_address;
};

/** Sends concurrent calls to an echo node and records their latencies. */
class caller {
public:
    explicit caller(const endpoint& echo)
    {
        m_task = open_or_exit(m_loop, "caller", [this](link_event&& event) { on_event(std::move(event)); });
        m_task->connect(m_echo, echo);
        m_loop.run();
    }

    /**
     * Makes @p count calls with bodies of @p size bytes, @p concurrency at a time, beside @p
     * large_concurrency concurrent large calls.
     * @return the sorted latencies, in microseconds.
     */
    std::vector<double> run(std::size_t count, std::size_t size, std::size_t concurrency,
                            std::size_t large_concurrency)
    {
        m_latencies.clear();
        m_sent_at.assign(count, instant{});
        m_next = 0;
        m_body_size = size;
        for (std::size_t index = 0; index < large_concurrency; ++index) {
            send_large();
        }
        for (std::size_t index = 0; index < concurrency; ++index) {
            send_next();
        }
        m_loop.run();
        while (m_large_in_progress > 0) {
            m_loop.run();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        return m_latencies;
    }

    /** Returns the number of large calls that were answered. */
    std::size_t large_done() const { return m_large_done; }

private:
    void send_next()
    {
        if (m_next == m_sent_at.size()) {
            return;
        }
        m_sent_at[m_next] = event_loop::now();
        send(m_next++, m_body_size);
    }

    void send_large()
    {
        ++m_large_in_progress;
        send(large_attempt, large_body);
    }

    void send(std::uint64_t attempt, std::size_t size)
    {
        call_message message;
        message.m_attempt = {attempt};
        message.m_call.m_service = {"records"};
        message.m_call.m_kind = {"lookup"};
        message.m_call.m_method = "GET";
        message.m_call.m_path = "/stones/17?fields=all";
        message.m_call.m_headers = {{"accept", "application/json"}, {"user-agent", "bench"}};
        message.m_call.m_body = std::string(size, 'x');
        m_task->send(m_echo, std::move(message));
    }

    void on_event(link_event&& event)
    {
        if (std::holds_alternative<link_up>(event)) {
            m_loop.stop();
            return;
        }
        const auto* received = std::get_if<link_received>(&event);
        if (received == nullptr) {
            std::fprintf(stderr, "the link failed\n");
            std::exit(1);
        }
        const std::uint64_t attempt = std::get<answer_message>(received->m_message).m_attempt.m_value;
        if (attempt == large_attempt) {
            on_large_answer();
            return;
        }
        m_latencies.push_back(to_seconds(event_loop::now() - m_sent_at[attempt]) * 1e6);
        send_next();
        if (m_latencies.size() == m_sent_at.size()) {
            m_loop.stop();
        }
    }

    void on_large_answer()
    {
        --m_large_in_progress;
        ++m_large_done;
        if (m_latencies.size() < m_sent_at.size()) {
            send_large();
            return;
        }
        m_loop.stop();
    }

    const node_id m_echo{"echo"};
    event_loop m_loop;
    std::unique_ptr<link_task> m_task;
    std::vector<instant> m_sent_at;
    std::vector<double> m_latencies; ///< In microseconds.
    std::size_t m_next = 0;
    std::size_t m_body_size = 0;
    std::size_t m_large_in_progress = 0;
    std::size_t m_large_done = 0;
};

/** Returns the quantile @p ratio of the sorted @p values. */
double quantile(const std::vector<double>& values, double ratio)
{
    return values[static_cast<std::size_t>(ratio * static_cast<double>(values.size() - 1))];
}

/** Prints the processor time per message: half that of an echo, summed over both sides. */
void measure_cost(caller& client, const char* what, std::size_t count, std::size_t size,
                  std::size_t concurrency)
{
    client.run(count / 10 + 1, size, concurrency, 0);
    const double before = processor_microseconds();
    client.run(count, size, concurrency, 0);
    const double cost = (processor_microseconds() - before) / static_cast<double>(2 * count);
    std::printf("%s: %.1f us of processor time a message (encode, send, receive, decode), %zu at once\n",
                what, cost, concurrency);
}

/** Prints the latency of small calls alone and concurrently with large ones, and the ratio. */
void measure_latency(caller& client)
{
    constexpr std::size_t count = 5000;
    constexpr std::size_t large_concurrency = 2;
    client.run(count / 10, small_body, 1, 0);
    const std::vector<double> alone = client.run(count, small_body, 1, 0);
    const std::size_t large_before = client.large_done();
    const instant start = event_loop::now();
    const std::vector<double> beside = client.run(count, small_body, 1, large_concurrency);
    const double seconds = to_seconds(event_loop::now() - start);
    const double rate = static_cast<double>(client.large_done() - large_before) / seconds;
    std::printf("echo of 400 B alone: p50 %.0f us, p99 %.0f us\n", quantile(alone, 0.5),
                quantile(alone, 0.99));
    std::printf(
        "echo of 400 B beside %zu bodies of 1 MiB each way (%.0f bodies/s): p50 %.0f us, p99 %.0f us\n",
        large_concurrency, rate, quantile(beside, 0.5), quantile(beside, 0.99));
    std::printf("ratio beside/alone: p50 %.1f, p99 %.1f\n", quantile(beside, 0.5) / quantile(alone, 0.5),
                quantile(beside, 0.99) / quantile(alone, 0.99));
}

/** Prints the memory and the traffic of idle links. */
void measure_idle()
{
    constexpr std::size_t links = 200;
    constexpr duration window = std::chrono::seconds(10);
    event_loop loop;
    std::size_t up = 0;
    const auto count_up = [&](link_event&& event) {
        up += std::holds_alternative<link_up>(event) ? 1 : 0;
        if (up == 2 * links) {
            loop.stop();
        }
    };
    const auto hub = open_or_exit(loop, "hub", count_up);
    std::vector<std::unique_ptr<link_task>> peers;
    for (std::size_t index = 0; index < links; ++index) {
        peers.push_back(open_or_exit(loop, "peer" + std::to_string(index), count_up));
    }
    const double before = resident_bytes();
    for (const auto& peer : peers) {
        peer->connect({"hub"}, hub->address());
    }
    loop.run();
    const double used = (resident_bytes() - before) / (2 * links);
    const link_counters start = hub->counters();
    timer end(loop, [&] { loop.stop(); });
    end.set(window);
    loop.run();
    const link_counters& now = hub->counters();
    const double bytes =
        static_cast<double>(now.m_bytes_in - start.m_bytes_in + now.m_bytes_out - start.m_bytes_out);
    std::printf("idle link: %.1f bytes/s both ways, without the heads of TCP and IP\n",
                bytes / to_seconds(window) / links);
    std::printf("memory of an idle link: %.1f KiB at each end\n", used / 1024);
}

} // namespace

/** Runs all measurements. */
int main()
{
    measure_idle();
    const echo_node echo("echo");
    caller client(echo.address());
    measure_cost(client, "400 B", 50000, small_body, 32);
    measure_cost(client, "1 MiB", 300, large_body, 4);
    measure_latency(client);
    return 0;
}
