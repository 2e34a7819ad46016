/** @file announcement_task_test.cpp Tests that the departure of a target outlives the node's process. */
#include "node/announcement_task_base.h"
#include "test/http_loop.h"

#include <criterion/criterion.h>

#include <map>

using namespace waxwing;

namespace {

/** A table in memory. Its operations end when `respond` is called. */
class memory_table final : public storage {
public:
    bool accepts_publications() const override { return false; }

    void read(const std::string& key, handler<std::optional<table_row>> on_done) override
    {
        m_operations.push_back([this, key, on_done = std::move(on_done)] {
            const auto row = m_rows.find(key);
            if (m_is_failing) {
                on_done(error{error_code::unavailable, "out of service"});
                return;
            }
            on_done(row == m_rows.end() ? std::optional<table_row>{}
                                        : std::optional(table_row{key, row->second, {}}));
        });
    }

    void commit(table_transaction transaction, handler<table_commit> on_done) override
    {
        m_operations.push_back([this, transaction = std::move(transaction), on_done = std::move(on_done)] {
            if (m_is_failing) {
                on_done(error{error_code::unknown, "no answer"});
                return;
            }
            for (const table_write& write : transaction.m_writes) {
                m_rows[write.m_key] = *write.m_value;
            }
            on_done(table_commit{true, {}});
        });
    }

    void list(const std::string&, const std::string&, std::size_t, handler<table_page>) override {}
    void watch_row(const std::string&, std::function<void()>) override {}
    void set_watch_active(const std::string&, bool) override {}
    void watch_restorations(std::function<void()>) override {}
    void watch_confirmations(const std::string&, confirmation_handler) override {}
    void put_object(const std::string&, std::string, handler<bool>) override {}
    void get_object(const std::string&, handler<std::optional<std::string>>) override {}

    /** Ends all operations in progress. */
    void respond()
    {
        for (const auto& operation : std::exchange(m_operations, {})) {
            operation();
        }
    }

    std::map<std::string, std::string> m_rows;
    std::vector<std::function<void()>> m_operations; ///< Operations in progress.
    bool m_is_failing = false;                       ///< Whether operations fail.
};

/** One process of a node: its announcement task, and the order of announcements that its target task keeps.
 */
struct process {
    process(event_loop& loop, memory_table& table)
        : m_task(loop, table, node_id{"n"}, 1,
                 {[this](const target_announcement& announcement) { take(announcement); },
                  [this](const target_departure& departure) { m_order.restore(departure); }})
    {
        m_task.start();
    }

    void take(const target_announcement& announcement)
    {
        m_results.push_back(m_order.take(announcement));
        if (announcement.m_intent != target_intent::serve && m_results.back() != announcement_result::stale) {
            m_task.record(m_order.departure());
        }
    }

    void announce(std::uint64_t started_at, std::uint64_t sequence,
                  target_intent intent = target_intent::serve)
    {
        target_announcement announcement;
        announcement.m_instance = "i";
        announcement.m_incarnation.m_value = started_at;
        announcement.m_sequence = sequence;
        announcement.m_intent = intent;
        m_task.announce(announcement, [this] { ++m_acknowledged; });
    }

    announcement_order m_order;
    std::vector<announcement_result> m_results; ///< Results of the announcements that were passed on.
    int m_acknowledged = 0;
    announcement_task m_task;
};

/** Runs the loop until @p condition holds. */
void run_until(event_loop& loop, const std::function<bool()>& condition)
{
    timer poll(loop, [&] { condition() ? loop.stop() : poll.set(std::chrono::milliseconds(5)); });
    poll.set(duration::zero());
    loop.run();
}

} // namespace

Test(announcement_task, departed_target_was_used_again_after_a_restart_of_its_node)
{
    for (const target_intent intent : {target_intent::drain, target_intent::leave}) {
        guarded_loop guarded;
        memory_table table;
        process first(guarded.m_loop, table);
        table.respond();
        first.announce(100, 1);
        first.announce(100, 3, intent);
        cr_assert(first.m_acknowledged == 1, "a departure is acknowledged once it is stored");
        table.respond();
        cr_assert(first.m_acknowledged == 2);

        process second(guarded.m_loop, table);
        second.announce(100, 2);
        cr_assert(second.m_results.empty(), "what is stored is not known yet");
        table.respond();
        cr_assert(second.m_results == std::vector{announcement_result::stale});
        second.announce(200, 1);
        cr_assert(second.m_results.back() == announcement_result::new_life);
    }
}

Test(announcement_task, departure_announced_before_the_first_read_is_stored)
{
    guarded_loop guarded;
    memory_table table;
    process node(guarded.m_loop, table);
    node.announce(100, 1);
    node.announce(100, 0, target_intent::leave);
    cr_assert(node.m_acknowledged == 1);
    table.respond();
    cr_assert(node.m_results.size() == 2 && node.m_acknowledged == 1);
    table.respond();
    cr_assert(node.m_acknowledged == 2 && table.m_rows.size() == 1);
}

Test(announcement_task, target_is_used_while_the_table_is_out_of_service)
{
    guarded_loop guarded;
    memory_table table;
    table.m_rows["departure/n"] = encode_departure({"i", {100}});
    table.m_is_failing = true;
    process node(guarded.m_loop, table);
    node.announce(100, 2);
    table.respond();
    cr_assert(node.m_results == std::vector{announcement_result::new_life});
    table.m_is_failing = false;
    run_until(guarded.m_loop, [&] { return !table.m_operations.empty(); });
    table.respond();
    node.announce(100, 3);
    cr_assert(node.m_results.back() == announcement_result::stale);
}

Test(announcement_task, departure_is_acknowledged_and_written_later_while_the_table_is_out_of_service)
{
    guarded_loop guarded;
    memory_table table;
    process node(guarded.m_loop, table);
    table.respond();
    table.m_is_failing = true;
    node.announce(100, 1);
    node.announce(100, 0, target_intent::leave);
    table.respond();
    cr_assert(node.m_acknowledged == 1);
    run_until(guarded.m_loop, [&] { return node.m_acknowledged == 2; });
    table.m_is_failing = false;
    run_until(guarded.m_loop, [&] {
        table.respond();
        return !table.m_rows.empty();
    });
    cr_assert(table.m_rows.at("departure/n") == encode_departure({"i", {100}}));
}

Test(announcement_task, departure_is_written_again_after_the_table_was_restored)
{
    guarded_loop guarded;
    memory_table table;
    process node(guarded.m_loop, table);
    table.respond();
    node.announce(100, 1);
    node.announce(100, 2, target_intent::drain);
    table.respond();
    table.m_rows.clear();
    node.m_task.on_table_restored();
    table.respond();
    cr_assert(table.m_rows.contains("departure/n"));
}

Test(announcement_task, departure_of_a_later_incarnation_replaces_one_that_is_being_written)
{
    guarded_loop guarded;
    memory_table table;
    process node(guarded.m_loop, table);
    table.respond();
    node.announce(100, 1, target_intent::drain);
    node.announce(200, 1, target_intent::drain);
    table.respond();
    cr_assert(node.m_acknowledged == 0, "the later departure is not stored yet");
    table.respond();
    cr_assert(node.m_acknowledged == 2);
    cr_assert(table.m_rows.at("departure/n") == encode_departure({"i", {200}}));
}
