/** @file context_func.h HTTP headers that carry the context of requests and sub-calls. */
#ifndef WAXWING_CALL_CONTEXT_FUNC_H
#define WAXWING_CALL_CONTEXT_FUNC_H

#include "base/base.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

inline constexpr std::string_view context_header = "Waxwing-Context"; ///< Targets copy it to their sub-calls.
inline constexpr std::string_view deadline_header = "Waxwing-Deadline-Ms"; ///< Time left, in milliseconds.
inline constexpr std::string_view kind_header = "Waxwing-Kind";            ///< Request kind.
inline constexpr std::string_view caller_header = "Waxwing-Caller";        ///< Name of the caller.
inline constexpr std::string_view outcome_header = "Waxwing-Outcome"; ///< Run state: not-run, ran or unknown.
inline constexpr std::string_view rule_header = "Waxwing-Rule";       ///< Rule that refused the request.
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key"; ///< Key set by the caller.
inline constexpr std::size_t name_limit = 128; ///< Maximum length of a name or key, in bytes.

/** Reference from a sub-call to the call that makes it. */
struct parent_reference {
    root_id m_root;           ///< Root id of the whole request.
    attempt_id m_attempt;     ///< Running attempt that makes the sub-call.
    std::uint8_t m_depth = 0; ///< Depth of the running attempt.
};

/** Formats @p reference as the value of the header Waxwing-Context. */
std::string write_context(const parent_reference& reference);

/** Parses the output of write_context. Safe on untrusted input. @return no value if the text is malformed. */
std::optional<parent_reference> read_context(std::string_view text);

/** Contents of the Host header and the waxwinghub headers of an HTTP request. */
struct request_fields {
    std::string m_host;                       ///< Host without the port, in lower case.
    kind_name m_kind;                         ///< Request kind; empty if not set.
    caller_name m_caller;                     ///< Caller; empty if not set.
    std::optional<duration> m_deadline;       ///< Time left; no value if not set.
    std::optional<parent_reference> m_parent; ///< Call that makes this sub-call.
    std::string m_key;                        ///< Idempotency key; empty if not set.
};

/**
 * Parses the waxwinghub headers of a request. Safe on untrusted input.
 * @param deadline_name name of the header with the time left.
 * @return the parsed values, or an error that names the first malformed header.
 */
result<request_fields> read_request_fields(const header_list& headers,
                                           std::string_view deadline_name = deadline_header);

/** Returns the headers to forward to the target: the end-to-end headers without the waxwinghub headers.
 * Idempotency-Key is forwarded. */
header_list end_to_end_headers(const header_list& headers);

/** Hashes the parts of a request that identify it: requests with equal hashes are taken to be the same. */
std::uint64_t fingerprint_of(std::string_view service, std::string_view method, std::string_view path,
                             std::string_view body);

/** Creates the answer with which waxwinghub itself refuses a request by the rule @p reason.
 * @param state whether a target may have run the request. */
answer refusal(rule reason, run_state state = run_state::not_run);

} // namespace waxwing

#endif
