/** @file link_message_generators.h RapidCheck generators of link messages. */
#ifndef WAXWING_TEST_LINK_MESSAGE_GENERATORS_H
#define WAXWING_TEST_LINK_MESSAGE_GENERATORS_H

#include "link/link.h"

#include <rapidcheck.h>

namespace waxwing_test {

/** Draws any value of a plain type. */
template<class Value>
Value any()
{
    return *rc::gen::arbitrary<Value>();
}

/** Draws any headers. */
inline waxwing::header_list any_headers()
{
    waxwing::header_list headers;
    for (auto& [name, value] : any<std::vector<std::pair<std::string, std::string>>>()) {
        headers.push_back({name, value});
    }
    return headers;
}

/** Draws any call. */
inline waxwing::call_message any_call()
{
    waxwing::call_message message;
    message.m_attempt = {any<std::uint64_t>()};
    waxwing::call& made = message.m_call;
    made.m_service = {any<std::string>()};
    made.m_kind = {any<std::string>()};
    made.m_caller = {any<std::string>()};
    made.m_idempotent = any<bool>();
    made.m_method = any<std::string>();
    made.m_path = any<std::string>();
    made.m_headers = any_headers();
    made.m_body = any<std::string>();
    made.m_idempotency_key = any<std::string>();
    made.m_fingerprint = any<std::uint64_t>();
    made.m_context.m_root = {any<std::uint64_t>()};
    made.m_context.m_priority = {any<std::uint16_t>()};
    made.m_context.m_time_left = waxwing::duration(any<std::int64_t>());
    made.m_context.m_retry_tokens = any<std::uint16_t>();
    made.m_context.m_depth = any<std::uint8_t>();
    made.m_context.m_repeat = any<bool>();
    return message;
}

/** Draws any answer. */
inline waxwing::answer_message any_answer()
{
    waxwing::answer_message message;
    message.m_attempt = {any<std::uint64_t>()};
    waxwing::answer& given = message.m_answer;
    given.m_state = static_cast<waxwing::run_state>(*rc::gen::inRange(0, 3));
    given.m_rule =
        static_cast<waxwing::rule>(*rc::gen::inRange(0, static_cast<int>(waxwing::rule::internal) + 1));
    given.m_status = any<std::uint16_t>();
    given.m_headers = any_headers();
    given.m_body = any<std::string>();
    given.m_retry_after = waxwing::duration(any<std::int64_t>());
    given.m_retry_tokens = any<std::uint16_t>();
    given.m_load = {any<std::uint32_t>(), any<std::uint32_t>(), any<std::uint32_t>(), {any<std::uint16_t>()}};
    return message;
}

/** Draws any message. */
inline waxwing::link_message any_message()
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return any_call();
    case 1:
        return any_answer();
    case 2:
        return waxwing::cancel_message{{any<std::uint64_t>()}};
    default:
        return waxwing::control_message{static_cast<waxwing::control_topic>(*rc::gen::inRange(0, 2)),
                                        any<std::string>()};
    }
}

} // namespace waxwing_test

#endif
