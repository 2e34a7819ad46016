/** @file publisher_merge.cpp Steps of a publication from reading its inputs to the commit. */
#include "config/publisher_state_base.h"

namespace waxwing {

namespace {

constexpr std::size_t token_digits = 16;

} // namespace

/** Fetches the target of a rollback, then the other inputs of the merge. */
publish_action publisher::state::fetch_inputs()
{
    const auto* const rollback = std::get_if<publish_rollback>(&m_change.m_content);
    if (rollback != nullptr && !m_new_set) {
        if (m_target_digest.empty()) {
            return read(publish_step::target_row, audit_key(rollback->m_target));
        }
        const auto object = m_objects.find(m_target_digest);
        if (object == m_objects.end()) {
            return fetch_object(m_target_digest);
        }
        auto new_set = read_config({config_file{"set", object->second}});
        if (new_set.has_error()) {
            return refuse({publish_result::invalid,
                           {},
                           {},
                           std::move(new_set).error(),
                           "the configuration of the target revision has errors"});
        }
        m_new_set = std::move(new_set).value();
    }
    return fetch_base();
}

/** Fetches the configurations of the head and of the base one by one, then merges. */
publish_action publisher::state::fetch_base()
{
    if (!m_is_base_known) {
        m_base = m_head.m_revision;
        m_base_digest = m_head.m_digest;
        m_is_base_known = true;
    }
    if (m_head.m_revision < m_base) {
        return refuse(publish_result::refused, "the base revision does not exist");
    }
    if (m_head.m_revision.m_value != 0 && m_objects.count(m_head.m_digest) == 0) {
        return fetch_object(m_head.m_digest);
    }
    if (m_base != m_head.m_revision && m_base.m_value != 0) {
        if (m_base_digest.empty()) {
            return read(publish_step::base_row, audit_key(m_base));
        }
        if (m_objects.count(m_base_digest) == 0) {
            return fetch_object(m_base_digest);
        }
    }
    return merge();
}

publish_action publisher::state::fetch_object(const std::string& digest)
{
    m_awaited_digest = digest;
    m_step = publish_step::object;
    return publish_get_object{object_name(digest)};
}

/** Merges the change with the revisions that were published since its base. */
publish_action publisher::state::merge()
{
    const auto read_set = [&](const std::string& digest) {
        return read_config({config_file{"accepted", m_objects[digest]}});
    };
    const auto head = m_head.m_revision.m_value == 0 ? config_set{} : read_set(m_head.m_digest);
    if (head.has_error()) {
        return refuse(publish_result::refused,
                      "this node's version can't read the newest revision; use a node with a newer version");
    }
    if (m_base == m_head.m_revision) {
        return prepare(head.value(), *m_new_set);
    }
    const auto base = m_base.m_value == 0 ? config_set{} : read_set(m_base_digest);
    if (base.has_error()) {
        return refuse(publish_result::refused,
                      "this node's version can't read the base revision; use a node with a newer version");
    }
    auto merged = merge_configs(base.value(), *m_new_set, head.value());
    if (merged.has_value()) {
        return prepare(head.value(), merged.value());
    }
    merge_failure failure = std::move(merged).error();
    const bool clash = !failure.m_conflicts.empty();
    return refuse(
        {clash ? publish_result::clash : publish_result::invalid,
         {},
         std::move(failure.m_conflicts),
         std::move(failure.m_errors),
         "the configuration has been changed by others since revision " + std::to_string(m_base.m_value)});
}

/** Builds the next revision and puts its object, each time: the platform may have lost it since a failure. */
publish_action publisher::state::prepare(const config_set& head, const config_set& merged)
{
    std::string text = write_config(merged);
    const std::string digest = digest_of(text);
    if (digest == m_head.m_digest) {
        return end({publish_result::unchanged,
                    m_head,
                    {},
                    {},
                    "the newest revision already has this configuration"});
    }
    m_next = revision_info{revision{m_head.m_revision.m_value + 1}, digest, m_change.m_note,
                           summarise(diff_configs(head, merged))};
    m_step = publish_step::put;
    return publish_put_object{object_name(digest), std::move(text)};
}

/** Reads the audit row of the revision that drops out of the history, so that the commit deletes its rows. */
publish_action publisher::state::read_expired()
{
    m_expired.reset();
    if (m_next.m_revision.m_value <= m_settings.m_history) {
        return commit();
    }
    return read(publish_step::expired, audit_key(revision{m_next.m_revision.m_value - m_settings.m_history}));
}

publish_action publisher::state::commit()
{
    const std::string row = encode_revision(m_next);
    const std::string change_row_key = change_key(m_change.m_note.m_change_id);
    const std::string content_digest =
        digest_of(row + std::to_string(m_head_version.m_number)).substr(0, token_digits);
    publish_commit transaction{
        m_change.m_note.m_change_id + "/" + content_digest,
        {{std::string(head_key), m_head_version}, {change_row_key, {}}},
        {{std::string(head_key), row}, {audit_key(m_next.m_revision), row}, {change_row_key, row}}};
    if (m_expired) {
        transaction.m_writes.emplace_back(audit_key(m_expired->m_revision), std::nullopt);
        transaction.m_writes.emplace_back(change_key(m_expired->m_note.m_change_id), std::nullopt);
    }
    m_step = publish_step::commit;
    return transaction;
}

} // namespace waxwing
