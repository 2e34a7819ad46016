/** @file call_type.h A call and its answer, as nodes exchange them. This header compiles as C++17. */
#ifndef WAXWING_BASE_CALL_TYPE_H
#define WAXWING_BASE_CALL_TYPE_H

#include "base/body_type.h"
#include "base/id_type.h"
#include "base/rule_type.h"
#include "base/unit_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/** One HTTP header field. */
struct header {
    std::string m_name;  ///< In the sender's spelling; compared case-insensitively.
    std::string m_value; ///< Without leading and trailing white space.
};

/** HTTP header fields, in the order in which they were received. */
using header_list = std::vector<header>;

/** Returns the first value of @p name in @p headers, compared case-insensitively; null if there is none. */
const std::string* find_header(const header_list& headers, std::string_view name);

/** Returns whether @p a and @p b are equal apart from the case of ASCII letters. */
bool equal_ignoring_case(std::string_view a, std::string_view b);

/** Returns @p text with its ASCII letters in lower case. Thread safety: pure. */
std::string to_lower(std::string text);

/**
 * The priority of a request, a number that compares alike at every hop: the importance of its kind in the
 * high byte, its cohort in the low byte. Higher priorities are shed later.
 */
struct priority {
    std::uint16_t m_value = 0; ///< importance * 256 + cohort.

    /** Returns the importance of the kind, 0 to 255. */
    constexpr std::uint8_t importance() const { return static_cast<std::uint8_t>(m_value >> 8U); }

    friend constexpr bool operator==(priority a, priority b) { return a.m_value == b.m_value; }
    friend constexpr bool operator<(priority a, priority b) { return a.m_value < b.m_value; }
};

/** Combines @p importance and @p cohort into a priority. */
constexpr priority priority_of(std::uint8_t importance, std::uint8_t cohort)
{
    return priority{static_cast<std::uint16_t>((importance << 8U) | cohort)};
}

/** Returns the priority of a request of @p importance whose cohort is the hash of its root id @p root. */
priority make_priority(std::uint8_t importance, root_id root);

/** The context that is propagated with each call of a whole request. */
struct call_context {
    root_id m_root;                   ///< The whole request that the call belongs to.
    priority m_priority;              ///< The same at every hop.
    duration m_time_left{};           ///< Time left until the deadline, at the moment of sending.
    std::uint16_t m_retry_tokens = 0; ///< Retry tokens lent with this call.
    std::uint8_t m_depth = 0;         ///< Depth in the call graph; zero for the call of an outside caller.
    bool m_repeat = false; ///< Whether an attempt at it, or at a call above it, reached a target before.
};

/** One call to a service. */
struct call {
    service_name m_service;          ///< The called service.
    kind_name m_kind;                ///< The request kind.
    caller_name m_caller;            ///< The outside caller of the whole request, not verified.
    bool m_idempotent = false;       ///< Whether the call can safely be run twice.
    std::string m_method;            ///< HTTP method.
    std::string m_path;              ///< Path with query.
    header_list m_headers;           ///< End-to-end headers, without those that waxwinghub defines.
    shared_body m_body;              ///< The complete body.
    std::string m_idempotency_key;   ///< Empty if the caller sent none.
    std::uint8_t m_crashes = 0;      ///< Targets that died while running it, as far as its entry knows.
    std::uint64_t m_fingerprint = 0; ///< Hash of method, path and body; identifies a crashing request.
    call_context m_context;          ///< The context propagated with the call.
};

/** The load of a target, which its node reports with each answer. */
struct load_report {
    std::uint32_t m_in_progress = 0; ///< Calls that are running at the target.
    std::uint32_t m_queued = 0;      ///< Calls that are queued at the target's node.
    std::uint32_t m_limit = 0;       ///< The concurrency limit in force.
    priority m_threshold;            ///< Calls below this priority are shed here or further down the chain.
};

/** The answer to one attempt. */
struct answer {
    run_state m_state = run_state::unknown; ///< Whether the attempt ran.
    rule m_rule = rule::none;         ///< The rule that refused or failed it; none if the target answered.
    std::uint16_t m_status = 0;       ///< The target's HTTP status, if it answered.
    header_list m_headers;            ///< The target's end-to-end headers.
    shared_body m_body;               ///< The complete body.
    duration m_retry_after{};         ///< Suggested delay before another try; zero if there is none.
    std::uint16_t m_retry_tokens = 0; ///< Unused retry tokens that are returned.
    bool m_final = false;             ///< Whether the hop above must forward it and not try again.
    load_report m_load;               ///< The load of the target.
};

} // namespace waxwing

#endif
