#include "plugins/gateway/server_answer.hpp"

namespace pistachiohub::gateway
{

namespace
{

constexpr unsigned min_success_status = 200;
constexpr unsigned min_redirect_status = 300;
constexpr unsigned misdirected_request = 421;

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

} // namespace pistachiohub::gateway
