/** @file gateway_test.cpp Tests that targets are redirected while they have to prove that they run. */
#include "http/http.h"
#include "platform/platform.h"
#include "test/http_loop.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

using namespace waxwing;

namespace {

/** A gateway and a target that announces itself to it. */
struct gateway_fixture {
    gateway_fixture()
    {
        const auto port = static_cast<std::uint16_t>(20'000 + getpid() % 20'000);
        gateway_settings settings;
        settings.m_registry = endpoint{"127.0.0.1", port};
        settings.m_redirects_after = settings.m_registry;
        settings.m_redirects_before = endpoint{"127.0.0.1", static_cast<std::uint16_t>(port + 15)};
        settings.m_service = service_name{"records"};
        m_registry = *settings.m_registry;
        gateway_handlers handlers;
        handlers.m_on_announcement = [this](const target_announcement& announcement,
                                            const auto& acknowledge) {
            m_announcements.push_back(announcement);
            acknowledge(true);
        };
        handlers.m_is_ready = [] { return true; };
        handlers.m_trusts_target = [this] { return m_trusts_target; };
        m_gateway = gateway::open(m_guarded.m_loop, settings, std::move(handlers)).value();
        m_client = http_client::make(m_guarded.m_loop, {}, [this](http_client_event&& event) {
            const auto& answer = std::get<http_answer>(event);
            cr_assert(answer.m_status == 200);
            m_body = nlohmann::json::parse(std::string(answer.m_body.text()));
            m_guarded.m_loop.stop();
        });
    }

    /** Announces the target at @p address. @return the address for later announcements; empty if none. */
    std::string announce(const endpoint& address)
    {
        const nlohmann::json body{{"address", "127.0.0.1:9"},
                                  {"born", 100},
                                  {"info", {{"service", "records"}, {"slots", 4}}},
                                  {"status", {{"state", "ready"}, {"sequence", ++m_sequence}}}};
        m_client->send({exchange_id{m_sequence},
                        address,
                        "PUT",
                        "/instances/i",
                        {},
                        shared_body(body.dump()),
                        std::chrono::seconds(5)});
        m_guarded.m_loop.run();
        return m_body.value("heartbeatAddress", "");
    }

    guarded_loop m_guarded;
    endpoint m_registry;
    bool m_trusts_target = false;
    std::uint64_t m_sequence = 0;
    nlohmann::json m_body;
    std::vector<target_announcement> m_announcements;
    std::unique_ptr<gateway> m_gateway;
    std::unique_ptr<http_client> m_client;
};

} // namespace

Test(gateway, a_target_that_is_not_trusted_is_redirected_and_sent_back)
{
    gateway_fixture fixture;
    const std::string redirect = fixture.announce(fixture.m_registry);
    const result<endpoint> address = parse_endpoint(redirect);
    cr_assert(address.has_value() && address.value() != fixture.m_registry);
    cr_assert(!fixture.m_announcements.back().m_is_redirected, "it may be a late one");
    cr_assert(fixture.announce(address.value()).empty(), "it stays there while it is not trusted");
    cr_assert(fixture.m_announcements.back().m_is_redirected);
    fixture.m_trusts_target = true;
    cr_assert(fixture.announce(address.value()) == to_string(fixture.m_registry));
    cr_assert(fixture.announce(fixture.m_registry).empty());
}
