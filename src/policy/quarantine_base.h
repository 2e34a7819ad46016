/** @file quarantine_base.h Quarantine of requests that crash targets. */
#ifndef WAXWING_POLICY_QUARANTINE_BASE_H
#define WAXWING_POLICY_QUARANTINE_BASE_H

#include "base/base.h"

#include <memory>
#include <string>
#include <vector>

namespace waxwing {

/** Bounds of the quarantine table. */
struct quarantine_settings {
    std::size_t m_capacity = 4096; ///< Fingerprints in the table, at most.
    /** A suspect or cleared fingerprint is forgotten after this time. */
    duration m_suspect_retention = std::chrono::minutes(10);
    /** A quarantined or released fingerprint is forgotten after this time. */
    duration m_quarantine_retention = std::chrono::hours(24);
    /** A crash is no proof against a request if a target that did not run it has crashed within this time, or
     * the request has finished at the own target. */
    duration m_coincidence_window = std::chrono::seconds(10);
};

/** Quarantine state of a request. */
enum class suspicion {
    none,          ///< Not suspect.
    suspect,       ///< Was in progress when one target crashed; runs alone.
    quarantined,   ///< Its exclusive run crashed a target, and coincidence is unlikely; is not run.
    strong_suspect ///< Its exclusive run crashed a target while others crashed too; runs alone once more.
};

/** Returns whether a request in state @p current may only run exclusively. Thread safety: pure. */
inline bool is_suspected(suspicion current)
{
    return current == suspicion::suspect || current == suspicion::strong_suspect;
}

/**
 * The state of one fingerprint. Of two records, the one that is greater in this order wins a merge: number of
 * releases, then whether it is quarantined, then number of changes, then suspicion.
 */
struct quarantine_record {
    std::uint64_t m_fingerprint = 0;         ///< The request.
    suspicion m_suspicion = suspicion::none; ///< Its quarantine state.
    std::uint64_t m_version = 0; ///< Number of releases in the high half, number of changes in the low half.
    duration m_age{};            ///< Time since the last change.
};

/** The table of suspect and quarantined requests. Thread safety: none; one owner. */
class quarantine {
public:
    quarantine(const quarantine_settings& settings, std::uint64_t salt);
    ~quarantine();
    quarantine(quarantine&&) noexcept;
    quarantine& operator=(quarantine&&) noexcept;

    /** Returns the quarantine state of @p fingerprint. */
    suspicion look_up(instant now, std::uint64_t fingerprint) const;

    /**
     * Records that the own target crashed while @p running were in progress there; calls at the same time
     * concern the same crash. All become suspects, except that suspects become quarantined if they ran
     * @p exclusive: a run beside others, which may have started before the suspicion was known, does not tell
     * which of them crashed the target. While targets crash that did not run the request, or if the request
     * has finished recently, its first exclusive run that crashes a target makes it a strong suspect only.
     * @return the changed records, to be sent to peers in one message.
     */
    std::vector<quarantine_record> on_crash(instant now, const std::vector<std::uint64_t>& running,
                                            bool exclusive);

    /**
     * Records that @p fingerprint finished without a crash: clears a suspicion, never a quarantine.
     * @return the changed records, to be sent to peers.
     */
    std::vector<quarantine_record> on_completed(instant now, std::uint64_t fingerprint);

    /** Releases @p fingerprint by order of an operator. @return the changed records, to be sent to peers. */
    std::vector<quarantine_record> release(instant now, std::uint64_t fingerprint);

    /** Merges @p records of one message of a peer. @return the records that changed here. */
    std::vector<quarantine_record> merge(instant now, const std::vector<quarantine_record>& records);

    /** Returns all records that have not expired. */
    std::vector<quarantine_record> records(instant now) const;

    /** Returns the salted hash by which logs and operators refer to @p fingerprint. */
    std::string name_of(std::uint64_t fingerprint) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/**
 * Chooses the one node whose target may run the suspect @p fingerprint, so that no two targets run it at the
 * same time. Uses rendezvous hashing: the result is the same on every node that knows the same @p candidates,
 * in any order.
 * @return null if there is no candidate. Thread safety: pure.
 */
const node_id* suspect_home(std::uint64_t fingerprint, const std::vector<node_id>& candidates);

/** Encodes @p records for a control message. */
std::string encode_quarantine(const std::vector<quarantine_record>& records);

/**
 * Decodes the output of encode_quarantine. Returns an error for any other bytes; safe for untrusted input.
 */
result<std::vector<quarantine_record>> decode_quarantine(std::string_view bytes);

} // namespace waxwing

#endif
