/** @file http_test.cpp Tests of the HTTP client and server over loopback sockets. */
#include "http/http.h"
#include "test/http_loop.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace waxwing;

namespace {

http_server_settings loopback_settings(std::size_t body_limit)
{
    http_server_settings settings;
    settings.m_address = endpoint{"127.0.0.1", 0};
    settings.m_body_limit = body_limit;
    return settings;
}

http_send request_to(const endpoint& address, std::uint64_t id, std::string body)
{
    return http_send{exchange_id{id},  address,         "POST",      "/echo?a=%2F&b",
                     {{"X-One", "1"}}, std::move(body), test_timeout};
}

/** A listening socket for tests in which the server misbehaves. */
struct raw_listener {
    int m_socket = socket(AF_INET, SOCK_STREAM, 0);
    endpoint m_address{"127.0.0.1", 0};

    raw_listener()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto* const any = reinterpret_cast<sockaddr*>(&address);
        cr_assert(bind(m_socket, any, length) == 0 && listen(m_socket, 8) == 0);
        cr_assert(getsockname(m_socket, any, &length) == 0);
        m_address.m_port = ntohs(address.sin_port);
    }
    ~raw_listener() { close(m_socket); }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
};

} // namespace

Test(http, concurrent_exchanges_deliver_whole_messages_in_any_reply_order)
{
    guarded_loop guarded;
    const std::size_t count = 40;
    std::vector<http_request> requests;
    std::unique_ptr<http_server> server;
    server = std::move(
        http_server::open(guarded.m_loop, loopback_settings(1 << 20), [&](http_server_event&& event) {
            requests.push_back(std::get<http_request>(std::move(event)));
            if (requests.size() < count) {
                return;
            }
            for (auto request = requests.rbegin(); request != requests.rend(); ++request) {
                cr_assert(request->m_path == "/echo?a=%2F&b");
                cr_assert(*find_header(request->m_headers, "x-one") == "1");
                server->reply({request->m_exchange, 207, {{"X-Two", "2"}}, request->m_body});
            }
        }).value());
    std::size_t answers = 0;
    const auto body_of = [](std::uint64_t id) {
        return std::string(id * 26000 % (1 << 20), static_cast<char>('a' + id % 26));
    };
    const auto client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        const auto& answer = std::get<http_answer>(event);
        cr_assert(answer.m_status == 207);
        cr_assert(*find_header(answer.m_headers, "X-Two") == "2");
        cr_assert(answer.m_body == body_of(answer.m_exchange.m_value));
        if (++answers == count) {
            guarded.m_loop.stop();
        }
    });
    for (std::uint64_t id = 1; id <= count; ++id) {
        client->send(request_to(server->address(), id, body_of(id)));
    }
    guarded.m_loop.run();
    cr_assert(answers == count);
}

Test(http, a_body_over_the_limit_is_dropped_and_reported)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    server =
        std::move(http_server::open(guarded.m_loop, loopback_settings(1000), [&](http_server_event&& event) {
                      const auto& request = std::get<http_request>(event);
                      cr_assert(request.m_body_too_large == (request.m_path != "/small"));
                      server->reply({request.m_exchange, 413, {}, ""});
                  }).value());
    int answers = 0;
    const auto client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        cr_assert(std::get<http_answer>(event).m_status == 413);
        if (++answers == 2) {
            guarded.m_loop.stop();
        }
    });
    client->send(request_to(server->address(), 1, std::string(1001, 'x')));
    http_send small = request_to(server->address(), 2, std::string(1000, 'x'));
    small.m_path = "/small";
    client->send(std::move(small));
    guarded.m_loop.run();
}

Test(http, a_client_disconnect_is_reported_while_its_request_awaits_a_reply)
{
    guarded_loop guarded;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    exchange_id served_exchange;
    bool aborted = false;
    server =
        std::move(http_server::open(guarded.m_loop, loopback_settings(1000), [&](http_server_event&& event) {
                      if (const auto* request = std::get_if<http_request>(&event)) {
                          served_exchange = request->m_exchange;
                          client->abort(exchange_id{7});
                          return;
                      }
                      cr_assert(std::get<http_client_disconnected>(event).m_exchange == served_exchange);
                      cr_assert(aborted);
                      guarded.m_loop.stop();
                  }).value());
    client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        cr_assert(std::get<http_failure>(event).m_kind == http_failure_kind::aborted);
        aborted = true;
    });
    client->send(request_to(server->address(), 7, "x"));
    guarded.m_loop.run();
}

Test(http, a_refused_connection_is_reported_as_not_sent)
{
    guarded_loop guarded;
    endpoint unused_address;
    {
        const raw_listener listener;
        unused_address = listener.m_address;
    }
    const auto client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        cr_assert(std::get<http_failure>(event).m_kind == http_failure_kind::not_sent);
        guarded.m_loop.stop();
    });
    client->send(request_to(unused_address, 1, "x"));
    guarded.m_loop.run();
}

/**
 * Guards against a request that runs twice: an HTTP client may resend it when a reused connection breaks
 * before the answer, as libcurl does.
 */
Test(http, a_request_is_sent_once_when_a_reused_connection_breaks)
{
    guarded_loop guarded;
    const raw_listener listener;
    int requests = 0;
    std::vector<std::unique_ptr<io_watcher>> watchers;
    std::vector<int> sockets;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    io_watcher accept_watcher(guarded.m_loop, [&](int) {
        const int peer = accept(listener.m_socket, nullptr, nullptr);
        sockets.push_back(peer);
        watchers.push_back(std::make_unique<io_watcher>(guarded.m_loop, [&, peer,
                                                                         index = watchers.size()](int) {
            char buffer[4096];
            if (recv(peer, buffer, sizeof buffer, 0) <= 0) {
                watchers[index]->stop();
                return;
            }
            ++requests;
            if (requests == 1) {
                cr_assert(send(peer, answer.data(), answer.size(), 0) == static_cast<ssize_t>(answer.size()));
                return;
            }
            shutdown(peer, SHUT_RDWR);
        }));
        watchers.back()->watch(peer, EV_READ);
    });
    accept_watcher.watch(listener.m_socket, EV_READ);
    std::unique_ptr<http_client> client;
    client = http_client::make(guarded.m_loop, {}, [&](http_client_event&& event) {
        if (std::holds_alternative<http_answer>(event)) {
            client->send(request_to(listener.m_address, 2, "order"));
            return;
        }
        cr_assert(std::get<http_failure>(event).m_kind == http_failure_kind::lost);
        guarded.m_loop.stop();
    });
    client->send(request_to(listener.m_address, 1, "order"));
    guarded.m_loop.run();
    cr_assert(requests == 2, "%d requests arrived", requests);
    for (const int peer : sockets) {
        close(peer);
    }
}
