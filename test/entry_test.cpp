/** @file entry_test.cpp What an entry makes of requests without a context: parents, splits, refusals. */
#include "call/call.h"

#include <criterion/criterion.h>
#include <set>

using namespace waxwing;

namespace {

constexpr request_dialect dialect{"Time", "Id", "Origin", "Instance", "Not-Run", 421, true, false};

std::shared_ptr<const config_set> configuration()
{
    auto set = std::make_shared<config_set>();
    for (const char* name : {"front", "left", "right"}) {
        service_object service;
        service.m_name.m_value = name;
        set->m_services[service.m_name] = service;
    }
    kind_object kind;
    kind.m_name.m_value = "split";
    kind.m_host = "h";
    kind.m_path_prefix = "/split/";
    kind.m_service.m_value = "left";
    kind.m_split = {{service_name{"left"}, 70}, {service_name{"right"}, 30}};
    kind.m_idempotent = true;
    kind.m_importance = 128;
    kind.m_retry = "few";
    set->m_kinds[kind.m_name] = kind;
    kind = kind_object{};
    kind.m_name.m_value = "plain";
    kind.m_host = "h";
    kind.m_path_prefix = "/plain/";
    kind.m_service.m_value = "front";
    kind.m_idempotent = true;
    kind.m_importance = 128;
    kind.m_attempts = 2;
    kind.m_retry = "few";
    set->m_kinds[kind.m_name] = kind;
    retry_settings few;
    few.m_tokens = 100;
    few.m_budget_floor = 1000.0;
    few.m_base_backoff = few.m_max_backoff = duration::zero();
    set->m_retries["few"] = few;
    set->m_unknown_callers.m_rate = set->m_unknown_callers.m_burst = 1.0e6;
    return set;
}

/** An entry with two targets of each service, and the running calls of the target beside it. */
struct entry_bench {
    running_calls m_running;
    entry m_entry{{node_id{"n"}, data_centre_name{"d"}, service_name{"caller"}, control_mode::full, dialect},
                  m_running,
                  1};
    std::vector<entry_action> m_actions;
    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_last = 0;

    entry_bench()
    {
        m_entry.configure(configuration());
        for (const char* service : {"front", "left", "right"}) {
            for (const char* number : {"1", "2", "3"}) {
                m_entry.put_target(m_now, {node_id{std::string(service) + number}, service_name{service},
                                           data_centre_name{"d"}, 10});
            }
        }
    }

    /** Sends a request; gives what the entry decided on it. */
    entry_action arrive(const std::string& path, header_list headers, bool local = true)
    {
        m_actions.clear();
        headers.push_back({"Host", "h"});
        entry_request request{
            exchange_id{++m_last}, "GET", path, std::move(headers), "", false, local, false};
        m_entry.on_request(m_now, std::move(request), m_actions);
        return m_actions.back();
    }

    /** Ends the attempt of @p step by @p why; @p step becomes what the entry does next. */
    void fail_once(entry_action& step, rule why, run_state state)
    {
        const auto& attempt = std::get<entry_send>(step);
        answer failed = refusal(why, state);
        failed.m_retry_tokens = attempt.m_call.m_context.m_retry_tokens;
        m_actions.clear();
        m_entry.on_answer(m_now, attempt.m_attempt, failed, m_actions);
        m_now += std::chrono::milliseconds(1);
        m_entry.tick(m_now, m_actions);
        const entry_action next = m_actions.back();
        step = next;
    }

    /** Ends each attempt by @p why until the request ends in @p step; gives where the attempts went. */
    std::vector<node_id> fail_all(entry_action& step, rule why, run_state state)
    {
        std::vector<node_id> sent_to;
        while (const auto* const attempt = std::get_if<entry_send>(&step)) {
            sent_to.push_back(attempt->m_node);
            fail_once(step, why, state);
        }
        return sent_to;
    }

    /** Lets a call run at the target beside the entry. */
    void run(const char* id, std::uint64_t attempt, duration left, bool repeat = false)
    {
        running_call started;
        started.m_request_id = id;
        started.m_deadline = m_now + left;
        started.m_context.m_root.m_value = attempt;
        started.m_context.m_priority = priority_of(224, 7);
        started.m_context.m_repeat = repeat;
        started.m_tokens = retry_tokens(4);
        m_running.add(attempt_id{attempt}, started);
    }
};

const call& sent(const entry_action& action)
{
    return std::get<entry_send>(action).m_call;
}

} // namespace

Test(entry, a_sub_call_is_known_by_the_id_that_extends_its_parents)
{
    entry_bench bench;
    bench.run("r1", 1, std::chrono::seconds(1));
    bench.run("r1.a", 2, std::chrono::seconds(1));
    const entry_action nested = bench.arrive("/plain/x", {{"Id", "r1.a.b"}, {"Time", "700"}});
    cr_assert(sent(nested).m_context.m_root.m_value == 2 && sent(nested).m_context.m_depth == 1);
    cr_assert(sent(nested).m_context.m_priority == priority_of(224, 7));
    const entry_action root = bench.arrive("/plain/x", {{"Id", "r2.a"}, {"Time", "5000"}});
    cr_assert(sent(root).m_context.m_depth == 0, "no call with the id r2 runs here");
    const entry_action foreign = bench.arrive("/plain/x", {{"Id", "r1.c"}, {"Time", "5000"}}, false);
    cr_assert(sent(foreign).m_context.m_depth == 0, "another machine's requests are none of this target's");
}

Test(entry, a_sub_call_without_such_an_id_is_known_by_its_parents_deadline)
{
    entry_bench bench;
    bench.run("r1", 1, std::chrono::microseconds(900'600));
    const entry_action inner = bench.arrive("/plain/x", {{"Id", "zz"}, {"Time", "900"}});
    cr_assert(sent(inner).m_context.m_depth == 1);
    const entry_action root = bench.arrive("/plain/x", {{"Id", "zz"}, {"Time", "890"}});
    cr_assert(sent(root).m_context.m_depth == 0);
}

Test(entry, a_split_gives_each_service_its_exact_share)
{
    entry_bench bench;
    int left = 0;
    for (int count = 1; count <= 200; ++count) {
        left += sent(bench.arrive("/split/x", {{"Id", "i"}})).m_service.m_value == "left" ? 1 : 0;
        cr_assert(std::abs(left - 0.7 * count) <= 1.0, "%d of %d", left, count);
    }
}

Test(entry, the_origin_is_the_own_service_whatever_the_caller_says)
{
    entry_bench bench;
    const entry_action made = bench.arrive(
        "/plain/x", {{"Id", "i"}, {"Origin", "forged"}, {"Instance", "forged"}, {"Time", "900"}});
    int origins = 0;
    for (const header& field : sent(made).m_headers) {
        cr_assert(field.m_name != "Instance" && field.m_name != "Time");
        origins += field.m_name == "Origin" ? 1 : 0;
    }
    cr_assert(origins == 1 && *find_header(sent(made).m_headers, "Origin") == "caller");
}

Test(entry, a_request_reaches_no_more_targets_than_its_kind_allows)
{
    for (const rule why : {rule::target_refused, rule::target_lost}) {
        entry_bench bench;
        entry_action last = bench.arrive("/plain/x", {{"Id", "i"}});
        const run_state state = why == rule::target_lost ? run_state::unknown : run_state::not_run;
        const std::vector<node_id> sent_to = bench.fail_all(last, why, state);
        cr_assert(std::set<node_id>(sent_to.begin(), sent_to.end()).size() == 2);
        cr_assert(why == rule::target_refused || sent_to.size() == 2, "none is sent again what may have run");
        cr_assert(std::get<entry_reply>(last).m_answer.m_state == state);
    }
}

/** The load of targets that refuse some of their calls at random: the same target may take the next one. */
Test(entry, targets_that_refuse_are_asked_again_in_turn_a_bounded_number_of_times)
{
    entry_bench bench;
    entry_action last = bench.arrive("/plain/x", {{"Id", "i"}});
    const std::vector<node_id> sent_to = bench.fail_all(last, rule::target_refused, run_state::not_run);
    cr_assert(sent_to.size() > 2 && sent_to.size() <= 10);
    for (std::size_t index = 1; index < sent_to.size(); ++index) {
        cr_assert(sent_to[index] != sent_to[index - 1]);
    }
}

Test(entry, a_target_whose_node_refuses_is_not_asked_again)
{
    entry_bench bench;
    entry_action last = bench.arrive("/plain/x", {{"Id", "i"}});
    bench.fail_once(last, rule::target_refused, run_state::not_run);
    bench.fail_once(last, rule::target_refused, run_state::not_run);
    cr_assert(bench.fail_all(last, rule::draining, run_state::not_run).size() == 2);
}

Test(entry, the_calls_of_a_repeated_run_are_repeats)
{
    entry_bench bench;
    entry_action last = bench.arrive("/plain/x", {{"Id", "i"}});
    cr_assert(!sent(last).m_context.m_repeat);
    bench.fail_once(last, rule::target_refused, run_state::not_run);
    cr_assert(sent(last).m_context.m_repeat);
    bench.run("r1", 1, std::chrono::seconds(1), true);
    const entry_action below = bench.arrive("/plain/x", {{"Id", "r1.a"}});
    cr_assert(sent(below).m_context.m_repeat);
}

Test(entry, refusals_by_nodes_cost_no_attempt_at_a_target)
{
    entry_bench bench;
    entry_action last = bench.arrive("/plain/x", {{"Id", "i"}});
    cr_assert(bench.fail_all(last, rule::draining, run_state::not_run).size() == 3, "each node is asked");
}

Test(entry, a_planned_stop_refuses_whole_requests_and_serves_sub_calls)
{
    entry_bench bench;
    bench.run("r1", 1, std::chrono::seconds(1));
    bench.m_entry.drain();
    const entry_action root = bench.arrive("/plain/x", {{"Id", "r9"}, {"Time", "5000"}});
    cr_assert(std::get<entry_reply>(root).m_answer.m_rule == rule::draining);
    cr_assert(std::holds_alternative<entry_send>(bench.arrive("/plain/x", {{"Id", "r1.a"}})));
}

Test(entry, a_path_without_a_kind_is_not_found)
{
    entry_bench bench;
    const entry_action unknown = bench.arrive("/other/x", {{"Id", "i"}});
    cr_assert(std::get<entry_reply>(unknown).m_answer.m_rule == rule::unknown_service);
}
