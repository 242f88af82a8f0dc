#include "plugins/front/refusal_counter.hpp"

namespace pistachiohub::front
{

void count_refusal(kernel::metrics& counters, reason cause)
{
    counters.find_counter("pistachiohub_front_refusals_total", {"reason", to_string(cause)})
        .increment();
}

} // namespace pistachiohub::front
