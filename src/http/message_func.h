/** @file message_func.h Socket and header functions shared by the HTTP client and server. */
#ifndef WAXWING_HTTP_MESSAGE_FUNC_H
#define WAXWING_HTTP_MESSAGE_FUNC_H

#include "base/base.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>

#include <stdexcept>
#include <string_view>

namespace waxwing {

inline constexpr std::size_t read_size = 64 * 1024; ///< Most bytes per read.

/** Appends @p header_line to @p out, unless it contains a character that would corrupt the headers. */
void append_header(std::string& out, const header& header_line);

/** Returns whether the body of a message with @p fields is framed in a way that the parser understands: its
 * transfer encoding, if any, is exactly `chunked`. */
bool has_known_framing(const boost::beast::http::fields& fields);

/** Returns whether the head at the start of @p input, complete or not, has a field that goes on in the next
 * line (obsolete line folding). Other recipients may see two fields in it. */
bool has_folded_field(std::string_view input);

/** Returns the headers of a parsed message. */
header_list to_headers(const boost::beast::http::fields& fields);

/**
 * Passes @p input to @p parser. A field that exceeds the capacity of the parser's field table, for which
 * Beast throws, ends the message with error::header_limit like a head over the limit. Safe on untrusted
 * input.
 * @post Unless @p parse_error is empty or need_more, @p parser must not be used again.
 * @return the bytes consumed.
 */
template<bool is_request>
std::size_t put_bytes(boost::beast::http::basic_parser<is_request>& parser, const std::string& input,
                      boost::beast::error_code& parse_error)
{
    try {
        return parser.put(boost::asio::const_buffer(input.data(), input.size()), parse_error);
    }
    catch (const std::length_error&) {
        parse_error = boost::beast::http::error::header_limit;
        return 0;
    }
}

/**
 * Sends @p bytes from offset @p sent until all are sent or the socket would block; advances @p sent.
 * @return false where the socket has failed, with the reason in errno.
 */
bool send_remaining(int socket, const std::string& bytes, std::size_t& sent);

} // namespace waxwing

#endif
