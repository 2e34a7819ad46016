/** @file config_func.h Reading, checking, comparing and merging configurations. */
#ifndef WAXWING_CONFIG_CONFIG_FUNC_H
#define WAXWING_CONFIG_CONFIG_FUNC_H

#include "config/config_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** Bytes of the files of a set together. */
inline constexpr std::size_t config_text_limit = std::size_t{1} << 20U;

/** Objects of one sort in a set. */
inline constexpr std::size_t object_limit = 4096;

/** Reads and checks a whole set. @return the set, or every error with file and line. Thread safety: pure. */
result<config_set, located_errors> read_config(const std::vector<config_file>& files);

/** Writes @p set in the one form that has the same bytes for equal sets. Thread safety: pure. */
std::string write_config(const config_set& set);

/** One object as write_config writes it. */
struct config_block {
    std::string m_section; ///< As `kind order`.
    std::string m_lines;   ///< Its keys, a line each.

    friend bool operator==(const config_block&, const config_block&) = default;
};

/** Writes the objects of @p set apart, in the order of write_config. Thread safety: pure. */
std::vector<config_block> write_blocks(const config_set& set);

/** Joins @p blocks to what write_config gives for the set that they came from. */
std::string join_blocks(const std::vector<config_block>& blocks);

/** Gives the SHA-256 of @p text in hexadecimal. */
std::string digest_of(std::string_view text);

/** What happened to one object. */
enum class change_type { added, removed, changed };

/** Names of what happened to an object. */
inline constexpr name_table<3> change_type_names{"added", "removed", "changed"};

/** Lines of the longest summary. */
inline constexpr std::size_t summary_limit = 64;

/** One object that differs. */
struct config_change {
    change_type m_type = change_type::changed; ///< What happened.
    std::string m_object;                      ///< As `kind order`.
    std::string m_before;                      ///< Its lines before; empty where added.
    std::string m_after;                       ///< Its lines after; empty where removed.
};

/** Lists what differs from @p before to @p after. Thread safety: pure. */
std::vector<config_change> diff_configs(const config_set& before, const config_set& after);

/** Writes @p changes as `changed kind order`, an object a line, and how many more there are. */
std::string summarise(const std::vector<config_change>& changes);

/** Why two changes can't be merged. */
struct merge_failure {
    std::vector<std::string> m_conflicts; ///< Objects that both changed, as `kind order`.
    located_errors m_errors;              ///< What is wrong with the merged set where no object clashes.
};

/** Merges @p mine and @p theirs, which both grew from @p base, and checks the whole. Thread safety: pure. */
result<config_set, merge_failure> merge_configs(const config_set& base, const config_set& mine,
                                                const config_set& theirs);

/** Gives the host that requests of @p kind name. */
const std::string& host_of(const kind_object& kind);

/** Finds the kinds of requests in one set. Thread safety: immutable once made. */
class kind_index {
public:
    /** Indexes @p set, which is kept. */
    explicit kind_index(std::shared_ptr<const config_set> set);

    /** Tells whether any kind or service has the name @p host. */
    bool knows(const std::string& host) const;

    /**
     * Finds the kind of a request: by @p named where it is not empty, else by the longest path prefix among
     * the kinds of @p host that allow @p method; null where none matches.
     */
    const kind_object* find(const std::string& host, const kind_name& named, std::string_view method,
                            std::string_view path) const;

private:
    /** The kinds of one host by path prefix; those for one method only come before the others. */
    using prefixes = std::unordered_map<std::string_view, std::vector<const kind_object*>>;

    /** What is known of one host. */
    struct host_entry {
        prefixes m_kinds;                   ///< By path prefix.
        std::vector<std::size_t> m_lengths; ///< Of the prefixes, longest first, each once.
    };

    std::shared_ptr<const config_set> m_set;
    std::unordered_map<std::string, host_entry> m_hosts;
};

} // namespace waxwing

#endif
