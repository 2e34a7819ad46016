/** @file gossip_codec_test.cpp Tests of the encoding of gossip and registration rows, including untrusted
 * input. */
#include "member/gossip_codec_func.h"
#include "member/member.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace waxwing;

namespace {

/** Returns a record of typical size. */
member_record sample_record()
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

/** Returns a message in which every field is set. */
gossip_message full_message()
{
    gossip_message message;
    message.m_kind = gossip_kind::ping_request;
    message.m_from = sample_record();
    message.m_sequence = ~0ULL;
    message.m_node = {"node-1"};
    message.m_incarnation = {7};
    message.m_address = {"::1", 80};
    message.m_first_bucket = 48;
    message.m_digests = {1, 0xFFFFFFFF};
    message.m_items = {sample_record(), member_claim{{"node-2"}, {3}, 4, member_state::dead},
                       revision_note{{"node-3"}, {5}, {6}}};
    return message;
}

} // namespace

Test(gossip_codec, encoding_round_trips)
{
    const std::string bytes = encode_gossip(full_message());
    const auto decoded = decode_gossip(bytes);
    cr_assert(decoded.has_value());
    cr_assert(encode_gossip(decoded.value()) == bytes);
    cr_assert(decoded.value().m_kind == gossip_kind::ping_request && decoded.value().m_items.size() == 3);
    const auto row = decode_row(encode_row(sample_record()));
    cr_assert(row.has_value() && encode_row(row.value()) == encode_row(sample_record()));
    cr_assert(row.value().m_link == sample_record().m_link && row.value().m_target == target_state::draining);
    member_record separate_link = sample_record();
    separate_link.m_link = {"::1", 99};
    cr_assert(decode_row(encode_row(separate_link)).value().m_link == separate_link.m_link);
}

Test(gossip_codec, record_takes_at_most_130_bytes)
{
    cr_assert(encoded_size(sample_record()) <= 130, "%zu", encoded_size(sample_record()));
    cr_assert(
        encoded_size(member_claim{{"records-eg-north-3-14"}, {1796000000000}, 12, member_state::dead}) <= 40);
}

Test(gossip_codec, rejects_invalid_input)
{
    for (const char* name : {"a b", "a\n", "\xff", "\xc3", "\x80", "\xc0\x80"}) {
        member_record record = sample_record();
        record.m_service = {name};
        gossip_message message;
        message.m_items = {record};
        cr_assert(decode_gossip(encode_gossip(message)).has_error());
    }
    gossip_message message;
    message.m_node = {std::string(65, 'x')};
    cr_assert(decode_gossip(encode_gossip(message)).has_error());
    member_record unnamed = sample_record();
    unnamed.m_node = {};
    cr_assert(decode_row(encode_row(unnamed)).has_error());
    cr_assert(decode_row(std::string(5000, '[')).has_error());
    cr_assert(decode_gossip(std::string(1200, '\x81')).has_error());
    // An array that declares a length near 2^63.
    cr_assert(decode_gossip("\x9b\x7f" + std::string(7, '\xff')).has_error());
}

/** Rows that another writer left name no member, and reading them must not end the process. */
Test(gossip_codec, rejects_rows_of_other_writers)
{
    const std::string good = encode_row(sample_record());
    const auto with = [&good](const std::string& from, const std::string& to) {
        std::string row = good;
        return row.replace(row.find(from), from.size(), to);
    };
    for (const std::string& row :
         {with("7401", "74010"), with("7401", "-1"), with("7401", "1e400"),
          with("7401", "99999999999999999999"),
          with("7401", "[" + std::string(400, '[') + std::string(400, ']') + "]"),
          with("102.103:7400", "102.103:74000"), with("102.103:7400", "102.103:0"), with("160", "1e99"),
          with("160", "null"), with("7401", "{}"),
          std::string("{\"a\":") + std::string(500, '[') + std::string(500, ']') + "}",
          std::string(1'000'000, '['), std::string("\xff\xfe\x00", 3), std::string()}) {
        cr_assert(decode_row(row).has_error(), "%.80s", row.c_str());
    }
    cr_assert(decode_row(good).has_value());
}

/** A ping tells how long ago the table answered a watcher; earlier versions send none of it. */
Test(gossip_codec, contact_ages_of_a_ping_round_trip)
{
    gossip_message ping;
    ping.m_kind = gossip_kind::ping;
    ping.m_digests = {7};
    cr_assert(!decode_gossip(encode_gossip(ping)).value().m_contact_ages);
    ping.m_contact_ages = contact_ages{900, max_contact_age_ms};
    const gossip_message decoded = decode_gossip(encode_gossip(ping)).value();
    cr_assert(decoded.m_digests == ping.m_digests && decoded.m_contact_ages);
    cr_assert(decoded.m_contact_ages->m_any_ms == 900);
    cr_assert(decoded.m_contact_ages->m_elected_ms == max_contact_age_ms);
}

/** The operator chooses the versions; one above 2^63 made the messages of all nodes invalid. */
Test(gossip_codec, a_revision_of_64_bits_round_trips)
{
    gossip_message message = full_message();
    message.m_from->m_revision = {UINT64_MAX};
    message.m_items.emplace_back(revision_note{{"node-3"}, {5}, {UINT64_MAX}});
    const auto decoded = decode_gossip(encode_gossip(message));
    cr_assert(decoded.has_value() && decoded.value().m_from->m_revision.m_value == UINT64_MAX);
}

Test(gossip_codec, handles_corrupted_bytes)
{
    const std::string valid_bytes = encode_gossip(full_message());
    cr_assert(rc::check("corrupted bytes yield a message or an error and do not corrupt a node's state", [&] {
        std::string bytes = valid_bytes;
        const int changes = *rc::gen::inRange(1, 4);
        for (int change = 0; change < changes; ++change) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(bytes.size() - 2, bytes.size() + 1));
        membership node({}, sample_record(), 1);
        std::vector<member_action> actions;
        node.receive(instant{std::chrono::hours(1)}, {"127.0.0.1", 1}, bytes, actions);
        const auto decoded = decode_gossip(bytes);
        RC_ASSERT((decoded.has_error() || decoded.value().m_items.size() <= bytes.size()));
        node.add_registered(instant{std::chrono::hours(1)}, {{"member/x", bytes}}, actions);
        RC_ASSERT(node.members().size() <= 2);
    }));
}
