/** @file member_table_test.cpp Tests of the lists of the member table. */
#include "member/member_table_base.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

using namespace waxwing;

namespace {

member_record make_record(unsigned number, member_state state)
{
    member_record record;
    record.m_node.m_value = "node-" + std::to_string(number);
    record.m_state = state;
    return record;
}

/** Probes as many members as a round has. @return their names. */
std::set<std::string> probe_round(member_table& table, random_source& random)
{
    std::set<std::string> probed;
    for (std::size_t count = table.reachable(); count > 0; --count) {
        probed.insert(table.next_to_probe(random)->m_record.m_node.m_value);
    }
    return probed;
}

} // namespace

/** A member removed after all had been probed left another one with a wrong position in the list; its own
 * removal wrote beyond the list or took out a third one, and the process ended or went on with freed memory.
 */
Test(member_table, removal_at_the_end_of_a_probe_round_corrupted_the_list)
{
    for (unsigned seed = 0; seed < 20; ++seed) {
        random_source random(seed);
        member_table table;
        for (unsigned number = 0; number < 4; ++number) {
            table.insert(make_record(number, member_state::alive));
        }
        cr_assert(probe_round(table, random).size() == table.size());
        for (unsigned number = 0; number < 3; ++number) {
            table.erase(*table.find(make_record(number, member_state::alive).m_node));
            const std::vector<member_entry*> drawn = table.draw(random, 4, node_id{});
            cr_assert(drawn.size() == 3 - number);
            for (const member_entry* const each : drawn) {
                cr_assert(table.find(each->m_record.m_node) == each);
            }
        }
    }
}

Test(member_table, lists_match_the_records_after_random_steps)
{
    cr_assert(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        random_source random(7);
        member_table table;
        for (const auto& [kind, number] : steps) {
            const auto state = static_cast<member_state>(kind % 4);
            const member_record record = make_record(number % 6, state);
            member_entry* const member = table.find(record.m_node);
            if (kind % 8 >= 4) {
                table.next_to_probe(random);
            }
            else if (member == nullptr) {
                table.insert(record);
            }
            else if (kind >= 128) {
                table.erase(*member);
            }
            else {
                table.replace(*member, record);
            }
            std::set<std::string> reachable;
            std::size_t dead = 0;
            for (const member_record& each : table.list()) {
                if (is_reachable(each.m_state)) {
                    reachable.insert(each.m_node.m_value);
                }
                dead += each.m_state == member_state::dead ? 1 : 0;
            }
            RC_ASSERT(table.reachable() == reachable.size() && table.dead() == dead);
            std::set<std::string> drawn;
            for (const member_entry* each : table.draw(random, 8, node_id{})) {
                drawn.insert(each->m_record.m_node.m_value);
            }
            RC_ASSERT(drawn == reachable);
        }
    }));
}
