/** @file operators_config.cpp The operator HTTP API: configuration, publication and history. */
#include "node/operators_task_base.h"

#include "events/events.h"
#include "node/http_conversion_func.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace waxwing {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t max_history_revisions = 50;   ///< Most revisions in one response.
constexpr std::size_t change_id_limit = 63;         ///< Bytes.
constexpr std::uint16_t status_unknown = 504;       ///< The revision may have been published.
constexpr std::uint16_t status_not_published = 503; ///< The revision was not published.
constexpr std::uint16_t status_clash = 409;
constexpr std::uint16_t status_invalid = 400;
constexpr std::uint16_t status_ok = 200;

/** Reads the change note from a request body; empty where the change id is missing or too long. */
std::optional<change_note> read_note(const json& body)
{
    change_note note;
    note.m_change_id = body.value("change_id", "");
    note.m_who = body.value("who", "");
    note.m_why = body.value("why", "");
    note.m_when = event_loop::wall_now();
    const bool valid = !note.m_change_id.empty() && note.m_change_id.size() <= change_id_limit;
    return valid ? std::optional<change_note>(note) : std::nullopt;
}

/** Parses a request body with the fields of a change; null where it is invalid. */
json read_change(const http_request& request)
{
    json body = json::parse(request.m_body.text(), nullptr, false);
    if (!body.is_object()) {
        return {};
    }
    for (const char* const name : {"change_id", "who", "why", "text"}) {
        if (body.contains(name) && !body[name].is_string()) {
            return {};
        }
    }
    for (const char* const name : {"base", "revision"}) {
        if (body.contains(name) && !body[name].is_number_unsigned()) {
            return {};
        }
    }
    return body;
}

} // namespace

void operators_task::get_config(const http_request& request)
{
    const revision_in_force& configuration = m_tasks.m_control.in_force();
    if (configuration.m_set == nullptr) {
        refuse(request, rule::not_ready, "no configuration is in force");
        return;
    }
    answer_json(request.m_exchange, status_ok,
                {{"revision", configuration.m_info.m_revision.m_value},
                 {"digest", configuration.m_info.m_digest},
                 {"text", write_config(*configuration.m_set)}});
}

void operators_task::get_history(const http_request& request)
{
    list_history(request.m_exchange, m_tasks.m_control.in_force().m_info.m_revision, json::array());
}

/** Reads the audit rows from @p newest downwards, one at a time, and replies with the list. */
void operators_task::list_history(exchange_id exchange, revision newest, json revisions)
{
    if (newest.m_value == 0 || revisions.size() >= max_history_revisions) {
        answer_json(exchange, status_ok, {{"revisions", std::move(revisions)}});
        return;
    }
    m_tasks.m_control.store().read(
        audit_key(newest), [this, exchange, newest, revisions = std::move(revisions)](
                               const result<std::optional<table_row>>& row) mutable {
            if (row.has_error()) {
                m_server->reply(
                    problem_reply(exchange, rule::not_ready, "the platform's table: " + row.error().m_text));
                return;
            }
            const auto info = row.value().has_value()
                                  ? decode_revision(row.value()->m_value)
                                  : result<revision_info>(error{error_code::not_found, ""});
            if (info.has_error()) {
                answer_json(exchange, status_ok, {{"revisions", std::move(revisions)}});
                return;
            }
            const revision_info& found = info.value();
            revisions.push_back({{"revision", found.m_revision.m_value},
                                 {"digest", found.m_digest},
                                 {"change_id", found.m_note.m_change_id},
                                 {"who", found.m_note.m_who},
                                 {"why", found.m_note.m_why},
                                 {"when", found.m_note.m_when.time_since_epoch().count()},
                                 {"summary", found.m_summary}});
            list_history(exchange, revision{newest.m_value - 1}, std::move(revisions));
        });
}

void operators_task::post_config(const http_request& request)
{
    const json body = read_change(request);
    const std::optional<change_note> note = body.is_null() ? std::nullopt : read_note(body);
    if (!note.has_value() || !body.contains("text")) {
        refuse(request, rule::bad_request, "a change needs base, change_id, who, why and text");
        return;
    }
    const revision base{body.value("base", std::uint64_t{0})};
    publish(request.m_exchange,
            {publish_text{base, body["text"].get<std::string>()}, *note, body.value("resumed", false)});
}

void operators_task::post_rollback(const http_request& request)
{
    const json body = read_change(request);
    const std::optional<change_note> note = body.is_null() ? std::nullopt : read_note(body);
    if (!note.has_value() || !body.contains("revision")) {
        refuse(request, rule::bad_request, "a rollback needs revision, change_id, who and why");
        return;
    }
    const revision target{body["revision"].get<std::uint64_t>()};
    publish(request.m_exchange, {publish_rollback{target}, *note, body.value("resumed", false)});
}

void operators_task::publish(exchange_id exchange, publication request)
{
    const std::string change_id = request.m_note.m_change_id;
    request.m_known = m_tasks.m_control.in_force().m_info.m_revision;
    const bool has_started =
        m_publications.publish(std::move(request), [this, exchange, change_id](const publish_end& end) {
            on_published(exchange, change_id, end);
        });
    if (!has_started) {
        m_server->reply(problem_reply(exchange, rule::overloaded, "too many publications are in progress"));
    }
}

void operators_task::on_published(exchange_id exchange, const std::string& change_id, const publish_end& end)
{
    const std::string what = "publish " + change_id;
    switch (end.m_result) {
    case publish_result::published:
        log_event(event::operator_change, {{"what", what}, {"who", end.m_info.m_note.m_who}});
        m_tasks.m_control.read_head();
        [[fallthrough]];
    case publish_result::unchanged:
        answer_json(exchange, status_ok,
                    {{"revision", end.m_info.m_revision.m_value}, {"digest", end.m_info.m_digest}});
        return;
    case publish_result::invalid: {
        json errors = json::array();
        for (const located_error& where : end.m_errors) {
            errors.push_back({{"file", where.m_file}, {"line", where.m_line}, {"text", where.m_text}});
        }
        log_event(event::operator_refused, {{"what", what}, {"reason", "invalid"}});
        answer_json(exchange, status_invalid, {{"errors", errors}, {"detail", end.m_detail}});
        return;
    }
    case publish_result::clash:
        log_event(event::operator_refused, {{"what", what}, {"reason", "clash"}});
        answer_json(exchange, status_clash, {{"clashes", end.m_conflicts}, {"detail", end.m_detail}});
        return;
    case publish_result::refused:
        log_event(event::operator_refused, {{"what", what}, {"reason", end.m_detail}});
        answer_json(exchange, status_clash, {{"clashes", json::array()}, {"detail", end.m_detail}});
        return;
    case publish_result::not_published:
        answer_json(exchange, status_not_published, {{"detail", end.m_detail}, {"change_id", change_id}});
        return;
    case publish_result::unknown:
        answer_json(exchange, status_unknown, {{"detail", end.m_detail}, {"change_id", change_id}});
        return;
    }
}

} // namespace waxwing
