#include "plugins/gateway/load_report.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;

// First byte of each datagram; the number is the version of its form.
constexpr char load_datagram_version = 1;
constexpr std::size_t hash_bytes = 8;
constexpr std::size_t number_bytes = 2;
constexpr std::size_t load_bytes = hash_bytes + 2 * number_bytes;
constexpr unsigned bits_of_byte = 8;
// The way of a datagram takes a few milliseconds, by which a load looks newer when it comes back to
// the daemon that told it.
constexpr auto least_gain = milliseconds(20);

void append_number(std::string& text, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t position = 0; position < bytes; ++position)
        text += static_cast<char>(number >> (bits_of_byte * position));
}

std::uint64_t read_number(std::string_view text)
{
    std::uint64_t number = 0;
    for (std::size_t position = 0; position < text.size(); ++position)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(text[position]))
                  << (bits_of_byte * position);
    return number;
}

std::uint16_t to_short(std::int64_t number)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(number, 0, UINT16_MAX));
}

std::string encode_datagram(std::span<shared_load const> loads)
{
    std::string datagram(1, load_datagram_version);
    for (auto const& load : loads)
    {
        append_number(datagram, load.server_hash, hash_bytes);
        append_number(datagram, load.requests, number_bytes);
        append_number(datagram, to_short(load.age.count()), number_bytes);
    }
    return datagram;
}

} // namespace

std::vector<std::string> encode_loads(std::span<shared_load const> loads)
{
    std::vector<std::string> datagrams;
    do
    {
        auto const count = std::min(loads.size(), most_loads_in_datagram);
        datagrams.push_back(encode_datagram(loads.first(count)));
        loads = loads.subspan(count);
    } while (!loads.empty());
    return datagrams;
}

std::optional<std::vector<shared_load>> decode_loads(std::string_view datagram)
{
    if (datagram.empty() || datagram.front() != load_datagram_version)
        return std::nullopt;
    datagram.remove_prefix(1);
    if (datagram.size() % load_bytes != 0 || datagram.size() / load_bytes > most_loads_in_datagram)
        return std::nullopt;
    std::vector<shared_load> loads;
    for (; !datagram.empty(); datagram.remove_prefix(load_bytes))
        loads.push_back(
            {read_number(datagram.substr(0, hash_bytes)),
             static_cast<std::uint16_t>(read_number(datagram.substr(hash_bytes, number_bytes))),
             milliseconds(read_number(datagram.substr(hash_bytes + number_bytes, number_bytes)))});
    return loads;
}

std::vector<shared_load> collect_loads(server_table const& table,
                                       load_source source,
                                       kernel::monotonic_time since,
                                       kernel::monotonic_time now)
{
    std::vector<shared_load> loads;
    for (auto const& [id, server] : table.servers)
    {
        auto const& report = server->report;
        auto const age = std::chrono::duration_cast<milliseconds>(now - report.sent_at);
        bool const is_told = source == load_source::all || report.is_direct;
        if (is_told && report.received_at > since && age < oldest_shared_load)
            loads.push_back({server->hash, to_short(report.total_requests), age});
    }
    return loads;
}

std::size_t
apply_loads(server_table& table, std::span<shared_load const> loads, kernel::monotonic_time now)
{
    std::size_t newer = 0;
    for (auto const& load : loads)
    {
        auto const found = table.by_hash.find(load.server_hash);
        auto const at = now - load.age;
        if (found == table.by_hash.end() || load.age >= oldest_shared_load ||
            at < found->second->report.sent_at + least_gain)
            continue;
        record_shared_load(*found->second, load.requests, at, now);
        ++newer;
    }
    return newer;
}

} // namespace pistachiohub::gateway
