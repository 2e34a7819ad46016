/** @file ini_func.h Parsing of INI text into sections and keys with line numbers. */
#ifndef WAXWING_CONFIG_INI_FUNC_H
#define WAXWING_CONFIG_INI_FUNC_H

#include "base/base.h"

#include <string>
#include <vector>

namespace waxwing {

/** Limit for the length of a line, in bytes. A line must hold the hashes of all keys of an organisation, 33
 * bytes each, which the operator may have written in 4 bytes each in a row of 64 KiB. */
inline constexpr std::size_t ini_line_limit = std::size_t{1} << 20U;

/** One key with its value. */
struct ini_key {
    int m_line = 0;      ///< Line number, from 1.
    std::string m_name;  ///< Text left of `=`.
    std::string m_value; ///< Text right of `=`, without surrounding whitespace and trailing comment.
};

/** One section: a `[heading]` and the keys below it. */
struct ini_section {
    int m_line = 0;              ///< Line number, from 1; 0 for keys above the first heading.
    std::string m_heading;       ///< Text between the brackets.
    std::vector<ini_key> m_keys; ///< Keys in file order.
};

/** Parsed INI text. */
struct ini_content {
    std::vector<ini_section> m_sections; ///< Sections in file order; headings may repeat.
    located_errors m_errors;             ///< Errors of lines that could not be parsed.
};

/** Parses @p text; errors name it @p file. Safe on untrusted input. Thread safety: pure. */
ini_content read_ini(const std::string& file, std::string_view text);

} // namespace waxwing

#endif
