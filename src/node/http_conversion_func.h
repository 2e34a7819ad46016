/** @file http_conversion_func.h Conversion between HTTP messages and requests and replies of the entry. */
#ifndef WAXWING_NODE_HTTP_CONVERSION_FUNC_H
#define WAXWING_NODE_HTTP_CONVERSION_FUNC_H

#include "call/call.h"
#include "http/http.h"

#include <string>

namespace waxwing {

/** Converts a caller's HTTP request, which has arrived at @p now. @param local whether it came from this
 * machine. */
entry_request to_entry_request(http_request&& received, bool local, boot_instant now);

/** Converts a reply to a caller: the target's answer, or a problem response that names the rule. */
http_reply to_http_reply(entry_reply&& reply_data, const request_dialect& dialect);

/** Creates a problem response that must not be cached. @p detail may be empty. */
http_reply problem_reply(exchange_id exchange, rule why, const std::string& detail);

} // namespace waxwing

#endif
