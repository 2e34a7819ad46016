/**
 * @file policy.h Public header of the policy library: overload control decisions, without sockets, clocks or
 * logs.
 */
#ifndef WAXWING_POLICY_POLICY_H
#define WAXWING_POLICY_POLICY_H

#include "policy/admission_base.h"
#include "policy/caller_share_base.h"
#include "policy/quarantine_base.h"
#include "policy/quota_base.h"
#include "policy/retry_base.h"
#include "policy/router_base.h"
#include "policy/settings_type.h"
#include "policy/subset_func.h"
#include "policy/threshold_base.h"

#endif
