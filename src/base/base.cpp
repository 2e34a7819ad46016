/** @file base.cpp Names of enumeration values, network addresses, header fields and priorities. */
#include "base/base.h"

#include "base/table/rules.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace waxwing {

namespace {

constexpr name_table<8> error_names{"invalid", "not-found",    "conflict",  "unavailable",
                                    "unknown", "unauthorised", "exhausted", "system"};
constexpr name_table<3> run_state_names{"not-run", "ran", "unknown"};

/** Converts an upper-case ASCII letter to lower case; leaves other characters unchanged. */
constexpr char to_lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

/** Returns whether @p host is a numeric IP address of the address family @p family. */
bool is_ip_address(int family, const std::string& host)
{
    in6_addr address{};
    return inet_pton(family, host.c_str(), &address) == 1;
}

} // namespace

std::string_view to_string(error_code code)
{
    return name_in(error_names, code);
}

std::string to_string(const located_error& where)
{
    return where.m_file + ":" + std::to_string(where.m_line) + ": " + where.m_text;
}

std::string_view to_string(run_state state)
{
    return name_in(run_state_names, state);
}

std::optional<run_state> run_state_of(std::string_view name)
{
    return value_in<run_state>(run_state_names, name);
}

const rule_info& info_of(rule value)
{
    return rules[static_cast<std::size_t>(value)];
}

std::optional<rule> rule_of(std::string_view name)
{
    for (std::size_t index = 0; index < rules.size(); ++index) {
        if (rules[index].m_name == name) {
            return static_cast<rule>(index);
        }
    }
    return std::nullopt;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(error_code::invalid, "address \"" + std::string(text) + "\" has no port");
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    endpoint address{std::string(host), 0};
    if (!is_ip_address(bracketed ? AF_INET6 : AF_INET, address.m_host)) {
        return fail(error_code::invalid, "\"" + std::string(host) + "\" is not an IP number");
    }
    const char* const end = port_text.data() + port_text.size();
    const auto [parsed_end, parse_error] = std::from_chars(port_text.data(), end, address.m_port);
    if (parse_error != std::errc{} || parsed_end != end) {
        return fail(error_code::invalid, "\"" + std::string(port_text) + "\" is not a port");
    }
    return address;
}

std::string to_string(const endpoint& address)
{
    const bool ip6 = address.m_host.find(':') != std::string::npos;
    const std::string host = ip6 ? "[" + address.m_host + "]" : address.m_host;
    return host + ":" + std::to_string(address.m_port);
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    for (std::size_t index = 0; index < a.size(); ++index) {
        if (to_lower(a[index]) != to_lower(b[index])) {
            return false;
        }
    }
    return true;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char letter) { return to_lower(letter); });
    return text;
}

const std::string* find_header(const header_list& headers, std::string_view name)
{
    for (const header& field : headers) {
        if (equal_ignoring_case(field.m_name, name)) {
            return &field.m_value;
        }
    }
    return nullptr;
}

priority make_priority(std::uint8_t importance, root_id root)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15ULL;
    const auto cohort = static_cast<std::uint16_t>((root.m_value * multiplier) >> 56U);
    return priority{static_cast<std::uint16_t>((importance << 8U) | cohort)};
}

} // namespace waxwing
