#include "plugins/membership/credits.hpp"

namespace pistachiohub::membership
{

std::vector<messages::service_credit> split_credits(std::span<messages::service_credit const> spare,
                                                    std::size_t recipients,
                                                    std::size_t recipient,
                                                    std::uint64_t round)
{
    std::vector<messages::service_credit> credits;
    if (recipients == 0)
        return credits;
    auto const hosts = static_cast<std::uint32_t>(recipients);
    for (auto const& offer : spare)
    {
        auto const rank = (recipient + recipients - round % recipients) % recipients;
        auto const extra = rank < offer.slots % hosts ? 1U : 0U;
        auto const slots = offer.slots / hosts + extra;
        if (slots > 0)
            credits.push_back({offer.service, slots});
    }
    return credits;
}

} // namespace pistachiohub::membership
