/** @file headers_test.cpp Checks that the public headers can be included together, and parts without a test
 * of their own. */
#include "base/base.h"
#include "chart/chart.h"
#include "config/config.h"
#include "events/events.h"
#include "events/table/events.h"
#include "http/http.h"
#include "link/link.h"
#include "loop/loop.h"
#include "member/member.h"
#include "metrics/metrics.h"
#include "platform/platform.h"
#include "policy/policy.h"
#include "storage/storage.h"

#include <criterion/criterion.h>

using namespace waxwing;

Test(events, numbers_are_strictly_increasing)
{
    for (std::size_t index = 1; index < events.size(); ++index) {
        cr_assert(events[index - 1].m_number < events[index].m_number);
    }
}

Test(metrics, quantile_is_in_the_bucket_of_its_latency)
{
    latency_histogram latencies;
    for (int count = 0; count < 100; ++count) {
        latencies.add(std::chrono::milliseconds(10));
    }
    const double median = to_seconds(latencies.quantile(0.5));
    cr_assert(median >= 0.01 && median < 0.0127);
}

Test(metrics, writes_counters_with_labels)
{
    metrics registry;
    registry.count("calls", {{"kind", "a\"b"}}, 2);
    cr_assert(registry.write().find("calls{kind=\"a\\\"b\"} 2\n") != std::string::npos);
}

Test(mailbox, delivers_in_order_and_never_within_post)
{
    event_loop loop;
    std::vector<int> delivered;
    bool posting = true;
    mailbox<int> box(loop, [&](int&& message) {
        cr_assert(!posting);
        delivered.push_back(message);
        if (message == 3) {
            loop.stop();
        }
    });
    timer keep_alive(loop, [] {});
    keep_alive.set(std::chrono::hours(1));
    box.post(1);
    box.post(2);
    box.post(3);
    posting = false;
    loop.run();
    cr_assert(delivered == (std::vector<int>{1, 2, 3}));
}
