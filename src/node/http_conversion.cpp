/** @file http_conversion.cpp Conversion between HTTP messages and requests and replies of the entry. */
#include "node/http_conversion_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace waxwing {

namespace {

constexpr duration second = std::chrono::seconds(1);

/** Creates the body of a problem response (RFC 9457). */
std::string problem_body(rule why, run_state state, const std::string& detail)
{
    const rule_info& info = info_of(why);
    nlohmann::ordered_json body{{"type", "about:blank"},
                                {"title", info.m_title},
                                {"status", info.m_status},
                                {"rule", info.m_name},
                                {"outcome", to_string(state)}};
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

/** Returns the headers common to all problem responses. */
header_list problem_headers(rule why, run_state state)
{
    return {{"Content-Type", "application/problem+json"},
            {"Cache-Control", "no-store"},
            {std::string(rule_header), std::string(info_of(why).m_name)},
            {std::string(outcome_header), std::string(to_string(state))}};
}

/** Returns whether callers rely on @p status to mean that the request has not run and never will. */
bool promises_not_run(std::uint16_t status)
{
    constexpr std::array<std::uint16_t, 4> promises{408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

/** Writes @p wait in seconds: with fractions where the dialect allows them, else rounded up. */
std::string write_seconds(duration wait, const request_dialect& dialect)
{
    if (!dialect.m_fractional_retry_after) {
        return std::to_string((wait + second - duration(1)) / second);
    }
    const std::int64_t milliseconds = to_milliseconds(wait);
    std::string fraction = std::to_string(milliseconds % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(milliseconds / 1000) + "." + fraction;
}

/** Returns the status of a problem response; one that implies "not run" is used only if the request did not
 * run. */
std::uint16_t status_of(rule why, run_state state)
{
    constexpr std::uint16_t bad_gateway = 502;
    constexpr std::uint16_t unavailable = 503;
    if (why == rule::deadline_expired && state == run_state::not_run) {
        return unavailable;
    }
    const std::uint16_t status = info_of(why).m_status;
    return state != run_state::not_run && promises_not_run(status) ? bad_gateway : status;
}

} // namespace

entry_request to_entry_request(http_request&& received, bool local, boot_instant now)
{
    return entry_request{received.m_exchange,
                         std::move(received.m_method),
                         std::move(received.m_path),
                         std::move(received.m_headers),
                         std::move(received.m_body),
                         received.m_body_too_large,
                         local,
                         received.m_over_connection_limit,
                         now};
}

http_reply to_http_reply(entry_reply&& reply_data, const request_dialect& dialect)
{
    answer& content = reply_data.m_answer;
    http_reply reply;
    reply.m_exchange = reply_data.m_exchange;
    if (content.m_rule == rule::none) {
        reply.m_status = content.m_status;
        reply.m_headers = std::move(content.m_headers);
        if (dialect.m_adds_own_headers) {
            reply.m_headers.push_back({std::string(outcome_header), std::string(to_string(content.m_state))});
        }
        reply.m_body = std::move(content.m_body);
        return reply;
    }
    reply.m_status = status_of(content.m_rule, content.m_state);
    reply.m_headers = problem_headers(content.m_rule, content.m_state);
    reply.m_headers.insert(reply.m_headers.end(), content.m_headers.begin(), content.m_headers.end());
    if (content.m_retry_after > duration::zero() && promises_not_run(reply.m_status)) {
        reply.m_headers.push_back({"Retry-After", write_seconds(content.m_retry_after, dialect)});
    }
    reply.m_body = problem_body(content.m_rule, content.m_state, content.m_body);
    return reply;
}

http_reply problem_reply(exchange_id exchange, rule why, const std::string& detail)
{
    return {exchange, info_of(why).m_status, problem_headers(why, run_state::not_run),
            problem_body(why, run_state::not_run, detail)};
}

} // namespace waxwing
