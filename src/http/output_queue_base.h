/** @file output_queue_base.h Bytes to be written to a socket, without copies of long bodies. */
#ifndef WAXWING_HTTP_OUTPUT_QUEUE_BASE_H
#define WAXWING_HTTP_OUTPUT_QUEUE_BASE_H

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <string>

namespace waxwing {

/** Heads and bodies in the order in which they are sent. Thread safety: none; one owner. */
class output_queue {
public:
    /** Appends @p text. */
    void append(std::string text);

    /** Appends @p body, which is shared, not copied. */
    void append(const shared_body& body);

    /** Sends until all is sent or @p socket would block. @return false where the socket has failed, with the
     * reason in errno. */
    bool send(int socket);

    /** Drops all unsent bytes, and counts the sent ones from zero again. */
    void clear();

    /** Returns the unsent bytes. */
    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }

    /** Returns the bytes that the socket has taken since the last clear(). */
    std::uint64_t sent() const { return m_sent; }

private:
    void remove(std::size_t count);

    std::deque<shared_body> m_parts; ///< Oldest first; none is empty.
    std::size_t m_offset = 0;        ///< Bytes of the first part that were sent.
    std::size_t m_size = 0;
    std::uint64_t m_sent = 0;
};

} // namespace waxwing

#endif
