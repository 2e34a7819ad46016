/** @file quota_type.h Plain types of the quota of organisations over all nodes. */
#ifndef WAXWING_POLICY_QUOTA_TYPE_H
#define WAXWING_POLICY_QUOTA_TYPE_H

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwing {

/** Shards of the limit of one organisation; fewer if the fleet has fewer nodes. */
inline constexpr std::size_t max_quota_shards = 3;

/** Tokens expire this long after the request for them was sent. */
inline constexpr duration token_age = std::chrono::milliseconds(400);

/** Limit of one organisation, or of one shard of it. */
struct quota_limit {
    double m_rate = 0.0;  ///< Requests a second; above zero.
    double m_burst = 0.0; ///< Requests at once after an idle period.

    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/** Whether a node counts among those that may own shards. */
enum class quota_presence {
    alive, ///< Takes part in the fleet; suspected nodes included.
    dead,  ///< Does not answer.
    left   ///< Has announced that it leaves.
};

/** One organisation in a quota_request. */
struct quota_request_item {
    organisation_name m_organisation;     ///< The organisation.
    std::uint32_t m_wanted = 0;           ///< Tokens asked for.
    std::uint32_t m_returned = 0;         ///< Unspent tokens that the entry gives up.
    std::uint64_t m_returned_request = 0; ///< Number of the request by which it got them.
};

/** Asks an owner for tokens. */
struct quota_request {
    incarnation m_incarnation; ///< Of the asking process.
    std::uint64_t m_number =
        0; ///< Higher than that of each earlier request of the process to the same owner.
    std::vector<quota_request_item> m_items; ///< One for each organisation.
};

/** One organisation in a quota_answer. */
struct quota_answer_item {
    organisation_name m_organisation; ///< The organisation.
    std::uint32_t m_granted = 0;      ///< Tokens granted; already debited by the owner.
    duration
        m_wait{}; ///< If fewer than wanted: time until the next one; zero if the node does not grant now.
};

/** Answers one quota_request. */
struct quota_answer {
    incarnation m_incarnation;              ///< As in the request.
    std::uint64_t m_number = 0;             ///< As in the request.
    std::vector<quota_answer_item> m_items; ///< As in the request, in any order.
};

/** Message of the control topic `quota`. */
using quota_message = std::variant<quota_request, quota_answer>;

/** Encodes @p message as CBOR. Thread safety: pure. */
std::string encode_quota(const quota_message& message);

/** Decodes @p bytes. Safe on untrusted input. @return error_code::invalid if they are no quota message.
 * Thread safety: pure. */
result<quota_message> decode_quota(std::string_view bytes);

/** State of a request for a token. */
enum class quota_outcome {
    granted, ///< The request may run.
    waiting, ///< A quota_wake follows.
    refused  ///< By m_rule.
};

/** Decision on one request of an organisation. */
struct quota_decision {
    quota_outcome m_outcome = quota_outcome::granted; ///< Its state.
    boot_instant m_expires_at{}; ///< If granted: when the token expires; boot_instant::max() without a limit.
    rule m_rule = rule::none;    ///< If refused: the rule.
    duration m_retry_after{};    ///< If refused: time until a token is available.
};

} // namespace waxwing

#endif
