#include "plugins/gateway/server_answer.hpp"

#include "libraries/http/status.hpp"

namespace pistachiohub::gateway
{

namespace
{

constexpr unsigned min_redirect_status = 300;
constexpr unsigned misdirected_request = 421;

} // namespace

message_meaning classify_message(answer const& received,
                                 interface::message_headers const& names,
                                 std::string_view request_id)
{
    if (http::is_interim_status(received.status))
        return message_meaning::interim;
    if (!http::is_final_status(received.status))
        return message_meaning::invalid;
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
