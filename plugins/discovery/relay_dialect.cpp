#include "plugins/discovery/relay_dialect.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace pistachiohub::discovery
{

namespace
{

namespace json = boost::json;

// Changes beyond this size are read from the store.
constexpr std::size_t max_answer_bytes = std::size_t{4} << 20;
constexpr std::string_view path_prefix = "/v1/changes/";
constexpr std::string_view after_key = "after=";
constexpr std::string_view wait_key = "&wait_ms=";
constexpr std::string_view generation_key = "&generation=";

http::request make_watch(std::string_view kind,
                         object_store::position const& since,
                         std::chrono::milliseconds wait)
{
    std::string target(path_prefix);
    target.append(kind).append("?").append(after_key).append(std::to_string(since.revision));
    target.append(wait_key).append(std::to_string(wait.count()));
    target.append(generation_key).append(std::to_string(since.generation));
    return {"GET", std::move(target), {}, {}};
}

object_store::page decode_changes(std::string_view body)
{
    auto const document = json::parse(body);
    auto const& members = document.as_object();
    object_store::page result;
    result.revision = members.at("revision").to_number<std::uint64_t>();
    // Earlier releases tell no age.
    if (auto const* const age = members.if_contains("age_ms"))
        result.age = std::chrono::milliseconds(age->to_number<std::uint32_t>());
    for (auto const& item : members.at("objects").as_array())
    {
        auto const& fields = item.as_object();
        object_store::object changed;
        changed.name = std::string(fields.at("name").as_string());
        changed.version = fields.at("version").to_number<std::uint64_t>();
        changed.value = std::string(fields.at("value").as_string());
        changed.observed = std::string(fields.at("observed").as_string());
        changed.is_removed = fields.at("is_removed").as_bool();
        result.objects.push_back(std::move(changed));
    }
    return result;
}

template<class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || position != end)
        return std::nullopt;
    return number;
}

} // namespace

object_store::dialect const& relay_dialect()
{
    static auto const spoken = []()
    {
        auto dialect = object_store::native_dialect();
        dialect.make_watch = make_watch;
        dialect.decode_changes = decode_changes;
        dialect.largest_answer = max_answer_bytes;
        return dialect;
    }();
    return spoken;
}

std::optional<change_query> parse_change_query(std::string_view path, std::string_view query)
{
    if (!path.starts_with(path_prefix) || !query.starts_with(after_key))
        return std::nullopt;
    path.remove_prefix(path_prefix.size());
    query.remove_prefix(after_key.size());
    auto const host = path.find('/');
    auto const incarnation = path.rfind('/');
    auto const wait = query.find(wait_key);
    auto const generation_at = query.find(generation_key);
    if (host == incarnation || wait == std::string_view::npos ||
        generation_at == std::string_view::npos || generation_at < wait)
        return std::nullopt;
    auto const number = parse_number<std::uint64_t>(path.substr(incarnation + 1));
    auto const revision = parse_number<std::uint64_t>(query.substr(0, wait));
    auto const wait_begin = wait + wait_key.size();
    auto const wait_ms =
        parse_number<std::uint32_t>(query.substr(wait_begin, generation_at - wait_begin));
    auto const generation =
        parse_number<std::uint64_t>(query.substr(generation_at + generation_key.size()));
    if (!number || !revision || !wait_ms || !generation)
        return std::nullopt;
    return change_query{std::string(path.substr(0, host)),
                        {std::string(path.substr(host + 1, incarnation - host - 1)), *number},
                        {*generation, *revision},
                        std::chrono::milliseconds(*wait_ms)};
}

std::string encode_changes(object_store::list_result const& changes, std::chrono::milliseconds age)
{
    json::array objects;
    for (auto const& changed : changes.objects)
        objects.push_back({{"name", changed.name},
                           {"version", changed.version},
                           {"value", changed.value},
                           {"observed", changed.observed},
                           {"is_removed", changed.is_removed}});
    return json::serialize(json::object{{"revision", changes.revision},
                                        {"age_ms", std::max<std::int64_t>(age.count(), 0)},
                                        {"objects", std::move(objects)}});
}

} // namespace pistachiohub::discovery
