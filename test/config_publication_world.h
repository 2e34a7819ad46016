/** @file config_publication_world.h Configuration writers over an in-memory platform with faults. */
#ifndef WAXWING_TEST_CONFIG_PUBLICATION_WORLD_H
#define WAXWING_TEST_CONFIG_PUBLICATION_WORLD_H

#include "config/config.h"

#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace waxwing {

/** Fault injected into one call to the platform. */
enum class fault { none, unavailable, lost_before, lost_after, delayed };

/** The platform's table and object store in memory. */
struct fake_platform {
    std::map<std::string, row_state> m_rows;       ///< The table.
    std::map<std::string, std::string> m_objects;  ///< The object store.
    std::map<std::string, bool> m_tokens;          ///< Results of commits by token.
    std::vector<publish_commit> m_delayed_commits; ///< Commits in flight, which may still take effect.
    std::vector<revision_info> m_revisions;        ///< All values of the head row, in order.
    std::uint64_t m_version = 0;                   ///< Version of the last write.

    bool apply(const publish_commit& commit)
    {
        const auto [answer, first] = m_tokens.emplace(commit.m_token, true);
        if (!first) {
            return answer->second;
        }
        for (const auto& [key, version] : commit.m_checks) {
            const auto row = m_rows.find(key);
            answer->second =
                answer->second && (row == m_rows.end() ? row_version{} : row->second.m_version) == version;
        }
        for (std::size_t index = 0; answer->second && index < commit.m_writes.size(); ++index) {
            const auto& [key, value] = commit.m_writes[index];
            m_rows.erase(key);
            if (value) {
                m_rows[key] = row_state{*value, {0, ++m_version}};
            }
            if (key == head_key) {
                m_revisions.push_back(decode_revision(*value).value());
            }
        }
        return answer->second;
    }

    /** Returns the configuration of revision @p number. */
    config_set set_of(std::uint64_t number) const
    {
        return number == 0
                   ? config_set{}
                   : read_config(
                         {config_file{"f", m_objects.at(object_name(m_revisions[number - 1].m_digest))}})
                         .value();
    }
};

/** A writer with its publication. */
struct writer {
    publication m_publication; ///< The change that it publishes.
    config_set m_base;         ///< The configuration that the change is based on.
    publisher m_publisher;     ///< State machine under test.
    publish_action m_action;   ///< Next action.
};

/** Performs the next action of @p active_writer with the fault @p injected. @return the action after it. */
inline publish_action step(fake_platform& platform, writer& active_writer, instant now, fault injected)
{
    publisher& self = active_writer.m_publisher;
    const error failure{injected == fault::unavailable ? error_code::unavailable : error_code::unknown,
                        "fault"};
    const auto failed = BOOST_OUTCOME_V2_NAMESPACE::failure(failure);
    if (const auto* read = std::get_if<publish_read_row>(&active_writer.m_action)) {
        const auto row = platform.m_rows.find(read->m_key);
        const auto found = row == platform.m_rows.end() ? std::nullopt : std::optional(row->second);
        return injected == fault::none ? self.on_row(now, found) : self.on_row(now, failed);
    }
    if (const auto* get = std::get_if<publish_get_object>(&active_writer.m_action)) {
        const auto object = platform.m_objects.find(get->m_name);
        const auto found = object == platform.m_objects.end() ? std::nullopt : std::optional(object->second);
        return injected == fault::none ? self.on_object(now, found) : self.on_object(now, failed);
    }
    if (const auto* put = std::get_if<publish_put_object>(&active_writer.m_action)) {
        if (injected == fault::none || injected == fault::lost_after) {
            platform.m_objects[put->m_name] = put->m_bytes;
        }
        return injected == fault::none ? self.on_put(now, true) : self.on_put(now, failed);
    }
    if (const auto* commit = std::get_if<publish_commit>(&active_writer.m_action)) {
        if (injected == fault::delayed) {
            platform.m_delayed_commits.push_back(*commit);
        }
        const bool applied =
            (injected == fault::none || injected == fault::lost_after) && platform.apply(*commit);
        return injected == fault::none ? self.on_commit(now, commit_state{applied})
                                       : self.on_commit(now, failed);
    }
    return self.tick(now);
}

/** Runs @p active_writer to its end; @p choose returns the fault to inject into each action. */
inline publish_end finish(
    fake_platform& platform, writer& active_writer,
    const std::function<fault(const publish_action&)>& choose = [](const publish_action&) {
        return fault::none;
    })
{
    instant now;
    while (!std::holds_alternative<publish_end>(active_writer.m_action)) {
        if (const auto* wait = std::get_if<publish_wait>(&active_writer.m_action)) {
            now = wait->m_until;
        }
        active_writer.m_action = step(platform, active_writer, now, choose(active_writer.m_action));
    }
    cr_expect(now - instant{} < publisher_settings{}.m_deadline);
    return std::get<publish_end>(active_writer.m_action);
}

/** Starts to publish @p request. */
inline writer start(const publication& request, const config_set& base = {}, instant now = {},
                    std::uint64_t seed = 1)
{
    writer new_writer{request, base, publisher(publisher_settings{}, seed), publish_wait{}};
    new_writer.m_action = new_writer.m_publisher.begin(now, request);
    return new_writer;
}

/** Returns a publication of @p text, based on revision @p base, with the change id @p id. */
inline publication change(std::uint64_t base, const std::string& text, const std::string& id,
                          bool resumed = false)
{
    return publication{publish_text{revision{base}, text}, change_note{id, "wiremu", "test", {}}, resumed};
}

/** Publishes @p what without faults. */
inline publish_end publish(fake_platform& platform, const publication& request)
{
    writer new_writer = start(request);
    return finish(platform, new_writer);
}

/** Several concurrent writers whose steps and faults are determined by a list of random choices. */
class publication_world {
public:
    explicit publication_world(std::vector<std::uint8_t> choices) : m_choices(std::move(choices)) {}

    /** Follows all choices, then delivers the commits that are still in flight. */
    void run()
    {
        while (m_next_choice < m_choices.size()) {
            m_now += std::chrono::milliseconds(choose(8) * 40);
            const unsigned draw = choose(12);
            if (draw == 0 && !m_platform.m_delayed_commits.empty()) {
                deliver();
            }
            else if (draw == 1 && !m_stopped.empty()) {
                resume();
            }
            else if (m_writers.size() < 3) {
                begin();
            }
            else {
                step_writer(choose(3));
            }
        }
        while (!m_platform.m_delayed_commits.empty()) {
            deliver();
        }
    }

    /** Checks the results reported to the writers against the chain of revisions. */
    void check() const
    {
        std::map<std::string, std::uint64_t> published;
        for (std::size_t index = 0; index < m_platform.m_revisions.size(); ++index) {
            const revision_info& info = m_platform.m_revisions[index];
            RC_ASSERT(info.m_revision.m_value == index + 1);
            RC_ASSERT(published.emplace(info.m_note.m_change_id, index + 1).second);
            check_edits(info);
        }
        for (const auto& [id, end] : m_ends) {
            const auto found = published.find(id);
            if (end.m_result == publish_result::published) {
                RC_ASSERT(found != published.end());
                RC_ASSERT(found->second == end.m_info.m_revision.m_value);
            }
            else if (end.m_result != publish_result::unknown) {
                RC_ASSERT(found == published.end());
            }
        }
    }

    std::size_t revisions() const { return m_platform.m_revisions.size(); }

private:
    unsigned choose(unsigned count)
    {
        return m_next_choice < m_choices.size() ? m_choices[m_next_choice++] % count : 0;
    }

    void deliver()
    {
        const unsigned which = choose(unsigned(m_platform.m_delayed_commits.size()));
        m_platform.apply(m_platform.m_delayed_commits[which]);
        m_platform.m_delayed_commits.erase(m_platform.m_delayed_commits.begin() + which);
    }

    /** Starts a change of one or two objects, based on one of the last three revisions, or a rollback. */
    void begin()
    {
        const std::uint64_t head = m_platform.m_revisions.size();
        const std::uint64_t base = head - std::min<std::uint64_t>(head, choose(3));
        config_set set = m_platform.set_of(base);
        const config_set before = set;
        for (unsigned count = 1 + choose(2); count > 0; --count) {
            const caller_name name{"c" + std::to_string(choose(4))};
            set.m_callers[name] = caller_object{name, share_settings{1.0 + choose(5), 100.0, 1.0}};
            if (choose(5) == 0) {
                set.m_callers.erase(name);
            }
        }
        const std::string id = "id" + std::to_string(m_changes.size());
        publication request = change(base, write_config(set), id);
        if (base > 0 && choose(8) == 0) {
            request.m_content = publish_rollback{revision{base}};
        }
        m_changes.emplace(id, std::pair(before, request));
        add(request, before);
    }

    /** Resumes the publication of a writer that stopped or got an unknown result. */
    void resume()
    {
        publication request = m_stopped.back().m_publication;
        const config_set base = m_stopped.back().m_base;
        m_stopped.pop_back();
        request.m_resumed = true;
        add(request, base);
    }

    void add(const publication& request, const config_set& base)
    {
        m_writers.push_back(start(request, base, m_now, m_next_choice));
        record_end(m_writers.size() - 1);
    }

    void step_writer(std::size_t which)
    {
        writer& self = m_writers[which];
        if (const auto* wait = std::get_if<publish_wait>(&self.m_action)) {
            m_now = std::max(m_now, wait->m_until);
        }
        const unsigned draw = choose(16);
        const fault injected = draw < 5 ? static_cast<fault>(draw) : fault::none;
        const publish_action before = self.m_action;
        self.m_action = step(m_platform, self, m_now, injected);
        if (draw == 15) {
            m_stopped.push_back(std::move(self));
            m_writers.erase(m_writers.begin() + std::ptrdiff_t(which));
            return;
        }
        record_end(which);
    }

    /** Records the result of the writer and removes it, if it has ended. */
    void record_end(std::size_t which)
    {
        writer& self = m_writers[which];
        const auto* end = std::get_if<publish_end>(&self.m_action);
        if (end == nullptr) {
            return;
        }
        m_ends.emplace_back(self.m_publication.m_note.m_change_id, *end);
        if (end->m_result == publish_result::unknown) {
            m_stopped.push_back(std::move(self));
        }
        m_writers.erase(m_writers.begin() + std::ptrdiff_t(which));
    }

    /** Checks that a revision contains the edits of its change and no other difference. */
    void check_edits(const revision_info& info) const
    {
        const auto& [base, request] = m_changes.at(info.m_note.m_change_id);
        const auto* content = std::get_if<publish_text>(&request.m_content);
        if (content == nullptr) {
            return;
        }
        const config_set mine = read_config({config_file{"f", content->m_text}}).value();
        const config_set before = m_platform.set_of(info.m_revision.m_value - 1);
        const config_set after = m_platform.set_of(info.m_revision.m_value);
        std::set<std::string> edits;
        for (const config_change& edit : diff_configs(base, mine)) {
            edits.insert(edit.m_object);
        }
        for (const config_change& difference : diff_configs(mine, after)) {
            RC_ASSERT(edits.count(difference.m_object) == 0);
        }
        for (const config_change& difference : diff_configs(before, after)) {
            RC_ASSERT(edits.count(difference.m_object) == 1);
        }
    }

    std::vector<std::uint8_t> m_choices; ///< Random choices.
    std::size_t m_next_choice = 0;       ///< Index of the next choice.
    instant m_now;                       ///< Current time.
    fake_platform m_platform;            ///< The platform.
    std::vector<writer> m_writers;       ///< Writers in progress.
    std::vector<writer> m_stopped;       ///< Writers that may be resumed.
    std::map<std::string, std::pair<config_set, publication>>
        m_changes; ///< Base and publication of all changes, by change id.
    std::vector<std::pair<std::string, publish_end>> m_ends; ///< Results by change id.
};

} // namespace waxwing

#endif
