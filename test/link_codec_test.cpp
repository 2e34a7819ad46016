/** @file link_codec_test.cpp Tests of the codec of link messages. */
#include "link/cbor_check_func.h"
#include "link/link.h"
#include "link_message_generators.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <tuple>

using namespace waxwing;
using namespace waxwing_test;
using json = nlohmann::json;

namespace {

/** Returns the names and values of @p headers in order. */
std::vector<std::string> names_and_values(const header_list& headers)
{
    std::vector<std::string> texts;
    for (const header& field : headers) {
        texts.push_back(field.m_name);
        texts.push_back(field.m_value);
    }
    return texts;
}

/** Returns a tuple of the fields of each alternative, for comparison. */
struct all_fields {
    auto operator()(const call_message& message) const
    {
        const call& request = message.m_call;
        const call_context& context = request.m_context;
        return std::make_tuple(message.m_attempt, request.m_service, request.m_kind, request.m_caller,
                               request.m_idempotent, request.m_method, request.m_path,
                               names_and_values(request.m_headers), request.m_body, request.m_idempotency_key,
                               request.m_fingerprint, context.m_root, context.m_priority, context.m_time_left,
                               context.m_retry_tokens, context.m_depth, context.m_repeat);
    }
    auto operator()(const answer_message& message) const
    {
        const answer& response = message.m_answer;
        return std::make_tuple(message.m_attempt, response.m_state, response.m_rule, response.m_status,
                               names_and_values(response.m_headers), response.m_body, response.m_retry_after,
                               response.m_retry_tokens, response.m_load.m_in_progress,
                               response.m_load.m_queued, response.m_load.m_limit,
                               response.m_load.m_threshold);
    }
    auto operator()(const cancel_message& message) const { return std::make_tuple(message.m_attempt); }
    auto operator()(const control_message& message) const
    {
        return std::make_tuple(message.m_topic, message.m_payload);
    }
};

/** Returns whether @p a and @p b are equal in the fields of all_fields. */
bool equal(const link_message& a, const link_message& b)
{
    return std::visit(
        [](const auto& left, const auto& right) {
            if constexpr (std::is_same_v<decltype(left), decltype(right)>) {
                return all_fields{}(left) == all_fields{}(right);
            }
            else {
                return false;
            }
        },
        a, b);
}

/** Encodes @p fields as the array of a message without a body. */
std::string encoded(const json& fields)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

/** Encodes a cancel of attempt 7 with the additional field @p extra. */
std::string cancel_with_field(const json& extra)
{
    json fields = json::array({2, 0, 7});
    fields.push_back(extra);
    return encoded(fields);
}

} // namespace

Test(codec, any_message_round_trips)
{
    cr_assert(rc::check("decoding restores the encoded message", [] {
        const link_message message = any_message();
        const result<link_message> back = decode_message(encode_message(message));
        RC_ASSERT(back.has_value());
        RC_ASSERT(equal(message, back.value()));
    }));
}

Test(codec, a_truncated_prefix_is_refused)
{
    cr_assert(rc::check("every prefix is rejected", [] {
        const std::string bytes = encode_message(any_message());
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            RC_ASSERT(decode_message(std::string_view(bytes).substr(0, size)).has_error());
        }
        RC_ASSERT(decode_message(bytes + "x").has_error());
    }));
}

Test(codec, modified_and_random_bytes_are_decoded_or_rejected)
{
    cr_assert(rc::check("decoding terminates", [] {
        std::string bytes = encode_message(any_message());
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::arbitrary<std::size_t>(), rc::gen::arbitrary<char>()));
        for (const auto& [place, value] : changes) {
            bytes[place % bytes.size()] = value;
        }
        const result<link_message> changed = decode_message(bytes);
        if (changed.has_value()) {
            RC_ASSERT(equal(changed.value(), decode_message(encode_message(changed.value())).value()));
        }
        (void)decode_message(any<std::string>());
    }));
}

Test(codec, deep_nesting_is_refused_without_recursion)
{
    constexpr std::size_t depth = 4 * 1024 * 1024;
    const char arrays = '\x81';
    const char maps = '\xa1';
    const char texts_without_end = '\x7f';
    const char bytes_without_end = '\x5f';
    const char arrays_without_end = '\x9f';
    const char tags = '\xc1';
    for (const char item : {arrays, maps, texts_without_end, bytes_without_end, arrays_without_end, tags}) {
        cr_assert(decode_message(std::string(depth, item)).has_error());
    }
}

Test(codec, nesting_up_to_the_limit_is_accepted)
{
    const std::string deepest = std::string(cbor_depth_limit, '\x81') + '\x00';
    cr_assert(checked_item_length(deepest).has_value());
    cr_assert(checked_item_length('\x81' + deepest).has_error());
}

Test(codec, lengths_beyond_the_bytes_are_refused)
{
    const std::string max_length("\xff\xff\xff\xff\xff\xff\xff\xff", 8);
    for (const char* head : {"\x9b", "\xbb", "\x7b", "\x5b"}) {
        cr_assert(checked_item_length(head + max_length).has_error());
        cr_assert(decode_message("\x83\x02" + (head + max_length)).has_error());
    }
    const std::string pairs_that_wrap("\x80\x00\x00\x00\x00\x00\x00\x00", 8);
    cr_assert(checked_item_length("\xbb" + pairs_that_wrap).has_error());
}

Test(codec, indefinite_and_reserved_lengths_are_refused)
{
    for (unsigned type = 0; type < 8; ++type) {
        for (unsigned info = 28; info < 32; ++info) {
            const std::string bytes = static_cast<char>(type << 5U | info) + std::string(300, '\0');
            cr_assert(checked_item_length(bytes).has_error(), "type %u, info %u", type, info);
        }
    }
}

Test(codec, too_many_items_are_refused)
{
    json list = json::array();
    for (std::size_t count = 0; count < cbor_item_limit; ++count) {
        list.push_back(0);
    }
    cr_assert(checked_item_length(encoded(list)).has_error());
    list.erase(list.size() - 1);
    cr_assert(checked_item_length(encoded(list)).has_value());
}

Test(codec, fields_of_a_newer_version_are_ignored)
{
    for (const json& extra : {json("text"), json(1.5), json(), json::array({1, json::object({{"a", 2}})})}) {
        const result<link_message> read = decode_message(cancel_with_field(extra));
        cr_assert(read.has_value());
        cr_assert(std::get<cancel_message>(read.value()).m_attempt == attempt_id{7});
    }
}

Test(codec, fields_that_an_older_version_lacks_keep_their_defaults)
{
    const result<link_message> read = decode_message(encoded(json::array({1, 0, 7, "ran"})));
    cr_assert(read.has_value());
    const answer& response = std::get<answer_message>(read.value()).m_answer;
    cr_assert(response.m_state == run_state::ran && response.m_rule == rule::none && response.m_status == 0);
}

Test(codec, names_of_a_newer_version_become_unknown_and_internal)
{
    const result<link_message> read = decode_message(encoded(json::array({1, 0, 7, "half-run", "new-rule"})));
    cr_assert(read.has_value());
    const answer& response = std::get<answer_message>(read.value()).m_answer;
    cr_assert(response.m_state == run_state::unknown && response.m_rule == rule::internal);
}

Test(codec, an_answer_without_a_state_is_of_unknown_outcome)
{
    const result<link_message> read = decode_message(encoded(json::array({1, 0, 7})));
    cr_assert(read.has_value());
    cr_assert(std::get<answer_message>(read.value()).m_answer.m_state == run_state::unknown);
}

Test(codec, wrong_types_and_ranges_are_refused)
{
    const std::vector<json> wrong = {
        json::array({2, 0, "7"}),                           // an attempt that is a text
        json::array({2, 0, -7}),                            // an attempt below zero
        json::array({2, 1, 7}),                             // a body size without a body
        json::array({9, 0, 7}),                             // an unknown kind
        json::array({-1, 0, 7}),                            // a kind below zero
        json::array({1, 0, 7, "ran", "none", 65536}),       // a status that is too large
        json::array({1, 0, 7, 1}),                          // a state that is a number
        json::array({1, 0, 7, "ran", "none", 1, {"a"}}),    // a header without its value
        json::array({1, 0, 7, "ran", "none", 1, {"a", 1}}), // a value that is a number
        json::array({1, 0, 7, "ran", "none", 1, "a"}),      // headers that are a text
        json::array({3, 0, "weather"}),                     // an unknown topic
        json::array({3, 0}),                                // no topic
        json::array({2}),                                   // no body size
        json::array(),                                      // nothing
        json::object({{"kind", 2}}),                        // a map
        json(7),
    };
    for (const json& fields : wrong) {
        cr_assert(decode_message(encoded(fields)).has_error(), "%s", fields.dump().c_str());
    }
}

Test(codec, a_control_payload_above_its_limit_is_refused)
{
    const std::string longest(control_payload_limit, 'x');
    cr_assert(
        decode_message(encode_message(control_message{control_topic::quarantine, longest})).has_value());
    cr_assert(decode_message(encode_message(control_message{control_topic::quarantine, longest + 'x'}))
                  .has_error());
}
