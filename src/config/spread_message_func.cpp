/** @file spread_message_func.cpp Encoding of the messages by which nodes exchange revisions. */
#include "config/spread_message_func.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr std::size_t message_depth = 2;
constexpr std::uint64_t request_type = 0;
constexpr std::uint64_t no_update_type = 1;
constexpr std::uint64_t page_type = 2;
constexpr std::size_t short_message_size = 2;
constexpr std::size_t page_message_size = 6;

json::binary_t to_binary(const std::string& text)
{
    return json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string to_text(const json& binary)
{
    const json::binary_t& bytes = binary.get_binary();
    return std::string(bytes.begin(), bytes.end());
}

json to_json(const spread_request& message)
{
    return json::array({request_type, message.m_known_revision.m_value});
}

json to_json(const spread_no_update& message)
{
    return json::array({no_update_type, message.m_known_revision.m_value});
}

json to_json(const spread_page& message)
{
    return json::array({page_type, to_binary(encode_revision(message.m_info)), message.m_base.m_value,
                        message.m_page, message.m_pages, to_binary(message.m_data)});
}

/** Decodes a page message from its array of fields. */
result<spread_message> read_page(const json& fields)
{
    const auto decode_error = fail(error_code::invalid, "the configuration page message is malformed");
    if (fields.size() != page_message_size || !fields[1].is_binary() || !fields[2].is_number_unsigned() ||
        !fields[3].is_number_unsigned() || !fields[4].is_number_unsigned() || !fields[5].is_binary()) {
        return decode_error;
    }
    const result<revision_info> info = decode_revision(to_text(fields[1]));
    const auto page = fields[3].get<std::uint64_t>();
    const auto pages = fields[4].get<std::uint64_t>();
    if (info.has_error() || pages > spread_page_limit || page >= pages) {
        return decode_error;
    }
    return spread_message(spread_page{info.value(), revision{fields[2].get<std::uint64_t>()},
                                      static_cast<std::uint32_t>(page), static_cast<std::uint32_t>(pages),
                                      to_text(fields[5])});
}

} // namespace

std::string encode_spread(const spread_message& message)
{
    std::string bytes;
    json::to_cbor(std::visit([](const auto& each) { return to_json(each); }, message), bytes);
    return bytes;
}

result<spread_message> decode_spread(std::string_view bytes)
{
    const auto decode_error = fail(error_code::invalid, "the configuration message is malformed");
    if (!is_bounded_cbor(bytes, message_depth)) {
        return decode_error;
    }
    const json decoded = json::from_cbor(bytes, true, false);
    if (!decoded.is_array() || decoded.size() < short_message_size || !decoded[0].is_number_unsigned()) {
        return decode_error;
    }
    const auto type = decoded[0].get<std::uint64_t>();
    if (type == page_type) {
        return read_page(decoded);
    }
    if (decoded.size() != short_message_size || !decoded[1].is_number_unsigned()) {
        return decode_error;
    }
    const revision known_revision{decoded[1].get<std::uint64_t>()};
    if (type == request_type) {
        return spread_message(spread_request{known_revision});
    }
    if (type == no_update_type) {
        return spread_message(spread_no_update{known_revision});
    }
    return decode_error;
}

} // namespace waxwing
