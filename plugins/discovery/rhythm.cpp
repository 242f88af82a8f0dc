#include "plugins/discovery/rhythm.hpp"

namespace pistachiohub::discovery
{

namespace
{

using std::chrono::milliseconds;

constexpr auto rare_spacing = milliseconds(50);
// A batch is read at half of its share of the bound, because the change may come just after a call.
constexpr double batches_in_bound = 1.5;

milliseconds usable(milliseconds bound)
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(bound) * part_of_bound);
}

milliseconds batch_spacing(milliseconds bound)
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(usable(bound)) / batches_in_bound);
}

} // namespace

feed_rhythm configuration_rhythm(kernel::gateway_bounds const& bounds)
{
    return {usable(bounds.configuration_apply), rare_spacing};
}

feed_rhythm evacuation_rhythm(kernel::gateway_bounds const& bounds)
{
    return {usable(bounds.evacuation), rare_spacing};
}

feed_rhythm server_rhythm(kernel::gateway_bounds const& bounds)
{
    return {batch_spacing(bounds.server_drain), batch_spacing(bounds.server_drain)};
}

feed_rhythm entry_host_rhythm(kernel::gateway_bounds const& bounds)
{
    return {batch_spacing(bounds.host_silence), batch_spacing(bounds.host_silence)};
}

} // namespace pistachiohub::discovery
