/** @file chart.h Public header of the chart library: state charts in SCXML files, interpreted. */
#ifndef WAXWING_CHART_CHART_H
#define WAXWING_CHART_CHART_H

#include "base/base.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** The lives that the project's charts describe. */
enum class chart_subject {
    node,       ///< A node process.
    target,     ///< The target beside a node.
    request,    ///< A request at its entry node.
    publication ///< One publication of a configuration.
};

/** Gives the name of the file of @p subject below the folder of charts. */
std::string_view chart_file(chart_subject subject);

/** Lists the events that the owner of @p subject can raise. */
std::vector<std::string> chart_events(chart_subject subject);

/** Lists the actions that the owner of @p subject can do. */
std::vector<std::string> chart_actions(chart_subject subject);

/** A transition of a chart. */
struct chart_transition {
    std::string m_event;                ///< What triggers it.
    std::size_t m_target = 0;           ///< Index of the state that follows.
    std::vector<std::string> m_actions; ///< Names of the actions, in their order.
};

/** A state of a chart. */
struct chart_state {
    std::string m_name;   ///< The id.
    bool m_final = false; ///< Whether the life ends here.
    std::vector<chart_transition>
        m_transitions; ///< In the order of the file; the first that matches is taken.
};

/**
 * A chart: a flat SCXML document of states, with the names of the events and actions that its owner knows
 * checked. Immutable after load. Thread safety: any number of readers.
 */
class chart {
public:
    /**
     * Reads the chart in @p text, which came from the file @p file.
     * @param events the events that the owner can raise.
     * @param actions the actions that the owner can do.
     * @return the chart, or every error with file and line.
     */
    static result<chart, located_errors> read(const std::string& file, const std::string& text,
                                              const std::vector<std::string>& events,
                                              const std::vector<std::string>& actions);

    /** Gives the states; the first is the initial one's index given by initial. */
    const std::vector<chart_state>& states() const { return m_states; }

    /** Gives the index of the initial state. */
    std::size_t initial() const { return m_initial; }

private:
    std::vector<chart_state> m_states;
    std::size_t m_initial = 0;
};

/** One life in a chart. Thread safety: none needed; one owner. */
class state_machine {
public:
    /** Starts in the initial state. @pre @p definition outlives this. */
    explicit state_machine(const chart& definition);

    /**
     * Raises @p event.
     * @return the actions to do, in their order; empty and counted in ignored where the state has no
     * transition.
     */
    const std::vector<std::string>& raise(std::string_view event);

    /** Gives the name of the present state. */
    const std::string& state() const;

    /** Tells whether the life has ended. */
    bool ended() const;

    /** Gives the number of events for which the state in force had no transition. */
    std::uint64_t ignored() const { return m_ignored; }

private:
    const chart* m_definition;
    std::size_t m_state;
    std::uint64_t m_ignored = 0;
};

} // namespace waxwing

#endif
