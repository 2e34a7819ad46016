/** @file organisation_index_base.h Maps keys to the organisations that hold them. */
#ifndef WAXWING_CONFIG_ORGANISATION_INDEX_BASE_H
#define WAXWING_CONFIG_ORGANISATION_INDEX_BASE_H

#include "config/config_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace waxwing {

/** Number of hexadecimal digits of the hash of a key. */
inline constexpr std::size_t key_hash_size = 32;

/** Returns the hash by which a configuration stores @p key: the first 128 bits of SHA-256 over @p salt, `:`
 * and
 * @p key, in lower-case hexadecimal. Thread safety: pure. */
std::string key_hash(std::string_view salt, std::string_view key);

/** Maps keys to the organisations of one configuration. Thread safety: immutable after construction. */
class organisation_index {
public:
    /** Indexes @p set and shares its ownership. */
    explicit organisation_index(std::shared_ptr<const config_set> set);

    /** Returns whether the configuration has no organisation, so that requests need no key. */
    bool empty() const { return m_set->m_organisations.empty(); }

    /** Returns the highest priority of an organisation: the least number. @pre not empty(). */
    std::uint8_t highest_priority() const { return m_highest_priority; }

    /** Returns the organisation that holds @p key, or null if none does; valid as long as the index. Keys are
     * compared by their hashes, so that the time of a look-up reveals nothing about a key. */
    const organisation_object* find(std::string_view key) const;

private:
    std::shared_ptr<const config_set> m_set;
    std::uint8_t m_highest_priority = 255;
    std::unordered_map<std::string_view, const organisation_object*> m_holders; ///< By hash of a key.
};

} // namespace waxwing

#endif
