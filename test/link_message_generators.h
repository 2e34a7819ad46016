/** @file link_message_generators.h RapidCheck generators of link messages. */
#ifndef WAXWING_TEST_LINK_MESSAGE_GENERATORS_H
#define WAXWING_TEST_LINK_MESSAGE_GENERATORS_H

#include "link/link.h"

#include <rapidcheck.h>

namespace waxwing_test {

/** Generates an arbitrary value of a plain type. */
template<class Value>
Value any()
{
    return *rc::gen::arbitrary<Value>();
}

/** Generates arbitrary headers. */
inline waxwing::header_list any_headers()
{
    waxwing::header_list headers;
    for (auto& [name, value] : any<std::vector<std::pair<std::string, std::string>>>()) {
        headers.push_back({name, value});
    }
    return headers;
}

/** Generates an arbitrary call. */
inline waxwing::call_message any_call()
{
    waxwing::call_message message;
    message.m_attempt = {any<std::uint64_t>()};
    waxwing::call& request = message.m_call;
    request.m_service = {any<std::string>()};
    request.m_kind = {any<std::string>()};
    request.m_caller = {any<std::string>()};
    request.m_idempotent = any<bool>();
    request.m_method = any<std::string>();
    request.m_path = any<std::string>();
    request.m_headers = any_headers();
    request.m_body = any<std::string>();
    request.m_idempotency_key = any<std::string>();
    request.m_fingerprint = any<std::uint64_t>();
    request.m_context.m_root = {any<std::uint64_t>()};
    request.m_context.m_priority = {any<std::uint16_t>()};
    request.m_context.m_time_left = waxwing::duration(any<std::int64_t>());
    request.m_context.m_retry_tokens = any<std::uint16_t>();
    request.m_context.m_depth = any<std::uint8_t>();
    request.m_context.m_repeat = any<bool>();
    return message;
}

/** Generates an arbitrary answer. */
inline waxwing::answer_message any_answer()
{
    waxwing::answer_message message;
    message.m_attempt = {any<std::uint64_t>()};
    waxwing::answer& response = message.m_answer;
    response.m_state = static_cast<waxwing::run_state>(*rc::gen::inRange(0, 3));
    response.m_rule =
        static_cast<waxwing::rule>(*rc::gen::inRange(0, static_cast<int>(waxwing::rule::internal) + 1));
    response.m_status = any<std::uint16_t>();
    response.m_headers = any_headers();
    response.m_body = any<std::string>();
    response.m_retry_after = waxwing::duration(any<std::int64_t>());
    response.m_retry_tokens = any<std::uint16_t>();
    response.m_load = {
        any<std::uint32_t>(), any<std::uint32_t>(), any<std::uint32_t>(), {any<std::uint16_t>()}};
    return message;
}

/** Generates an arbitrary message. */
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
        return waxwing::control_message{static_cast<waxwing::control_topic>(*rc::gen::inRange(0, 4)),
                                        any<std::string>()};
    }
}

} // namespace waxwing_test

#endif
