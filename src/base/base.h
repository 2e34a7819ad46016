/** @file base.h Public header of the base library: units, ids, names, errors, and a call with its answer. */
#ifndef WAXWING_BASE_BASE_H
#define WAXWING_BASE_BASE_H

#include "base/call_type.h"
#include "base/cbor_guard_func.h"
#include "base/endpoint_type.h"
#include "base/error_type.h"
#include "base/id_type.h"
#include "base/rule_type.h"
#include "base/table_func.h"
#include "base/unit_type.h"

#endif
