/** @file spread_restore.cpp Restoration of revisions that the platform has lost. */
#include "config/spread_state_base.h"

#include <algorithm>

namespace waxwing {

namespace {

constexpr std::size_t token_digits = 16;

/** Most revisions in one transaction. The rows of older ones stay lost. */
constexpr std::size_t max_restored_revisions = 32;

} // namespace

/**
 * Writes the revisions above @p head again if it is below the revision in force: the store was restored from
 * an older copy. If the head was only read late, the check of its @p version fails.
 */
void spread::state::restore_head(instant now, revision head, row_version version,
                                 std::vector<spread_action>& actions)
{
    if (!(head < in_force())) {
        m_restore_backoff = spread_base_backoff;
        return;
    }
    if (!m_settings.m_restores_head || !m_is_watching || m_is_restoring || now < m_restore_not_before) {
        return;
    }
    spread_restore restore;
    publish_commit& commit = restore.m_commit;
    const std::string head_row = encode_revision(m_revisions.back().m_info);
    const std::string content =
        head_row + std::to_string(version.m_era) + "." + std::to_string(version.m_number);
    commit.m_token = "restore/" + digest_of(content).substr(0, token_digits);
    commit.m_checks.emplace_back(head_key, version);
    commit.m_writes.emplace_back(head_key, head_row);
    const std::size_t skipped = m_revisions.size() - std::min(m_revisions.size(), max_restored_revisions);
    for (auto each = m_revisions.begin() + static_cast<std::ptrdiff_t>(skipped); each != m_revisions.end();
         ++each) {
        const revision_info& info = each->m_info;
        if (!(head < info.m_revision)) {
            continue;
        }
        const std::string row = encode_revision(info);
        restore.m_puts.push_back(publish_put_object{object_name(info.m_digest), each->m_text});
        commit.m_writes.emplace_back(audit_key(info.m_revision), row);
        commit.m_writes.emplace_back(change_key(info.m_note.m_change_id), row);
    }
    m_is_restoring = true;
    actions.emplace_back(std::move(restore));
}

void spread::on_restored(instant now)
{
    state& self = *m_state;
    self.m_is_restoring = false;
    self.m_restore_not_before = now + self.jitter(self.m_restore_backoff);
    self.m_restore_backoff = std::min(self.m_restore_backoff * 2, spread_max_backoff);
    self.m_next_poll_at = std::min(self.m_next_poll_at, self.m_restore_not_before);
}

} // namespace waxwing
