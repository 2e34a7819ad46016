/** @file door_func.h Turning HTTP requests of callers into requests, and answers into HTTP replies. */
#ifndef WAXWING_NODE_DOOR_FUNC_H
#define WAXWING_NODE_DOOR_FUNC_H

#include "call/call.h"
#include "http/http.h"

#include <string>

namespace waxwing {

/** Makes the request that the caller sent. @param local whether it came from this machine. */
entry_request to_entry_request(http_request&& received, bool local);

/** Makes the reply to a caller: the target's answer, or a problem that names the rule. */
http_reply to_http_reply(entry_reply&& given, const request_dialect& dialect);

/** Makes a problem reply, which no cache keeps. @p detail may be empty. */
http_reply problem_reply(exchange_id exchange, rule why, const std::string& detail);

} // namespace waxwing

#endif
