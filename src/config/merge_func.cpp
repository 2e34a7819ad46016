/** @file merge_func.cpp Object-wise comparison and three-way merge of configurations. */
#include "config/config_func.h"

#include <map>
#include <optional>
#include <set>

namespace waxwing {

namespace {

/** Serialised objects by heading. */
using block_map = std::map<std::string, std::string>;

block_map map_blocks(const config_set& set)
{
    block_map lines;
    for (config_block& block : write_blocks(set)) {
        lines.emplace(std::move(block.m_section), std::move(block.m_lines));
    }
    return lines;
}

/** Returns the lines of the object @p heading; none if it does not exist. */
std::optional<std::string> find_lines(const block_map& blocks, const std::string& heading)
{
    const auto found = blocks.find(heading);
    return found == blocks.end() ? std::nullopt : std::optional(found->second);
}

/** Returns the union of the headings of @p a and @p b. */
std::set<std::string> join_headings(const block_map& a, const block_map& b)
{
    std::set<std::string> headings;
    for (const block_map* blocks : {&a, &b}) {
        for (const auto& [heading, lines] : *blocks) {
            headings.insert(heading);
        }
    }
    return headings;
}

} // namespace

std::vector<config_change> diff_configs(const config_set& before, const config_set& after)
{
    const block_map old_blocks = map_blocks(before);
    const block_map new_blocks = map_blocks(after);
    std::vector<config_change> changes;
    for (const std::string& heading : join_headings(old_blocks, new_blocks)) {
        const std::optional<std::string> old_lines = find_lines(old_blocks, heading);
        const std::optional<std::string> new_lines = find_lines(new_blocks, heading);
        if (old_lines == new_lines) {
            continue;
        }
        const change_type type = !old_lines   ? change_type::added
                                 : !new_lines ? change_type::removed
                                              : change_type::changed;
        changes.push_back(config_change{type, heading, old_lines.value_or(""), new_lines.value_or("")});
    }
    return changes;
}

std::string summarise(const std::vector<config_change>& changes)
{
    std::string text;
    for (std::size_t index = 0; index < changes.size() && index < summary_limit; ++index) {
        text += std::string(name_in(change_type_names, changes[index].m_type)) + " " +
                changes[index].m_object + "\n";
    }
    if (changes.size() > summary_limit) {
        text += "and " + std::to_string(changes.size() - summary_limit) + " more\n";
    }
    return text;
}

result<config_set, merge_failure> merge_configs(const config_set& base, const config_set& mine,
                                                const config_set& theirs)
{
    const block_map base_blocks = map_blocks(base);
    const block_map my_blocks = map_blocks(mine);
    const block_map their_blocks = map_blocks(theirs);
    merge_failure failure;
    std::vector<config_block> merged;
    for (const std::string& heading : join_headings(my_blocks, their_blocks)) {
        const std::optional<std::string> base_lines = find_lines(base_blocks, heading);
        const std::optional<std::string> my_lines = find_lines(my_blocks, heading);
        const std::optional<std::string> their_lines = find_lines(their_blocks, heading);
        if (my_lines != base_lines && their_lines != base_lines && my_lines != their_lines) {
            failure.m_conflicts.push_back(heading);
            continue;
        }
        const std::optional<std::string>& lines = my_lines == base_lines ? their_lines : my_lines;
        if (lines) {
            merged.push_back(config_block{heading, *lines});
        }
    }
    if (!failure.m_conflicts.empty()) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(failure));
    }
    result<config_set, located_errors> checked = read_config({config_file{"merged", join_blocks(merged)}});
    if (checked.has_error()) {
        failure.m_errors = std::move(checked).error();
        return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(failure));
    }
    return std::move(checked).value();
}

} // namespace waxwing
