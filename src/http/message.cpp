/** @file message.cpp What both ends of an HTTP connection need of sockets and header fields. */
#include "http/message_func.h"

#include <sys/socket.h>

#include <cerrno>

namespace waxwing {

namespace {

/** Tells whether @p text would break the header. */
bool breaks_header(const std::string& text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
}

} // namespace

void append_field(std::string& out, const header& field)
{
    if (!breaks_header(field.m_name) && !breaks_header(field.m_value)) {
        out += field.m_name + ": " + field.m_value + "\r\n";
    }
}

header_list to_headers(const boost::beast::http::fields& fields)
{
    header_list headers;
    for (const auto& field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

bool send_rest(int socket, const std::string& bytes, std::size_t& sent)
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
