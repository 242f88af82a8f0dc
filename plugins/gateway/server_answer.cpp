#include "plugins/gateway/server_answer.hpp"

#include <charconv>

namespace pistachiohub::gateway
{

namespace
{

constexpr unsigned min_success_status = 200;
constexpr unsigned min_redirect_status = 300;
constexpr unsigned misdirected_request = 421;

/// Parses a decimal number at the start of `text` and removes it from there.
std::optional<unsigned> consume_number(std::string_view& text)
{
    unsigned value = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{})
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

} // namespace

message_meaning classify_message(answer const& received,
                                 interface::message_headers const& names,
                                 std::string_view request_id)
{
    if (received.status < min_success_status)
        return message_meaning::interim;
    auto const id = find_header_value(received.headers, names.request_id);
    if (!id.empty() && id != request_id)
        return message_meaning::other_request;
    bool const is_refused = received.status == misdirected_request ||
                            !find_header_value(received.headers, names.not_started).empty();
    if (is_refused)
        return message_meaning::not_started;
    bool const is_success = received.status < min_redirect_status;
    bool const is_signed = !find_header_value(received.headers, names.signature).empty();
    if (id.empty() || (is_success && !is_signed))
        return message_meaning::unproven;
    return message_meaning::answer;
}

std::optional<double> parse_load(std::string_view value)
{
    auto const running = consume_number(value);
    if (!running || !value.starts_with(','))
        return std::nullopt;
    value.remove_prefix(1);
    auto const waiting = consume_number(value);
    if (!waiting)
        return std::nullopt;
    return static_cast<double>(*running) + *waiting;
}

} // namespace pistachiohub::gateway
