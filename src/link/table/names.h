/** @file names.h Names of the link library's enumerations. */
#ifndef WAXWING_LINK_TABLE_NAMES_H
#define WAXWING_LINK_TABLE_NAMES_H

#include "base/base.h"

namespace waxwing {

/** Names of control_topic on the wire, in the order of its values. */
inline constexpr name_table<5> control_topic_names{"configuration", "quarantine", "confirmation", "quota",
                                                   "departure"};

} // namespace waxwing

#endif
