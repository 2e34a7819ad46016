/** @file codec.cpp Encodes a message as a CBOR array followed by its body or payload as plain bytes. */
#include "link/codec_func.h"

#include "link/cbor_check_func.h"
#include "link/table/names.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace waxwing {

namespace {

using json = nlohmann::json;

/** Message kinds on the wire; append only. */
enum class wire_kind : std::uint8_t { call, answer, cancel, control };

/** Indexes of the fields that all messages share; append only. */
enum common_field : std::size_t { kind_index, body_size_index, first_field_index };

/** Converts @p headers to an array of alternating names and values. */
json to_json(const header_list& headers)
{
    json list = json::array();
    for (const header& field : headers) {
        list.push_back(field.m_name);
        list.push_back(field.m_value);
    }
    return list;
}

/** Encodes the array @p fields. */
std::string encode_fields(const json& fields)
{
    std::string bytes;
    constexpr std::size_t typical_header_size = 512;
    bytes.reserve(typical_header_size);
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

/** Encodes the array of each alternative of link_message. */
struct message_encoder {
    std::string operator()(const call_message& message) const
    {
        const call& request = message.m_call;
        const call_context& context = request.m_context;
        return encode_fields(json::array(
            {wire_kind::call, request.m_body.size(), message.m_attempt.m_value, request.m_service.m_value,
             request.m_kind.m_value, request.m_caller.m_value, request.m_idempotent, request.m_method,
             request.m_path, to_json(request.m_headers), request.m_idempotency_key, request.m_fingerprint,
             context.m_root.m_value, context.m_priority.m_value, context.m_time_left.count(),
             context.m_retry_tokens, context.m_depth, request.m_crashes, context.m_repeat}));
    }

    std::string operator()(const answer_message& message) const
    {
        const answer& response = message.m_answer;
        const load_report& load = response.m_load;
        return encode_fields(json::array(
            {wire_kind::answer, response.m_body.size(), message.m_attempt.m_value,
             to_string(response.m_state), info_of(response.m_rule).m_name, response.m_status,
             to_json(response.m_headers), response.m_retry_after.count(), response.m_retry_tokens,
             json::array({load.m_in_progress, load.m_queued, load.m_limit, load.m_threshold.m_value}),
             response.m_final}));
    }

    std::string operator()(const cancel_message& message) const
    {
        return encode_fields(json::array({wire_kind::cancel, 0U, message.m_attempt.m_value}));
    }

    std::string operator()(const control_message& message) const
    {
        return encode_fields(json::array(
            {wire_kind::control, message.m_payload.size(), name_in(control_topic_names, message.m_topic)}));
    }
};

/**
 * Reads the fields of a CBOR array in order. A field omitted by a sender of an older version keeps its
 * default; fields added by a newer version are ignored. A field of the wrong type or out of range makes the
 * whole message malformed.
 */
class field_reader {
public:
    field_reader(const json& fields, std::size_t from) : m_fields(fields), m_next(from) {}

    /** Reads the next field into the integer or bool @p value. */
    template<class Value, std::enable_if_t<std::is_integral_v<Value>, int> = 0>
    void read(Value& value)
    {
        const json* field = next();
        if (field == nullptr) {
            return;
        }
        if constexpr (std::is_same_v<Value, bool>) {
            field->is_boolean() ? void(value = field->get<bool>()) : void(m_valid = false);
        }
        else if (field->is_number_unsigned()) {
            store(value, field->get<std::uint64_t>());
        }
        else if (std::is_signed_v<Value> && field->is_number_integer()) {
            value = static_cast<Value>(field->get<std::int64_t>());
        }
        else {
            m_valid = false;
        }
    }

    /** Reads the next field into @p value. */
    void read(std::string& value)
    {
        if (const json* field = next(); field != nullptr) {
            copy_text(*field, value);
        }
    }

    /** Reads the next field into @p value. */
    void read(duration& value)
    {
        std::int64_t count = value.count();
        read(count);
        value = duration(count);
    }

    /** Reads the next field into @p headers. */
    void read(header_list& headers)
    {
        const json* field = next();
        if (field == nullptr) {
            return;
        }
        if (!field->is_array() || field->size() % 2 != 0) {
            m_valid = false;
            return;
        }
        headers.resize(field->size() / 2);
        for (std::size_t index = 0; index < headers.size(); ++index) {
            copy_text((*field)[2 * index], headers[index].m_name);
            copy_text((*field)[2 * index + 1], headers[index].m_value);
        }
    }

    /** Reads the next field, an array, into @p load. */
    void read(load_report& load)
    {
        const json* field = next();
        if (field == nullptr) {
            return;
        }
        if (!field->is_array()) {
            m_valid = false;
            return;
        }
        field_reader inner(*field, 0);
        inner.read(load.m_in_progress);
        inner.read(load.m_queued);
        inner.read(load.m_limit);
        inner.read(load.m_threshold.m_value);
        m_valid = m_valid && inner.valid();
    }

    /** Returns whether every field read so far had the right type and was in range. */
    bool valid() const { return m_valid; }

private:
    /** Returns the next field; null if the sender omitted it. */
    const json* next() { return m_next < m_fields.size() ? &m_fields[m_next++] : nullptr; }

    /** Stores @p number in @p value if it is in range. */
    template<class Value>
    void store(Value& value, std::uint64_t number)
    {
        if (number > static_cast<std::uint64_t>(std::numeric_limits<Value>::max())) {
            m_valid = false;
            return;
        }
        value = static_cast<Value>(number);
    }

    /** Copies the text @p field to @p value. */
    void copy_text(const json& field, std::string& value)
    {
        if (!field.is_string()) {
            m_valid = false;
            return;
        }
        value = field.get_ref<const std::string&>();
    }

    const json& m_fields;
    std::size_t m_next;
    bool m_valid = true;
};

/** Creates the error for a malformed message of type @p what. */
auto malformed_field(std::string_view what)
{
    return fail(error_code::invalid, "the " + std::string(what) + " message has a malformed field");
}

/** Decodes a call_message. */
result<link_message> read_call(const json& fields, shared_body body, bool body_dropped)
{
    call_message message;
    call& request = message.m_call;
    field_reader reader(fields, first_field_index);
    reader.read(message.m_attempt.m_value);
    reader.read(request.m_service.m_value);
    reader.read(request.m_kind.m_value);
    reader.read(request.m_caller.m_value);
    reader.read(request.m_idempotent);
    reader.read(request.m_method);
    reader.read(request.m_path);
    reader.read(request.m_headers);
    reader.read(request.m_idempotency_key);
    reader.read(request.m_fingerprint);
    reader.read(request.m_context.m_root.m_value);
    reader.read(request.m_context.m_priority.m_value);
    reader.read(request.m_context.m_time_left);
    reader.read(request.m_context.m_retry_tokens);
    reader.read(request.m_context.m_depth);
    reader.read(request.m_crashes);
    reader.read(request.m_context.m_repeat);
    if (!reader.valid()) {
        return malformed_field("call");
    }
    request.m_body = std::move(body);
    message.m_body_dropped = body_dropped;
    return link_message(std::move(message));
}

/** Decodes an answer_message. A state or rule of a newer version becomes `unknown` or `internal`. */
result<link_message> read_answer(const json& fields, shared_body body, bool body_dropped)
{
    answer_message message;
    answer& response = message.m_answer;
    std::string state;
    std::string rule_name(info_of(rule::none).m_name);
    field_reader reader(fields, first_field_index);
    reader.read(message.m_attempt.m_value);
    reader.read(state);
    reader.read(rule_name);
    reader.read(response.m_status);
    reader.read(response.m_headers);
    reader.read(response.m_retry_after);
    reader.read(response.m_retry_tokens);
    reader.read(response.m_load);
    reader.read(response.m_final);
    if (!reader.valid()) {
        return malformed_field("answer");
    }
    response.m_state = run_state_of(state).value_or(run_state::unknown);
    response.m_rule = rule_of(rule_name).value_or(rule::internal);
    response.m_body = std::move(body);
    if (body_dropped) {
        response.m_rule = rule::out_of_memory;
        response.m_headers.clear();
    }
    return link_message(std::move(message));
}

/** Decodes a cancel_message. */
result<link_message> read_cancel(const json& fields)
{
    cancel_message message;
    field_reader reader(fields, first_field_index);
    reader.read(message.m_attempt.m_value);
    if (!reader.valid()) {
        return malformed_field("cancel");
    }
    return link_message(message);
}

/** Decodes a control_message. */
result<link_message> read_control(const json& fields, const std::string& body)
{
    std::string topic;
    field_reader reader(fields, first_field_index);
    reader.read(topic);
    const std::optional<control_topic> parsed_topic = value_in<control_topic>(control_topic_names, topic);
    if (!reader.valid() || !parsed_topic || body.size() > control_payload_limit) {
        return malformed_field("control");
    }
    return link_message(control_message{*parsed_topic, body});
}

/** Decodes the message whose CBOR array is @p fields. */
result<link_message> read_message(const json& fields, shared_body body, bool body_dropped)
{
    std::uint64_t kind = 0;
    std::uint64_t body_size = 0;
    field_reader reader(fields, kind_index);
    reader.read(kind);
    reader.read(body_size);
    if (!reader.valid() || (body_dropped ? !body.empty() : body_size != body.size())) {
        return malformed_field("link");
    }
    switch (kind) {
    case static_cast<std::uint64_t>(wire_kind::call):
        return read_call(fields, std::move(body), body_dropped);
    case static_cast<std::uint64_t>(wire_kind::answer):
        return read_answer(fields, std::move(body), body_dropped);
    case static_cast<std::uint64_t>(wire_kind::cancel):
        return read_cancel(fields);
    case static_cast<std::uint64_t>(wire_kind::control):
        return read_control(fields, body);
    default:
        return fail(error_code::invalid, "the message kind is unknown");
    }
}

} // namespace

std::string encode_head(const link_message& message)
{
    return std::visit(message_encoder{}, message);
}

shared_body body_of(const link_message& message)
{
    if (const auto* const request = std::get_if<call_message>(&message)) {
        return request->m_call.m_body;
    }
    if (const auto* const response = std::get_if<answer_message>(&message)) {
        return response->m_answer.m_body;
    }
    const auto* const control = std::get_if<control_message>(&message);
    return control == nullptr ? shared_body() : shared_body(control->m_payload);
}

std::string encode_message(const link_message& message)
{
    return encode_head(message) + body_of(message).text();
}

result<link_message> decode_message(std::string&& bytes, memory_lease lease, bool body_dropped)
{
    const result<std::size_t> length = checked_item_length(bytes);
    if (length.has_error()) {
        return length.error();
    }
    const std::string_view head = std::string_view(bytes).substr(0, length.value());
    const json fields = json::from_cbor(head.begin(), head.end(), true, false);
    if (!fields.is_array() || fields.size() < first_field_index) {
        return fail(error_code::invalid,
                    "the message does not begin with a CBOR array of at least two fields");
    }
    bytes.erase(0, length.value());
    return read_message(fields, shared_body(std::move(bytes), std::move(lease)), body_dropped);
}

result<link_message> decode_message(std::string_view bytes)
{
    return decode_message(std::string(bytes), memory_lease{}, false);
}

} // namespace waxwing
