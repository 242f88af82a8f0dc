#include "kernel/gateway_settings.hpp"

#include "kernel/settings_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace pistachiohub::kernel
{

namespace
{

// Link bandwidth on which a full processor share of requests needs no more.
constexpr double link_mbps_of_full_core = 100;

} // namespace

double serving_capacity(host_resources const& resources)
{
    return std::min(resources.processor, resources.link_mbps / link_mbps_of_full_core);
}

} // namespace pistachiohub::kernel

namespace pistachiohub::kernel::detail
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr double longest_time_ms = 3'600'000;
constexpr double longest_time_s = 3600;
constexpr double largest_count = 1e9;

milliseconds time_ms_or(settings_reader& reader, std::string_view key, milliseconds fallback)
{
    auto const value =
        reader.number_or(key, 0, longest_time_ms, static_cast<double>(fallback.count()));
    return milliseconds(std::llround(value));
}

milliseconds time_s_or(settings_reader& reader, std::string_view key, milliseconds fallback)
{
    constexpr double ms_per_s = 1000;
    auto const value =
        reader.number_or(key, 0, longest_time_s, static_cast<double>(fallback.count()) / ms_per_s);
    return milliseconds(std::llround(value * ms_per_s));
}

gateway_bounds read_bounds(json::value const& value, std::string path)
{
    settings_reader reader(value, std::move(path));
    gateway_bounds result;
    result.directory_ttl = time_s_or(reader, "directory_ttl_s", result.directory_ttl);
    result.server_drain = time_ms_or(reader, "server_drain_ms", result.server_drain);
    result.configuration_apply =
        time_ms_or(reader, "configuration_apply_ms", result.configuration_apply);
    result.evacuation = time_ms_or(reader, "evacuation_ms", result.evacuation);
    result.shutdown_grace = time_s_or(reader, "shutdown_grace_s", result.shutdown_grace);
    result.host_silence = time_ms_or(reader, "host_silence_ms", result.host_silence);
    result.retry_ratio = reader.number_or("retry_ratio", 0, 1, result.retry_ratio);
    result.extra_retries =
        reader.number_or("extra_retries", 0, largest_count, result.extra_retries);
    result.retry_window = time_s_or(reader, "retry_window_s", result.retry_window);
    result.cold_factor = reader.number_or("cold_factor", 0, largest_count, result.cold_factor);
    result.cold_slack = reader.number_or("cold_slack", 0, largest_count, result.cold_slack);
    result.shift = reader.number_or("shift", 0, 1, result.shift);
    result.has_strict_revocation =
        reader.flag_or("strict_revocation", result.has_strict_revocation);
    result.revocation = time_ms_or(reader, "revocation_ms", result.revocation);
    result.quota_window = time_s_or(reader, "quota_window_s", result.quota_window);
    result.quota_excess = reader.number_or("quota_excess", 0, 1, result.quota_excess);
    result.quota_slack = reader.number_or("quota_slack", 0, largest_count, result.quota_slack);
    reader.refuse_unknown_keys();
    return result;
}

host_resources read_resources(json::value const& value, std::string path)
{
    settings_reader reader(value, std::move(path));
    host_resources result;
    constexpr double smallest_share = 0.001;
    result.processor =
        reader.number_or("processor", smallest_share, largest_count, result.processor);
    result.memory_mb = reader.number_or("memory_mb", 1, largest_count, result.memory_mb);
    result.descriptors = reader.number_or("descriptors", 1, largest_count, result.descriptors);
    result.link_mbps = reader.number_or("link_mbps", 0, largest_count, result.link_mbps);
    reader.refuse_unknown_keys();
    return result;
}

std::map<std::string, std::string, std::less<>> read_domains(json::value const& value,
                                                             std::string const& path)
{
    if (!value.is_object())
        throw settings_error(path, json::serialize(value), "an object of failure domains");
    std::map<std::string, std::string, std::less<>> regions;
    for (auto const& member : value.get_object())
    {
        auto const member_path = path + '.' + std::string(member.key());
        if (!member.value().is_string() || !is_name(member.value().get_string()))
            throw settings_error(member_path, json::serialize(member.value()), name_rule);
        regions.emplace(member.key(), member.value().get_string());
    }
    return regions;
}

admission_rule read_admission(settings_reader& reader)
{
    if (reader.find("admission") == nullptr)
        return admission_rule::by_priority;
    constexpr auto is_rule = [](std::string_view text)
    {
        return text == "by_priority" || text == "fair";
    };
    return reader.text("admission", "by_priority or fair", is_rule) == "fair"
               ? admission_rule::fair
               : admission_rule::by_priority;
}

directory_rule read_named_hosts(settings_reader& reader)
{
    if (reader.find("named_hosts") == nullptr)
        return directory_rule::all;
    constexpr auto is_rule = [](std::string_view text)
    {
        return text == "all" || text == "by_capacity" || text == "by_capacity_for_uploads";
    };
    auto const rule =
        reader.text("named_hosts", "all, by_capacity or by_capacity_for_uploads", is_rule);
    if (rule == "all")
        return directory_rule::all;
    return rule == "by_capacity" ? directory_rule::by_capacity
                                 : directory_rule::by_capacity_for_uploads;
}

placement_rule read_placement(settings_reader& reader)
{
    if (reader.find("placement") == nullptr)
        return placement_rule::by_load;
    auto const is_rule = [](std::string_view value)
    {
        return value == "by_load" || value == "stable";
    };
    return reader.text("placement", "by_load or stable", is_rule) == "stable"
               ? placement_rule::stable
               : placement_rule::by_load;
}

} // namespace

gateway_settings read_gateway_settings(json::value const& value, std::string const& path)
{
    settings_reader reader(value, path);
    gateway_settings result;
    result.interface_name = reader.text("interface", name_rule, is_name);
    result.region = reader.text("region", name_rule, is_name);
    result.region_of_domain =
        read_domains(reader.require("failure_domains", "an object of failure domains"),
                     reader.key_path("failure_domains"));
    result.callers = reader.required_endpoint("callers");
    result.readiness = reader.required_endpoint("readiness");
    result.directory = reader.required_endpoint("directory");
    result.metrics = reader.required_endpoint("metrics");
    if (reader.find("relay") != nullptr)
        result.relay = reader.required_endpoint("relay");
    result.server_heartbeat = time_ms_or(reader, "server_heartbeat_ms", result.server_heartbeat);
    result.settlement_interval =
        time_s_or(reader, "settlement_interval_s", result.settlement_interval);
    if (auto const* const bounds = reader.find("bounds"))
        result.bounds = read_bounds(*bounds, reader.key_path("bounds"));
    if (auto const* const resources = reader.find("resources"))
        result.resources = read_resources(*resources, reader.key_path("resources"));
    result.placement = read_placement(reader);
    result.admission = read_admission(reader);
    result.named_hosts = read_named_hosts(reader);
    reader.refuse_unknown_keys();
    return result;
}

} // namespace pistachiohub::kernel::detail
