#include "plugins/backend/server_protocol.hpp"

#include <boost/json/parse.hpp>

#include <charconv>
#include <limits>
#include <utility>

namespace pistachiohub::backend
{

namespace
{

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

std::optional<std::uint32_t> parse_count(std::string_view text)
{
    std::uint32_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || position != end)
        return std::nullopt;
    return number;
}

// Parses `<in_flight>/<slots>`.
std::optional<double> parse_load(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    auto const in_flight = parse_count(text.substr(0, slash));
    auto const slots = parse_count(text.substr(slash + 1));
    if (!in_flight || !slots || *slots == 0)
        return std::nullopt;
    return static_cast<double>(*in_flight) / *slots;
}

std::optional<bool> parse_leaving(std::string_view state)
{
    if (state == "leaving")
        return true;
    if (state == "live")
        return false;
    return std::nullopt;
}

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code failure;
    auto parsed = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.get_object());
}

std::string_view find_text(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

std::optional<std::uint32_t> find_count(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr || !value->is_int64())
        return std::nullopt;
    auto const number = value->get_int64();
    if (number < 0 || number > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(number);
}

// A server need not echo the id where it runs nothing, but an answer that names another attempt
// proves nothing about this one.
bool is_for_another(server_answer const& answer, std::string_view id, std::string_view attempt)
{
    return (!answer.request_id.empty() && answer.request_id != id) ||
           (!answer.attempt.empty() && answer.attempt != attempt);
}

} // namespace

server_request make_run_request(events::dispatch_attempt& dispatch)
{
    server_request request;
    request.target = "/run";
    request.request_id = identity::to_string(dispatch.id);
    request.attempt = std::to_string(dispatch.attempt);
    request.has_deadline = true;
    request.body = std::move(dispatch.body);
    return request;
}

server_request make_cancel_request(events::cancel_attempt const& cancel)
{
    server_request request;
    request.target = "/cancel";
    request.request_id = identity::to_string(cancel.id);
    request.attempt = std::to_string(cancel.attempt);
    return request;
}

server_request make_probe_request()
{
    server_request request;
    request.is_post = false;
    request.target = "/load";
    return request;
}

events::attempt_end
classify_answer(server_answer const& answer, std::string_view id, std::string_view attempt)
{
    if (answer.status == status_ok)
    {
        bool const is_own = answer.request_id == id && answer.attempt == attempt;
        return is_own && answer.has_content_length ? events::attempt_end::answered
                                                   : events::attempt_end::broken;
    }
    bool const is_refusal = answer.status == status_unavailable && answer.not_started == "1" &&
                            !is_for_another(answer, id, attempt);
    return is_refusal ? events::attempt_end::refused : events::attempt_end::broken;
}

bool is_cancelled(server_answer const& answer, std::string_view id, std::string_view attempt)
{
    if (answer.status != status_ok || is_for_another(answer, id, attempt))
        return false;
    auto const result = parse_object(answer.body);
    return result && find_text(*result, "result") == "cancelled";
}

std::optional<server_report> read_report(server_answer const& answer)
{
    auto const is_leaving = parse_leaving(answer.server_state);
    auto const load = parse_load(answer.load);
    if (!is_leaving && !load)
        return std::nullopt;
    return server_report{is_leaving, load.value_or(-1)};
}

std::optional<server_report> read_probe(server_answer const& answer)
{
    if (answer.status != status_ok)
        return std::nullopt;
    auto const object = parse_object(answer.body);
    if (!object)
        return std::nullopt;
    auto const in_flight = find_count(*object, "in_flight");
    auto const slots = find_count(*object, "slots");
    auto const is_leaving = parse_leaving(find_text(*object, "state"));
    if (!in_flight || !slots || *slots == 0 || !is_leaving)
        return std::nullopt;
    return server_report{is_leaving, static_cast<double>(*in_flight) / *slots};
}

} // namespace pistachiohub::backend
