/** @file accept_gate_base.h Limits the accepted connections that are not yet authenticated. C++17. */
#ifndef WAXWING_LINK_ACCEPT_GATE_BASE_H
#define WAXWING_LINK_ACCEPT_GATE_BASE_H

#include "base/base.h"

#include <cstddef>

namespace waxwing {

/** What to do with a connection that waits to be accepted. */
enum class accept_step {
    accept,       ///< Accept it.
    evict_oldest, ///< Close the oldest unauthenticated connection, then accept.
    wait          ///< Leave it in the listen queue for now.
};

/** Maximum number of accepted connections whose peer has not yet proven the shared key. */
inline constexpr std::size_t unauthenticated_limit = 128;

/** Minimum age of an unauthenticated connection before eviction; a handshake takes a few round trips. */
inline constexpr duration unauthenticated_grace_period = std::chrono::milliseconds(250);

/**
 * Decides whether to accept the next connection.
 * @param unauthenticated number of accepted connections that are not authenticated.
 * @param oldest_age age of the oldest of them.
 * Thread safety: pure.
 */
constexpr accept_step decide_accept(std::size_t unauthenticated, duration oldest_age)
{
    if (unauthenticated < unauthenticated_limit) {
        return accept_step::accept;
    }
    return oldest_age >= unauthenticated_grace_period ? accept_step::evict_oldest : accept_step::wait;
}

} // namespace waxwing

#endif
