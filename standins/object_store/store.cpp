#include "standins/object_store/store.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace pistachiohub::standins
{

namespace
{

namespace json = boost::json;

constexpr std::size_t largest_value = 1U << 20U;
constexpr std::uint32_t longest_wait_ms = 60000;

http_response make_error(unsigned status, std::string_view message)
{
    return {status, json::serialize(json::object{{"message", message}}), {}, false};
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [position, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || position != end)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> query_number(http_request const& request, std::string const& key)
{
    auto const found = request.query.find(key);
    return found == request.query.end() ? std::nullopt : parse_number(found->second);
}

std::string object_text(std::string_view name, std::uint64_t version, std::string_view value)
{
    // The value is stored as text and inserted unchanged, so that large objects are not parsed.
    return "{\"name\":" + json::serialize(json::string(name)) +
           ",\"version\":" + std::to_string(version) + ",\"value\":" + std::string(value) + '}';
}

} // namespace

bool call_rate::admit(double calls_per_second, kernel::monotonic_time now)
{
    if (calls_per_second <= 0)
        return true;
    std::chrono::duration<double> const elapsed = now - m_filled_at;
    m_tokens = std::min(calls_per_second, m_tokens + elapsed.count() * calls_per_second);
    m_filled_at = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

object_store::object_store(store_control const& control, std::uint64_t seed)
    : m_control(control)
    , m_random(seed)
{
}

void object_store::load(std::string_view text)
{
    try
    {
        auto const document = json::parse(text);
        for (auto const& kind : document.as_object())
        {
            for (auto const& item : kind.value().as_object())
                m_objects[kind.key()][item.key()] =
                    object{1, ++m_revision, json::serialize(item.value())};
        }
    }
    catch (std::exception const& failure)
    {
        throw initial_objects_error(std::string("initial objects: ") + failure.what());
    }
}

void object_store::handle(http_request const& request,
                          kernel::monotonic_time now,
                          delayed_responder const& respond)
{
    if (request.path == "/control")
        respond(handle_control(request), 0);
    else if (m_control.has_outage)
        respond(make_error(503, "outage"), m_control.slow_ms);
    else
        handle_object_call(request, now, respond);
}

void object_store::handle_object_call(http_request const& request,
                                      kernel::monotonic_time now,
                                      delayed_responder const& respond)
{
    auto const parts = split_path(request.path);
    bool const is_put = request.method == "PUT" && parts.size() == 3 && parts[0] == "objects";
    bool const is_object = parts.size() >= 2 && parts.size() <= 3 && parts[0] == "objects";
    bool const is_watch = parts.size() == 2 && parts[0] == "watch";
    if (!is_put && !(request.method == "GET" && (is_object || is_watch)))
    {
        respond(make_error(404, "unknown path or method"), 0);
        return;
    }
    std::string_view const operation = is_put              ? "put"
                                       : is_watch          ? "watch"
                                       : parts.size() == 3 ? "get"
                                                           : "list";
    ++m_counts[parts[1]][std::string(operation)];
    bool const is_admitted = is_put ? m_writes.admit(m_control.writes_per_second, now)
                                    : m_reads.admit(m_control.reads_per_second, now);
    if (!is_admitted)
    {
        ++m_counts[parts[1]]["over_rate"];
        respond(make_error(429, "over rate"), m_control.slow_ms);
    }
    else if (is_put)
        respond(put(parts[1], parts[2], request), m_control.slow_ms);
    else if (is_watch)
        watch(parts[1], request, now, respond);
    else if (parts.size() == 3)
        respond(get(parts[1], parts[2]), m_control.slow_ms);
    else
        respond(list(parts[1], 0), m_control.slow_ms);
}

http_response object_store::get(std::string const& kind, std::string const& name) const
{
    auto const found_kind = m_objects.find(kind);
    if (found_kind == m_objects.end() || !found_kind->second.contains(name))
        return make_error(404, "no such object");
    auto const& found = found_kind->second.at(name);
    return {200, object_text(name, found.version, found.value), {}, false};
}

http_response object_store::list(std::string const& kind, std::uint64_t after) const
{
    std::string items;
    auto const found_kind = m_objects.find(kind);
    if (found_kind != m_objects.end())
    {
        for (auto const& [name, item] : found_kind->second)
        {
            if (item.revision <= after)
                continue;
            items += items.empty() ? "" : ",";
            items += object_text(name, item.version, item.value);
        }
    }
    return {200,
            "{\"revision\":" + std::to_string(m_revision) + ",\"objects\":[" + items + "]}",
            {},
            false};
}

http_response
object_store::put(std::string const& kind, std::string const& name, http_request const& request)
{
    auto const expected = parse_number(request.header("if-match"));
    if (!expected)
        return make_error(400,
                          "If-Match must be a version; 0 means that the object must not exist");
    if (request.body.size() > largest_value)
        return make_error(413, "a value holds at most 1048576 bytes");
    boost::system::error_code failure;
    auto const value = json::parse(request.body, failure);
    if (failure)
        return make_error(400, "the value is not JSON");
    auto& item = m_objects[kind][name];
    auto const version_text = [&item]()
    {
        return json::serialize(json::object{{"version", item.version}});
    };
    if (item.version != *expected)
    {
        ++m_counts[kind]["conflict"];
        http_response response{412, version_text(), {}, false};
        if (item.version == 0)
            m_objects[kind].erase(name);
        return response;
    }
    ++item.version;
    item.revision = ++m_revision;
    item.value = json::serialize(value);
    answer_watches(kind);
    bool const is_lost = std::bernoulli_distribution(m_control.lost_answers)(m_random);
    if (is_lost)
        ++m_counts[kind]["lost_answer"];
    return {200, version_text(), {}, is_lost};
}

void object_store::watch(std::string const& kind,
                         http_request const& request,
                         kernel::monotonic_time now,
                         delayed_responder const& respond)
{
    auto const after = query_number(request, "after");
    auto const wait_ms = query_number(request, "wait_ms");
    if (!after || !wait_ms || *wait_ms > longest_wait_ms)
    {
        respond(make_error(400, "after and wait_ms (at most 60000) must be numbers"), 0);
        return;
    }
    if (has_change(kind, *after) || *wait_ms == 0)
    {
        respond(list(kind, *after), m_control.slow_ms);
        return;
    }
    m_watches.push_back({kind, *after, now + std::chrono::milliseconds(*wait_ms), respond});
}

bool object_store::has_change(std::string const& kind, std::uint64_t after) const
{
    auto const found_kind = m_objects.find(kind);
    return found_kind != m_objects.end() && std::any_of(found_kind->second.begin(),
                                                        found_kind->second.end(),
                                                        [after](auto const& item)
                                                        {
                                                            return item.second.revision > after;
                                                        });
}

void object_store::answer_watches(std::string const& kind)
{
    for (auto waiting = m_watches.begin(); waiting != m_watches.end();)
    {
        if (waiting->kind != kind)
        {
            ++waiting;
            continue;
        }
        waiting->respond(list(kind, waiting->after), m_control.slow_ms);
        waiting = m_watches.erase(waiting);
    }
}

void object_store::end_watches(kernel::monotonic_time now)
{
    for (auto waiting = m_watches.begin(); waiting != m_watches.end();)
    {
        if (!m_control.has_outage && waiting->ends_at > now)
        {
            ++waiting;
            continue;
        }
        waiting->respond(m_control.has_outage ? make_error(503, "outage")
                                              : list(waiting->kind, waiting->after),
                         m_control.slow_ms);
        waiting = m_watches.erase(waiting);
    }
}

http_response object_store::handle_control(http_request const& request)
{
    if (request.method == "POST")
    {
        try
        {
            auto const document = json::parse(request.body);
            for (auto const& item : document.as_object())
            {
                if (item.key() == "outage")
                    m_control.has_outage = item.value().as_bool();
                else if (item.key() == "slow_ms")
                    m_control.slow_ms = item.value().to_number<std::uint32_t>();
                else if (item.key() == "lost_answers")
                    m_control.lost_answers = std::clamp(item.value().to_number<double>(), 0.0, 1.0);
                else if (item.key() == "seed")
                    m_random.seed(item.value().to_number<std::uint64_t>());
                else if (item.key() == "reads_per_second")
                    m_control.reads_per_second = item.value().to_number<double>();
                else if (item.key() == "writes_per_second")
                    m_control.writes_per_second = item.value().to_number<double>();
                else
                    return make_error(400, "unknown key " + std::string(item.key()));
            }
        }
        catch (std::exception const& failure)
        {
            return make_error(400, failure.what());
        }
    }
    json::object counts;
    for (auto const& [kind, operations] : m_counts)
    {
        auto& kind_counts = counts[kind].emplace_object();
        for (auto const& [operation, count] : operations)
            kind_counts[operation] = count;
    }
    return {200,
            json::serialize(json::object{{"outage", m_control.has_outage},
                                         {"slow_ms", m_control.slow_ms},
                                         {"lost_answers", m_control.lost_answers},
                                         {"reads_per_second", m_control.reads_per_second},
                                         {"writes_per_second", m_control.writes_per_second},
                                         {"revision", m_revision},
                                         {"counts", counts}}),
            {},
            false};
}

} // namespace pistachiohub::standins
