#include "plugins/gateway/message_text.hpp"

#include <array>
#include <charconv>

namespace pistachiohub::gateway
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view content_length = "Content-Length";

void append_header(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append(line_end);
}

// Returns the status line and the end-to-end headers, without a length.
std::string serialize_status_and_headers(answer const& message)
{
    std::string text = "HTTP/1.1 " + std::to_string(message.status) + ' ' + message.reason;
    text.append(line_end);
    auto const options = find_header_value(message.headers, "Connection");
    for (auto const& header : message.headers)
    {
        if (!is_same_header_name(header.name, content_length) &&
            !is_hop_by_hop(header.name, options))
            append_header(text, header.name, header.value);
    }
    return text;
}

bool has_no_body(unsigned status)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status == no_content || status == not_modified;
}

// A request without a body gets a Content-Length only if its caller declared a body.
bool needs_content_length(caller_request const& request)
{
    return !request.body.empty() || !find_header_value(request.headers, content_length).empty() ||
           !find_header_value(request.headers, "Transfer-Encoding").empty();
}

} // namespace

std::string serialize_request(caller_request const& request,
                              interface::message_headers const& names,
                              std::string_view server_id,
                              std::chrono::milliseconds remaining,
                              forwarded_customer const& customer)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1";
    text.append(line_end);
    auto const options = find_header_value(request.headers, "Connection");
    for (auto const& header : request.headers)
    {
        bool const is_replaced = is_same_header_name(header.name, content_length) ||
                                 is_same_header_name(header.name, names.remaining_ms) ||
                                 is_same_header_name(header.name, names.wanted_server);
        bool const is_of_customer =
            customer.is_set_by_gateway && (is_same_header_name(header.name, names.credentials) ||
                                           is_same_header_name(header.name, names.customer));
        if (!is_replaced && !is_of_customer && !is_hop_by_hop(header.name, options))
            append_header(text, header.name, header.value);
    }
    append_header(text, names.remaining_ms, std::to_string(remaining.count()));
    append_header(text, names.wanted_server, server_id);
    if (customer.is_set_by_gateway && !customer.name.empty())
        append_header(text, names.customer, customer.name);
    if (needs_content_length(request))
        append_header(text, content_length, std::to_string(request.body.size()));
    text.append(line_end).append(request.body);
    return text;
}

std::string serialize_answer(answer const& message, bool is_head, bool is_last)
{
    auto text = serialize_status_and_headers(message);
    auto const declared = find_header_value(message.headers, content_length);
    if (is_head && !declared.empty())
        append_header(text, content_length, declared);
    else if (!is_head && !has_no_body(message.status))
        append_header(text, content_length, std::to_string(message.body.size()));
    if (is_last)
        append_header(text, "Connection", "close");
    text.append(line_end);
    if (!is_head && !has_no_body(message.status))
        text.append(message.body);
    return text;
}

std::string serialize_stream_head(answer const& head,
                                  stream_framing framing,
                                  std::uint64_t length,
                                  bool is_last)
{
    auto text = serialize_status_and_headers(head);
    if (framing == stream_framing::length)
        append_header(text, content_length, std::to_string(length));
    if (framing == stream_framing::chunked)
        append_header(text, "Transfer-Encoding", "chunked");
    if (is_last || framing == stream_framing::connection)
        append_header(text, "Connection", "close");
    return text.append(line_end);
}

std::string serialize_part(std::string&& part, stream_framing framing)
{
    if (framing != stream_framing::chunked)
        return std::move(part);
    constexpr int hexadecimal = 16;
    std::array<char, hexadecimal> digits{};
    auto const [end, failure] =
        std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), hexadecimal);
    std::string text(digits.data(), end);
    return text.append(line_end).append(part).append(line_end);
}

std::string_view stream_end(stream_framing framing)
{
    return framing == stream_framing::chunked ? "0\r\n\r\n" : "";
}

} // namespace pistachiohub::gateway
