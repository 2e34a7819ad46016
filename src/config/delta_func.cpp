/** @file delta_func.cpp Encoding and applying the difference of two written configurations. */
#include "config/delta_func.h"

#include "config/key_type.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr std::size_t delta_depth = 4;

/** The place of a heading in the written form: the number of its sort, and its name. */
using block_order = std::pair<std::size_t, std::string>;

block_order order_of(const std::string& heading)
{
    const std::size_t blank = heading.find(' ');
    const auto sort = value_in<object_type>(object_type_names, std::string_view(heading).substr(0, blank));
    return {sort ? static_cast<std::size_t>(*sort) : object_type_names.size(), heading};
}

/** Gives the blocks of @p text in their order. */
std::map<block_order, std::string> map_text(std::string_view text)
{
    std::map<block_order, std::string> blocks;
    for (config_block& block : split_blocks(text).value_or(std::vector<config_block>{})) {
        blocks.emplace(order_of(block.m_section), std::move(block.m_lines));
    }
    return blocks;
}

/** Adds the object that @p entry describes to @p blocks; false where it describes none. */
bool put_block(const json& entry, std::map<block_order, std::string>& blocks)
{
    if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() || !entry[1].is_string()) {
        return false;
    }
    blocks[order_of(entry[0].get<std::string>())] = entry[1].get<std::string>();
    return true;
}

/** Removes the object that @p entry names; false where it names none. */
bool drop_block(const json& entry, std::map<block_order, std::string>& blocks)
{
    return entry.is_string() && blocks.erase(order_of(entry.get<std::string>())) == 1;
}

} // namespace

std::optional<std::vector<config_block>> split_blocks(std::string_view text)
{
    std::vector<config_block> blocks;
    while (!text.empty()) {
        const std::size_t end = text.find("]\n");
        if (text.front() != '[' || end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::size_t next = text.find("\n[", end);
        const std::size_t stop = next == std::string_view::npos ? text.size() : next;
        blocks.push_back(config_block{std::string(text.substr(1, end - 1)),
                                      std::string(text.substr(end + 2, stop - std::min(stop, end + 2)))});
        text.remove_prefix(next == std::string_view::npos ? text.size() : next + 1);
    }
    return blocks;
}

std::string encode_delta(std::string_view before, std::string_view after)
{
    const auto old_blocks = map_text(before);
    const auto new_blocks = map_text(after);
    json dropped = json::array();
    json put = json::array();
    for (const auto& [order, lines] : old_blocks) {
        if (new_blocks.count(order) == 0) {
            dropped.push_back(order.second);
        }
    }
    for (const auto& [order, lines] : new_blocks) {
        const auto old = old_blocks.find(order);
        if (old == old_blocks.end() || old->second != lines) {
            put.push_back(json::array({order.second, lines}));
        }
    }
    std::string bytes;
    json::to_cbor(json::array({std::move(dropped), std::move(put)}), bytes);
    return bytes;
}

result<std::string> apply_delta(std::string_view before, std::string_view delta)
{
    const auto broken = fail(error_code::invalid, "the difference of two configurations can't be read");
    if (!is_bounded_cbor(delta, delta_depth)) {
        return broken;
    }
    const json content = json::from_cbor(delta, true, false);
    if (!content.is_array() || content.size() != 2 || !content[0].is_array() || !content[1].is_array()) {
        return broken;
    }
    auto blocks = map_text(before);
    for (const json& entry : content[0]) {
        if (!drop_block(entry, blocks)) {
            return broken;
        }
    }
    for (const json& entry : content[1]) {
        if (!put_block(entry, blocks)) {
            return broken;
        }
    }
    std::vector<config_block> list;
    list.reserve(blocks.size());
    for (const auto& [order, lines] : blocks) {
        list.push_back(config_block{order.second, lines});
    }
    return join_blocks(list);
}

} // namespace waxwing
