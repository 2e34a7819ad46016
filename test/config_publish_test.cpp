/** @file config_publish_test.cpp Tests of publications by several writers over a failing platform. */
#include "test/config_publication_world.h"

using namespace waxwing;

namespace {

const std::string one_caller = "[caller a]\nrate = 1\n";
const std::string two_callers = "[caller a]\nrate = 1\n\n[caller b]\nrate = 2\n";

} // namespace

Test(publisher, several_writers_with_lost_answers_make_one_chain)
{
    std::size_t revisions = 0;
    cr_assert(rc::check(
        "revisions form one chain, no change is lost or applied twice, and every reported result is true",
        [&] {
            publication_world world(*rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<std::uint8_t>>(1500, rc::gen::arbitrary<std::uint8_t>())));
            world.run();
            world.check();
            revisions += world.revisions();
        }));
    cr_expect(revisions > 300, "only %zu revisions were published", revisions);
}

Test(publisher, merges_edits_of_different_objects)
{
    fake_platform platform;
    cr_assert(publish(platform, change(0, one_caller, "first")).m_result == publish_result::published);
    cr_assert(publish(platform, change(1, one_caller + "[caller b]\nrate = 2\n", "second")).m_result ==
              publish_result::published);
    const publish_end end = publish(platform, change(1, one_caller + "[caller c]\nrate = 3\n", "third"));
    cr_assert(end.m_result == publish_result::published && end.m_info.m_revision.m_value == 3);
    cr_expect(end.m_info.m_summary == "added caller c\n");
    cr_expect(platform.set_of(3).m_callers.size() == 3);
}

Test(publisher, reports_conflicting_objects)
{
    fake_platform platform;
    publish(platform, change(0, two_callers, "first"));
    publish(platform, change(1, "[caller a]\nrate = 9\n[caller b]\nrate = 2\n", "second"));
    const publish_end end = publish(platform, change(1, "[caller b]\nrate = 2\n", "third"));
    cr_assert(end.m_result == publish_result::clash);
    cr_assert(end.m_conflicts == std::vector<std::string>{"caller a"});
    cr_expect(platform.m_revisions.size() == 2);
}

Test(publisher, a_rollback_is_a_new_revision_with_the_old_configuration)
{
    fake_platform platform;
    publish(platform, change(0, one_caller, "first"));
    publish(platform, change(1, two_callers, "second"));
    const publish_end end = publish(platform, {publish_rollback{revision{1}}, {"third", "", "", {}}, false});
    cr_assert(end.m_result == publish_result::published && end.m_info.m_revision.m_value == 3);
    cr_expect(platform.m_revisions[2].m_digest == platform.m_revisions[0].m_digest);
    const publish_end missing_end =
        publish(platform, {publish_rollback{revision{7}}, {"fourth", "", "", {}}, false});
    cr_expect(missing_end.m_result == publish_result::refused);
    const publish_end unchanged_end =
        publish(platform, {publish_rollback{revision{1}}, {"fifth", "", "", {}}, false});
    cr_expect(unchanged_end.m_result == publish_result::unchanged &&
              unchanged_end.m_info.m_revision.m_value == 3);
}

Test(publisher, reports_not_published_only_if_no_commit_can_take_effect)
{
    for (const fault injected : {fault::unavailable, fault::lost_before}) {
        fake_platform platform;
        writer test_writer = start(change(0, one_caller, "first"));
        const publish_end end = finish(platform, test_writer, [&](const publish_action& action) {
            return std::holds_alternative<publish_commit>(action) ? injected : fault::none;
        });
        cr_expect(end.m_result ==
                  (injected == fault::unavailable ? publish_result::not_published : publish_result::unknown));
    }
}

Test(publisher, reports_unknown_while_a_commit_may_still_take_effect)
{
    fake_platform platform;
    writer test_writer = start(change(0, one_caller, "first"));
    int commits = 0;
    const publish_end end = finish(platform, test_writer, [&](const publish_action& action) {
        const bool commit = std::holds_alternative<publish_commit>(action);
        return !commit ? fault::none : commits++ == 0 ? fault::delayed : fault::unavailable;
    });
    cr_expect(commits > 2 && end.m_result == publish_result::unknown);
    writer second = start(change(0, one_caller, "first", true));
    const publish_end resumed =
        finish(platform, second, [](const publish_action&) { return fault::unavailable; });
    cr_expect(resumed.m_result == publish_result::unknown);
}

Test(publisher, a_refusal_fences_an_uncertain_commit)
{
    fake_platform platform;
    writer test_writer = start(change(0, one_caller, "first"));
    const publish_end end = finish(platform, test_writer, [&](const publish_action& action) {
        if (!std::holds_alternative<publish_commit>(action) || !platform.m_delayed_commits.empty()) {
            return fault::none;
        }
        platform.m_rows[std::string(head_key)] = row_state{"broken", {}};
        return fault::delayed;
    });
    cr_expect(end.m_result == publish_result::refused);
    cr_expect(!platform.apply(platform.m_delayed_commits.front()));
}

Test(publisher, resuming_determines_the_outcome_of_the_first_run)
{
    for (const fault injected : {fault::lost_after, fault::delayed}) {
        fake_platform platform;
        writer first = start(change(0, one_caller, "id"));
        while (!std::holds_alternative<publish_commit>(first.m_action)) {
            first.m_action = step(platform, first, {}, fault::none);
        }
        step(platform, first, {}, injected);
        publish(platform, change(platform.m_revisions.size(), "[caller z]\n", "other"));
        const publish_end end = publish(platform, change(0, one_caller, "id", true));
        cr_assert(end.m_result == publish_result::published);
        cr_expect(end.m_info.m_revision.m_value == (injected == fault::lost_after ? 1U : 2U));
        for (const publish_commit& delayed_commit : platform.m_delayed_commits) {
            cr_expect(!platform.apply(delayed_commit));
        }
        cr_expect(platform.m_revisions.size() == 2);
    }
}

Test(publisher, resuming_with_another_configuration_reports_the_published_one)
{
    fake_platform platform;
    writer first = start(change(0, one_caller, "id"));
    writer second = start(change(0, two_callers, "id", true));
    for (writer* each : {&first, &second}) {
        while (!std::holds_alternative<publish_commit>(each->m_action)) {
            each->m_action = step(platform, *each, {}, fault::none);
        }
    }
    step(platform, first, {}, fault::lost_after);
    const publish_end end = finish(platform, second);
    cr_assert(end.m_result == publish_result::published && platform.m_revisions.size() == 1);
    cr_expect(end.m_info.m_digest == platform.m_revisions.front().m_digest);
}

Test(publisher, a_refused_resumption_fences_the_first_run)
{
    fake_platform platform;
    writer first = start(change(0, one_caller, "id"));
    while (!std::holds_alternative<publish_commit>(first.m_action)) {
        first.m_action = step(platform, first, {}, fault::none);
    }
    step(platform, first, {}, fault::delayed);
    cr_assert(publish(platform, change(0, "[caller", "id", true)).m_result == publish_result::invalid);
    cr_expect(!platform.apply(platform.m_delayed_commits.front()));
    cr_expect(publish(platform, change(0, one_caller, "id", true)).m_result == publish_result::refused);
    cr_expect(platform.m_revisions.empty());
}

Test(publisher, keeps_a_bounded_history)
{
    fake_platform platform;
    publisher_settings settings;
    settings.m_history = 3;
    for (std::uint64_t number = 0; number < 10; ++number) {
        const publication request = change(number, "[caller a]\nrate = " + std::to_string(number + 1) + "\n",
                                           "id" + std::to_string(number));
        writer test_writer{request, {}, publisher(settings, 1), publish_wait{}};
        test_writer.m_action = test_writer.m_publisher.begin({}, request);
        cr_assert(finish(platform, test_writer).m_result == publish_result::published);
    }
    cr_expect(platform.m_rows.size() == 1 + 2 * settings.m_history);
    cr_expect(platform.m_rows.count(audit_key(revision{7})) == 0);
    cr_expect(platform.m_rows.count(audit_key(revision{8})) == 1);
    const publish_end expired_end = publish(platform, change(2, one_caller, "old"));
    cr_expect(expired_end.m_result == publish_result::refused);
}

Test(publisher, refuses_unusable_input)
{
    fake_platform platform;
    cr_expect(publish(platform, change(5, one_caller, "id")).m_result == publish_result::refused);
    cr_expect(publish(platform, change(0, one_caller, "no/id")).m_result == publish_result::refused);
    const publish_end invalid_end = publish(platform, change(0, "[caller a]\nx = 1\n", "id"));
    cr_assert(invalid_end.m_result == publish_result::invalid && invalid_end.m_errors.size() == 1);
    cr_expect(invalid_end.m_errors.front().m_line == 2);
    platform.m_rows[std::string(head_key)] = row_state{"broken", {0, 1}};
    cr_expect(publish(platform, change(0, one_caller, "id")).m_result == publish_result::refused);
}

Test(revision_rows, survive_malformed_bytes)
{
    const revision_info info{revision{7},
                             digest_of("x"),
                             {"id", "M\xC4\x81ia", "\xFF\"\n", wall_time(wall_time::duration(9))},
                             "s\n"};
    const std::string row = encode_revision(info);
    const auto decoded = decode_revision(row);
    cr_assert(decoded.has_value());
    cr_expect(decoded.value().m_revision == info.m_revision && decoded.value().m_digest == info.m_digest);
    cr_expect(decoded.value().m_note.m_when == info.m_note.m_when &&
              decoded.value().m_note.m_who == "M\xC4\x81ia");
    cr_assert(rc::check("malformed rows are rejected or decoded", [&] {
        std::string damaged = row;
        damaged.replace(*rc::gen::inRange<std::size_t>(0, row.size()), *rc::gen::inRange<std::size_t>(0, 9),
                        *rc::gen::arbitrary<std::string>());
        const auto read = decode_revision(damaged);
        RC_ASSERT((read.has_error() || read.value().m_digest.size() == 64));
    }));
}
