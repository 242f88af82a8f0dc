#include "plugins/front/request_parser.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace pistachiohub::front
{

namespace
{

constexpr std::string_view lookup_path = "/v1/lookup";
constexpr std::string_view requests_path = "/v1/requests/";
constexpr std::uint32_t longest_deadline_ms = 60000;
// "255.255.255.255"
constexpr std::size_t longest_ipv4_text = 15;

refusal refuse(reason cause, std::string_view message)
{
    return {cause, message, std::nullopt};
}

std::optional<std::uint32_t> parse_ipv4(std::string_view text)
{
    if (text.empty() || text.size() > longest_ipv4_text)
        return std::nullopt;
    boost::system::error_code failure;
    auto const address = boost::asio::ip::make_address_v4(std::string(text), failure);
    if (failure)
        return std::nullopt;
    return address.to_uint();
}

// Returns a message when the parameter is not valid.
std::string_view read_parameter(lookup_query& query, std::string_view name, std::string_view value)
{
    if (name == "service")
    {
        if (!query.service.empty())
            return "parameter service is repeated";
        query.service = value;
        return {};
    }
    if (name != "client")
        return "the parameters are service and client";
    if (query.client)
        return "parameter client is repeated";
    query.client = parse_ipv4(value);
    return query.client ? std::string_view() : "parameter client is not an IPv4 address";
}

parsed_request parse_lookup(std::string_view query_text)
{
    lookup_query query;
    while (!query_text.empty())
    {
        auto const parameter = query_text.substr(0, query_text.find('&'));
        query_text.remove_prefix(std::min(parameter.size() + 1, query_text.size()));
        auto const equals = parameter.find('=');
        if (equals == std::string_view::npos)
            return refuse(reason::bad_query, "a parameter has the form name=value");
        auto const message =
            read_parameter(query, parameter.substr(0, equals), parameter.substr(equals + 1));
        if (!message.empty())
            return refuse(reason::bad_query, message);
    }
    if (query.service.empty())
        return refuse(reason::bad_query, "parameter service is missing");
    return query;
}

parsed_request parse_submission(request_head const& head, std::string_view service)
{
    submission result;
    result.service = service;
    if (head.request_id.occurrences > 0)
    {
        if (head.request_id.occurrences == 1)
            result.id = identity::parse_request_id(head.request_id.text);
        if (!result.id)
            return refuse(reason::bad_request_id,
                          "Pistachiohub-Request-Id is not <owner>/<incarnation>/<epoch>/<unique>");
    }
    if (head.transmission.occurrences > 0)
    {
        auto const transmission = head.transmission.occurrences == 1
                                      ? parse_bounded(head.transmission.text,
                                                      1,
                                                      std::numeric_limits<std::uint32_t>::max())
                                      : std::nullopt;
        if (!transmission)
            return refusal{reason::malformed_http,
                           "Pistachiohub-Transmission is not a positive integer",
                           result.id,
                           result.id.has_value()};
        result.transmission = *transmission;
    }
    auto const remaining = head.deadline_ms.occurrences == 1
                               ? parse_bounded(head.deadline_ms.text, 1, longest_deadline_ms)
                               : std::nullopt;
    if (!remaining)
        return refusal{reason::bad_deadline,
                       "Pistachiohub-Deadline-Ms is not an integer from 1 to 60000",
                       result.id,
                       may_be_resent(result)};
    result.remaining = std::chrono::milliseconds(*remaining);
    return result;
}

} // namespace

bool may_be_resent(submission const& submitted)
{
    return submitted.id.has_value() && submitted.transmission != 1;
}

std::optional<std::uint32_t>
parse_bounded(std::string_view text, std::uint32_t lowest, std::uint32_t highest)
{
    std::uint32_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, number);
    bool const is_number = failure == std::errc{} && position == end;
    if (!is_number || number < lowest || number > highest)
        return std::nullopt;
    return number;
}

parsed_request parse_request(request_head const& head)
{
    auto const question_mark = head.target.find('?');
    auto const path = head.target.substr(0, question_mark);
    bool const has_query = question_mark != std::string_view::npos;
    if (path == lookup_path)
    {
        if (head.method != "GET")
            return refuse(reason::unknown_path, "/v1/lookup accepts GET only");
        return parse_lookup(has_query ? head.target.substr(question_mark + 1) : std::string_view());
    }
    auto const service =
        path.starts_with(requests_path) ? path.substr(requests_path.size()) : std::string_view();
    if (service.empty() || service.find('/') != std::string_view::npos)
        return refuse(reason::unknown_path, "the paths are /v1/lookup and /v1/requests/{service}");
    if (head.method != "POST")
        return refuse(reason::unknown_path, "/v1/requests/{service} accepts POST only");
    if (has_query)
        return refuse(reason::bad_query, "/v1/requests/{service} takes no parameters");
    return parse_submission(head, service);
}

} // namespace pistachiohub::front
