#include "plugins/admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>
#include <tuple>

namespace pistachiohub::admission
{

namespace
{

using seconds_value = std::chrono::duration<double>;

// Requests that a kind or customer must have sent lately before its part is judged. Fewer say
// nothing about its chance.
constexpr double min_asked = 4;
// Counts below this are forgotten.
constexpr double forgotten_count = 0.1;
constexpr auto prune_interval = std::chrono::seconds(10);
// Bounds of the latest start as a fraction of the target latency. A request of the highest rank may
// spend a quarter of it in the server's queue. Runs that take most of the target latency leave no
// time to wait; their answers are late, but not worthless.
constexpr double min_start_fraction = 0.35;
constexpr double max_start_fraction = 0.6;
// Runs that are longer than usual by this many mean deviations shall still end in time.
constexpr double deviations_in_time = 2;
// Weight of the newest run in the estimate of the work.
constexpr double work_weight = 0.1;
// Fraction of the target latency that a new request may be expected to wait behind others. Half of
// the time within which callers need a refusal, because predictions vary.
constexpr int queue_fraction = 2 * refusal_fraction;
// Largest part of the target latency that is kept for the run of a request that has been waiting.
constexpr double max_kept_fraction = 0.25;
// Weight of the newest wait in the learned delay.
constexpr double delay_weight = 0.1;
constexpr double max_delay_factor = 8;
// Shortest prediction from which a delay is learned; the poll of the queue delays shorter ones.
constexpr double min_learned_seconds = 0.02;
// Fraction of the time left that callers wait before they return.
constexpr int return_fraction = 3;
// Bounds of the part of the slots that is promised to returning callers; the requests that arrive
// need the others.
constexpr double min_returned_part = 0.1;
constexpr double max_returned_part = 0.8;
constexpr auto min_return = std::chrono::milliseconds(50);

double decay(kernel::monotonic_time from, kernel::monotonic_time to, seconds_value half_life)
{
    return std::exp2(-std::max(seconds_value(to - from).count(), 0.0) / half_life.count());
}

share_counts decayed(share_counts const& counts, kernel::monotonic_time now)
{
    auto const weight = decay(counts.counted_at, now, share_half_life);
    return {counts.asked * weight, counts.started * weight, now};
}

template<class Function>
void update_counts(shares& known, claim const& of, kernel::monotonic_time now, Function update)
{
    for (auto* const counts : {&known.all,
                               &known.by_customer[std::string(of.customer)],
                               &known.by_route[std::string(of.route)]})
    {
        *counts = decayed(*counts, now);
        update(*counts);
    }
}

share_counts find_counts(routing::text_map<share_counts> const& in,
                         std::string_view name,
                         kernel::monotonic_time now)
{
    auto const found = in.find(name);
    return found == in.end() ? share_counts{0, 0, now} : decayed(found->second, now);
}

bool has_least_part(share_counts const& of, share_counts const& all)
{
    return of.asked < min_asked ||
           of.started * all.asked >= min_relative_chance * all.started * of.asked;
}

std::string delay_key(claim const& of)
{
    return std::string(of.customer).append(1, '\n').append(of.route);
}

void prune(shares& known, kernel::monotonic_time now)
{
    if (now - known.pruned_at < prune_interval)
        return;
    known.pruned_at = now;
    auto const is_forgotten = [now](auto const& entry)
    {
        return decayed(entry.second, now).asked < forgotten_count;
    };
    std::erase_if(known.by_customer, is_forgotten);
    std::erase_if(known.by_route, is_forgotten);
    std::erase_if(known.delays,
                  [now](auto const& entry)
                  {
                      return now - entry.second.learned_at > prune_interval;
                  });
}

} // namespace

void record_asked(shares& known, claim const& asking, kernel::monotonic_time now)
{
    prune(known, now);
    update_counts(known,
                  asking,
                  now,
                  [](share_counts& counts)
                  {
                      ++counts.asked;
                  });
}

void record_started(shares& known, claim const& started, kernel::monotonic_time now)
{
    update_counts(known,
                  started,
                  now,
                  [](share_counts& counts)
                  {
                      ++counts.started;
                  });
}

bool operator<(rank const& left, rank const& right)
{
    auto const in_order = [](rank const& of)
    {
        return std::tie(of.has_least_part,
                        of.customer_priority,
                        of.route_priority,
                        of.received,
                        of.latest_start,
                        of.arrived_at);
    };
    return in_order(left) < in_order(right);
}

rank rank_of(shares const& known, claim const& waiting, kernel::monotonic_time now)
{
    auto const all = decayed(known.all, now);
    auto const customer = find_counts(known.by_customer, waiting.customer, now);
    auto const route = find_counts(known.by_route, waiting.route, now);
    return {has_least_part(customer, all) && has_least_part(route, all),
            waiting.customer_priority,
            waiting.route_priority,
            customer.started,
            waiting.latest_start,
            waiting.arrived_at};
}

void record_work(work_estimate& known, double seconds)
{
    auto const weight = known.mean == 0 ? 1 : work_weight;
    auto const distance = known.mean == 0 ? 0 : std::abs(seconds - known.mean);
    known.mean += weight * (seconds - known.mean);
    known.deviation += weight * (distance - known.deviation);
}

kernel::monotonic_time
latest_start(kernel::monotonic_time arrived_at, kernel::duration target, work_estimate const& work)
{
    auto const target_seconds = seconds_value(target).count();
    auto const start = std::clamp(target_seconds - work.mean - deviations_in_time * work.deviation,
                                  min_start_fraction * target_seconds,
                                  max_start_fraction * target_seconds);
    return arrived_at + std::chrono::duration_cast<kernel::duration>(seconds_value(start));
}

double asked_per_second(shares const& known, kernel::monotonic_time now)
{
    return decayed(known.all, now).asked * std::numbers::ln2 / share_half_life.count();
}

double delay_factor(shares const& known, claim const& waiting, kernel::monotonic_time now)
{
    auto const found = known.delays.find(delay_key(waiting));
    if (found == known.delays.end())
        return 1;
    return 1 + (found->second.factor - 1) * decay(found->second.learned_at, now, delay_half_life);
}

void record_delay(shares& known,
                  claim const& waiting,
                  double predicted_seconds,
                  double waited_seconds,
                  kernel::monotonic_time now)
{
    auto const factor = delay_factor(known, waiting, now);
    auto const measured = waited_seconds / std::max(predicted_seconds, min_learned_seconds);
    known.delays[delay_key(waiting)] = {
        std::clamp(factor + delay_weight * (measured - factor), 1.0, max_delay_factor), now};
}

bool is_too_late(wait_input const& input, kernel::monotonic_time now)
{
    auto const refused_until = input.waiting.arrived_at + input.waiting.target / refusal_fraction;
    auto const target = seconds_value(input.waiting.target).count();
    // A longer queue would serve no more requests, and make more answers late.
    if (!input.is_queued && input.ahead >= 1 && input.wait_seconds * queue_fraction > target)
        return true;
    // Later, a request keeps its place until half of a usual run is left, because predictions vary.
    auto const kept = std::min(input.run_seconds / 2, max_kept_fraction * target);
    bool const is_early = !input.is_queued || (now < refused_until && input.run_seconds > 0);
    auto const limit =
        is_early ? input.waiting.latest_start
                 : input.waiting.arrived_at +
                       std::chrono::duration_cast<kernel::duration>(seconds_value(target - kept));
    return now + std::chrono::duration_cast<kernel::duration>(
                     seconds_value(input.wait_seconds + input.server_queue_seconds)) >
           limit;
}

kernel::duration
plan_return(return_schedule& schedule, return_input const& input, kernel::monotonic_time now)
{
    auto const to_duration = [](double seconds)
    {
        return std::chrono::duration_cast<kernel::duration>(seconds_value(seconds));
    };
    auto const longest = std::max<kernel::duration>(input.left / return_fraction, min_return);
    auto const returned_part = std::clamp(1 - input.asked_per_second * input.slot_interval_seconds,
                                          min_returned_part,
                                          max_returned_part);
    // New requests use the other slots, also while the queue is worked off.
    auto const earliest = now + std::max<kernel::duration>(
                                    to_duration(input.queue_seconds / returned_part), min_return);
    auto const at = std::max(schedule.next_at, earliest);
    // What lies beyond the time that callers wait is promised to nobody.
    schedule.next_at =
        std::min(at + to_duration(input.slot_interval_seconds / returned_part), now + longest);
    return std::min<kernel::duration>(at - now, longest);
}

} // namespace pistachiohub::admission
