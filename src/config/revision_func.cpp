/** @file revision_func.cpp Encoding of revision rows, and names of rows and objects. */
#include "config/publication_base.h"

#include <nlohmann/json.hpp>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr std::size_t row_size_limit = std::size_t{64} << 10U;
constexpr std::size_t digest_size = 64;
constexpr std::size_t revision_digits = 20;

/** Copies the text field @p name of @p row to @p text. @return false if there is no such text. */
bool read_text(const json& row, const char* name, std::string& text)
{
    const auto found = row.find(name);
    if (found == row.end() || !found->is_string()) {
        return false;
    }
    text = found->get<std::string>();
    return true;
}

bool is_digest(const std::string& text)
{
    return text.size() == digest_size && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

std::string encode_revision(const revision_info& info)
{
    const json row{{"revision", info.m_revision.m_value},
                   {"digest", info.m_digest},
                   {"change_id", info.m_note.m_change_id},
                   {"who", info.m_note.m_who},
                   {"why", info.m_note.m_why},
                   {"when", info.m_note.m_when.time_since_epoch().count()},
                   {"summary", info.m_summary}};
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<revision_info> decode_revision(std::string_view bytes)
{
    const auto decode_error = fail(error_code::invalid, "the revision row is malformed");
    if (bytes.size() > row_size_limit) {
        return decode_error;
    }
    const json row = json::parse(bytes, nullptr, false);
    if (!row.is_object()) {
        return decode_error;
    }
    revision_info info;
    const auto number = row.find("revision");
    const auto when = row.find("when");
    if (number == row.end() || !number->is_number_unsigned() || when == row.end() ||
        !when->is_number_integer()) {
        return decode_error;
    }
    info.m_revision.m_value = number->get<std::uint64_t>();
    info.m_note.m_when = wall_time(wall_time::duration(when->get<std::int64_t>()));
    const bool is_complete =
        read_text(row, "digest", info.m_digest) && read_text(row, "change_id", info.m_note.m_change_id) &&
        read_text(row, "who", info.m_note.m_who) && read_text(row, "why", info.m_note.m_why) &&
        read_text(row, "summary", info.m_summary);
    if (!is_complete || info.m_revision.m_value == 0 || !is_digest(info.m_digest)) {
        return decode_error;
    }
    return info;
}

std::string audit_key(revision number)
{
    const std::string digits = std::to_string(number.m_value);
    return "config/audit/" + std::string(revision_digits - digits.size(), '0') + digits;
}

std::string change_key(std::string_view change_id)
{
    return "config/change/" + std::string(change_id);
}

std::string object_name(std::string_view digest)
{
    return "config/set/" + std::string(digest);
}

} // namespace waxwing
