/** @file dialect_type.h Configurable names of the headers exchanged between callers, targets and
 * waxwinghub. */
#ifndef WAXWING_CALL_DIALECT_TYPE_H
#define WAXWING_CALL_DIALECT_TYPE_H

#include "call/context_func.h"

#include <string>
#include <string_view>

namespace waxwing {

/** Header names and related options. A header with an empty name is not used. */
struct request_dialect {
    std::string_view m_deadline = deadline_header; ///< Request: time left, in whole milliseconds.
    std::string_view m_request_id; ///< Request: its id, which the target repeats in its answer.
    std::string_view m_origin;     ///< Request to a target: the service beside the entry. A value set by the
                                   ///< caller is removed.
    std::string_view m_instance;   ///< Request to a target: the only instance that may run it.
    std::string_view m_not_run;    ///< Answer of a target: present if the target did not run the request.
    std::uint16_t m_wrong_instance = 0;    ///< Status of an instance that is not the one named; 0 if none.
    bool m_fractional_retry_after = false; ///< Whether Retry-After may contain fractions of a second.
    bool m_adds_own_headers = true;        ///< Whether waxwinghub adds its own headers.
    std::string_view m_rate_limit = {};    ///< Answer of a target: requests a second that it takes from all
                                           ///< callers, a decimal number, until an answer lacks it.
    std::string_view m_leaving = {}; ///< Answer of a target: "1" if the target leaves and takes no new work.
    std::string_view m_organisation = {}; ///< Request to a target: the organisation whose key the caller
                                          ///< sent. A value set by the caller is removed.
};

/** Returns the request id in @p headers; empty if there is none. */
inline std::string request_id_of(const request_dialect& dialect, const header_list& headers)
{
    const std::string* const id =
        dialect.m_request_id.empty() ? nullptr : find_header(headers, dialect.m_request_id);
    return id == nullptr ? std::string{} : *id;
}

} // namespace waxwing

#endif
