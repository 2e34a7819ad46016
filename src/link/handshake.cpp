/** @file handshake.cpp The handshake by which both sides of a link prove that they know the shared key. */
#include "link/handshake_base.h"

#include <utility>

namespace waxwing {

handshake::handshake(handshake_settings settings) : m_settings(std::move(settings))
{
    if (m_settings.m_side == link_side::opener) {
        m_settings.m_hello.m_from = m_settings.m_self;
        m_settings.m_hello.m_to = m_settings.m_peer;
    }
    m_own_hello = encode_hello(m_settings.m_hello);
}

result<handshake_step> handshake::accept(std::string_view bytes)
{
    return m_encoded_peer_hello.empty() ? accept_hello(bytes) : accept_proof(bytes);
}

const node_id& handshake::peer() const
{
    return m_settings.m_side == link_side::opener ? m_settings.m_peer : m_peer_hello.m_from;
}

result<handshake_step> handshake::accept_hello(std::string_view bytes)
{
    result<hello> message = decode_hello(bytes);
    if (message.has_error()) {
        return message.error();
    }
    m_peer_hello = std::move(message).value();
    m_encoded_peer_hello = bytes;
    if (const result<std::uint16_t> version = agreed_version(m_settings.m_hello, m_peer_hello);
        version.has_error()) {
        return version.error();
    }
    if (m_settings.m_side == link_side::opener) {
        return handshake_step{proof_of(link_side::opener), false};
    }
    if (!names_match()) {
        return fail(error_code::unauthorised,
                    "the hello is not addressed to this node, or its sender is empty or this node");
    }
    return handshake_step{m_own_hello, false};
}

result<handshake_step> handshake::accept_proof(std::string_view bytes)
{
    const bool opener = m_settings.m_side == link_side::opener;
    const std::string expected = proof_of(opener ? link_side::acceptor : link_side::opener);
    if (!equal_in_constant_time(bytes, expected)) {
        return fail(error_code::unauthorised, "the peer's proof of the shared key is wrong");
    }
    return handshake_step{opener ? std::string() : proof_of(link_side::acceptor), true};
}

bool handshake::names_match() const
{
    return m_peer_hello.m_to == m_settings.m_self && !m_peer_hello.m_from.empty() &&
           m_peer_hello.m_from != m_settings.m_self;
}

std::string handshake::proof_of(link_side side) const
{
    const bool opener = m_settings.m_side == link_side::opener;
    return make_proof(m_settings.m_key, side, opener ? m_own_hello : m_encoded_peer_hello,
                      opener ? m_encoded_peer_hello : m_own_hello);
}

} // namespace waxwing
