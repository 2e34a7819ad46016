/** @file loop.cpp Implementation of the event loop on libev. */
#include "loop/loop.h"

#include <ctime>
#include <exception>

namespace waxwing {

event_loop::event_loop() : m_handle(ev_loop_new(EVFLAG_AUTO))
{
    if (m_handle == nullptr) {
        std::terminate();
    }
}

event_loop::~event_loop()
{
    ev_loop_destroy(m_handle);
}

instant event_loop::now()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return instant{std::chrono::seconds(time.tv_sec) + duration(time.tv_nsec)};
}

boot_instant event_loop::boot_now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return boot_instant{std::chrono::seconds(time.tv_sec) + duration(time.tv_nsec)};
}

wall_time event_loop::wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

void event_loop::run()
{
    ev_run(m_handle, 0);
}

void event_loop::stop()
{
    ev_break(m_handle, EVBREAK_ALL);
}

io_watcher::io_watcher(event_loop& loop, handler on_ready) : m_loop(loop), m_on_ready(std::move(on_ready))
{
    ev_init(&m_watcher, [](struct ev_loop*, ev_io* watcher, int events) {
        static_cast<io_watcher*>(watcher->data)->m_on_ready(events);
    });
    m_watcher.data = this;
}

io_watcher::~io_watcher()
{
    stop();
}

void io_watcher::watch(int descriptor, int events)
{
    stop();
    if (events == 0) {
        return;
    }
    ev_io_set(&m_watcher, descriptor, events);
    ev_io_start(m_loop.handle(), &m_watcher);
}

void io_watcher::stop()
{
    ev_io_stop(m_loop.handle(), &m_watcher);
}

timer::timer(event_loop& loop, handler on_expiry) : m_loop(loop), m_on_expiry(std::move(on_expiry))
{
    ev_init(&m_watcher, [](struct ev_loop*, ev_timer* watcher, int) {
        static_cast<timer*>(watcher->data)->m_on_expiry();
    });
    m_watcher.data = this;
}

timer::~timer()
{
    cancel();
}

void timer::set(duration delay)
{
    cancel();
    ev_now_update(m_loop.handle());
    const double seconds = delay > duration::zero() ? to_seconds(delay) : 0.0;
    ev_timer_set(&m_watcher, seconds, 0.0);
    ev_timer_start(m_loop.handle(), &m_watcher);
}

void timer::cancel()
{
    ev_timer_stop(m_loop.handle(), &m_watcher);
}

bool timer::pending() const
{
    return ev_is_active(&m_watcher);
}

wakeup::wakeup(event_loop& loop, std::function<void()> on_wake) : m_loop(loop), m_on_wake(std::move(on_wake))
{
    ev_init(&m_watcher, [](struct ev_loop*, ev_prepare* watcher, int) {
        static_cast<wakeup*>(watcher->data)->m_on_wake();
    });
    m_watcher.data = this;
}

wakeup::~wakeup()
{
    ev_clear_pending(m_loop.handle(), &m_watcher);
}

void wakeup::wake()
{
    ev_feed_event(m_loop.handle(), &m_watcher, 0);
}

signal_watcher::signal_watcher(event_loop& loop, int signal_number, std::function<void()> on_signal)
    : m_loop(loop), m_on_signal(std::move(on_signal))
{
    ev_signal_init(
        &m_watcher,
        [](struct ev_loop*, ev_signal* watcher, int) {
            static_cast<signal_watcher*>(watcher->data)->m_on_signal();
        },
        signal_number);
    m_watcher.data = this;
    ev_signal_start(m_loop.handle(), &m_watcher);
}

signal_watcher::~signal_watcher()
{
    ev_signal_stop(m_loop.handle(), &m_watcher);
}

} // namespace waxwing
