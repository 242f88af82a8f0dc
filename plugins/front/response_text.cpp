#include "plugins/front/response_text.hpp"

#include <string_view>

namespace pistachiohub::front
{

namespace
{

// Enough for the header block, so that the text is allocated once.
constexpr std::size_t expected_header_length = 384;

std::string_view status_line(unsigned status)
{
    switch (status)
    {
    case 200:
        return "HTTP/1.1 200 OK\r\n";
    case 400:
        return "HTTP/1.1 400 Bad Request\r\n";
    case 404:
        return "HTTP/1.1 404 Not Found\r\n";
    case 410:
        return "HTTP/1.1 410 Gone\r\n";
    case 504:
        return "HTTP/1.1 504 Gateway Timeout\r\n";
    default:
        return "HTTP/1.1 503 Service Unavailable\r\n";
    }
}

void append_header(std::string& text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace

std::string make_response_text(caller_answer const& answer, bool is_keep_alive)
{
    std::string text;
    text.reserve(expected_header_length + answer.body.size());
    text += status_line(answer.status);
    append_header(
        text, "Content-Type", answer.is_json ? "application/json" : "application/octet-stream");
    if (answer.has_outcome)
    {
        append_header(text, "Pistachiohub-Request-Id", answer.request_id);
        append_header(text, "Pistachiohub-Outcome", to_string(answer.result));
        append_header(text, "Pistachiohub-Reason", to_string(answer.cause));
    }
    if (!is_keep_alive)
        append_header(text, "Connection", "close");
    append_header(text, "Content-Length", std::to_string(answer.body.size()));
    text += "\r\n";
    text += answer.body;
    return text;
}

} // namespace pistachiohub::front
