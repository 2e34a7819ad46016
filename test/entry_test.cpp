/** @file entry_test.cpp Tests of the entry: parents of sub-calls without a context, splits, retries and
 * refusals. */
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
    kind.m_name.m_value = "order";
    kind.m_path_prefix = "/order/";
    kind.m_idempotent = false;
    set->m_kinds[kind.m_name] = kind;
    retry_settings few;
    few.m_tokens = 100;
    few.m_budget_floor = 1000.0;
    few.m_base_backoff = few.m_max_backoff = duration::zero();
    set->m_retries["few"] = few;
    set->m_unknown_callers.m_rate = set->m_unknown_callers.m_burst = 1.0e6;
    return set;
}

/** Entry with three targets of each service, and the running calls of the target beside it. */
struct entry_fixture {
    running_calls m_running;
    entry m_entry{{node_id{"n"}, data_centre_name{"d"}, service_name{"caller"}, control_mode::full, dialect},
                  m_running,
                  1};
    std::vector<entry_action> m_actions;
    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_last = 0;

    entry_fixture()
    {
        m_entry.configure(configuration());
        for (const char* service : {"front", "left", "right"}) {
            for (const char* number : {"1", "2", "3"}) {
                m_entry.put_target(m_now, {node_id{std::string(service) + number}, service_name{service},
                                           data_centre_name{"d"}, 10});
            }
        }
    }

    /** Sends a request. @return the last action of the entry. */
    entry_action send_request(const std::string& path, header_list headers, bool local = true)
    {
        m_actions.clear();
        headers.push_back({"Host", "h"});
        entry_request request{
            exchange_id{++m_last}, "GET", path, std::move(headers), "", false, local, false};
        m_entry.on_request(m_now, std::move(request), m_actions);
        return m_actions.back();
    }

    /** Ends the attempt of @p action with the rule @p reason; @p action becomes the next action. */
    void fail_once(entry_action& action, rule reason, run_state state)
    {
        const auto& attempt = std::get<entry_send>(action);
        answer response = refusal(reason, state);
        response.m_retry_tokens = attempt.m_call.m_context.m_retry_tokens;
        m_actions.clear();
        m_entry.on_answer(m_now, attempt.m_attempt, response, m_actions);
        m_now += std::chrono::milliseconds(1);
        m_entry.tick(m_now, m_actions);
        const entry_action next = m_actions.back();
        action = next;
    }

    /** Ends each attempt with the rule @p reason until the request ends; @p action becomes the last action.
     * @return the nodes of the attempts. */
    std::vector<node_id> fail_all(entry_action& action, rule reason, run_state state)
    {
        std::vector<node_id> sent_to;
        while (const auto* const attempt = std::get_if<entry_send>(&action)) {
            sent_to.push_back(attempt->m_node);
            fail_once(action, reason, state);
        }
        return sent_to;
    }

    /** Adds a running call at the target beside the entry. */
    void add_running_call(const char* id, std::uint64_t attempt, duration left, bool repeat = false)
    {
        running_call running;
        running.m_request_id = id;
        running.m_deadline = m_now + left;
        running.m_context.m_root.m_value = attempt;
        running.m_context.m_priority = priority_of(224, 7);
        running.m_context.m_repeat = repeat;
        running.m_tokens = retry_tokens(4);
        m_running.add(attempt_id{attempt}, running);
    }
};

const call& sent_call(const entry_action& action)
{
    return std::get<entry_send>(action).m_call;
}

} // namespace

Test(entry, a_sub_call_is_matched_by_the_request_id_of_its_parent)
{
    entry_fixture fixture;
    fixture.add_running_call("r1", 1, std::chrono::seconds(1));
    fixture.add_running_call("r1.a", 2, std::chrono::seconds(1));
    const entry_action nested = fixture.send_request("/plain/x", {{"Id", "r1.a.b"}, {"Time", "700"}});
    cr_assert(sent_call(nested).m_context.m_root.m_value == 2 && sent_call(nested).m_context.m_depth == 1);
    cr_assert(sent_call(nested).m_context.m_priority == priority_of(224, 7));
    const entry_action root = fixture.send_request("/plain/x", {{"Id", "r2.a"}, {"Time", "5000"}});
    cr_assert(sent_call(root).m_context.m_depth == 0, "no running call has the id r2");
    const entry_action foreign = fixture.send_request("/plain/x", {{"Id", "r1.c"}, {"Time", "5000"}}, false);
    cr_assert(sent_call(foreign).m_context.m_depth == 0,
              "a request of another machine can't be a sub-call of this target");
}

Test(entry, a_sub_call_without_such_an_id_is_matched_by_the_deadline_of_its_parent)
{
    entry_fixture fixture;
    fixture.add_running_call("r1", 1, std::chrono::microseconds(900'600));
    const entry_action inner = fixture.send_request("/plain/x", {{"Id", "zz"}, {"Time", "900"}});
    cr_assert(sent_call(inner).m_context.m_depth == 1);
    const entry_action root = fixture.send_request("/plain/x", {{"Id", "zz"}, {"Time", "890"}});
    cr_assert(sent_call(root).m_context.m_depth == 0);
}

Test(entry, a_split_distributes_requests_exactly_by_weight)
{
    entry_fixture fixture;
    int left = 0;
    for (int count = 1; count <= 200; ++count) {
        left +=
            sent_call(fixture.send_request("/split/x", {{"Id", "i"}})).m_service.m_value == "left" ? 1 : 0;
        cr_assert(std::abs(left - 0.7 * count) <= 1.0, "%d of %d", left, count);
    }
}

Test(entry, the_origin_header_of_the_caller_is_replaced)
{
    entry_fixture fixture;
    const entry_action action = fixture.send_request(
        "/plain/x", {{"Id", "i"}, {"Origin", "forged"}, {"Instance", "forged"}, {"Time", "900"}});
    int origins = 0;
    for (const header& field : sent_call(action).m_headers) {
        cr_assert(field.m_name != "Instance" && field.m_name != "Time");
        origins += field.m_name == "Origin" ? 1 : 0;
    }
    cr_assert(origins == 1 && *find_header(sent_call(action).m_headers, "Origin") == "caller");
}

Test(entry, a_request_reaches_no_more_targets_than_its_kind_allows)
{
    for (const rule reason : {rule::target_refused, rule::target_lost}) {
        entry_fixture fixture;
        entry_action action = fixture.send_request("/plain/x", {{"Id", "i"}});
        const run_state state = reason == rule::target_lost ? run_state::unknown : run_state::not_run;
        const std::vector<node_id> sent_to = fixture.fail_all(action, reason, state);
        cr_assert(std::set<node_id>(sent_to.begin(), sent_to.end()).size() == 2);
        cr_assert(reason == rule::target_refused || sent_to.size() == 2,
                  "a target that may have run the request does not get it again");
        cr_assert(std::get<entry_reply>(action).m_answer.m_state == state);
    }
}

/** A target that fails part of its requests while its health check passes must not fail those that another
 * can run. Only the hop directly above it repeats: where a sub-call was the cause, that one was repeated
 * already. */
Test(entry, a_failed_run_is_repeated_elsewhere_only_if_idempotent_and_not_for_a_sub_call)
{
    for (const bool is_final : {false, true}) {
        entry_fixture fixture;
        entry_action action = fixture.send_request("/plain/x", {{"Id", "i"}});
        const node_id first = std::get<entry_send>(action).m_node;
        answer response;
        response.m_state = run_state::ran;
        response.m_status = 500;
        response.m_final = is_final;
        response.m_retry_tokens = sent_call(action).m_context.m_retry_tokens;
        fixture.m_actions.clear();
        fixture.m_entry.on_answer(fixture.m_now, std::get<entry_send>(action).m_attempt, response,
                                  fixture.m_actions);
        fixture.m_now += std::chrono::milliseconds(1);
        fixture.m_entry.tick(fixture.m_now, fixture.m_actions);
        const auto* const repeat = std::get_if<entry_send>(&fixture.m_actions.back());
        cr_assert((repeat != nullptr) == !is_final);
        cr_assert(is_final || repeat->m_node != first);
    }
    entry_fixture fixture;
    const entry_action action = fixture.send_request("/order/x", {{"Id", "i"}});
    answer response;
    response.m_state = run_state::ran;
    response.m_status = 500;
    response.m_retry_tokens = sent_call(action).m_context.m_retry_tokens;
    fixture.m_actions.clear();
    fixture.m_entry.on_answer(fixture.m_now, std::get<entry_send>(action).m_attempt, response,
                              fixture.m_actions);
    cr_assert(std::get<entry_reply>(fixture.m_actions.back()).m_answer.m_status == 500,
              "orders run at most once");
}

/** A target's node cancels the calls of a lost link; its answers arrive over a link that the entry kept. */
Test(entry, a_caller_that_waits_is_not_answered_as_one_that_left)
{
    entry_fixture fixture;
    entry_action waiting = fixture.send_request("/order/x", {});
    fixture.fail_once(waiting, rule::cancelled, run_state::not_run);
    cr_assert(std::holds_alternative<entry_send>(waiting));
    entry_action order = fixture.send_request("/order/x", {});
    fixture.fail_once(order, rule::cancelled, run_state::unknown);
    cr_assert(std::get<entry_reply>(order).m_answer.m_rule == rule::link_lost);
    cr_assert(std::get<entry_reply>(order).m_answer.m_state == run_state::unknown);
    entry_action lookup = fixture.send_request("/plain/x", {});
    cr_assert(fixture.fail_all(lookup, rule::cancelled, run_state::unknown).size() == 2);
    cr_assert(std::get<entry_reply>(lookup).m_answer.m_rule == rule::link_lost);
}

/** Targets that refuse some of their calls at random may accept the next one, so they are retried. */
Test(entry, targets_that_refuse_are_retried_in_turn_up_to_a_limit)
{
    entry_fixture fixture;
    entry_action action = fixture.send_request("/plain/x", {{"Id", "i"}});
    const std::vector<node_id> sent_to = fixture.fail_all(action, rule::target_refused, run_state::not_run);
    cr_assert(sent_to.size() > 2 && sent_to.size() <= 10);
    for (std::size_t index = 1; index < sent_to.size(); ++index) {
        cr_assert(sent_to[index] != sent_to[index - 1]);
    }
}

Test(entry, a_target_whose_node_refuses_is_not_retried)
{
    entry_fixture fixture;
    entry_action action = fixture.send_request("/plain/x", {{"Id", "i"}});
    fixture.fail_once(action, rule::target_refused, run_state::not_run);
    fixture.fail_once(action, rule::target_refused, run_state::not_run);
    cr_assert(fixture.fail_all(action, rule::draining, run_state::not_run).size() == 2);
}

Test(entry, sub_calls_of_a_repeated_run_are_marked_as_repeats)
{
    entry_fixture fixture;
    entry_action action = fixture.send_request("/plain/x", {{"Id", "i"}});
    cr_assert(!sent_call(action).m_context.m_repeat);
    fixture.fail_once(action, rule::target_refused, run_state::not_run);
    cr_assert(sent_call(action).m_context.m_repeat);
    fixture.add_running_call("r1", 1, std::chrono::seconds(1), true);
    const entry_action sub_call = fixture.send_request("/plain/x", {{"Id", "r1.a"}});
    cr_assert(sent_call(sub_call).m_context.m_repeat);
}

Test(entry, refusals_by_nodes_do_not_count_as_attempts_at_a_target)
{
    entry_fixture fixture;
    entry_action action = fixture.send_request("/plain/x", {{"Id", "i"}});
    cr_assert(fixture.fail_all(action, rule::draining, run_state::not_run).size() == 3,
              "all three nodes are tried");
}

Test(entry, a_draining_entry_refuses_requests_but_accepts_sub_calls)
{
    entry_fixture fixture;
    fixture.add_running_call("r1", 1, std::chrono::seconds(1));
    fixture.m_entry.drain();
    const entry_action root = fixture.send_request("/plain/x", {{"Id", "r9"}, {"Time", "5000"}});
    cr_assert(std::get<entry_reply>(root).m_answer.m_rule == rule::draining);
    cr_assert(std::holds_alternative<entry_send>(fixture.send_request("/plain/x", {{"Id", "r1.a"}})));
}

/** A request got the answer to another one, with its id, and an order was not run. */
Test(entry, requests_with_one_idempotency_key_and_two_ids_shared_an_answer)
{
    entry_fixture fixture;
    const header_list first{{"Id", "r1"}, {"Idempotency-Key", "k"}};
    const header_list second{{"Id", "r2"}, {"Idempotency-Key", "k"}};
    cr_assert(std::holds_alternative<entry_send>(fixture.send_request("/order/x", first)));
    const entry_action other = fixture.send_request("/order/x", second);
    cr_assert(*find_header(sent_call(other).m_headers, "Id") == "r2");
    cr_assert(fixture.m_entry.counters().m_joined == 0 && fixture.m_entry.in_progress() == 2);
}

/** Gives all kinds of @p fixture a deadline of 10 s. */
void set_long_deadlines(entry_fixture& fixture)
{
    auto set = std::make_shared<config_set>(*configuration());
    for (auto& [name, kind] : set->m_kinds) {
        kind.m_deadline = std::chrono::seconds(10);
    }
    fixture.m_entry.configure(set);
}

/** Calls that came in a planned stop were passed on and cut without an answer by the end of the process. */
Test(entry, a_call_passed_on_late_in_a_planned_stop_was_cut_without_an_answer)
{
    entry_fixture fixture;
    set_long_deadlines(fixture);
    fixture.add_running_call("r1", 1, std::chrono::seconds(30));
    const instant end = fixture.m_now + std::chrono::seconds(6);
    fixture.m_entry.begin_stop(end);
    fixture.m_now += std::chrono::seconds(2);
    const entry_action early = fixture.send_request("/order/x", {{"Id", "r1.a"}, {"Time", "5000"}});
    cr_assert(sent_call(early).m_context.m_time_left == std::chrono::seconds(4));
    fixture.m_entry.drain();
    fixture.m_now = fixture.m_entry.next_tick();
    cr_assert(fixture.m_now <= end + std::chrono::milliseconds(50));
    fixture.m_actions.clear();
    fixture.m_entry.tick(fixture.m_now, fixture.m_actions);
    const auto& unfinished = std::get<entry_reply>(fixture.m_actions.back());
    cr_assert(unfinished.m_answer.m_state == run_state::unknown);
    const entry_action later = fixture.send_request("/order/x", {{"Id", "r1.b"}, {"Time", "5000"}});
    cr_assert(std::get<entry_reply>(later).m_answer.m_rule == rule::draining);
}

/** review/8: sub-calls that came late in a planned stop were passed on and interrupted at work. */
Test(entry, a_late_sub_call_was_interrupted_at_work_by_a_planned_stop)
{
    entry_fixture fixture;
    set_long_deadlines(fixture);
    fixture.add_running_call("r1", 1, std::chrono::seconds(30));
    fixture.m_entry.begin_stop(fixture.m_now + std::chrono::seconds(6));
    fixture.m_now += std::chrono::seconds(4);
    fixture.m_entry.drain();
    const entry_action late = fixture.send_request("/order/x", {{"Id", "r1.a"}, {"Time", "2500"}});
    const answer& refused = std::get<entry_reply>(late).m_answer;
    cr_assert(refused.m_rule == rule::draining && refused.m_state == run_state::not_run);
    const entry_action short_call = fixture.send_request("/order/x", {{"Id", "r1.b"}, {"Time", "2000"}});
    cr_assert(sent_call(short_call).m_context.m_time_left == std::chrono::seconds(2), "all the time it has");
}

/** A request of a caller whose deadline is that of a running call is taken for a sub-call of it. */
Test(entry, a_callers_late_request_that_passes_for_a_sub_call_is_not_interrupted_by_a_planned_stop)
{
    entry_fixture fixture;
    set_long_deadlines(fixture);
    fixture.add_running_call("r1", 1, std::chrono::seconds(3));
    fixture.m_entry.begin_stop(fixture.m_now + std::chrono::seconds(2));
    fixture.m_entry.drain();
    const entry_action late = fixture.send_request("/plain/x", {{"Id", "other"}, {"Time", "3000"}});
    cr_assert(std::get<entry_reply>(late).m_answer.m_rule == rule::draining);
}

Test(entry, a_call_in_progress_at_the_end_of_a_planned_stop_is_answered)
{
    entry_fixture fixture;
    const instant end = fixture.m_now + std::chrono::seconds(1);
    fixture.send_request("/plain/x", {{"Id", "r1"}, {"Time", "60000"}});
    fixture.m_entry.begin_stop(end);
    cr_assert(fixture.m_entry.next_tick() <= end + std::chrono::milliseconds(50));
    fixture.m_actions.clear();
    fixture.m_entry.tick(fixture.m_entry.next_tick(), fixture.m_actions);
    cr_assert(std::holds_alternative<entry_reply>(fixture.m_actions.back()));
    cr_assert(fixture.m_entry.in_progress() == 0);
}

Test(entry, a_call_that_is_unlikely_to_end_before_a_planned_stop_is_refused)
{
    entry_fixture fixture;
    auto set = std::make_shared<config_set>(*configuration());
    set->m_kinds[kind_name{"plain"}].m_objective = std::chrono::milliseconds(800);
    fixture.m_entry.configure(set);
    fixture.add_running_call("r1", 1, std::chrono::seconds(30));
    fixture.m_entry.begin_stop(fixture.m_now + std::chrono::seconds(1));
    cr_assert(std::holds_alternative<entry_send>(fixture.send_request("/plain/x", {{"Id", "r1.a"}})));
    fixture.m_now += std::chrono::milliseconds(300);
    const entry_action late = fixture.send_request("/plain/x", {{"Id", "r1.b"}});
    const answer& refused = std::get<entry_reply>(late).m_answer;
    cr_assert(refused.m_rule == rule::draining && refused.m_state == run_state::not_run);
}

/** The configuration accepts host names of up to 253 bytes. */
Test(entry, a_request_for_a_long_host_name_is_not_refused)
{
    const std::string host(253, 'h');
    auto set = std::make_shared<config_set>(*configuration());
    set->m_kinds.at(kind_name{"plain"}).m_host = host;
    entry_fixture fixture;
    fixture.m_entry.configure(set);
    for (const std::string& name : {host, host + ":65535"}) {
        fixture.m_actions.clear();
        fixture.m_entry.on_request(
            fixture.m_now,
            {exchange_id{++fixture.m_last}, "GET", "/plain/", {{"Host", name}}, "", false, true, false},
            fixture.m_actions);
        cr_assert(std::holds_alternative<entry_send>(fixture.m_actions.back()));
    }
}

/** A caller may wait for longer than any request is kept. */
Test(entry, a_request_whose_caller_waits_for_days_is_not_refused)
{
    entry_fixture fixture;
    for (const char* wait : {"86400001", "9223372036854775807", "99999999999999999999"}) {
        const entry_action action = fixture.send_request("/plain/", {{"Time", wait}});
        cr_assert(std::holds_alternative<entry_send>(action));
        cr_assert(sent_call(action).m_context.m_time_left > duration::zero());
    }
    for (const char* wait : {"", "-1", "1x", "99999999999999999999x"}) {
        const entry_action action = fixture.send_request("/plain/", {{"Time", wait}});
        cr_assert(std::get<entry_reply>(action).m_answer.m_rule == rule::bad_header);
    }
}

Test(entry, a_path_without_a_kind_is_not_found)
{
    entry_fixture fixture;
    const entry_action unknown = fixture.send_request("/other/x", {{"Id", "i"}});
    cr_assert(std::get<entry_reply>(unknown).m_answer.m_rule == rule::unknown_service);
}

/** A caller is replaced by another, and later the limits of all callers without an object change. */
Test(entry, changed_limits_of_callers_apply_though_their_number_stays)
{
    entry_fixture fixture;
    const auto limited = [](const char* name, double unknown_rate) {
        auto set = std::make_shared<config_set>(*configuration());
        set->m_callers[caller_name{name}] = caller_object{caller_name{name}, share_settings{0.001, 1.0, 1.0}};
        set->m_unknown_callers.m_rate = set->m_unknown_callers.m_burst = unknown_rate;
        return set;
    };
    const auto is_admitted = [&](const char* caller) {
        bool admitted = true;
        for (int count = 0; count < 5; ++count) {
            const entry_action action = fixture.send_request("/plain/x", {{"Waxwing-Caller", caller}}, false);
            admitted = std::holds_alternative<entry_send>(action);
        }
        return admitted;
    };
    fixture.m_entry.configure(limited("a", 1.0e6));
    cr_assert(!is_admitted("a") && is_admitted("b"));
    fixture.m_entry.configure(limited("b", 1.0e6));
    cr_assert(is_admitted("a") && !is_admitted("b"));
    fixture.m_entry.configure(limited("b", 1.0));
    cr_assert(!is_admitted("c"));
}

/** A header that concerns one connection only must not reach the target. */
Test(entry, each_header_that_connection_lists_is_dropped)
{
    const header_list forwarded = end_to_end_headers(
        {{"Connection", "keep-alive, X-One ,x-two"}, {"X-One", "1"}, {"X-Two", "2"}, {"X", "3"}});
    cr_assert(forwarded.size() == 1 && forwarded.front().m_name == "X");
}
