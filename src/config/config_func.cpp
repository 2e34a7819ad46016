/** @file config_func.cpp Serialising and hashing a configuration, and matching requests to kinds. */
#include "config/config_func.h"

#include "config/section_func.h"
#include "config/value_func.h"

#include <algorithm>
#include <array>
#include <functional>
#include <openssl/evp.h>

namespace waxwing {

namespace {

/** Writes the keys of @p object, one per line; optional keys with their default value are left out. */
template<class Object>
std::string write_lines(const section<Object>& objects, const Object& object)
{
    const Object defaults{};
    std::string text;
    for (const key_info<Object>& key : objects.m_keys) {
        const std::string value = write_key(key, object);
        if (key.m_presence != key_presence::optional || value != write_key(key, defaults)) {
            text += std::string(key.m_name) + " = " + value + "\n";
        }
    }
    return text;
}

/** Returns whether @p kind matches @p method and @p path. The prefix matches whole path segments only. */
bool matches(const kind_object& kind, std::string_view method, std::string_view path)
{
    const std::string& prefix = kind.m_path_prefix;
    if ((!kind.m_method.empty() && kind.m_method != method) || path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    const bool whole_segment = prefix.empty() || prefix.back() == '/' || path.size() == prefix.size();
    return whole_segment || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

std::vector<config_block> write_blocks(const config_set& set)
{
    std::vector<config_block> blocks;
    const section_list sections = split_set(set);
    for_each_section(sections, [&](const auto& objects) {
        for (const auto& [name, object] : objects.m_objects) {
            blocks.push_back(config_block{heading_of(objects.m_type, name), write_lines(objects, object)});
        }
    });
    return blocks;
}

std::string join_blocks(const std::vector<config_block>& blocks)
{
    std::string text;
    for (const config_block& block : blocks) {
        text += (text.empty() ? "[" : "\n[") + block.m_section + "]\n" + block.m_lines;
    }
    return text;
}

std::string write_config(const config_set& set)
{
    return join_blocks(write_blocks(set));
}

std::string digest_of(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string digest;
    for (unsigned int index = 0; index < size; ++index) {
        digest += digits[bytes[index] >> 4U];
        digest += digits[bytes[index] & 0xFU];
    }
    return digest;
}

const std::string& host_of(const kind_object& kind)
{
    return kind.m_host.empty() ? kind.m_service.m_value : kind.m_host;
}

kind_index::kind_index(std::shared_ptr<const config_set> set) : m_set(std::move(set))
{
    for (const auto& [name, kind] : m_set->m_kinds) {
        host_entry& host = m_hosts[host_of(kind)];
        std::vector<const kind_object*>& prefix_kinds = host.m_kinds[kind.m_path_prefix];
        prefix_kinds.insert(kind.m_method.empty() ? prefix_kinds.end() : prefix_kinds.begin(), &kind);
        host.m_lengths.push_back(kind.m_path_prefix.size());
    }
    for (auto& [name, host] : m_hosts) {
        std::vector<std::size_t>& lengths = host.m_lengths;
        std::sort(lengths.begin(), lengths.end(), std::greater<>());
        lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
    }
}

bool kind_index::knows(const std::string& host) const
{
    return m_hosts.contains(host) || m_set->m_services.contains(service_name{host});
}

const kind_object* kind_index::find(const std::string& host, const kind_name& explicit_name,
                                    std::string_view method, std::string_view path) const
{
    if (!explicit_name.empty()) {
        const auto found = m_set->m_kinds.find(explicit_name);
        return found != m_set->m_kinds.end() && host_of(found->second) == host ? &found->second : nullptr;
    }
    const auto entry = m_hosts.find(host);
    if (entry == m_hosts.end()) {
        return nullptr;
    }
    for (const std::size_t length : entry->second.m_lengths) {
        const auto prefix_kinds = entry->second.m_kinds.find(path.substr(0, length));
        if (length > path.size() || prefix_kinds == entry->second.m_kinds.end()) {
            continue;
        }
        for (const kind_object* const kind : prefix_kinds->second) {
            if (matches(*kind, method, path)) {
                return kind;
            }
        }
    }
    return nullptr;
}

} // namespace waxwing
