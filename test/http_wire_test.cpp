/** @file http_wire_test.cpp Wire-level tests of the HTTP client and server against raw sockets. */
#include "http/http.h"
#include "test/http_loop.h"

#include <criterion/criterion.h>

#include <deque>
#include <unistd.h>

using namespace waxwing;

namespace {

/** A server that answers each read with the next of the given strings; a final "!" closes the connection. */
struct raw_server {
    explicit raw_server(event_loop& loop, std::deque<std::string> answers)
        : m_loop(loop), m_answers(std::move(answers)),
          m_listener(std::move(listen_at({"127.0.0.1", 0})).value()),
          m_accept_watcher(loop, [this](int) { accept(); })
    {
        m_accept_watcher.watch(m_listener.get(), EV_READ);
    }

    endpoint address() const { return local_address(m_listener.get()); }

    void accept()
    {
        ++m_connections;
        m_sockets.push_back(
            std::move(accept_connection(m_listener.get(), socket_use::http)).value().m_socket);
        const std::size_t index = m_sockets.size() - 1;
        m_watchers.push_back(std::make_unique<io_watcher>(m_loop, [this, index](int) { answer(index); }));
        m_watchers.back()->watch(m_sockets[index].get(), EV_READ);
    }

    void answer(std::size_t index)
    {
        std::string buffer(65536, '\0');
        const ssize_t count = recv(m_sockets[index].get(), buffer.data(), buffer.size(), 0);
        if (count <= 0 || m_answers.empty()) {
            m_watchers[index]->stop();
            return;
        }
        std::string bytes = m_answers.front();
        m_answers.pop_front();
        const bool closes = !bytes.empty() && bytes.back() == '!';
        bytes.resize(bytes.size() - (closes ? 1 : 0));
        cr_assert(send(m_sockets[index].get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
        if (closes) {
            shutdown(m_sockets[index].get(), SHUT_WR);
        }
    }

    event_loop& m_loop;
    std::deque<std::string> m_answers;
    descriptor m_listener;
    io_watcher m_accept_watcher;
    std::vector<descriptor> m_sockets;
    std::vector<std::unique_ptr<io_watcher>> m_watchers;
    int m_connections = 0;
};

/** Sends @p count requests to @p server one after the other. @return the event of each. */
std::vector<http_client_event> exchange(raw_server& server, guarded_loop& guarded, std::size_t count,
                                        const std::string& method = "GET")
{
    std::vector<http_client_event> events;
    std::unique_ptr<http_client> client;
    const auto send = [&] {
        const std::string id = std::to_string(events.size() + 1);
        client->send({exchange_id{events.size() + 1},
                      server.address(),
                      method,
                      "/",
                      {{"Id", id}},
                      method == "POST" ? std::string(8 << 20, 'x') : "",
                      test_timeout,
                      "Id",
                      true});
    };
    client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        events.push_back(std::move(event));
        if (events.size() == count) {
            guarded.m_loop.stop();
            return;
        }
        send();
    });
    send();
    guarded.m_loop.run();
    return events;
}

std::string answer_to(const char* id, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 200 OK\r\nId: " + std::string(id) + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool is_lost(const http_client_event& event)
{
    const auto* const failure = std::get_if<http_failure>(&event);
    return failure != nullptr && failure->m_kind == http_failure_kind::lost;
}

/** Reads from @p socket until @p text has been received or the peer closes. */
std::string read_until(const descriptor& socket, const std::string& text, event_loop& loop)
{
    std::string received;
    io_watcher reader(loop, [&](int) {
        std::string buffer(4096, '\0');
        const ssize_t count = recv(socket.get(), buffer.data(), buffer.size(), 0);
        received.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        if (count == 0 || received.find(text) != std::string::npos) {
            loop.stop();
        }
    });
    reader.watch(socket.get(), EV_READ);
    loop.run();
    return received;
}

} // namespace

Test(wire, an_answer_to_an_earlier_request_is_ignored)
{
    guarded_loop guarded;
    raw_server server(guarded.m_loop,
                      {answer_to("1", "one"), answer_to("1", "again") + answer_to("2", "two")});
    const auto events = exchange(server, guarded, 2);
    cr_assert(std::get<http_answer>(events[0]).m_body == "one");
    cr_assert(std::get<http_answer>(events[1]).m_body == "two");
    cr_assert(server.m_connections == 1);
}

Test(wire, surplus_bytes_after_an_answer_close_the_connection)
{
    guarded_loop guarded;
    raw_server server(guarded.m_loop, {answer_to("1", "one") + "HTTP/1.1 200 OK\r\n", answer_to("2", "two")});
    const auto events = exchange(server, guarded, 2);
    cr_assert(std::get<http_answer>(events[1]).m_body == "two");
    cr_assert(server.m_connections == 2);
}

Test(wire, an_answer_without_length_ends_with_its_connection)
{
    guarded_loop guarded;
    raw_server server(guarded.m_loop, {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it!"});
    const auto events = exchange(server, guarded, 1);
    cr_assert(std::get<http_answer>(events[0]).m_body == "all of it");
}

Test(wire, an_incomplete_or_invalid_answer_is_reported_as_lost)
{
    for (const char* bytes : {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort!", "HTTP/1.1 200!",
                              "!", "no answer at all\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        guarded_loop guarded;
        raw_server server(guarded.m_loop, {bytes});
        const auto events = exchange(server, guarded, 1);
        cr_assert(is_lost(events[0]), "%s", bytes);
    }
}

Test(wire, an_answer_before_the_whole_request_was_sent_prevents_reuse)
{
    guarded_loop guarded;
    raw_server server(guarded.m_loop, {answer_to("1", "early"), answer_to("2", "two")});
    const auto events = exchange(server, guarded, 2, "POST");
    cr_assert(std::get<http_answer>(events[0]).m_body == "early");
    cr_assert(server.m_connections == 2);
}

Test(wire, replies_to_pipelined_requests_are_sent_in_request_order)
{
    guarded_loop guarded;
    std::vector<http_request> delivered;
    std::unique_ptr<http_server> server;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    server =
        std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                      delivered.push_back(std::get<http_request>(std::move(event)));
                      if (delivered.size() == 3) {
                          for (const std::size_t index : {2U, 0U, 1U}) {
                              server->reply({delivered[index].m_exchange, 200, {}, delivered[index].m_path});
                          }
                      }
                  }).value());
    const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
    const std::string requests =
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n";
    io_watcher writer(guarded.m_loop, [&](int) {
        cr_assert(send(client.get(), requests.data(), requests.size(), MSG_NOSIGNAL) > 0);
        writer.stop();
    });
    writer.watch(client.get(), EV_WRITE);
    const std::string received = read_until(client, "/c", guarded.m_loop);
    cr_assert(received.find("/a") < received.find("/b") && received.find("/b") < received.find("/c"));
    cr_assert(delivered[2].m_body == "xy");
}

/** Guards against request smuggling: with two framings, a proxy may see another end of the request. */
Test(wire, a_request_with_both_content_length_and_chunked_encoding_is_refused)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&&) {
                           cr_assert(false, "the refused request was delivered");
                       }).value());
    const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
    const std::string request =
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    io_watcher writer(guarded.m_loop, [&](int) {
        cr_assert(send(client.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
        writer.stop();
    });
    writer.watch(client.get(), EV_WRITE);
    const std::string received = read_until(client, "\r\n\r\n", guarded.m_loop);
    cr_assert(received.find("HTTP/1.1 400") == 0, "%s", received.c_str());
    cr_assert(received.find("Connection: close") != std::string::npos);
}

Test(wire, a_new_connection_replaces_an_idle_one_at_the_limit)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    settings.m_connection_limit = 1;
    server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                           const auto& request = std::get<http_request>(event);
                           cr_assert(!request.m_over_connection_limit);
                           server->reply({request.m_exchange, 200, {}, "served"});
                       }).value());
    const descriptor idle = std::move(start_connect(server->address(), socket_use::http)).value();
    const descriptor busy = std::move(start_connect(server->address(), socket_use::http)).value();
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    io_watcher writer(guarded.m_loop, [&](int) {
        cr_assert(send(busy.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
        writer.stop();
    });
    writer.watch(busy.get(), EV_WRITE);
    cr_assert(read_until(busy, "served", guarded.m_loop).find("served") != std::string::npos);
    cr_assert(read_until(idle, "never", guarded.m_loop).empty(),
              "expected the idle connection to be closed without data");
}
