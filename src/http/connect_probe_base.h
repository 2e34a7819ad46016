/** @file connect_probe_base.h Checks whether an address accepts connections. */
#ifndef WAXWING_HTTP_CONNECT_PROBE_BASE_H
#define WAXWING_HTTP_CONNECT_PROBE_BASE_H

#include "base/base.h"
#include "loop/loop.h"

#include <functional>
#include <memory>

namespace waxwing {

/**
 * Opens one connection and closes it at once, without sending a request.
 * Thread safety: for the loop's thread only.
 */
class connect_probe {
public:
    using handler = std::function<void(bool accepts)>;

    /** @param on_end is never called from within a call of this class. @pre @p loop outlives this. */
    connect_probe(event_loop& loop, handler on_end);
    ~connect_probe();
    connect_probe(const connect_probe&) = delete;
    connect_probe& operator=(const connect_probe&) = delete;

    /** Tries to connect to @p address and calls the handler once. Replaces an attempt in progress. */
    void start(const endpoint& address, duration timeout);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
