/** @file quarantine_codec.cpp Quarantine records as CBOR: an array of [fingerprint, suspicion, version, age
 * in ms]. */
#include "policy/quarantine_base.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

constexpr std::size_t max_bytes = 1024UL * 1024UL; ///< Size of a control message.
constexpr std::size_t max_depth = 2;               ///< Nesting of arrays.
constexpr std::size_t record_fields = 4;
constexpr std::uint64_t max_age_ms = 366ULL * 24 * 3600 * 1000;
/** Of each half of a version; leaves room to count up without overflow. */
constexpr std::uint64_t max_version_half = 0x7FFFFFFF;

/** Reads one record. @return false if it is malformed or out of range. */
bool read_record(const nlohmann::json& fields, quarantine_record& record)
{
    if (!fields.is_array() || fields.size() != record_fields) {
        return false;
    }
    for (const nlohmann::json& field : fields) {
        if (!field.is_number_unsigned()) {
            return false;
        }
    }
    const auto suspicion_value = fields[1].get<std::uint64_t>();
    const auto version = fields[2].get<std::uint64_t>();
    const auto age = fields[3].get<std::uint64_t>();
    if (suspicion_value > static_cast<std::uint64_t>(suspicion::strong_suspect) || age > max_age_ms ||
        (version >> 32U) > max_version_half || (version & 0xFFFFFFFFU) > max_version_half) {
        return false;
    }
    record.m_fingerprint = fields[0].get<std::uint64_t>();
    record.m_suspicion = static_cast<suspicion>(suspicion_value);
    record.m_version = version;
    record.m_age = std::chrono::milliseconds(static_cast<std::int64_t>(age));
    return true;
}

} // namespace

std::string encode_quarantine(const std::vector<quarantine_record>& records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const quarantine_record& record : records) {
        const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_milliseconds(record.m_age)));
        list.push_back({record.m_fingerprint, static_cast<std::uint64_t>(record.m_suspicion),
                        record.m_version, std::min(age, max_age_ms)});
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(list);
    return {bytes.begin(), bytes.end()};
}

result<std::vector<quarantine_record>> decode_quarantine(std::string_view bytes)
{
    if (bytes.size() > max_bytes || !is_bounded_cbor(bytes, max_depth)) {
        return fail(error_code::invalid,
                    "the quarantine records exceed 1 MiB or are not CBOR of the expected form");
    }
    const nlohmann::json list = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!list.is_array()) {
        return fail(error_code::invalid, "the quarantine records are not an array");
    }
    std::vector<quarantine_record> records(list.size());
    for (std::size_t index = 0; index < list.size(); ++index) {
        if (!read_record(list[index], records[index])) {
            return fail(error_code::invalid,
                        "quarantine record " + std::to_string(index) + " is malformed or out of range");
        }
    }
    return records;
}

} // namespace waxwing
