/** @file main.cpp Benchmark of membership: traffic, CPU time, memory and propagation times. */
#include "test/member_network.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <string>

using namespace waxwing;
using namespace std::chrono_literals;

namespace {

constexpr duration warm_up = 120s;
constexpr duration steady_time = 60s;
constexpr std::size_t bytes_per_kilobyte = 1000;

/** Results for one fleet size and seed. */
struct fleet_results {
    double m_bytes = 0;             ///< Bytes per node and second, sent and received, without changes.
    double m_worst_bytes = 0;       ///< The same for the node with the most traffic.
    double m_messages = 0;          ///< Messages per node and second, sent and received.
    double m_processor_us = 0;      ///< CPU time per node and second.
    double m_memory_kb = 0;         ///< Memory per node.
    double m_publication_bytes = 0; ///< As m_bytes, from a new revision until known, at least 32 s.
    double m_revision_known = 0; ///< Seconds until one node knows that all others have the revision in force.
    std::vector<double> m_drain; ///< Seconds until all nodes know, one value per drain.
    double m_drain_bytes = 0;    ///< Bytes per node for one drain, beyond the steady traffic.
    double m_batch_drain = 0;    ///< Seconds until all nodes know that a tenth of the targets drain.
    double m_detect_first = 0;   ///< Seconds until the first node declares a killed one dead.
    double m_detect_all = 0;     ///< Seconds until all nodes do.
    double m_zone_99_percent = 0; ///< Seconds until 99 % of live and killed node pairs are settled.
    double m_zone_all = 0;        ///< Seconds until all live nodes know that a quarter of the fleet is dead.
    double m_zone_bytes = 0; ///< Bytes per node and second over at least 30 s from the loss of a quarter.
};

/** Returns the CPU time of the process. */
double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Returns the heap bytes in use. */
double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** Returns the total bytes sent and received by all nodes. */
double total_bytes(member_network& network)
{
    double sum = 0;
    for (const network_node& node : network.nodes()) {
        sum += static_cast<double>(node.m_bytes_in + node.m_bytes_out);
    }
    return sum;
}

/** Returns the number of live nodes whose record of @p name satisfies @p predicate. */
std::size_t count_knowing(member_network& network, const std::string& name,
                          const std::function<bool(const member_record&)>& predicate)
{
    std::size_t count = 0;
    for (const network_node& node : network.nodes()) {
        const member_record* const record = node.m_membership ? node.m_membership->find({name}) : nullptr;
        count += record != nullptr && predicate(*record) ? 1 : 0;
    }
    return count;
}

/** Runs until @p node_count nodes have a record of @p name that satisfies @p predicate. @return seconds, or
 * NaN if @p limit is reached. */
double time_until(member_network& network, std::size_t node_count, duration limit, const std::string& name,
                  const std::function<bool(const member_record&)>& predicate)
{
    std::size_t known_count = count_knowing(network, name, predicate);
    std::set<std::size_t> seen;
    network.observe([&](std::size_t node, const member_record& record) {
        if (record.m_node.m_value == name && predicate(record) && seen.insert(node).second) {
            ++known_count;
        }
    });
    const auto taken = network.run_until(limit, [&] { return known_count >= node_count; });
    network.observe({});
    return taken ? to_seconds(*taken) : std::nan("");
}

/** Returns the name of node @p index. */
std::string name_of(std::size_t index)
{
    return "records-eg-north-" + std::to_string(index);
}

/** Measures the steady state. */
void measure_steady(member_network& network, fleet_results& results)
{
    const auto count = static_cast<double>(network.nodes().size());
    for (network_node& node : network.nodes()) {
        node.m_bytes_in = node.m_bytes_out = node.m_messages = 0;
    }
    const double begin = processor_seconds();
    network.run(steady_time);
    const double seconds = to_seconds(steady_time);
    results.m_processor_us = (processor_seconds() - begin) * 1e6 / count / seconds;
    results.m_bytes = total_bytes(network) / count / seconds;
    for (const network_node& node : network.nodes()) {
        results.m_worst_bytes = std::max(results.m_worst_bytes,
                                         static_cast<double>(node.m_bytes_in + node.m_bytes_out) / seconds);
        results.m_messages += static_cast<double>(node.m_messages) / count / seconds;
    }
}

/** Measures the spread of a new revision that all nodes put in force within five seconds. */
void measure_revision(member_network& network, fleet_results& results)
{
    const std::size_t count = network.nodes().size();
    const double before = total_bytes(network);
    const instant begin = network.now();
    std::size_t known = 0;
    network.observe([&](std::size_t node, const member_record& record) {
        known += node == 0 && record.m_revision.m_value == 9 ? 1 : 0;
    });
    for (std::size_t index = 0; index < count; ++index) {
        network.run(5s / static_cast<int>(count));
        network.invoke(index,
                       [&](membership& node, auto& out) { node.set_revision(network.now(), {9}, out); });
    }
    const auto taken = network.run_until(300s, [&] { return known + 1 >= count; });
    results.m_revision_known = taken ? to_seconds(network.now() - begin) : std::nan("");
    network.observe({});
    network.run(std::max(duration{}, begin + 32s - network.now()));
    const double seconds = to_seconds(network.now() - begin);
    results.m_publication_bytes = (total_bytes(network) - before) / static_cast<double>(count) / seconds;
}

/** Measures drains of single targets, one after another. */
void measure_drains(member_network& network, fleet_results& results)
{
    constexpr std::size_t drains = 10;
    const std::size_t count = network.nodes().size();
    constexpr duration baseline_time = 20s;
    const double begin_bytes = total_bytes(network);
    network.run(baseline_time);
    const double baseline = (total_bytes(network) - begin_bytes) / to_seconds(baseline_time);
    double extra = 0;
    for (std::size_t turn = 0; turn < drains; ++turn) {
        const std::size_t index = turn * 7 % count;
        const target_state next = turn * 7 / count % 2 == 0 ? target_state::draining : target_state::ready;
        const double before = total_bytes(network);
        const instant begin = network.now();
        network.invoke(index, [&](membership& node, auto& out) {
            node.set_target(network.now(), next, {"records"}, 35, out);
        });
        results.m_drain.push_back(
            time_until(network, count - 1, 60s, name_of(index),
                       [&](const member_record& record) { return record.m_target == next; }));
        network.run(20s);
        extra += total_bytes(network) - before - baseline * to_seconds(network.now() - begin);
    }
    results.m_drain_bytes = extra / drains / static_cast<double>(count);
}

/** Measures a tenth of the targets starting to drain at the same time. */
void measure_batch(member_network& network, fleet_results& results)
{
    const std::size_t count = network.nodes().size();
    const std::size_t batch = std::max<std::size_t>(1, count / 10);
    for (std::size_t index = 0; index < count; ++index) {
        network.run(50ms);
        network.invoke(index, [&](membership& node, auto& out) {
            node.set_target(network.now(), target_state::ready, {"records"}, 35, out);
        });
    }
    network.run(60s);
    std::size_t report_count = 0;
    network.observe([&](std::size_t, const member_record& record) {
        report_count += record.m_target == target_state::draining && record.m_slots == 99 ? 1 : 0;
    });
    for (std::size_t turn = 0; turn < batch; ++turn) {
        network.invoke((turn * 10 + 9) % count, [&](membership& node, auto& out) {
            node.set_target(network.now(), target_state::draining, {"records"}, 99, out);
        });
    }
    const auto taken = network.run_until(120s, [&] { return report_count >= batch * (count - 1); });
    results.m_batch_drain = taken ? to_seconds(*taken) : std::nan("");
    network.observe({});
    network.run(30s);
}

/** Measures the death of one node, then of a quarter of the fleet. */
void measure_deaths(member_network& network, fleet_results& results)
{
    const std::size_t count = network.nodes().size();
    const auto dead = [](const member_record& record) { return record.m_state == member_state::dead; };
    network.kill(1);
    results.m_detect_first = time_until(network, 1, 60s, name_of(1), dead);
    results.m_detect_all = results.m_detect_first + time_until(network, count - 1, 60s, name_of(1), dead);
    network.run(20s);
    std::size_t killed_count = 0;
    for (std::size_t index = 3; index < count; index += 4) {
        network.kill(index);
        ++killed_count;
    }
    const double before = total_bytes(network);
    const instant begin = network.now();
    std::size_t report_count = 0;
    network.observe([&](std::size_t, const member_record& record) { report_count += dead(record) ? 1 : 0; });
    const std::size_t live_count = count - 1 - killed_count;
    const auto time_to_99_percent =
        network.run_until(120s, [&] { return 100 * report_count >= 99 * killed_count * live_count; });
    results.m_zone_99_percent = time_to_99_percent ? to_seconds(*time_to_99_percent) : std::nan("");
    const auto taken = network.run_until(120s, [&] { return report_count >= killed_count * live_count; });
    results.m_zone_all = taken ? results.m_zone_99_percent + to_seconds(*taken) : std::nan("");
    network.observe({});
    network.run(std::max(duration{}, begin + 30s - network.now()));
    results.m_zone_bytes =
        (total_bytes(network) - before) / static_cast<double>(live_count) / to_seconds(network.now() - begin);
}

/** Measures a fleet of @p count nodes. */
fleet_results measure(std::size_t count, std::uint64_t seed, double loss)
{
    const double heap = heap_bytes();
    member_network network(seed);
    network.faults().m_loss_ratio = loss;
    for (std::size_t index = 0; index < count; ++index) {
        network.start(name_of(index), 1796000000000);
        network.run(50ms);
        network.invoke(index, [&](membership& node, auto& out) {
            node.set_target(network.now(), target_state::ready, {"records"}, 35, out);
        });
    }
    network.run(warm_up);
    fleet_results results;
    measure_steady(network, results);
    results.m_memory_kb = (heap_bytes() - heap) / static_cast<double>(count) / bytes_per_kilobyte;
    measure_revision(network, results);
    network.run(60s);
    measure_drains(network, results);
    measure_batch(network, results);
    measure_deaths(network, results);
    return results;
}

/** Returns the quantile of @p values at @p rank_ratio; NaN counts as the greatest value. */
double quantile(std::vector<double> values, double rank_ratio)
{
    for (double& value : values) {
        value = std::isnan(value) ? HUGE_VAL : value;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(rank_ratio * static_cast<double>(values.size())))];
}

/** Prints the results of one fleet size: medians over the seeds, and the slowest drain. */
void print(std::size_t count, const std::vector<fleet_results>& runs)
{
    const auto median = [&](double fleet_results::*field) {
        std::vector<double> values(runs.size());
        std::transform(runs.begin(), runs.end(), values.begin(),
                       [&](const fleet_results& run) { return run.*field; });
        return quantile(values, 0.5);
    };
    std::vector<double> drains;
    for (const fleet_results& run : runs) {
        drains.insert(drains.end(), run.m_drain.begin(), run.m_drain.end());
    }
    std::printf("%5zu %7.0f %7.0f %6.2f %7.1f %7.1f %7.0f %7.1f %6.2f %6.2f %7.0f %6.2f %6.1f %6.1f %6.1f "
                "%6.1f %7.0f\n",
                count, median(&fleet_results::m_bytes), median(&fleet_results::m_worst_bytes),
                median(&fleet_results::m_messages), median(&fleet_results::m_processor_us),
                median(&fleet_results::m_memory_kb), median(&fleet_results::m_publication_bytes),
                median(&fleet_results::m_revision_known), quantile(drains, 0.5), quantile(drains, 1),
                median(&fleet_results::m_drain_bytes), median(&fleet_results::m_batch_drain),
                median(&fleet_results::m_detect_first), median(&fleet_results::m_detect_all),
                median(&fleet_results::m_zone_99_percent), median(&fleet_results::m_zone_all),
                median(&fleet_results::m_zone_bytes));
    std::fflush(stdout);
}

} // namespace

/** usage: bench_member [SEEDS [LOSS [NODES...]]] */
int main(int argument_count, char** arguments)
{
    const std::vector<std::string> options(arguments + 1, arguments + argument_count);
    const std::uint64_t seeds = options.empty() ? 3 : std::stoull(options[0]);
    const double loss = options.size() < 2 ? 0 : std::stod(options[1]);
    std::vector<std::size_t> sizes;
    for (std::size_t index = 2; index < options.size(); ++index) {
        sizes.push_back(std::stoul(options[index]));
    }
    if (sizes.empty()) {
        sizes = {4, 16, 60, 120, 570};
    }
    std::printf("loss %.2f, %llu seeds; bytes are in and out together, with 44 bytes of headers a datagram\n",
                loss, static_cast<unsigned long long>(seeds));
    std::puts(
        "nodes     B/s   worst  msg/s  cpu us  mem kB  B/s rev  rev s  drain  worst drain B  tenth dead 1 "
        "dead a zone99 "
        "zone a zone B/s");
    for (const std::size_t count : sizes) {
        std::vector<fleet_results> runs;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            runs.push_back(measure(count, seed, loss));
        }
        print(count, runs);
    }
}
