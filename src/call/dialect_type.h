/** @file dialect_type.h The names of the header fields that callers, targets and waxwinghub read from each
 * other. */
#ifndef WAXWING_CALL_DIALECT_TYPE_H
#define WAXWING_CALL_DIALECT_TYPE_H

#include "call/context_func.h"

#include <string>
#include <string_view>

namespace waxwing {

/** Names of header fields by what they mean. An empty name means that the field is not in use. */
struct request_dialect {
    std::string_view m_deadline = deadline_header; ///< Of a request: time left, in whole milliseconds.
    std::string_view m_request_id; ///< Of a request: its id, which the target's answer repeats.
    std::string_view
        m_origin; ///< Of a request to a target: the service beside the entry; callers can't set it.
    std::string_view m_instance; ///< Of a request to a target: the only instance that may run it.
    std::string_view m_not_run;  ///< Of a target's answer: present where the target did not run the request.
    std::uint16_t m_wrong_instance = 0;    ///< Status of an instance that is not the one named; zero is none.
    bool m_fractional_retry_after = false; ///< Whether Retry-After may have fractions of seconds.
    bool m_adds_own_headers = true;        ///< Whether the fields of waxwinghub itself are added.
};

/** Gives the id of a request with @p headers; empty where it has none. */
inline std::string request_id_of(const request_dialect& dialect, const header_list& headers)
{
    const std::string* const id =
        dialect.m_request_id.empty() ? nullptr : find_header(headers, dialect.m_request_id);
    return id == nullptr ? std::string{} : *id;
}

} // namespace waxwing

#endif
