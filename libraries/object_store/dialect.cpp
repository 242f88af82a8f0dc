#include "libraries/object_store/dialect.hpp"

#include "libraries/http/target.hpp"
#include "libraries/object_store/json_parts.hpp"

#include <boost/json.hpp>

#include <exception>

namespace pistachiohub::object_store
{

namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_created = 201;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_gone = 410;
constexpr unsigned http_precondition_failed = 412;
constexpr unsigned http_over_rate = 429;
constexpr unsigned http_server_error = 500;
constexpr unsigned http_unavailable = 503;

status write_status(unsigned code)
{
    return write_status_of(code, http_precondition_failed);
}

object read_name_and_version(std::vector<json_member> const& members)
{
    object result;
    result.name = json::parse(find_json_member(members, "name")).as_string();
    result.version = json::parse(find_json_member(members, "version")).to_number<std::uint64_t>();
    return result;
}

object decode_object(std::string_view body)
{
    auto const members = split_json_object(body);
    auto result = read_name_and_version(members);
    result.value = json::serialize(json::parse(find_json_member(members, "value")));
    return result;
}

// What cannot be read of an object costs only itself: its value, or its name.
object to_listed_object(std::string_view text)
{
    try
    {
        auto const members = split_json_object(text);
        auto result = read_name_and_version(members);
        result.value = readable_json(find_json_member(members, "value"));
        return result;
    }
    catch (std::exception const&)
    {
        return {};
    }
}

page decode_list(std::string_view body)
{
    auto const members = split_json_object(body);
    page result;
    result.revision = json::parse(find_json_member(members, "revision")).to_number<std::uint64_t>();
    for (auto const item : split_json_array(find_json_member(members, "objects")))
        result.objects.push_back(to_listed_object(item));
    return result;
}

std::uint64_t decode_written(std::string_view body)
{
    auto const document = json::parse(body);
    return document.as_object().at("version").to_number<std::uint64_t>();
}

std::string object_target(std::string_view kind, std::string_view name)
{
    return "/objects/" + std::string(kind) + '/' + http::encode_target_part(name);
}

http::request make_read(std::string_view kind, std::string_view name)
{
    return {"GET", object_target(kind, name), {}, {}};
}

// This object API returns all objects of a kind at once.
http::request make_list(std::string_view kind, std::string_view)
{
    return {"GET", "/objects/" + std::string(kind), {}, {}};
}

http::request
make_watch(std::string_view kind, position const& since, std::chrono::milliseconds wait)
{
    return {"GET",
            "/watch/" + std::string(kind) + "?after=" + std::to_string(since.revision) +
                "&wait_ms=" + std::to_string(wait.count()),
            {},
            {}};
}

http::request make_write(std::string_view kind,
                         std::string_view name,
                         std::uint64_t expected_version,
                         std::string_view value)
{
    return {"PUT",
            object_target(kind, name),
            {{"If-Match", std::to_string(expected_version)}},
            std::string(value)};
}

http::request
make_remove(std::string_view kind, std::string_view name, std::uint64_t expected_version)
{
    return {
        "DELETE", object_target(kind, name), {{"If-Match", std::to_string(expected_version)}}, {}};
}

} // namespace

status read_status_of(unsigned code)
{
    switch (code)
    {
    case http_ok:
        return status::ok;
    case http_not_found:
        return status::missing;
    case http_gone:
        return status::history_gone;
    case http_over_rate:
        return status::over_rate;
    default:
        return status::outage;
    }
}

// An error of the server other than the documented 503 does not say whether the write took effect.
status write_status_of(unsigned code, unsigned conflict_code)
{
    if (code == conflict_code)
        return status::conflict;
    switch (code)
    {
    case http_ok:
    case http_created:
        return status::ok;
    case http_not_found:
        return status::missing;
    case http_over_rate:
        return status::over_rate;
    case http_unavailable:
        return status::outage;
    default:
        return code >= http_server_error ? status::lost_answer : status::outage;
    }
}

dialect const& native_dialect()
{
    static dialect const spoken{make_read,
                                make_list,
                                make_watch,
                                make_write,
                                make_remove,
                                read_status_of,
                                write_status,
                                decode_object,
                                decode_list,
                                decode_list,
                                decode_written};
    return spoken;
}

} // namespace pistachiohub::object_store
