/** @file message_type.h The messages that nodes exchange over a link. Compiles as C++17. */
#ifndef WAXWING_LINK_MESSAGE_TYPE_H
#define WAXWING_LINK_MESSAGE_TYPE_H

#include "base/base.h"

#include <string>
#include <variant>

namespace waxwing {

/** Asks the peer to execute a call at its target. */
struct call_message {
    attempt_id m_attempt; ///< Chosen by the sender.
    call m_call;          ///< The call.
    /** Whether the receiver had no memory for the body and dropped it; never sent. */
    bool m_body_dropped = false;
};

/** Answers one call_message. */
struct answer_message {
    attempt_id m_attempt; ///< The attempt that is answered.
    answer m_answer;      ///< The answer.
};

/** Informs the peer that an attempt's answer is no longer needed; an answer still follows. */
struct cancel_message {
    attempt_id m_attempt; ///< The cancelled attempt.
};

/** Subject of a control_message, which selects the library that decodes it. */
enum class control_topic {
    configuration, ///< Revisions in force and deltas; src/config.
    quarantine,    ///< Requests that crash targets; src/policy.
    confirmation,  ///< Revisions known to be the newest ones; src/config.
    quota,         ///< Tokens of organisations; src/policy.
    departure      ///< Departures of targets; src/member.
};

/** A control plane message; its payload is CBOR encoded by the topic's library. */
struct control_message {
    control_topic m_topic = control_topic::configuration; ///< Subject of the message.
    std::string m_payload;                                ///< At most control_payload_limit bytes.
};

/** Maximum payload of a control_message, in bytes. */
inline constexpr std::size_t control_payload_limit = 64 * 1024;

/** Any message of a link. */
using link_message = std::variant<call_message, answer_message, cancel_message, control_message>;

} // namespace waxwing

#endif
