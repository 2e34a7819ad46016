/** @file platform_client_test.cpp The client of the platform against a server that plays the platform. */
#include "http/http.h"
#include "platform/platform.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

using namespace waxwing;

namespace {

/** A loop with a server that gives each request the next prepared answer, and the client under test. */
struct platform_bench {
    event_loop m_loop;                                    ///< Of both.
    std::unique_ptr<http_server> m_server;                ///< Plays the platform.
    std::unique_ptr<storage> m_store;                     ///< Under test.
    std::vector<http_request> m_requests;                 ///< What came.
    std::uint16_t m_status = 200;                         ///< Of the answers; zero gives none.
    std::string m_body = "{}";                            ///< Of the answers.
    wakeup m_break{m_loop, [this] { m_server.reset(); }}; ///< Closes all connections, and listens no more.
    bool m_breaks = false;                                ///< Whether a request makes it so.
    std::function<std::pair<std::uint16_t, std::string>(const http_request&)>
        m_answer; ///< Goes before m_status.

    platform_bench()
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
        if (m_breaks) {
            m_break.wake();
        }
        else if (m_answer) {
            const auto [status, body] = m_answer(request);
            if (status != 0) {
                m_server->reply({request.m_exchange, status, {}, body});
            }
        }
        else if (m_status != 0) {
            m_server->reply({request.m_exchange, m_status, {}, m_body});
        }
        m_requests.push_back(std::move(request));
    }

    /** Gives a handler that keeps what it gets in @p kept and stops the loop. */
    template<class T>
    storage::handler<T> keep(std::optional<result<T>>& kept)
    {
        return [this, &kept](result<T> given) {
            cr_assert(!kept.has_value());
            kept.emplace(std::move(given));
            m_loop.stop();
        };
    }

    /** Commits a transaction against an answer of @p status and @p body. */
    result<table_commit> commit(std::uint16_t status, const std::string& body)
    {
        m_status = status;
        m_body = body;
        std::optional<result<table_commit>> kept;
        table_transaction wanted{{{"t/a", 7}}, {{"t/a", std::string("\0\xff", 2)}, {"t/b", std::nullopt}}};
        m_store->commit(wanted, keep(kept));
        m_loop.run();
        return *kept;
    }

    /** Reads a row against an answer of @p status and @p body. */
    result<std::optional<table_row>> read(std::uint16_t status, const std::string& body)
    {
        m_status = status;
        m_body = body;
        std::optional<result<std::optional<table_row>>> kept;
        m_store->read("t/a", keep(kept));
        m_loop.run();
        return *kept;
    }

    /** Lists rows against an answer of @p body. */
    result<table_page> list(const std::string& body)
    {
        m_status = 200;
        m_body = body;
        std::optional<result<table_page>> kept;
        m_store->list("t/", "", 10, keep(kept));
        m_loop.run();
        return *kept;
    }
};

} // namespace

Test(platform_client, sends_a_transaction_and_reads_its_end)
{
    platform_bench bench;
    cr_assert(bench.commit(200, R"({"ver":8})").value().m_applied);
    cr_assert(bench.m_requests.front().m_path == "/rows-tx");
    cr_assert(bench.m_requests.front().m_body ==
              R"({"expectedRev":[{"key":"a","part":"","table":"waxwing-t","ver":7}],)"
              R"("remove":[{"key":"b","part":"","table":"waxwing-t"}],)"
              R"("writes":[{"key":"a","part":"","table":"waxwing-t","value":"AP8="}]})");
    const table_commit failed = bench.commit(412, R"({"rows":[],"ver":9})").value();
    cr_assert(!failed.m_applied && failed.m_failed_checks == std::vector<std::string>{"t/a"});
}

Test(platform_client, tells_refused_from_uncertain)
{
    platform_bench bench;
    for (const std::uint16_t status : std::vector<std::uint16_t>{429, 503}) {
        cr_assert(bench.commit(status, "{}").error().m_code == error_code::unavailable);
    }
    for (const std::uint16_t status : std::vector<std::uint16_t>{400, 500, 502, 504, 0}) {
        cr_assert(bench.commit(status, "{}").error().m_code == error_code::unknown, "%d", status);
    }
}

Test(platform_client, takes_no_malformed_answer_for_an_end)
{
    platform_bench bench;
    for (const char* body : {"", "[]", "{", "1"}) {
        cr_assert(bench.commit(200, body).error().m_code == error_code::unknown, "%s", body);
    }
    for (const char* body :
         {"{}", R"({"rows":1,"hasMore":false})", R"({"rows":[1],"hasMore":false})",
          R"({"rows":[],"hasMore":"no"})",
          R"({"rows":[{"table":"waxwing-t","key":"a","value":"!","ver":1}],"hasMore":false})",
          R"({"rows":[{"table":"waxwing-t","key":"a","value":"AP8=","ver":-1}],"hasMore":false})"}) {
        cr_assert(bench.read(200, body).has_error(), "%s", body);
        cr_assert(bench.list(body).has_error(), "%s", body);
    }
}

Test(platform_client, reads_rows)
{
    platform_bench bench;
    const auto row = bench.read(
        200,
        R"({"rows":[{"table":"waxwing-t","part":"","key":"a","value":"AP8=","ver":9}],"hasMore":false,"ver":9})");
    cr_assert(row.value()->m_value == std::string("\0\xff", 2) && row.value()->m_version == 9);
    cr_assert(row.value()->m_key == "t/a");
    cr_assert(bench.m_requests.front().m_path ==
              "/rows-get?table=waxwing-t&part=&limit=1&from=a&target=a%00");
    cr_assert(!bench.read(200, R"({"rows":[],"hasMore":false,"ver":9})").value().has_value());
    const auto page = bench.list(
        R"({"rows":[{"table":"waxwing-t","part":"","key":"a1","value":"","ver":2}],"hasMore":true,"ver":9})");
    cr_assert(page.value().m_has_more && page.value().m_rows.size() == 1);
}

/** Answers each request by its resource, and counts them. */
Test(platform_client, follows_a_row_and_starts_afresh_where_the_history_is_gone)
{
    platform_bench bench;
    std::vector<std::string> asked;
    bench.m_answer = [&](const http_request& request) {
        asked.push_back(request.m_path.substr(0, request.m_path.find('?')));
        const bool feed = asked.back() == "/rows-feed";
        const std::size_t feeds =
            static_cast<std::size_t>(std::count(asked.begin(), asked.end(), "/rows-feed"));
        if (feed && feeds == 1) {
            return std::pair<std::uint16_t, std::string>(410, "{}");
        }
        if (feed && feeds == 2) {
            return std::pair<std::uint16_t, std::string>(
                200, R"({"rows":[{"table":"waxwing-t","part":"","key":"a","value":"","ver":12}],"ver":12})");
        }
        return std::pair<std::uint16_t, std::string>(feed ? 0 : 200,
                                                     R"({"rows":[],"hasMore":false,"ver":11})");
    };
    int changes = 0;
    bench.m_store->watch_row("t/a", [&] {
        if (++changes == 3) {
            bench.m_loop.stop();
        }
    });
    bench.m_loop.run();
    const std::vector<std::string> wanted{"/rows-get", "/rows-feed", "/rows-get", "/rows-feed"};
    cr_assert(std::equal(wanted.begin(), wanted.end(), asked.begin()));
}

Test(platform_client, knows_that_nothing_took_effect_where_nobody_listens)
{
    platform_bench bench;
    const endpoint address = bench.m_server->address();
    bench.m_server.reset();
    bench.make_client(address);
    cr_assert(bench.commit(200, "{}").error().m_code == error_code::unavailable);
}

Test(platform_client, sends_reads_once_more_but_no_transaction_where_the_connection_breaks)
{
    platform_bench first;
    first.m_breaks = true;
    cr_assert(first.commit(200, "{}").error().m_code == error_code::unknown);
    cr_assert(first.m_requests.size() == 1);
    platform_bench second;
    second.m_breaks = true;
    cr_assert(second.read(200, "{}").error().m_code == error_code::unavailable);
    cr_assert(second.m_requests.size() == 1);
}

Test(platform_client, refuses_more_calls_than_its_limit)
{
    platform_bench bench;
    bench.m_status = 0;
    std::vector<error_code> ends;
    bool calling = true;
    for (int count = 0; count < 3; ++count) {
        bench.m_store->commit({{}, {}}, [&](const result<table_commit>& ended) {
            cr_assert(!calling);
            ends.push_back(ended.error().m_code);
            if (ends.size() == 3) {
                bench.m_loop.stop();
            }
        });
    }
    calling = false;
    bench.m_loop.run();
    cr_assert(ends[0] == error_code::unavailable && ends[1] == error_code::unknown);
    cr_assert(ends[2] == error_code::unknown);
}

Test(platform_client, puts_and_gets_objects)
{
    platform_bench bench;
    std::optional<result<bool>> put;
    bench.m_store->put_object("sets/1", "bytes", bench.keep(put));
    bench.m_loop.run();
    cr_assert(put->value() && bench.m_requests.front().m_body == "bytes");
    bench.m_body = std::string("\0\xff", 2);
    for (const auto& [status, found] : {std::pair{200, true}, {404, false}}) {
        bench.m_status = static_cast<std::uint16_t>(status);
        std::optional<result<std::optional<std::string>>> got;
        bench.m_store->get_object("sets/1", bench.keep(got));
        bench.m_loop.run();
        cr_assert(got->value().has_value() == found);
        cr_assert(!found || *got->value() == bench.m_body);
    }
}
