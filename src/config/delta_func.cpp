/** @file delta_func.cpp Encoding and applying deltas between two serialised configurations. */
#include "config/delta_func.h"

#include "config/key_type.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace waxwing {

namespace {

using json = nlohmann::json;

constexpr std::size_t delta_depth = 4;

/** Sort key of a block in the canonical form: the index of its object type, and its heading. */
using block_order = std::pair<std::size_t, std::string>;

block_order order_of(const std::string& heading)
{
    const std::size_t space = heading.find(' ');
    const auto type = value_in<object_type>(object_type_names, std::string_view(heading).substr(0, space));
    return {type ? static_cast<std::size_t>(*type) : object_type_names.size(), heading};
}

/** Parses @p text into its blocks; empty if it is malformed. */
std::map<block_order, std::string> map_text(std::string_view text)
{
    std::map<block_order, std::string> blocks;
    for (config_block& block : split_blocks(text).value_or(std::vector<config_block>{})) {
        blocks.emplace(order_of(block.m_section), std::move(block.m_lines));
    }
    return blocks;
}

/** Adds or replaces the object of @p entry in @p blocks. @return false if @p entry is malformed. */
bool put_block(const json& entry, std::map<block_order, std::string>& blocks)
{
    if (!entry.is_array() || entry.size() != 2 || !entry[0].is_string() || !entry[1].is_string()) {
        return false;
    }
    blocks[order_of(entry[0].get<std::string>())] = entry[1].get<std::string>();
    return true;
}

/** Removes the object that @p entry names. @return false if there is no such object. */
bool remove_block(const json& entry, std::map<block_order, std::string>& blocks)
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
        const std::size_t block_end = next == std::string_view::npos ? text.size() : next;
        blocks.push_back(
            config_block{std::string(text.substr(1, end - 1)),
                         std::string(text.substr(end + 2, block_end - std::min(block_end, end + 2)))});
        text.remove_prefix(next == std::string_view::npos ? text.size() : next + 1);
    }
    return blocks;
}

std::string encode_delta(std::string_view before, std::string_view after)
{
    const auto old_blocks = map_text(before);
    const auto new_blocks = map_text(after);
    json removed = json::array();
    json updated = json::array();
    for (const auto& [order, lines] : old_blocks) {
        if (new_blocks.count(order) == 0) {
            removed.push_back(order.second);
        }
    }
    for (const auto& [order, lines] : new_blocks) {
        const auto old = old_blocks.find(order);
        if (old == old_blocks.end() || old->second != lines) {
            updated.push_back(json::array({order.second, lines}));
        }
    }
    std::string bytes;
    json::to_cbor(json::array({std::move(removed), std::move(updated)}), bytes);
    return bytes;
}

result<std::string> apply_delta(std::string_view before, std::string_view delta)
{
    const auto decode_error = fail(error_code::invalid, "the configuration delta is malformed");
    if (!is_bounded_cbor(delta, delta_depth)) {
        return decode_error;
    }
    const json decoded = json::from_cbor(delta, true, false);
    if (!decoded.is_array() || decoded.size() != 2 || !decoded[0].is_array() || !decoded[1].is_array()) {
        return decode_error;
    }
    auto blocks = map_text(before);
    for (const json& entry : decoded[0]) {
        if (!remove_block(entry, blocks)) {
            return decode_error;
        }
    }
    for (const json& entry : decoded[1]) {
        if (!put_block(entry, blocks)) {
            return decode_error;
        }
    }
    std::vector<config_block> block_list;
    block_list.reserve(blocks.size());
    for (const auto& [order, lines] : blocks) {
        block_list.push_back(config_block{order.second, lines});
    }
    return join_blocks(block_list);
}

} // namespace waxwing
