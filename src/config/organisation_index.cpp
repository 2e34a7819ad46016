/** @file organisation_index.cpp Hashing keys and finding their organisations. */
#include "config/organisation_index_base.h"

#include "config/config_func.h"

#include <algorithm>

namespace waxwing {

std::string key_hash(std::string_view salt, std::string_view key)
{
    std::string text(salt);
    text += ':';
    text += key;
    std::string hash = digest_of(text);
    hash.resize(key_hash_size);
    return hash;
}

organisation_index::organisation_index(std::shared_ptr<const config_set> set) : m_set(std::move(set))
{
    for (const auto& [name, organisation] : m_set->m_organisations) {
        m_highest_priority = std::min(m_highest_priority, organisation.m_priority);
        for (const std::string& hash : organisation.m_keys) {
            m_holders.emplace(hash, &organisation);
        }
    }
}

const organisation_object* organisation_index::find(std::string_view key) const
{
    const auto holder = m_holders.find(key_hash(m_set->m_key_salt, key));
    return holder == m_holders.end() ? nullptr : holder->second;
}

} // namespace waxwing
