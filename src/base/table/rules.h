/** @file rules.h The table of rules, ordered as the values of `rule`. */
#ifndef WAXWING_BASE_TABLE_RULES_H
#define WAXWING_BASE_TABLE_RULES_H

#include "base/rule_type.h"

#include <array>

namespace waxwing {

/** One entry for each value of `rule`. */
inline constexpr std::array<rule_info, static_cast<std::size_t>(rule::internal) + 1> rules{{
    {"none", 200, false, false, "A target answered the request"},
    {"unknown-service", 404, false, false, "The configuration has no service of this name"},
    {"missing-kind", 400, false, false, "No request kind matches; name one in Waxwing-Kind"},
    {"body-too-large", 413, false, false, "The body exceeds the limit"},
    {"bad-header", 400, false, false, "A Waxwing header can't be read"},
    {"bad-request", 400, false, false, "The request can't be read"},
    {"loop", 508, false, false, "The call chain is deeper than allowed"},
    {"deadline-expired", 504, false, true, "The deadline passed or can't be met"},
    {"no-target", 503, false, true, "No target of the service can take work"},
    {"overloaded", 503, true, true, "The target has no room"},
    {"shed", 503, false, true, "Requests of this importance are shed"},
    {"queue-timeout", 503, false, true, "The request waited too long for a slot"},
    {"caller-share", 429, false, true, "The caller is above its share"},
    {"draining", 503, true, true, "The target is leaving"},
    {"quarantined", 422, false, false, "The request has crashed targets and is not run again"},
    {"suspect-waiting", 503, true, true, "The request may crash targets and must run alone"},
    {"link-lost", 502, false, false, "The link to the target's node was lost"},
    {"target-unreachable", 503, true, true, "The target accepts no connection"},
    {"target-lost", 502, false, false, "The connection to the target was lost"},
    {"target-crashed", 502, false, false, "The target died while it ran the request"},
    {"target-refused", 503, true, true, "The target refused the request before running it"},
    {"cancelled", 499, false, false, "The caller went away"},
    {"too-many-connections", 503, true, true, "The node has too many connections; come back later"},
    {"not-ready", 503, true, true, "The node has no configuration yet"},
    {"unauthorised", 401, false, false, "The operator's token is missing or wrong"},
    {"unknown-key", 401, false, false, "The request needs the key of an organisation"},
    {"keys-unconfirmed", 503, false, true, "The node can't tell whether the key is still held"},
    {"unknown-parent", 503, false, true, "The call that this sub-call belongs to is not known"},
    {"quota-exceeded", 429, false, true, "The organisation is above its quota"},
    {"quota-unavailable", 503, false, true, "The quota of the organisation can't be checked now"},
    {"out-of-memory", 503, false, true, "The node has no memory for the request; come back later"},
    {"not-found", 404, false, false, "There is no such resource"},
    {"conflict", 409, false, false, "Another change came first"},
    {"internal", 500, false, false, "The node failed to handle the request"},
}};

} // namespace waxwing

#endif
