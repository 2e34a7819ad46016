/** @file departure_type.h Departures of targets: what is recorded of them, and what nodes tell each other. */
#ifndef WAXWING_MEMBER_DEPARTURE_TYPE_H
#define WAXWING_MEMBER_DEPARTURE_TYPE_H

#include "base/base.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwing {

/** The incarnation of a target that drains or has left. It gets no new work any more. */
struct target_departure {
    std::string m_instance;    ///< Id of the process.
    incarnation m_incarnation; ///< Its start time.
    /** Whether m_incarnation is the time of the departure instead, as the start time is not known. All
     * incarnations of that id that started earlier have left. */
    bool m_is_bound = false;

    friend bool operator==(const target_departure&, const target_departure&) = default;
};

/** Returns the departure of the process @p instance at @p now, whose start time is not known. Processes on
 * one machine share its clock, so that one that starts later has a later start time. Thread safety: pure. */
target_departure undated_departure(std::string instance, wall_time now);

/**
 * The latest departures of the targets of one node. It only grows, so that copies of it can be merged in any
 * order. Thread safety: none needed; one owner.
 */
class departure_list {
public:
    /** Departures that are kept. Beyond that the one of the earliest incarnation is dropped, since the later
     * ones supersede it. */
    static constexpr std::size_t max_size = 8;

    /** Adds @p departure. @return false if it changes nothing, as it or a later one of the same id is known.
     */
    bool add(const target_departure& departure);

    /** Adds all departures of @p other. @return whether that changed anything. */
    bool merge(const departure_list& other);

    /** Returns whether it contains @p departure or a later one of the same id. */
    bool covers(const target_departure& departure) const;

    /** Returns whether it covers each departure of @p other. */
    bool covers(const departure_list& other) const;

    const std::vector<target_departure>& items() const { return m_items; }

    friend bool operator==(const departure_list&, const departure_list&) = default;

private:
    std::vector<target_departure> m_items; ///< In the order of their incarnations; no id occurs twice.
};

/** Encodes @p departures for the platform's table. Thread safety: pure. */
std::string encode_departures(const departure_list& departures);

/** Decodes a row of the platform's table, also of the earlier format with a single departure. Safe on
 * untrusted input. Thread safety: pure. @return the departures or why @p value is invalid. */
result<departure_list> decode_departures(std::string_view value);

/** From the node of a target: hold these departures, and write them to the platform's table. */
struct departure_offer {
    std::uint64_t m_generation = 0; ///< Identifies the list in a receipt; increases with each change of it.
    departure_list m_departures;    ///< The list.
};

/** Answers an offer. */
struct departure_receipt {
    std::uint64_t m_generation = 0; ///< Of the offer.
    bool m_is_stored = false;       ///< Whether the table contains the list; if not, it is held in memory.
};

/** How far the memory of a node reaches that holds departures of others. */
struct keeper_memory {
    duration m_age{};                   ///< For how long it has been running and has known m_era.
    std::optional<std::uint64_t> m_era; ///< Era of the store that it knows; none if it names none.
};

/** To a new process of a node: the departures that an earlier one had offered. */
struct departure_reminder {
    departure_list m_departures;           ///< The list; may be empty.
    std::optional<keeper_memory> m_memory; ///< None if the sender need not hold departures of the node.
};

/** A control message of the topic `departure`. */
using departure_message = std::variant<departure_offer, departure_receipt, departure_reminder>;

/** Encodes @p message as CBOR. Thread safety: pure. */
std::string encode_departure_message(const departure_message& message);

/** Decodes a message. Safe on untrusted input. Thread safety: pure. @return it or why it is invalid. */
result<departure_message> decode_departure_message(std::string_view bytes);

} // namespace waxwing

#endif
