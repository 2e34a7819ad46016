/** @file handshake_base.h The handshake by which both sides prove that they know the shared key. C++17. */
#ifndef WAXWING_LINK_HANDSHAKE_BASE_H
#define WAXWING_LINK_HANDSHAKE_BASE_H

#include "link/proof_func.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/** Settings of one side of a handshake. */
struct handshake_settings {
    link_side m_side = link_side::opener; ///< The side of the link.
    std::string_view m_key;               ///< The shared key; must outlive the handshake.
    node_id m_self;                       ///< This node.
    node_id m_peer;                       ///< The expected peer; unused by the acceptor.
    hello m_hello;                        ///< The hello of this side; the handshake fills in its names.
};

/** Result of a handshake message. */
struct handshake_step {
    std::string m_reply;          ///< Message to send; empty if none.
    bool m_authenticated = false; ///< Whether both sides have proven the key, counting the proof in m_reply.
};

/**
 * One handshake: hello, hello, the opener's proof, the acceptor's proof. Before the opener
 * has proven the key, the acceptor sends only its versions, nonce, instance and limits, and no names.
 * Thread safety: for use by one thread only.
 */
class handshake {
public:
    explicit handshake(handshake_settings settings);

    /** Returns the opener's first message. @pre This is the opener. */
    const std::string& first_message() const { return m_own_hello; }

    /** Processes the peer's next message; after an error the link must end. @pre Not done, no error so far.
     */
    result<handshake_step> accept(std::string_view bytes);

    /** Returns the peer's name; authenticated only once the handshake is done. */
    const node_id& peer() const;

    /** Returns the peer's hello. @pre The handshake is done. */
    const hello& peer_hello() const { return m_peer_hello; }

private:
    result<handshake_step> accept_hello(std::string_view bytes);
    result<handshake_step> accept_proof(std::string_view bytes);
    bool names_match() const;
    std::string proof_of(link_side side) const;

    handshake_settings m_settings;
    std::string m_own_hello;          ///< This side's encoded hello.
    std::string m_encoded_peer_hello; ///< The peer's encoded hello; empty until received.
    hello m_peer_hello;               ///< The peer's hello, decoded.
};

} // namespace waxwing

#endif
