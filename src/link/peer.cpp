/** @file peer.cpp State of one peer of a link task. */
#include "link/peer_base.h"

#include <algorithm>

namespace waxwing {

namespace {

/** Decrements @p count unless it is zero; a peer may send an answer that matches no call. */
void decrement_if_positive(std::size_t& count)
{
    if (count > 0) {
        --count;
    }
}

} // namespace

link_connection* peer_state::choose_link(const link_message& message) const
{
    const auto newest = std::find_if(m_links.rbegin(), m_links.rend(),
                                     [](const peer_link& entry) { return entry.takes_calls(); });
    if (newest != m_links.rend()) {
        return newest->m_link;
    }
    const bool ends_a_call =
        std::holds_alternative<answer_message>(message) || std::holds_alternative<cancel_message>(message);
    return ends_a_call && !m_links.empty() ? m_links.back().m_link : nullptr;
}

peer_link* peer_state::find(const link_connection& link)
{
    const auto at = std::find_if(m_links.begin(), m_links.end(),
                                 [&](const peer_link& entry) { return entry.m_link == &link; });
    return at == m_links.end() ? nullptr : &*at;
}

bool peer_state::remove(const link_connection& link)
{
    const peer_link* entry = find(link);
    if (entry == nullptr) {
        return false;
    }
    m_links.erase(m_links.begin() + (entry - m_links.data()));
    if (m_links.empty()) {
        m_calls_out = 0;
        m_calls_in = 0;
    }
    return true;
}

std::size_t peer_state::queued_bytes() const
{
    std::size_t sum = 0;
    for (const peer_link& entry : m_links) {
        sum += entry.m_link->queued_bytes();
    }
    return sum;
}

void peer_state::record_sent(const link_message& message)
{
    if (std::holds_alternative<call_message>(message)) {
        ++m_calls_out;
    }
    if (std::holds_alternative<answer_message>(message)) {
        decrement_if_positive(m_calls_in);
    }
}

void peer_state::record_received(const link_message& message)
{
    if (std::holds_alternative<call_message>(message)) {
        ++m_calls_in;
    }
    if (std::holds_alternative<answer_message>(message)) {
        decrement_if_positive(m_calls_out);
    }
}

void peer_state::record_undelivered(const link_message& message)
{
    if (std::holds_alternative<call_message>(message)) {
        decrement_if_positive(m_calls_out);
    }
}

bool peer_state::may_end(const peer_link& entry) const
{
    const bool other_link = m_links.size() > 1;
    const bool answered = m_calls_out == 0 && m_calls_in == 0;
    return entry.m_leaving && entry.m_leave_confirmed && entry.m_link->is_drained() &&
           (other_link || answered);
}

} // namespace waxwing
