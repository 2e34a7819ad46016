/** @file api_client_base.h HTTP client of a node's operator API. */
#ifndef WAXWING_WAXWINGCTL_API_CLIENT_BASE_H
#define WAXWING_WAXWINGCTL_API_CLIENT_BASE_H

#include "http/http.h"
#include "loop/loop.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace waxwing {

/** The answer of a node. */
struct api_answer {
    std::uint16_t m_status = 0; ///< HTTP status.
    nlohmann::json m_content;   ///< The parsed body; null if it is not JSON.
    std::string m_body;         ///< The unparsed body.
};

/**
 * Blocking client of one node; only one call is in progress at a time.
 * Thread safety: not thread-safe.
 */
class api_client {
public:
    /** Creates a client of the node at @p address, which sends @p token unless it is empty. */
    api_client(const endpoint& address, std::string token);

    /**
     * Sends a request and waits for its answer.
     * @return the answer; error `unavailable` if the request was not sent, `unknown` if the node may have
     * carried it out.
     */
    result<api_answer> call(const std::string& method, const std::string& path, const std::string& body = {});

    /** Blocks for @p delay. */
    void wait(duration delay);

private:
    event_loop m_loop;                        ///< Runs while a call is in progress.
    endpoint m_address;                       ///< Address of the node's operator API.
    std::string m_token;                      ///< The operator's token; empty sends none.
    std::optional<http_client_event> m_event; ///< Result of the current call, once it has ended.
    std::uint64_t m_last_exchange = 0;        ///< Id of the last exchange.
    std::unique_ptr<http_client> m_client;    ///< Sends the requests.
};

} // namespace waxwing

#endif
