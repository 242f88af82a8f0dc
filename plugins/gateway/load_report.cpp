#include "plugins/gateway/load_report.hpp"

#include <algorithm>

namespace pistachiohub::gateway
{

namespace
{

using std::chrono::milliseconds;

// Version of the datagram format, the first byte of each datagram. Daemons of the version before,
// which run during an upgrade, send version 1.
constexpr char load_datagram_version = 2;
constexpr char load_datagram_version_1 = 1;
constexpr std::size_t hash_bytes = 8;
constexpr std::size_t field_bytes = 2;
// Hash, age, running, waiting, slots and slowdown; 0 stands for unknown slots or slowdown.
constexpr std::size_t entry_bytes = hash_bytes + 5 * field_bytes;
// Hash, running and waiting requests together, and age.
constexpr std::size_t entry_bytes_of_version_1 = hash_bytes + 2 * field_bytes;
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
        append_number(datagram, clamp_to_uint16(load.age.count()), field_bytes);
        append_number(datagram, clamp_to_uint16(load.load.running), field_bytes);
        append_number(datagram, clamp_to_uint16(load.load.waiting), field_bytes);
        append_number(datagram, clamp_to_uint16(load.load.slots.value_or(0)), field_bytes);
        append_number(
            datagram, clamp_to_uint16(load.load.slowdown_percent.value_or(0)), field_bytes);
    }
    return datagram;
}

// Removes the next field from the start of `text`.
std::uint16_t consume_field(std::string_view& text)
{
    auto const value = static_cast<std::uint16_t>(read_number(text.substr(0, field_bytes)));
    text.remove_prefix(field_bytes);
    return value;
}

std::optional<std::uint32_t> known_or_nothing(std::uint16_t field, bool is_known)
{
    return is_known ? std::optional<std::uint32_t>(field) : std::nullopt;
}

shared_load read_entry(std::string_view entry)
{
    shared_load read;
    read.server_hash = read_number(entry.substr(0, hash_bytes));
    entry.remove_prefix(hash_bytes);
    read.age = milliseconds(consume_field(entry));
    read.load.running = consume_field(entry);
    read.load.waiting = consume_field(entry);
    auto const slots = consume_field(entry);
    read.load.slots = known_or_nothing(slots, slots != 0);
    auto const slowdown = consume_field(entry);
    read.load.slowdown_percent = known_or_nothing(slowdown, is_plausible_slowdown(slowdown));
    return read;
}

shared_load read_entry_of_version_1(std::string_view entry)
{
    shared_load read;
    read.server_hash = read_number(entry.substr(0, hash_bytes));
    entry.remove_prefix(hash_bytes);
    read.load.running = consume_field(entry);
    read.age = milliseconds(consume_field(entry));
    return read;
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
    if (datagram.empty())
        return std::nullopt;
    bool const is_version_1 = datagram.front() == load_datagram_version_1;
    if (!is_version_1 && datagram.front() != load_datagram_version)
        return std::nullopt;
    datagram.remove_prefix(1);
    auto const size = is_version_1 ? entry_bytes_of_version_1 : entry_bytes;
    auto const max_loads =
        is_version_1 ? max_loads_per_datagram_of_version_1 : max_loads_per_datagram;
    if (datagram.size() % size != 0 || datagram.size() / size > max_loads)
        return std::nullopt;
    std::vector<shared_load> loads;
    for (; !datagram.empty(); datagram.remove_prefix(size))
    {
        auto const entry = datagram.substr(0, size);
        loads.push_back(is_version_1 ? read_entry_of_version_1(entry) : read_entry(entry));
    }
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
            loads.push_back({server->hash, report.total, age});
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
        record_shared_load(*found->second, load.load, at, now);
        ++newer;
    }
    return newer;
}

} // namespace pistachiohub::gateway
