/** @file api_client_base.cpp HTTP client of a node's operator API. */
#include "waxwingctl/api_client_base.h"

namespace waxwing {

namespace {

constexpr duration response_timeout = std::chrono::seconds(25);

} // namespace

api_client::api_client(const endpoint& address, std::string token)
    : m_address(address), m_token(std::move(token)),
      m_client(http_client::make(m_loop, http_client_settings{}, [this](http_client_event&& event) {
          m_event = std::move(event);
          m_loop.stop();
      }))
{
}

result<api_answer> api_client::call(const std::string& method, const std::string& path,
                                    const std::string& body)
{
    header_list headers;
    if (!m_token.empty()) {
        headers.push_back({"Authorization", "Bearer " + m_token});
    }
    if (!body.empty()) {
        headers.push_back({"Content-Type", "application/json"});
    }
    m_event.reset();
    m_client->send(
        {exchange_id{++m_last_exchange}, m_address, method, path, headers, body, response_timeout});
    while (!m_event) {
        m_loop.run();
    }
    if (const auto* const failure = std::get_if<http_failure>(&*m_event)) {
        const bool not_sent = failure->m_kind == http_failure_kind::not_sent;
        return fail(not_sent ? error_code::unavailable : error_code::unknown, failure->m_text);
    }
    http_answer& answer = std::get<http_answer>(*m_event);
    nlohmann::json content = nlohmann::json::parse(answer.m_body.text(), nullptr, false);
    if (content.is_discarded()) {
        content = nullptr;
    }
    return api_answer{answer.m_status, std::move(content), answer.m_body.text()};
}

void api_client::wait(duration delay)
{
    bool has_expired = false;
    timer wait_timer(m_loop, [&] {
        has_expired = true;
        m_loop.stop();
    });
    wait_timer.set(delay);
    while (!has_expired) {
        m_loop.run();
    }
}

} // namespace waxwing
