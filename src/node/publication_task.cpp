/** @file publication_task.cpp Publications that operators order at this node. */
#include "node/publication_task_base.h"

#include "node/task_message_type.h"

namespace waxwing {

namespace {

constexpr std::size_t job_room = 16; ///< Publications in progress at once.

} // namespace

publication_task::publication_task(event_loop& loop, storage& kept, std::uint64_t seed)
    : m_loop(loop), m_storage(kept), m_random(seed)
{
}

bool publication_task::publish(publication what, handler on_end)
{
    if (m_jobs.size() >= job_room) {
        return false;
    }
    const std::uint64_t number = ++m_last_job;
    job started;
    started.m_publisher = std::make_unique<publisher>(publisher_settings{}, m_random());
    started.m_on_end = std::move(on_end);
    job& current = m_jobs.emplace(number, std::move(started)).first->second;
    carry_out(number, current.m_publisher->begin(event_loop::now(), std::move(what)));
    return true;
}

/** Takes the step @p step of the publication @p number, and carries out what follows. */
template<class Step>
void publication_task::go_on(std::uint64_t number, Step step)
{
    const auto position = m_jobs.find(number);
    if (position != m_jobs.end()) {
        carry_out(number, step(*position->second.m_publisher));
    }
}

void publication_task::carry_out(std::uint64_t number, publish_action action)
{
    std::visit(
        overloaded{
            [&](const publish_read_row& wanted) {
                m_storage.read(wanted.m_key, [this, number](const result<std::optional<table_row>>& row) {
                    result<std::optional<row_state>> told = std::optional<row_state>{};
                    if (row.has_error()) {
                        told = row.error();
                    }
                    else if (row.value().has_value()) {
                        told = std::optional<row_state>({row.value()->m_value, row.value()->m_version});
                    }
                    go_on(number, [&](publisher& one) { return one.on_row(event_loop::now(), told); });
                });
            },
            [&](const publish_get_object& wanted) {
                m_storage.get_object(wanted.m_name, [this, number](const auto& bytes) {
                    go_on(number, [&](publisher& one) { return one.on_object(event_loop::now(), bytes); });
                });
            },
            [&](const publish_put_object& wanted) {
                m_storage.put_object(wanted.m_name, wanted.m_bytes, [this, number](const auto& done) {
                    go_on(number, [&](publisher& one) { return one.on_put(event_loop::now(), done); });
                });
            },
            [&](const publish_commit& wanted) { commit(number, wanted); },
            [&](const publish_wait& wanted) {
                job& current = m_jobs.at(number);
                if (current.m_timer == nullptr) {
                    current.m_timer = std::make_unique<timer>(m_loop, [this, number] {
                        go_on(number, [](publisher& one) { return one.tick(event_loop::now()); });
                    });
                }
                current.m_timer->set(wanted.m_until - event_loop::now());
            },
            [&](const publish_end& end) {
                const auto position = m_jobs.find(number);
                const job ended = std::move(position->second);
                m_jobs.erase(position);
                ended.m_on_end(end);
            },
        },
        action);
}

void publication_task::commit(std::uint64_t number, const publish_commit& wanted)
{
    table_transaction transaction;
    for (const auto& [key, version] : wanted.m_checks) {
        transaction.m_checks.push_back({key, version});
    }
    for (const auto& [key, value] : wanted.m_writes) {
        transaction.m_writes.push_back({key, value});
    }
    m_storage.commit(std::move(transaction), [this, number](const result<table_commit>& ended) {
        result<commit_state> told = commit_state{};
        if (ended.has_error()) {
            told = ended.error();
        }
        else {
            told = commit_state{ended.value().m_applied};
        }
        go_on(number, [&](publisher& one) { return one.on_commit(event_loop::now(), told); });
    });
}

} // namespace waxwing
