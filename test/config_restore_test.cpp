/** @file config_restore_test.cpp Tests of publications where the platform restores its store from an older
 * copy. */
#include "test/config_publication_world.h"

using namespace waxwing;

namespace {

/** The platform, and a node that watches the head row. */
struct restore_fixture {
    fake_platform m_platform;
    spread m_spread;
    instant m_now;
    unsigned m_restores = 0;      ///< Number of restorations that the node has begun.
    bool m_are_puts_lost = false; ///< Whether objects can't be put.

    explicit restore_fixture(bool restores_head = true, std::uint64_t seed = 1)
        : m_spread(make_settings(restores_head), seed)
    {
        m_spread.set_watching(m_now, true);
    }

    static spread_settings make_settings(bool restores_head)
    {
        spread_settings settings;
        settings.m_restores_head = restores_head;
        return settings;
    }

    /** Publishes revisions up to @p number; the node puts each in force. */
    void publish_up_to(std::uint64_t number)
    {
        for (std::uint64_t next = m_platform.m_revisions.size() + 1; next <= number; ++next) {
            publish_next(next);
            read_head();
        }
    }

    /** Publishes revision @p number, based on the one before. */
    void publish_next(std::uint64_t number)
    {
        const std::string text = "[caller a]\nrate = " + std::to_string(number) + "\n";
        cr_assert(publish(m_platform, change(number - 1, text, "id" + std::to_string(number))).m_result ==
                  publish_result::published);
    }

    /** Reads the head row as the node does, and performs its actions. */
    void read_head() { on_head(head_row()); }

    std::optional<row_state> head_row() const
    {
        const auto row = m_platform.m_rows.find(std::string(head_key));
        return row == m_platform.m_rows.end() ? std::nullopt : std::optional(row->second);
    }

    void on_head(const std::optional<row_state>& row)
    {
        std::vector<spread_action> actions;
        std::optional<revision_info> info;
        if (row) {
            info = decode_revision(row->m_value).value();
        }
        m_spread.on_head(m_now, info, actions, row ? row->m_version : row_version{});
        while (!actions.empty()) {
            for (const spread_action& action : std::exchange(actions, {})) {
                execute(action, actions);
            }
        }
    }

    void execute(const spread_action& action, std::vector<spread_action>& actions)
    {
        if (const auto* get = std::get_if<spread_get_object>(&action)) {
            const auto object = m_platform.m_objects.find(get->m_name);
            const auto found =
                object == m_platform.m_objects.end() ? std::nullopt : std::optional(object->second);
            m_spread.on_object(m_now, get->m_name, found, actions);
        }
        else if (const auto* restore = std::get_if<spread_restore>(&action)) {
            ++m_restores;
            if (!m_are_puts_lost) {
                for (const publish_put_object& put : restore->m_puts) {
                    m_platform.m_objects[put.m_name] = put.m_bytes;
                }
                m_platform.apply(restore->m_commit);
            }
            m_spread.on_restored(m_now);
        }
    }

    /** Calls tick until @p end, and reads the head row as often as the node does. */
    void run_until(instant end)
    {
        while (m_spread.next_tick() < end) {
            m_now = m_spread.next_tick();
            std::vector<spread_action> actions;
            m_spread.tick(m_now, actions);
            for (const spread_action& action : actions) {
                if (std::holds_alternative<spread_read_head>(action)) {
                    read_head();
                }
            }
        }
        m_now = end;
    }

    /** Returns the number of the head; zero if there is none. */
    std::uint64_t head() const
    {
        const std::optional<row_state> row = head_row();
        return row ? decode_revision(row->m_value).value().m_revision.m_value : 0;
    }
};

/** Replaces the rows and objects of @p platform by those of @p copy; versions are given out again. */
void restore_from(fake_platform& platform, const fake_platform& copy)
{
    platform.m_rows = copy.m_rows;
    for (auto& [key, row] : platform.m_rows) {
        ++row.m_version.m_era;
    }
    platform.m_objects = copy.m_objects;
    platform.m_version = copy.m_version;
}

} // namespace

/** The head goes back to a revision that nodes with a later one in force ignore. */
Test(config_restore, lost_revisions_are_written_again)
{
    restore_fixture fixture;
    fixture.publish_up_to(7);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(9);
    const fake_platform before = fixture.m_platform;
    restore_from(fixture.m_platform, copy);
    fixture.read_head();
    cr_assert(fixture.head() == 9);
    cr_expect(fixture.m_restores == 1);
    cr_expect(fixture.m_platform.m_objects == before.m_objects);
    cr_assert(fixture.m_platform.m_rows.size() == before.m_rows.size());
    for (const auto& [key, row] : before.m_rows) {
        cr_expect(fixture.m_platform.m_rows.at(key).m_value == row.m_value);
    }
    fixture.publish_next(10);
    fixture.read_head();
    cr_expect(fixture.m_spread.in_force().m_value == 10);
}

/** The copy is from before the first publication. */
Test(config_restore, lost_revisions_are_written_again_where_no_head_row_is_left)
{
    restore_fixture fixture;
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(2);
    restore_from(fixture.m_platform, copy);
    fixture.read_head();
    cr_assert(fixture.head() == 2);
    cr_expect(fixture.m_platform.m_rows.size() == 5 && fixture.m_platform.m_objects.size() == 2);
}

/** The head row belongs to the operator. */
Test(config_restore, nothing_is_written_where_publications_are_not_accepted)
{
    restore_fixture fixture(false);
    fixture.publish_up_to(7);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(9);
    restore_from(fixture.m_platform, copy);
    fixture.read_head();
    cr_expect(fixture.m_restores == 0 && fixture.head() == 7);
}

/** The answer was sent before the last publication. */
Test(config_restore, a_head_that_is_read_late_does_no_harm)
{
    restore_fixture fixture;
    fixture.publish_up_to(8);
    const std::optional<row_state> late_row = fixture.head_row();
    fixture.publish_up_to(9);
    fixture.publish_next(10);
    const fake_platform before = fixture.m_platform;
    fixture.on_head(late_row);
    cr_expect(fixture.m_restores == 1 && fixture.head() == 10);
    cr_assert(fixture.m_platform.m_rows.size() == before.m_rows.size());
    for (const auto& [key, row] : before.m_rows) {
        cr_expect(fixture.m_platform.m_rows.at(key).m_version == row.m_version);
    }
    fixture.read_head();
    cr_expect(fixture.m_spread.in_force().m_value == 10);
}

/** Two nodes have read the head of the copy; the first one restores it. */
Test(config_restore, a_second_node_does_not_write_over_a_restored_head)
{
    restore_fixture fixture;
    fixture.publish_up_to(7);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(9);
    restore_from(fixture.m_platform, copy);
    const std::optional<row_state> copied_row = fixture.head_row();
    fixture.read_head();
    fixture.publish_next(10);
    fixture.m_now += std::chrono::minutes(1);
    fixture.on_head(copied_row);
    cr_expect(fixture.m_restores == 2 && fixture.head() == 10);
}

/** Each attempt fails. */
Test(config_restore, attempts_are_delayed_after_failures_and_go_on)
{
    restore_fixture fixture;
    fixture.publish_up_to(7);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(9);
    restore_from(fixture.m_platform, copy);
    fixture.m_are_puts_lost = true;
    for (int read = 0; read < 100; ++read) {
        fixture.read_head();
    }
    cr_expect(fixture.m_restores == 1);
    fixture.run_until(fixture.m_now + std::chrono::minutes(2));
    cr_expect(fixture.m_restores > 5 && fixture.m_restores < 20, "%u attempts", fixture.m_restores);
    cr_expect(fixture.head() == 7);
    fixture.m_are_puts_lost = false;
    fixture.run_until(fixture.m_now + std::chrono::seconds(30));
    cr_expect(fixture.head() == 9);
}

/** A node that doesn't watch the head reads it rarely; those that watch it suffice. */
Test(config_restore, a_node_that_does_not_watch_the_head_writes_nothing)
{
    restore_fixture fixture;
    fixture.publish_up_to(7);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(9);
    restore_from(fixture.m_platform, copy);
    fixture.m_spread.set_watching(fixture.m_now, false);
    fixture.read_head();
    cr_expect(fixture.m_restores == 0 && fixture.head() == 7);
}

/** A publication on the head of the copy would give a lost number to another configuration. */
Test(config_restore, a_publication_waits_until_the_head_is_restored)
{
    for (const bool is_rollback : {false, true}) {
        restore_fixture fixture;
        fixture.publish_up_to(7);
        const fake_platform copy = fixture.m_platform;
        fixture.publish_up_to(9);
        restore_from(fixture.m_platform, copy);
        publication request = change(9, "[caller a]\nrate = 10\n", "id10");
        if (is_rollback) {
            request.m_content = publish_rollback{revision{6}};
        }
        request.m_known = fixture.m_spread.in_force();
        writer waiting_writer = start(request);
        while (!std::holds_alternative<publish_wait>(waiting_writer.m_action) &&
               !std::holds_alternative<publish_end>(waiting_writer.m_action)) {
            waiting_writer.m_action = step(fixture.m_platform, waiting_writer, {}, fault::none);
        }
        cr_assert(fixture.head() == 7);
        fixture.read_head();
        const publish_end end = finish(fixture.m_platform, waiting_writer);
        cr_assert(end.m_result == publish_result::published, "%s", end.m_detail.c_str());
        cr_expect(end.m_info.m_revision.m_value == 10 && fixture.head() == 10);
    }
}

/** No node restores the head before the deadline. */
Test(config_restore, a_publication_ends_as_not_published_where_the_head_is_not_restored)
{
    restore_fixture fixture;
    fixture.publish_up_to(7);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(9);
    restore_from(fixture.m_platform, copy);
    publication request = change(7, "[caller a]\nrate = 10\n", "id10");
    request.m_known = fixture.m_spread.in_force();
    cr_expect(publish(fixture.m_platform, request).m_result == publish_result::not_published);
    cr_expect(fixture.head() == 7);
}

/** The copy is from before the put of the first attempt, and the head row is the same. */
Test(config_restore, a_publication_puts_its_object_again_after_a_failure)
{
    restore_fixture fixture;
    fixture.publish_up_to(1);
    const fake_platform copy = fixture.m_platform;
    writer test_writer = start(change(1, "[caller a]\nrate = 2\n", "id2"));
    while (!std::holds_alternative<publish_commit>(test_writer.m_action)) {
        test_writer.m_action = step(fixture.m_platform, test_writer, {}, fault::none);
    }
    restore_from(fixture.m_platform, copy);
    test_writer.m_action = step(fixture.m_platform, test_writer, {}, fault::unavailable);
    const publish_end end = finish(fixture.m_platform, test_writer);
    cr_assert(end.m_result == publish_result::published);
    cr_expect(fixture.m_platform.m_objects.count(object_name(end.m_info.m_digest)) == 1);
}

/** The restored store may give the number of the head's version again, and then the delayed commit takes
 * effect. */
Test(config_restore, an_uncertain_commit_stays_uncertain_after_the_store_was_restored)
{
    restore_fixture fixture;
    fixture.publish_up_to(1);
    const fake_platform copy = fixture.m_platform;
    fixture.publish_up_to(2);
    writer test_writer = start(change(1, "[caller a]\nrate = 1\n[caller b]\nrate = 5\n", "id9"));
    while (!std::holds_alternative<publish_commit>(test_writer.m_action)) {
        test_writer.m_action = step(fixture.m_platform, test_writer, {}, fault::none);
    }
    test_writer.m_action = step(fixture.m_platform, test_writer, {}, fault::delayed);
    restore_from(fixture.m_platform, copy);
    const publish_end end = finish(fixture.m_platform, test_writer, [](const publish_action& action) {
        return std::holds_alternative<publish_commit>(action) ? fault::unavailable : fault::none;
    });
    cr_assert(end.m_result == publish_result::unknown, "%s", end.m_detail.c_str());
}
