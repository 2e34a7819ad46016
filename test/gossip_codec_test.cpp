/** @file gossip_codec_test.cpp Tests of the form of gossip and rows, also with hostile bytes. */
#include "member/gossip_codec_func.h"
#include "member/member.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

/** Makes a record of ordinary size. */
member_record sample()
{
    member_record record;
    record.m_node = {"records-eg-north-3-14"};
    record.m_incarnation = {1796000000000};
    record.m_version = 12;
    record.m_state = member_state::suspect;
    record.m_gossip = {"10.101.102.103", 7400};
    record.m_link = {"10.101.102.103", 7401};
    record.m_region = {"aotearoa-north"};
    record.m_data_centre = {"aotearoa-north-1"};
    record.m_service = {"r\xc3\xa9servations"};
    record.m_target = target_state::draining;
    record.m_slots = 160;
    record.m_revision = {2700};
    return record;
}

/** Makes a message with every field in use. */
gossip_message full_message()
{
    gossip_message message;
    message.m_kind = gossip_kind::ping_request;
    message.m_from = sample();
    message.m_sequence = ~0ULL;
    message.m_node = {"node-1"};
    message.m_incarnation = {7};
    message.m_address = {"::1", 80};
    message.m_first_bucket = 48;
    message.m_digests = {1, 0xFFFFFFFF};
    message.m_items = {sample(), member_claim{{"node-2"}, {3}, 4, member_state::dead},
                       revision_note{{"node-3"}, {5}, {6}}};
    return message;
}

} // namespace

Test(gossip_codec, reads_what_it_writes)
{
    const std::string bytes = encode_gossip(full_message());
    const auto decoded = decode_gossip(bytes);
    cr_assert(decoded.has_value());
    cr_assert(encode_gossip(decoded.value()) == bytes);
    cr_assert(decoded.value().m_kind == gossip_kind::ping_request && decoded.value().m_items.size() == 3);
    const auto row = decode_row(encode_row(sample()));
    cr_assert(row.has_value() && encode_row(row.value()) == encode_row(sample()));
    cr_assert(row.value().m_link == sample().m_link && row.value().m_target == target_state::draining);
    member_record apart = sample();
    apart.m_link = {"::1", 99};
    cr_assert(decode_row(encode_row(apart)).value().m_link == apart.m_link);
}

Test(gossip_codec, a_record_costs_well_under_150_bytes)
{
    cr_assert(encoded_size(sample()) <= 130, "%zu", encoded_size(sample()));
    cr_assert(
        encoded_size(member_claim{{"records-eg-north-3-14"}, {1796000000000}, 12, member_state::dead}) <= 40);
}

Test(gossip_codec, refuses_what_breaks_a_rule)
{
    for (const char* name : {"a b", "a\n", "\xff", "\xc3", "\x80", "\xc0\x80"}) {
        member_record record = sample();
        record.m_service = {name};
        gossip_message message;
        message.m_items = {record};
        cr_assert(decode_gossip(encode_gossip(message)).has_error());
    }
    gossip_message message;
    message.m_node = {std::string(65, 'x')};
    cr_assert(decode_gossip(encode_gossip(message)).has_error());
    member_record unnamed = sample();
    unnamed.m_node = {};
    cr_assert(decode_row(encode_row(unnamed)).has_error());
    cr_assert(decode_row(std::string(5000, '[')).has_error());
    cr_assert(decode_gossip(std::string(1200, '\x81')).has_error());
    cr_assert(decode_gossip("\x9b\x7f" + std::string(7, '\xff')).has_error()); // An array of endless length.
}

Test(gossip_codec, survives_hostile_bytes)
{
    const std::string good = encode_gossip(full_message());
    cr_assert(rc::check("garbled bytes give a message or an error, and no harm to a node", [&] {
        std::string bytes = good;
        const int changes = *rc::gen::inRange(1, 4);
        for (int change = 0; change < changes; ++change) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(bytes.size() - 2, bytes.size() + 1));
        membership node({}, sample(), 1);
        std::vector<member_action> actions;
        node.receive(instant{std::chrono::hours(1)}, {"127.0.0.1", 1}, bytes, actions);
        const auto decoded = decode_gossip(bytes);
        RC_ASSERT((decoded.has_error() || decoded.value().m_items.size() <= bytes.size()));
        node.add_registered(instant{std::chrono::hours(1)}, {{"member/x", bytes}}, actions);
        RC_ASSERT(node.members().size() <= 2);
    }));
}
