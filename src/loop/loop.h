/** @file loop.h Public header of the loop library: libev loop, watchers, timers and mailboxes. C++17. */
#ifndef WAXWING_LOOP_LOOP_H
#define WAXWING_LOOP_LOOP_H

#include "base/base.h"
#include "loop/socket_func.h"

#include <ev.h>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace waxwing {

/** An event loop of libev. Thread safety: for the thread that runs it only. */
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Returns the current monotonic time, read from the clock on each call. */
    static instant now();

    /** Returns the time since the start of the machine, the time in which it was suspended included. */
    static boot_instant boot_now();

    /** Returns the wall-clock time, for records only. */
    static wall_time wall_now();

    /** Runs until stop() is called. @pre Not running already. */
    void run();

    /** Makes run() return after the events that are already pending. */
    void stop();

    /** Returns the handle of libev, for watchers. */
    struct ev_loop* handle() { return m_handle; }

private:
    struct ev_loop* m_handle; ///< Owned.
};

/** Calls a handler when a descriptor is ready. Thread safety: for the loop's thread only. */
class io_watcher {
public:
    using handler = std::function<void(int events)>;

    /** @param on_ready is called for each event that is watched. @pre @p loop outlives this. */
    io_watcher(event_loop& loop, handler on_ready);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    /** Watches @p descriptor for @p events (EV_READ | EV_WRITE); 0 watches nothing. */
    void watch(int descriptor, int events);

    /** Stops watching. */
    void stop();

private:
    event_loop& m_loop;
    handler m_on_ready;
    ev_io m_watcher{};
};

/** Calls a handler once after a delay. Thread safety: for the loop's thread only. */
class timer {
public:
    using handler = std::function<void()>;

    /** @param on_expiry is called once the delay passed to set() is over. @pre @p loop outlives this. */
    timer(event_loop& loop, handler on_expiry);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /** Starts the timer, or restarts it, with @p delay; a negative one counts as zero. */
    void set(duration delay);

    /** Stops the timer until set() is called again. */
    void cancel();

    /** Returns whether the timer is running. */
    bool pending() const;

private:
    event_loop& m_loop;
    handler m_on_expiry;
    ev_timer m_watcher{};
};

/**
 * Calls a handler from the event loop after wake(), never from within it. Calls of wake() before the handler
 * runs result in one call.
 */
class wakeup {
public:
    /** @pre @p loop outlives this. */
    wakeup(event_loop& loop, std::function<void()> on_wake);
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    /** Schedules a call of the handler. */
    void wake();

private:
    event_loop& m_loop;
    std::function<void()> m_on_wake;
    ev_prepare m_watcher{};
};

/** Calls a handler when the process receives a signal. */
class signal_watcher {
public:
    /** Calls @p on_signal for each @p signal_number. @pre @p loop is the only one in the process. */
    signal_watcher(event_loop& loop, int signal_number, std::function<void()> on_signal);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;

private:
    event_loop& m_loop;
    std::function<void()> m_on_signal;
    ev_signal m_watcher{};
};

/**
 * A queue of messages to one task. The handler is called for the messages in the order of posting, never from
 * within post(). Thread safety: for the loop's thread only.
 */
template<class Message>
class mailbox {
public:
    using handler = std::function<void(Message&&)>;

    /** @param on_message is called for each message. @pre @p loop outlives this. */
    mailbox(event_loop& loop, handler on_message)
        : m_on_message(std::move(on_message)), m_wakeup(loop, [this] { deliver(); })
    {
    }

    /** Adds @p message to the queue. */
    void post(Message message)
    {
        m_queue.push_back(std::move(message));
        m_wakeup.wake();
    }

private:
    /** Delivers the queued messages; those posted meanwhile wait for the next call. */
    void deliver()
    {
        m_batch.clear();
        m_batch.swap(m_queue);
        for (Message& message : m_batch) {
            m_on_message(std::move(message));
        }
    }

    handler m_on_message;
    std::vector<Message> m_queue; ///< Posted and not yet being delivered.
    std::vector<Message> m_batch; ///< Being delivered.
    wakeup m_wakeup;
};

} // namespace waxwing

#endif
