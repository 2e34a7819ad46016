/** @file config_spread_test.cpp Tests of distributing revisions over a failing network and platform. */
#include "config/config.h"
#include "config/delta_func.h"
#include "config/spread_message_func.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

constexpr std::size_t node_count = 4;

/** Returns the configuration of revision @p number; objects change, appear and disappear with the number. */
std::string text_of(std::uint64_t number)
{
    config_set set;
    for (std::uint64_t index = 0; index < 40; ++index) {
        const caller_name name{"c" + std::to_string(index)};
        const double rate = 1.0 + static_cast<double>(index == number % 40 ? number : 0);
        set.m_callers[name] = caller_object{name, share_settings{rate, 100.0, 1.0}};
    }
    set.m_callers.erase(caller_name{"c" + std::to_string(number * 7 % 40)});
    return write_config(set);
}

revision_info info_of(std::uint64_t number)
{
    return revision_info{revision{number}, digest_of(text_of(number)), {"id", "w", "y", {}}, "s"};
}

/** Returns a configuration whose delta needs several pages. */
std::string large_text(int rate)
{
    std::string text;
    for (int index = 0; index < 4000; ++index) {
        text += (text.empty() ? "[caller c" : "\n[caller c") + std::to_string(10000 + index) +
                "]\nrate = " + std::to_string(rate) + "\nburst = 99\n";
    }
    return text;
}

/** Puts the revision @p number with @p text in force on @p node through the head row and the object store. */
void apply_from_store(spread& node, std::uint64_t number, const std::string& text)
{
    const revision_info info{revision{number}, digest_of(text), {"id", "", "", {}}, ""};
    std::vector<spread_action> actions;
    node.on_head({}, std::optional(info), actions);
    node.on_object({}, object_name(info.m_digest), std::optional(text), actions);
}

/** Tells @p node that the peer n has @p newest. @return the request that it sends. */
std::string request_after_gossip(spread& node, std::uint64_t newest)
{
    std::vector<spread_action> actions;
    node.on_peer_revision({}, node_id{"n"}, revision{newest}, actions);
    return std::get<spread_send>(actions.front()).m_payload;
}

/** A message in flight. */
struct message_in_flight {
    std::size_t m_from;    ///< Sender.
    std::size_t m_to;      ///< Receiver.
    std::string m_payload; ///< Encoded message.
};

/** Model of several nodes, their network and the platform. */
class spread_world {
public:
    spread_world()
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            m_spreads.emplace_back(spread_settings{}, index);
        }
    }

    /** Restarts the node @p index without any revision. */
    void restart(std::size_t index)
    {
        m_spreads[index] = spread(spread_settings{}, m_head_revision + index);
        m_newest_by_node[index] = 0;
    }

    /** Reports the revision in force on the node @p from to the node @p to. */
    void gossip(std::size_t from, std::size_t to)
    {
        m_spreads[to].on_peer_revision(m_now, name(from), m_spreads[from].in_force(), m_actions);
        execute(to);
    }

    /** Calls tick of the node @p index if it is due. */
    void tick(std::size_t index)
    {
        if (m_spreads[index].next_tick() <= m_now) {
            m_spreads[index].tick(m_now, m_actions);
            execute(index);
        }
    }

    /** Delivers the message @p which, or drops it if @p lost; a copy stays in flight if @p duplicate. */
    void deliver(std::size_t which, bool lost, bool duplicate)
    {
        const message_in_flight message = m_messages[which];
        if (!duplicate) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(which));
        }
        if (!lost) {
            m_spreads[message.m_to].on_message(m_now, name(message.m_from), message.m_payload, m_actions);
            execute(message.m_to);
        }
    }

    /** Runs all nodes without message loss for @p rounds steps of 0.5 s. */
    void settle(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            m_now += std::chrono::milliseconds(500);
            for (std::size_t node = 0; node < node_count; ++node) {
                tick(node);
                gossip(node, (node + 1) % node_count);
            }
            while (!m_messages.empty()) {
                deliver(0, false, false);
            }
        }
    }

    std::vector<spread> m_spreads;                         ///< The nodes.
    std::vector<message_in_flight> m_messages;             ///< Messages in flight.
    std::uint64_t m_head_revision = 0;                     ///< Newest accepted revision.
    bool m_is_table_available = true;                      ///< Whether the head row can be read.
    bool m_is_store_available = true;                      ///< Whether objects can be fetched.
    bool m_is_store_corrupting = false;                    ///< Whether fetched objects are corrupted.
    instant m_now;                                         ///< Current time.
    std::map<std::size_t, std::uint64_t> m_newest_by_node; ///< Revision in force by node.
    std::size_t m_max_message_bytes = 0;                   ///< Size of the largest message sent.

private:
    static node_id name(std::size_t index) { return node_id{std::string(1, static_cast<char>('a' + index))}; }

    void execute(std::size_t node)
    {
        while (!m_actions.empty()) {
            for (const spread_action& action : std::exchange(m_actions, {})) {
                execute(node, action);
            }
        }
    }

    void execute(std::size_t node, const spread_action& action)
    {
        const auto failed = fail(error_code::unavailable, "fault");
        if (const auto* send = std::get_if<spread_send>(&action)) {
            m_max_message_bytes = std::max(m_max_message_bytes, send->m_payload.size());
            m_messages.push_back({node, std::size_t(send->m_peer.m_value[0] - 'a'), send->m_payload});
        }
        else if (const auto* get = std::get_if<spread_get_object>(&action)) {
            std::optional<std::string> text = text_of(m_head_revision);
            RC_ASSERT(get->m_name == object_name(digest_of(*text)));
            *text += m_is_store_corrupting ? "\n[caller z]\nrate = 5\n" : "";
            m_is_store_available ? m_spreads[node].on_object(m_now, get->m_name, text, m_actions)
                                 : m_spreads[node].on_object(m_now, get->m_name, failed, m_actions);
        }
        else if (std::holds_alternative<spread_read_head>(action)) {
            const auto head = m_head_revision == 0 ? std::nullopt : std::optional(info_of(m_head_revision));
            m_is_table_available ? m_spreads[node].on_head(m_now, head, m_actions)
                                 : m_spreads[node].on_head(m_now, failed, m_actions);
        }
        else if (const auto* applied = std::get_if<spread_in_force>(&action)) {
            const std::uint64_t number = applied->m_info.m_revision.m_value;
            RC_ASSERT(number > m_newest_by_node[node]);
            RC_ASSERT(number <= m_head_revision);
            RC_ASSERT(write_config(*applied->m_set) == text_of(number));
            m_newest_by_node[node] = number;
        }
    }

    std::vector<spread_action> m_actions; ///< Actions to perform.
};

} // namespace

Test(spread, random_order_loss_and_repeats_never_revert_and_converge)
{
    cr_assert(rc::check("revisions never go back, are complete, and all nodes converge", [] {
        const auto choices = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<std::uint8_t>>(
                                                                    300, rc::gen::arbitrary<std::uint8_t>()));
        spread_world world;
        for (std::size_t index = 0; index + 1 < choices.size(); index += 2) {
            const std::size_t node = choices[index + 1] % node_count;
            switch (choices[index] % 8) {
            case 0:
                ++world.m_head_revision;
                break;
            case 1:
                world.m_is_table_available = choices[index + 1] % 3 != 0;
                break;
            case 2:
                world.m_is_store_available = choices[index + 1] % 3 != 0;
                break;
            case 3:
                world.m_is_store_corrupting = choices[index + 1] % 3 == 0;
                break;
            case 4:
                world.gossip(node, choices[index + 1] / 4 % node_count);
                break;
            case 5:
                choices[index + 1] < 60 ? world.restart(node) : world.tick(node);
                break;
            default:
                world.m_now += std::chrono::milliseconds(choices[index + 1] * 4);
                if (!world.m_messages.empty()) {
                    world.deliver(choices[index + 1] % world.m_messages.size(), choices[index] % 5 == 0,
                                  choices[index] % 7 == 0);
                }
            }
        }
        world.m_messages.clear();
        world.m_is_table_available = world.m_is_store_available = true;
        world.m_is_store_corrupting = false;
        world.settle(100);
        for (const spread& each : world.m_spreads) {
            RC_ASSERT(each.in_force().m_value == world.m_head_revision);
        }
    }));
}

Test(spread, a_revision_reaches_all_while_the_platform_is_down)
{
    spread_world world;
    world.m_head_revision = 5;
    world.settle(20);
    world.m_head_revision = 6;
    std::vector<spread_action> actions;
    world.m_spreads[0].on_head(world.m_now, std::optional(info_of(6)), actions);
    world.m_spreads[0].on_object(world.m_now, object_name(info_of(6).m_digest), std::optional(text_of(6)),
                                 actions);
    world.m_is_table_available = world.m_is_store_available = false;
    world.restart(2);
    world.settle(20);
    for (const spread& each : world.m_spreads) {
        cr_expect(each.in_force().m_value == 6);
    }
}

Test(spread, a_restarted_node_requests_from_several_peers)
{
    spread fresh(spread_settings{}, 7);
    std::vector<spread_action> actions;
    for (const char* peer : {"a", "b", "c", "d"}) {
        fresh.on_peer_revision({}, node_id{peer}, revision{3}, actions);
    }
    cr_expect(actions.size() == 3);
    cr_expect(fresh.next_tick() <= instant{} + std::chrono::seconds(3));
}

Test(spread, an_unreadable_revision_is_skipped_until_a_newer_one_exists)
{
    spread node(spread_settings{}, 7);
    std::vector<spread_action> actions;
    const std::string unknown_key_text = "[caller a]\nfuture = 1\n";
    const revision_info info{revision{2}, digest_of(unknown_key_text), {"id", "", "", {}}, ""};
    node.on_head({}, std::optional(info), actions);
    node.on_object({}, object_name(info.m_digest), std::optional(unknown_key_text), actions);
    cr_expect(node.in_force().m_value == 0 && node.unreadable().m_value == 2);
    actions.clear();
    node.on_head({}, std::optional(info), actions);
    cr_expect(actions.empty());
    node.on_head({}, std::optional(info_of(3)), actions);
    cr_expect(actions.size() == 1);
}

Test(spread, messages_stay_within_the_size_limit)
{
    spread node(spread_settings{}, 7);
    spread other(spread_settings{}, 8);
    apply_from_store(node, 2, large_text(2));
    cr_assert(node.in_force().m_value == 2);
    std::vector<spread_action> actions;
    const std::string request = request_after_gossip(other, 2);
    node.on_message({}, node_id{"o"}, request, actions);
    cr_assert(actions.size() > 1);
    std::vector<spread_action> reply_actions;
    for (const spread_action& action : actions) {
        cr_expect(std::get<spread_send>(action).m_payload.size() <= 64 * 1024);
        cr_expect(other.in_force().m_value == 0);
        other.on_message({}, node_id{"n"}, std::get<spread_send>(action).m_payload, reply_actions);
    }
    cr_expect(other.in_force().m_value == 2);
    actions.clear();
    for (int count = 0; count < 1000; ++count) {
        node.on_message({}, node_id{"o"}, request, actions);
    }
    cr_expect(actions.size() < 1000, "the number of answers per second is limited");
}

Test(spread, pages_of_two_revisions_do_not_mix)
{
    spread node(spread_settings{}, 7);
    spread other(spread_settings{}, 8);
    apply_from_store(node, 2, large_text(2));
    const std::string request = request_after_gossip(other, 3);
    std::vector<spread_action> pages;
    node.on_message({}, node_id{"o"}, request, pages);
    pages.resize(1);
    apply_from_store(node, 3, large_text(3));
    node.on_message({}, node_id{"o"}, request, pages);
    std::vector<spread_action> reply_actions;
    for (const spread_action& page : pages) {
        other.on_message({}, node_id{"n"}, std::get<spread_send>(page).m_payload, reply_actions);
    }
    cr_expect(other.in_force().m_value == 3);
}

Test(spread, requests_the_whole_configuration_if_the_digest_is_wrong)
{
    spread node(spread_settings{}, 7);
    apply_from_store(node, 8, text_of(8));
    request_after_gossip(node, 9);
    const spread_page page{info_of(9), revision{8}, 0, 1, encode_delta(text_of(8), text_of(10))};
    std::vector<spread_action> actions;
    node.on_message({}, node_id{"n"}, encode_spread(page), actions);
    cr_expect(node.in_force().m_value == 8);
    cr_assert(actions.size() == 1);
    cr_expect(std::get<spread_send>(actions.front()).m_payload == encode_spread(spread_request{}));
}

Test(spread, survives_malformed_messages)
{
    cr_assert(rc::check("corrupted pages are never put in force", [] {
        spread node(spread_settings{}, 7);
        spread other(spread_settings{}, 8);
        std::vector<spread_action> actions;
        node.on_head({}, std::optional(info_of(9)), actions);
        node.on_object({}, object_name(info_of(9).m_digest), std::optional(text_of(9)), actions);
        actions.clear();
        other.on_peer_revision({}, node_id{"n"}, revision{9}, actions);
        const std::string request = std::get<spread_send>(actions.front()).m_payload;
        actions.clear();
        node.on_message({}, node_id{"o"}, request, actions);
        std::string page = std::get<spread_send>(actions.front()).m_payload;
        page[*rc::gen::inRange<std::size_t>(0, page.size())] ^= static_cast<char>(*rc::gen::inRange(1, 8));
        actions.clear();
        other.on_message({}, node_id{"n"}, page, actions);
        for (const spread_action& action : actions) {
            if (const auto* applied = std::get_if<spread_in_force>(&action)) {
                RC_ASSERT(write_config(*applied->m_set) == text_of(9));
            }
        }
        node.on_message({}, node_id{"o"}, *rc::gen::arbitrary<std::string>(), actions);
    }));
}

Test(delta, reproduces_the_configuration_and_is_small)
{
    for (std::uint64_t number = 1; number < 100; ++number) {
        const std::string delta = encode_delta(text_of(number), text_of(number + 1));
        const auto text = apply_delta(text_of(number), delta);
        cr_assert(text.has_value() && text.value() == text_of(number + 1));
        cr_expect(delta.size() < 200);
        const auto full_text = apply_delta("", encode_delta("", text_of(number)));
        cr_assert(full_text.has_value() && full_text.value() == text_of(number));
    }
    const auto blocks = split_blocks(text_of(1));
    cr_assert(blocks && join_blocks(*blocks) == text_of(1));
    cr_expect(apply_delta(text_of(1), "\x9f\x9f\x9f").has_error());
}
