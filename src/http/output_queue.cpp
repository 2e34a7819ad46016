/** @file output_queue.cpp Bytes to be written to a socket, without copies of long bodies. */
#include "http/output_queue_base.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace waxwing {

namespace {

constexpr std::size_t max_parts = 16; ///< Parts passed to the socket at once.

} // namespace

void output_queue::append(std::string text)
{
    append(shared_body(std::move(text)));
}

void output_queue::append(const shared_body& body)
{
    if (!body.empty()) {
        m_size += body.size();
        m_parts.push_back(body);
    }
}

bool output_queue::send(int socket)
{
    while (!empty()) {
        std::array<iovec, max_parts> vectors{};
        const std::size_t count = std::min(max_parts, m_parts.size());
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t offset = index == 0 ? m_offset : 0;
            // sendmsg only reads the bytes, but iovec has no pointer to constant bytes.
            vectors[index].iov_base = const_cast<char*>(m_parts[index].data() + offset);
            vectors[index].iov_len = m_parts[index].size() - offset;
        }
        msghdr message{};
        message.msg_iov = vectors.data();
        message.msg_iovlen = count;
        const ssize_t sent = sendmsg(socket, &message, MSG_NOSIGNAL);
        if (sent >= 0) {
            remove(static_cast<std::size_t>(sent));
        }
        else if (errno != EINTR) {
            return errno == EAGAIN;
        }
    }
    return true;
}

void output_queue::remove(std::size_t count)
{
    m_size -= count;
    m_sent += count;
    m_offset += count;
    while (!m_parts.empty() && m_offset >= m_parts.front().size()) {
        m_offset -= m_parts.front().size();
        m_parts.pop_front();
    }
}

void output_queue::clear()
{
    *this = output_queue();
}

} // namespace waxwing
