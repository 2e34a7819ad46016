/** @file call_type.h A call and its answer, as they travel between nodes. This header compiles as C++17. */
#ifndef WAXWING_BASE_CALL_TYPE_H
#define WAXWING_BASE_CALL_TYPE_H

#include "base/id_type.h"
#include "base/rule_type.h"
#include "base/unit_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/** One HTTP header field. */
struct header {
    std::string m_name;  ///< As it was sent; compares without regard to case.
    std::string m_value; ///< Without surrounding blanks.
};

/** HTTP header fields, in the order in which they came. */
using header_list = std::vector<header>;

/** Finds the first value of @p name in @p headers, without regard to case; null where there is none. */
const std::string* find_header(const header_list& headers, std::string_view name);

/** Tells whether @p a and @p b are the same but for the case of ASCII letters. */
bool equal_ignoring_case(std::string_view a, std::string_view b);

/** Gives @p text with its ASCII letters in lower case. Thread safety: pure. */
std::string to_lower(std::string text);

/**
 * How much a request matters, as one number that every hop compares alike: the importance of its kind in the
 * high byte, its cohort in the low one. Greater is shed later.
 */
struct priority {
    std::uint16_t m_value = 0; ///< importance * 256 + cohort.

    /** Gives the importance of the kind, 0 to 255. */
    constexpr std::uint8_t importance() const { return static_cast<std::uint8_t>(m_value >> 8U); }

    friend constexpr bool operator==(priority a, priority b) { return a.m_value == b.m_value; }
    friend constexpr bool operator<(priority a, priority b) { return a.m_value < b.m_value; }
};

/** Makes the priority of @p importance and @p cohort. */
constexpr priority priority_of(std::uint8_t importance, std::uint8_t cohort)
{
    return priority{static_cast<std::uint16_t>((importance << 8U) | cohort)};
}

/** Makes the priority of a request of @p importance with the root id @p root, whose hash is the cohort. */
priority make_priority(std::uint8_t importance, root_id root);

/** What travels with each call of a whole request. */
struct call_context {
    root_id m_root;                   ///< The whole request.
    priority m_priority;              ///< The same at every hop.
    duration m_time_left{};           ///< Time left until the deadline, at the moment of sending.
    std::uint16_t m_retry_tokens = 0; ///< Tokens lent with this call.
    std::uint8_t m_depth = 0;         ///< Zero for the call of an outside caller.
    bool m_repeat = false; ///< Whether it, or a call above it, reached a target of its service before.
};

/** One call to a service. */
struct call {
    service_name m_service;          ///< The service called.
    kind_name m_kind;                ///< The request kind.
    caller_name m_caller;            ///< The outside caller of the whole request; unverified text.
    bool m_idempotent = false;       ///< Whether running it twice does no harm.
    std::string m_method;            ///< HTTP method.
    std::string m_path;              ///< Path with query.
    header_list m_headers;           ///< End-to-end headers, without those of waxwinghub.
    std::string m_body;              ///< The whole body.
    std::string m_idempotency_key;   ///< Empty where the caller gave none.
    std::uint8_t m_crashes = 0;      ///< Targets that died while they ran it, as far as its entry knows.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, path and body; names a request that crashes targets.
    call_context m_context;          ///< What travels with it.
};

/** How busy a target is, as its node reports it on each answer. */
struct load_report {
    std::uint32_t m_in_progress = 0; ///< Calls that the target is running.
    std::uint32_t m_queued = 0;      ///< Calls that wait at the target's node.
    std::uint32_t m_limit = 0;       ///< The concurrency limit in force.
    priority m_threshold;            ///< Calls below are shed here or further down the chain.
};

/** The answer to one attempt. */
struct answer {
    run_state m_state = run_state::unknown; ///< What became of this attempt.
    rule m_rule = rule::none;               ///< The rule that fired; none where the target answered.
    std::uint16_t m_status = 0;             ///< The target's HTTP status where it answered.
    header_list m_headers;                  ///< The target's end-to-end headers.
    std::string m_body;                     ///< The whole body.
    duration m_retry_after{};               ///< Hint for the caller; zero is none.
    std::uint16_t m_retry_tokens = 0;       ///< Unused tokens that come back.
    bool m_final = false;                   ///< The hop above must pass it up and not try again.
    load_report m_load;                     ///< How busy the target is.
};

} // namespace waxwing

#endif
