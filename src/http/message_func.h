/** @file message_func.h What both ends of an HTTP connection need of sockets and header fields. */
#ifndef WAXWING_HTTP_MESSAGE_FUNC_H
#define WAXWING_HTTP_MESSAGE_FUNC_H

#include "base/base.h"

#include <boost/beast/http/fields.hpp>

namespace waxwing {

inline constexpr std::size_t read_size = 64 * 1024; ///< Bytes that one read takes at most.

/** Appends @p field to the header @p out; one that would break the header is left out. */
void append_field(std::string& out, const header& field);

/** Gives the fields of a parsed message. */
header_list to_headers(const boost::beast::http::fields& fields);

/**
 * Sends what is left of @p bytes, of which @p sent have gone out, until the socket takes no more.
 * @return false where the socket has failed; errno says why.
 */
bool send_rest(int socket, const std::string& bytes, std::size_t& sent);

} // namespace waxwing

#endif
