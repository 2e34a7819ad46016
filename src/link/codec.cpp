/** @file codec.cpp A message is a CBOR array, followed by its body or payload as plain bytes. */
#include "link/codec_func.h"

#include "link/cbor_check_func.h"
#include "link/table/names.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace waxwing {

namespace {

using json = nlohmann::json;

/** Kinds of message on the wire; append only. */
enum class wire_kind : std::uint8_t { call, answer, cancel, control };

/** Places of the fields that all messages share; append only. */
enum common_field : std::size_t { kind_at, body_size_at, fields_at };

/** Makes a CBOR array from headers: name, value, name, value and so on. */
json to_json(const header_list& headers)
{
    json list = json::array();
    for (const header& field : headers) {
        list.push_back(field.m_name);
        list.push_back(field.m_value);
    }
    return list;
}

/** Writes the array @p fields and then @p body. */
std::string write(const json& fields, std::string_view body)
{
    std::string bytes;
    constexpr std::size_t usual_head = 512;
    bytes.reserve(usual_head + body.size());
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    bytes.append(body);
    return bytes;
}

/** Writes each alternative of link_message. */
struct writer {
    std::string operator()(const call_message& message) const
    {
        const call& made = message.m_call;
        const call_context& context = made.m_context;
        return write(json::array({wire_kind::call, made.m_body.size(), message.m_attempt.m_value,
                                  made.m_service.m_value, made.m_kind.m_value, made.m_caller.m_value,
                                  made.m_idempotent, made.m_method, made.m_path, to_json(made.m_headers),
                                  made.m_idempotency_key, made.m_fingerprint, context.m_root.m_value,
                                  context.m_priority.m_value, context.m_time_left.count(),
                                  context.m_retry_tokens, context.m_depth, made.m_crashes, context.m_repeat}),
                     made.m_body);
    }

    std::string operator()(const answer_message& message) const
    {
        const answer& given = message.m_answer;
        const load_report& load = given.m_load;
        return write(json::array({wire_kind::answer, given.m_body.size(), message.m_attempt.m_value,
                                  to_string(given.m_state), info_of(given.m_rule).m_name, given.m_status,
                                  to_json(given.m_headers), given.m_retry_after.count(), given.m_retry_tokens,
                                  json::array({load.m_in_progress, load.m_queued, load.m_limit,
                                               load.m_threshold.m_value}),
                                  given.m_final}),
                     given.m_body);
    }

    std::string operator()(const cancel_message& message) const
    {
        return write(json::array({wire_kind::cancel, 0U, message.m_attempt.m_value}), {});
    }

    std::string operator()(const control_message& message) const
    {
        return write(json::array({wire_kind::control, message.m_payload.size(),
                                  name_in(control_topic_names, message.m_topic)}),
                     message.m_payload);
    }
};

/**
 * Reads the fields of a CBOR array in their order. A field that a sender of an older version left out keeps
 * its default; fields that a newer one added are not looked at. A field of the wrong type or out of range
 * makes the whole message malformed.
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
            field->is_boolean() ? void(value = field->get<bool>()) : void(m_good = false);
        }
        else if (field->is_number_unsigned()) {
            store(value, field->get<std::uint64_t>());
        }
        else if (std::is_signed_v<Value> && field->is_number_integer()) {
            value = static_cast<Value>(field->get<std::int64_t>());
        }
        else {
            m_good = false;
        }
    }

    /** Reads the next field into @p value. */
    void read(std::string& value)
    {
        if (const json* field = next(); field != nullptr) {
            take_text(*field, value);
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
            m_good = false;
            return;
        }
        headers.resize(field->size() / 2);
        for (std::size_t index = 0; index < headers.size(); ++index) {
            take_text((*field)[2 * index], headers[index].m_name);
            take_text((*field)[2 * index + 1], headers[index].m_value);
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
            m_good = false;
            return;
        }
        field_reader inner(*field, 0);
        inner.read(load.m_in_progress);
        inner.read(load.m_queued);
        inner.read(load.m_limit);
        inner.read(load.m_threshold.m_value);
        m_good = m_good && inner.good();
    }

    /** Tells whether every field read so far was of the right type and in range. */
    bool good() const { return m_good; }

private:
    /** Gives the next field; null where the sender left it out. */
    const json* next() { return m_next < m_fields.size() ? &m_fields[m_next++] : nullptr; }

    /** Stores @p number in @p value where it is in range. */
    template<class Value>
    void store(Value& value, std::uint64_t number)
    {
        if (number > static_cast<std::uint64_t>(std::numeric_limits<Value>::max())) {
            m_good = false;
            return;
        }
        value = static_cast<Value>(number);
    }

    /** Copies the text @p field to @p value. */
    void take_text(const json& field, std::string& value)
    {
        if (!field.is_string()) {
            m_good = false;
            return;
        }
        value = field.get_ref<const std::string&>();
    }

    const json& m_fields;
    std::size_t m_next;
    bool m_good = true;
};

/** Makes the failure of a message that can't be read. */
auto malformed(std::string_view what)
{
    return fail(error_code::invalid, "the " + std::string(what) + " message has a malformed field");
}

/** Reads a call_message. */
result<link_message> read_call(const json& fields, std::string_view body)
{
    call_message message;
    call& made = message.m_call;
    field_reader reader(fields, fields_at);
    reader.read(message.m_attempt.m_value);
    reader.read(made.m_service.m_value);
    reader.read(made.m_kind.m_value);
    reader.read(made.m_caller.m_value);
    reader.read(made.m_idempotent);
    reader.read(made.m_method);
    reader.read(made.m_path);
    reader.read(made.m_headers);
    reader.read(made.m_idempotency_key);
    reader.read(made.m_fingerprint);
    reader.read(made.m_context.m_root.m_value);
    reader.read(made.m_context.m_priority.m_value);
    reader.read(made.m_context.m_time_left);
    reader.read(made.m_context.m_retry_tokens);
    reader.read(made.m_context.m_depth);
    reader.read(made.m_crashes);
    reader.read(made.m_context.m_repeat);
    if (!reader.good()) {
        return malformed("call");
    }
    made.m_body = body;
    return link_message(std::move(message));
}

/** Reads an answer_message. A state or rule of a newer version becomes `unknown` or `internal`. */
result<link_message> read_answer(const json& fields, std::string_view body)
{
    answer_message message;
    answer& given = message.m_answer;
    std::string state;
    std::string fired(info_of(rule::none).m_name);
    field_reader reader(fields, fields_at);
    reader.read(message.m_attempt.m_value);
    reader.read(state);
    reader.read(fired);
    reader.read(given.m_status);
    reader.read(given.m_headers);
    reader.read(given.m_retry_after);
    reader.read(given.m_retry_tokens);
    reader.read(given.m_load);
    reader.read(given.m_final);
    if (!reader.good()) {
        return malformed("answer");
    }
    given.m_state = run_state_of(state).value_or(run_state::unknown);
    given.m_rule = rule_of(fired).value_or(rule::internal);
    given.m_body = body;
    return link_message(std::move(message));
}

/** Reads a cancel_message. */
result<link_message> read_cancel(const json& fields)
{
    cancel_message message;
    field_reader reader(fields, fields_at);
    reader.read(message.m_attempt.m_value);
    if (!reader.good()) {
        return malformed("cancel");
    }
    return link_message(message);
}

/** Reads a control_message. */
result<link_message> read_control(const json& fields, std::string_view body)
{
    std::string topic;
    field_reader reader(fields, fields_at);
    reader.read(topic);
    const std::optional<control_topic> known = value_in<control_topic>(control_topic_names, topic);
    if (!reader.good() || !known || body.size() > control_payload_limit) {
        return malformed("control");
    }
    return link_message(control_message{*known, std::string(body)});
}

/** Reads the message whose CBOR array is @p fields. */
result<link_message> read_message(const json& fields, std::string_view body)
{
    std::uint64_t kind = 0;
    std::uint64_t body_size = 0;
    field_reader reader(fields, kind_at);
    reader.read(kind);
    reader.read(body_size);
    if (!reader.good() || body_size != body.size()) {
        return malformed("link");
    }
    switch (kind) {
    case static_cast<std::uint64_t>(wire_kind::call):
        return read_call(fields, body);
    case static_cast<std::uint64_t>(wire_kind::answer):
        return read_answer(fields, body);
    case static_cast<std::uint64_t>(wire_kind::cancel):
        return read_cancel(fields);
    case static_cast<std::uint64_t>(wire_kind::control):
        return read_control(fields, body);
    default:
        return fail(error_code::invalid, "the message is of no known kind");
    }
}

} // namespace

std::string encode_message(const link_message& message)
{
    return std::visit(writer{}, message);
}

result<link_message> decode_message(std::string_view bytes)
{
    const result<std::size_t> length = checked_item_length(bytes);
    if (length.has_error()) {
        return length.error();
    }
    const std::string_view head = bytes.substr(0, length.value());
    const json fields = json::from_cbor(head.begin(), head.end(), true, false);
    if (!fields.is_array() || fields.size() < fields_at) {
        return fail(error_code::invalid, "the message is no CBOR array");
    }
    return read_message(fields, bytes.substr(length.value()));
}

} // namespace waxwing
