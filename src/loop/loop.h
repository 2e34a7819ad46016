/** @file loop.h Public header of the loop library: libev's loop, watchers, timers and mailboxes. C++17. */
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

/** One libev loop. Thread safety: for the thread that runs it only. */
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Gives the present time, read afresh. */
    static instant now();

    /** Gives the wall-clock time, for records only. */
    static wall_time wall_now();

    /** Runs until stop is called. @pre Not running already. */
    void run();

    /** Makes run return after the event in hand. */
    void stop();

    /** Gives libev's handle, for watchers. */
    struct ev_loop* handle() { return m_handle; }

private:
    struct ev_loop* m_handle; ///< Owned.
};

/** Watches a descriptor. Thread safety: for the loop's thread only. */
class io_watcher {
public:
    using handler = std::function<void(int events)>;

    /** Prepares to call @p on_ready; watches nothing yet. @pre @p loop outlives this. */
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

/** Calls a handler once at a given time. Thread safety: for the loop's thread only. */
class timer {
public:
    using handler = std::function<void()>;

    /** Prepares to call @p on_time; set starts it. @pre @p loop outlives this. */
    timer(event_loop& loop, handler on_time);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /** Calls the handler after @p delay; replaces an earlier setting. */
    void set(duration delay);

    /** Calls the handler no more until set is called. */
    void cancel();

    /** Tells whether the handler is still to be called. */
    bool pending() const;

private:
    event_loop& m_loop;
    handler m_on_time;
    ev_timer m_watcher{};
};

/** Calls a handler in the loop's next step after wake; many wakes are one call. */
class wakeup {
public:
    /** Prepares to call @p on_wake. @pre @p loop outlives this. */
    wakeup(event_loop& loop, std::function<void()> on_wake);
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    /** Asks for one call. */
    void wake();

private:
    event_loop& m_loop;
    std::function<void()> m_on_wake;
    ev_prepare m_watcher{};
};

/** Calls a handler when the process gets a signal. */
class signal_watcher {
public:
    /** Calls @p on_signal for each @p signal_number. @pre @p loop is the process's only one. */
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
 * A queue of messages to one task. The handler gets each message in the order of posting, never from within
 * post. Thread safety: for the loop's thread only.
 */
template<class Message>
class mailbox {
public:
    using handler = std::function<void(Message&&)>;

    /** Prepares to hand messages to @p on_message. @pre @p loop outlives this. */
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
    /** Hands over what is queued now; what is posted meanwhile waits for the next call. */
    void deliver()
    {
        m_batch.clear();
        m_batch.swap(m_queue);
        for (Message& message : m_batch) {
            m_on_message(std::move(message));
        }
    }

    handler m_on_message;
    std::vector<Message> m_queue; ///< Posted and not yet handed over.
    std::vector<Message> m_batch; ///< Being handed over.
    wakeup m_wakeup;
};

} // namespace waxwing

#endif
