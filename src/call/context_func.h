/** @file context_func.h The headers by which requests and sub-calls carry their context over HTTP. */
#ifndef WAXWING_CALL_CONTEXT_FUNC_H
#define WAXWING_CALL_CONTEXT_FUNC_H

#include "base/base.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

inline constexpr std::string_view context_header = "Waxwing-Context"; ///< Copied by targets to sub-calls.
inline constexpr std::string_view deadline_header = "Waxwing-Deadline-Ms";    ///< Time left, in milliseconds.
inline constexpr std::string_view kind_header = "Waxwing-Kind";               ///< The request kind.
inline constexpr std::string_view caller_header = "Waxwing-Caller";           ///< The caller's name.
inline constexpr std::string_view outcome_header = "Waxwing-Outcome";         ///< not-run, ran or unknown.
inline constexpr std::string_view rule_header = "Waxwing-Rule";               ///< The rule that fired.
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key"; ///< The caller's key.
inline constexpr std::size_t name_limit = 128; ///< Longest name or key, in bytes.

/** What a sub-call says of the call that makes it. */
struct parent_reference {
    root_id m_root;           ///< The whole request.
    attempt_id m_attempt;     ///< The running attempt that makes the sub-call.
    std::uint8_t m_depth = 0; ///< Of the running attempt.
};

/** Writes @p reference for the header Waxwing-Context. */
std::string write_context(const parent_reference& reference);

/** Reads what write_context wrote; none where the text is malformed. Total over hostile text. */
std::optional<parent_reference> read_context(std::string_view text);

/** What an HTTP request says in the headers of waxwinghub. */
struct request_fields {
    std::string m_host;                       ///< From Host, without the port, in lower case.
    kind_name m_kind;                         ///< Empty where none is named.
    caller_name m_caller;                     ///< Empty where none is named.
    std::optional<duration> m_deadline;       ///< Time left.
    std::optional<parent_reference> m_parent; ///< The call that makes this sub-call.
    std::string m_key;                        ///< Idempotency key.
};

/**
 * Reads the headers of waxwinghub; the error's text names the first bad one. Total over hostile text.
 * @param deadline_name the field with the time left.
 */
result<request_fields> read_request_fields(const header_list& headers,
                                           std::string_view deadline_name = deadline_header);

/** Gives the headers that pass on to the target: end-to-end ones, without those of waxwinghub but
 * Idempotency-Key. */
header_list end_to_end_headers(const header_list& headers);

/** Hashes what makes two requests the same. */
std::uint64_t fingerprint_of(std::string_view service, std::string_view method, std::string_view path,
                             std::string_view body);

/** Makes the answer by which waxwinghub itself refuses with @p why; nothing ran. */
answer refusal(rule why, run_state state = run_state::not_run);

} // namespace waxwing

#endif
