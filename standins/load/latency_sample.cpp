#include "standins/load/latency_sample.hpp"

#include <algorithm>
#include <sstream>

namespace pistachiohub::standins::load
{

namespace
{

double percentile(std::vector<double> const& sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    auto const position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

} // namespace

std::string summarise(std::vector<double> microseconds)
{
    std::sort(microseconds.begin(), microseconds.end());
    std::ostringstream text;
    text << "count=" << microseconds.size() << " p50_us=" << percentile(microseconds, 0.5)
         << " p99_us=" << percentile(microseconds, 0.99)
         << " p99.9_us=" << percentile(microseconds, 0.999);
    return text.str();
}

} // namespace pistachiohub::standins::load
