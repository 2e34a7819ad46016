/** @file link.h Public header of the link library: messages between nodes. Compiles as C++17. */
#ifndef WAXWING_LINK_LINK_H
#define WAXWING_LINK_LINK_H

#include "link/codec_func.h"
#include "link/datagram_base.h"
#include "link/link_base.h"
#include "link/message_type.h"

#endif
