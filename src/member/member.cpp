/** @file member.cpp Text names of member and target states. */
#include "member/member.h"

namespace waxwing {

namespace {

constexpr name_table<4> member_state_names{"alive", "suspect", "dead", "left"};
constexpr name_table<5> target_state_names{"absent", "starting", "ready", "draining", "down"};

} // namespace

std::string_view to_string(member_state state)
{
    return name_in(member_state_names, state);
}

std::string_view to_string(target_state state)
{
    return name_in(target_state_names, state);
}

} // namespace waxwing
