/** @file http_wire_test.cpp Wire-level tests of the HTTP client and server against raw sockets. */
#include "http/http.h"
#include "http/message_func.h"
#include "test/http_loop.h"

#include <criterion/criterion.h>

#include <deque>
#include <malloc.h>
#include <sys/resource.h>
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

/** A server that answers the first bytes of a connection with @p head and then sends @p body again and again
 * until the client closes. */
struct endless_server {
    endless_server(event_loop& loop, std::string head, std::string body)
        : m_loop(loop), m_head(std::move(head)), m_body(std::move(body)),
          m_listener(std::move(listen_at({"127.0.0.1", 0})).value()),
          m_accept_watcher(loop, [this](int) { accept(); })
    {
        m_accept_watcher.watch(m_listener.get(), EV_READ);
    }

    endpoint address() const { return local_address(m_listener.get()); }

    void accept()
    {
        m_sockets.push_back(
            std::move(accept_connection(m_listener.get(), socket_use::http)).value().m_socket);
        m_unsent.push_back(m_head);
        const std::size_t index = m_sockets.size() - 1;
        m_watchers.push_back(std::make_unique<io_watcher>(m_loop, [this, index](int) { answer(index); }));
        m_watchers.back()->watch(m_sockets[index].get(), EV_WRITE);
    }

    void answer(std::size_t index)
    {
        std::string& bytes = m_unsent[index];
        while (bytes.size() < 65536) {
            bytes += m_body;
        }
        const ssize_t count = send(m_sockets[index].get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            m_watchers[index]->stop();
            ++m_closed;
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(count));
        m_sent += static_cast<std::size_t>(count);
    }

    event_loop& m_loop;
    std::string m_head;
    std::string m_body;
    descriptor m_listener;
    io_watcher m_accept_watcher;
    std::vector<descriptor> m_sockets;
    std::vector<std::string> m_unsent;
    std::vector<std::unique_ptr<io_watcher>> m_watchers;
    std::size_t m_sent = 0; ///< Bytes sent on all connections.
    int m_closed = 0;       ///< Connections that the client has closed.
};

/** Sends @p count requests at once to @p address. @return the event of each. */
std::vector<http_client_event> exchange_at_once(const endpoint& address, guarded_loop& guarded,
                                                std::size_t count)
{
    std::vector<http_client_event> events;
    const auto client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        events.push_back(std::move(event));
        if (events.size() == count) {
            guarded.m_loop.stop();
        }
    });
    for (std::size_t index = 1; index <= count; ++index) {
        client->send({exchange_id{index}, address, "GET", "/", {{"Id", "1"}}, "", test_timeout, "Id", true});
    }
    guarded.m_loop.run();
    return events;
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

/** A server stops in the middle of its answer's head and closes; callers must not get a whole empty answer.
 */
Test(wire, an_answer_that_ends_in_its_head_is_reported_as_lost)
{
    for (const std::string& head :
         {std::string("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nServer-Signature: x\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nServer-Signature: x\r\nId: 1\r\n\r\n")}) {
        for (std::size_t length = 1; length < head.size(); ++length) {
            guarded_loop guarded;
            raw_server server(guarded.m_loop, {head.substr(0, length) + "!"});
            const auto events = exchange(server, guarded, 1);
            cr_assert(is_lost(events[0]), "%zu bytes of %s", length, head.c_str());
        }
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

/** Bodies whose framing was not understood were run as requests of their own, or dropped. */
Test(wire, a_request_with_an_unknown_framing_was_run)
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
    const std::vector<std::string> fields{
        "Transfer-Encoding: gzip\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n",
        "Transfer-Encoding: chunked, identity\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
        "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks,
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + chunks,
        "Transfer-Encoding: chunked;q=1\r\n\r\n" + chunks,
        "Transfer-Encoding: \"chunked\"\r\n\r\n" + chunks,
        "Transfer-Encoding:\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n" + chunks,
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunks,
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
        "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n\r\nhello",
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "Content-Length: 5, 6\r\n\r\nhello!",
        "Content-Length: +5\r\n\r\nhello",
        "Content-Length: -5\r\n\r\nhello",
        "Content-Length: 0x5\r\n\r\nhello",
        "Content-Length: 5 5\r\n\r\nhello",
        "Content-Length: 99999999999999999999\r\n\r\nhello",
        "Content-Length:\r\n\r\n",
        "Content-Length : 5\r\n\r\nhello",
        " Content-Length: 5\r\n\r\nhello",
        "X: a\r\n Content-Length: 5\r\n\r\nhello",
        "X: a\r\n\tb\r\n\r\n",
        "X: a\nContent-Length: 5\r\n\r\nhello",
        "X: a\rContent-Length: 5\r\n\r\nhello",
        std::string("X: a\0b\r\n\r\n", 10),
        "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n",
    };
    std::string passed;
    for (const std::string& field : fields) {
        guarded_loop guarded;
        std::unique_ptr<http_server> server;
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                               if (const auto* const request = std::get_if<http_request>(&event)) {
                                   passed += request->m_path + ": " + field + "\n";
                                   server->reply({request->m_exchange, 200, {}, ""});
                               }
                           }).value());
        const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
        std::string request = "POST /a HTTP/1.1\r\nHost: h\r\n";
        request += field;
        request += smuggled;
        io_watcher writer(guarded.m_loop, [&](int) {
            cr_assert(send(client.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
            writer.stop();
        });
        writer.watch(client.get(), EV_WRITE);
        const std::string received = read_until(client, "\r\n\r\n", guarded.m_loop);
        if (received.find("HTTP/1.1 400") != 0 || received.find("Connection: close") == std::string::npos) {
            passed += received.substr(0, 12) + ": " + field + "\n";
        }
    }
    cr_assert(passed.empty(), "%s", passed.c_str());
}

/** The transfer encoding is not passed on, so that the caller could not decode the body. */
Test(wire, an_answer_with_an_unknown_framing_is_reported_as_lost)
{
    for (const char* encoding : {"gzip", "identity", "gzip, chunked", "chunked, chunked", "xchunked",
                                 "chunked\r\nTransfer-Encoding: identity"}) {
        guarded_loop guarded;
        raw_server server(guarded.m_loop, {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: " +
                                           std::string(encoding) + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n!"});
        const auto events = exchange(server, guarded, 1);
        cr_assert(is_lost(events[0]), "%s", encoding);
    }
}

/** A target in trouble answers with the status 000 or another one outside 200 to 599. Its caller must get
 * neither that nor the bytes behind it as an answer. */
Test(wire, an_answer_with_an_impossible_status_reached_the_caller)
{
    for (const char* status : {"000",  "001",  "042", "099", "600", "601",  "700", "999", "0",   "00",
                               "1000", "2000", "+20", "-20", "20 ", " 200", "2 0", "",    "2e2", "0x2"}) {
        guarded_loop guarded;
        raw_server server(guarded.m_loop,
                          {"HTTP/1.1 " + std::string(status) +
                           " Odd\r\nId: 1\r\nContent-Length: 4\r\n\r\noddsHTTP/1.1 200 OK\r\nId: 1\r\n"
                           "Content-Length: 5\r\n\r\nwhole!"});
        const auto events = exchange(server, guarded, 1);
        cr_expect(is_lost(events[0]), "status \"%s\"", status);
    }
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

/** A server in trouble sends bytes without end that are no answer. Each exchange ends as lost long before its
 * time-out, after a bounded number of bytes: at most the longest body, with its framing. */
Test(wire, bytes_without_end_are_cut_off)
{
    struct stream {
        std::string m_head;               ///< Sent once.
        std::string m_repeated;           ///< Sent again and again.
        std::size_t m_bytes_per_byte = 1; ///< Bytes sent for each byte of the body.
    };
    const std::string start = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::vector<stream> streams{
        {"", "x"},                                      // A status line.
        {start + "Long: ", "x"},                        // A header.
        {start, "A: b\r\n"},                            // Headers.
        {start + "\r\n", "xxxx"},                       // A body without length.
        {chunked, "1\r\nx\r\n", 6},                     // Chunks.
        {chunked + "1;ext=", "x"},                      // A chunk extension.
        {chunked, "0"},                                 // A chunk size.
        {chunked + "0\r\n", "A: b\r\n"},                // Trailers.
        {interim, interim},                             // Interim answers.
        {answer_to("0", "old"), answer_to("0", "old")}, // Answers to another request.
    };
    for (const stream& each : streams) {
        guarded_loop guarded;
        endless_server server(guarded.m_loop, each.m_head, each.m_repeated);
        const auto events = exchange_at_once(server.address(), guarded, 1);
        cr_assert(is_lost(events[0]), "%s", each.m_head.c_str());
        constexpr std::size_t socket_buffers = 8 << 20;
        const std::size_t limit =
            http_client_settings{}.m_body_limit * each.m_bytes_per_byte + socket_buffers;
        cr_assert(server.m_sent < limit, "%s: %zu", each.m_head.c_str(), server.m_sent);
    }
}

/** All connections to a server get bodies without end at the same time. */
/** Beast throws where a field exceeds its table of fields; the process ended and all its callers lost their
 * answers. */
Test(wire, a_long_field_in_an_answer_ended_the_process)
{
    const std::string start = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::string long_text(100'000, 'x');
    const std::vector<std::string> heads{
        start + "Long: " + long_text + "\r\n\r\n",                     // A value.
        start + long_text + ": v\r\n\r\n",                             // A name.
        "HTTP/1.1 103 Early Hints\r\nLong: " + long_text + "\r\n\r\n", // An interim answer.
        chunked + "Long: " + long_text + "\r\n\r\n",                   // A trailer.
    };
    for (const std::string& head : heads) {
        guarded_loop guarded;
        endless_server server(guarded.m_loop, head, "x");
        const auto events = exchange_at_once(server.address(), guarded, 1);
        cr_assert(is_lost(events[0]), "%s", head.substr(0, start.size() + 40).c_str());
    }
}

Test(wire, a_field_of_an_answer_is_whole_or_the_answer_is_lost)
{
    for (std::size_t size = 65'500; size < 65'560; ++size) {
        guarded_loop guarded;
        const std::string field = "Long: " + std::string(size, 'x') + "\r\n";
        raw_server server(guarded.m_loop, {answer_to("1", "body", field)});
        const auto events = exchange(server, guarded, 1);
        const auto* const answer = std::get_if<http_answer>(&events[0]);
        const std::string* const received =
            answer == nullptr ? nullptr : find_header(answer->m_headers, "Long");
        cr_assert(answer == nullptr ? is_lost(events[0]) : received != nullptr && received->size() == size,
                  "%zu", size);
    }
}

Test(wire, the_memory_for_all_answers_together_is_bounded)
{
    guarded_loop guarded;
    endless_server server(guarded.m_loop, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "xxxx");
    std::size_t max_held = 0;
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    timer sampler(guarded.m_loop, [&] {
        max_held = std::max(max_held, mallinfo2().uordblks + mallinfo2().hblkhd - before);
        sampler.set(std::chrono::milliseconds(1));
    });
    sampler.set(std::chrono::milliseconds(1));
    const auto events = exchange_at_once(server.address(), guarded, 40);
    cr_assert(std::all_of(events.begin(), events.end(), is_lost));
    // Four times the limit: a string that grows holds its old and its new buffer, each up to twice its
    // length.
    cr_assert(max_held <= std::size_t{96} << 20U, "%zu bytes", max_held);
}

/** Refusals by the server itself reach the log and the metrics through this report. */
Test(wire, a_request_that_the_server_refuses_by_itself_is_reported)
{
    const auto status_of = [](const std::string& request, duration request_timeout) {
        guarded_loop guarded;
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        settings.m_request_timeout = request_timeout;
        auto server = std::move(http_server::open(guarded.m_loop, settings, [](http_server_event&&) {
                                    cr_assert(false, "the refused request was delivered");
                                }).value());
        std::vector<http_refusal> refusals;
        server->report_refusals([&](const http_refusal& refused) { refusals.push_back(refused); });
        const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
        io_watcher writer(guarded.m_loop, [&](int) {
            cr_assert(send(client.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
            writer.stop();
        });
        writer.watch(client.get(), EV_WRITE);
        read_until(client, "\r\n\r\n", guarded.m_loop);
        cr_assert(refusals.size() == 1 && refusals.front().m_peer == "127.0.0.1");
        return refusals.front().m_status;
    };
    cr_assert(status_of("no request\r\n\r\n", test_timeout) == 400);
    cr_assert(status_of("GET / HTTP/1.1\r\nX: " + std::string(70000, 'x'), test_timeout) == 431);
    cr_assert(status_of("GET / HTTP/1.1\r\n", std::chrono::milliseconds(20)) == 408);
}

/** The configuration may allow heads that are longer than a field of the parser may be. */
Test(wire, a_long_field_in_a_request_ended_the_process)
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::string long_text(100'000, 'x');
    std::vector<std::string> requests{start, start, start};
    requests[0].append("Long: ").append(long_text).append("\r\n\r\n");
    requests[1].append(long_text).append(": v\r\n\r\n");
    requests[2].append("Transfer-Encoding: chunked\r\n\r\n0\r\nLong: ").append(long_text).append("\r\n\r\n");
    for (const std::string& request : requests) {
        guarded_loop guarded;
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        settings.m_header_limit = 256 * 1024;
        auto server = std::move(http_server::open(guarded.m_loop, settings, [](http_server_event&&) {
                                    cr_assert(false, "the refused request was delivered");
                                }).value());
        const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
        std::size_t sent = 0;
        io_watcher writer(guarded.m_loop, [&](int) {
            cr_assert(send_remaining(client.get(), request, sent));
            if (sent == request.size()) {
                writer.stop();
            }
        });
        writer.watch(client.get(), EV_WRITE);
        const std::string received = read_until(client, "\r\n\r\n", guarded.m_loop);
        cr_assert(received.find("HTTP/1.1 431") == 0, "%s", received.c_str());
    }
}

/** A client sends a chunk extension without end. */
Test(wire, a_request_without_end_is_refused)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&&) {
                           cr_assert(false, "the refused request was delivered");
                       }).value());
    const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
    std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;ext=";
    request.append(65536, 'x');
    std::size_t sent = 0;
    io_watcher writer(guarded.m_loop, [&](int) {
        const ssize_t count = send(client.get(), request.data(), request.size(), MSG_NOSIGNAL);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        request.assign(65536, 'x');
        if (count < 0) {
            writer.stop();
        }
    });
    writer.watch(client.get(), EV_WRITE);
    const std::string received = read_until(client, "\r\n\r\n", guarded.m_loop);
    cr_assert(received.find("HTTP/1.1 431") == 0, "%s", received.c_str());
    constexpr std::size_t socket_buffers = 8 << 20;
    cr_assert(sent < socket_buffers, "%zu bytes", sent);
}

/** The server refuses a request, which is sent again under the same id, and then sends a second copy of its
 * refusal. On the same connection the copy would be taken for the second answer, and the caller told that a
 * request has not run that runs. */
Test(wire, a_connection_carries_each_request_id_only_once)
{
    guarded_loop guarded;
    const std::string refusal = "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
    raw_server server(guarded.m_loop, {refusal, answer_to("1", "done")});
    std::vector<std::uint16_t> statuses;
    std::unique_ptr<http_client> client;
    const auto send = [&](std::uint64_t exchange) {
        client->send({exchange_id{exchange},
                      server.address(),
                      "POST",
                      "/",
                      {{"Id", "1"}},
                      "",
                      test_timeout,
                      "Id",
                      false});
    };
    client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        statuses.push_back(std::get<http_answer>(event).m_status);
        if (statuses.size() == 2) {
            guarded.m_loop.stop();
            return;
        }
        send(2);
    });
    send(1);
    guarded.m_loop.run();
    cr_assert(server.m_connections == 2);
    cr_assert(statuses[0] == 503 && statuses[1] == 200);
}

/** As above, but the connection carries so many other requests in between that it can't remember them all,
 * and the copy comes only then. */
Test(wire, a_copy_of_an_earlier_refusal_is_not_taken_for_the_answer_to_the_request_sent_again)
{
    constexpr std::size_t others = 200;
    guarded_loop guarded;
    const std::string refusal = "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
    std::deque<std::string> answers{refusal};
    for (std::size_t count = 0; count < others; ++count) {
        answers.push_back(answer_to(std::to_string(count + 2).c_str(), "other"));
    }
    answers.push_back(answer_to("1", "done"));
    raw_server server(guarded.m_loop, std::move(answers));
    std::vector<std::uint16_t> statuses;
    std::unique_ptr<http_client> client;
    const auto send = [&] {
        const std::size_t number = statuses.size() + 1;
        client->send({exchange_id{number},
                      server.address(),
                      "POST",
                      "/",
                      {{"Id", number == others + 2 ? "1" : std::to_string(number)}},
                      "",
                      test_timeout,
                      "Id",
                      true});
    };
    client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        statuses.push_back(std::get<http_answer>(event).m_status);
        statuses.size() == others + 2 ? guarded.m_loop.stop() : send();
    });
    send();
    guarded.m_loop.run();
    cr_assert(server.m_connections == 2, "the request was sent again on the connection that had carried it");
    cr_assert(statuses.back() == 200);
}

/** A planned stop waits for in_progress: a reply that the client has not read yet must count. */
Test(wire, a_reply_counts_as_in_progress_until_it_was_sent)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    constexpr std::size_t body_bytes = std::size_t{64} << 20U;
    std::size_t in_progress_after_reply = 0;
    server = std::move(
        http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
            server->reply(
                {std::get<http_request>(event).m_exchange, 200, {}, std::string(body_bytes, 'x') + "end"});
            in_progress_after_reply = server->in_progress();
        }).value());
    const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    io_watcher writer(guarded.m_loop, [&](int) {
        cr_assert(send(client.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
        writer.stop();
    });
    writer.watch(client.get(), EV_WRITE);
    std::size_t received = 0;
    io_watcher reader(guarded.m_loop, [&](int) {
        std::string buffer(1 << 20, '\0');
        const ssize_t count = recv(client.get(), buffer.data(), buffer.size(), 0);
        received += count > 0 ? static_cast<std::size_t>(count) : 0;
        if (received > body_bytes && server->in_progress() == 0) {
            guarded.m_loop.stop();
        }
    });
    reader.watch(client.get(), EV_READ);
    guarded.m_loop.run();
    cr_assert(in_progress_after_reply == 1);
    cr_assert(server->in_progress() == 0);
}

/** No descriptor is left when a client connects, and no connection is open whose end would resume accepting.
 */
Test(wire, accepting_resumes_after_descriptors_ran_out)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                           server->reply({std::get<http_request>(event).m_exchange, 200, {}, "served"});
                       }).value());
    const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
    rlimit limit{};
    cr_assert(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const rlimit none{static_cast<rlim_t>(client.get() + 1), limit.rlim_max};
    cr_assert(setrlimit(RLIMIT_NOFILE, &none) == 0);
    timer restore(guarded.m_loop, [&] { cr_assert(setrlimit(RLIMIT_NOFILE, &limit) == 0); });
    restore.set(std::chrono::milliseconds(50));
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    io_watcher writer(guarded.m_loop, [&](int) {
        cr_assert(send(client.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
        writer.stop();
    });
    writer.watch(client.get(), EV_WRITE);
    cr_assert(read_until(client, "served", guarded.m_loop).find("served") != std::string::npos);
}

/** A client sends many requests ahead and reads late; once its replies had drained, no further request was
 * parsed. */
Test(wire, requests_sent_ahead_of_a_late_reader_were_never_answered)
{
    constexpr std::size_t count = 400;
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    std::size_t delivered = 0;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                           ++delivered;
                           server->reply({std::get<http_request>(event).m_exchange,
                                          200,
                                          {},
                                          std::string(36'000, 'x') + "end of reply"});
                       }).value());
    const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
    std::string requests;
    for (std::size_t index = 0; index < count; ++index) {
        requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    std::size_t sent = 0;
    io_watcher writer(guarded.m_loop, [&](int) {
        cr_assert(send_remaining(client.get(), requests, sent));
        if (sent == requests.size()) {
            writer.stop();
        }
    });
    writer.watch(client.get(), EV_WRITE);
    std::string received;
    std::size_t replies = 0;
    io_watcher reader(guarded.m_loop, [&](int) {
        std::string buffer(65536, '\0');
        const ssize_t size = recv(client.get(), buffer.data(), buffer.size(), 0);
        cr_assert(size > 0, "the connection ended after %zu replies", replies);
        received.append(buffer.data(), static_cast<std::size_t>(size));
        for (std::size_t end = 0; (end = received.find("end of reply")) != std::string::npos;) {
            received.erase(0, end + 1);
            ++replies;
        }
        if (replies == count) {
            guarded.m_loop.stop();
        }
    });
    timer begin(guarded.m_loop, [&] { reader.watch(client.get(), EV_READ); });
    begin.set(std::chrono::milliseconds(300));
    timer end(guarded.m_loop, [&] { guarded.m_loop.stop(); });
    end.set(std::chrono::seconds(10));
    guarded.m_loop.run();
    cr_assert(replies == count, "%zu replies to %zu delivered requests", replies, delivered);
}

/** With as many requests in progress as a connection may have, its client was not seen to leave. */
Test(wire, a_client_that_left_with_many_requests_in_progress_went_unnoticed)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    std::size_t delivered = 0;
    std::size_t disconnected = 0;
    descriptor client;
    http_server_settings settings;
    settings.m_address = {"127.0.0.1", 0};
    server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                           if (std::holds_alternative<http_request>(event)) {
                               ++delivered;
                               return;
                           }
                           if (++disconnected == delivered) {
                               guarded.m_loop.stop();
                           }
                       }).value());
    client = std::move(start_connect(server->address(), socket_use::http)).value();
    std::string requests;
    for (int index = 0; index < 70; ++index) {
        requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    io_watcher writer(guarded.m_loop, [&](int) {
        std::size_t sent = 0;
        cr_assert(send_remaining(client.get(), requests, sent) && sent == requests.size());
        writer.stop();
    });
    writer.watch(client.get(), EV_WRITE);
    timer leave(guarded.m_loop, [&] { client.reset(); });
    leave.set(std::chrono::milliseconds(200));
    timer end(guarded.m_loop, [&] { guarded.m_loop.stop(); });
    end.set(std::chrono::seconds(5));
    guarded.m_loop.run();
    cr_assert(delivered == 64 && disconnected == delivered, "%zu of %zu", disconnected, delivered);
}

/** The connection was closed, and the reply to the earlier request with it. */
Test(wire, a_request_that_arrived_too_slowly_cost_an_earlier_one_its_reply)
{
    for (const std::string& slow :
         {std::string("GET /b HT"),
          std::string("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe")}) {
        guarded_loop guarded;
        std::unique_ptr<http_server> server;
        exchange_id first;
        timer run(guarded.m_loop, [&] { server->reply({first, 200, {}, "run"}); });
        http_server_settings settings;
        settings.m_address = {"127.0.0.1", 0};
        settings.m_request_timeout = std::chrono::milliseconds(50);
        server = std::move(http_server::open(guarded.m_loop, settings, [&](http_server_event&& event) {
                               first = std::get<http_request>(event).m_exchange;
                               run.set(std::chrono::milliseconds(200));
                           }).value());
        const descriptor client = std::move(start_connect(server->address(), socket_use::http)).value();
        const std::string requests = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + slow;
        io_watcher writer(guarded.m_loop, [&](int) {
            cr_assert(send(client.get(), requests.data(), requests.size(), MSG_NOSIGNAL) > 0);
            writer.stop();
        });
        writer.watch(client.get(), EV_WRITE);
        const std::string received = read_until(client, "HTTP/1.1 408", guarded.m_loop);
        cr_assert(received.find("HTTP/1.1 200") == 0 && received.find("run") != std::string::npos, "%s",
                  received.c_str());
        cr_assert(received.find("HTTP/1.1 408") != std::string::npos);
    }
}
