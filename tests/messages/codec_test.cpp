#include "libraries/messages/codec.hpp"

#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <rapidcheck.h>

#include <array>
#include <optional>

namespace pistachiohub
{

namespace
{

using messages::codec_failure;

class codec_fixture
{
protected:
    std::string const m_key = "0123456789abcdef";
    identity::request_id const m_id{"host-1", 1024, 7, "till-5"};
    std::string const m_body{"\x00\xff\x80 body", 8};

    [[nodiscard]] std::vector<messages::payload> one_of_each() const
    {
        messages::heartbeat beat{true, 9, 4, {{"balance", 3}}, {}, 17};
        beat.members.push_back({"host-2", "svealand-1", 2048, 8, true, 120});
        return {beat,
                messages::submit{5, m_id, "redeem", 900, m_body},
                messages::submit_reply{5, outcome::ran, reason::ok, m_body},
                messages::relay{m_id, 2, "redeem", 800, true, m_body},
                messages::relay_reply{m_id, 2, outcome::not_run, reason::no_credit, "", m_body},
                messages::relay_cancel{m_id, 2},
                messages::configuration_request{},
                messages::configuration_document{12, "{}"},
                messages::quarantine_notice{~std::uint64_t{0}, 600000, true, "server-1"},
                messages::host_list_request{17},
                messages::host_list{18,
                                    "svealand-1",
                                    {{"host-2", "10.0.0.1", 1, 2, 65535, true}},
                                    {{"Server \xff 1", "10.0.1.1", 80, "redeem", true}},
                                    19,
                                    1,
                                    2}};
    }

    [[nodiscard]] std::vector<std::byte> encode(messages::payload const& content) const
    {
        return messages::encode({"host-1", 1024, 7, 2048, content}, m_key);
    }

    [[nodiscard]] std::vector<std::byte> sign(std::vector<std::byte> bytes) const
    {
        std::array<unsigned char, 32> code{};
        HMAC(EVP_sha256(),
             m_key.data(),
             static_cast<int>(m_key.size()),
             reinterpret_cast<unsigned char const*>(bytes.data()),
             bytes.size(),
             code.data(),
             nullptr);
        for (auto const part : code)
            bytes.push_back(std::byte{part});
        return bytes;
    }

    [[nodiscard]] std::optional<codec_failure> failure(std::span<std::byte const> bytes) const
    {
        try
        {
            static_cast<void>(messages::decode(bytes, m_key));
        }
        catch (messages::codec_error const& refused)
        {
            return refused.failure();
        }
        return std::nullopt;
    }
};

} // namespace

// A field lost or exchanged on the way would run or settle the wrong request.
TEST_CASE_METHOD(codec_fixture, "codec_every_kind_round_trips", "[messages]")
{
    for (auto const& content : one_of_each())
    {
        auto const bytes = encode(content);
        auto const decoded = messages::decode(bytes, m_key);
        CHECK(decoded.sender == "host-1");
        CHECK(decoded.sender_incarnation == 1024);
        CHECK(decoded.configuration_version == 7);
        CHECK(decoded.recipient_incarnation == 2048);
        CHECK(decoded.content.index() == content.index());
        // The encoding holds every field, so equal bytes mean equal fields.
        CHECK(messages::encode(decoded, m_key) == bytes);
    }
    auto const submitted = messages::decode(encode(one_of_each()[1]), m_key);
    CHECK(std::get<messages::submit>(submitted.content).body == m_body);
    CHECK(std::get<messages::submit>(submitted.content).id == m_id);
}

// A message made without the key must not steer requests.
TEST_CASE_METHOD(codec_fixture, "codec_changed_byte_is_refused", "[messages]")
{
    auto const bytes = encode(one_of_each()[1]);
    for (std::size_t position = 0; position < bytes.size(); ++position)
    {
        auto changed = bytes;
        changed[position] ^= std::byte{1};
        CHECK(failure(changed) == codec_failure::wrong_authentication_code);
    }
    CHECK(failure(std::span(bytes).first(32)) == codec_failure::too_short);
}

// A daemon of another version, or a defect in one, sends authentic but broken messages.
TEST_CASE_METHOD(codec_fixture, "codec_authentic_broken_message_is_refused_or_valid", "[messages]")
{
    auto const kinds = one_of_each();
    CHECK(rc::check(
        [&]()
        {
            auto const kind = *rc::gen::inRange<std::size_t>(0, kinds.size());
            auto bytes = encode(kinds[kind]);
            bytes.resize(bytes.size() - 32);
            auto const changes = *rc::gen::inRange(1, 6);
            for (int change = 0; change < changes && !bytes.empty(); ++change)
            {
                auto const position = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[position] = std::byte{*rc::gen::arbitrary<std::uint8_t>()};
                if (*rc::gen::inRange(0, 4) == 0)
                    bytes.resize(position);
            }
            // Any other exception or a crash fails the property.
            static_cast<void>(failure(sign(bytes)));
        }));
}

TEST_CASE_METHOD(codec_fixture, "codec_random_bytes_are_refused", "[messages]")
{
    CHECK(rc::check(
        [&](std::vector<std::uint8_t> const& random)
        {
            std::vector<std::byte> bytes;
            for (auto const part : random)
                bytes.push_back(std::byte{part});
            RC_ASSERT(failure(bytes).has_value());
            RC_ASSERT(failure(sign(bytes)).has_value());
        }));
}

// The parser is recursive, so nesting without a bound would overflow the stack.
TEST_CASE_METHOD(codec_fixture, "codec_deep_nesting_is_refused", "[messages]")
{
    std::vector<std::byte> const nested(1000000, std::byte{0x91});
    CHECK(failure(sign(nested)) == codec_failure::malformed);
}

TEST_CASE_METHOD(codec_fixture, "codec_field_out_of_range_is_refused", "[messages]")
{
    auto wrong_owner = m_id;
    wrong_owner.owner = "Host 1";
    CHECK(failure(encode(messages::relay_cancel{wrong_owner, 1})) ==
          codec_failure::field_out_of_range);
    std::string const too_large(1024 * 1024 + 1, 'x');
    CHECK(failure(encode(messages::submit{1, m_id, "redeem", 1, too_large})) ==
          codec_failure::field_out_of_range);
    messages::envelope const unnamed{"", 1, 1, 1, messages::configuration_request{}};
    CHECK(failure(messages::encode(unnamed, m_key)) == codec_failure::field_out_of_range);
}

} // namespace pistachiohub
