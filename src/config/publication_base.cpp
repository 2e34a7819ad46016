/** @file publication_base.cpp State machine of a publication. */
#include "config/publication_base.h"

#include "config/publisher_state_base.h"
#include "config/value_func.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t who_limit = 128;
constexpr std::size_t why_limit = 2048;

} // namespace

publish_action publisher::state::begin(instant now)
{
    m_deadline = now + m_settings.m_deadline;
    m_backoff = m_settings.m_base_backoff;
    change_note& note = m_change.m_note;
    note.m_who.resize(std::min(note.m_who.size(), who_limit));
    note.m_why.resize(std::min(note.m_why.size(), why_limit));
    if (!is_name(note.m_change_id)) {
        return end({publish_result::refused,
                    {},
                    {},
                    {},
                    "the change id must be up to 63 letters, digits, '.', '-' and '_'"});
    }
    if (const auto* const text_change = std::get_if<publish_text>(&m_change.m_content)) {
        m_base = text_change->m_base;
        m_is_base_known = true;
        auto new_set = read_config({config_file{"set", text_change->m_text}});
        if (new_set.has_error()) {
            return refuse({publish_result::invalid,
                           {},
                           {},
                           std::move(new_set).error(),
                           "the configuration has errors"});
        }
        m_new_set = std::move(new_set).value();
    }
    return start_round(now);
}

/** Starts an attempt: reads the head row, then the change row, which together determine all further steps. */
publish_action publisher::state::start_round(instant now)
{
    if (now >= m_deadline) {
        return give_up("the deadline passed before the change could be committed");
    }
    return read(publish_step::head, std::string(head_key));
}

/** Schedules another attempt after a random backoff; gives up if that would be at or after the deadline. */
publish_action publisher::state::retry(instant now, const std::string& cause)
{
    std::uniform_int_distribution<duration::rep> distribution(m_backoff.count() / 2, m_backoff.count());
    const instant retry_at = now + duration(distribution(m_random));
    m_backoff = std::min(m_backoff * 2, m_settings.m_max_backoff);
    if (retry_at >= m_deadline) {
        return give_up(cause);
    }
    m_step = publish_step::backoff;
    return publish_wait{retry_at};
}

publish_action publisher::state::end(publish_end outcome)
{
    m_step = publish_step::ended;
    return outcome;
}

/** Ends at the deadline. The result is `not_published` only if no commit can take effect any more. */
publish_action publisher::state::give_up(const std::string& cause)
{
    if (m_uncertain_version || m_change.m_resumed) {
        return end({publish_result::unknown,
                    {},
                    {},
                    {},
                    cause + "; the change may have been published: run it again with change id " +
                        m_change.m_note.m_change_id});
    }
    return end({publish_result::not_published, {}, {}, {}, cause + "; nothing was published"});
}

/** Ends with a refusal. If an earlier commit may still take effect, a fence is written first. */
publish_action publisher::state::refuse(publish_end outcome)
{
    if (!m_change.m_resumed && !m_uncertain_version) {
        return end(std::move(outcome));
    }
    m_refusal = std::move(outcome);
    return write_fence();
}

publish_action publisher::state::refuse(publish_result outcome, std::string detail)
{
    return refuse(publish_end{outcome, {}, {}, {}, std::move(detail)});
}

/**
 * Writes the change row as abandoned. Commits of the change require that this row does not exist, so none can
 * take effect afterwards.
 */
publish_action publisher::state::write_fence()
{
    const std::string key = change_key(m_change.m_note.m_change_id);
    m_step = publish_step::fence;
    return publish_commit{
        m_change.m_note.m_change_id + "/abandon", {{key, {}}}, {{key, std::string(abandoned_value)}}};
}

publish_action publisher::state::read(publish_step step, std::string key)
{
    m_step = step;
    return publish_read_row{std::move(key)};
}

publish_action publisher::state::on_head_row(instant now, const std::optional<row_state>& row)
{
    m_head = revision_info{};
    m_head_version = {};
    if (row) {
        const result<revision_info> head = decode_revision(row->m_value);
        if (head.has_error()) {
            return refuse(publish_result::refused, "the head row is malformed; restore it manually");
        }
        m_head = head.value();
        m_head_version = row->m_version;
    }
    if (m_head.m_revision < m_change.m_known) {
        return retry(now, "the platform has lost the newest revisions, and they are not written again yet");
    }
    std::erase_if(m_objects, [&](const auto& object) {
        return object.first != m_head.m_digest && object.first != m_base_digest &&
               object.first != m_target_digest;
    });
    return read(publish_step::change, change_key(m_change.m_note.m_change_id));
}

/** Handles the change row, which is read after the head row. */
publish_action publisher::state::on_change_row(const std::optional<row_state>& row)
{
    if (row && row->m_value == abandoned_value) {
        return end({publish_result::refused, {}, {}, {}, "the change was abandoned; use another change id"});
    }
    if (row) {
        const result<revision_info> info = decode_revision(row->m_value);
        if (info.has_error()) {
            return end(
                {publish_result::unknown, {}, {}, {}, "the change row is malformed; check the history"});
        }
        return end({publish_result::published, info.value(), {}, {}, ""});
    }
    if (m_refusal) {
        return write_fence();
    }
    // In a later era the head may get the number again, and a commit that is still in flight takes effect
    // then.
    if (m_uncertain_version && m_uncertain_version->m_era == m_head_version.m_era &&
        *m_uncertain_version != m_head_version) {
        m_uncertain_version.reset();
    }
    return fetch_inputs();
}

/** Stores the digest of a revision from its audit row in @p digest. */
publish_action publisher::state::on_revision_row(const std::optional<row_state>& row, std::string& digest)
{
    if (!row) {
        return refuse(publish_result::refused, "the revision is not in the history; get the newest "
                                               "revision and repeat the change on it");
    }
    const result<revision_info> info = decode_revision(row->m_value);
    if (info.has_error()) {
        return refuse(publish_result::refused, "the audit row of the revision is malformed");
    }
    digest = info.value().m_digest;
    return fetch_inputs();
}

publisher::publisher(const publisher_settings& settings, std::uint64_t seed)
    : m_state(std::make_unique<state>())
{
    m_state->m_settings = settings;
    m_state->m_random.seed(seed);
}

publisher::~publisher() = default;
publisher::publisher(publisher&&) noexcept = default;
publisher& publisher::operator=(publisher&&) noexcept = default;

publish_action publisher::begin(instant now, publication change)
{
    m_state->m_change = std::move(change);
    return m_state->begin(now);
}

publish_action publisher::on_row(instant now, const result<std::optional<row_state>>& row)
{
    state& self = *m_state;
    if (row.has_error()) {
        return self.retry(now, "the table could not be read: " + row.error().m_text);
    }
    if (self.m_step == publish_step::head) {
        return self.on_head_row(now, row.value());
    }
    if (self.m_step == publish_step::change) {
        return self.on_change_row(row.value());
    }
    if (self.m_step == publish_step::target_row) {
        return self.on_revision_row(row.value(), self.m_target_digest);
    }
    if (self.m_step == publish_step::base_row) {
        return self.on_revision_row(row.value(), self.m_base_digest);
    }
    const result<revision_info> expired =
        decode_revision(row.value() ? std::string_view(row.value()->m_value) : std::string_view{});
    if (expired.has_value()) {
        self.m_expired = expired.value();
    }
    return self.commit();
}

publish_action publisher::on_object(instant now, const result<std::optional<std::string>>& bytes)
{
    state& self = *m_state;
    if (bytes.has_error()) {
        return self.retry(now, "the object store could not be read: " + bytes.error().m_text);
    }
    if (!bytes.value() || digest_of(*bytes.value()) != self.m_awaited_digest) {
        return self.retry(now, "the object of a revision is missing or does not match its digest");
    }
    self.m_objects[self.m_awaited_digest] = *bytes.value();
    return self.fetch_inputs();
}

publish_action publisher::on_put(instant now, const result<bool>& response)
{
    state& self = *m_state;
    if (response.has_error()) {
        return self.retry(now, "the object store could not be written: " + response.error().m_text);
    }
    return self.read_expired();
}

publish_action publisher::on_commit(instant now, const result<commit_state>& response)
{
    state& self = *m_state;
    const bool is_fence = self.m_step == publish_step::fence;
    if (response.has_error()) {
        if (!is_fence && response.error().m_code != error_code::unavailable) {
            self.m_uncertain_version = self.m_head_version;
        }
        return self.retry(now, "the table could not be written: " + response.error().m_text);
    }
    if (!response.value().m_applied) {
        return self.start_round(now);
    }
    if (is_fence) {
        return self.end(std::move(*self.m_refusal));
    }
    return self.end({publish_result::published, self.m_next, {}, {}, ""});
}

publish_action publisher::tick(instant now)
{
    return m_state->start_round(now);
}

} // namespace waxwing
