/** @file datagram_base.h The task that exchanges authenticated UDP datagrams between nodes. Compiles as
 * C++17. */
#ifndef WAXWING_LINK_DATAGRAM_BASE_H
#define WAXWING_LINK_DATAGRAM_BASE_H

#include "base/base.h"
#include "loop/loop.h"

#include <functional>
#include <memory>
#include <string>

namespace waxwing {

/** Maximum payload of a datagram, in bytes; it fits in one packet of an ordinary network. */
inline constexpr std::size_t datagram_payload_limit = 1200;

/** A received datagram with a valid HMAC. */
struct datagram {
    endpoint m_from;       ///< The sender's address.
    std::string m_payload; ///< The payload without the HMAC.
};

/** Counters of the datagram task since its start. */
struct datagram_counters {
    std::uint64_t m_bytes_in = 0;  ///< Bytes received, without UDP headers.
    std::uint64_t m_bytes_out = 0; ///< Bytes sent, without UDP headers.
    std::uint64_t m_refused = 0;   ///< Datagrams without a valid HMAC or of invalid length.
};

/**
 * Sends and receives datagrams, each authenticated by an HMAC under the shared key.
 * Thread safety: for use by the loop's thread only.
 */
class datagram_task {
public:
    using handler = std::function<void(datagram&&)>;

    /** Binds a socket to @p address and starts receiving. @pre @p loop outlives the task. */
    static result<std::unique_ptr<datagram_task>> open(event_loop& loop, const endpoint& address,
                                                       std::string shared_key, handler on_datagram);

    virtual ~datagram_task() = default;
    datagram_task(const datagram_task&) = delete;
    datagram_task& operator=(const datagram_task&) = delete;

    /** Sends @p payload to @p to; it may be lost. A payload above datagram_payload_limit is dropped. */
    virtual void send(const endpoint& to, std::string_view payload) = 0;

    /** Returns the counters since the start. */
    virtual const datagram_counters& counters() const = 0;

    /** Returns the bound address, with the port that the system chose. */
    virtual endpoint address() const = 0;

protected:
    datagram_task() = default;
};

} // namespace waxwing

#endif
