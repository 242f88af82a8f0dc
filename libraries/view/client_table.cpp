#include "libraries/view/client_table.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace pistachiohub::view
{

namespace
{

constexpr unsigned address_bits = 32;
constexpr std::uint64_t address_count = std::uint64_t{1} << address_bits;

/// A block with its end, so that nested blocks can be closed in order.
struct open_block
{
    std::uint64_t end = 0;
    index failure_domain = no_index;
};

/// Writes ranges in rising order of their start.
class range_writer
{
public:
    explicit range_writer(client_table& table)
        : m_table(&table)
    {
        start_range(0, no_index);
    }

    void open(std::uint64_t start, open_block block)
    {
        close_until(start);
        m_open.push_back(block);
        start_range(start, block.failure_domain);
    }

    void close_until(std::uint64_t start)
    {
        while (!m_open.empty() && m_open.back().end <= start)
        {
            auto const end = m_open.back().end;
            m_open.pop_back();
            start_range(end, m_open.empty() ? no_index : m_open.back().failure_domain);
        }
    }

private:
    void start_range(std::uint64_t start, index failure_domain)
    {
        if (start >= address_count)
            return;
        auto const first = static_cast<std::uint32_t>(start);
        if (!m_table->starts.empty() && m_table->starts.back() == first)
        {
            m_table->failure_domains.back() = failure_domain;
            return;
        }
        m_table->starts.push_back(first);
        m_table->failure_domains.push_back(failure_domain);
    }

    client_table* m_table;
    std::vector<open_block> m_open;
};

} // namespace

client_table make_client_table(std::span<configuration::client_block const> blocks,
                               std::span<configuration::failure_domain const> failure_domains)
{
    std::unordered_map<std::string_view, index> domain_indices;
    for (index position = 0; position < failure_domains.size(); ++position)
        domain_indices.emplace(failure_domains[position].name, position);

    // A block that contains another one starts no later and has the shorter prefix.
    std::vector<configuration::client_block const*> sorted;
    sorted.reserve(blocks.size());
    for (auto const& block : blocks)
        sorted.push_back(&block);
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](auto const* left, auto const* right)
                     {
                         return std::tie(left->network, left->prefix_length) <
                                std::tie(right->network, right->prefix_length);
                     });

    client_table table;
    range_writer writer(table);
    for (auto const* block : sorted)
    {
        auto const found = domain_indices.find(block->failure_domain);
        if (found == domain_indices.end())
            continue;
        auto const size = address_count >> block->prefix_length;
        writer.open(block->network, {block->network + size, found->second});
    }
    writer.close_until(address_count);
    return table;
}

std::size_t find_range(client_table const& table, std::uint32_t client)
{
    auto const after = std::upper_bound(table.starts.begin(), table.starts.end(), client);
    // The first range starts at address 0 unless the table is empty.
    return after == table.starts.begin()
               ? 0
               : static_cast<std::size_t>(after - table.starts.begin()) - 1;
}

index find_client(client_table const& table, std::uint32_t client)
{
    auto const range = find_range(table, client);
    return range < table.failure_domains.size() ? table.failure_domains[range] : no_index;
}

} // namespace pistachiohub::view
