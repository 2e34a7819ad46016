/** @file departure.cpp Departures of targets as JSON in the platform's table, [[id, start time], ...] with a
 * third field, true, if the time is a bound, and as CBOR in messages: [0, generation, departures], [1,
 * generation, is stored] and [2, departures, age, era], without the last field if there is no era, and
 * without the last two if there is no memory. */
#include "member/departure_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace waxwing {

namespace {

using nlohmann::json;

constexpr std::size_t max_row_bytes = 16UL * 1024UL;
constexpr std::size_t max_message_bytes = 16UL * 1024UL;
constexpr std::size_t max_id_bytes = 512;
constexpr std::size_t message_depth = 3; ///< Message, departures, departure.
constexpr std::size_t dated_fields = 2;
constexpr std::size_t bound_fields = 3;
constexpr std::uint64_t offer_type = 0;
constexpr std::uint64_t receipt_type = 1;
constexpr std::uint64_t reminder_type = 2;
constexpr std::size_t reminder_fields = 4;

json to_json(const departure_list& departures)
{
    json items = json::array();
    for (const target_departure& departure : departures.items()) {
        json fields = json::array({departure.m_instance, departure.m_incarnation.m_value});
        if (departure.m_is_bound) {
            fields.push_back(true);
        }
        items.push_back(std::move(fields));
    }
    return items;
}

/** Reads one departure. @return false if it is invalid. */
bool read_departure(const json& fields, departure_list& departures)
{
    if (!fields.is_array() || fields.size() < dated_fields || fields.size() > bound_fields ||
        !fields[0].is_string() || !fields[1].is_number_unsigned() ||
        fields[0].get_ref<const std::string&>().size() > max_id_bytes) {
        return false;
    }
    const bool is_bound = fields.size() == bound_fields;
    if (is_bound && fields[2] != json(true)) {
        return false;
    }
    departures.add({fields[0].get<std::string>(), incarnation{fields[1].get<std::uint64_t>()}, is_bound});
    return true;
}

/** Reads the departures of @p items. @return none if one is invalid. */
std::optional<departure_list> read_departures(const json& items)
{
    departure_list departures;
    const bool is_valid = items.is_array() && items.size() <= departure_list::max_size &&
                          std::all_of(items.begin(), items.end(),
                                      [&](const json& fields) { return read_departure(fields, departures); });
    return is_valid ? std::optional(departures) : std::nullopt;
}

json to_fields(const departure_offer& message)
{
    return json::array({offer_type, message.m_generation, to_json(message.m_departures)});
}

json to_fields(const departure_receipt& message)
{
    return json::array({receipt_type, message.m_generation, message.m_is_stored});
}

json to_fields(const departure_reminder& message)
{
    json fields = json::array({reminder_type, to_json(message.m_departures)});
    if (message.m_memory) {
        fields.push_back(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_milliseconds(message.m_memory->m_age))));
        if (message.m_memory->m_era) {
            fields.push_back(*message.m_memory->m_era);
        }
    }
    return fields;
}

/** Reads a reminder. @return none if it is invalid. */
std::optional<departure_reminder> read_reminder(const json& fields)
{
    constexpr std::uint64_t max_age_ms = 1'000'000'000'000;
    const std::optional<departure_list> departures = read_departures(fields[1]);
    const bool are_numbers = std::all_of(fields.begin() + 2, fields.end(),
                                         [](const json& field) { return field.is_number_unsigned(); });
    if (!departures || !are_numbers || fields.size() > reminder_fields) {
        return std::nullopt;
    }
    departure_reminder reminder{*departures, std::nullopt};
    if (fields.size() > 2) {
        keeper_memory& memory = reminder.m_memory.emplace();
        memory.m_age =
            std::chrono::milliseconds(std::min<std::uint64_t>(fields[2].get<std::uint64_t>(), max_age_ms));
    }
    if (fields.size() == reminder_fields) {
        reminder.m_memory->m_era = fields[3].get<std::uint64_t>();
    }
    return reminder;
}

} // namespace

target_departure undated_departure(std::string instance, wall_time now)
{
    const auto milliseconds = static_cast<std::uint64_t>(now.time_since_epoch().count());
    return {std::move(instance), incarnation{milliseconds}, true};
}

bool departure_list::covers(const target_departure& departure) const
{
    return std::any_of(m_items.begin(), m_items.end(), [&](const target_departure& known) {
        return known.m_instance == departure.m_instance && !(known.m_incarnation < departure.m_incarnation);
    });
}

bool departure_list::covers(const departure_list& other) const
{
    return std::all_of(other.m_items.begin(), other.m_items.end(),
                       [this](const target_departure& departure) { return covers(departure); });
}

bool departure_list::add(const target_departure& departure)
{
    if (covers(departure)) {
        return false;
    }
    const departure_list before = *this;
    std::erase_if(m_items, [&](const auto& known) { return known.m_instance == departure.m_instance; });
    const auto place = std::find_if(m_items.begin(), m_items.end(), [&](const target_departure& known) {
        return departure.m_incarnation < known.m_incarnation;
    });
    m_items.insert(place, departure);
    if (m_items.size() > max_size) {
        m_items.erase(m_items.begin());
    }
    return *this != before;
}

bool departure_list::merge(const departure_list& other)
{
    bool has_changed = false;
    for (const target_departure& departure : other.m_items) {
        has_changed = add(departure) || has_changed;
    }
    return has_changed;
}

std::string encode_departures(const departure_list& departures)
{
    return to_json(departures).dump(-1, ' ', false, json::error_handler_t::replace);
}

result<departure_list> decode_departures(std::string_view value)
{
    if (value.size() > max_row_bytes) {
        return fail(error_code::invalid, "the departures of a target are longer than 16 KiB");
    }
    const json fields = json::parse(value.begin(), value.end(), nullptr, false);
    const bool is_single = fields.is_array() && !fields.empty() && fields[0].is_string();
    const std::optional<departure_list> departures =
        read_departures(is_single ? json::array({fields}) : fields);
    if (!departures) {
        return fail(error_code::invalid, "the departures of a target are not a list of ids and start times");
    }
    return *departures;
}

std::string encode_departure_message(const departure_message& message)
{
    std::string bytes;
    json::to_cbor(std::visit([](const auto& each) { return to_fields(each); }, message), bytes);
    return bytes;
}

result<departure_message> decode_departure_message(std::string_view bytes)
{
    const auto decode_error = fail(error_code::invalid, "the departure message is malformed");
    if (bytes.size() > max_message_bytes || !is_bounded_cbor(bytes, message_depth)) {
        return decode_error;
    }
    const json fields = json::from_cbor(bytes, true, false);
    if (!fields.is_array() || fields.size() < 2 || !fields[0].is_number_unsigned()) {
        return decode_error;
    }
    const auto type = fields[0].get<std::uint64_t>();
    if (type == reminder_type) {
        std::optional<departure_reminder> reminder = read_reminder(fields);
        return reminder ? result<departure_message>(std::move(*reminder)) : decode_error;
    }
    if (fields.size() != 3 || !fields[1].is_number_unsigned()) {
        return decode_error;
    }
    const auto generation = fields[1].get<std::uint64_t>();
    if (type == receipt_type && fields[2].is_boolean()) {
        return departure_message(departure_receipt{generation, fields[2].get<bool>()});
    }
    const std::optional<departure_list> departures = read_departures(fields[2]);
    if (type != offer_type || !departures || departures->items().empty()) {
        return decode_error;
    }
    return departure_message(departure_offer{generation, *departures});
}

} // namespace waxwing
