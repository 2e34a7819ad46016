/** @file cbor_guard_test.cpp Tests of the validation of CBOR bytes. */
#include "base/base.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

constexpr std::size_t max_depth = 4;

/** Returns the CBOR encoding of @p levels nested arrays. */
std::string nested(std::size_t levels)
{
    return std::string(levels - 1, '\x81') + '\x80';
}

} // namespace

Test(cbor_guard, limits_the_nesting_depth)
{
    cr_assert(is_bounded_cbor(nested(max_depth), max_depth));
    cr_assert(!is_bounded_cbor(nested(max_depth + 1), max_depth));
    cr_assert(!is_bounded_cbor(nested(1000000), max_depth));
}

Test(cbor_guard, refuses_excessive_lengths_tags_and_indefinite_lengths)
{
    using namespace std::string_view_literals;
    for (const std::string_view bytes :
         {""sv, "\x9b\x10\0\0\0\0\0\0\0"sv, "\xbb\xff\xff\xff\xff\xff\xff\xff\xff"sv, "\x62\x61"sv,
          "\x9f\xff"sv, "\x5f\xff"sv, "\xc0\x01"sv, "\x01\x01"sv, "\x18"sv, "\x1c"sv, "\x82\x01"sv}) {
        cr_assert(!is_bounded_cbor(bytes, max_depth));
    }
    cr_assert(is_bounded_cbor("\x82\x01\x61\x61"sv, max_depth));
}

Test(cbor_guard, accepts_library_output_and_only_what_the_library_decodes)
{
    const nlohmann::json value = {1, -1, 1ULL << 40U, "text", true, nullptr, 1.5, {{"key", {1, 2}}}};
    const std::vector<std::uint8_t> encoded = nlohmann::json::to_cbor(value);
    const std::string valid_bytes(encoded.begin(), encoded.end());
    cr_assert(is_bounded_cbor(valid_bytes, max_depth));
    cr_assert(rc::check("corrupted bytes that pass are decoded without an exception", [&] {
        std::string bytes = valid_bytes;
        const int changes = *rc::gen::inRange(1, 4);
        for (int change = 0; change < changes; ++change) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        if (is_bounded_cbor(bytes, max_depth)) {
            RC_ASSERT(nlohmann::json::from_cbor(bytes, true, false).size() < bytes.size());
        }
    }));
}
