/** @file error_type.h Errors as values. This header compiles as C++17. */
#ifndef WAXWING_BASE_ERROR_TYPE_H
#define WAXWING_BASE_ERROR_TYPE_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing {

/** The category of an error. Programs decide by the code; the text is for human readers. */
enum class error_code {
    invalid,      ///< The input violates a rule.
    not_found,    ///< The named object does not exist.
    conflict,     ///< A concurrent change was applied first.
    unavailable,  ///< The peer could not be reached or refused temporarily; nothing took effect.
    unknown,      ///< The answer was lost; the operation may or may not have taken effect.
    unauthorised, ///< The credentials are missing or wrong.
    exhausted,    ///< A limit was reached.
    system        ///< The operating system reported an error.
};

/** Returns the name of @p code. */
std::string_view to_string(error_code code);

/** An error: a code for programs and a text for human readers. */
struct error {
    error_code m_code = error_code::invalid; ///< The category.
    std::string m_text;                      ///< One sentence without a full stop.
};

/** A value or an error. Accessing the one that is absent violates an invariant and terminates the process. */
template<class T, class E = error>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/** Returns a success without a value. */
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/** Returns a failure with @p code and @p text. */
inline auto fail(error_code code, std::string text)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(error{code, std::move(text)});
}

/** An error at a position in a file. */
struct located_error {
    std::string m_file; ///< The file's name as passed to the reader.
    int m_line = 0;     ///< The line, counted from one; zero if the error concerns the whole file.
    std::string m_text; ///< One sentence without a full stop.
};

/** All errors of an input, ordered by file and line. */
using located_errors = std::vector<located_error>;

/** Formats @p where as `file:line: text`. */
std::string to_string(const located_error& where);

} // namespace waxwing

#endif
