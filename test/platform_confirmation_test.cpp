/** @file platform_confirmation_test.cpp Tests of what the clients of the store say of the version of the head
 * row. */
#include "test/platform_restore_store.h"

#include <criterion/criterion.h>

using namespace waxwing;
using namespace waxwing::model;

namespace {

/** One confirmation. */
struct reported_version {
    row_version m_version;
    boot_instant m_sent_at;
};

/** A store whose client watches the operator's row and reports its confirmations. */
struct confirmed_store : store_fixture {
    std::vector<reported_version> m_reported;

    /** Starts to watch revision 8 and runs until a feed waits. */
    bool start()
    {
        write(8);
        m_store->watch_confirmations(std::string(head_key),
                                     [this](row_version version, boot_instant sent_at) {
                                         m_reported.push_back({version, sent_at});
                                     });
        watch();
        return runs_until(8) && runs_until_feed_waits();
    }

    /** Runs for @p length. @return the confirmations of calls that were sent meanwhile. */
    std::vector<reported_version> reported_during(duration length)
    {
        const boot_instant begin = event_loop::boot_now();
        m_reported.clear();
        run(length);
        std::erase_if(m_reported, [&](const auto& each) { return each.m_sent_at < begin; });
        return m_reported;
    }
};

constexpr duration check_duration = std::chrono::milliseconds(1300); ///< Contains one check of the store.

} // namespace

/** The confirmations must cost no calls beyond the check of each second. */
Test(platform_confirmation, checks_confirm_the_row_without_further_reads)
{
    confirmed_store store;
    cr_assert(store.start());
    cr_assert(!store.m_reported.empty(), "the first read confirms");
    const int reads = store.m_reads;
    const auto reported = store.reported_during(check_duration);
    cr_assert(reported.size() == 1 && reported[0].m_version.m_number == store.m_row_version);
    cr_assert(store.m_reads == reads);
}

/** Other tables are written all the time, which the feed does not report. */
Test(platform_confirmation, a_read_confirms_the_row_where_other_tables_are_written)
{
    confirmed_store store;
    cr_assert(store.start());
    store.m_counter += 3;
    const auto reported = store.reported_during(check_duration);
    cr_assert(reported.size() == 1 && reported[0].m_version.m_number == store.m_row_version);
}

/** A feed whose connection has gone silent must not confirm the row that it reported last. */
Test(platform_confirmation, a_row_that_the_feed_has_not_reported_is_not_confirmed)
{
    confirmed_store store;
    cr_assert(store.start());
    store.m_are_feeds_silent = true;
    store.write(9);
    for (const reported_version& each : store.reported_during(2 * check_duration)) {
        cr_assert(each.m_version.m_number == store.m_row_version);
    }
    cr_assert(store.m_seen == 9 && !store.m_reported.empty());
}

Test(platform_confirmation, a_store_that_fails_or_went_back_confirms_nothing)
{
    confirmed_store store;
    store.m_names_era = false;
    store.m_counter = 5;
    cr_assert(store.start());
    store.m_counter -= 3;
    cr_assert(store.reported_during(check_duration).empty());
    store.m_counter += 3;
    store.m_is_down = true;
    cr_assert(store.reported_during(check_duration).empty());
}

/** review/13: a row that a node refuses may withdraw keys, which then went on working there. */
Test(platform_confirmation, a_refused_row_confirmed_the_row_before_it)
{
    confirmed_store store;
    cr_assert(store.start());
    cr_assert(!store.m_store->head_refusal());
    store.m_resources.push_back({{"typeUrl", "services"}});
    store.write(9);
    store.run(std::chrono::milliseconds(100));
    cr_assert(store.m_seen == 8 && store.m_store->head_refusal());
    cr_assert(store.reported_during(check_duration).empty());

    store.m_resources.clear();
    store.write(10);
    cr_assert(store.runs_until(10) && !store.m_store->head_refusal());
    const auto reported = store.reported_during(check_duration);
    cr_assert(!reported.empty() && reported.back().m_version.m_number == store.m_row_version);
}

/** A process that starts while the row is refused learns the configuration before it from its peers only. */
Test(platform_confirmation, a_row_that_was_refused_at_the_start_confirms_nothing)
{
    confirmed_store store;
    store.m_resources.push_back({{"typeUrl", "services"}});
    cr_assert(!store.start());
    cr_assert(store.m_store->head_refusal() && store.m_reported.empty());
}

/** The store may lose the refused row, but what it withdrew stays withdrawn. */
Test(platform_confirmation, a_refused_row_that_the_store_has_lost_is_not_forgotten)
{
    confirmed_store store;
    cr_assert(store.start());
    const std::uint64_t valid_version = store.m_row_version;
    store.m_resources.push_back({{"typeUrl", "services"}});
    store.write(9);
    store.run(std::chrono::milliseconds(100));
    store.m_resources.clear();
    store.restore(8, valid_version);
    store.run(std::chrono::milliseconds(100));
    store.m_is_down = false;
    cr_assert(store.reported_during(2 * check_duration).empty() && store.m_store->head_refusal());
}

/** Two rows with one version would count as one revision, of which only the first is in force. */
Test(platform_confirmation, a_row_that_repeats_a_version_with_other_content_is_not_confirmed)
{
    confirmed_store store;
    cr_assert(store.start());
    store.m_resources.push_back(
        {{"typeUrl", "services"}, {"metadata", {{"name", "s"}}}, {"spec", {{"maxConnections", 5}}}});
    store.write(8);
    store.run(std::chrono::milliseconds(100));
    cr_assert(store.m_store->head_refusal() && store.reported_during(check_duration).empty());
}

/** A node that does not watch reads the row for want of a confirmation; the answer must count. */
Test(platform_confirmation, a_read_of_the_head_row_confirms_it)
{
    confirmed_store store;
    cr_assert(store.start());
    store.m_store->set_watch_active(std::string(head_key), false);
    store.m_reported.clear();
    const boot_instant begin = event_loop::boot_now();
    store.read_head();
    store.run(std::chrono::milliseconds(100));
    cr_assert(store.m_reported.size() == 1 && store.m_reported[0].m_sent_at >= begin);
    cr_assert(store.m_reported[0].m_version.m_number == store.m_row_version);
}
