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

/** Times of a liveness. */
struct liveness_settings {
    duration m_heartbeat;        ///< Interval of pings on an idle link.
    duration m_silence_timeout;  ///< Maximum time without received bytes.
    duration m_request_patience; ///< Time without received bytes after a request until a ping.
    duration m_answer_timeout;   ///< Maximum time without received bytes after a ping.
};

/**
 * Decides when to ping a link and when to close it as dead. A link on which an answer is due is pinged
 * early, since the call may be lost on a connection that went silent without a reset. Thread safety: for use
 * by one thread only.
 */
class liveness {
public:
    /** @pre All times are positive, and the heartbeat interval is less than the silence timeout. */
    liveness(const liveness_settings& settings, instant now)
        : m_settings(settings), m_last_received_at(now), m_last_pinged_at(now)
    {
    }

    /** Records that bytes were received at @p now. */
    void on_bytes_received(instant now)
    {
        m_last_received_at = now;
        m_request_sent_at = instant::max();
        m_answer_due_at = instant::max();
    }

    /** Records that a message that asks for an answer was sent at @p now. @return whether next_due may be
     * earlier than before. */
    bool on_request_sent(instant now)
    {
        if (m_request_sent_at != instant::max()) {
            return false;
        }
        m_request_sent_at = now;
        return true;
    }

    /** Records that the connection took bytes at @p now that had to wait: the peer acknowledges earlier ones,
     * and a ping may still be on its way behind them. */
    void on_progress(instant now)
    {
        if (m_answer_due_at != instant::max()) {
            m_answer_due_at = now + m_settings.m_answer_timeout;
        }
    }

    /** Returns the action at @p now; on `ping`, assumes that the caller sends one. */
    liveness_step decide(instant now)
    {
        if (now >= close_due()) {
            return liveness_step::close;
        }
        if (now < ping_due()) {
            return liveness_step::wait;
        }
        m_last_pinged_at = now;
        if (m_answer_due_at == instant::max()) {
            m_answer_due_at = now + m_settings.m_answer_timeout;
        }
        return liveness_step::ping;
    }

    /** Returns when decide may next return something other than `wait`. */
    instant next_due() const { return std::min(ping_due(), close_due()); }

private:
    /** Returns when the next ping is due. */
    instant ping_due() const
    {
        const instant heartbeat_due = std::max(m_last_received_at, m_last_pinged_at) + m_settings.m_heartbeat;
        const bool awaits_answer = m_request_sent_at != instant::max() && m_answer_due_at == instant::max();
        return awaits_answer ? std::min(heartbeat_due, m_request_sent_at + m_settings.m_request_patience)
                             : heartbeat_due;
    }

    /** Returns when the link is to be closed if nothing is received. */
    instant close_due() const
    {
        return std::min(m_last_received_at + m_settings.m_silence_timeout, m_answer_due_at);
    }

    liveness_settings m_settings;
    instant m_last_received_at; ///< When bytes were last received.
    instant m_last_pinged_at;   ///< When the last ping was sent.
    /** When the first request since bytes were received was sent; max if there is none. */
    instant m_request_sent_at = instant::max();
    /** When the answer to the first ping since bytes were received is due; max if there is none. */
    instant m_answer_due_at = instant::max();
};

} // namespace waxwing

#endif
