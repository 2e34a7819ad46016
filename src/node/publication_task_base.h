/** @file publication_task_base.h Publications requested by operators at this node. */
#ifndef WAXWING_NODE_PUBLICATION_TASK_BASE_H
#define WAXWING_NODE_PUBLICATION_TASK_BASE_H

#include "config/config.h"
#include "loop/loop.h"
#include "storage/storage.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace waxwing {

/** Executes publications on the platform storage. Thread safety: the loop's thread only. */
class publication_task {
public:
    using handler = std::function<void(const publish_end&)>;

    /** @pre @p loop and @p platform_storage outlive this. */
    publication_task(event_loop& loop, storage& platform_storage, std::uint64_t seed);

    /** Publishes @p what; calls @p on_end once at the end. @return false if too many are in progress. */
    bool publish(publication what, handler on_end);

private:
    /** One publication in progress. */
    struct job {
        std::unique_ptr<publisher> m_publisher;
        handler m_on_end;
        std::unique_ptr<timer> m_timer;
    };

    void execute(std::uint64_t number, publish_action action);
    template<class Step>
    void advance(std::uint64_t number, Step step);
    void commit(std::uint64_t number, const publish_commit& request);

    event_loop& m_loop;
    storage& m_storage;
    random_source m_random;
    std::unordered_map<std::uint64_t, job> m_jobs;
    std::uint64_t m_last_job = 0;
};

} // namespace waxwing

#endif
