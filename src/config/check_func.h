/** @file check_func.h Validation of a whole configuration. */
#ifndef WAXWING_CONFIG_CHECK_FUNC_H
#define WAXWING_CONFIG_CHECK_FUNC_H

#include "config/config_type.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/** A line in one of the configuration files. */
struct source_position {
    std::size_t m_file = 0; ///< Index in the list of files.
    int m_line = 0;         ///< Line number, from 1; 0 is the file as a whole.

    friend bool operator<(const source_position& a, const source_position& b)
    {
        return std::pair(a.m_file, a.m_line) < std::pair(b.m_file, b.m_line);
    }
};

/** An error and its source position. */
struct positioned_error {
    source_position m_position; ///< The position.
    std::string m_text;         ///< The message.
};

/** Source positions of the objects and keys of a configuration. */
struct position_index {
    std::map<std::string, source_position> m_headings; ///< By heading, such as `kind order`.
    std::map<std::pair<std::string, std::string>, source_position> m_keys; ///< By heading and key.
    std::set<std::pair<std::string, std::string>> m_bad_keys; ///< Missing keys and keys with invalid values.
};

/**
 * Checks @p set as a whole: references, call chains and limits. Thread safety: pure.
 * @param positions gives the errors their position; keys in its m_bad_keys are not compared with others.
 * @return the errors, unsorted.
 */
std::vector<positioned_error> check_set(const config_set& set, const position_index& positions);

} // namespace waxwing

#endif
