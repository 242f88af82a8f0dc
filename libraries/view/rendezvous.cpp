#include "libraries/view/rendezvous.hpp"

#include <xxhash.h>

namespace pistachiohub::view
{

std::uint64_t rendezvous_seed(std::string_view key)
{
    return XXH64(key.data(), key.size(), 0);
}

std::uint64_t rendezvous_weight(std::uint64_t seed, std::string_view candidate)
{
    return XXH64(candidate.data(), candidate.size(), seed);
}

} // namespace pistachiohub::view
