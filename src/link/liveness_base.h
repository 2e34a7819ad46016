/** @file liveness_base.h Heartbeat and silence timeout of a link. C++17. */
#ifndef WAXWING_LINK_LIVENESS_BASE_H
#define WAXWING_LINK_LIVENESS_BASE_H

#include "base/base.h"

#include <algorithm>

namespace waxwing {

/** Next action for a link. */
enum class liveness_step {
    wait, ///< Do nothing until liveness::next_due.
    ping, ///< Send a ping.
    close ///< Close the link: the silence timeout has expired.
};

/** Decides when to ping a link and when to close it as dead. Thread safety: for use by one thread only. */
class liveness {
public:
    /** @pre 0 < @p heartbeat_interval < @p silence_timeout. */
    liveness(duration heartbeat_interval, duration silence_timeout, instant now)
        : m_heartbeat_interval(heartbeat_interval), m_silence_timeout(silence_timeout),
          m_last_received_at(now), m_last_pinged_at(now)
    {
    }

    /** Records that bytes were received at @p now. */
    void on_bytes_received(instant now) { m_last_received_at = now; }

    /** Returns the action at @p now; on `ping`, assumes that the caller sends one. */
    liveness_step decide(instant now)
    {
        if (now - m_last_received_at >= m_silence_timeout) {
            return liveness_step::close;
        }
        if (now < ping_due()) {
            return liveness_step::wait;
        }
        m_last_pinged_at = now;
        return liveness_step::ping;
    }

    /** Returns when decide may next return something other than `wait`. */
    instant next_due() const { return std::min(ping_due(), m_last_received_at + m_silence_timeout); }

private:
    /** Returns when the next ping is due. */
    instant ping_due() const { return std::max(m_last_received_at, m_last_pinged_at) + m_heartbeat_interval; }

    duration m_heartbeat_interval;
    duration m_silence_timeout;
    instant m_last_received_at; ///< When bytes were last received.
    instant m_last_pinged_at;   ///< When the last ping was sent.
};

} // namespace waxwing

#endif
