/** @file connect_probe.cpp Checks whether an address accepts connections. */
#include "http/connect_probe_base.h"

namespace waxwing {

/** The connection attempt in progress. */
struct connect_probe::state {
    state(event_loop& loop, handler on_end)
        : m_on_end(std::move(on_end)),
          m_watcher(loop, [this](int) { end(connect_succeeded(m_socket.get())); }),
          m_timer(loop, [this] { end(false); })
    {
    }

    /** Ends the attempt and reports its result. */
    void end(bool accepts)
    {
        m_watcher.stop();
        m_timer.cancel();
        m_socket.reset();
        m_on_end(accepts);
    }

    handler m_on_end;
    descriptor m_socket;
    io_watcher m_watcher;
    timer m_timer;
};

connect_probe::connect_probe(event_loop& loop, handler on_end)
    : m_state(std::make_unique<state>(loop, std::move(on_end)))
{
}

connect_probe::~connect_probe() = default;

void connect_probe::start(const endpoint& address, duration timeout)
{
    m_state->m_watcher.stop();
    result<descriptor> socket = start_connect(address, socket_use::http);
    if (socket.has_error()) {
        m_state->m_timer.set(duration::zero());
        return;
    }
    m_state->m_socket = std::move(socket).value();
    m_state->m_watcher.watch(m_state->m_socket.get(), EV_WRITE);
    m_state->m_timer.set(timeout);
}

} // namespace waxwing
