/** @file publication_base.h Publishing a configuration through the platform's table and object store. */
#ifndef WAXWING_CONFIG_PUBLICATION_BASE_H
#define WAXWING_CONFIG_PUBLICATION_BASE_H

#include "config/config_func.h"

#include <memory>
#include <optional>
#include <variant>

namespace waxwing {

/** Who changes the configuration, and why. */
struct change_note {
    std::string m_change_id; ///< Unique; settles whether the change took effect.
    std::string m_who;       ///< The operator.
    std::string m_why;       ///< Free text.
    wall_time m_when{};      ///< For people.
};

/** One accepted revision, as the head row and the audit rows give it. */
struct revision_info {
    revision m_revision;   ///< Its number.
    std::string m_digest;  ///< Names the object that holds it.
    change_note m_note;    ///< Who and why.
    std::string m_summary; ///< What changed, an object a line.
};

/** Encodes @p info as the value of a row. */
std::string encode_revision(const revision_info& info);

/** Decodes what encode_revision wrote. Total over hostile bytes. */
result<revision_info> decode_revision(std::string_view bytes);

/** Key of the row that names the newest revision. */
inline constexpr std::string_view head_key = "config/head";

/** Gives the key of the audit row of @p number. */
std::string audit_key(revision number);

/** Gives the name of the object with the digest @p digest. */
std::string object_name(std::string_view digest);

/** Gives the key of the row that says what became of the change @p change_id. */
std::string change_key(std::string_view change_id);

/** Value of the change row of a change that will never be published. */
inline constexpr std::string_view abandoned_value = "abandoned";

/** Times and bounds of a publication. */
struct publisher_settings {
    duration m_deadline = std::chrono::seconds(15);            ///< Time in which it tries.
    duration m_backoff_least = std::chrono::milliseconds(50);  ///< Longest wait before the first retry.
    duration m_backoff_most = std::chrono::milliseconds(2000); ///< Longest wait before any retry.
    std::uint64_t m_history = 4096;                            ///< Revisions whose rows are kept.
};

/** A set to publish, and the revision that it was made from. */
struct publish_text {
    revision m_base;    ///< Zero where there was none.
    std::string m_text; ///< INI.
};

/** An accepted revision whose set is to be published again. */
struct publish_rollback {
    revision m_target; ///< The revision.
};

/** A change to publish. */
struct publication {
    std::variant<publish_text, publish_rollback> m_content; ///< What to publish.
    change_note m_note;                                     ///< Who and why.
    bool m_resumed = false; ///< Whether an earlier try under the same change id may have got anywhere.
};

/** A row as it was read. */
struct row_state {
    std::string m_value;         ///< Bytes.
    std::uint64_t m_version = 0; ///< Its version.
};

/** What became of a commit. */
struct commit_state {
    bool m_applied = false; ///< Whether its checks held.
};

/** Read the row and call publisher::on_row. */
struct publish_read_row {
    std::string m_key; ///< Its key.
};

/** Get the object and call publisher::on_object. */
struct publish_get_object {
    std::string m_name; ///< Its name.
};

/** Put the object and call publisher::on_put. */
struct publish_put_object {
    std::string m_name;  ///< Its name.
    std::string m_bytes; ///< Its content.
};

/** Try the transaction and call publisher::on_commit. */
struct publish_commit {
    std::string m_token; ///< The same for the same transaction.
    std::vector<std::pair<std::string, std::uint64_t>>
        m_checks; ///< Keys and versions; zero is "does not exist".
    std::vector<std::pair<std::string, std::optional<std::string>>>
        m_writes; ///< Keys and values; none deletes.
};

/** Call publisher::tick at this time. */
struct publish_wait {
    instant m_until; ///< When.
};

/** How a publication ended. */
enum class publish_result {
    published,     ///< In the revision given.
    unchanged,     ///< The revision given holds the same set already.
    clash,         ///< Others changed the same objects; never published.
    invalid,       ///< The set, or what the merge made of it, has errors; never published.
    refused,       ///< The base or target revision can't be used; never published.
    not_published, ///< The platform could not be used in time; never published.
    unknown        ///< It may be published; a publication with the same change id and m_resumed settles it.
};

/** The publication has ended. */
struct publish_end {
    publish_result m_result = publish_result::unknown; ///< How.
    revision_info m_info;                              ///< The revision, where published or unchanged.
    std::vector<std::string> m_conflicts;              ///< Objects, where they clash.
    located_errors m_errors;                           ///< Where invalid.
    std::string m_detail;                              ///< For the operator.
};

/** What the publisher asks its owner to do next. */
using publish_action = std::variant<publish_read_row, publish_get_object, publish_put_object, publish_commit,
                                    publish_wait, publish_end>;

/**
 * Runs one publication. Each call gives the one thing to do next, until it gives publish_end.
 * Thread safety: none needed; one owner.
 */
class publisher {
public:
    publisher(const publisher_settings& settings, std::uint64_t seed);
    ~publisher();
    publisher(publisher&&) noexcept;
    publisher& operator=(publisher&&) noexcept;

    /** Begins. @pre called once. */
    publish_action begin(instant now, publication what);

    /** Takes in the row that was asked for. */
    publish_action on_row(instant now, const result<std::optional<row_state>>& row);

    /** Takes in the object that was asked for. */
    publish_action on_object(instant now, const result<std::optional<std::string>>& bytes);

    /** Takes in whether the object was put. */
    publish_action on_put(instant now, const result<bool>& done);

    /** Takes in the answer to the transaction. */
    publish_action on_commit(instant now, const result<commit_state>& answer);

    /** Goes on after publish_wait. */
    publish_action tick(instant now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing

#endif
