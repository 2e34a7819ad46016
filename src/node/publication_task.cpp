/** @file publication_task.cpp Publications requested by operators at this node. */
#include "node/publication_task_base.h"

#include "node/task_message_type.h"
#include "node/transaction_func.h"

namespace waxwing {

namespace {

constexpr std::size_t max_jobs = 16; ///< Publications in progress at once.

} // namespace

publication_task::publication_task(event_loop& loop, storage& platform_storage, std::uint64_t seed)
    : m_loop(loop), m_storage(platform_storage), m_random(seed)
{
}

bool publication_task::publish(publication what, handler on_end)
{
    if (m_jobs.size() >= max_jobs) {
        return false;
    }
    const std::uint64_t number = ++m_last_job;
    job started;
    started.m_publisher = std::make_unique<publisher>(publisher_settings{}, m_random());
    started.m_on_end = std::move(on_end);
    job& current = m_jobs.emplace(number, std::move(started)).first->second;
    execute(number, current.m_publisher->begin(event_loop::now(), std::move(what)));
    return true;
}

/** Runs @p step on the publication @p number if it is still active, and executes the resulting action. */
template<class Step>
void publication_task::advance(std::uint64_t number, Step step)
{
    const auto position = m_jobs.find(number);
    if (position != m_jobs.end()) {
        execute(number, step(*position->second.m_publisher));
    }
}

void publication_task::execute(std::uint64_t number, publish_action action)
{
    std::visit(
        overloaded{
            [&](const publish_read_row& request) {
                m_storage.read(request.m_key, [this, number](const result<std::optional<table_row>>& row) {
                    result<std::optional<row_state>> state = std::optional<row_state>{};
                    if (row.has_error()) {
                        state = row.error();
                    }
                    else if (row.value().has_value()) {
                        state = std::optional<row_state>({row.value()->m_value, row.value()->m_version});
                    }
                    advance(number, [&](publisher& active_publisher) {
                        return active_publisher.on_row(event_loop::now(), state);
                    });
                });
            },
            [&](const publish_get_object& request) {
                m_storage.get_object(request.m_name, [this, number](const auto& bytes) {
                    advance(number, [&](publisher& active_publisher) {
                        return active_publisher.on_object(event_loop::now(), bytes);
                    });
                });
            },
            [&](const publish_put_object& request) {
                m_storage.put_object(request.m_name, request.m_bytes, [this, number](const auto& outcome) {
                    advance(number, [&](publisher& active_publisher) {
                        return active_publisher.on_put(event_loop::now(), outcome);
                    });
                });
            },
            [&](const publish_commit& request) { commit(number, request); },
            [&](const publish_wait& request) {
                job& current = m_jobs.at(number);
                if (current.m_timer == nullptr) {
                    current.m_timer = std::make_unique<timer>(m_loop, [this, number] {
                        advance(number, [](publisher& active_publisher) {
                            return active_publisher.tick(event_loop::now());
                        });
                    });
                }
                current.m_timer->set(request.m_until - event_loop::now());
            },
            [&](const publish_end& end) {
                const auto position = m_jobs.find(number);
                const job completed_job = std::move(position->second);
                m_jobs.erase(position);
                completed_job.m_on_end(end);
            },
        },
        action);
}

void publication_task::commit(std::uint64_t number, const publish_commit& request)
{
    m_storage.commit(to_transaction(request), [this, number](const result<table_commit>& outcome) {
        result<commit_state> state = commit_state{};
        if (outcome.has_error()) {
            state = outcome.error();
        }
        else {
            state = commit_state{outcome.value().m_applied};
        }
        advance(number, [&](publisher& active_publisher) {
            return active_publisher.on_commit(event_loop::now(), state);
        });
    });
}

} // namespace waxwing
