/** @file chart.h Public header of the chart library: interprets state charts from SCXML files. */
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

/** The objects whose life cycles the project's charts describe. */
enum class chart_subject {
    node,       ///< A node process.
    target,     ///< The target beside a node.
    request,    ///< A request at its entry node.
    publication ///< One publication of a configuration.
};

/** Returns the file name of the chart of @p subject, relative to the folder of charts. */
std::string_view chart_file(chart_subject subject);

/** Returns the events that the owner of @p subject can raise. */
std::vector<std::string> chart_events(chart_subject subject);

/** Returns the actions that the owner of @p subject can execute. */
std::vector<std::string> chart_actions(chart_subject subject);

/** A transition of a chart. */
struct chart_transition {
    std::string m_event;                ///< The event that triggers it.
    std::size_t m_target = 0;           ///< Index of the next state.
    std::vector<std::string> m_actions; ///< Names of the actions, in the order of execution.
};

/** A state of a chart. */
struct chart_state {
    std::string m_name;                          ///< The id.
    bool m_final = false;                        ///< Whether this is a final state.
    std::vector<chart_transition> m_transitions; ///< In the order of the file; the first match is taken.
};

/**
 * A state chart, read from a flat SCXML document. Reading it checks that its owner knows every event and
 * action. Immutable after load. Thread safety: any number of readers.
 */
class chart {
public:
    /**
     * Reads the chart in @p text, the content of the file @p file.
     * @param events the events that the owner can raise.
     * @param actions the actions that the owner can execute.
     * @return the chart, or every error with file and line.
     */
    static result<chart, located_errors> read(const std::string& file, const std::string& text,
                                              const std::vector<std::string>& events,
                                              const std::vector<std::string>& actions);

    /** Returns the states, in the order of the file; initial() is the index of the initial one. */
    const std::vector<chart_state>& states() const { return m_states; }

    /** Returns the index of the initial state. */
    std::size_t initial() const { return m_initial; }

private:
    std::vector<chart_state> m_states;
    std::size_t m_initial = 0;
};

/** An instance of a chart with its current state. Thread safety: none needed; one owner. */
class state_machine {
public:
    /** Starts in the initial state. @pre @p definition outlives this. */
    explicit state_machine(const chart& definition);

    /**
     * Raises @p event.
     * @return the actions to execute, in order. If the current state has no transition for the event, it is
     * empty and the event is counted in ignored().
     */
    const std::vector<std::string>& raise(std::string_view event);

    /** Returns the name of the current state. */
    const std::string& state() const;

    /** Returns whether the current state is final. */
    bool ended() const;

    /** Returns the number of events for which the then current state had no transition. */
    std::uint64_t ignored() const { return m_ignored; }

private:
    const chart* m_definition;
    std::size_t m_state;
    std::uint64_t m_ignored = 0;
};

} // namespace waxwing

#endif
