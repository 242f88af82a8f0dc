#include "plugins/discovery/rhythm.hpp"

#include "plugins/customer/contact.hpp"

#include <algorithm>

namespace pistachiohub::discovery
{

namespace
{

using std::chrono::milliseconds;

constexpr auto rare_spacing = milliseconds(50);
// Parts of a bound. What two calls of the store know is as old as both of them together, because
// the first may have waited on a history that was forgotten.
constexpr double part_for_rare_watch = 0.25;
constexpr double part_for_batch_watch = 0.2;
constexpr double part_for_batch_spacing = 0.3;
constexpr double part_for_age = 0.58;
constexpr double part_for_relay_wait = 0.2;
constexpr double part_for_relay_timeout = 0.12;
constexpr double part_for_answer = 0.95;
// A new connection to another region takes two trips and a batch some more; calls may be slower
// than those of the latest list.
constexpr double part_for_store_call = 0.15;
// The rest holds the timeout of a relay and the age of what a reader of batches tells.
constexpr double part_for_long_store_time = 0.5;

milliseconds part_of(milliseconds bound, double part)
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(bound) * part);
}

feed_rhythm make_rhythm(milliseconds bound, milliseconds watch_wait, milliseconds spacing)
{
    return {watch_wait,
            spacing,
            part_of(bound, part_for_age),
            part_of(bound, part_for_relay_wait),
            part_of(bound, part_for_relay_timeout),
            part_of(bound, part_for_answer),
            part_of(bound, part_for_store_call),
            part_of(bound, part_for_long_store_time)};
}

feed_rhythm rare_rhythm(milliseconds bound)
{
    return make_rhythm(bound, part_of(bound, part_for_rare_watch), rare_spacing);
}

feed_rhythm batch_rhythm(milliseconds bound)
{
    return make_rhythm(
        bound, part_of(bound, part_for_batch_watch), part_of(bound, part_for_batch_spacing));
}

} // namespace

feed_rhythm configuration_rhythm(kernel::gateway_bounds const& bounds)
{
    // With strict revocation a host refuses requests with keys once its contact is too old. A host
    // that reads through another one must stay below that age.
    return rare_rhythm(
        bounds.has_strict_revocation
            ? std::min(bounds.configuration_apply, customer::longest_contact_age(bounds))
            : bounds.configuration_apply);
}

feed_rhythm evacuation_rhythm(kernel::gateway_bounds const& bounds)
{
    return rare_rhythm(bounds.evacuation);
}

feed_rhythm server_rhythm(kernel::gateway_bounds const& bounds)
{
    return batch_rhythm(bounds.server_drain);
}

feed_rhythm entry_host_rhythm(kernel::gateway_bounds const& bounds)
{
    return batch_rhythm(bounds.host_silence);
}

} // namespace pistachiohub::discovery
