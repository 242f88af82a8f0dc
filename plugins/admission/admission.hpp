#pragma once

/// @file
/// Decides which waiting request gets a free slot, which requests are refused, and when refused
/// callers return.
///
/// Load patterns: a burst of one kind, one customer that sends several times its usual demand,
/// customers of very different size, routes of different priority, and retries that come together.

#include "kernel/clock.hpp"
#include "libraries/routing/routing_table.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiohub::admission
{

/// Time after which a request counts half in the shares. It is several times the target latency of
/// a request, so that the shares are not dominated by chance, and no longer than a surge lasts.
inline constexpr std::chrono::duration<double> share_half_life{3};

/// Part of the overall chance of being served below which a kind or customer goes first, whatever
/// its priority. Callers need a quarter; the rest covers what the counts learn late.
inline constexpr double min_relative_chance = 0.4;

/// Time after which a learned delay counts half. While a long delay is assumed nothing is queued
/// from which a shorter one could be learned, so the assumption must end by itself.
inline constexpr std::chrono::duration<double> delay_half_life{1};

/// Fraction of the target latency within which callers need a refusal.
inline constexpr int refusal_fraction = 8;

/// Requests that asked for a slot, and those that got one. Both decay.
struct share_counts
{
    double asked = 0;
    double started = 0;
    kernel::monotonic_time counted_at;
};

/// The wait for a slot in relation to the predicted one. Other daemons and more urgent requests use
/// slots that the prediction counts on.
struct learned_delay
{
    double factor = 1;
    kernel::monotonic_time learned_at;
};

/// What the customers and kinds of one service recently got at this daemon.
struct shares
{
    share_counts all;
    routing::text_map<share_counts> by_customer;
    routing::text_map<share_counts> by_route;
    /// By customer and route: a customer that got much waits longer than the others.
    routing::text_map<learned_delay> delays;
    kernel::monotonic_time pruned_at;
};

/// A request that asks for a slot.
struct claim
{
    std::uint32_t customer_priority = 0;
    std::uint32_t route_priority = 0;
    /// Empty without a customer.
    std::string_view customer;
    std::string_view route;
    kernel::monotonic_time arrived_at;
    /// Start at which the request is still expected to meet its target latency.
    kernel::monotonic_time latest_start;
    kernel::duration target{};
};

/// Position of a request among those that wait; the lowest gets the next free slot.
struct rank
{
    /// Whether its kind and its customer get their least part.
    bool has_least_part = true;
    std::uint32_t customer_priority = 0;
    std::uint32_t route_priority = 0;
    /// Slots that the customer recently got.
    double received = 0;
    kernel::monotonic_time latest_start;
    kernel::monotonic_time arrived_at;
};

/// @returns whether `left` gets a free slot before `right`.
[[nodiscard]] bool operator<(rank const& left, rank const& right);

/// Counts a request that asks for a slot.
void record_asked(shares& known, claim const& asking, kernel::monotonic_time now);

/// Counts a request that got a slot.
void record_started(shares& known, claim const& started, kernel::monotonic_time now);

/// @returns the position of a request among those that wait for a slot of the same service.
[[nodiscard]] rank rank_of(shares const& known, claim const& waiting, kernel::monotonic_time now);

/// How long a request occupies a slot, in seconds; 0 if unknown.
struct work_estimate
{
    double mean = 0;
    /// Mean distance of one request from the mean.
    double deviation = 0;
};

/// Learns from one request.
void record_work(work_estimate& known, double seconds);

/// @returns the start at which a request is still expected to meet its target latency.
[[nodiscard]] kernel::monotonic_time
latest_start(kernel::monotonic_time arrived_at, kernel::duration target, work_estimate const& work);

/// @returns the factor by which the requests of the same customer and route wait longer than
/// predicted.
[[nodiscard]] double
delay_factor(shares const& known, claim const& waiting, kernel::monotonic_time now);

/// Learns from a request that waited for a slot.
/// @param predicted_seconds what was predicted for its wait, without the factor.
void record_delay(shares& known,
                  claim const& waiting,
                  double predicted_seconds,
                  double waited_seconds,
                  kernel::monotonic_time now);

/// @returns the requests of all customers that recently arrived in a second.
[[nodiscard]] double asked_per_second(shares const& known, kernel::monotonic_time now);

/// Inputs of the decision whether a request goes on waiting.
struct wait_input
{
    claim waiting;
    /// Predicted time in seconds until the request gets a slot, or a place in the server's queue.
    double wait_seconds = 0;
    /// Predicted time in seconds that it then spends in the server's queue.
    double server_queue_seconds = 0;
    /// Usual run in seconds; 0 if unknown.
    double run_seconds = 0;
    /// Whether it has been waiting.
    bool is_queued = false;
    /// Requests of this daemon that wait for the same server and rank before it.
    double ahead = 0;
};

/// @returns whether the request is expected to start too late.
[[nodiscard]] bool is_too_late(wait_input const& input, kernel::monotonic_time now);

/// Slots for which refused callers were told to return.
struct return_schedule
{
    /// The slot after the last one that was promised.
    kernel::monotonic_time next_at;
};

/// Inputs of one `Retry-After`.
struct return_input
{
    /// Predicted time in seconds until those that wait now have got a slot.
    double queue_seconds = 0;
    /// Time in seconds after which this daemon gets another slot.
    double slot_interval_seconds = 0;
    /// Requests that arrive here in a second, new and returning ones.
    double asked_per_second = 0;
    /// Time until which the caller waits for its answer.
    kernel::duration left{};
};

/// @returns after which time a refused caller is to return: when the next slot that was not
/// promised to another becomes free, and after a third of its time at the latest, because callers
/// wait no longer.
[[nodiscard]] kernel::duration
plan_return(return_schedule& schedule, return_input const& input, kernel::monotonic_time now);

} // namespace pistachiohub::admission
