/** @file organisation_test.cpp Tests of organisations: their configuration, keys of requests, and decisions
 * of the entry. */
#include "call/call.h"
#include "config/config.h"
#include "platform/operator_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

constexpr request_dialect dialect{"Time", "Id",  "Origin", "Instance", "Not-Run", 421,
                                  true,   false, {},       {},         "Org"};

/** Returns the errors of a configuration with the line `[limits fleet]` above @p text, one per line. */
std::string errors_of(const std::string& text)
{
    const auto read = read_config({config_file{"f", "[limits fleet]\n" + text}});
    std::string lines;
    if (read.has_error()) {
        for (const located_error& each : read.error()) {
            lines += to_string(each) + "\n";
        }
    }
    return lines;
}

/** A configuration with a public and an ordinary kind and the organisations `gold`, of priority 0 and with a
 * limit, and `tin`, of priority 3; their keys are `gold-key` and `tin-key`. */
std::shared_ptr<config_set> configuration()
{
    auto set = std::make_shared<config_set>();
    set->m_services[service_name{"s"}].m_name.m_value = "s";
    kind_object kind;
    kind.m_service.m_value = "s";
    kind.m_host = "h";
    kind.m_importance = 192;
    for (const char* name : {"plain", "public"}) {
        kind.m_name.m_value = name;
        kind.m_path_prefix = std::string("/") + name + "/";
        kind.m_public = kind.m_name.m_value == "public";
        set->m_kinds[kind.m_name] = kind;
    }
    set->m_key_salt = "salt";
    for (const char* name : {"gold", "tin"}) {
        organisation_object organisation;
        organisation.m_name.m_value = name;
        organisation.m_keys = {key_hash("salt", std::string(name) + "-key")};
        organisation.m_priority = organisation.m_name.m_value == "gold" ? 0 : 3;
        set->m_organisations[organisation.m_name] = organisation;
    }
    return set;
}

/** Where a request comes from. */
enum class origin { elsewhere, this_machine };

/** An entry beside a target that runs the call with the request id `run` for `gold`. */
struct organisation_fixture {
    running_calls m_running;
    entry m_entry;
    instant m_now{std::chrono::hours(1)};
    boot_instant m_boot_now{std::chrono::hours(2)};
    std::uint64_t m_last = 0;

    explicit organisation_fixture(bool fail_closed = false)
        : m_entry({node_id{"n"}, {}, service_name{"beside"}, control_mode::full, dialect, fail_closed},
                  m_running, 1)
    {
        m_entry.configure(configuration());
        m_entry.put_target(m_now, {node_id{"t"}, service_name{"s"}, {}, 10});
        running_call running;
        running.m_request_id = "run";
        running.m_caller.m_value = "gold";
        running.m_deadline = m_now + std::chrono::seconds(1);
        running.m_context.m_priority = priority_of(200, 7);
        m_running.add(attempt_id{1}, running);
    }

    entry_action send(const std::string& path, header_list headers, origin from = origin::elsewhere)
    {
        headers.push_back({"Host", "h"});
        entry_request request{exchange_id{++m_last},        "GET", path,      std::move(headers), "", false,
                              from == origin::this_machine, false, m_boot_now};
        std::vector<entry_action> actions;
        m_entry.on_request(m_now, std::move(request), actions);
        return actions.back();
    }

    /** Sends a request. @return the rule that refused it; none if it was sent to a target. */
    rule rule_of(const std::string& path, header_list headers, origin from = origin::elsewhere)
    {
        const entry_action action = send(path, std::move(headers), from);
        const auto* const reply = std::get_if<entry_reply>(&action);
        return reply == nullptr ? rule::none : reply->m_answer.m_rule;
    }
};

header_list with_key(const std::string& key, header_list headers = {})
{
    headers.push_back({"authorization", "Bearer " + key});
    return headers;
}

} // namespace

/** An operator who forgets to hash a key must not find it in a log: errors do not quote the text. */
Test(organisation_config, reports_errors_without_quoting_keys)
{
    const std::string hash = key_hash("salt", "a");
    cr_expect(hash == "1d792a44a176072b545dd9695a109584", "%s", hash.c_str());
    cr_expect(errors_of("key_salt = x\n[organisation a]\nkeys = " + hash + "\nrate = 2.5\n") == "");
    cr_expect(errors_of("[organisation a]\nkeys = " + hash + "\n[organisation b]\nkeys = " + hash + "\n") ==
              "f:5: organisation b: keys has a hash that the organisation a holds, too\n");
    cr_expect(errors_of("[organisation a]\nkeys = " + hash + " my-secret\n") ==
              "f:3: organisation a: keys: the hash number 2 is not 32 lower-case hexadecimal digits\n");
    cr_expect(errors_of("[organisation a]\nkeys = " + hash + " " + hash + "\n") ==
              "f:3: organisation a: keys: a hash is listed twice\n");
    cr_expect(errors_of("[organisation]\n").find("f:2: \"\" is not a valid name") == 0);
    cr_expect(errors_of("[organisation a]\nrate = 1000001\nburst = -1\npriority = 256\n") ==
              "f:3: organisation a: rate: \"1000001\" is out of range: from 0 to 1000000\n"
              "f:4: organisation a: burst: \"-1\" is out of range: from 0 to 1000000\n"
              "f:5: organisation a: priority: \"256\" is out of range: from 0 to 255\n");
}

Test(organisation_config, round_trips_and_is_found_by_its_keys)
{
    cr_assert(rc::check("written organisations are read back, and each key finds its own one", [] {
        config_set set;
        set.m_key_salt = "s";
        const auto counts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
        for (std::size_t number = 0; number < counts.size(); ++number) {
            organisation_object each;
            each.m_name.m_value = "o" + std::to_string(number);
            each.m_priority = *rc::gen::arbitrary<std::uint8_t>();
            each.m_rate = *rc::gen::inRange(0, 1000) / 8.0;
            each.m_burst = *rc::gen::inRange(0, 1000);
            for (int key = 0; key < counts[number]; ++key) {
                each.m_keys.push_back(key_hash("s", each.m_name.m_value + "." + std::to_string(key)));
            }
            set.m_organisations[each.m_name] = each;
        }
        const std::string text = write_config(set);
        const auto read = read_config({config_file{"f", text}});
        RC_ASSERT(read.has_value());
        RC_ASSERT(write_config(read.value()) == text);
        const organisation_index index(std::make_shared<const config_set>(read.value()));
        for (std::size_t number = 0; number < counts.size(); ++number) {
            const std::string name = "o" + std::to_string(number);
            for (int key = 0; key < counts[number]; ++key) {
                RC_ASSERT(index.find(name + "." + std::to_string(key))->m_name.m_value == name);
            }
            RC_ASSERT(index.find(name) == nullptr);
        }
    }));
}

Test(organisation_config, is_read_from_the_operators_row)
{
    const auto read = [](const std::string& resources) {
        return read_operator_config(R"({"version":7,"resources":[)" + resources + "]}");
    };
    const auto tenant = [](const std::string& spec) {
        return R"({"typeUrl":"tenants","metadata":{"name":"acme"},"spec":)" + spec + "}";
    };
    const std::string other = R"(,{"typeUrl":"tenants","metadata":{"name":"b"}})";
    const auto config =
        read(tenant(R"({"apiKeys":["k2","k1","k2"],"priority":1,"ratePerS":2.5,"burst":4})") + other);
    cr_assert(config.has_value());
    const config_set& set = config.value().m_set;
    const organisation_object& acme = set.m_organisations.at(organisation_name{"acme"});
    cr_expect(acme.m_priority == 1 && acme.m_rate == 2.5 && acme.m_burst == 4.0 && acme.m_keys.size() == 2);
    cr_expect(set.m_key_salt == digest_of("acme\nb\n"));
    const organisation_index index(std::make_shared<const config_set>(set));
    cr_expect(index.find("k1") == index.find("k2") && index.find("k1")->m_name.m_value == "acme");
    const std::string text = write_config(set);
    cr_expect(text.find("k1") == std::string::npos && read_config({config_file{"f", text}}).has_value());
    cr_expect(read(tenant("{}")).value().m_set.m_organisations.begin()->second.m_priority == 3);
    for (const char* spec : {R"({"apiKeys":"k"})", R"({"apiKeys":[7]})", R"({"priority":"1"})",
                             R"({"priority":-1})", R"({"ratePerS":"5"})", R"({"burst":[]})", "[]"}) {
        cr_expect(read(tenant(spec)).has_error(), "%s", spec);
    }
    const auto odd = read(tenant(R"({"apiKeys":["","k"],"burst":1e9})"));
    const organisation_object& odd_tenant = odd.value().m_set.m_organisations.begin()->second;
    cr_expect(odd_tenant.m_keys.size() == 1, "no request carries an empty key");
    cr_expect(odd_tenant.m_burst == 1e6, "a burst above all load is not limited further");
    cr_expect(read(R"({"typeUrl":"tenants","metadata":{},"spec":{}})").has_error());
    const auto route = [&](const std::string& value) {
        return read(
            R"({"typeUrl":"routes","metadata":{"name":"r"},"spec":{"host":"h","prefix":"/","kind":"safe",)"
            R"("timeoutMs":9,"service":"a1","public":)" +
            value + "}}");
    };
    cr_expect(route("true").value().m_set.m_kinds.begin()->second.m_public);
    cr_expect(!route("false").value().m_set.m_kinds.begin()->second.m_public && route("1").has_error());
}

Test(bearer_key, is_one_token_behind_the_scheme)
{
    for (const char* value : {"Bearer k", "bearer k", "BEARER    k"}) {
        cr_expect(bearer_key_of({{"AUTHORIZATION", value}}) == "k", "%s", value);
    }
    for (const char* value : {"", "Bearer", "Bearer ", "k", "Basic k", "Bearer k k", "Bearer\tk", "Bearerk",
                              " Bearer k", "Bearer k\x01", "Bearer \xc3\xa9"}) {
        cr_expect(!bearer_key_of({{"Authorization", value}}).has_value(), "%s", value);
    }
    cr_expect(!bearer_key_of({{"Authorization", "Bearer k"}, {"authorization", "Bearer k"}}).has_value());
    cr_expect(!bearer_key_of({}).has_value());
}

Test(entry_organisation, decides_by_origin_parent_kind_and_key)
{
    const header_list child{{"Id", "run.a"}, {"Time", "700"}};
    const header_list orphan{{"Id", "gone.a"}, {"Time", "5000"}};
    struct table_line {
        const char* m_path;
        header_list m_headers;
        rule m_elsewhere;
        rule m_this_machine;
    };
    const std::vector<table_line> table{
        {"/plain/", child, rule::unknown_key, rule::none},
        {"/plain/", orphan, rule::unknown_key, rule::unknown_parent},
        {"/public/", child, rule::none, rule::none},
        {"/public/", orphan, rule::none, rule::none},
        {"/plain/", with_key("gold-key", orphan), rule::none, rule::none},
        {"/plain/", with_key("other", child), rule::unknown_key, rule::unknown_key},
        {"/public/", with_key("other"), rule::unknown_key, rule::unknown_key},
        {"/plain/", {{"Authorization", "Basic gold-key"}}, rule::unknown_key, rule::unknown_key},
        {"/none/", {}, rule::unknown_service, rule::unknown_service}};
    organisation_fixture fixture;
    for (const table_line& line : table) {
        cr_expect(fixture.rule_of(line.m_path, line.m_headers) == line.m_elsewhere);
        cr_expect(fixture.rule_of(line.m_path, line.m_headers, origin::this_machine) == line.m_this_machine);
    }
    const answer refused = std::get<entry_reply>(fixture.send("/plain/", {})).m_answer;
    cr_expect(refused.m_status == 401 && *find_header(refused.m_headers, "WWW-Authenticate") == "Bearer");
    const call sub_call = std::get<entry_send>(fixture.send("/plain/", child, origin::this_machine)).m_call;
    cr_expect(sub_call.m_caller.m_value == "gold" && sub_call.m_context.m_priority == priority_of(200, 7));
    cr_expect(find_header(sub_call.m_headers, "Org") == nullptr);
}

/** The key must reach no target and no peer, and a client must not choose the organisation that a target
 * sees. */
Test(entry_organisation, keys_are_removed_and_the_organisation_is_named)
{
    organisation_fixture fixture;
    const header_list sent =
        with_key("tin-key", {{"org", "gold"}, {"Waxwing-Caller", "gold"}, {"Other", "kept"}});
    const call keyed = std::get<entry_send>(fixture.send("/plain/", sent)).m_call;
    cr_expect(find_header(keyed.m_headers, "Authorization") == nullptr &&
              find_header(keyed.m_headers, "Other"));
    cr_expect(*find_header(keyed.m_headers, "Org") == "tin" && keyed.m_caller.m_value == "tin");
    const call open = std::get<entry_send>(fixture.send("/public/", {{"Org", "gold"}})).m_call;
    cr_expect(find_header(open.m_headers, "Org") == nullptr && open.m_caller.empty());
    auto without = configuration();
    without->m_organisations.clear();
    fixture.m_entry.configure(without);
    const call before = std::get<entry_send>(fixture.send("/plain/", sent)).m_call;
    cr_expect(*find_header(before.m_headers, "Authorization") == "Bearer tin-key");
    cr_expect(*find_header(before.m_headers, "Org") == "gold" && before.m_caller.m_value == "gold");
    cr_expect(before.m_context.m_priority.importance() == 192);
}

/** Two organisations that chose one idempotency key would otherwise share an answer. */
Test(entry_organisation, re_sends_join_only_calls_of_their_organisation)
{
    organisation_fixture fixture;
    for (const char* key : {"gold-key", "tin-key", "tin-key"}) {
        const header_list headers = with_key(key, {{"Host", "h"}, {"Idempotency-Key", "i"}});
        std::vector<entry_action> actions;
        fixture.m_entry.on_request(
            fixture.m_now,
            {exchange_id{++fixture.m_last}, "GET", "/plain/", headers, "", false, false, false}, actions);
    }
    cr_expect(fixture.m_entry.counters().m_joined == 1 && fixture.m_entry.in_progress() == 2);
}

Test(entry_organisation, priority_goes_before_importance_and_starves_nobody)
{
    static_assert(organisation_importance(0, 255) == 223 && organisation_importance(3, 0) == 0);
    static_assert(organisation_importance(0, 0) > organisation_importance(1, 255));
    static_assert(organisation_importance(2, 0) > organisation_importance(200, 255));
    const auto with_organisations = configuration();
    cr_expect(headroom_importance(*with_organisations, 192) == 168 + 42);
    with_organisations->m_organisations.erase(organisation_name{"gold"});
    cr_expect(headroom_importance(*with_organisations, 192) == 42 && headroom_importance({}, 192) == 192);
    organisation_fixture fixture;
    int promoted = 0;
    for (int count = 0; count < 3000; ++count) {
        const call sent = std::get<entry_send>(fixture.send("/plain/", with_key("tin-key"))).m_call;
        const int importance = sent.m_context.m_priority.importance();
        cr_assert(importance == 42 || importance == 168 + 42, "%d", importance);
        promoted += importance == 42 ? 0 : 1;
    }
    cr_expect(promoted > 900 && promoted < 1100, "%d of 3000", promoted);
}

/** Where all organisations had one low priority, a third of their requests outranked more important kinds. */
Test(entry_organisation, nothing_is_promoted_where_all_priorities_are_equal)
{
    const auto equal = configuration();
    equal->m_organisations.erase(organisation_name{"gold"});
    organisation_fixture fixture;
    fixture.m_entry.configure(equal);
    for (int count = 0; count < 100; ++count) {
        const call sent = std::get<entry_send>(fixture.send("/plain/", with_key("tin-key"))).m_call;
        cr_assert(sent.m_context.m_priority.importance() == 42);
    }
}

/** A node that lost touch with the configuration would otherwise accept withdrawn keys. */
Test(entry_organisation, keys_need_a_recent_confirmation_where_the_deployment_fails_closed)
{
    organisation_fixture fixture(true);
    cr_expect(fixture.rule_of("/plain/", with_key("gold-key")) == rule::keys_unconfirmed);
    const boot_instant confirmed = fixture.m_boot_now;
    fixture.m_entry.confirm(confirmed);
    fixture.m_entry.confirm(confirmed - std::chrono::seconds(1));
    fixture.m_boot_now = confirmed + std::chrono::milliseconds(4799);
    cr_expect(fixture.rule_of("/plain/", with_key("gold-key")) == rule::none);
    fixture.m_boot_now = confirmed + std::chrono::milliseconds(4800);
    cr_expect(fixture.rule_of("/plain/", with_key("gold-key")) == rule::keys_unconfirmed);
    cr_expect(fixture.rule_of("/plain/", {}) == rule::keys_unconfirmed,
              "fail-closed is checked before the key");
    cr_expect(fixture.rule_of("/public/", {}) == rule::none);
    cr_expect(fixture.rule_of("/plain/", {{"Id", "run.a"}}, origin::this_machine) == rule::none,
              "a sub-call");
}
