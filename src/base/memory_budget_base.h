/** @file memory_budget_base.h Accounting for the bytes of bodies and buffers that a process holds. Compiles
 * as C++17. */
#ifndef WAXWING_BASE_MEMORY_BUDGET_BASE_H
#define WAXWING_BASE_MEMORY_BUDGET_BASE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace waxwing {

/** How much of the budget a reservation may use. */
enum class memory_use {
    small, ///< All of it.
    large  ///< Not the reserve that is kept for small requests.
};

/** Longest body or message that counts as small, in bytes. */
inline constexpr std::size_t max_small_bytes = 64 * 1024;

/** Returns the use of a body or message of @p bytes. */
constexpr memory_use use_of(std::size_t bytes)
{
    return bytes <= max_small_bytes ? memory_use::small : memory_use::large;
}

/**
 * The bytes that bodies and buffers of this process may take together, and those that they take. Pure.
 * Thread safety: none; one owner, or owners on one thread.
 */
class memory_budget {
public:
    /** @param limit in bytes. */
    explicit memory_budget(std::size_t limit) : m_limit(limit) {}

    /** Returns whether @p bytes more fit. */
    bool has_room(std::size_t bytes, memory_use use) const
    {
        const std::size_t limit = use == memory_use::large ? large_limit() : m_limit;
        return m_used <= limit && bytes <= limit - m_used;
    }

    /** Reserves @p bytes if they fit; otherwise reports the shortage. @return whether they fit. */
    bool try_reserve(std::size_t bytes, memory_use use)
    {
        if (!has_room(bytes, use)) {
            report_shortage();
            return false;
        }
        m_used += bytes;
        return true;
    }

    /** Counts @p bytes that are held already, whether or not they fit. */
    void reserve(std::size_t bytes) { m_used += bytes; }

    /** Releases @p bytes. @pre They were reserved. */
    void release(std::size_t bytes) { m_used -= bytes; }

    /** Tells the handler that something did not fit. */
    void report_shortage()
    {
        if (m_on_shortage) {
            m_on_shortage();
        }
    }

    /** Sets the handler that is called when something did not fit; it must not call the budget. */
    void set_shortage_handler(std::function<void()> on_shortage) { m_on_shortage = std::move(on_shortage); }

    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }

    /** Returns how much of the budget large bodies may fill, in bytes. */
    std::size_t large_limit() const { return m_limit - m_limit / reserve_divisor; }

private:
    static constexpr std::size_t reserve_divisor = 8; ///< One part of so many is kept for small requests.

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::function<void()> m_on_shortage;
};

/**
 * A part of a budget, released when the object ends. Without a budget it only counts.
 * Thread safety: that of its budget.
 */
class memory_lease {
public:
    memory_lease() = default;
    explicit memory_lease(std::shared_ptr<memory_budget> budget) : m_budget(std::move(budget)) {}
    memory_lease(memory_lease&& other) noexcept
        : m_budget(std::move(other.m_budget)), m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    memory_lease& operator=(memory_lease&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease() { resize(0); }

    /** Reserves @p bytes more if they fit. @return whether they did. */
    bool try_grow(std::size_t bytes, memory_use use)
    {
        if (m_budget && !m_budget->try_reserve(bytes, use)) {
            return false;
        }
        m_bytes += bytes;
        return true;
    }

    /** Changes the reservation to @p bytes, whether or not they fit. */
    void resize(std::size_t bytes)
    {
        if (m_budget) {
            m_budget->release(m_bytes);
            m_budget->reserve(bytes);
        }
        m_bytes = bytes;
    }

    std::size_t size() const { return m_bytes; }

private:
    std::shared_ptr<memory_budget> m_budget; ///< Null if the bytes are not limited.
    std::size_t m_bytes = 0;
};

} // namespace waxwing

#endif
