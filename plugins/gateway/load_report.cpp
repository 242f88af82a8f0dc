#include "plugins/gateway/load_report.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;

// Version of the datagram format, the first byte of each datagram.
constexpr char load_datagram_version = 1;
constexpr std::size_t hash_bytes = 8;
constexpr std::size_t field_bytes = 2;
constexpr std::size_t entry_bytes = hash_bytes + 2 * field_bytes;
constexpr unsigned bits_per_byte = 8;
// Time by which a load must be newer than the known one. The age of a load does not include the few
// milliseconds that its datagram takes, so a load that returns to the daemon that sent it looks
// newer by this time.
constexpr auto min_age_gain = milliseconds(20);

void append_number(std::string& text, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t position = 0; position < bytes; ++position)
        text += static_cast<char>(number >> (bits_per_byte * position));
}

std::uint64_t read_number(std::string_view text)
{
    std::uint64_t number = 0;
    for (std::size_t position = 0; position < text.size(); ++position)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(text[position]))
                  << (bits_per_byte * position);
    return number;
}

std::uint16_t clamp_to_uint16(std::int64_t number)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(number, 0, UINT16_MAX));
}

std::string encode_datagram(std::span<shared_load const> loads)
{
    std::string datagram(1, load_datagram_version);
    for (auto const& load : loads)
    {
        append_number(datagram, load.server_hash, hash_bytes);
        append_number(datagram, load.requests, field_bytes);
        append_number(datagram, clamp_to_uint16(load.age.count()), field_bytes);
    }
    return datagram;
}

} // namespace

std::vector<std::string> encode_loads(std::span<shared_load const> loads)
{
    std::vector<std::string> datagrams;
    do
    {
        auto const count = std::min(loads.size(), max_loads_per_datagram);
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
    if (datagram.size() % entry_bytes != 0 ||
        datagram.size() / entry_bytes > max_loads_per_datagram)
        return std::nullopt;
    std::vector<shared_load> loads;
    for (; !datagram.empty(); datagram.remove_prefix(entry_bytes))
        loads.push_back(
            {read_number(datagram.substr(0, hash_bytes)),
             static_cast<std::uint16_t>(read_number(datagram.substr(hash_bytes, field_bytes))),
             milliseconds(read_number(datagram.substr(hash_bytes + field_bytes, field_bytes)))});
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
        bool const is_included = source == load_source::all || report.is_direct;
        if (is_included && report.received_at > since && age < max_shared_load_age)
            loads.push_back({server->hash, clamp_to_uint16(report.total_requests), age});
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
        if (found == table.by_hash.end() || load.age >= max_shared_load_age ||
            at < found->second->report.sent_at + min_age_gain)
            continue;
        record_shared_load(*found->second, load.requests, at, now);
        ++newer;
    }
    return newer;
}

} // namespace pistachiohub::gateway
