#include "plugins/gateway/server_load.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pistachiohub::gateway
{

namespace
{

// Largest number of requests or slots that is believed. The datagrams between daemons carry 16
// bits.
constexpr std::uint32_t max_count = UINT16_MAX;
// Slowdowns outside of this range are taken for faults of the header: a machine is at most a few
// times faster than usual, and a server whose work takes fifty times as long answers no request in
// time.
constexpr std::uint32_t min_slowdown_percent = 20;
constexpr std::uint32_t max_slowdown_percent = 5000;

// Fraction of the target latency that a request may wait in a server's own queue.
constexpr double max_server_queue_fraction = 0.25;
// Upper limit of the requests that may wait at a server for each slot. The queues of the servers
// hold a few times as many.
constexpr double max_queue_per_slot = 1;

// Removes the next figure with its comma from the start of `text`. Returns nothing if it is missing
// or not a number.
std::optional<std::uint32_t> consume_figure(std::string_view& text)
{
    auto const figure = text.substr(0, text.find(','));
    text.remove_prefix(std::min(figure.size() + 1, text.size()));
    std::uint32_t value = 0;
    auto const [end, failure] =
        std::from_chars(figure.data(), figure.data() + figure.size(), value);
    if (failure != std::errc{} || end != figure.data() + figure.size())
        return std::nullopt;
    return value;
}

} // namespace

bool is_plausible_slowdown(std::uint32_t percent)
{
    return percent >= min_slowdown_percent && percent <= max_slowdown_percent;
}

std::optional<server_load> parse_load(std::string_view value)
{
    auto const running = consume_figure(value);
    auto const waiting = consume_figure(value);
    if (!running || !waiting || *running > max_count || *waiting > max_count)
        return std::nullopt;
    server_load load{*running, *waiting, consume_figure(value), consume_figure(value)};
    if (load.slots && (*load.slots == 0 || *load.slots > max_count))
        load.slots.reset();
    if (load.slowdown_percent && !is_plausible_slowdown(*load.slowdown_percent))
        load.slowdown_percent.reset();
    return load;
}

double slowdown_factor(std::optional<std::uint32_t> const& slowdown_percent,
                       std::chrono::duration<double> age)
{
    auto const reported = static_cast<double>(slowdown_percent.value_or(usual_slowdown_percent)) /
                          usual_slowdown_percent;
    return 1 + (reported - 1) * std::exp2(-std::max(age.count(), 0.0) / slowdown_half_life.count());
}

double queue_per_slot(double run_seconds, double target_seconds)
{
    // The run time is unknown before the first answer, and all servers are cold then.
    if (run_seconds <= 0)
        return 0;
    return std::min(max_server_queue_fraction * target_seconds / run_seconds, max_queue_per_slot);
}

finish_estimate estimate_finish(finish_input const& input)
{
    auto const slots = std::max(input.slots, 1.0);
    auto const ahead = std::max(0.0, input.load + 1 - slots) + input.queued;
    auto const run = input.run_seconds * input.slowdown;
    return {ahead * run / slots, ahead * run / slots + run};
}

} // namespace pistachiohub::gateway
