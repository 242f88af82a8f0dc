#include "plugins/gateway/refusal.hpp"

#include <array>
#include <cstdio>

namespace pistachiohub::gateway
{

namespace
{

struct refusal_status
{
    std::string_view name;
    unsigned status;
    std::string_view reason_phrase;
};

refusal_status const& status_of(refusal cause)
{
    // In the order of the enumerators of `refusal`.
    static constexpr std::array<refusal_status, 19> statuses{{
        {"no_configuration", 503, "Service Unavailable"},
        {"no_route", 404, "Not Found"},
        {"no_server", 503, "Service Unavailable"},
        {"no_room", 503, "Service Unavailable"},
        {"waited_too_long", 503, "Service Unavailable"},
        {"not_started", 503, "Service Unavailable"},
        {"broken_off", 502, "Bad Gateway"},
        {"timed_out", 504, "Gateway Timeout"},
        {"unproven_refusal", 502, "Bad Gateway"},
        {"malformed", 400, "Bad Request"},
        {"header_too_large", 431, "Request Header Fields Too Large"},
        {"body_too_large", 413, "Payload Too Large"},
        {"no_memory", 503, "Service Unavailable"},
        {"quarantined", 503, "Service Unavailable"},
        {"unreadable_configuration", 503, "Service Unavailable"},
        {"leaving", 503, "Service Unavailable"},
        {"unknown_key", 401, "Unauthorized"},
        {"over_quota", 429, "Too Many Requests"},
        {"stale_configuration", 503, "Service Unavailable"},
    }};
    return statuses.at(static_cast<std::size_t>(cause));
}

std::string format_seconds(std::chrono::milliseconds value)
{
    constexpr double ms_per_s = 1000;
    std::array<char, 32> text{};
    auto const length = std::snprintf(
        text.data(), text.size(), "%.3f", static_cast<double>(value.count()) / ms_per_s);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

std::string_view to_string(refusal cause)
{
    return status_of(cause).name;
}

answer make_refusal(refusal cause, std::optional<std::chrono::milliseconds> retry_after)
{
    auto const& status = status_of(cause);
    answer result;
    result.status = status.status;
    result.reason = status.reason_phrase;
    result.headers.push_back({"Content-Type", "application/json"});
    if (retry_after)
        result.headers.push_back({"Retry-After", format_seconds(*retry_after)});
    result.body = "{\"reason\":\"" + std::string(status.name) + "\"}";
    return result;
}

} // namespace pistachiohub::gateway
