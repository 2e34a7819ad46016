/** @file message_func.h Socket and header functions shared by the HTTP client and server. */
#ifndef WAXWING_HTTP_MESSAGE_FUNC_H
#define WAXWING_HTTP_MESSAGE_FUNC_H

#include "base/base.h"

#include <boost/beast/http/fields.hpp>

namespace waxwing {

inline constexpr std::size_t read_size = 64 * 1024; ///< Most bytes per read.

/** Appends @p header_line to @p out, unless it contains a character that would corrupt the headers. */
void append_header(std::string& out, const header& header_line);

/** Returns the headers of a parsed message. */
header_list to_headers(const boost::beast::http::fields& fields);

/**
 * Sends @p bytes from offset @p sent until all are sent or the socket would block; advances @p sent.
 * @return false where the socket has failed, with the reason in errno.
 */
bool send_remaining(int socket, const std::string& bytes, std::size_t& sent);

} // namespace waxwing

#endif
