/** @file announcement_task_test.cpp Tests that the departure of a target outlives the node's process. */
#include "node/announcement_task_base.h"
#include "node/departure_keeper_base.h"
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
                                        : std::optional(table_row{key, row->second, m_versions[key]}));
        });
    }

    void commit(table_transaction transaction, handler<table_commit> on_done) override
    {
        m_operations.push_back([this, transaction = std::move(transaction), on_done = std::move(on_done)] {
            if (m_is_failing) {
                on_done(error{error_code::unknown, "no answer"});
                return;
            }
            for (const table_check& check : transaction.m_checks) {
                if (m_versions[check.m_key] != check.m_version) {
                    on_done(table_commit{false, {check.m_key}});
                    return;
                }
            }
            for (const table_write& write : transaction.m_writes) {
                m_rows[write.m_key] = *write.m_value;
                ++m_versions[write.m_key].m_number;
            }
            on_done(table_commit{true, {}});
        });
    }

    void list(const std::string&, const std::string&, std::size_t, handler<table_page>) override {}
    void watch_row(const std::string&, std::function<void()>) override {}
    void set_watch_active(const std::string&, bool) override {}
    void watch_restorations(std::function<void()>) override {}
    void watch_confirmations(const std::string&, confirmation_handler) override {}
    void watch_contacts(const std::string&, contact_handler) override {}
    std::optional<std::string> head_refusal() const override { return std::nullopt; }
    std::optional<store_era> current_era() const override { return m_era; }
    void put_object(const std::string&, std::string, handler<bool>) override {}
    void get_object(const std::string&, handler<std::optional<std::string>>) override {}

    /** Ends all operations in progress. */
    void respond()
    {
        for (const auto& operation : std::exchange(m_operations, {})) {
            operation();
        }
    }

    /** Ends operations until none is in progress. */
    void settle()
    {
        while (!m_operations.empty()) {
            respond();
        }
    }

    std::map<std::string, std::string> m_rows;
    std::map<std::string, row_version> m_versions;
    std::vector<std::function<void()>> m_operations; ///< Operations in progress.
    bool m_is_failing = false;                       ///< Whether operations fail.
    std::optional<store_era> m_era;                  ///< Era that it names.
};

/** Encodes the row with the departure of the instance "i" that started at @p started_at. */
std::string row_of(std::uint64_t started_at)
{
    departure_list departures;
    departures.add({"i", {started_at}});
    return encode_departures(departures);
}

/** One process of the node n: its announcement task, the order of announcements that its target task keeps,
 * and the other nodes that it asks to hold departures. */
struct process {
    process(event_loop& loop, memory_table& table, std::vector<departure_keeper*> keepers = {})
        : m_keepers(std::move(keepers)),
          m_task(loop, table, node_id{"n"}, 1,
                 {[this](const target_announcement& announcement) { take(announcement); },
                  [this](const target_departure& departure) { m_order.restore(departure); },
                  [this](std::size_t count) { return keeper_ids(count); },
                  [this](const node_id& keeper, const departure_message& message) {
                      m_keepers[static_cast<std::size_t>(keeper.m_value.front() - 'a')]->on_offer(
                          node_id{"n"}, std::get<departure_offer>(message));
                  }})
    {
        m_task.start();
    }

    std::vector<node_id> keeper_ids(std::size_t count) const
    {
        std::vector<node_id> ids;
        for (std::size_t index = 0; index < std::min(count, m_keepers.size()); ++index) {
            ids.push_back(node_id{std::string(1, static_cast<char>('a' + index))});
        }
        return ids;
    }

    /** Handles what the keeper @p id sends to the node. */
    void receive(const std::string& id, const departure_message& message)
    {
        if (const auto* const receipt = std::get_if<departure_receipt>(&message)) {
            m_task.on_receipt(node_id{id}, *receipt);
        }
        else {
            m_task.on_reminder(std::get<departure_reminder>(message));
        }
    }

    /** Handles what a node tells that has been running for @p age and holds no departures of this node. */
    void receive_memory(duration age = std::chrono::minutes(1))
    {
        receive("a", departure_reminder{{}, keeper_memory{age, std::nullopt}});
    }

    void take(const target_announcement& announcement)
    {
        const wall_time now = event_loop::wall_now();
        m_results.push_back(m_order.take(announcement, now));
        if (announcement.m_intent != target_intent::serve && m_results.back() != announcement_result::stale) {
            m_task.record(m_order.departure_of(announcement, now));
        }
    }

    void announce(std::uint64_t started_at, std::uint64_t sequence,
                  target_intent intent = target_intent::serve, bool is_redirected = false)
    {
        target_announcement announcement;
        announcement.m_instance = "i";
        announcement.m_incarnation.m_value = started_at;
        announcement.m_sequence = sequence;
        announcement.m_intent = intent;
        announcement.m_is_redirected = is_redirected;
        m_task.announce(announcement, [this](bool is_kept) { ++(is_kept ? m_acknowledged : m_refused); });
    }

    std::vector<departure_keeper*> m_keepers; ///< Their ids are "a", "b" and so on.
    announcement_order m_order;
    std::vector<announcement_result> m_results; ///< Results of the announcements that were passed on.
    int m_acknowledged = 0;
    int m_refused = 0;
    announcement_task m_task;
};

/** Other nodes: keepers that share a table, and the process to which they send. */
struct keeper_fixture {
    keeper_fixture(event_loop& loop, memory_table& table)
        : m_first(loop, table, 1, sender_of("a")), m_second(loop, table, 2, sender_of("b"))
    {
    }

    departure_keeper::sender sender_of(const std::string& id)
    {
        return [this, id](const node_id& node, const departure_message& message) {
            cr_assert(node == node_id{"n"});
            if (m_process != nullptr) {
                m_process->receive(id, message);
            }
        };
    }

    std::vector<departure_keeper*> both() { return {&m_first, &m_second}; }

    process* m_process = nullptr; ///< Null while no process of the node runs.
    departure_keeper m_first;
    departure_keeper m_second;
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
        table.settle();
        first.announce(100, 1);
        first.announce(100, 3, intent);
        cr_assert(first.m_acknowledged == 1, "a departure is acknowledged once it is stored");
        table.settle();
        cr_assert(first.m_acknowledged == 2);

        process second(guarded.m_loop, table);
        second.receive_memory();
        second.announce(100, 2);
        cr_assert(second.m_results.empty(), "what is stored is not known yet");
        table.respond();
        cr_assert(second.m_results == std::vector{announcement_result::stale});
        second.announce(200, 1);
        cr_assert(second.m_results.back() == announcement_result::new_life);
    }
}

/** review/9: the departure was acknowledged and not recorded. */
Test(announcement_task, departure_without_a_start_time_of_an_unknown_target_was_not_stored)
{
    guarded_loop guarded;
    memory_table table;
    process first(guarded.m_loop, table);
    table.settle();
    first.announce(0, 0, target_intent::leave);
    cr_assert(first.m_acknowledged == 0, "it is not stored yet");
    table.settle();
    cr_assert(first.m_acknowledged == 1);
    first.announce(100, 2);
    cr_assert(first.m_results.back() == announcement_result::stale);

    process second(guarded.m_loop, table);
    second.receive_memory();
    table.respond();
    second.announce(100, 3);
    cr_assert(second.m_results.back() == announcement_result::stale);
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
    table.settle();
    cr_assert(node.m_acknowledged == 2 && table.m_rows.size() == 1);
}

/** The table may contain a departure that was acknowledged before. Only a running target goes on announcing
 * itself. */
Test(announcement_task, target_is_used_without_the_table_only_while_its_announcements_go_on)
{
    guarded_loop guarded;
    memory_table table;
    table.m_rows["departure/n"] = row_of(100);
    table.m_is_failing = true;
    process node(guarded.m_loop, table);
    node.announce(200, 2);
    table.respond();
    cr_assert(node.m_results.empty(), "it may be a late announcement");
    std::uint64_t sequence = 2;
    const instant start = event_loop::now();
    run_until(guarded.m_loop, [&] {
        table.respond();
        node.announce(200, ++sequence);
        return !node.m_results.empty();
    });
    cr_assert(event_loop::now() - start >=
              announcement_trust::max_announcement_delay - std::chrono::milliseconds(50));
    cr_assert(node.m_results == std::vector{announcement_result::new_life});
    cr_assert(node.m_refused == 0 && node.m_acknowledged == static_cast<int>(sequence - 1));
    table.m_is_failing = false;
    run_until(guarded.m_loop, [&] {
        table.respond();
        node.announce(100, 3);
        return node.m_results.back() == announcement_result::stale;
    });
}

/** review/10: the departure was acknowledged and lost with the process. */
Test(announcement_task, departure_that_nothing_keeps_was_acknowledged_while_the_table_is_out_of_service)
{
    guarded_loop guarded;
    memory_table table;
    process node(guarded.m_loop, table);
    table.respond();
    table.m_is_failing = true;
    node.announce(100, 1);
    node.announce(100, 0, target_intent::leave);
    run_until(guarded.m_loop, [&] {
        table.respond();
        return node.m_refused == 1;
    });
    cr_assert(node.m_acknowledged == 1, "the heartbeat only");
    table.m_is_failing = false;
    run_until(guarded.m_loop, [&] {
        table.respond();
        return !table.m_rows.empty();
    });
    cr_assert(table.m_rows.at("departure/n") == row_of(100));
    node.announce(100, 0, target_intent::leave);
    cr_assert(node.m_acknowledged == 2);
}

/** The acknowledgement has a bound that holds also while the table is out of service for everybody. */
Test(announcement_task, departure_is_acknowledged_while_other_nodes_hold_it)
{
    guarded_loop guarded;
    memory_table table;
    keeper_fixture keepers(guarded.m_loop, table);
    process first(guarded.m_loop, table, keepers.both());
    keepers.m_process = &first;
    table.respond();
    table.m_is_failing = true;
    first.announce(100, 1);
    first.announce(100, 3, target_intent::drain);
    run_until(guarded.m_loop, [&] {
        table.respond();
        return first.m_acknowledged == 2;
    });
    cr_assert(first.m_refused == 0, "it was kept within acknowledgement_timeout");
    static_assert(announcement_task::acknowledgement_timeout < std::chrono::seconds(1));

    keepers.m_process = nullptr;
    process second(guarded.m_loop, table, keepers.both());
    keepers.m_process = &second;
    keepers.m_first.on_new_process(node_id{"n"}, std::nullopt);
    table.m_is_failing = false;
    table.respond();
    second.announce(100, 2);
    cr_assert(second.m_results == std::vector{announcement_result::stale}, "a keeper tells the new process");
}

/** The nodes that hold a departure may restart one after the other in a long outage. */
Test(announcement_task, departure_is_offered_again_to_a_keeper_that_has_restarted)
{
    guarded_loop guarded;
    memory_table table;
    keeper_fixture keepers(guarded.m_loop, table);
    process node(guarded.m_loop, table, keepers.both());
    keepers.m_process = &node;
    table.respond();
    table.m_is_failing = true;
    node.announce(100, 3, target_intent::drain);
    run_until(guarded.m_loop, [&] {
        table.respond();
        return node.m_acknowledged == 1;
    });
    bool is_held = false;
    departure_keeper restarted(guarded.m_loop, table, 3,
                               [&](const node_id&, const departure_message& message) {
                                   is_held = is_held || std::holds_alternative<departure_receipt>(message);
                               });
    node.m_keepers.front() = &restarted;
    node.m_task.on_new_process(node_id{"a"});
    run_until(guarded.m_loop, [&] {
        table.respond();
        return is_held;
    });
}

/** review/15: a departure that only other nodes held was lost when all processes ended. */
Test(announcement_task, departed_target_was_used_after_all_processes_had_ended_in_an_outage)
{
    for (const target_intent intent : {target_intent::drain, target_intent::leave}) {
        guarded_loop guarded;
        memory_table table;
        table.m_rows["departure/n"] = encode_departures({}); // Of an earlier process.
        {
            keeper_fixture keepers(guarded.m_loop, table);
            process first(guarded.m_loop, table, keepers.both());
            keepers.m_process = &first;
            table.respond();
            table.m_is_failing = true;
            first.announce(100, 3, intent);
            run_until(guarded.m_loop, [&] {
                table.respond();
                return first.m_acknowledged == 1;
            });
            table.m_operations.clear();
        }
        table.m_is_failing = false;
        process second(guarded.m_loop, table);
        table.respond();
        second.announce(100, 1);
        second.announce(100, 2);
        cr_expect(second.m_results.empty() && !second.m_task.trusts_target());
        second.announce(200, 1, target_intent::serve, true);
        cr_expect(second.m_results == std::vector{announcement_result::new_life});
    }
}

/** The processes of a fleet that has just started for the first time end soon after. */
Test(announcement_task, first_process_marks_its_row_at_once)
{
    guarded_loop guarded;
    memory_table table;
    {
        process first(guarded.m_loop, table);
        table.settle();
        cr_assert(first.m_task.trusts_target());
    }
    process second(guarded.m_loop, table);
    table.settle();
    second.announce(100, 1);
    cr_assert(second.m_results.empty());
}

/** A single node that restarts uses its target as soon as nodes that were there before have told what they
 * hold. */
Test(announcement_task, announcements_wait_for_the_memory_of_other_nodes)
{
    guarded_loop guarded;
    memory_table table;
    table.m_rows["departure/n"] = encode_departures({});
    process node(guarded.m_loop, table);
    table.respond();
    node.announce(100, 4);
    cr_assert(node.m_results.empty());
    node.receive_memory(std::chrono::seconds(5));
    cr_assert(node.m_results.empty());
    node.receive_memory();
    cr_assert(node.m_results == std::vector{announcement_result::new_life});
}

/** The office of a keeper goes to who can do it: the table may turn away those that were asked first. */
Test(announcement_task, departure_is_offered_to_further_nodes_while_none_can_write_it)
{
    guarded_loop guarded;
    memory_table table;
    memory_table refusing_table;
    refusing_table.m_is_failing = true;
    const departure_keeper::sender ignore = [](const node_id&, const departure_message&) {};
    departure_keeper refused(guarded.m_loop, refusing_table, 3, ignore);
    departure_keeper served(guarded.m_loop, table, 4, ignore);
    process node(guarded.m_loop, refusing_table, {&refused, &refused, &refused, &refused, &refused, &served});
    refusing_table.respond();
    node.announce(100, 0, target_intent::leave);
    run_until(guarded.m_loop, [&] {
        refusing_table.respond();
        table.respond();
        return table.m_rows.contains("departure/n");
    });
}

Test(announcement_task, departure_is_not_acknowledged_while_one_of_several_nodes_holds_it)
{
    guarded_loop guarded;
    memory_table table;
    memory_table silent_table;
    keeper_fixture keepers(guarded.m_loop, table);
    departure_keeper silent(guarded.m_loop, silent_table, 3, [](const node_id&, const departure_message&) {});
    process node(guarded.m_loop, table, {&keepers.m_first, &silent, &silent});
    keepers.m_process = &node;
    table.respond();
    table.m_is_failing = true;
    node.announce(100, 0, target_intent::leave);
    run_until(guarded.m_loop, [&] {
        table.respond();
        return node.m_refused == 1;
    });
    cr_assert(node.m_acknowledged == 0);
}

/** The store may turn away one node and serve the others; a restart of the whole fleet then leaves nothing
 * but the table. */
Test(announcement_task, departure_is_written_by_other_nodes_for_one_that_the_table_turns_away)
{
    guarded_loop guarded;
    memory_table table;
    memory_table refusing_table;
    keeper_fixture keepers(guarded.m_loop, table);
    process node(guarded.m_loop, refusing_table, keepers.both());
    keepers.m_process = &node;
    refusing_table.respond();
    refusing_table.m_is_failing = true;
    node.announce(100, 0, target_intent::leave);
    run_until(guarded.m_loop, [&] {
        refusing_table.respond();
        table.respond();
        return node.m_acknowledged == 1;
    });
    cr_assert(table.m_rows.at("departure/n") == row_of(100));
}

/** A keeper that writes late must not take out what the node has written meanwhile. */
Test(announcement_task, a_late_write_for_another_node_took_out_a_later_departure)
{
    guarded_loop guarded;
    memory_table table;
    keeper_fixture keepers(guarded.m_loop, table);
    table.m_is_failing = true;
    departure_list earlier;
    earlier.add({"h", {50}});
    keepers.m_first.on_offer(node_id{"n"}, {7, earlier});
    table.respond();
    table.m_is_failing = false;
    table.m_rows["departure/n"] = row_of(100);
    ++table.m_versions["departure/n"].m_number;
    departure_list both = earlier;
    both.add({"i", {100}});
    run_until(guarded.m_loop, [&] {
        table.respond();
        return table.m_rows.at("departure/n") == encode_departures(both);
    });
}

/** Two nodes write at the same time: the one whose check fails reads the row again. */
Test(announcement_task, concurrent_writes_for_one_node_are_merged)
{
    guarded_loop guarded;
    memory_table table;
    keeper_fixture keepers(guarded.m_loop, table);
    departure_list one;
    one.add({"h", {50}});
    departure_list other;
    other.add({"i", {100}});
    keepers.m_first.on_offer(node_id{"n"}, {7, one});
    keepers.m_second.on_offer(node_id{"n"}, {8, other});
    run_until(guarded.m_loop, [&] {
        table.respond();
        return table.m_operations.empty();
    });
    one.merge(other);
    cr_assert(decode_departures(table.m_rows.at("departure/n")).value() == one);
}

Test(announcement_task, departure_is_written_again_after_the_table_was_restored)
{
    guarded_loop guarded;
    memory_table table;
    process node(guarded.m_loop, table);
    table.settle();
    node.announce(100, 1);
    node.announce(100, 2, target_intent::drain);
    table.settle();
    table.m_rows.clear();
    table.m_versions.clear();
    node.m_task.on_table_restored();
    node.announce(100, 3, target_intent::drain);
    cr_assert(node.m_acknowledged == 2, "the table does not contain it any more");
    table.respond();
    table.respond();
    cr_assert(table.m_rows.contains("departure/n") && node.m_acknowledged == 3);
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
    table.respond(); // The row is read again first.
    cr_assert(node.m_acknowledged == 2);
    cr_assert(table.m_rows.at("departure/n") == row_of(200));
}
