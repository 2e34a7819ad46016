/** @file config.h Public header of the config library: objects, validation, publication and distribution. */
#ifndef WAXWING_CONFIG_CONFIG_H
#define WAXWING_CONFIG_CONFIG_H

#include "config/config_func.h"
#include "config/config_type.h"
#include "config/confirmation_base.h"
#include "config/organisation_index_base.h"
#include "config/publication_base.h"
#include "config/spread_base.h"

#endif
