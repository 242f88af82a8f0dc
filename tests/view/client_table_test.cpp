#include "libraries/view/client_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>
#include <vector>

namespace pistachiohub
{

namespace
{

using configuration::client_block;

constexpr std::size_t domain_count = 5;

std::vector<configuration::failure_domain> make_domains()
{
    std::vector<configuration::failure_domain> domains;
    for (std::size_t number = 0; number < domain_count; ++number)
        domains.push_back({"domain-" + std::to_string(number), "region", 1});
    return domains;
}

std::uint32_t mask_of(std::uint8_t prefix_length)
{
    return prefix_length == 0 ? 0 : ~std::uint32_t{0} << (32U - prefix_length);
}

// Few different high bits, so that blocks often nest and touch.
std::uint32_t draw_address()
{
    auto const high = *rc::gen::inRange<std::uint32_t>(0, 4);
    auto const middle = *rc::gen::inRange<std::uint32_t>(0, 4);
    auto const low = *rc::gen::element<std::uint32_t>(0, 1, 0x7fffffff, 0xffffffff);
    return (high << 30U) | (middle << 28U) | (low & 0x0fffffffU);
}

std::vector<client_block> draw_blocks()
{
    std::vector<client_block> blocks;
    std::set<std::pair<std::uint32_t, std::uint8_t>> known;
    auto const count = *rc::gen::inRange(0, 30);
    for (int number = 0; number < count; ++number)
    {
        auto const length = *rc::gen::element<std::uint8_t>(0, 1, 2, 3, 4, 5, 16, 31, 32);
        auto const network = draw_address() & mask_of(length);
        auto const domain = *rc::gen::inRange<std::size_t>(0, domain_count);
        if (known.emplace(network, length).second)
            blocks.push_back({network, length, "domain-" + std::to_string(domain)});
    }
    return blocks;
}

view::index scan(std::vector<client_block> const& blocks, std::uint32_t client)
{
    client_block const* best = nullptr;
    for (auto const& block : blocks)
    {
        bool const is_match = (client & mask_of(block.prefix_length)) == block.network;
        if (is_match && (best == nullptr || block.prefix_length > best->prefix_length))
            best = &block;
    }
    if (best == nullptr)
        return view::no_index;
    return static_cast<view::index>(std::stoul(best->failure_domain.substr(7)));
}

} // namespace

// A wrong match sends all clients of a block to a distant failure domain.
TEST_CASE("find_client_any_blocks_equals_naive_scan", "[view]")
{
    rc::prop("longest-prefix match equals a naive scan",
             []()
             {
                 auto const blocks = draw_blocks();
                 auto const table = view::make_client_table(blocks, make_domains());
                 for (auto const& block : blocks)
                 {
                     auto const last = block.network | ~mask_of(block.prefix_length);
                     for (auto const client :
                          {block.network, block.network - 1, last, last + 1, draw_address()})
                         RC_ASSERT(view::find_client(table, client) == scan(blocks, client));
                 }
             });
}

TEST_CASE("find_client_empty_table_matches_nothing", "[view]")
{
    CHECK(view::find_client({}, 1) == view::no_index);
    CHECK(view::find_client(view::make_client_table({}, {}), 1) == view::no_index);
}

} // namespace pistachiohub
