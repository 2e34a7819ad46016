/** @file server_connection_memory.cpp What a connection holds, and its release when memory is short. */
#include "http/message_func.h"
#include "http/server_connection_base.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr unsigned unavailable_status = 503;

} // namespace

std::size_t server_connection::held() const
{
    std::size_t sum = m_lease.size() + m_output.size();
    for (const pending_exchange& exchange : m_pending) {
        sum += exchange.m_reply ? exchange.m_reply->m_body.size() : 0;
    }
    return sum;
}

/** Returns whether the budget has room for one more read. */
bool server_connection::has_room() const
{
    const std::shared_ptr<memory_budget>& budget = m_context.m_settings.m_budget;
    if (budget == nullptr || m_phase != phase::open || m_last_received) {
        return true;
    }
    std::size_t expected = m_lease.size();
    if (m_parser && m_parser->is_header_done()) {
        expected = std::max<std::size_t>(expected, m_parser->content_length().value_or(0));
    }
    return budget->has_room(read_size, use_of(expected));
}

/** Counts the bytes received of an unfinished request. */
void server_connection::update_lease()
{
    if (m_input.empty()) {
        std::string().swap(m_input); // Frees the buffer: there may be thousands of connections.
    }
    const bool has_body = m_parser && m_parser->is_header_done();
    m_lease.resize(m_input.size() + (has_body ? m_parser->get().body().size() : 0));
}

void server_connection::resume()
{
    m_paused = false;
    update();
}

void server_connection::evict()
{
    m_paused = false;
    const bool receives = m_phase == phase::open && !m_last_received && (m_parser || !m_input.empty());
    if (!receives || !m_output.empty()) {
        close();
        return;
    }
    refuse(unavailable_status);
    update();
}

} // namespace waxwing
