/** @file platform_client_test.cpp Tests of the store client against a server that takes the place of the
 * platform. */
#include "http/http.h"
#include "platform/platform.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

using namespace waxwing;

namespace {

/** An event loop with the client under test and a server that gives all requests the prepared answer. */
struct client_fixture {
    event_loop m_loop;                     ///< Event loop of the server and the client.
    std::unique_ptr<http_server> m_server; ///< Takes the place of the platform.
    std::unique_ptr<storage> m_store;      ///< Client under test.
    std::vector<http_request> m_requests;  ///< Requests that the server received.
    std::uint16_t m_status = 200;          ///< Status of the answers; zero means no answer.
    std::string m_body = "{}";             ///< Body of the answers.
    std::string m_era;                     ///< Era that the answers name; empty if they name none.
    /** Closes the connections and the listening socket. */
    wakeup m_close_server{m_loop, [this] { m_server.reset(); }};
    bool m_closes_on_request = false; ///< Whether a request closes the server.
    std::function<std::pair<std::uint16_t, std::string>(const http_request&)>
        m_make_answer; ///< If set, makes the answers in place of m_status and m_body.

    client_fixture()
    {
        std::signal(SIGPIPE, SIG_IGN);
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        m_server = std::move(http_server::open(m_loop, settings, [this](http_server_event&& event) {
                                 if (auto* const request = std::get_if<http_request>(&event)) {
                                     answer_request(std::move(*request));
                                 }
                             }).value());
        make_client(m_server->address());
    }

    void make_client(const endpoint& address)
    {
        store_settings settings;
        settings.m_address = address;
        settings.m_timeout = std::chrono::milliseconds(200);
        settings.m_in_progress_limit = 2;
        m_store = make_store_client(m_loop, settings, 1);
    }

    void answer_request(http_request&& request)
    {
        if (m_closes_on_request) {
            m_close_server.wake();
        }
        else if (m_make_answer) {
            const auto [status, body] = m_make_answer(request);
            if (status != 0) {
                m_server->reply({request.m_exchange, status, headers(), body});
            }
        }
        else if (m_status != 0) {
            m_server->reply({request.m_exchange, m_status, headers(), m_body});
        }
        m_requests.push_back(std::move(request));
    }

    header_list headers() const { return m_era.empty() ? header_list{} : header_list{{"Store-Era", m_era}}; }

    /** Returns a handler that stores its result in @p outcome and stops the loop. */
    template<class T>
    storage::handler<T> store_result(std::optional<result<T>>& outcome)
    {
        return [this, &outcome](result<T> value) {
            cr_assert(!outcome.has_value());
            outcome.emplace(std::move(value));
            m_loop.stop();
        };
    }

    /** Commits a transaction, which the server answers with @p status and @p body. */
    result<table_commit> commit(std::uint16_t status, const std::string& body)
    {
        m_status = status;
        m_body = body;
        std::optional<result<table_commit>> outcome;
        table_transaction transaction{{{"t/a", {0, 7}}},
                                      {{"t/a", std::string("\0\xff", 2)}, {"t/b", std::nullopt}}};
        m_store->commit(transaction, store_result(outcome));
        m_loop.run();
        return *outcome;
    }

    /** Reads a row, which the server answers with @p status and @p body. */
    result<std::optional<table_row>> read(std::uint16_t status, const std::string& body)
    {
        m_status = status;
        m_body = body;
        std::optional<result<std::optional<table_row>>> outcome;
        m_store->read("t/a", store_result(outcome));
        m_loop.run();
        return *outcome;
    }

    /** Lists rows, which the server answers with @p body. */
    result<table_page> list(const std::string& body)
    {
        m_status = 200;
        m_body = body;
        std::optional<result<table_page>> outcome;
        m_store->list("t/", "", 10, store_result(outcome));
        m_loop.run();
        return *outcome;
    }
};

} // namespace

Test(platform_client, sends_a_transaction_and_reads_its_result)
{
    client_fixture fixture;
    cr_assert(fixture.commit(200, R"({"ver":8})").value().m_applied);
    cr_assert(fixture.m_requests.front().m_path == "/rows-tx");
    cr_assert(fixture.m_requests.front().m_body ==
              R"({"expectedRev":[{"key":"a","part":"","table":"waxwing-t","ver":7}],)"
              R"("remove":[{"key":"b","part":"","table":"waxwing-t"}],)"
              R"("writes":[{"key":"a","part":"","table":"waxwing-t","value":"AP8="}]})");
    const table_commit conflict = fixture.commit(412, R"({"rows":[],"ver":9})").value();
    cr_assert(!conflict.m_applied && conflict.m_failed_checks == std::vector<std::string>{"t/a"});
}

Test(platform_client, distinguishes_refused_from_uncertain_calls)
{
    client_fixture fixture;
    for (const std::uint16_t status : std::vector<std::uint16_t>{429, 503}) {
        cr_assert(fixture.commit(status, "{}").error().m_code == error_code::unavailable);
    }
    for (const std::uint16_t status : std::vector<std::uint16_t>{400, 500, 502, 504, 0}) {
        cr_assert(fixture.commit(status, "{}").error().m_code == error_code::unknown, "%d", status);
    }
}

Test(platform_client, reports_malformed_answers_as_errors)
{
    client_fixture fixture;
    for (const char* body : {"", "[]", "{", "1"}) {
        cr_assert(fixture.commit(200, body).error().m_code == error_code::unknown, "%s", body);
    }
    for (const char* body :
         {"{}", R"({"rows":1,"hasMore":false})", R"({"rows":[1],"hasMore":false})",
          R"({"rows":[],"hasMore":"no"})",
          R"({"rows":[{"table":"waxwing-t","key":"a","value":"AP8=","ver":-1}],"hasMore":false})"}) {
        cr_assert(fixture.read(200, body).has_error(), "%s", body);
        cr_assert(fixture.list(body).has_error(), "%s", body);
    }
    cr_assert(
        fixture.read(200, R"({"rows":[{"table":"waxwing-t","key":"a","value":"!","ver":1}],"hasMore":false})")
            .has_error());
}

/** Another writer left an odd value among the rows; nodes could then discover nobody. */
Test(platform_client, a_value_that_cannot_be_read_does_not_hide_the_other_rows)
{
    client_fixture fixture;
    for (const std::string value : {"\"!\"", "\"AP8\"", "7", "null", "[[[[]]]]", "1e99"}) {
        const auto page = fixture.list(
            R"({"rows":[{"table":"waxwing-t","key":"a","value":"AP8=","ver":1},)"
            R"({"table":"waxwing-t","key":"b","value":)" +
            value + R"(,"ver":2},{"table":"waxwing-t","key":"c","value":"AP8=","ver":3}],"hasMore":true})");
        cr_assert(page.has_value(), "%s", value.c_str());
        const std::vector<table_row>& rows = page.value().m_rows;
        cr_assert(rows.size() == 3 && rows[0].m_value == rows[2].m_value && !rows[0].m_value.empty());
        cr_assert(rows[1].m_key == "t/b" && rows[1].m_value.empty(), "the next page begins after its key");
    }
}

Test(platform_client, reads_rows)
{
    client_fixture fixture;
    const auto row = fixture.read(
        200,
        R"({"rows":[{"table":"waxwing-t","part":"","key":"a","value":"AP8=","ver":9}],"hasMore":false,"ver":9})");
    cr_assert(row.value()->m_value == std::string("\0\xff", 2) &&
              (row.value()->m_version == row_version{0, 9}));
    cr_assert(row.value()->m_key == "t/a");
    cr_assert(fixture.m_requests.front().m_path ==
              "/rows-get?table=waxwing-t&part=&limit=1&from=a&target=a%00");
    cr_assert(!fixture.read(200, R"({"rows":[],"hasMore":false,"ver":9})").value().has_value());
    const auto page = fixture.list(
        R"({"rows":[{"table":"waxwing-t","part":"","key":"a1","value":"","ver":2}],"hasMore":true,"ver":9})");
    cr_assert(page.value().m_has_more && page.value().m_rows.size() == 1);
}

/** The first feed is answered 410, the second with a change, and any later one not at all. */
Test(platform_client, watches_a_row_and_reads_it_again_if_the_history_is_gone)
{
    client_fixture fixture;
    std::vector<std::string> paths;
    fixture.m_make_answer = [&](const http_request& request) {
        paths.push_back(request.m_path.substr(0, request.m_path.find('?')));
        const bool is_feed = paths.back() == "/rows-feed";
        const std::size_t feed_count =
            static_cast<std::size_t>(std::count(paths.begin(), paths.end(), "/rows-feed"));
        if (is_feed && feed_count == 1) {
            return std::pair<std::uint16_t, std::string>(410, "{}");
        }
        if (is_feed && feed_count == 2) {
            return std::pair<std::uint16_t, std::string>(
                200, R"({"rows":[{"table":"waxwing-t","part":"","key":"a","value":"","ver":12}],"ver":12})");
        }
        return std::pair<std::uint16_t, std::string>(is_feed ? 0 : 200,
                                                     R"({"rows":[],"hasMore":false,"ver":11})");
    };
    int changes = 0;
    fixture.m_store->watch_row("t/a", [&] {
        if (++changes == 3) {
            fixture.m_loop.stop();
        }
    });
    fixture.m_store->set_watch_active("t/a", true);
    fixture.m_loop.run();
    const std::vector<std::string> expected_paths{"/rows-get", "/rows-feed", "/rows-get", "/rows-feed"};
    cr_assert(std::equal(expected_paths.begin(), expected_paths.end(), paths.begin()));
}

Test(platform_client, reports_unavailable_if_the_connection_is_refused)
{
    client_fixture fixture;
    const endpoint address = fixture.m_server->address();
    fixture.m_server.reset();
    fixture.make_client(address);
    cr_assert(fixture.commit(200, "{}").error().m_code == error_code::unavailable);
}

Test(platform_client, sends_reads_once_more_but_no_transaction_where_the_connection_breaks)
{
    client_fixture first;
    first.m_closes_on_request = true;
    cr_assert(first.commit(200, "{}").error().m_code == error_code::unknown);
    cr_assert(first.m_requests.size() == 1);
    client_fixture second;
    second.m_closes_on_request = true;
    cr_assert(second.read(200, "{}").error().m_code == error_code::unavailable);
    cr_assert(second.m_requests.size() == 1);
}

Test(platform_client, refuses_more_calls_than_its_limit)
{
    client_fixture fixture;
    fixture.m_status = 0;
    std::vector<error_code> errors;
    bool in_call = true;
    for (int count = 0; count < 3; ++count) {
        fixture.m_store->commit({{}, {}}, [&](const result<table_commit>& commit) {
            cr_assert(!in_call);
            errors.push_back(commit.error().m_code);
            if (errors.size() == 3) {
                fixture.m_loop.stop();
            }
        });
    }
    in_call = false;
    fixture.m_loop.run();
    cr_assert(errors[0] == error_code::unavailable && errors[1] == error_code::unknown);
    cr_assert(errors[2] == error_code::unknown);
}

Test(platform_client, puts_and_gets_objects)
{
    client_fixture fixture;
    std::optional<result<bool>> put_result;
    fixture.m_store->put_object("sets/1", "bytes", fixture.store_result(put_result));
    fixture.m_loop.run();
    cr_assert(put_result->value() && fixture.m_requests.front().m_body == "bytes");
    fixture.m_body = std::string("\0\xff", 2);
    for (const auto& [status, found] : {std::pair{200, true}, {404, false}}) {
        fixture.m_status = static_cast<std::uint16_t>(status);
        std::optional<result<std::optional<std::string>>> object;
        fixture.m_store->get_object("sets/1", fixture.store_result(object));
        fixture.m_loop.run();
        cr_assert(object->value().has_value() == found);
        cr_assert(!found || *object->value() == fixture.m_body);
    }
}
