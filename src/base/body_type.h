/** @file body_type.h The body of a message, held once however often the message is copied. Compiles as C++17.
 */
#ifndef WAXWING_BASE_BODY_TYPE_H
#define WAXWING_BASE_BODY_TYPE_H

#include "base/memory_budget_base.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace waxwing {

/**
 * An immutable text that its copies share, with its part of the memory budget. Converts from and to a string.
 * Thread safety: that of its budget.
 */
class shared_body {
public:
    shared_body() = default;
    shared_body(std::string text) : shared_body(std::move(text), memory_lease{}) {}
    shared_body(std::string_view text) : shared_body(std::string(text)) {}
    shared_body(const char* text) : shared_body(std::string(text)) {}

    /** @param lease counts the bytes; it is released with the last copy. */
    shared_body(std::string text, memory_lease lease)
    {
        if (!text.empty()) {
            m_held = std::make_shared<const held>(std::move(text), std::move(lease));
        }
    }

    const std::string& text() const
    {
        static const std::string empty;
        return m_held ? m_held->m_text : empty;
    }
    operator const std::string&() const { return text(); }

    std::size_t size() const { return text().size(); }
    bool empty() const { return m_held == nullptr; }
    const char* data() const { return text().data(); }
    std::string::const_iterator begin() const { return text().begin(); }
    std::string::const_iterator end() const { return text().end(); }

    /** Lets go of the text; other copies keep it. */
    void clear() { m_held.reset(); }

    friend bool operator==(const shared_body& a, const shared_body& b) { return a.text() == b.text(); }
    friend bool operator==(const shared_body& a, const std::string& b) { return a.text() == b; }
    friend bool operator==(const shared_body& a, const char* b) { return a.text() == b; }

private:
    /** The text with its lease. */
    struct held {
        held(std::string text, memory_lease lease) : m_text(std::move(text)), m_lease(std::move(lease)) {}

        std::string m_text;
        memory_lease m_lease;
    };

    std::shared_ptr<const held> m_held; ///< Null for an empty text.
};

} // namespace waxwing

#endif
