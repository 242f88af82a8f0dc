#include "libraries/object_store/object_store.hpp"

#include <boost/json.hpp>

#include <array>

namespace pistachiohub::object_store
{

namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_conflict = 412;
constexpr unsigned http_over_rate = 429;
constexpr unsigned http_server_error = 500;
constexpr unsigned http_outage = 503;

status read_status(unsigned code)
{
    switch (code)
    {
    case http_ok:
        return status::ok;
    case http_not_found:
        return status::missing;
    case http_over_rate:
        return status::over_rate;
    default:
        return status::outage;
    }
}

// An error of the server other than the documented 503 does not say whether the write took effect.
status write_status(unsigned code)
{
    switch (code)
    {
    case http_ok:
        return status::ok;
    case http_conflict:
        return status::conflict;
    case http_over_rate:
        return status::over_rate;
    case http_outage:
        return status::outage;
    default:
        return code >= http_server_error ? status::lost_answer : status::outage;
    }
}

object to_object(json::value const& value)
{
    auto const& members = value.as_object();
    object result;
    result.name = members.at("name").as_string();
    result.version = members.at("version").to_number<std::uint64_t>();
    result.value = json::serialize(members.at("value"));
    return result;
}

list_result to_list(std::string const& body)
{
    auto const document = json::parse(body);
    auto const& members = document.as_object();
    list_result result;
    result.revision = members.at("revision").to_number<std::uint64_t>();
    for (auto const& item : members.at("objects").as_array())
        result.objects.push_back(to_object(item));
    result.end = status::ok;
    return result;
}

} // namespace

std::string_view to_string(status value)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, 7> names{
        "ok", "missing", "conflict", "over_rate", "outage", "lost_answer", "cancelled"};
    return names.at(static_cast<std::size_t>(value));
}

client::client(kernel::endpoint const& store, http::client_limits limits)
    : m_limits(limits)
    , m_http(store.address, store.port, limits)
{
}

read_result client::read(std::string_view kind, std::string_view name)
{
    try
    {
        auto const answer =
            m_http.send({"GET", "/objects/" + std::string(kind) + '/' + std::string(name), {}, {}});
        auto const end = read_status(answer.status);
        if (end != status::ok)
            return {end, {}};
        return {status::ok, to_object(json::parse(answer.body))};
    }
    catch (http::cancelled const&)
    {
        return {status::cancelled, {}};
    }
    catch (http::http_error const&)
    {
        return {status::outage, {}};
    }
    // Boost.JSON reports an answer of another form by exceptions of the standard library.
    catch (std::exception const&)
    {
        return {status::outage, {}};
    }
}

list_result client::list(std::string_view kind)
{
    return read_list("/objects/" + std::string(kind), m_limits.read_timeout);
}

list_result
client::watch(std::string_view kind, std::uint64_t revision, std::chrono::milliseconds wait)
{
    auto target = "/watch/" + std::string(kind) + "?after=" + std::to_string(revision) +
                  "&wait_ms=" + std::to_string(wait.count());
    return read_list(std::move(target), m_limits.read_timeout + wait);
}

list_result client::read_list(std::string target, kernel::duration read_timeout)
{
    try
    {
        auto const answer = m_http.send({"GET", std::move(target), {}, {}}, read_timeout);
        auto const end = read_status(answer.status);
        if (end != status::ok)
            return {end, 0, {}};
        return to_list(answer.body);
    }
    catch (http::cancelled const&)
    {
        return {status::cancelled, 0, {}};
    }
    catch (http::http_error const&)
    {
        return {status::outage, 0, {}};
    }
    catch (std::exception const&)
    {
        return {status::outage, 0, {}};
    }
}

write_result client::write(std::string_view kind,
                           std::string_view name,
                           std::uint64_t expected_version,
                           std::string value)
{
    try
    {
        auto const answer = m_http.send({"PUT",
                                         "/objects/" + std::string(kind) + '/' + std::string(name),
                                         {{"If-Match", std::to_string(expected_version)}},
                                         std::move(value)});
        auto const end = write_status(answer.status);
        if (end != status::ok && end != status::conflict)
            return {end, 0};
        auto const document = json::parse(answer.body);
        return {end, document.as_object().at("version").to_number<std::uint64_t>()};
    }
    catch (http::never_sent const&)
    {
        return {status::outage, 0};
    }
    catch (http::cancelled const&)
    {
        return {status::cancelled, 0};
    }
    catch (http::http_error const&)
    {
        return {status::lost_answer, 0};
    }
    // An answer of another form does not say whether the write took effect.
    catch (std::exception const&)
    {
        return {status::lost_answer, 0};
    }
}

void client::cancel()
{
    m_http.cancel();
}

} // namespace pistachiohub::object_store
