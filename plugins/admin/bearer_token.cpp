#include "plugins/admin/bearer_token.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace pistachiohub::admin
{

namespace
{

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

digest hash(std::string_view text)
{
    digest result{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), result.data());
    return result;
}

} // namespace

bool is_authorized(std::string_view authorization, std::string_view key)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return false;
    // Digests have one length, so the comparison does not reveal the key's length either.
    auto const given = hash(authorization.substr(scheme.size()));
    auto const expected = hash(key);
    return CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

} // namespace pistachiohub::admin
