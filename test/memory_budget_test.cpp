/** @file memory_budget_test.cpp Tests of the accounting for bodies and buffers, and of its use by links. */
#include "http/body_buffer_base.h"
#include "link/chunk_receiver_base.h"
#include "link/chunk_sender_base.h"
#include "link/codec_func.h"

#include <criterion/criterion.h>

using namespace waxwing;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr chunk_limits limits{4 * mebibyte, 8 * mebibyte, 4};

/** Sends @p message through a sender and a receiver with @p budget. @return what is decoded. */
link_message deliver(link_message message, const std::shared_ptr<memory_budget>& budget)
{
    chunk_sender sender(limits);
    chunk_receiver receiver(limits, budget);
    sender.push(std::move(message));
    while (std::optional<outgoing_frame> frame = sender.next()) {
        result<incoming_frame> incoming = receiver.accept(frame->m_bytes);
        cr_assert(incoming.has_value());
        if (incoming.value().m_complete) {
            incoming_frame complete = std::move(incoming).value();
            result<link_message> decoded = decode_message(
                std::move(complete.m_reassembled), std::move(complete.m_lease), complete.m_body_dropped);
            cr_assert(decoded.has_value());
            return std::move(decoded).value();
        }
    }
    cr_assert_fail("the message was not complete");
    return {};
}

} // namespace

/** Guards against a crowd of large bodies that leaves no room for small requests. */
Test(memory_budget, large_bodies_leave_a_reserve_for_small_ones)
{
    memory_budget budget(8 * mebibyte);
    int shortages = 0;
    budget.set_shortage_handler([&shortages] { ++shortages; });
    cr_assert(budget.try_reserve(7 * mebibyte, memory_use::large));
    cr_assert(!budget.try_reserve(1, memory_use::large));
    cr_assert_eq(shortages, 1);
    cr_assert(budget.try_reserve(mebibyte, memory_use::small));
    cr_assert(!budget.try_reserve(1, memory_use::small));
    budget.release(8 * mebibyte);
    cr_assert_eq(budget.used(), 0);
}

/** Guards against bytes that stay counted after the last copy of a body, or are released with the first. */
Test(memory_budget, a_body_is_counted_once_until_its_last_copy_ends)
{
    const auto budget = std::make_shared<memory_budget>(mebibyte);
    memory_lease lease(budget);
    lease.resize(1000);
    shared_body body(std::string(1000, 'x'), std::move(lease));
    shared_body copy = body;
    cr_assert_eq(copy.data(), body.data());
    cr_assert_eq(budget->used(), 1000);
    body.clear();
    cr_assert_eq(budget->used(), 1000);
    copy = shared_body("other");
    cr_assert_eq(budget->used(), 0);
}

/** Guards against lost or repeated bytes at the borders of the blocks. */
Test(memory_budget, a_buffer_returns_what_was_appended)
{
    body_buffer buffer;
    std::string expected;
    for (std::size_t index = 0; expected.size() < mebibyte; ++index) {
        const std::string part(1 + index * 37 % 70'000, static_cast<char>('a' + index % 26));
        buffer.append(part.data(), part.size());
        expected += part;
    }
    cr_assert_eq(buffer.size(), expected.size());
    cr_assert(buffer.take() == expected);
    cr_assert_eq(buffer.size(), 0);
}

/** Guards against a link that breaks, or a call that runs without its body, when the receiver has no memory.
 */
Test(memory_budget, a_call_without_room_arrives_without_its_body_and_marked)
{
    const auto budget = std::make_shared<memory_budget>(mebibyte);
    call_message message;
    message.m_attempt = attempt_id{7};
    message.m_call.m_headers = {{"X-Long", std::string(20'000, 'h')}};
    message.m_call.m_body = std::string(2 * mebibyte, 'x');
    const auto dropped = std::get<call_message>(deliver(message, budget));
    cr_assert(dropped.m_body_dropped);
    cr_assert(dropped.m_call.m_body.empty());
    cr_assert_eq(dropped.m_attempt.m_value, 7);
    cr_assert_eq(budget->used(), 0);

    message.m_call.m_body = std::string(mebibyte / 2, 'x');
    const auto whole = std::get<call_message>(deliver(message, budget));
    cr_assert(!whole.m_body_dropped);
    cr_assert(whole.m_call.m_body == message.m_call.m_body);
    cr_assert_geq(budget->used(), mebibyte / 2);
}

/** Guards against an answer cut short that reaches the caller as whole, or as not run. */
Test(memory_budget, an_answer_without_room_says_that_it_was_lost)
{
    answer_message message;
    message.m_answer.m_state = run_state::ran;
    message.m_answer.m_status = 200;
    message.m_answer.m_body = std::string(2 * mebibyte, 'x');
    const auto lost = std::get<answer_message>(deliver(message, std::make_shared<memory_budget>(mebibyte)));
    cr_assert(lost.m_answer.m_rule == rule::out_of_memory);
    cr_assert(lost.m_answer.m_state == run_state::ran);
    cr_assert(lost.m_answer.m_body.empty());
}
