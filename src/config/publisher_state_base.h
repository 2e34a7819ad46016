/** @file publisher_state_base.h State of a publication; private to the config library. */
#ifndef WAXWING_CONFIG_PUBLISHER_STATE_BASE_H
#define WAXWING_CONFIG_PUBLISHER_STATE_BASE_H

#include "config/publication_base.h"

#include <map>

namespace waxwing {

/** What the publisher is waiting for. */
enum class publish_step {
    head,
    change,
    target_row,
    base_row,
    object,
    put,
    expired,
    commit,
    fence,
    backoff,
    ended
};

/** State of a publication. */
struct publisher::state {
    publisher_settings m_settings;             ///< Time-outs and limits.
    random_source m_random;                    ///< Random source for the backoff.
    publication m_change;                      ///< The change to publish.
    instant m_deadline;                        ///< Time at which to give up.
    publish_step m_step = publish_step::ended; ///< What the publisher is waiting for.
    duration m_backoff{};                      ///< Maximum delay before the next retry.

    std::optional<config_set> m_new_set; ///< The configuration to publish; none until read.
    revision m_base;                     ///< The revision that it is based on.
    bool m_is_base_known = false;        ///< Whether m_base is set.
    std::string m_base_digest;           ///< Digest of the base; empty until known.
    std::string m_target_digest;         ///< Digest of the rollback's target; empty until known.
    revision_info m_head;                ///< The newest revision; its number is zero if there is none.
    row_version m_head_version;          ///< Version of the head row.
    std::map<std::string, std::string> m_objects; ///< Fetched configurations by digest.
    std::string m_awaited_digest;                 ///< Digest of the object being fetched.

    revision_info m_next;                   ///< The revision to commit.
    std::optional<revision_info> m_expired; ///< The revision whose rows the commit deletes.
    std::optional<row_version>
        m_uncertain_version;              ///< Head version that a commit with unknown outcome requires.
    std::optional<publish_end> m_refusal; ///< The outcome to return once the fence is written.

    publish_action begin(instant now);
    publish_action start_round(instant now);
    publish_action retry(instant now, const std::string& cause);
    publish_action end(publish_end outcome);
    publish_action give_up(const std::string& cause);
    publish_action refuse(publish_end outcome);
    publish_action refuse(publish_result outcome, std::string detail);
    publish_action write_fence();
    publish_action read(publish_step step, std::string key);
    publish_action on_head_row(instant now, const std::optional<row_state>& row);
    publish_action on_change_row(const std::optional<row_state>& row);
    publish_action on_revision_row(const std::optional<row_state>& row, std::string& digest);
    publish_action fetch_inputs();
    publish_action fetch_base();
    publish_action fetch_object(const std::string& digest);
    publish_action merge();
    publish_action prepare(const config_set& head, const config_set& merged);
    publish_action read_expired();
    publish_action commit();
};

} // namespace waxwing

#endif
