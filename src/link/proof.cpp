/** @file proof.cpp Handshake messages and proofs of the shared key, with OpenSSL. */
#include "link/proof_func.h"

#include "link/cbor_check_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace waxwing {

namespace {

using json = nlohmann::json;

/** Reads a version number from @p field. */
bool read_version(const json& field, std::uint16_t& version)
{
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > UINT16_MAX) {
        return false;
    }
    version = static_cast<std::uint16_t>(field.get<std::uint64_t>());
    return true;
}

/** Reads a number from @p field. */
bool read_number(const json& field, std::uint64_t& number)
{
    if (!field.is_number_unsigned()) {
        return false;
    }
    number = field.get<std::uint64_t>();
    return true;
}

/** Reads a node's name from @p field. */
bool read_name(const json& field, node_id& name)
{
    if (!field.is_string() || field.get_ref<const std::string&>().size() > node_name_limit) {
        return false;
    }
    name.m_value = field.get<std::string>();
    return true;
}

/** Reads a nonce from @p field. */
bool read_nonce(const json& field, std::string& nonce)
{
    if (!field.is_binary() || field.get_binary().size() != nonce_size) {
        return false;
    }
    nonce.assign(field.get_binary().begin(), field.get_binary().end());
    return true;
}

} // namespace

result<std::string> random_bytes(std::size_t size)
{
    std::string bytes(size, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(size)) != 1) {
        return fail(error_code::system, "the random number generator of OpenSSL failed");
    }
    return bytes;
}

std::string hmac_sha256(std::string_view key, std::string_view bytes)
{
    std::string digest(proof_size, '\0');
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         reinterpret_cast<unsigned char*>(digest.data()), &size);
    return digest;
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string make_proof(std::string_view key, link_side side, std::string_view opener_hello,
                       std::string_view acceptor_hello)
{
    const std::string label = side == link_side::opener ? "waxwing-link-opener" : "waxwing-link-acceptor";
    const json statement = json::array({label, opener_hello, acceptor_hello});
    std::string bytes;
    json::to_cbor(statement, nlohmann::detail::output_adapter<char>(bytes));
    return hmac_sha256(key, bytes);
}

result<std::uint16_t> agreed_version(const hello& a, const hello& b)
{
    const std::uint16_t version = std::min(a.m_newest, b.m_newest);
    if (version < a.m_oldest || version < b.m_oldest) {
        return fail(error_code::invalid, "the peer supports no common version");
    }
    return version;
}

std::string encode_hello(const hello& message)
{
    const json::binary_t nonce({message.m_nonce.begin(), message.m_nonce.end()});
    const json fields = json::array({message.m_newest, message.m_oldest, json(nonce), message.m_instance,
                                     message.m_message_limit, message.m_reassembly_limit,
                                     message.m_stream_limit, message.m_from.m_value, message.m_to.m_value});
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

result<hello> decode_hello(std::string_view bytes)
{
    constexpr std::size_t min_fields = 9;
    const result<std::size_t> length = checked_item_length(bytes);
    if (bytes.size() > handshake_message_limit || length.has_error() || length.value() != bytes.size()) {
        return fail(error_code::invalid, "the hello is malformed");
    }
    const json fields = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    hello message;
    const bool valid =
        fields.is_array() && fields.size() >= min_fields && read_version(fields[0], message.m_newest) &&
        read_version(fields[1], message.m_oldest) && read_nonce(fields[2], message.m_nonce) &&
        read_number(fields[3], message.m_instance) && read_number(fields[4], message.m_message_limit) &&
        read_number(fields[5], message.m_reassembly_limit) &&
        read_number(fields[6], message.m_stream_limit) && message.m_stream_limit > 0 &&
        read_name(fields[7], message.m_from) && read_name(fields[8], message.m_to);
    if (!valid) {
        return fail(error_code::invalid, "the hello is malformed");
    }
    return message;
}

} // namespace waxwing
