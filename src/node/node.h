/** @file node.h Public header of the node library: settings and the node itself. */
#ifndef WAXWING_NODE_NODE_H
#define WAXWING_NODE_NODE_H

#include "node/node_base.h"
#include "node/settings_func.h"

#endif
