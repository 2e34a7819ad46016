/** @file ini_func.cpp INI parsing with inih, with a line reader that records line numbers. */
#include "config/ini_func.h"

#include <algorithm>
#include <cstring>
#include <ini.h>
#include <optional>

namespace waxwing {

namespace {

constexpr std::string_view whitespace = " \t\r";
constexpr std::size_t line_end_size = 3; ///< Bytes that inih's buffer has beyond the longest line.

/** Strips whitespace from both ends of @p text. */
std::string_view strip(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/** Returns whether @p line contains a control character other than tab and carriage return. */
bool has_control(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) < ' ' && byte != '\t' && byte != '\r') || byte == '\x7f';
    });
}

/** Returns whether @p line is empty or a comment. @pre it is stripped. */
bool is_blank_or_comment(std::string_view line)
{
    return line.empty() || line.front() == ';' || line.front() == '#';
}

/**
 * Feeds lines to inih and collects the keys that it parses. inih only sees lines with keys: headings are
 * parsed here, and every other line reaches it as an empty one.
 */
class ini_source {
public:
    ini_source(const std::string& file, std::string_view text) : m_file(file), m_text(text)
    {
        constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
        if (m_text.substr(0, byte_order_mark.size()) == byte_order_mark) {
            m_text.remove_prefix(byte_order_mark.size());
        }
    }

    /** Copies the next line to @p buffer as fgets does. @return @p buffer; null at the end of the text. */
    char* next_line(char* buffer, std::size_t size)
    {
        finish_line();
        if (m_text.empty()) {
            return nullptr;
        }
        const std::size_t end = std::min(m_text.find('\n'), m_text.size());
        const std::string_view line = strip(m_text.substr(0, end));
        m_text.remove_prefix(std::min(end + 1, m_text.size()));
        ++m_line;
        const std::string_view visible_line = accept_line(line, size) ? line : std::string_view{""};
        const std::size_t length = visible_line.copy(buffer, size - 1);
        buffer[length] = '\0';
        return buffer;
    }

    /** Adds a key from the line that next_line returned last. */
    void add_key(const char* name, const char* value)
    {
        m_is_key_expected = false;
        if (m_content.m_sections.empty()) {
            m_content.m_sections.emplace_back();
        }
        m_content.m_sections.back().m_keys.push_back(ini_key{m_line, name, value});
    }

    /** Returns the parsed content. @pre next_line has returned null. */
    ini_content finish() { return std::move(m_content); }

private:
    /** Returns whether @p line is to be parsed by inih; handles headings and invalid lines itself. */
    bool accept_line(std::string_view line, std::size_t size)
    {
        if (line.size() + line_end_size > size) {
            add_error("the line is longer than " + std::to_string(ini_line_limit) + " bytes");
            return false;
        }
        if (has_control(line)) {
            add_error("the line contains a control character");
            return false;
        }
        if (is_blank_or_comment(line)) {
            return false;
        }
        if (line.front() == '[') {
            read_heading(line);
            return false;
        }
        m_is_key_expected = true;
        return true;
    }

    /** Parses a heading. @pre @p line begins with a bracket. */
    void read_heading(std::string_view line)
    {
        const std::size_t end = line.find(']');
        const std::string_view heading = strip(line.substr(1, std::min(end, line.size()) - 1));
        m_content.m_sections.push_back(ini_section{m_line, std::string(heading), {}});
        if (end == std::string_view::npos) {
            add_error("the heading has no closing bracket");
        }
        else if (!is_blank_or_comment(strip(line.substr(end + 1)))) {
            add_error("unexpected text after the heading");
        }
    }

    /** Adds an error if inih did not parse the last line as a key. */
    void finish_line()
    {
        if (m_is_key_expected) {
            add_error("the line is not a heading, key or comment; write a key as NAME = VALUE");
        }
        m_is_key_expected = false;
    }

    /** Adds an error at the current line. */
    void add_error(std::string text)
    {
        m_content.m_errors.push_back(located_error{m_file, m_line, std::move(text)});
    }

    std::string m_file;             ///< File name for errors.
    std::string_view m_text;        ///< Text that has not been read yet.
    int m_line = 0;                 ///< Number of the line that was returned last.
    bool m_is_key_expected = false; ///< Whether inih has yet to report a key for that line.
    ini_content m_content;          ///< Sections and errors so far.
};

char* read_line(char* buffer, int size, void* source)
{
    return static_cast<ini_source*>(source)->next_line(buffer, static_cast<std::size_t>(size));
}

int on_key(void* source, const char* /*section*/, const char* name, const char* value)
{
    static_cast<ini_source*>(source)->add_key(name, value == nullptr ? "" : value);
    return 1;
}

/** Sets the global buffer size of inih to fit the longest line. @return that size, in bytes. */
int set_line_limit()
{
    ini_max_line = static_cast<int>(ini_line_limit + line_end_size);
    return ini_max_line;
}

} // namespace

ini_content read_ini(const std::string& file, std::string_view text)
{
    [[maybe_unused]] static const int line_limit = set_line_limit();
    ini_source source(file, text);
    ini_parse_stream(read_line, &source, on_key, &source);
    return source.finish();
}

} // namespace waxwing
