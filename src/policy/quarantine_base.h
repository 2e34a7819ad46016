/** @file quarantine_base.h Requests that crash targets. */
#ifndef WAXWING_POLICY_QUARANTINE_BASE_H
#define WAXWING_POLICY_QUARANTINE_BASE_H

#include "base/base.h"

#include <memory>
#include <string>
#include <vector>

namespace waxwing {

/** Bounds of the table of fingerprints. */
struct quarantine_settings {
    std::size_t m_capacity = 4096;                            ///< Fingerprints held at most.
    duration m_suspect_retention = std::chrono::minutes(10);  ///< A suspicion is forgotten after it.
    duration m_quarantine_retention = std::chrono::hours(24); ///< A quarantine is forgotten after it.
};

/** How a request is held. */
enum class suspicion {
    none,       ///< Not known.
    suspect,    ///< Was in progress when one target died; runs alone, once.
    quarantined ///< Was in progress when a second target died; not run.
};

/**
 * What is known of one fingerprint. Of two records the one wins a merge that comes later in this order:
 * number of releases, then a quarantine before all else, then the number of changes, then the suspicion.
 */
struct quarantine_record {
    std::uint64_t m_fingerprint = 0;         ///< The request.
    suspicion m_suspicion = suspicion::none; ///< How it is held.
    std::uint64_t m_version = 0;             ///< Releases in the high half, changes in the low half.
    duration m_age{};                        ///< Time since the change.
};

/**
 * The table of suspects. Thread safety: none needed; one owner.
 */
class quarantine {
public:
    quarantine(const quarantine_settings& settings, std::uint64_t salt);
    ~quarantine();
    quarantine(quarantine&&) noexcept;
    quarantine& operator=(quarantine&&) noexcept;

    /** Looks up how @p fingerprint is held. */
    suspicion look_up(instant now, std::uint64_t fingerprint) const;

    /**
     * Takes note that a target died while @p running were in progress there. Those not known become suspects;
     * suspects become quarantined, whether or not they ran @p exclusive, since a second target is lost with
     * them.
     * @return the records that changed, to be spread.
     */
    std::vector<quarantine_record> on_crash(instant now, const std::vector<std::uint64_t>& running,
                                            bool exclusive);

    /** Takes note that @p fingerprint finished; clears a suspect, never a quarantine.
     * @return the records that changed. */
    std::vector<quarantine_record> on_completed(instant now, std::uint64_t fingerprint);

    /** Releases @p fingerprint on an operator's word. @return the records that changed. */
    std::vector<quarantine_record> release(instant now, std::uint64_t fingerprint);

    /** Merges what a peer says. @return the records that changed here. */
    std::vector<quarantine_record> merge(instant now, const std::vector<quarantine_record>& records);

    /** Lists all records. */
    std::vector<quarantine_record> records(instant now) const;

    /** Gives the salted text by which logs and operators name @p fingerprint. */
    std::string name_of(std::uint64_t fingerprint) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/**
 * Chooses the one node beside which the suspect @p fingerprint may run, so that no two targets run it at the
 * same time: by rendezvous hashing, the same for every node that knows the same @p candidates, in any order.
 * @return null where there is no candidate. Thread safety: pure.
 */
const node_id* suspect_home(std::uint64_t fingerprint, const std::vector<node_id>& candidates);

/** Encodes @p records for a control message. */
std::string encode_quarantine(const std::vector<quarantine_record>& records);

/** Decodes what encode_quarantine wrote. Total over hostile bytes. */
result<std::vector<quarantine_record>> decode_quarantine(std::string_view bytes);

} // namespace waxwing

#endif
