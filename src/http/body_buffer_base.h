/** @file body_buffer_base.h Collects the body of a message as it arrives. */
#ifndef WAXWING_HTTP_BODY_BUFFER_BASE_H
#define WAXWING_HTTP_BODY_BUFFER_BASE_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace waxwing {

/**
 * A body in blocks of fixed size, so that memory is allocated as bytes arrive, and a long body is never moved
 * to a larger buffer. Thread safety: none; one owner.
 */
class body_buffer {
public:
    /** Appends @p size bytes. */
    void append(const char* bytes, std::size_t size)
    {
        m_size += size;
        while (size > 0) {
            if (m_blocks.empty() || m_blocks.back().size() == block_size) {
                m_blocks.emplace_back();
                // Only the first block grows step by step, for the sake of short bodies.
                m_blocks.back().reserve(m_blocks.size() > 1 ? block_size : 0);
            }
            const std::size_t part = std::min(size, block_size - m_blocks.back().size());
            m_blocks.back().append(bytes, part);
            bytes += part;
            size -= part;
        }
    }

    std::size_t size() const { return m_size; }

    /** Removes and returns the body. Each block is freed once it is copied, so that the body is held once. */
    std::string take()
    {
        std::string body;
        if (m_blocks.size() == 1) {
            body = std::move(m_blocks.front());
            body.shrink_to_fit();
        }
        else {
            body.reserve(m_size);
            for (std::string& block : m_blocks) {
                body += block;
                std::string().swap(block); // An assignment would keep the buffer.
            }
        }
        m_blocks.clear();
        m_size = 0;
        return body;
    }

private:
    /** Above the threshold from which the allocator returns freed memory to the system at once. */
    static constexpr std::size_t block_size = 256 * 1024;

    std::vector<std::string> m_blocks; ///< All but the last are full.
    std::size_t m_size = 0;
};

/** The body type of Beast's parsers that fills a body_buffer. Its names are those that Beast asks for. */
struct buffered_body {
    using value_type = body_buffer;

    /** Receives the parts of the body. */
    class reader {
    public:
        template<bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& error) { error = {}; }

        template<class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            error = {};
            return count;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

} // namespace waxwing

#endif
