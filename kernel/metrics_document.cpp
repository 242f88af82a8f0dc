#include "kernel/metrics_document.hpp"

#include <boost/json.hpp>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace pistachiohub::kernel
{

namespace
{

// Doubles up to 2^53 hold whole numbers exactly.
constexpr double largest_exact = 9007199254740992.0;

} // namespace

namespace json = boost::json;

// The Prometheus text has one `<name>{<labels>} <value>` on each line that is no comment.
json::object counters_document(metrics const& counters)
{
    json::object document;
    std::istringstream lines(counters.text());
    for (std::string line; std::getline(lines, line);)
    {
        auto const space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos)
            continue;
        auto const value = std::strtod(line.c_str() + space, nullptr);
        // Boost.JSON writes every double with an exponent; counts read better without.
        bool const is_whole = value == std::floor(value) && std::abs(value) < largest_exact;
        auto& counter = document[line.substr(0, space)];
        if (is_whole)
            counter = static_cast<std::int64_t>(value);
        else
            counter = value;
    }
    return document;
}

} // namespace pistachiohub::kernel
