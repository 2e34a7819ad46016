/** @file platform_test.cpp Tests of the operator's configuration, announcements, statuses of answers,
 * sampling and settings. */
#include "node/http_conversion_func.h"
#include "node/settings_func.h"
#include "platform/operator_func.h"
#include "platform/platform.h"
#include "platform/registry_func.h"

#include <criterion/criterion.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

const std::string services =
    R"({"typeUrl":"services","metadata":{"name":"a1"},"spec":{"healthPath":"/h","maxConnections":316}},)"
    R"({"typeUrl":"services","metadata":{"name":"b2"},"spec":{"healthPath":"/h","maxConnections":160}},)";
const std::string limits =
    R"({"typeUrl":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1000,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string config_row(const std::string& routes)
{
    return R"({"version":7,"baseVersion":5,"resources":[)" + routes + services + limits + "]}";
}

std::string route(const std::string& spec)
{
    return R"({"typeUrl":"routes","metadata":{"name":"r-1"},"spec":{)" + spec + "}},";
}

const std::string valid_route =
    R"("host":"H.example","prefix":"/p/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":2000,"priority":0,)"
    R"("service":"a1","maxAttempts":2)";

} // namespace

Test(operator_config, translates_to_kinds_services_and_limits_that_pass_the_check)
{
    const auto config = read_operator_config(config_row(route(valid_route)));
    cr_assert(config.has_value());
    const config_set& set = config.value().m_set;
    cr_assert(config.value().m_revision.m_value == 7);
    const kind_object& kind = set.m_kinds.at(kind_name{"r-1"});
    cr_expect(kind.m_host == "h.example" && kind.m_path_prefix == "/p/" && !kind.m_idempotent);
    cr_expect(kind.m_deadline == std::chrono::milliseconds(1500) && kind.m_attempts == 2);
    cr_expect(kind.m_objective == std::chrono::seconds(2) && kind.m_importance == 224);
    cr_expect(set.m_services.at(service_name{"a1"}).m_connections == 316);
    cr_expect(set.m_caller_limits.m_max_body_bytes == 1000);
    cr_expect(set.m_caller_limits.m_idle_timeout == std::chrono::seconds(15));
    const auto check_result = read_config({config_file{"f", write_config(set)}});
    cr_assert(check_result.has_value(), "%s", to_string(check_result.error().front()).c_str());
}

Test(operator_config, reads_a_split)
{
    const auto config = read_operator_config(
        config_row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":900,"priority":2,)"
                         R"("trafficSplit":[{"service":"a1","weight":90},{"service":"b2","weight":10}])")));
    const kind_object& kind = config.value().m_set.m_kinds.at(kind_name{"r-1"});
    const std::vector<split_part> parts{{service_name{"a1"}, 90}, {service_name{"b2"}, 10}};
    cr_assert(kind.m_split == parts && kind.m_service.m_value == "a1" && kind.m_importance == 160);
}

Test(operator_config, rejects_invalid_rows)
{
    for (const std::string& text :
         {std::string(), std::string("[]"), std::string(R"({"version":0,"resources":[]})"),
          std::string(R"({"version":3})"),
          config_row(route(R"("host":"h","prefix":"p/","kind":"safe","timeoutMs":9,"service":"a1")")),
          config_row(route(R"("host":"h","prefix":"/p/","kind":"odd","timeoutMs":9,"service":"a1")")),
          config_row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":0,"service":"a1")")),
          config_row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":9)"))}) {
        cr_assert(read_operator_config(text).has_error(), "%s", text.c_str());
    }
}

Test(registry, reads_announcements)
{
    const std::string body =
        R"({"address":"10.0.0.9:80","born":1700000000000,"info":{"service":"a1","slots":36},)"
        R"("status":{"state":"draining","sequence":4,"coldRemainingMs":1500}})";
    const target_announcement announcement = read_announcement("PUT", "/instances/i-7", body).value();
    cr_assert(announcement.m_instance == "i-7" && announcement.m_incarnation.m_value == 1'700'000'000'000 &&
              announcement.m_sequence == 4);
    cr_assert(announcement.m_service.m_value == "a1" && announcement.m_slots == 36 &&
              announcement.m_address.m_port == 80);
    cr_assert(announcement.m_intent == target_intent::drain &&
              announcement.m_warm_up_remaining == std::chrono::milliseconds(1500));
    cr_assert(read_announcement("DELETE", "/instances/i-7", "").value().m_intent == target_intent::leave);
}

Test(registry, rejects_invalid_announcements)
{
    const auto body = [](const char* address, const char* info, const char* status, const std::string& more) {
        return std::string("{\"address\":") + address + ",\"info\":" + info + ",\"status\":" + status + more +
               "}";
    };
    const char* const info = R"({"service":"a1","slots":36})";
    const char* const status = R"({"state":"ready","sequence":4})";
    const char* const address = "\"10.0.0.9:80\"";
    cr_assert(read_announcement("PUT", "/instances/i", body(address, info, status, "")).has_value());
    for (const std::string& invalid_body :
         {std::string("{"), body("7", info, status, ""), body("\"x\"", info, status, ""),
          body("\"10.0.0.9:0\"", info, status, ""), body("\"10.0.0.9:65536\"", info, status, ""),
          body("\"10.0.0.9:-1\"", info, status, ""),
          body(address, R"({"service":"a1","slots":1e400})", status, ""),
          body(address, R"({"service":"a1","slots":99999999999999999999})", status, ""),
          body(address, info, R"({"state":"ready","sequence":1e400})", ""),
          body(address, info, status, ",\"more\":" + std::string(500'000, '[') + std::string(500'000, ']')) +
              "x",
          body(address, "{}", status, ""), body(address, R"({"service":"a1","slots":-1})", status, ""),
          body(address, R"({"service":7,"slots":1})", status, ""), body(address, info, "[]", ""),
          body(address, info, R"({"state":"odd","sequence":4})", ""),
          body(address, info, R"({"state":"ready","sequence":"4"})", ""),
          body(address, info, status, R"(,"born":1.5)"), body(address, info, status, R"(,"born":"1")")}) {
        cr_assert(read_announcement("PUT", "/instances/i", invalid_body).has_error(), "%s",
                  invalid_body.c_str());
    }
    const std::string nested = std::string(500'000, '[') + std::string(500'000, ']');
    cr_assert(read_announcement("PUT", "/instances/i", nested).has_error());
    cr_assert(read_announcement("PUT", "/instances/i", body(address, info, status, ",\"new\":" + nested))
                  .has_value(),
              "a field that is not known is ignored");
    cr_assert(read_announcement("POST", "/instances/i", "{}").has_error());
    cr_assert(read_announcement("PUT", "/instances/", "{}").has_error());
}

Test(http_reply, only_requests_that_did_not_run_get_503_and_retry_after)
{
    const auto status = [](rule reason, run_state state) {
        entry_reply reply;
        reply.m_answer = refusal(reason, state);
        reply.m_answer.m_retry_after = std::chrono::milliseconds(1250);
        return to_http_reply(std::move(reply), platform_dialect());
    };
    cr_assert(status(rule::shed, run_state::not_run).m_status == 503);
    cr_assert(*find_header(status(rule::shed, run_state::not_run).m_headers, "Retry-After") == "1.250");
    cr_assert(status(rule::deadline_expired, run_state::not_run).m_status == 503);
    cr_assert(status(rule::deadline_expired, run_state::unknown).m_status == 504);
    for (const rule reason : {rule::shed, rule::no_target, rule::target_unreachable, rule::caller_share}) {
        const http_reply reply = status(reason, run_state::unknown);
        cr_assert(reply.m_status == 502, "%d", reply.m_status);
        cr_assert(find_header(reply.m_headers, "Retry-After") == nullptr);
    }
}

Test(sampler, makes_the_same_choice_at_every_hop_and_limits_failures)
{
    const request_sampler first(sampler_settings{});
    const request_sampler second(sampler_settings{});
    int sampled = 0;
    for (int number = 0; number < 10'000; ++number) {
        const std::string id = "request-" + std::to_string(number);
        cr_assert(first.on_success(id).m_logged == second.on_success(id).m_logged);
        sampled += first.on_success(id).m_logged ? 1 : 0;
    }
    cr_assert(sampled > 10 && sampled < 100, "%d", sampled);
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

Test(settings, applies_changes_and_reports_those_that_need_a_restart)
{
    node_settings current;
    node_settings settings;
    settings.m_stop_timeout = std::chrono::seconds(7);
    settings_change change = apply_settings(settings, current);
    cr_assert(change.m_applied && !change.m_needs_restart &&
              current.m_stop_timeout == std::chrono::seconds(7));
    settings.m_name.m_value = "other";
    change = apply_settings(settings, current);
    cr_assert(!change.m_applied && change.m_needs_restart && current.m_name.empty());
}

namespace {

using nlohmann::json;

constexpr std::size_t row_limit = 65'536; ///< Bytes of a row of the platform's store.

/** Returns a configuration with the given resources. */
json config_of(std::uint64_t version, const json& resources)
{
    return {{"version", version}, {"baseVersion", 0}, {"resources", resources}};
}

json resource(const char* type, const std::string& name, const json& spec)
{
    return {{"typeUrl", type}, {"metadata", {{"name", name}}}, {"spec", spec}};
}

json tenant(const std::string& name, const json& keys)
{
    return resource("tenants", name, {{"apiKeys", keys}, {"ratePerS", 0}, {"burst", 0}});
}

/** Translates @p document and reads what a node then puts in force. @return none if either refuses it. */
std::optional<config_set> accepted_set(const json& document)
{
    const auto config = read_operator_config(document.dump());
    if (config.has_error()) {
        std::cerr << config.error().m_text << "\n";
        return std::nullopt;
    }
    const std::string text = write_config(config.value().m_set);
    const auto set = read_config({config_file{"operator", text}});
    if (set.has_error()) {
        std::cerr << to_string(set.error().front()) << "\n";
        return std::nullopt;
    }
    return write_config(set.value()) == text ? std::optional(set.value()) : std::nullopt;
}

/** Generates texts that rows can hold and that configuration files use in another meaning. */
rc::Gen<std::string> odd_texts()
{
    const auto pieces = rc::gen::element<std::string>(
        "a", "Z", "7", " ", "\n", "\t", "\x7f", "\xc3\xa9", "=", "[", "]", ";", "#", "\\", "\\x41", "%", "\"",
        "/", "?", ":", ".", "-", "_", "id-", std::string(80, 'n'), std::string(400, 'p'));
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(pieces), [](const auto& parts) {
        std::string text = "t";
        for (const std::string& part : parts) {
            text += part;
        }
        return text;
    });
}

/** Generates numbers of all sizes. */
rc::Gen<double> odd_numbers()
{
    return rc::gen::element(0.4, 0.6, 1.0, 99.5, 255.0, 1e3, 6.7e7, 1e8, 1e9, 1e12, 1.9e19, 1e300);
}

/** Returns the organisation that holds @p key in @p set as its targets know it; empty if there is none. */
std::string holder_of(const config_set& set, const std::string& key)
{
    const organisation_index index(std::make_shared<const config_set>(set));
    const organisation_object* const holder = index.find(key);
    if (holder == nullptr) {
        return {};
    }
    return holder->m_label.empty() ? holder->m_name.m_value : holder->m_label;
}

} // namespace

/** The store accepts only valid configurations, so a node that refuses one is behind for good. */
Test(operator_config, versions_that_the_store_accepts_were_refused)
{
    cr_assert(rc::check("any names, paths, sizes and times of a row can be put in force", [] {
        const std::string service = *odd_texts();
        const std::string other_service = *odd_texts();
        const std::string host = "h" + *odd_texts();
        const std::string prefix = "/" + *odd_texts() + "/";
        const std::string key = *odd_texts();
        const json route{{"host", host},
                         {"prefix", prefix},
                         {"kind", "safe"},
                         {"timeoutMs", *odd_numbers()},
                         {"targetLatencyMs", *odd_numbers()},
                         {"priority", *odd_numbers()},
                         {"maxAttempts", *odd_numbers()},
                         {"service", service}};
        const json split{{"host", host},
                         {"prefix", "/s/"},
                         {"kind", "unsafe"},
                         {"timeoutMs", *odd_numbers()},
                         {"trafficSplit",
                          {{{"service", service}, {"weight", *odd_numbers()}},
                           {{"service", other_service}, {"weight", *rc::gen::element(0.0, 0.4, 1e12)}}}}};
        const json resources{
            resource("routes", *odd_texts(), route), resource("routes", "z" + *odd_texts(), split),
            resource("services", service, {{"healthPath", prefix}, {"maxConnections", *odd_numbers()}}),
            resource("tenants", *odd_texts(),
                     {{"apiKeys", {key, ""}},
                      {"ratePerS", *odd_numbers()},
                      {"burst", *odd_numbers()},
                      {"priority", *odd_numbers()}}),
            resource("limits", "limits",
                     {{"maxHeaderBytes", *odd_numbers()},
                      {"maxBodyBytes", *odd_numbers()},
                      {"headerTimeoutMs", *odd_numbers()},
                      {"idleTimeoutMs", *odd_numbers()}})};
        const std::optional<config_set> accepted =
            accepted_set(config_of(*rc::gen::inRange<std::uint64_t>(1, UINT64_MAX), resources));
        RC_ASSERT(accepted.has_value());
        const config_set& set = *accepted;
        const bool has_prefix = std::any_of(set.m_kinds.begin(), set.m_kinds.end(), [&](const auto& item) {
            return item.second.m_path_prefix == prefix;
        });
        RC_ASSERT(has_prefix);
        RC_ASSERT(!holder_of(set, key).empty());
    }));
}

/** review/13: a version with 1,990 keys of one tenant was refused, and so was the next, which withdrew a key.
 */
Test(operator_config, keys_that_a_row_can_hold_were_too_many)
{
    json keys = json::array();
    std::size_t size = config_of(2, json::array({tenant("depot", keys)})).dump().size();
    for (int number = 0; size < row_limit - 20; number += 7) {
        keys.push_back(std::to_string(number));
        size += keys.back().dump().size() + 1;
    }
    const std::string first_key = keys.front();
    const std::string last_key = keys.back();
    cr_assert(keys.size() > 5'000);
    keys.erase(keys.begin());
    const std::optional<config_set> set = accepted_set(config_of(3, json::array({tenant("depot", keys)})));
    cr_assert(set.has_value());
    cr_assert(holder_of(*set, last_key) == "depot");
    cr_assert(holder_of(*set, first_key).empty());
}

Test(operator_config, many_tenants_with_names_of_any_form_hold_their_keys)
{
    json resources = json::array();
    for (int number = 0; config_of(2, resources).dump().size() < row_limit - 200; ++number) {
        const std::string text = std::to_string(number);
        resources.push_back(tenant("Depot & Sons " + text, {"key " + text, "k" + text}));
    }
    const std::optional<config_set> set = accepted_set(config_of(2, resources));
    cr_assert(set.has_value());
    const int last = static_cast<int>(resources.size()) - 1;
    for (const int number : {0, last / 2, last}) {
        const std::string text = std::to_string(number);
        cr_assert(holder_of(*set, "k" + text) == "Depot & Sons " + text);
        cr_assert(holder_of(*set, "key " + text) == "Depot & Sons " + text);
    }
}

Test(operator_config, weights_that_are_fractions_keep_their_proportions)
{
    const auto config = read_operator_config(
        config_row(route(R"("host":"h","prefix":"/p/","kind":"safe","timeoutMs":900,"priority":2,)"
                         R"("trafficSplit":[{"service":"a1","weight":0.6},{"service":"b2","weight":0.4}])")));
    const std::vector<split_part>& split = config.value().m_set.m_kinds.at(kind_name{"r-1"}).m_split;
    const double ratio = static_cast<double>(split[0].m_weight) / split[1].m_weight;
    cr_assert(std::abs(ratio - 1.5) < 1e-4);
}
