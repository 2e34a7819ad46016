/** @file id_type.h A distinct type for each kind of id. This header compiles as C++17. */
#ifndef WAXWING_BASE_ID_TYPE_H
#define WAXWING_BASE_ID_TYPE_H

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace waxwing {

/**
 * A number that identifies one object of the kind @p Tag; ids of other kinds do not convert to it.
 * Thread safety: as a plain number.
 */
template<class Tag>
struct number_id {
    std::uint64_t m_value = 0; ///< Zero if no object is identified.

    friend bool operator==(number_id a, number_id b) { return a.m_value == b.m_value; }
    friend bool operator!=(number_id a, number_id b) { return a.m_value != b.m_value; }
    friend bool operator<(number_id a, number_id b) { return a.m_value < b.m_value; }
};

/**
 * A name that identifies one object of the kind @p Tag; ids of other kinds do not convert to it.
 * Thread safety: as a std::string.
 */
template<class Tag>
struct name_id {
    std::string m_value; ///< Empty if no object is identified.

    /** Returns whether no object is identified. */
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const name_id& a, const name_id& b) { return a.m_value == b.m_value; }
    friend bool operator!=(const name_id& a, const name_id& b) { return a.m_value != b.m_value; }
    friend bool operator<(const name_id& a, const name_id& b) { return a.m_value < b.m_value; }
};

using root_id = number_id<struct root_tag>;            ///< One whole request, across all hops and attempts.
using attempt_id = number_id<struct attempt_tag>;      ///< One attempt at one call, unique in the fleet.
using exchange_id = number_id<struct exchange_tag>;    ///< One HTTP exchange of one server or client task.
using incarnation = number_id<struct incarnation_tag>; ///< One run of a process; higher for a later run.
using revision = number_id<struct revision_tag>;       ///< One accepted configuration; zero is none.

/**
 * Version of a row of the platform's table. Within an era each write gets a higher number. The platform
 * begins a new era when it restores the table from an older copy; numbers given out after that copy are then
 * used again.
 */
struct row_version {
    std::uint64_t m_era = 0;    ///< Restorations that the reading process had seen.
    std::uint64_t m_number = 0; ///< Zero if the row does not exist.

    friend bool operator==(row_version a, row_version b)
    {
        return a.m_era == b.m_era && a.m_number == b.m_number;
    }
    friend bool operator!=(row_version a, row_version b) { return !(a == b); }
    friend bool operator<(row_version a, row_version b)
    {
        return std::tie(a.m_era, a.m_number) < std::tie(b.m_era, b.m_number);
    }
};

using node_id = name_id<struct node_tag>;         ///< A node, by the name in its settings.
using service_name = name_id<struct service_tag>; ///< A service, by its name in the configuration.
using caller_name = name_id<struct caller_tag>;   ///< A caller, by its name in the configuration.
using organisation_name =
    name_id<struct organisation_tag>;       ///< An organisation, by its name in the configuration.
using kind_name = name_id<struct kind_tag>; ///< A request kind, by its name in the configuration.
using data_centre_name = name_id<struct data_centre_tag>; ///< A data centre.
using region_name = name_id<struct region_tag>;           ///< A region.

} // namespace waxwing

/** Hash of a number id. */
template<class Tag>
struct std::hash<waxwing::number_id<Tag>> {
    std::size_t operator()(waxwing::number_id<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.m_value);
    }
};

/** Hash of a name id. */
template<class Tag>
struct std::hash<waxwing::name_id<Tag>> {
    std::size_t operator()(const waxwing::name_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.m_value);
    }
};

#endif
