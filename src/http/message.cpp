/** @file message.cpp Socket and header functions shared by the HTTP client and server. */
#include "http/message_func.h"

#include <sys/socket.h>

#include <cerrno>
#include <iterator>

namespace waxwing {

namespace {

/** Returns whether @p text contains CR, LF or NUL, with which it could inject further headers. */
bool is_unsafe_in_header(const std::string& text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
}

} // namespace

void append_header(std::string& out, const header& header_line)
{
    if (!is_unsafe_in_header(header_line.m_name) && !is_unsafe_in_header(header_line.m_value)) {
        out += header_line.m_name + ": " + header_line.m_value + "\r\n";
    }
}

bool has_known_framing(const boost::beast::http::fields& fields)
{
    const auto [begin, end] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (begin == end) {
        return true;
    }
    const auto value = begin->value();
    return std::next(begin) == end && equal_ignoring_case(std::string(value), "chunked");
}

bool has_folded_field(std::string_view input)
{
    for (std::size_t end = input.find('\n'); end != std::string_view::npos; end = input.find('\n', end + 1)) {
        const char next = end + 1 < input.size() ? input[end + 1] : '\r';
        if (next == ' ' || next == '\t') {
            return true;
        }
        if (next == '\r') {
            return false;
        }
    }
    return false;
}

header_list to_headers(const boost::beast::http::fields& fields)
{
    header_list headers;
    for (const auto& field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

bool send_remaining(int socket, const std::string& bytes, std::size_t& sent)
{
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<std::size_t>(count);
        }
        else if (errno != EINTR) {
            return errno == EAGAIN;
        }
    }
    return true;
}

} // namespace waxwing
