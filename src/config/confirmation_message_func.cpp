/** @file confirmation_message_func.cpp Confirmation messages as CBOR: [0, id] and [1, id, revision] or
 * [1, id, revision, age in us]. */
#include "config/confirmation_message_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr std::size_t message_depth = 1;
constexpr std::uint64_t request_type = 0;
constexpr std::uint64_t answer_type = 1;
constexpr std::size_t request_size = 2;
constexpr std::uint64_t max_age_us =
    std::chrono::duration_cast<std::chrono::microseconds>(max_confirmation_age).count();
constexpr std::size_t answer_size = 3;       ///< Without an age.
constexpr std::size_t dated_answer_size = 4; ///< With an age.

json to_json(const confirmation_request& message)
{
    return json::array({request_type, message.m_id});
}

json to_json(const confirmation_answer& message)
{
    json fields = json::array({answer_type, message.m_id, message.m_revision.m_value});
    if (message.m_age.has_value() && *message.m_age <= max_confirmation_age) {
        const auto age = std::chrono::ceil<std::chrono::microseconds>(*message.m_age);
        fields.push_back(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
    }
    return fields;
}

} // namespace

std::string encode_confirmation(const confirmation_message& message)
{
    std::string bytes;
    json::to_cbor(std::visit([](const auto& each) { return to_json(each); }, message), bytes);
    return bytes;
}

result<confirmation_message> decode_confirmation(std::string_view bytes)
{
    const auto decode_error = fail(error_code::invalid, "the confirmation message is malformed");
    if (!is_bounded_cbor(bytes, message_depth)) {
        return decode_error;
    }
    const json fields = json::from_cbor(bytes, true, false);
    if (!fields.is_array() || fields.size() < request_size || fields.size() > dated_answer_size ||
        !std::all_of(fields.begin(), fields.end(),
                     [](const json& each) { return each.is_number_unsigned(); })) {
        return decode_error;
    }
    const auto type = fields[0].get<std::uint64_t>();
    const auto id = fields[1].get<std::uint64_t>();
    if (type == request_type && fields.size() == request_size) {
        return confirmation_message(confirmation_request{id});
    }
    if (type != answer_type || fields.size() < answer_size) {
        return decode_error;
    }
    confirmation_answer answer{id, revision{fields[2].get<std::uint64_t>()}, std::nullopt};
    if (fields.size() == dated_answer_size) {
        const auto age_us = fields[3].get<std::uint64_t>();
        if (age_us > max_age_us) {
            return decode_error;
        }
        answer.m_age = std::chrono::microseconds(static_cast<std::int64_t>(age_us));
    }
    return confirmation_message(answer);
}

} // namespace waxwing
