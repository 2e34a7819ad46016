/** @file link_fleet.h A fleet of link tasks on one event loop, and the events that they report. */
#ifndef WAXWING_TEST_LINK_FLEET_H
#define WAXWING_TEST_LINK_FLEET_H

#include "link/link.h"

#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <vector>

namespace waxwing_test {

/** Timeout of run_until, far above the duration of any test; only a hang reaches it. */
inline constexpr waxwing::duration run_timeout = std::chrono::seconds(60);

/** Interval at which run_until checks its condition. */
inline constexpr waxwing::duration check_interval = std::chrono::milliseconds(2);

/** A link task and the events that it reported. */
struct test_node {
    std::unique_ptr<waxwing::link_task> m_task; ///< The task.
    std::vector<waxwing::link_event> m_events;  ///< Reported events, in order.

    /** Returns the events of type @p Event. */
    template<class Event>
    std::vector<Event> events() const
    {
        std::vector<Event> found;
        for (const waxwing::link_event& event : m_events) {
            if (const auto* match = std::get_if<Event>(&event); match != nullptr) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /** Returns the number of events of type @p Event. */
    template<class Event>
    std::size_t count() const
    {
        return events<Event>().size();
    }
};

/** Returns settings of a test node that listens on a port chosen by the system. */
inline waxwing::link_settings settings_of(const std::string& name)
{
    waxwing::link_settings settings;
    settings.m_self = {name};
    settings.m_listen = {"127.0.0.1", 0};
    settings.m_shared_key = "key";
    settings.m_max_reconnect_delay = std::chrono::milliseconds(200);
    return settings;
}

/** Returns a call with a body of @p size bytes. */
inline waxwing::call_message call_of(std::uint64_t attempt, std::size_t size = 10)
{
    waxwing::call_message message;
    message.m_attempt = {attempt};
    message.m_call.m_body = std::string(size, 'x');
    return message;
}

/** Returns an answer to @p attempt. */
inline waxwing::answer_message answer_of(std::uint64_t attempt)
{
    waxwing::answer_message message;
    message.m_attempt = {attempt};
    return message;
}

/** Nodes on one event loop, which runs until a condition holds. */
class test_fleet {
public:
    test_fleet()
        : m_timeout_timer(m_loop,
                          [this] {
                              m_expired = true;
                              m_loop.stop();
                          }),
          m_check_timer(m_loop, [this] { check(); })
    {
    }

    /** Starts a node with @p settings. */
    test_node& start(const waxwing::link_settings& settings)
    {
        m_nodes.push_back(std::make_unique<test_node>());
        test_node& node = *m_nodes.back();
        auto task =
            waxwing::link_task::open(m_loop, settings, m_nodes.size(), [&node](waxwing::link_event&& event) {
                node.m_events.push_back(std::move(event));
            });
        cr_assert(task.has_value(), "%s", task.has_error() ? task.error().m_text.c_str() : "");
        node.m_task = std::move(task).value();
        return node;
    }

    /** Starts a node called @p name. */
    test_node& start(const std::string& name) { return start(settings_of(name)); }

    /** Runs the loop until @p condition holds, checking it at the interval @p interval. */
    void run_until(std::function<bool()> condition, waxwing::duration interval = check_interval)
    {
        m_check_interval = interval;
        m_condition = std::move(condition);
        m_timeout_timer.set(run_timeout);
        m_check_timer.set(waxwing::duration::zero());
        m_loop.run();
        m_timeout_timer.cancel();
        m_check_timer.cancel();
        cr_assert(!m_expired, "timed out waiting for a condition");
    }

    /** Connects @p from to @p to and waits until the link is up on both sides. */
    void link_nodes(test_node& from, const std::string& from_name, test_node& to, const std::string& to_name)
    {
        from.m_task->connect({to_name}, to.m_task->address());
        run_until([&] { return from.m_task->is_up({to_name}) && to.m_task->is_up({from_name}); });
    }

    waxwing::event_loop& loop() { return m_loop; }

private:
    /** Stops the loop if the condition holds, otherwise schedules the next check. */
    void check()
    {
        if (m_condition()) {
            m_loop.stop();
            return;
        }
        m_check_timer.set(m_check_interval);
    }

    waxwing::event_loop m_loop;
    waxwing::timer m_timeout_timer;
    waxwing::timer m_check_timer;
    waxwing::duration m_check_interval = check_interval;
    bool m_expired = false;
    std::function<bool()> m_condition;
    std::vector<std::unique_ptr<test_node>> m_nodes;
};

} // namespace waxwing_test

#endif
