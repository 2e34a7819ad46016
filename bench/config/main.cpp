/** @file main.cpp Measures parsing and validating a configuration, and the delta of one change. */
#include "config/config.h"
#include "config/delta_func.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

using namespace waxwing;

namespace {

constexpr int service_count = 19;
constexpr int kinds_per_service = 3;
constexpr int caller_count = 100;
constexpr int round_count = 200;
constexpr int changes_per_day = 2700;

/** Returns a configuration of the size planned for in two years. */
std::string make_set()
{
    std::string text = "[admission a]\nslots = 35\n[routing r]\nreport_age = 1s\n[retry t]\ntokens = 2\n";
    for (int service = 0; service < service_count; ++service) {
        const std::string name = "service-" + std::to_string(service);
        text.append("[service ")
            .append(name)
            .append("]\nadmission = a\nrouting = r\nhealth_path = /health\n");
        text.append("load_path = /load\nrefusal_status = 503\n");
        text += service == 0 ? "" : "calls = service-" + std::to_string(service - 1) + "\n";
        for (int kind = 0; kind < kinds_per_service; ++kind) {
            const std::string number = std::to_string(kind);
            text.append("[kind ").append(name).append("-kind-").append(number);
            text.append("]\nservice = ")
                .append(name)
                .append("\nmethod = GET\npath_prefix = /kind-")
                .append(number);
            text.append("\nimportance = 100\nidempotent = yes\ndeadline = 3s\nretry = t\n");
        }
    }
    for (int caller = 0; caller < caller_count; ++caller) {
        text += "[caller caller-" + std::to_string(caller) + "]\nrate = 200\nburst = 50\n";
    }
    return text;
}

/** Returns the median run time of @p work in microseconds. */
template<class Work>
double median_of(Work work)
{
    std::vector<double> times;
    for (int round = 0; round < round_count; ++round) {
        const auto start = std::chrono::steady_clock::now();
        work();
        times.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count());
    }
    std::nth_element(times.begin(), times.begin() + round_count / 2, times.end());
    return times[round_count / 2];
}

/** Prints the run times of each step, and the size of the delta from @p before to @p after. */
void print_times(const std::string& before, const std::string& after)
{
    const std::string delta = encode_delta(before, after);
    const config_set set = read_config({config_file{"set", after}}).value();
    const std::size_t full_size = encode_delta("", after).size();
    std::cout << "services " << service_count << ", kinds " << service_count * kinds_per_service
              << ", callers " << caller_count << ", bytes " << before.size() << '\n'
              << "read and check: " << median_of([&] {
                     (void)read_config({config_file{"set", before}});
                 })
              << " us\n"
              << "write and digest: " << median_of([&] { (void)digest_of(write_config(set)); }) << " us\n"
              << "make a delta: " << median_of([&] { (void)encode_delta(before, after); }) << " us\n"
              << "apply a delta and check its digest: "
              << median_of([&] { (void)digest_of(apply_delta(before, delta).value()); }) << " us\n"
              << "delta of one change: " << delta.size() << " bytes; whole set as a delta: " << full_size
              << " bytes, ratio " << static_cast<double>(full_size) / static_cast<double>(delta.size())
              << '\n';
}

/** Prints the bytes sent and received to get one change from a peer. @return whether it arrived. */
bool print_spread(const std::string& before, const std::string& after)
{
    spread peer(spread_settings{}, 1);
    spread node(spread_settings{}, 2);
    std::vector<spread_action> actions;
    const auto apply_revision = [&](spread& receiver, std::uint64_t number, const std::string& text) {
        const revision_info info{revision{number},
                                 digest_of(text),
                                 {"0123456789abcdef01234567", "operator", "reason", {}},
                                 "changed kind x\n"};
        receiver.on_head({}, std::optional(info), actions);
        receiver.on_object({}, object_name(info.m_digest), std::optional(text), actions);
    };
    apply_revision(peer, 1, before);
    apply_revision(node, 1, before);
    apply_revision(peer, 2, after);
    actions.clear();
    node.on_peer_revision({}, node_id{"owner"}, revision{2}, actions);
    const std::string request = std::get<spread_send>(actions.front()).m_payload;
    actions.clear();
    peer.on_message({}, node_id{"node"}, request, actions);
    const std::string page = std::get<spread_send>(actions.front()).m_payload;
    node.on_message({}, node_id{"owner"}, page, actions);
    std::cout << "a node learns one change from a peer: " << request.size() << " bytes out, " << page.size()
              << " bytes in; " << changes_per_day << " changes a day: "
              << static_cast<double>((request.size() + page.size()) * changes_per_day) / 86400.0
              << " bytes a second\n";
    return node.in_force().m_value == 2;
}

} // namespace

int main()
{
    const auto read = read_config({config_file{"set", make_set()}});
    if (read.has_error()) {
        std::cerr << to_string(read.error().front()) << '\n';
        return 1;
    }
    const std::string before = write_config(read.value());
    config_set changed = read.value();
    changed.m_kinds.begin()->second.m_importance = 101;
    const std::string after = write_config(changed);
    print_times(before, after);
    return print_spread(before, after) ? 0 : 1;
}
