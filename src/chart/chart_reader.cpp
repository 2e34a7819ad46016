/** @file chart_reader.cpp Reads and checks the SCXML text of a chart. */
#include "chart/chart_reader.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Returns whether @p list contains @p name. */
bool contains(const std::vector<std::string>& list, const std::string& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

/** Returns @p name in quotation marks. */
std::string quoted(std::string_view name)
{
    return "\"" + std::string(name) + "\"";
}

} // namespace

chart_reader::chart_reader(const std::string& file, const std::string& text,
                           const std::vector<std::string>& events, const std::vector<std::string>& actions)
    : m_file(file), m_text(text), m_events(events), m_actions(actions)
{
}

void chart_reader::read()
{
    pugi::xml_document document;
    const pugi::xml_parse_result parse_result =
        document.load_buffer(m_text.data(), m_text.size(), pugi::parse_default, pugi::encoding_utf8);
    if (!parse_result) {
        add_error(line_at(parse_result.offset), parse_result.description());
        return;
    }
    const pugi::xml_node root = document.document_element();
    m_root_line = line_of(root);
    if (std::string_view(root.name()) != "scxml") {
        add_error(m_root_line, "the root element is " + quoted(root.name()) + ", expected \"scxml\"");
        return;
    }
    read_root(root);
    resolve_names();
    check_final_state();
    check_reachability();
    std::stable_sort(m_errors.begin(), m_errors.end(),
                     [](const located_error& a, const located_error& b) { return a.m_line < b.m_line; });
}

int chart_reader::line_at(std::ptrdiff_t offset) const
{
    const auto end = std::clamp<std::ptrdiff_t>(offset, 0, static_cast<std::ptrdiff_t>(m_text.size()));
    return 1 + static_cast<int>(std::count(m_text.begin(), m_text.begin() + end, '\n'));
}

int chart_reader::line_of(const pugi::xml_node& node) const
{
    return line_at(node.offset_debug());
}

void chart_reader::add_error(int line, std::string message)
{
    m_errors.push_back({m_file, line, std::move(message)});
}

void chart_reader::check_attributes(const pugi::xml_node& node, const std::vector<std::string_view>& known)
{
    for (const pugi::xml_attribute& attribute : node.attributes()) {
        if (std::find(known.begin(), known.end(), attribute.name()) == known.end()) {
            add_error(line_of(node),
                      quoted(node.name()) + " has the unknown attribute " + quoted(attribute.name()));
        }
    }
    for (const std::string_view name : known) {
        const bool optional = name == "xmlns" || name == "version";
        if (!optional && *node.attribute(std::string(name).c_str()).value() == '\0') {
            add_error(line_of(node), quoted(node.name()) + " has no attribute " + quoted(name));
        }
    }
}

void chart_reader::read_root(const pugi::xml_node& root)
{
    check_attributes(root, {"xmlns", "version", "initial"});
    m_initial_name = root.attribute("initial").value();
    for (const pugi::xml_node& child : root.children()) {
        const std::string_view name = child.name();
        if (name == "state" || name == "final") {
            read_state(child);
            continue;
        }
        add_error(line_of(child), "unknown element " + quoted(name) + " in \"scxml\"");
    }
}

void chart_reader::read_state(const pugi::xml_node& node)
{
    check_attributes(node, {"id"});
    const std::string id = node.attribute("id").value();
    const bool is_final = std::string_view(node.name()) == "final";
    if (!id.empty() && !m_state_indices.emplace(id, m_states.size()).second) {
        add_error(line_of(node), "the state id " + quoted(id) + " is used more than once");
    }
    m_states.push_back({id, is_final, {}});
    m_state_lines.push_back(line_of(node));
    for (const pugi::xml_node& child : node.children()) {
        const std::string_view name = child.name();
        if (name == "transition" && !is_final) {
            read_transition(child);
            continue;
        }
        add_error(line_of(child), "unknown element " + quoted(name) + " in " + quoted(node.name()));
    }
}

void chart_reader::read_transition(const pugi::xml_node& node)
{
    check_attributes(node, {"event", "target"});
    chart_transition transition;
    transition.m_event = node.attribute("event").value();
    if (!transition.m_event.empty() && !contains(m_events, transition.m_event)) {
        add_error(line_of(node), "unknown event " + quoted(transition.m_event));
    }
    for (const pugi::xml_node& child : node.children()) {
        read_action(child, transition);
    }
    std::vector<chart_transition>& transitions = m_states.back().m_transitions;
    for (const chart_transition& earlier : transitions) {
        if (!transition.m_event.empty() && earlier.m_event == transition.m_event) {
            add_error(line_of(node), "the event " + quoted(transition.m_event) +
                                         " has more than one transition in the state");
        }
    }
    const std::string target = node.attribute("target").value();
    if (!target.empty()) {
        m_pending_targets.push_back({m_states.size() - 1, transitions.size(), target, line_of(node)});
    }
    transitions.push_back(std::move(transition));
}

void chart_reader::read_action(const pugi::xml_node& node, chart_transition& transition)
{
    if (std::string_view(node.name()) != "send") {
        add_error(line_of(node), "unknown element " + quoted(node.name()) + " in \"transition\"");
        return;
    }
    check_attributes(node, {"event"});
    const std::string action = node.attribute("event").value();
    if (!action.empty() && !contains(m_actions, action)) {
        add_error(line_of(node), "unknown action " + quoted(action));
    }
    for (const pugi::xml_node& child : node.children()) {
        add_error(line_of(child), "unknown element " + quoted(child.name()) + " in \"send\"");
    }
    transition.m_actions.push_back(action);
}

void chart_reader::resolve_names()
{
    for (const pending_target& pending : m_pending_targets) {
        const auto position = m_state_indices.find(pending.m_name);
        if (position == m_state_indices.end()) {
            add_error(pending.m_line, "unknown target " + quoted(pending.m_name));
            continue;
        }
        m_states[pending.m_state].m_transitions[pending.m_transition].m_target = position->second;
    }
    const auto position = m_state_indices.find(m_initial_name);
    if (position != m_state_indices.end()) {
        m_initial = position->second;
        return;
    }
    if (!m_initial_name.empty()) {
        add_error(m_root_line, "unknown initial state " + quoted(m_initial_name));
    }
}

void chart_reader::check_final_state()
{
    if (std::none_of(m_states.begin(), m_states.end(), [](const chart_state& s) { return s.m_final; })) {
        add_error(m_root_line, "the chart has no final state");
    }
}

void chart_reader::check_reachability()
{
    if (m_state_indices.count(m_initial_name) == 0) {
        return;
    }
    const std::vector<bool> reachable = reachable_from_initial();
    const std::vector<bool> reaches_final = reaching_final();
    for (std::size_t index = 0; index < m_states.size(); ++index) {
        if (!reachable[index]) {
            add_error(m_state_lines[index],
                      "no path leads from the initial state to the state " + quoted(m_states[index].m_name));
        }
        if (!reaches_final[index]) {
            add_error(m_state_lines[index],
                      "the state " + quoted(m_states[index].m_name) + " reaches no final state");
        }
    }
}

std::vector<bool> chart_reader::reachable_from_initial() const
{
    std::vector<bool> reachable(m_states.size(), false);
    std::vector<std::size_t> frontier{m_initial};
    reachable[m_initial] = true;
    std::vector<std::vector<std::size_t>> successors(m_states.size());
    for (const pending_target& pending : m_pending_targets) {
        if (m_state_indices.count(pending.m_name) != 0) {
            successors[pending.m_state].push_back(m_state_indices.at(pending.m_name));
        }
    }
    while (!frontier.empty()) {
        const std::size_t state = frontier.back();
        frontier.pop_back();
        for (const std::size_t target : successors[state]) {
            if (!reachable[target]) {
                reachable[target] = true;
                frontier.push_back(target);
            }
        }
    }
    return reachable;
}

std::vector<bool> chart_reader::reaching_final() const
{
    std::vector<bool> reaches_final(m_states.size(), false);
    for (std::size_t index = 0; index < m_states.size(); ++index) {
        reaches_final[index] = m_states[index].m_final;
    }
    bool changed = true;
    while (changed) {
        changed = false;
        for (const pending_target& pending : m_pending_targets) {
            const auto position = m_state_indices.find(pending.m_name);
            if (position != m_state_indices.end() && reaches_final[position->second] &&
                !reaches_final[pending.m_state]) {
                reaches_final[pending.m_state] = true;
                changed = true;
            }
        }
    }
    return reaches_final;
}

result<chart, located_errors> chart::read(const std::string& file, const std::string& text,
                                          const std::vector<std::string>& events,
                                          const std::vector<std::string>& actions)
{
    chart_reader reader(file, text, events, actions);
    reader.read();
    if (!reader.errors().empty()) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(reader.errors()));
    }
    chart loaded;
    loaded.m_states = std::move(reader.states());
    loaded.m_initial = reader.initial();
    return loaded;
}

} // namespace waxwing
