/** @file call.h Public header of the call library: call handling at the entry and at the node beside the
 * target. */
#ifndef WAXWING_CALL_CALL_H
#define WAXWING_CALL_CALL_H

#include "call/call_action_type.h"
#include "call/context_func.h"
#include "call/entry_base.h"
#include "call/organisation_func.h"
#include "call/runner_base.h"
#include "call/running_base.h"

#endif
