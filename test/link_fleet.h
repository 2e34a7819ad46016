/** @file link_fleet.h Link tasks on one loop, and what they told. */
#ifndef WAXWING_TEST_LINK_FLEET_H
#define WAXWING_TEST_LINK_FLEET_H

#include "link/link.h"

#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <vector>

namespace waxwing_test {

/** Far beyond any time that a test takes; only a hang comes here. */
inline constexpr waxwing::duration guard_time = std::chrono::seconds(60);

/** Time between two looks at a condition that no event announces. */
inline constexpr waxwing::duration look_again = std::chrono::milliseconds(2);

/** A link task with all that it told. */
struct test_node {
    std::unique_ptr<waxwing::link_task> m_task; ///< The task.
    std::vector<waxwing::link_event> m_events;  ///< In the order of their coming.

    /** Lists the events of the type @p Event. */
    template<class Event>
    std::vector<Event> all() const
    {
        std::vector<Event> found;
        for (const waxwing::link_event& event : m_events) {
            if (const auto* match = std::get_if<Event>(&event); match != nullptr) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /** Counts the events of the type @p Event. */
    template<class Event>
    std::size_t count() const
    {
        return all<Event>().size();
    }
};

/** Gives settings of a node of the test fleet, on a port that the system chooses. */
inline waxwing::link_settings settings_of(const std::string& name)
{
    waxwing::link_settings settings;
    settings.m_self = {name};
    settings.m_listen = {"127.0.0.1", 0};
    settings.m_shared_key = "key";
    settings.m_max_reconnect_delay = std::chrono::milliseconds(200);
    return settings;
}

/** Makes a call with a body of @p size bytes. */
inline waxwing::call_message call_of(std::uint64_t attempt, std::size_t size = 10)
{
    waxwing::call_message message;
    message.m_attempt = {attempt};
    message.m_call.m_body = std::string(size, 'x');
    return message;
}

/** Makes the answer to @p attempt. */
inline waxwing::answer_message answer_of(std::uint64_t attempt)
{
    waxwing::answer_message message;
    message.m_attempt = {attempt};
    return message;
}

/** A loop with nodes on it, which runs until a condition holds. */
class test_fleet {
public:
    test_fleet()
        : m_guard(m_loop,
                  [this] {
                      m_expired = true;
                      m_loop.stop();
                  }),
          m_look(m_loop, [this] { look(); })
    {
    }

    /** Starts a node. */
    test_node& start(const waxwing::link_settings& settings)
    {
        m_nodes.push_back(std::make_unique<test_node>());
        test_node& node = *m_nodes.back();
        auto opened =
            waxwing::link_task::open(m_loop, settings, m_nodes.size(), [&node](waxwing::link_event&& event) {
                node.m_events.push_back(std::move(event));
            });
        cr_assert(opened.has_value(), "%s", opened.has_error() ? opened.error().m_text.c_str() : "");
        node.m_task = std::move(opened).value();
        return node;
    }

    /** Starts a node called @p name. */
    test_node& start(const std::string& name) { return start(settings_of(name)); }

    /** Runs until @p condition holds, which is looked at each time @p look passes. */
    void run_until(std::function<bool()> condition, waxwing::duration look = look_again)
    {
        m_look_again = look;
        m_condition = std::move(condition);
        m_guard.set(guard_time);
        m_look.set(waxwing::duration::zero());
        m_loop.run();
        m_guard.cancel();
        m_look.cancel();
        cr_assert(!m_expired, "the awaited events did not come");
    }

    /** Links @p from to @p to and waits until both know. */
    void link(test_node& from, const std::string& from_name, test_node& to, const std::string& to_name)
    {
        from.m_task->connect({to_name}, to.m_task->address());
        run_until([&] { return from.m_task->is_up({to_name}) && to.m_task->is_up({from_name}); });
    }

    waxwing::event_loop& loop() { return m_loop; }

private:
    /** Stops the loop once the condition holds. */
    void look()
    {
        if (m_condition()) {
            m_loop.stop();
            return;
        }
        m_look.set(m_look_again);
    }

    waxwing::event_loop m_loop;
    waxwing::timer m_guard;
    waxwing::timer m_look;
    waxwing::duration m_look_again = look_again;
    bool m_expired = false;
    std::function<bool()> m_condition;
    std::vector<std::unique_ptr<test_node>> m_nodes;
};

} // namespace waxwing_test

#endif
