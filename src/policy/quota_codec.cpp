/** @file quota_codec.cpp Quota messages as CBOR: [0, incarnation, number, [[organisation, wanted, returned,
 * number of the request that is returned]]] for a request; [1, incarnation, number, [[organisation, granted,
 * wait in ms]]] for an answer. */
#include "policy/quota_type.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

constexpr std::size_t max_bytes = 64UL * 1024UL; ///< Size of a control message.
constexpr std::size_t max_depth = 3;             ///< Nesting of arrays.
constexpr std::size_t message_fields = 4;
constexpr std::size_t request_fields = 4;
constexpr std::size_t answer_fields = 3;
constexpr std::uint64_t max_tokens = 10'000'000;
constexpr std::uint64_t max_wait_ms = 24ULL * 3600 * 1000;

/** Returns whether @p fields are @p count numbers after @p skipped other fields. */
bool are_numbers(const nlohmann::json& fields, std::size_t skipped, std::size_t count)
{
    if (!fields.is_array() || fields.size() != skipped + count) {
        return false;
    }
    return std::all_of(fields.begin() + static_cast<std::ptrdiff_t>(skipped), fields.end(),
                       [](const nlohmann::json& field) { return field.is_number_unsigned(); });
}

/** Reads the item @p fields of a request. @return false if it is malformed or out of range. */
bool read_item(const nlohmann::json& fields, quota_request_item& item)
{
    if (!are_numbers(fields, 1, request_fields - 1) || !fields[0].is_string()) {
        return false;
    }
    const auto wanted = fields[1].get<std::uint64_t>();
    const auto returned = fields[2].get<std::uint64_t>();
    if (wanted > max_tokens || returned > max_tokens) {
        return false;
    }
    item = {organisation_name{fields[0].get<std::string>()}, static_cast<std::uint32_t>(wanted),
            static_cast<std::uint32_t>(returned), fields[3].get<std::uint64_t>()};
    return true;
}

/** Reads the item @p fields of an answer. @return false if it is malformed or out of range. */
bool read_item(const nlohmann::json& fields, quota_answer_item& item)
{
    if (!are_numbers(fields, 1, answer_fields - 1) || !fields[0].is_string()) {
        return false;
    }
    const auto granted = fields[1].get<std::uint64_t>();
    const auto wait = fields[2].get<std::uint64_t>();
    if (granted > max_tokens || wait > max_wait_ms) {
        return false;
    }
    item = {organisation_name{fields[0].get<std::string>()}, static_cast<std::uint32_t>(granted),
            std::chrono::milliseconds(static_cast<std::int64_t>(wait))};
    return true;
}

nlohmann::json to_json(const quota_request_item& item)
{
    return {item.m_organisation.m_value, std::min<std::uint64_t>(item.m_wanted, max_tokens),
            std::min<std::uint64_t>(item.m_returned, max_tokens), item.m_returned_request};
}

nlohmann::json to_json(const quota_answer_item& item)
{
    // Rounded up, so that an available token is never announced too early, and zero stays distinct.
    const auto wait = static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(std::max(item.m_wait, duration::zero())).count());
    return {item.m_organisation.m_value, std::min<std::uint64_t>(item.m_granted, max_tokens),
            std::min(wait, max_wait_ms)};
}

/** Reads a message of the type @p Message from its @p fields. */
template<class Message>
result<quota_message> read_message(const nlohmann::json& fields)
{
    Message message;
    message.m_incarnation = {fields[1].get<std::uint64_t>()};
    message.m_number = fields[2].get<std::uint64_t>();
    message.m_items.resize(fields[3].size());
    for (std::size_t index = 0; index < message.m_items.size(); ++index) {
        if (!read_item(fields[3][index], message.m_items[index])) {
            return fail(error_code::invalid,
                        "quota item " + std::to_string(index) + " is malformed or out of range");
        }
    }
    return quota_message(std::move(message));
}

} // namespace

std::string encode_quota(const quota_message& message)
{
    nlohmann::json list = nlohmann::json::array();
    const auto encode = [&](const auto& content) {
        nlohmann::json items = nlohmann::json::array();
        for (const auto& item : content.m_items) {
            items.push_back(to_json(item));
        }
        list = {message.index(), content.m_incarnation.m_value, content.m_number, std::move(items)};
    };
    std::visit(encode, message);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(list);
    return {bytes.begin(), bytes.end()};
}

result<quota_message> decode_quota(std::string_view bytes)
{
    if (bytes.size() > max_bytes || !is_bounded_cbor(bytes, max_depth)) {
        return fail(error_code::invalid, "the quota message exceeds 64 KiB or is not CBOR of this form");
    }
    const nlohmann::json fields = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!fields.is_array() || fields.size() != message_fields || !fields[0].is_number_unsigned() ||
        !fields[1].is_number_unsigned() || !fields[2].is_number_unsigned() || !fields[3].is_array()) {
        return fail(error_code::invalid, "the quota message is not an array of the expected form");
    }
    const auto type = fields[0].get<std::uint64_t>();
    if (type > 1) {
        return fail(error_code::invalid, "the quota message is of an unknown type");
    }
    return type == 0 ? read_message<quota_request>(fields) : read_message<quota_answer>(fields);
}

} // namespace waxwing
