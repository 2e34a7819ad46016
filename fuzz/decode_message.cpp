/** @file decode_message.cpp libFuzzer target for the decoders of untrusted bytes from peers. */
#include "link/chunk_receiver_base.h"
#include "link/codec_func.h"
#include "link/proof_func.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace {

/** Limits small enough for random input to exceed. */
constexpr waxwing::chunk_limits limits{4096, 8192, 3};

/** Aborts unless @p condition holds, so that libFuzzer saves the input. */
void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

/** Checks that a decoded message survives encoding and decoding unchanged. */
void check_message(std::string_view bytes)
{
    const auto message = waxwing::decode_message(bytes);
    if (message.has_error()) {
        return;
    }
    const std::string encoded = waxwing::encode_message(message.value());
    const auto decoded_again = waxwing::decode_message(encoded);
    require(decoded_again.has_value() && waxwing::encode_message(decoded_again.value()) == encoded);
}

/** Checks that a decoded hello can be encoded and decoded again. */
void check_hello(std::string_view bytes)
{
    const auto hello = waxwing::decode_hello(bytes);
    if (hello.has_value()) {
        require(waxwing::decode_hello(waxwing::encode_hello(hello.value())).has_value());
    }
}

/** Checks that frames, each preceded by a length byte, never exceed the limits. */
void check_frames(std::string_view bytes)
{
    waxwing::chunk_receiver receiver(limits);
    while (!bytes.empty()) {
        const std::size_t size = static_cast<std::uint8_t>(bytes.front());
        const auto incoming = receiver.accept(bytes.substr(1, size));
        require(receiver.buffered_bytes() <= limits.m_reassembly);
        if (incoming.has_error()) {
            return;
        }
        require(!incoming.value().m_complete || incoming.value().message().size() <= limits.m_message);
        bytes.remove_prefix(std::min(bytes.size(), size + 1));
    }
}

} // namespace

/** Called by libFuzzer with each input. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    check_message(bytes);
    check_hello(bytes);
    check_frames(bytes);
    return 0;
}
