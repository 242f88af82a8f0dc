#include "plugins/gateway/quota_report.hpp"

#include <algorithm>
#include <span>

namespace pistachiohub::gateway
{

namespace
{

// Loads have versions 1 and 2 on the same socket.
constexpr char quota_datagram_version = 3;
constexpr unsigned bits_per_byte = 8;
// Sizes of the fields of the header: version, receiver, sender, session, age of the session in
// milliseconds, hosts.
constexpr std::size_t hash_bytes = 8;
constexpr std::size_t age_bytes = 2;
constexpr std::size_t hosts_bytes = 4;
constexpr std::size_t header_bytes = 2 + 2 * hash_bytes + age_bytes + hosts_bytes;
// A total may be negative after tokens were returned.
constexpr std::size_t total_bytes = 6;
constexpr std::size_t entry_bytes = hash_bytes + 2 * total_bytes;

void append_number(std::string& text, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t position = 0; position < bytes; ++position)
        text += static_cast<char>(number >> (bits_per_byte * position));
}

// Removes a number from the begin of the text.
std::uint64_t take_number(std::string_view& text, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (std::size_t position = 0; position < bytes; ++position)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(text[position]))
                  << (bits_per_byte * position);
    text.remove_prefix(bytes);
    return number;
}

std::uint64_t take_total(std::string_view& text)
{
    constexpr std::uint64_t sign = std::uint64_t{1} << (bits_per_byte * total_bytes - 1);
    auto const number = take_number(text, total_bytes);
    return (number ^ sign) - sign;
}

std::string encode_datagram(quota_report const& report,
                            std::span<quota::customer_totals const> changed)
{
    std::string datagram(1, quota_datagram_version);
    datagram += static_cast<char>(report.content.receiver);
    append_number(datagram, report.sender, hash_bytes);
    append_number(datagram, report.content.session, hash_bytes);
    auto const age = std::clamp<std::int64_t>(report.content.session_age.count(), 0, UINT16_MAX);
    append_number(datagram, static_cast<std::uint64_t>(age), age_bytes);
    append_number(datagram, report.content.hosts, hosts_bytes);
    for (auto const& entry : changed)
    {
        append_number(datagram, entry.customer, hash_bytes);
        append_number(datagram, entry.sum.demanded, total_bytes);
        append_number(datagram, entry.sum.admitted, total_bytes);
    }
    return datagram;
}

} // namespace

bool is_quota_datagram(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == quota_datagram_version;
}

std::vector<std::string> encode_quotas(quota_report const& report)
{
    std::vector<std::string> datagrams;
    std::span<quota::customer_totals const> left = report.content.changed;
    do
    {
        auto const count = std::min(left.size(), max_totals_per_datagram);
        datagrams.push_back(encode_datagram(report, left.first(count)));
        left = left.subspan(count);
    } while (!left.empty());
    return datagrams;
}

std::optional<quota_report> decode_quotas(std::string_view datagram)
{
    if (!is_quota_datagram(datagram) || datagram.size() < header_bytes ||
        (datagram.size() - header_bytes) % entry_bytes != 0 ||
        (datagram.size() - header_bytes) / entry_bytes > max_totals_per_datagram)
        return std::nullopt;
    datagram.remove_prefix(1);
    auto const receiver = take_number(datagram, 1);
    if (receiver > static_cast<std::uint64_t>(quota::link_kind::follower))
        return std::nullopt;
    quota_report report;
    report.content.receiver = static_cast<quota::link_kind>(receiver);
    report.sender = take_number(datagram, hash_bytes);
    report.content.session = take_number(datagram, hash_bytes);
    report.content.session_age = std::chrono::milliseconds(take_number(datagram, age_bytes));
    report.content.hosts = static_cast<std::uint32_t>(take_number(datagram, hosts_bytes));
    while (!datagram.empty())
    {
        auto& entry = report.content.changed.emplace_back();
        entry.customer = take_number(datagram, hash_bytes);
        entry.sum.demanded = take_total(datagram);
        entry.sum.admitted = take_total(datagram);
    }
    return report;
}

} // namespace pistachiohub::gateway
