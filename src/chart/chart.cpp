/** @file chart.cpp State machines, and the event and action names of the project's charts. */
#include "chart/chart.h"

#include "chart/table/charts.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Returns the row of @p subject in the table of charts. */
const chart_row& row_of(chart_subject subject)
{
    return charts[static_cast<std::size_t>(subject)];
}

/** Splits @p names at spaces. */
std::vector<std::string> split(std::string_view names)
{
    std::vector<std::string> words;
    while (!names.empty()) {
        const std::size_t end = std::min(names.find(' '), names.size());
        words.emplace_back(names.substr(0, end));
        names.remove_prefix(std::min(end + 1, names.size()));
    }
    return words;
}

} // namespace

std::string_view chart_file(chart_subject subject)
{
    return row_of(subject).m_file;
}

std::vector<std::string> chart_events(chart_subject subject)
{
    return split(row_of(subject).m_events);
}

std::vector<std::string> chart_actions(chart_subject subject)
{
    return split(row_of(subject).m_actions);
}

state_machine::state_machine(const chart& definition)
    : m_definition(&definition), m_state(definition.initial())
{
}

const std::vector<std::string>& state_machine::raise(std::string_view event)
{
    static const std::vector<std::string> no_actions;
    for (const chart_transition& transition : m_definition->states()[m_state].m_transitions) {
        if (transition.m_event == event) {
            m_state = transition.m_target;
            return transition.m_actions;
        }
    }
    ++m_ignored;
    return no_actions;
}

const std::string& state_machine::state() const
{
    return m_definition->states()[m_state].m_name;
}

bool state_machine::ended() const
{
    return m_definition->states()[m_state].m_final;
}

} // namespace waxwing
