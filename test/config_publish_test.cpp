/** @file config_publish_test.cpp Publications by several writers over a platform that fails. */
#include "test/config_publication_world.h"

using namespace waxwing;

namespace {

const std::string one = "[caller a]\nrate = 1\n";
const std::string two = "[caller a]\nrate = 1\n\n[caller b]\nrate = 2\n";

} // namespace

Test(publisher, several_writers_with_lost_answers_make_one_chain)
{
    std::size_t revisions = 0;
    cr_assert(rc::check("one chain, no change lost or doubled, and nothing said that is not so", [&] {
        publication_world world(*rc::gen::resize(
            rc::kNominalSize,
            rc::gen::container<std::vector<std::uint8_t>>(1500, rc::gen::arbitrary<std::uint8_t>())));
        world.run();
        world.check();
        revisions += world.revisions();
    }));
    cr_expect(revisions > 300, "only %zu revisions came about", revisions);
}

Test(publisher, merges_edits_of_different_objects)
{
    fake_platform platform;
    cr_assert(publish(platform, change(0, one, "first")).m_result == publish_result::published);
    cr_assert(publish(platform, change(1, one + "[caller b]\nrate = 2\n", "second")).m_result ==
              publish_result::published);
    const publish_end end = publish(platform, change(1, one + "[caller c]\nrate = 3\n", "third"));
    cr_assert(end.m_result == publish_result::published && end.m_info.m_revision.m_value == 3);
    cr_expect(end.m_info.m_summary == "added caller c\n");
    cr_expect(platform.set_of(3).m_callers.size() == 3);
}

Test(publisher, tells_which_objects_clash)
{
    fake_platform platform;
    publish(platform, change(0, two, "first"));
    publish(platform, change(1, "[caller a]\nrate = 9\n[caller b]\nrate = 2\n", "second"));
    const publish_end end = publish(platform, change(1, "[caller b]\nrate = 2\n", "third"));
    cr_assert(end.m_result == publish_result::clash);
    cr_assert(end.m_conflicts == std::vector<std::string>{"caller a"});
    cr_expect(platform.m_chain.size() == 2);
}

Test(publisher, a_rollback_is_a_new_revision_with_the_old_set)
{
    fake_platform platform;
    publish(platform, change(0, one, "first"));
    publish(platform, change(1, two, "second"));
    const publish_end end = publish(platform, {publish_rollback{revision{1}}, {"third", "", "", {}}, false});
    cr_assert(end.m_result == publish_result::published && end.m_info.m_revision.m_value == 3);
    cr_expect(platform.m_chain[2].m_digest == platform.m_chain[0].m_digest);
    const publish_end none =
        publish(platform, {publish_rollback{revision{7}}, {"fourth", "", "", {}}, false});
    cr_expect(none.m_result == publish_result::refused);
    const publish_end same = publish(platform, {publish_rollback{revision{1}}, {"fifth", "", "", {}}, false});
    cr_expect(same.m_result == publish_result::unchanged && same.m_info.m_revision.m_value == 3);
}

Test(publisher, says_not_published_only_where_no_commit_can_take_effect)
{
    for (const fault how : {fault::unavailable, fault::lost_before}) {
        fake_platform platform;
        writer self = start(change(0, one, "first"));
        const publish_end end = finish(platform, self, [&](const publish_action& action) {
            return std::holds_alternative<publish_commit>(action) ? how : fault::none;
        });
        cr_expect(end.m_result ==
                  (how == fault::unavailable ? publish_result::not_published : publish_result::unknown));
    }
}

Test(publisher, remembers_a_commit_in_doubt_while_the_head_stands)
{
    fake_platform platform;
    writer self = start(change(0, one, "first"));
    int commits = 0;
    const publish_end end = finish(platform, self, [&](const publish_action& action) {
        const bool commit = std::holds_alternative<publish_commit>(action);
        return !commit ? fault::none : commits++ == 0 ? fault::delayed : fault::unavailable;
    });
    cr_expect(commits > 2 && end.m_result == publish_result::unknown);
    writer second = start(change(0, one, "first", true));
    const publish_end again =
        finish(platform, second, [](const publish_action&) { return fault::unavailable; });
    cr_expect(again.m_result == publish_result::unknown);
}

Test(publisher, a_refusal_fences_a_commit_in_doubt)
{
    fake_platform platform;
    writer self = start(change(0, one, "first"));
    const publish_end end = finish(platform, self, [&](const publish_action& action) {
        if (!std::holds_alternative<publish_commit>(action) || !platform.m_delayed.empty()) {
            return fault::none;
        }
        platform.m_rows[std::string(head_key)] = row_state{"broken", 0};
        return fault::delayed;
    });
    cr_expect(end.m_result == publish_result::refused);
    cr_expect(!platform.apply(platform.m_delayed.front()));
}

Test(publisher, a_second_run_settles_what_the_first_left)
{
    for (const fault how : {fault::lost_after, fault::delayed}) {
        fake_platform platform;
        writer first = start(change(0, one, "id"));
        while (!std::holds_alternative<publish_commit>(first.m_action)) {
            first.m_action = step(platform, first, {}, fault::none);
        }
        step(platform, first, {}, how);
        publish(platform, change(platform.m_chain.size(), "[caller z]\n", "other"));
        const publish_end end = publish(platform, change(0, one, "id", true));
        cr_assert(end.m_result == publish_result::published);
        cr_expect(end.m_info.m_revision.m_value == (how == fault::lost_after ? 1U : 2U));
        for (const publish_commit& late : platform.m_delayed) {
            cr_expect(!platform.apply(late));
        }
        cr_expect(platform.m_chain.size() == 2);
    }
}

Test(publisher, a_second_run_with_another_set_is_told_what_was_published)
{
    fake_platform platform;
    writer first = start(change(0, one, "id"));
    writer second = start(change(0, two, "id", true));
    for (writer* each : {&first, &second}) {
        while (!std::holds_alternative<publish_commit>(each->m_action)) {
            each->m_action = step(platform, *each, {}, fault::none);
        }
    }
    step(platform, first, {}, fault::lost_after);
    const publish_end end = finish(platform, second);
    cr_assert(end.m_result == publish_result::published && platform.m_chain.size() == 1);
    cr_expect(end.m_info.m_digest == platform.m_chain.front().m_digest);
}

Test(publisher, a_refused_second_run_keeps_the_first_from_taking_effect)
{
    fake_platform platform;
    writer first = start(change(0, one, "id"));
    while (!std::holds_alternative<publish_commit>(first.m_action)) {
        first.m_action = step(platform, first, {}, fault::none);
    }
    step(platform, first, {}, fault::delayed);
    cr_assert(publish(platform, change(0, "[caller", "id", true)).m_result == publish_result::invalid);
    cr_expect(!platform.apply(platform.m_delayed.front()));
    cr_expect(publish(platform, change(0, one, "id", true)).m_result == publish_result::refused);
    cr_expect(platform.m_chain.empty());
}

Test(publisher, keeps_a_bounded_history)
{
    fake_platform platform;
    publisher_settings settings;
    settings.m_history = 3;
    for (std::uint64_t number = 0; number < 10; ++number) {
        const publication what = change(number, "[caller a]\nrate = " + std::to_string(number + 1) + "\n",
                                        "id" + std::to_string(number));
        writer self{what, {}, publisher(settings, 1), publish_wait{}};
        self.m_action = self.m_publisher.begin({}, what);
        cr_assert(finish(platform, self).m_result == publish_result::published);
    }
    cr_expect(platform.m_rows.size() == 1 + 2 * settings.m_history);
    cr_expect(platform.m_rows.count(audit_key(revision{7})) == 0);
    cr_expect(platform.m_rows.count(audit_key(revision{8})) == 1);
    const publish_end old = publish(platform, change(2, one, "old"));
    cr_expect(old.m_result == publish_result::refused);
}

Test(publisher, refuses_what_it_cannot_use)
{
    fake_platform platform;
    cr_expect(publish(platform, change(5, one, "id")).m_result == publish_result::refused);
    cr_expect(publish(platform, change(0, one, "no/id")).m_result == publish_result::refused);
    const publish_end bad = publish(platform, change(0, "[caller a]\nx = 1\n", "id"));
    cr_assert(bad.m_result == publish_result::invalid && bad.m_errors.size() == 1);
    cr_expect(bad.m_errors.front().m_line == 2);
    platform.m_rows[std::string(head_key)] = row_state{"broken", 1};
    cr_expect(publish(platform, change(0, one, "id")).m_result == publish_result::refused);
}

Test(revision_rows, survive_hostile_bytes)
{
    const revision_info info{revision{7},
                             digest_of("x"),
                             {"id", "M\xC4\x81ia", "\xFF\"\n", wall_time(wall_time::duration(9))},
                             "s\n"};
    const std::string row = encode_revision(info);
    const auto again = decode_revision(row);
    cr_assert(again.has_value());
    cr_expect(again.value().m_revision == info.m_revision && again.value().m_digest == info.m_digest);
    cr_expect(again.value().m_note.m_when == info.m_note.m_when &&
              again.value().m_note.m_who == "M\xC4\x81ia");
    cr_assert(rc::check("damaged rows are refused or read", [&] {
        std::string damaged = row;
        damaged.replace(*rc::gen::inRange<std::size_t>(0, row.size()), *rc::gen::inRange<std::size_t>(0, 9),
                        *rc::gen::arbitrary<std::string>());
        const auto read = decode_revision(damaged);
        RC_ASSERT((read.has_error() || read.value().m_digest.size() == 64));
    }));
}
