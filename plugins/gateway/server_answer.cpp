#include "plugins/gateway/server_answer.hpp"

#include "libraries/http/status.hpp"

namespace pistachiohub::gateway
{

namespace
{

constexpr unsigned min_redirect_status = 300;
constexpr unsigned first_server_error = 500;
constexpr unsigned request_timeout = 408;
constexpr unsigned misdirected_request = 421;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

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

bool promises_not_run(unsigned status)
{
    return status == request_timeout || status == misdirected_request ||
           status == too_many_requests || status == service_unavailable;
}

answer_use use_of_answer(routing::request_kind kind, unsigned status)
{
    bool const is_misleading = promises_not_run(status);
    bool const is_failure = is_misleading || status >= first_server_error;
    return {is_failure && kind == routing::request_kind::idempotent, !is_misleading};
}

} // namespace pistachiohub::gateway
