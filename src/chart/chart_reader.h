/** @file chart_reader.h Reads and checks the SCXML text of a chart. */
#ifndef WAXWING_CHART_CHART_READER_H
#define WAXWING_CHART_CHART_READER_H

#include "chart/chart.h"

#include <pugixml.hpp>

namespace waxwing {

/** Reads one document and collects all its errors. Thread safety: none needed; one owner. */
class chart_reader {
public:
    /** Prepares to read @p text of @p file. @pre All arguments outlive this. */
    chart_reader(const std::string& file, const std::string& text, const std::vector<std::string>& events,
                 const std::vector<std::string>& actions);

    /** Parses and validates the document. @pre Not called before. */
    void read();

    /** Returns the states. @pre errors() is empty. */
    std::vector<chart_state>& states() { return m_states; }

    /** Returns the index of the initial state. @pre errors() is empty. */
    std::size_t initial() const { return m_initial; }

    /** Returns the errors, ordered by line. */
    located_errors& errors() { return m_errors; }

private:
    /** The target of a transition, whose name is not resolved yet. */
    struct pending_target {
        std::size_t m_state;      ///< Index of the state that has the transition.
        std::size_t m_transition; ///< Index of the transition in that state.
        std::string m_name;       ///< Id of the target state.
        int m_line;               ///< Line of the transition.
    };

    int line_at(std::ptrdiff_t offset) const;
    int line_of(const pugi::xml_node& node) const;
    void add_error(int line, std::string message);
    void check_attributes(const pugi::xml_node& node, const std::vector<std::string_view>& known);
    void read_root(const pugi::xml_node& root);
    void read_state(const pugi::xml_node& node);
    void read_transition(const pugi::xml_node& node);
    void read_action(const pugi::xml_node& node, chart_transition& transition);
    void resolve_names();
    void check_final_state();
    void check_reachability();
    std::vector<bool> reachable_from_initial() const;
    std::vector<bool> reaching_final() const;

    const std::string& m_file;
    const std::string& m_text;
    const std::vector<std::string>& m_events;
    const std::vector<std::string>& m_actions;
    std::vector<chart_state> m_states;
    std::vector<int> m_state_lines; ///< Line of each state.
    std::unordered_map<std::string, std::size_t> m_state_indices;
    std::vector<pending_target> m_pending_targets;
    std::string m_initial_name;
    int m_root_line = 0;
    std::size_t m_initial = 0;
    located_errors m_errors;
};

} // namespace waxwing

#endif
