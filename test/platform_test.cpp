/** @file platform_test.cpp The adapter's translations: the operator's row, announcements, statuses and waits.
 */
#include "node/http_conversion_func.h"
#include "node/settings_func.h"
#include "platform/operator_func.h"
#include "platform/platform.h"
#include "platform/registry_func.h"

#include <criterion/criterion.h>

using namespace waxwing;

namespace {

const std::string services =
    R"({"typeUrl":"services","metadata":{"name":"a1"},"spec":{"healthPath":"/h","maxConnections":316}},)"
    R"({"typeUrl":"services","metadata":{"name":"b2"},"spec":{"healthPath":"/h","maxConnections":160}},)";
const std::string limits =
    R"({"typeUrl":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1000,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string row(const std::string& routes)
{
    return R"({"version":7,"baseVersion":5,"resources":[)" + routes + services + limits + "]}";
}

std::string route(const std::string& spec)
{
    return R"({"typeUrl":"routes","metadata":{"name":"r-1"},"spec":{)" + spec + "}},";
}

const std::string sound_route =
    R"("host":"H.example","prefix":"/p/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":2000,"priority":0,)"
    R"("service":"a1","maxAttempts":2)";

} // namespace

Test(operator_config, becomes_kinds_services_and_limits_that_pass_the_check)
{
    const auto read = read_operator_config(row(route(sound_route)));
    cr_assert(read.has_value());
    const config_set& set = read.value().m_set;
    cr_assert(read.value().m_revision.m_value == 7);
    const kind_object& kind = set.m_kinds.at(kind_name{"r-1"});
    cr_expect(kind.m_host == "h.example" && kind.m_path_prefix == "/p/" && !kind.m_idempotent);
    cr_expect(kind.m_deadline == std::chrono::milliseconds(1500) && kind.m_attempts == 2);
    cr_expect(kind.m_objective == std::chrono::seconds(2) && kind.m_importance == 224);
    cr_expect(set.m_services.at(service_name{"a1"}).m_connections == 316);
    cr_expect(set.m_caller_limits.m_max_body_bytes == 1000);
    cr_expect(set.m_caller_limits.m_idle_timeout == std::chrono::seconds(15));
    const auto checked = read_config({config_file{"f", write_config(set)}});
    cr_assert(checked.has_value(), "%s", to_string(checked.error().front()).c_str());
}

Test(operator_config, reads_a_split)
{
    const auto read = read_operator_config(
        row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":900,"priority":2,)"
                  R"("trafficSplit":[{"service":"a1","weight":90},{"service":"b2","weight":10}])")));
    const kind_object& kind = read.value().m_set.m_kinds.at(kind_name{"r-1"});
    const std::vector<split_part> parts{{service_name{"a1"}, 90}, {service_name{"b2"}, 10}};
    cr_assert(kind.m_split == parts && kind.m_service.m_value == "a1" && kind.m_importance == 160);
}

Test(operator_config, a_row_that_cannot_be_read_is_refused)
{
    for (const std::string& text :
         {std::string(), std::string("[]"), std::string(R"({"version":0,"resources":[]})"),
          std::string(R"({"version":3})"),
          row(route(R"("host":"h","prefix":"p/","kind":"safe","timeoutMs":9,"service":"a1")")),
          row(route(R"("host":"h","prefix":"/p/","kind":"odd","timeoutMs":9,"service":"a1")")),
          row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":0,"service":"a1")")),
          row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":9)"))}) {
        cr_assert(read_operator_config(text).has_error(), "%s", text.c_str());
    }
}

Test(registry, reads_what_a_server_says)
{
    const std::string body =
        R"({"address":"10.0.0.9:80","born":1700000000000,"info":{"service":"a1","slots":36},)"
        R"("status":{"state":"draining","sequence":4,"coldRemainingMs":1500}})";
    const target_announcement said = read_announcement("PUT", "/instances/i-7", body).value();
    cr_assert(said.m_instance == "i-7" && said.m_incarnation.m_value == 1'700'000'000'000 &&
              said.m_sequence == 4);
    cr_assert(said.m_service.m_value == "a1" && said.m_slots == 36 && said.m_address.m_port == 80);
    cr_assert(said.m_intent == target_intent::drain &&
              said.m_warm_up_remaining == std::chrono::milliseconds(1500));
    cr_assert(read_announcement("DELETE", "/instances/i-7", "").value().m_intent == target_intent::leave);
}

Test(registry, words_that_cannot_be_used_name_no_target)
{
    const auto body = [](const char* address, const char* info, const char* status, const char* more) {
        return std::string("{\"address\":") + address + ",\"info\":" + info + ",\"status\":" + status + more +
               "}";
    };
    const char* const info = R"({"service":"a1","slots":36})";
    const char* const status = R"({"state":"ready","sequence":4})";
    const char* const address = "\"10.0.0.9:80\"";
    cr_assert(read_announcement("PUT", "/instances/i", body(address, info, status, "")).has_value());
    for (const std::string& wrong :
         {std::string("{"), body("7", info, status, ""), body("\"x\"", info, status, ""),
          body(address, "{}", status, ""), body(address, R"({"service":"a1","slots":-1})", status, ""),
          body(address, R"({"service":7,"slots":1})", status, ""), body(address, info, "[]", ""),
          body(address, info, R"({"state":"odd","sequence":4})", ""),
          body(address, info, R"({"state":"ready","sequence":"4"})", ""),
          body(address, info, status, R"(,"born":1.5)"), body(address, info, status, R"(,"born":"1")")}) {
        cr_assert(read_announcement("PUT", "/instances/i", wrong).has_error(), "%s", wrong.c_str());
    }
    cr_assert(read_announcement("POST", "/instances/i", "{}").has_error());
    cr_assert(read_announcement("PUT", "/instances/", "{}").has_error());
}

Test(door, only_a_true_not_run_is_told_by_a_status_that_promises_it)
{
    const auto status = [](rule why, run_state state) {
        entry_reply reply;
        reply.m_answer = refusal(why, state);
        reply.m_answer.m_retry_after = std::chrono::milliseconds(1250);
        return to_http_reply(std::move(reply), platform_dialect());
    };
    cr_assert(status(rule::shed, run_state::not_run).m_status == 503);
    cr_assert(*find_header(status(rule::shed, run_state::not_run).m_headers, "Retry-After") == "1.250");
    cr_assert(status(rule::deadline_expired, run_state::not_run).m_status == 503);
    cr_assert(status(rule::deadline_expired, run_state::unknown).m_status == 504);
    for (const rule why : {rule::shed, rule::no_target, rule::target_unreachable, rule::caller_share}) {
        const http_reply reply = status(why, run_state::unknown);
        cr_assert(reply.m_status == 502, "%d", reply.m_status);
        cr_assert(find_header(reply.m_headers, "Retry-After") == nullptr);
    }
}

Test(sampler, logs_a_whole_request_at_every_hop_or_at_none_and_bounds_failures)
{
    const request_sampler first(sampler_settings{});
    const request_sampler second(sampler_settings{});
    int chosen = 0;
    for (int number = 0; number < 10'000; ++number) {
        const std::string id = "request-" + std::to_string(number);
        cr_assert(first.on_success(id).m_logged == second.on_success(id).m_logged);
        chosen += first.on_success(id).m_logged ? 1 : 0;
    }
    cr_assert(chosen > 10 && chosen < 100, "%d", chosen);
    request_sampler bounded({0, 3});
    instant now{std::chrono::hours(1)};
    int logged = 0;
    for (int number = 0; number < 100; ++number) {
        logged += bounded.on_failure(now, "r").m_logged ? 1 : 0;
    }
    cr_assert(logged == 3);
    now += std::chrono::seconds(1);
    const sample_decision next = bounded.on_failure(now, "r");
    cr_assert(next.m_logged && next.m_suppressed == 97);
}

Test(settings, a_running_node_takes_what_it_can_and_names_the_rest)
{
    node_settings in_force;
    node_settings wanted;
    wanted.m_stop_timeout = std::chrono::seconds(7);
    settings_change done = apply_settings(wanted, in_force);
    cr_assert(done.m_applied && !done.m_needs_restart && in_force.m_stop_timeout == std::chrono::seconds(7));
    wanted.m_name.m_value = "other";
    done = apply_settings(wanted, in_force);
    cr_assert(!done.m_applied && done.m_needs_restart && in_force.m_name.empty());
}
