#include "libraries/messages/codec.hpp"

#include "libraries/messages/field_reader.hpp"
#include "libraries/messages/payload_codec.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>
#include <cstdint>
#include <string>
#include <utility>

namespace pistachiohub::messages
{

namespace
{

using nlohmann::json;

// Grows with each change of the format that older daemons cannot read.
constexpr std::uint64_t format_version = 1;
constexpr std::size_t code_size = 32;
// An envelope holds fields, which hold an array of items; each item is an array.
constexpr std::size_t deepest_nesting = 4;
constexpr std::size_t envelope_fields = 7;

using authentication_code = std::array<unsigned char, code_size>;

unsigned char const* unsigned_bytes(std::byte const* bytes)
{
    return reinterpret_cast<unsigned char const*>(bytes);
}

authentication_code authenticate(std::span<std::byte const> bytes, std::string_view key)
{
    authentication_code code{};
    unsigned int size = 0;
    auto const* const made = HMAC(EVP_sha256(),
                                  key.data(),
                                  static_cast<int>(key.size()),
                                  unsigned_bytes(bytes.data()),
                                  bytes.size(),
                                  code.data(),
                                  &size);
    // HMAC fails only for want of memory.
    if (made == nullptr || size != code_size)
        throw codec_error(codec_failure::wrong_authentication_code);
    return code;
}

/// Checks the form of a document without building it, and stops at deep nesting, which would
/// overflow the stack of the parser.
class nesting_check : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }

    bool boolean(bool /*value*/) override
    {
        return true;
    }

    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }

    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }

    bool number_float(number_float_t /*value*/, string_t const& /*text*/) override
    {
        return true;
    }

    bool string(string_t& /*value*/) override
    {
        return true;
    }

    bool binary(binary_t& /*value*/) override
    {
        return true;
    }

    // No message holds a map.
    bool start_object(std::size_t /*elements*/) override
    {
        return false;
    }

    bool key(string_t& /*value*/) override
    {
        return false;
    }

    bool end_object() override
    {
        return false;
    }

    bool start_array(std::size_t /*elements*/) override
    {
        return ++m_depth <= deepest_nesting;
    }

    bool end_array() override
    {
        --m_depth;
        return true;
    }

    bool parse_error(std::size_t /*position*/,
                     std::string const& /*token*/,
                     nlohmann::detail::exception const& /*failure*/) override
    {
        return false;
    }

private:
    std::size_t m_depth = 0;
};

json parse(std::span<std::byte const> bytes)
{
    auto const* const begin = unsigned_bytes(bytes.data());
    auto const* const end = begin + bytes.size();
    nesting_check check;
    if (!json::sax_parse(begin, end, &check, json::input_format_t::msgpack))
        throw codec_error(codec_failure::malformed);
    constexpr bool is_strict = true;
    constexpr bool may_throw = false;
    auto document = json::from_msgpack(begin, end, is_strict, may_throw);
    if (document.is_discarded())
        throw codec_error(codec_failure::malformed);
    return document;
}

envelope decode_document(json const& document)
{
    detail::field_reader reader(document, envelope_fields);
    if (reader.number(detail::any_number) != format_version)
        throw codec_error(codec_failure::field_out_of_range);
    envelope message;
    auto const kind = reader.number(detail::any_number);
    message.sender = reader.host_name();
    message.sender_incarnation = reader.number(detail::incarnation_limit - 1);
    message.configuration_version = reader.number(detail::any_number);
    message.recipient_incarnation = reader.number(detail::incarnation_limit - 1);
    message.content = detail::decode_payload(kind, reader.next());
    return message;
}

} // namespace

std::string_view to_string(codec_failure failure)
{
    switch (failure)
    {
    case codec_failure::too_short:
        return "too_short";
    case codec_failure::wrong_authentication_code:
        return "wrong_authentication_code";
    case codec_failure::malformed:
        return "malformed";
    case codec_failure::unknown_kind:
        return "unknown_kind";
    case codec_failure::field_out_of_range:
        return "field_out_of_range";
    }
    return "unknown";
}

codec_error::codec_error(codec_failure failure)
    : error("the peer message is refused: " + std::string(to_string(failure)))
    , m_failure(failure)
{
}

codec_failure codec_error::failure() const
{
    return m_failure;
}

std::vector<std::byte> encode(envelope const& message, std::string_view key)
{
    auto const document = json::array({format_version,
                                       message.content.index(),
                                       message.sender,
                                       message.sender_incarnation,
                                       message.configuration_version,
                                       message.recipient_incarnation,
                                       detail::encode_payload(message.content)});
    auto const packed = json::to_msgpack(document);
    auto const* const begin = reinterpret_cast<std::byte const*>(packed.data());
    std::vector<std::byte> bytes;
    bytes.reserve(packed.size() + code_size);
    bytes.assign(begin, begin + packed.size());
    for (auto const part : authenticate(bytes, key))
        bytes.push_back(std::byte{part});
    return bytes;
}

envelope decode(std::span<std::byte const> bytes, std::string_view key)
{
    if (bytes.size() <= code_size)
        throw codec_error(codec_failure::too_short);
    auto const content = bytes.first(bytes.size() - code_size);
    auto const stated = bytes.last(code_size);
    auto const expected = authenticate(content, key);
    if (CRYPTO_memcmp(expected.data(), stated.data(), code_size) != 0)
        throw codec_error(codec_failure::wrong_authentication_code);
    return decode_document(parse(content));
}

} // namespace pistachiohub::messages
