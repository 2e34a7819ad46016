/** @file member.h Public header of the member library: fleet membership. Uses no sockets, clock or logs. */
#ifndef WAXWING_MEMBER_MEMBER_H
#define WAXWING_MEMBER_MEMBER_H

#include "member/announcement_streak_base.h"
#include "member/announcement_trust_base.h"
#include "member/announcement_type.h"
#include "member/departure_type.h"
#include "member/member_type.h"
#include "member/membership_base.h"
#include "member/watch_election_base.h"

#endif
