/** @file config_func.h Parsing, validating, serialising, comparing and merging configurations. */
#ifndef WAXWING_CONFIG_CONFIG_FUNC_H
#define WAXWING_CONFIG_CONFIG_FUNC_H

#include "config/config_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing {

/** Limit for the total size of the files of a configuration, in bytes: well below what the platform's store
 * takes as one object. */
inline constexpr std::size_t config_text_limit = std::size_t{4} << 20U;

/** Limit for the number of objects of one type in a configuration; about as many fit into the text. */
inline constexpr std::size_t object_limit = 16'384;

/**
 * Parses and validates a whole configuration. Thread safety: pure.
 * @return the configuration, or its errors with file and line, of which at most the first 200 are listed.
 */
result<config_set, located_errors> read_config(const std::vector<config_file>& files);

/** Serialises @p set in canonical form: equal configurations give the same bytes. Thread safety: pure. */
std::string write_config(const config_set& set);

/** One object in the canonical form of write_config. */
struct config_block {
    std::string m_section; ///< Heading, such as `kind order`.
    std::string m_lines;   ///< Its keys, one per line.

    friend bool operator==(const config_block&, const config_block&) = default;
};

/** Serialises each object of @p set by itself, in the order of write_config. Thread safety: pure. */
std::vector<config_block> write_blocks(const config_set& set);

/** Joins the blocks from write_blocks; the result equals that of write_config. Thread safety: pure. */
std::string join_blocks(const std::vector<config_block>& blocks);

/** Returns the SHA-256 of @p text in lower-case hexadecimal. */
std::string digest_of(std::string_view text);

/** How one object differs between two configurations. */
enum class change_type { added, removed, changed };

/** Names of change_type, as in summaries. */
inline constexpr name_table<3> change_type_names{"added", "removed", "changed"};

/** Limit for the number of objects that a summary lists. */
inline constexpr std::size_t summary_limit = 64;

/** One object that differs between two configurations. */
struct config_change {
    change_type m_type = change_type::changed; ///< How it differs.
    std::string m_object;                      ///< Heading, such as `kind order`.
    std::string m_before;                      ///< Its lines before the change; empty if added.
    std::string m_after;                       ///< Its lines after the change; empty if removed.
};

/** Lists the objects that differ between @p before and @p after, by heading. Thread safety: pure. */
std::vector<config_change> diff_configs(const config_set& before, const config_set& after);

/**
 * Lists @p changes, one per line, such as `changed kind order`. Beyond summary_limit only the number of
 * further changes is given.
 */
std::string summarise(const std::vector<config_change>& changes);

/** Why two configurations can't be merged. */
struct merge_failure {
    std::vector<std::string> m_conflicts; ///< Headings of the objects that both changed differently.
    located_errors m_errors;              ///< Errors of the merged configuration, if there is no conflict.
};

/**
 * Three-way merge, object by object, of @p mine and @p theirs, which both derive from @p base; validates the
 * result. Thread safety: pure.
 */
result<config_set, merge_failure> merge_configs(const config_set& base, const config_set& mine,
                                                const config_set& theirs);

/** Returns the host that @p kind matches: its own, or else the name of its service. */
const std::string& host_of(const kind_object& kind);

/** Maps requests to the kinds of one configuration. Thread safety: immutable after construction. */
class kind_index {
public:
    /** Indexes @p set and shares its ownership. */
    explicit kind_index(std::shared_ptr<const config_set> set);

    /** Returns whether a kind matches @p host, or a service has this name. */
    bool knows(const std::string& host) const;

    /**
     * Finds the kind of a request: the kind @p explicit_name of @p host if that name is not empty, else the
     * kind of @p host with the longest matching path prefix that allows @p method.
     * @return the kind, or null if none matches; valid as long as the index.
     */
    const kind_object* find(const std::string& host, const kind_name& explicit_name, std::string_view method,
                            std::string_view path) const;

private:
    /** The kinds of one host by path prefix; kinds for a specific method come before those for any method. */
    using prefixes = std::unordered_map<std::string_view, std::vector<const kind_object*>>;

    /** The kinds of one host. */
    struct host_entry {
        prefixes m_kinds;                   ///< By path prefix.
        std::vector<std::size_t> m_lengths; ///< Distinct lengths of the prefixes, longest first.
    };

    std::shared_ptr<const config_set> m_set;
    std::unordered_map<std::string, host_entry> m_hosts;
};

} // namespace waxwing

#endif
