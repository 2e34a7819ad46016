/** @file endpoint_type.h Numeric network addresses. This header compiles as C++17. */
#ifndef WAXWING_BASE_ENDPOINT_TYPE_H
#define WAXWING_BASE_ENDPOINT_TYPE_H

#include "base/error_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing {

/** An IP address and a port. */
struct endpoint {
    std::string m_host; ///< An IPv4 address in dotted decimal form, or an IPv6 address without brackets.
    std::uint16_t m_port = 0; ///< Zero lets the system choose one.

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.m_host == b.m_host && a.m_port == b.m_port;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b) { return !(a == b); }
};

/** Parses `1.2.3.4:80` or `[::1]:80`; host names are refused. */
result<endpoint> parse_endpoint(std::string_view text);

/** Formats @p address in the form that parse_endpoint reads. */
std::string to_string(const endpoint& address);

} // namespace waxwing

#endif
