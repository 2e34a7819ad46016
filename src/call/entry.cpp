/** @file entry.cpp Start and end of calls at an entry. */
#include "call/entry_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Returns the answer by which a check accepts the request: it names no rule. */
answer proceed()
{
    return answer{};
}

/** Returns the routing policy of @p service in @p set; the default policy if it names none. */
router_settings routing_of(const config_set& set, const service_name& service)
{
    const auto object = set.m_services.find(service);
    if (object == set.m_services.end()) {
        return {};
    }
    const auto policy = set.m_routings.find(object->second.m_routing);
    return policy == set.m_routings.end() ? router_settings{} : policy->second;
}

/** Returns whether @p decision refuses the request. */
bool is_refused(const answer& decision)
{
    return decision.m_rule != rule::none;
}

} // namespace

entry::entry(const entry_settings& settings, running_calls& running, std::uint64_t seed)
    : m_settings(settings), m_running(running), m_random(seed), m_shares(share_settings{}, m_random()),
      m_attempt_base(m_random())
{
}

void entry::configure(std::shared_ptr<const config_set> set)
{
    const std::shared_ptr<const config_set> previous_config = std::exchange(m_config, std::move(set));
    m_kinds = std::make_unique<const kind_index>(m_config);
    m_organisations = std::make_unique<const organisation_index>(m_config);
    std::erase_if(m_splits, [this](const auto& item) { return !m_config->m_kinds.contains(item.first); });
    configure_shares(previous_config.get());
    for (auto& [service, routes] : m_routers) {
        routes.configure(routing_of(*m_config, service));
    }
    m_thresholds.retain([this](const kind_name& kind) { return m_config->m_kinds.contains(kind); });
    std::erase_if(m_budgets, [this](const auto& item) { return !m_config->m_services.contains(item.first); });
}

void entry::put_target(instant now, const route_target& target)
{
    router_of(target.m_service).put(now, target);
}

void entry::remove_target(const node_id& node)
{
    for (auto& [service, routes] : m_routers) {
        routes.remove(node);
    }
}

void entry::on_request(instant now, entry_request request, std::vector<entry_action>& actions)
{
    ++m_counters.m_arrived;
    open_call new_call;
    new_call.m_arrived_at = now;
    new_call.m_waiters = {request.m_exchange};
    const result<request_fields> fields =
        read_request_fields(request.m_headers, m_settings.m_dialect.m_deadline);
    if (fields.has_error()) {
        answer response = refusal(rule::bad_header);
        response.m_body = fields.error().m_text;
        refuse(now, request, true, new_call, std::move(response), actions);
        return;
    }
    const answer decision = check_request(now, request, fields.value(), new_call);
    if (is_refused(decision)) {
        refuse(now, request, is_root(fields.value(), new_call), new_call, decision, actions);
        return;
    }
    if (needs_quota(new_call)) {
        wait_for_token(std::move(request), fields.value(), std::move(new_call), actions);
        return;
    }
    accept(now, std::move(request), fields.value(), std::move(new_call), actions);
}

/** Returns whether an outside caller sent @p new_call, as far as its headers tell. */
bool entry::is_root(const request_fields& fields, const open_call& new_call)
{
    return new_call.m_has_key || !fields.m_parent.has_value();
}

/** Checks @p request up to its key, and fills in the kind, the deadline and the organisation of @p new_call.
 * @return proceed() or the refusal. */
answer entry::check_request(instant now, const entry_request& request, const request_fields& fields,
                            open_call& new_call)
{
    if (m_config == nullptr) {
        return refusal(rule::not_ready);
    }
    new_call.m_config = m_config;
    new_call.m_kind = m_kinds->find(fields.m_host, fields.m_kind, request.m_method, request.m_path);
    if (new_call.m_kind == nullptr) {
        const bool is_service = m_config->m_services.contains(service_name{fields.m_host});
        return refusal(is_service ? rule::missing_kind : rule::unknown_service);
    }
    if (request.m_body_too_large) {
        return refusal(rule::body_too_large);
    }
    const duration kind_deadline = new_call.m_kind->m_deadline;
    new_call.m_deadline = now + std::min(fields.m_deadline.value_or(kind_deadline), kind_deadline);
    return m_organisations->empty() ? proceed() : check_key(request, fields, new_call);
}

/** Handles @p request, which has passed check_request and has spent a token if needs_quota says so: sends the
 * first attempt of @p new_call or refuses it. */
void entry::accept(instant now, entry_request request, const request_fields& fields, open_call new_call,
                   std::vector<entry_action>& actions)
{
    const answer decision = prepare(now, request, fields, new_call);
    if (is_refused(decision)) {
        refuse(now, request, is_root(fields, new_call), new_call, decision, actions);
        return;
    }
    if (join(request, new_call)) {
        return_token(new_call, actions);
        return;
    }
    new_call.m_call.m_method = std::move(request.m_method);
    new_call.m_call.m_path = std::move(request.m_path);
    set_headers(request.m_headers, new_call);
    new_call.m_call.m_body = std::move(request.m_body);
    open(now, std::move(new_call), actions);
}

/** Answers @p request, which has not been sent to a target, with @p response. */
void entry::refuse(instant now, const entry_request& request, bool root, const open_call& new_call,
                   answer response, std::vector<entry_action>& actions)
{
    return_token(new_call, actions);
    add_retry_after(response);
    const kind_name kind = new_call.m_kind == nullptr ? kind_name{} : new_call.m_kind->m_name;
    update_parent(now, new_call, response);
    entry_reply reply{request.m_exchange, kind, std::move(response), duration::zero(), root, {}, {}, {}};
    reply.m_request_id = request_id_of(m_settings.m_dialect, request.m_headers);
    reply.m_service = new_call.m_call.m_service;
    reply.m_depth = new_call.m_call.m_context.m_depth;
    reply.m_organisation = new_call.m_organisation;
    actions.emplace_back(std::move(reply));
}

/** Checks @p request, which has passed check_request, against everything else, and fills in @p new_call,
 * except for the message itself.
 * @return proceed() or the refusal. */
answer entry::prepare(instant now, const entry_request& request, const request_fields& fields,
                      open_call& new_call)
{
    if (request.m_over_connection_limit) {
        return refusal(rule::too_many_connections);
    }
    const config_set& set = *new_call.m_config;
    const kind_object& kind = *new_call.m_kind;
    const auto policy = set.m_retries.find(kind.m_retry);
    new_call.m_retry = policy == set.m_retries.end() ? retry_settings{} : policy->second;
    call& outbound = new_call.m_call;
    outbound.m_service = choose_service(kind);
    outbound.m_kind = kind.m_name;
    outbound.m_caller =
        set.m_organisations.empty() ? fields.m_caller : caller_name{new_call.m_organisation.m_value};
    outbound.m_idempotent = kind.m_idempotent;
    outbound.m_idempotency_key = fields.m_key;
    outbound.m_fingerprint =
        fingerprint_of(fields.m_host, request.m_method, request.m_path, request.m_body.text());
    answer decision = proceed();
    if (fields.m_parent.has_value() && !new_call.m_has_key) {
        decision = prepare_sub_call(now, *fields.m_parent, new_call);
    }
    else if (const auto parent =
                 new_call.m_has_key ? std::nullopt : parent_of(request, new_call.m_deadline)) {
        decision = begin_sub_call(now, new_call, *parent, *m_running.find(*parent));
    }
    else {
        decision = prepare_root(now, new_call);
    }
    budget_of(outbound.m_service, new_call.m_retry).on_request(now, outbound.m_context.m_priority);
    if (is_refused(decision)) {
        return decision;
    }
    if (outbound.m_context.m_depth > set.m_max_depth) {
        return refusal(rule::loop);
    }
    if (!ends_before_stop(now, new_call)) {
        return refusal(rule::draining);
    }
    new_call.m_deadline = std::min(new_call.m_deadline, m_stop_at);
    if (new_call.m_deadline <= now) {
        return refusal(rule::deadline_expired);
    }
    return serves(outbound.m_service) ? proceed() : refusal(rule::no_target);
}

/** Prepares a request that has no parent call here: sets its ids, priority and retry tokens, and checks it
 * against the caller's share and the thresholds reported by nodes further down the call chain. Refuses it
 * while the node drains. */
answer entry::prepare_root(instant now, open_call& new_call)
{
    call_context& context = new_call.m_call.m_context;
    const bool detached = context.m_depth > 0;
    context.m_root = detached ? context.m_root : root_id{m_random()};
    context.m_priority = make_priority(importance_of(new_call), context.m_root);
    new_call.m_granted_tokens = detached ? std::uint16_t{0} : new_call.m_retry.m_tokens;
    new_call.m_tokens = retry_tokens(new_call.m_granted_tokens);
    if (m_draining) {
        return refusal(rule::draining);
    }
    if (m_settings.m_mode != control_mode::full) {
        return proceed();
    }
    const kind_name& kind = new_call.m_kind->m_name;
    const share_decision share = m_shares.decide(now, new_call.m_call.m_caller, m_random);
    if (!share.m_admitted) {
        answer response = refusal(rule::caller_share);
        response.m_retry_after = share.m_retry_after;
        return response;
    }
    context.m_priority = priority_of(importance_of(new_call), share.m_cohort);
    if (m_thresholds.should_shed(now, kind, context.m_priority, m_random)) {
        return refusal(rule::shed);
    }
    return proceed();
}

/** Returns whether @p new_call can start now although the node stops: until callers are refused, if it is
 * likely to end before the stop; then only if it can take all the time that it has, since its target may do
 * so and must not be interrupted at work. */
bool entry::ends_before_stop(instant now, const open_call& new_call) const
{
    if (m_stop_at == instant::max()) {
        return true;
    }
    return m_draining ? new_call.m_deadline <= m_stop_at : now + new_call.m_kind->m_objective < m_stop_at;
}

/** Returns the key by which re-sends of @p new_call with @p headers are found; empty without an idempotency
 * key. The answer repeats the request id, so that only requests with the same one can share it; it belongs to
 * one organisation. */
std::string entry::join_key(const open_call& new_call, const header_list& headers) const
{
    const call& outbound = new_call.m_call;
    if (outbound.m_idempotency_key.empty()) {
        return {};
    }
    return new_call.m_organisation.m_value + '\n' + outbound.m_service.m_value + '\n' +
           outbound.m_idempotency_key + '\n' + std::to_string(outbound.m_fingerprint) + '\n' +
           request_id_of(m_settings.m_dialect, headers);
}

/** Joins @p request to the same request in progress. @return false if there is none. */
bool entry::join(const entry_request& request, const open_call& new_call)
{
    const std::string key = join_key(new_call, request.m_headers);
    const auto position = key.empty() ? m_keys.end() : m_keys.find(key);
    if (position == m_keys.end() || new_call.m_parent.has_value()) {
        return false;
    }
    m_calls.at(position->second).m_waiters.push_back(request.m_exchange);
    m_exchanges.emplace(request.m_exchange, position->second);
    ++m_counters.m_joined;
    return true;
}

void entry::open(instant now, open_call new_call, std::vector<entry_action>& actions)
{
    const call_number number = ++m_last_number;
    m_exchanges.emplace(new_call.m_waiters.front(), number);
    const std::string key = join_key(new_call, new_call.m_call.m_headers);
    if (!key.empty()) {
        m_keys.emplace(key, number);
    }
    open_call& current = m_calls.emplace(number, std::move(new_call)).first->second;
    if (current.m_call.m_context.m_repeat) {
        budget_of(current.m_call.m_service, current.m_retry).charge(now);
    }
    send_attempt(now, number, current, actions);
}

void entry::on_caller_disconnected(instant now, exchange_id exchange, std::vector<entry_action>& actions)
{
    const auto position = m_exchanges.find(exchange);
    if (position == m_exchanges.end()) {
        const auto wait = m_token_wait_exchanges.find(exchange);
        if (wait != m_token_wait_exchanges.end()) {
            end_token_wait(wait->second);
        }
        return;
    }
    const call_number number = position->second;
    m_exchanges.erase(position);
    open_call& current = m_calls.at(number);
    std::erase(current.m_waiters, exchange);
    if (!current.m_waiters.empty()) {
        return;
    }
    if (current.m_attempt.m_value == 0) {
        finish(now, number, refusal(rule::cancelled), actions);
        return;
    }
    remove_key(number, current);
    actions.emplace_back(entry_cancel{current.m_node, current.m_attempt});
}

/** Stops further re-sends from joining the call @p number. */
void entry::remove_key(call_number number, const open_call& current)
{
    const auto key = m_keys.find(join_key(current, current.m_call.m_headers));
    if (key != m_keys.end() && key->second == number) {
        m_keys.erase(key);
    }
}

void entry::finish(instant now, call_number number, answer response, std::vector<entry_action>& actions)
{
    const auto position = m_calls.find(number);
    open_call current = std::move(position->second);
    m_calls.erase(position);
    m_tick_times.erase({current.m_next_tick_at, number});
    m_attempts.erase(current.m_attempt);
    remove_key(number, current);
    if (response.m_rule != rule::none && current.m_may_have_run && response.m_state == run_state::not_run) {
        response.m_state = run_state::unknown;
    }
    if (response.m_state == run_state::not_run && !current.m_may_have_run) {
        return_token(current, actions);
    }
    update_parent(now, current, response);
    add_retry_after(response);
    if (current.m_waiters.empty()) {
        ++m_counters.m_wasted;
    }
    for (const exchange_id waiter : current.m_waiters) {
        m_exchanges.erase(waiter);
        entry_reply reply{waiter,
                          current.m_kind->m_name,
                          response,
                          now - current.m_arrived_at,
                          !current.m_is_sub_call,
                          {},
                          {},
                          {}};
        reply.m_request_id = request_id_of(m_settings.m_dialect, current.m_call.m_headers);
        reply.m_service = current.m_call.m_service;
        reply.m_node = current.m_node;
        reply.m_attempts = current.m_attempts;
        reply.m_depth = current.m_call.m_context.m_depth;
        actions.emplace_back(std::move(reply));
    }
}

/** Sets a jittered Retry-After on @p response if its rule allows a later retry. */
void entry::add_retry_after(answer& response)
{
    constexpr std::int64_t min_ms = 1000;
    constexpr std::int64_t max_ms = 3000;
    if (response.m_rule == rule::none || !info_of(response.m_rule).m_retry_later) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> jitter(min_ms, max_ms);
    response.m_retry_after =
        std::max<duration>(response.m_retry_after, std::chrono::milliseconds(jitter(m_random)));
}

bool entry::serves(const service_name& service) const
{
    const auto routes = m_routers.find(service);
    return routes != m_routers.end() && routes->second.serves(service);
}

/** Returns the router of @p service, creating it if necessary. */
router& entry::router_of(const service_name& service)
{
    const auto position = m_routers.find(service);
    if (position != m_routers.end()) {
        return position->second;
    }
    const router_settings settings = m_config == nullptr ? router_settings{} : routing_of(*m_config, service);
    return m_routers.emplace(service, router(settings, m_settings.m_data_centre)).first->second;
}

attempt_id entry::new_attempt()
{
    ++m_attempt_count;
    return attempt_id{m_attempt_base + m_attempt_count};
}

} // namespace waxwing
