#include "plugins/front/http_failure.hpp"

#include <boost/beast/http/error.hpp>

namespace pistachiohub::front
{

namespace http = boost::beast::http;

std::optional<refusal> refusal_of(boost::system::error_code failure)
{
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow)
        return refusal{
            reason::header_too_large, "the header block exceeds 8192 bytes", std::nullopt};
    if (failure == http::error::body_limit)
        return refusal{reason::body_too_large, "the body exceeds 65536 bytes", std::nullopt};
    bool const is_form = failure.category() == make_error_code(http::error::bad_method).category();
    bool const is_end =
        failure == http::error::end_of_stream || failure == http::error::partial_message;
    if (!is_form || is_end)
        return std::nullopt;
    return refusal{reason::malformed_http, "the request is not valid HTTP/1.1", std::nullopt};
}

} // namespace pistachiohub::front
