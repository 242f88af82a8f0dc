#include "plugins/gateway/caller_input.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace pistachiohub::gateway
{

namespace http_library = boost::beast::http;
using std::chrono::milliseconds;

namespace
{

// Deadline of requests that state none or an invalid one.
constexpr auto default_deadline = std::chrono::seconds(60);

} // namespace

milliseconds parse_deadline(std::string_view text)
{
    std::int64_t value = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool const is_valid = failure == std::errc{} && end == text.data() + text.size() && value > 0;
    constexpr std::int64_t max_deadline_ms = 3'600'000;
    return is_valid ? milliseconds(std::min(value, max_deadline_ms))
                    : milliseconds(default_deadline);
}

caller_request to_request(beast_request&& message)
{
    caller_request result;
    result.method = std::string(message.method_string());
    result.target = std::string(message.target());
    result.headers.reserve(static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    for (auto const& field : message)
        result.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    result.body = std::move(message.body());
    constexpr unsigned http_1_1 = 11;
    result.accepts_chunks = message.version() >= http_1_1;
    return result;
}

refusal to_refusal(boost::system::error_code failure)
{
    if (failure == http_library::error::header_limit)
        return refusal::header_too_large;
    if (failure == http_library::error::body_limit)
        return refusal::body_too_large;
    return refusal::malformed;
}

std::string_view cause_of_end(boost::system::error_code failure)
{
    if (failure == boost::asio::error::eof)
        return "caller_closed";
    if (failure == boost::asio::error::timed_out)
        return "caller_silent";
    return "caller_reset";
}

} // namespace pistachiohub::gateway
