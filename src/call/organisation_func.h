/** @file organisation_func.h Keys in requests, and the importance of the requests of organisations. */
#ifndef WAXWING_CALL_ORGANISATION_FUNC_H
#define WAXWING_CALL_ORGANISATION_FUNC_H

#include "config/config.h"

#include <optional>
#include <string_view>

namespace waxwing {

inline constexpr std::string_view authorization_header = "Authorization"; ///< Request: the caller's key.
/** Answer with status 401: how the caller has to send its key. */
inline constexpr std::string_view authenticate_header = "WWW-Authenticate";
inline constexpr std::string_view bearer_scheme = "Bearer"; ///< The only scheme that is accepted.

/** Number of priorities of organisations that are distinguished, from 0; all lower ones rank as the last. */
inline constexpr unsigned organisation_priorities = 4;

/** Number of importances that the requests of one priority of organisations have. The bands of all priorities
 * together lie below the importance 224. */
inline constexpr std::uint8_t importance_band = 56;

/**
 * Returns the key in @p headers, by RFC 9110 section 11 and RFC 6750: one Authorization field with the scheme
 * Bearer, one or more spaces, and one token. Safe on untrusted input.
 * @return a view into @p headers; none if there is no such field, several, or one that is malformed.
 */
std::optional<std::string_view> bearer_key_of(const header_list& headers);

/** Returns the importance of a request of a kind of @p kind_importance by an organisation of @p priority. */
constexpr std::uint8_t organisation_importance(std::uint8_t priority, std::uint8_t kind_importance)
{
    constexpr unsigned last = organisation_priorities - 1;
    const unsigned band = last - (priority < last ? priority : last);
    return static_cast<std::uint8_t>(importance_band * band + kind_importance * importance_band / 256U);
}

/** Returns the least importance of calls that may use the headroom under @p set, if the admission policy
 * allows it to kinds of at least @p kind_importance. With organisations in force it refers to those of the
 * highest configured priority: waiting calls start by importance, so that only the upper end of the order can
 * have a reserve. */
std::uint8_t headroom_importance(const config_set& set, std::uint8_t kind_importance);

/** Returns whether a request with the root id @p root ranks as if its organisation had the highest priority
 * of all that are configured. One request in three does, so that no organisation is starved by others. */
constexpr bool is_promoted(root_id root)
{
    return root.m_value % 3 == 0;
}

} // namespace waxwing

#endif
