#include "plugins/front/answer_builder.hpp"

#include "plugins/lookup/lookup.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pistachiohub::front
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_unresolved = 504;
// Enough for most answers, so that the text is allocated once.
constexpr std::size_t expected_host_length = 192;

bool is_plain(char character)
{
    constexpr unsigned char first_printable = 0x20;
    return static_cast<unsigned char>(character) >= first_printable && character != '"' &&
           character != '\\';
}

void append_text(std::string& json, std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), is_plain))
    {
        json += boost::json::serialize(boost::json::string_view(text.data(), text.size()));
        return;
    }
    json += '"';
    json += text;
    json += '"';
}

void append_number(std::string& json, std::uint64_t number)
{
    constexpr std::size_t most_digits = 20;
    char digits[most_digits];
    auto const end = std::to_chars(digits, digits + most_digits, number).ptr;
    json.append(digits, end);
}

void append_host(std::string& json, view::world_view const& world, view::entry_host const& host)
{
    // This daemon's own entry may be older than the view's own fields.
    bool const is_own = host.name == world.own_name;
    json += "{\"name\":";
    append_text(json, host.name);
    json += ",\"address\":";
    append_text(json, host.address);
    json += ",\"port\":";
    append_number(json, host.caller_port);
    json += ",\"incarnation\":";
    append_number(json, is_own ? world.own_incarnation : host.incarnation);
    json += ",\"epoch\":";
    append_number(json, is_own ? world.own_epoch : host.epoch);
    json += ",\"failure_domain\":";
    auto const& domains = world.configuration->failure_domains;
    append_text(json,
                host.failure_domain < domains.size()
                    ? std::string_view(domains[host.failure_domain].name)
                    : std::string_view());
    json += '}';
}

std::string
make_error_json(outcome result, reason cause, std::string_view message, std::string const& lookup)
{
    std::string json = "{\"outcome\":";
    append_text(json, to_string(result));
    json += ",\"reason\":";
    append_text(json, to_string(cause));
    json += ",\"message\":";
    append_text(json, message);
    if (!lookup.empty())
    {
        json += ",\"lookup\":";
        json += lookup;
    }
    json += '}';
    return json;
}

bool is_malformed(reason cause)
{
    switch (cause)
    {
    case reason::malformed_http:
    case reason::body_too_large:
    case reason::header_too_large:
    case reason::bad_request_id:
    case reason::missing_request_id:
    case reason::bad_deadline:
    case reason::bad_query:
    case reason::unknown_service:
        return true;
    default:
        return false;
    }
}

unsigned status_of(outcome result, reason cause)
{
    if (result == outcome::ran)
        return cause == reason::ok ? status_ok : status_gone;
    if (result == outcome::unresolved)
        return status_unresolved;
    if (cause == reason::unknown_path)
        return status_not_found;
    return is_malformed(cause) ? status_bad_request : status_unavailable;
}

std::string_view message_of(outcome result)
{
    if (result == outcome::ran)
        return "a backend server ran the request; its answer is not held any more";
    return result == outcome::not_run
               ? "no backend server started the request; a new try takes a new id"
               : "the request may have run; send it again with the same id to learn its outcome";
}

refusal not_ready()
{
    return {reason::not_ready, "this entry host has no configuration yet", std::nullopt};
}

refusal unknown_service()
{
    return {reason::unknown_service, "the configuration has no such service", std::nullopt};
}

} // namespace

std::string make_lookup_json(view::world_view const& world,
                             view::index service,
                             std::optional<std::uint32_t> client,
                             std::uint64_t spread)
{
    auto const& described = world.configuration->services[service];
    auto const hosts = lookup::find_entry_hosts(world, service, client, spread);
    std::string json;
    json.reserve((hosts.size() + 1) * expected_host_length);
    json += "{\"service\":";
    append_text(json, described.name);
    json += described.kind == configuration::service_kind::idempotent
                ? ",\"kind\":\"idempotent\",\"configuration_version\":"
                : ",\"kind\":\"at_most_once\",\"configuration_version\":";
    append_number(json, world.configuration->version);
    json += ",\"ttl_ms\":";
    append_number(json, described.ttl_ms);
    json += ",\"entry_hosts\":[";
    for (auto const host : hosts)
    {
        append_host(json, world, world.entry_hosts[host]);
        json += ',';
    }
    if (!hosts.empty())
        json.pop_back();
    json += "]}";
    return json;
}

caller_answer
answer_lookup(view::world_view const* world, lookup_query const& query, std::uint64_t spread)
{
    if (world == nullptr)
        return make_refusal(not_ready(), true);
    auto const service = view::find_service(*world, query.service);
    if (service == view::no_index)
        return make_refusal(unknown_service(), true);
    caller_answer answer;
    answer.status = status_ok;
    answer.body = make_lookup_json(*world, service, query.client, spread);
    return answer;
}

caller_answer make_refusal(refusal const& refused, bool is_lookup)
{
    caller_answer answer;
    answer.has_outcome = true;
    answer.result = refused.may_have_run ? outcome::unresolved : outcome::not_run;
    answer.cause = refused.cause;
    answer.status = is_lookup && refused.cause == reason::unknown_service
                        ? status_not_found
                        : status_of(answer.result, answer.cause);
    if (refused.id)
        answer.request_id = identity::to_string(*refused.id);
    answer.body = make_error_json(answer.result, answer.cause, refused.message, "");
    return answer;
}

std::optional<refusal> check_submission(view::world_view const* world, submission const& submitted)
{
    std::optional<refusal> refused;
    if (world == nullptr)
    {
        refused = not_ready();
    }
    else
    {
        auto const service = view::find_service(*world, submitted.service);
        if (service == view::no_index)
            refused = unknown_service();
        else if (!submitted.id && world->configuration->services[service].kind ==
                                      configuration::service_kind::at_most_once)
            refused = refusal{reason::missing_request_id,
                              "an at-most-once service requires Pistachiohub-Request-Id",
                              std::nullopt};
    }
    if (refused)
    {
        refused->id = submitted.id;
        refused->may_have_run = may_be_resent(submitted);
    }
    return refused;
}

caller_answer
make_reply(view::world_view const* world, events::front_reply&& reply, std::uint64_t spread)
{
    caller_answer answer;
    answer.has_outcome = true;
    answer.result = reply.result;
    answer.cause = reply.cause;
    answer.status = status_of(reply.result, reply.cause);
    answer.request_id = identity::to_string(reply.id);
    if (reply.result == outcome::ran && reply.cause == reason::ok)
    {
        answer.is_json = false;
        answer.body = std::move(reply.answer);
        return answer;
    }
    std::string lookup;
    if (reply.has_lookup && world != nullptr)
    {
        auto const service = view::find_service(*world, reply.service);
        if (service != view::no_index)
            lookup = make_lookup_json(*world, service, std::nullopt, spread);
    }
    answer.body = make_error_json(reply.result, reply.cause, message_of(reply.result), lookup);
    return answer;
}

} // namespace pistachiohub::front
