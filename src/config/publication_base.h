/** @file publication_base.h Publication of a configuration through the platform's table and object store. */
#ifndef WAXWING_CONFIG_PUBLICATION_BASE_H
#define WAXWING_CONFIG_PUBLICATION_BASE_H

#include "config/config_func.h"

#include <memory>
#include <optional>
#include <variant>

namespace waxwing {

/** Origin of a configuration change, for the audit log. */
struct change_note {
    std::string m_change_id; ///< Unique; identifies the change when its outcome is looked up.
    std::string m_who;       ///< Name of the operator.
    std::string m_why;       ///< Reason, free text.
    wall_time m_when{};      ///< Time of the change; informational only.
};

/** One accepted revision, as stored in the head, audit and change rows. */
struct revision_info {
    revision m_revision;   ///< Its number.
    std::string m_digest;  ///< Digest of its configuration, which names the object.
    change_note m_note;    ///< Its origin.
    std::string m_summary; ///< Changed objects, one per line.
};

/** Encodes @p info as the value of a row. */
std::string encode_revision(const revision_info& info);

/** Decodes the value of a row from encode_revision. Safe on untrusted input. */
result<revision_info> decode_revision(std::string_view bytes);

/** Key of the head row, which holds the newest revision. */
inline constexpr std::string_view head_key = "config/head";

/** Returns the key of the audit row of revision @p number. */
std::string audit_key(revision number);

/** Returns the name of the object that holds the configuration with digest @p digest. */
std::string object_name(std::string_view digest);

/** Returns the key of the change row, which records the outcome of the change @p change_id. */
std::string change_key(std::string_view change_id);

/** Value of the change row of a change that was abandoned and can never be published. */
inline constexpr std::string_view abandoned_value = "abandoned";

/** Time-outs and limits of a publication. */
struct publisher_settings {
    duration m_deadline = std::chrono::seconds(15);           ///< Time limit of a publication.
    duration m_base_backoff = std::chrono::milliseconds(50);  ///< Maximum delay before the first retry.
    duration m_max_backoff = std::chrono::milliseconds(2000); ///< Maximum delay before any retry.
    std::uint64_t m_history = 4096; ///< Number of revisions whose rows are retained.
};

/** A configuration to publish, and the revision that it is based on. */
struct publish_text {
    revision m_base;    ///< Base revision; zero if there was none.
    std::string m_text; ///< Configuration in INI format.
};

/** A rollback: publishes the configuration of an accepted revision again. */
struct publish_rollback {
    revision m_target; ///< The revision to return to.
};

/** A change to publish. */
struct publication {
    std::variant<publish_text, publish_rollback> m_content; ///< What to publish.
    change_note m_note;                                     ///< Origin of the change.
    bool m_resumed = false; ///< Whether an earlier attempt with the same change id may have taken effect.
    revision m_known{};     ///< Newest revision known to the node; a head below it is not built on.
};

/** A row of the table. */
struct row_state {
    std::string m_value;   ///< Value.
    row_version m_version; ///< Version.
};

/** Result of a commit. */
struct commit_state {
    bool m_applied = false; ///< Whether its checks passed and its writes were applied.
};

/** Action: read the row and call publisher::on_row. */
struct publish_read_row {
    std::string m_key; ///< Key of the row.
};

/** Action: get the object and call publisher::on_object. */
struct publish_get_object {
    std::string m_name; ///< Name of the object.
};

/** Action: put the object and call publisher::on_put. */
struct publish_put_object {
    std::string m_name;  ///< Name of the object.
    std::string m_bytes; ///< Content.
};

/** Action: run the transaction and call publisher::on_commit. */
struct publish_commit {
    std::string m_token; ///< Idempotency token; equal for equal transactions.
    std::vector<std::pair<std::string, row_version>>
        m_checks; ///< Required versions by key; number zero requires that the row does not exist.
    std::vector<std::pair<std::string, std::optional<std::string>>>
        m_writes; ///< Values by key; none deletes the row.
};

/** Action: call publisher::tick at the given time. */
struct publish_wait {
    instant m_until; ///< Time of the call.
};

/** Outcome of a publication. */
enum class publish_result {
    published,     ///< Published as the revision in publish_end.
    unchanged,     ///< The newest revision, in publish_end, already has the same configuration.
    clash,         ///< A concurrent change modified the same objects; never published.
    invalid,       ///< The configuration has errors, before or after merging; never published.
    refused,       ///< The change id, the change or a stored row can't be used; never published.
    not_published, ///< The deadline passed; never published.
    unknown        ///< May be published; publish again with the same change id and m_resumed to find out.
};

/** Action: none; the publication has ended. */
struct publish_end {
    publish_result m_result = publish_result::unknown; ///< Outcome.
    revision_info m_info;                              ///< The revision, if published or unchanged.
    std::vector<std::string> m_conflicts;              ///< Headings of conflicting objects, if clash.
    located_errors m_errors;                           ///< Errors, if invalid.
    std::string m_detail;                              ///< Explanation for the operator.
};

/** Next action that the publisher requests from its owner. */
using publish_action = std::variant<publish_read_row, publish_get_object, publish_put_object, publish_commit,
                                    publish_wait, publish_end>;

/**
 * State machine of one publication, without I/O of its own. Each call returns the next action for the owner
 * to perform; the last one is publish_end. Thread safety: none; used by one owner.
 */
class publisher {
public:
    publisher(const publisher_settings& settings, std::uint64_t seed);
    ~publisher();
    publisher(publisher&&) noexcept;
    publisher& operator=(publisher&&) noexcept;

    /** Starts the publication. @pre called once. */
    publish_action begin(instant now, publication change);

    /** Handles the row of publish_read_row, none if it does not exist, or the error. */
    publish_action on_row(instant now, const result<std::optional<row_state>>& row);

    /** Handles the object of publish_get_object, none if it does not exist, or the error. */
    publish_action on_object(instant now, const result<std::optional<std::string>>& bytes);

    /** Handles the result of publish_put_object. */
    publish_action on_put(instant now, const result<bool>& response);

    /** Handles the result of publish_commit. */
    publish_action on_commit(instant now, const result<commit_state>& response);

    /** Continues after publish_wait. */
    publish_action tick(instant now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
