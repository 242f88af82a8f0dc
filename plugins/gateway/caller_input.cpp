#include "plugins/gateway/caller_input.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

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

caller_request to_request(http::message_head&& head, std::string&& body)
{
    constexpr unsigned http_1_1 = 11;
    bool const accepts_chunks = head.version >= http_1_1;
    return {std::move(head.method),
            std::move(head.target),
            std::move(head.headers),
            std::move(body),
            accepts_chunks};
}

bool expects_continue(http::message_head const& head)
{
    auto const value = http::find_header(head.headers, "Expect");
    return value && is_same_header_name(*value, "100-continue");
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
