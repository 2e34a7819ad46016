/** @file threshold_base.h Shedding thresholds of the call tree below an entry, learnt from answers. */
#ifndef WAXWING_POLICY_THRESHOLD_BASE_H
#define WAXWING_POLICY_THRESHOLD_BASE_H

#include "policy/settings_type.h"

#include <unordered_map>

namespace waxwing {

/**
 * The shedding thresholds in the call tree below an entry, by request kind. Bounded by the number of kinds in
 * the configuration. Thread safety: none; one owner.
 */
class threshold_table {
public:
    /**
     * Records @p threshold, which came with an answer to a request of @p kind or with its refusal by
     * shedding.
     */
    void learn(instant now, const kind_name& kind, priority threshold);

    /**
     * Returns whether to shed a new request of @p kind, since a node below would shed it. A small ratio
     * passes as probes.
     */
    bool should_shed(instant now, const kind_name& kind, priority request_priority, random_source& random);

    /** Returns the threshold for @p kind at @p now. */
    priority current(instant now, const kind_name& kind) const;

    /** Removes the kinds for which @p keep is false. */
    template<class Predicate>
    void retain(Predicate keep)
    {
        for (auto position = m_entries.begin(); position != m_entries.end();) {
            position = keep(position->first) ? std::next(position) : m_entries.erase(position);
        }
    }

private:
    /** The threshold of one kind. */
    struct entry {
        double m_threshold = 0.0; ///< The threshold at m_learnt_at; fades some time after.
        instant m_learnt_at{};    ///< Time of the last update.
    };

    /** Returns the threshold of @p last at @p now, after fading. */
    static double faded_threshold(const entry& last, instant now);

    std::unordered_map<kind_name, entry> m_entries; ///< By request kind.
};

} // namespace waxwing

#endif
