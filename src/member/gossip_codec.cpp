/** @file gossip_codec.cpp Encoding of gossip messages as CBOR and of registration rows as JSON. */
#include "member/gossip_codec_func.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

using nlohmann::json;

constexpr std::uint64_t format_version = 1; ///< Version of the message format; others are rejected.
constexpr std::size_t max_depth = 4;        ///< Message, items, item, and one spare level.
constexpr std::size_t max_name_bytes = 64;  ///< Maximum bytes of a name.
constexpr std::size_t max_row_bytes = 1024; ///< Maximum bytes of a row's value.
constexpr std::size_t max_digests = 64;     ///< Maximum digests in one message.
constexpr std::size_t record_fields = 12;
constexpr std::size_t claim_fields = 4;
constexpr std::size_t note_fields = 3;
constexpr std::size_t message_fields = 9;

/** Reads the fields of an array in order. After the first invalid field, all further reads return empty
 * values. */
class field_reader {
public:
    /** Starts at the first of @p fields. @pre @p fields is an array and outlives the reader. */
    explicit field_reader(const json& fields) : m_fields(fields) {}

    /** Reads a number up to @p max. */
    std::uint64_t number(std::uint64_t max = INT64_MAX)
    {
        const json* const field = next();
        if (field == nullptr || !field->is_number_unsigned() || field->get<std::uint64_t>() > max) {
            m_valid = false;
            return 0;
        }
        return field->get<std::uint64_t>();
    }

    /** Reads a value of an enumeration whose last value is @p last. */
    template<class Enum>
    Enum choice(Enum last)
    {
        return static_cast<Enum>(number(static_cast<std::uint64_t>(last)));
    }

    /** Reads a name. Rejects blanks, control characters, invalid UTF-8 and names that are too long. */
    std::string name()
    {
        const json* const field = next();
        if (field == nullptr || !field->is_string() || !is_name(field->get_ref<const std::string&>())) {
            m_valid = false;
            return {};
        }
        return field->get<std::string>();
    }

    /** Reads an address. An empty text yields an empty address. */
    endpoint address()
    {
        const std::string text = name();
        if (text.empty()) {
            return {};
        }
        result<endpoint> read = parse_endpoint(text);
        if (read.has_error()) {
            m_valid = false;
            return {};
        }
        return std::move(read.value());
    }

    /** Returns the next field, or null if there is none or an earlier one was invalid. */
    const json* next()
    {
        if (!m_valid || m_index >= m_fields.size()) {
            m_valid = false;
            return nullptr;
        }
        return &m_fields[m_index++];
    }

    /** Marks the array as invalid. */
    void invalidate() { m_valid = false; }

    /** Returns whether all fields read were valid. */
    bool is_valid() const { return m_valid; }

private:
    /** Returns whether @p text is a valid name. */
    static bool is_name(const std::string& text)
    {
        std::size_t missing_bytes = 0; // Continuation bytes missing from the current character.
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            const bool is_continuation = (byte & 0xC0U) == 0x80U;
            if (is_continuation != (missing_bytes > 0) || byte <= 0x20U || byte == 0x7FU || byte >= 0xF5U) {
                return false;
            }
            if (is_continuation) {
                --missing_bytes;
                continue;
            }
            missing_bytes = byte >= 0xF0U ? 3 : byte >= 0xE0U ? 2 : byte >= 0xC2U ? 1 : 0;
            if (byte >= 0x80U && missing_bytes == 0) {
                return false;
            }
        }
        return missing_bytes == 0 && text.size() <= max_name_bytes;
    }

    const json& m_fields;
    std::size_t m_index = 0;
    bool m_valid = true;
};

/** Encodes @p address; an empty address as an empty text. */
std::string write_address(const endpoint& address)
{
    return address.m_host.empty() ? std::string() : to_string(address);
}

/** Encodes the link address of @p record: only the port if the host equals that of the gossip address. */
json write_link(const member_record& record)
{
    if (record.m_link.m_host == record.m_gossip.m_host) {
        return record.m_link.m_port;
    }
    return write_address(record.m_link);
}

/** Decodes the output of write_link. */
endpoint read_link(field_reader& reader, const json* field, const endpoint& gossip)
{
    if (field != nullptr && field->is_number_unsigned() && field->get<std::uint64_t>() <= UINT16_MAX) {
        return {gossip.m_host, field->get<std::uint16_t>()};
    }
    if (field == nullptr || !field->is_string()) {
        reader.invalidate();
        return {};
    }
    result<endpoint> read = parse_endpoint(field->get_ref<const std::string&>());
    if (read.has_error()) {
        reader.invalidate();
        return {};
    }
    return std::move(read.value());
}

/** Encodes one item as an array, whose length identifies the item type. */
struct item_writer {
    json operator()(const member_record& record) const
    {
        return json::array({record.m_node.m_value, record.m_incarnation.m_value, record.m_version,
                            static_cast<unsigned>(record.m_state), write_address(record.m_gossip),
                            write_link(record), record.m_region.m_value, record.m_data_centre.m_value,
                            record.m_service.m_value, static_cast<unsigned>(record.m_target), record.m_slots,
                            record.m_revision.m_value});
    }
    json operator()(const member_claim& claim) const
    {
        return json::array({claim.m_node.m_value, claim.m_incarnation.m_value, claim.m_version,
                            static_cast<unsigned>(claim.m_state)});
    }
    json operator()(const revision_note& note) const
    {
        return json::array({note.m_node.m_value, note.m_incarnation.m_value, note.m_revision.m_value});
    }
};

/** Decodes a record. */
std::optional<member_record> read_record(const json& fields)
{
    if (!fields.is_array() || fields.size() != record_fields) {
        return std::nullopt;
    }
    field_reader reader(fields);
    member_record record;
    record.m_node = {reader.name()};
    record.m_incarnation = {reader.number()};
    record.m_version = reader.number();
    record.m_state = reader.choice(member_state::left);
    record.m_gossip = reader.address();
    record.m_link = read_link(reader, reader.next(), record.m_gossip);
    record.m_region = {reader.name()};
    record.m_data_centre = {reader.name()};
    record.m_service = {reader.name()};
    record.m_target = reader.choice(target_state::down);
    record.m_slots = static_cast<std::uint32_t>(reader.number(UINT32_MAX));
    record.m_revision = {reader.number(UINT64_MAX)};
    if (!reader.is_valid() || record.m_node.empty() || record.m_gossip.m_port == 0) {
        return std::nullopt;
    }
    return record;
}

/** Decodes a claim. */
std::optional<gossip_item> read_claim(const json& fields)
{
    field_reader reader(fields);
    member_claim claim;
    claim.m_node = {reader.name()};
    claim.m_incarnation = {reader.number()};
    claim.m_version = reader.number();
    claim.m_state = reader.choice(member_state::left);
    return reader.is_valid() ? std::optional<gossip_item>(std::move(claim)) : std::nullopt;
}

/** Decodes a revision note. */
std::optional<gossip_item> read_note(const json& fields)
{
    field_reader reader(fields);
    revision_note note;
    note.m_node = {reader.name()};
    note.m_incarnation = {reader.number()};
    note.m_revision = {reader.number(UINT64_MAX)};
    return reader.is_valid() ? std::optional<gossip_item>(std::move(note)) : std::nullopt;
}

/** Decodes an item. */
std::optional<gossip_item> read_item(const json& fields)
{
    if (!fields.is_array()) {
        return std::nullopt;
    }
    if (fields.size() == claim_fields) {
        return read_claim(fields);
    }
    if (fields.size() == note_fields) {
        return read_note(fields);
    }
    std::optional<member_record> record = read_record(fields);
    return record ? std::optional<gossip_item>(std::move(*record)) : std::nullopt;
}

/** Decodes the items. @return false if one is invalid. */
bool read_items(const json& list, std::vector<gossip_item>& items)
{
    if (!list.is_array()) {
        return false;
    }
    items.reserve(list.size());
    for (const json& fields : list) {
        std::optional<gossip_item> item = read_item(fields);
        if (!item) {
            return false;
        }
        items.push_back(std::move(*item));
    }
    return true;
}

/** Decodes the digests. @return false if one is invalid. */
bool read_digests(const json& list, std::vector<std::uint32_t>& digests)
{
    if (!list.is_array() || list.size() > max_digests) {
        return false;
    }
    for (const json& digest : list) {
        if (!digest.is_number_unsigned() || digest.get<std::uint64_t>() > UINT32_MAX) {
            return false;
        }
        digests.push_back(digest.get<std::uint32_t>());
    }
    return true;
}

/** Returns whether messages of @p kind contain the ages of the contacts with the platform's table. */
bool has_contact_ages(gossip_kind kind)
{
    return kind == gossip_kind::ping || kind == gossip_kind::ack;
}

/** Takes the ages that follow the only digest of a ping or ack out of the list of digests. Messages of
 * earlier versions have none. */
void take_contact_ages(gossip_message& message)
{
    constexpr std::size_t digests_with_ages = 3;
    if (has_contact_ages(message.m_kind) && message.m_digests.size() == digests_with_ages) {
        message.m_contact_ages = contact_ages{message.m_digests[1], message.m_digests[2]};
        message.m_digests.resize(1);
    }
}

/** Returns the digests of @p message. The ages are among them, since earlier versions reject messages with
 * another number of fields. */
json write_digests(const gossip_message& message)
{
    json digests = message.m_digests;
    if (message.m_contact_ages) {
        digests.push_back(message.m_contact_ages->m_any_ms);
        digests.push_back(message.m_contact_ages->m_elected_ms);
    }
    return digests;
}

/** Decodes the sender's record, which may be null. @return false if it is invalid. */
bool read_sender(const json& fields, std::optional<member_record>& from)
{
    if (fields.is_null()) {
        return true;
    }
    from = read_record(fields);
    return from.has_value();
}

} // namespace

std::string encode_gossip(const gossip_message& message)
{
    json items = json::array();
    for (const gossip_item& item : message.m_items) {
        items.push_back(std::visit(item_writer{}, item));
    }
    const json from = message.m_from ? item_writer{}(*message.m_from) : json();
    const json fields = json::array({(format_version << 8U) | static_cast<std::uint64_t>(message.m_kind),
                                     from, message.m_sequence, message.m_node.m_value,
                                     message.m_incarnation.m_value, write_address(message.m_address),
                                     message.m_first_bucket, write_digests(message), std::move(items)});
    const std::vector<std::uint8_t> bytes = json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

std::size_t encoded_size(const gossip_item& item)
{
    return json::to_cbor(std::visit(item_writer{}, item)).size();
}

result<gossip_message> decode_gossip(std::string_view payload)
{
    if (payload.size() > gossip_payload_limit || !is_bounded_cbor(payload, max_depth)) {
        return fail(error_code::invalid,
                    "the gossip message is too long, not valid CBOR or nested too deeply");
    }
    const json fields = json::from_cbor(payload.begin(), payload.end(), true, false);
    if (!fields.is_array() || fields.size() != message_fields) {
        return fail(error_code::invalid, "the gossip message is not an array of 9 fields");
    }
    field_reader reader(fields);
    gossip_message message;
    const std::uint64_t format_and_kind = reader.number();
    const json* const from = reader.next();
    message.m_sequence = reader.number(UINT64_MAX);
    message.m_node = {reader.name()};
    message.m_incarnation = {reader.number()};
    message.m_address = reader.address();
    message.m_first_bucket = reader.number(max_digests - 1);
    const json* const digests = reader.next();
    const json* const items = reader.next();
    if (!reader.is_valid() || (format_and_kind >> 8U) != format_version ||
        (format_and_kind & 0xFFU) >= gossip_kinds || !read_sender(*from, message.m_from) ||
        !read_digests(*digests, message.m_digests) || !read_items(*items, message.m_items)) {
        return fail(error_code::invalid, "the gossip message has an invalid field");
    }
    message.m_kind = static_cast<gossip_kind>(format_and_kind & 0xFFU);
    take_contact_ages(message);
    return message;
}

std::string encode_row(const member_record& record)
{
    return item_writer{}(record).dump(-1, ' ', false, json::error_handler_t::replace);
}

result<member_record> decode_row(std::string_view value)
{
    if (value.size() > max_row_bytes) {
        return fail(error_code::invalid, "the registration row is longer than 1024 bytes");
    }
    const json fields = json::parse(value.begin(), value.end(), nullptr, false);
    std::optional<member_record> record = read_record(fields);
    if (!record) {
        return fail(error_code::invalid, "the registration row is not a valid member record");
    }
    return std::move(*record);
}

} // namespace waxwing
