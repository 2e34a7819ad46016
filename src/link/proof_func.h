/** @file proof_func.h Handshake messages and proofs of the shared key. C++17. */
#ifndef WAXWING_LINK_PROOF_FUNC_H
#define WAXWING_LINK_PROOF_FUNC_H

#include "base/base.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing {

/** The newest supported version of the link protocol. */
inline constexpr std::uint16_t link_version_newest = 1;

/** The oldest supported version of the link protocol. */
inline constexpr std::uint16_t link_version_oldest = 1;

/** Length of a nonce, in bytes. */
inline constexpr std::size_t nonce_size = 32;

/** Length of a proof, in bytes. */
inline constexpr std::size_t proof_size = 32;

/** Maximum length of a node's name, in bytes. */
inline constexpr std::size_t node_name_limit = 255;

/** Maximum length of a handshake message, in bytes. */
inline constexpr std::size_t handshake_message_limit = 1024;

/** The first handshake message of each side. */
struct hello {
    std::uint16_t m_newest = link_version_newest; ///< The newest version that the sender supports.
    std::uint16_t m_oldest = link_version_oldest; ///< The oldest version that the sender supports.
    std::string m_nonce;                          ///< nonce_size random bytes.
    std::uint64_t m_instance = 0;                 ///< Random id of the sender's link task.
    std::uint64_t m_message_limit = 0;    ///< Maximum message length that the sender accepts, in bytes.
    std::uint64_t m_reassembly_limit = 0; ///< Maximum total length of concurrent chunked messages, in bytes.
    std::uint64_t m_stream_limit = 1;     ///< Maximum number of concurrent chunked messages; not zero.
    node_id m_from;                       ///< The opener's name; empty in the acceptor's hello.
    node_id m_to; ///< The peer that the opener expects; empty in the acceptor's hello.
};

/** The side of a link. It is part of each proof, so that a proof can't be reflected to its sender. */
enum class link_side : std::uint8_t { opener, acceptor };

/** Returns @p size bytes from OpenSSL's cryptographic random number generator. */
result<std::string> random_bytes(std::size_t size);

/** Computes HMAC-SHA256 of @p bytes under @p key. */
std::string hmac_sha256(std::string_view key, std::string_view bytes);

/** Compares @p a and @p b in a time that does not depend on where they differ. */
bool equal_in_constant_time(std::string_view a, std::string_view b);

/**
 * Computes the proof that @p side knows @p key. It covers both encoded hellos as they were sent, and so
 * versions, nonces, instances, names, and fields that only one side's version knows.
 */
std::string make_proof(std::string_view key, link_side side, std::string_view opener_hello,
                       std::string_view acceptor_hello);

/** Returns the newest version that both sides support; an error if there is none. */
result<std::uint16_t> agreed_version(const hello& a, const hello& b);

/** Encodes @p message as CBOR. */
std::string encode_hello(const hello& message);

/** Decodes the output of encode_hello. Safe on untrusted input. @return an error if it is malformed. */
result<hello> decode_hello(std::string_view bytes);

} // namespace waxwing

#endif
