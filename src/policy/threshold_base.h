/** @file threshold_base.h Thresholds of a subtree, as an entry learns them from answers. */
#ifndef WAXWING_POLICY_THRESHOLD_BASE_H
#define WAXWING_POLICY_THRESHOLD_BASE_H

#include "policy/settings_type.h"

#include <unordered_map>

namespace waxwing {

/**
 * What an entry knows of the thresholds below it, by request kind. Bounded by the kinds of the configuration.
 * Thread safety: none needed; one owner.
 */
class threshold_table {
public:
    /** Takes in the threshold @p seen on an answer to a request of @p kind, or on a refusal by shedding. */
    void learn(instant now, const kind_name& kind, priority seen);

    /** Tells whether a new request of @p kind would be shed below; a small share passes as probes. */
    bool should_shed(instant now, const kind_name& kind, priority wanted, random_source& random);

    /** Gives the threshold now held against @p kind. */
    priority current(instant now, const kind_name& kind) const;

    /** Drops the kinds for which @p keep is false. */
    template<class Predicate>
    void retain(Predicate keep)
    {
        for (auto position = m_entries.begin(); position != m_entries.end();) {
            position = keep(position->first) ? std::next(position) : m_entries.erase(position);
        }
    }

private:
    /** What is known for one kind. */
    struct entry {
        double m_threshold = 0.0; ///< The threshold at m_seen; fades from then on.
        instant m_seen{};         ///< When it was last learnt.
    };

    /** Computes what is left at @p now of the threshold of @p known. */
    static double faded(const entry& known, instant now);

    std::unordered_map<kind_name, entry> m_entries; ///< By request kind.
};

} // namespace waxwing

#endif
