#include "libraries/object_store/object_store.hpp"

#include "kernel/log.hpp"
#include "libraries/http/target.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <set>

namespace pistachiohub::object_store
{

namespace
{

// Longer names may exceed what a store takes in a target.
constexpr std::size_t max_plain_name_bytes = 256;

http::client_limits limit_answers(http::client_limits limits, dialect const& spoken)
{
    limits.largest_answer = std::min(limits.largest_answer, spoken.largest_answer);
    return limits;
}

bool is_plain_name(object const& listed)
{
    return !listed.name.empty() && listed.name.size() <= max_plain_name_bytes &&
           http::is_plain_target_part(listed.name);
}

// Chooses the name after which the next page begins, and removes the objects behind it, which that
// page repeats. A plain name comes first: a store may refuse or misread any other.
// @returns an empty name if no object of the page has one.
std::string take_cursor(std::vector<object>& objects)
{
    auto found = std::find_if(objects.rbegin(), objects.rend(), is_plain_name);
    if (found == objects.rend())
        found = std::find_if(objects.rbegin(),
                             objects.rend(),
                             [](object const& listed)
                             {
                                 return !listed.name.empty();
                             });
    if (found == objects.rend())
        return {};
    objects.erase(found.base(), objects.end());
    return objects.back().name;
}

} // namespace

std::string_view to_string(status value)
{
    // In the order of the enumeration.
    constexpr std::array<std::string_view, 8> names{"ok",
                                                    "missing",
                                                    "conflict",
                                                    "over_rate",
                                                    "outage",
                                                    "lost_answer",
                                                    "cancelled",
                                                    "history_gone"};
    return names.at(static_cast<std::size_t>(value));
}

client::client(kernel::endpoint const& store, http::client_limits limits, dialect const& spoken)
    : m_limits(limits)
    , m_dialect(spoken)
    , m_http(store.address, store.port, limit_answers(limits, spoken))
{
}

read_result client::read(std::string_view kind, std::string_view name)
{
    try
    {
        auto const answer = m_http.send(m_dialect.make_read(kind, name));
        auto const end = m_dialect.read_status(answer.status);
        if (end != status::ok)
            return {end, {}};
        return {status::ok, m_dialect.decode_object(answer.body)};
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
    list_result result;
    std::string after;
    std::set<std::string> cursors;
    for (bool has_more = true; has_more;)
    {
        auto read = read_page(m_dialect.make_list(kind, after),
                              m_limits.read_timeout,
                              m_dialect.decode_list,
                              has_more);
        if (read.end != status::ok)
            return read;
        if (after.empty())
        {
            result.revision = read.revision;
            result.generation = read.generation;
        }
        if (is_other_generation(result.generation, read.generation))
            return {status::history_gone, 0, {}, read.generation};
        if (has_more)
            after = take_cursor(read.objects);
        // A page that claims to be followed by others, but names no object, would repeat for ever.
        has_more = has_more && !after.empty();
        if (has_more && !cursors.insert(after).second)
        {
            kernel::log_event(kernel::log_level::error,
                              "store",
                              "list_repeats",
                              {{"kind", kind}, {"after", std::string_view(after)}});
            return {status::outage, 0, {}, read.generation};
        }
        for (auto& object : read.objects)
            result.objects.push_back(std::move(object));
    }
    result.end = status::ok;
    return result;
}

list_result
client::watch(std::string_view kind, position const& since, std::chrono::milliseconds wait)
{
    bool has_more = false;
    auto read = read_page(m_dialect.make_watch(kind, since, wait),
                          m_limits.read_timeout + wait,
                          m_dialect.decode_changes,
                          has_more);
    bool const is_restored =
        read.end == status::ok && is_other_generation(since.generation, read.generation);
    // More changes than an answer holds can only be read as a list, which comes in pages.
    if (is_restored || read.is_too_large)
        return {status::history_gone, 0, {}, read.generation};
    return read;
}

std::uint64_t client::generation_of(http::response const& answer) const
{
    if (m_dialect.generation_header.empty())
        return 0;
    auto const text = answer.find_header(m_dialect.generation_header).value_or("");
    std::uint64_t generation = 0;
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), generation);
    bool const is_number = failure == std::errc{} && end == text.data() + text.size();
    return is_number ? generation : 0;
}

list_result client::read_page(http::request const& wanted,
                              kernel::duration read_timeout,
                              page (*decode)(std::string_view body),
                              bool& has_more)
{
    has_more = false;
    try
    {
        auto const answer = m_http.send(wanted, read_timeout);
        auto const end = m_dialect.read_status(answer.status);
        auto const generation = generation_of(answer);
        if (end != status::ok)
            return {end, 0, {}, generation};
        auto read = decode(answer.body);
        has_more = read.has_more;
        return {status::ok, read.revision, std::move(read.objects), generation, read.age};
    }
    catch (http::cancelled const&)
    {
        return {status::cancelled, 0, {}};
    }
    catch (http::too_large const&)
    {
        list_result refused;
        refused.is_too_large = true;
        return refused;
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
                           std::string_view value)
{
    http::request wanted;
    try
    {
        wanted = m_dialect.make_write(kind, name, expected_version, value);
    }
    // Nothing was sent. One value that cannot be written must not end the thread of its writer.
    catch (std::exception const& failure)
    {
        kernel::log_event(kernel::log_level::error,
                          "store",
                          "value_not_writable",
                          {{"kind", kind},
                           {"name", name},
                           {"bytes", value.size()},
                           {"error", std::string_view(failure.what())}});
        return {status::outage, 0};
    }
    return change(wanted, m_dialect.decode_written);
}

write_result
client::remove(std::string_view kind, std::string_view name, std::uint64_t expected_version)
{
    // The answer to a removal need not describe an object.
    return change(m_dialect.make_remove(kind, name, expected_version), nullptr);
}

write_result client::change(http::request const& wanted,
                            std::uint64_t (*decode)(std::string_view body))
{
    try
    {
        auto const answer = m_http.send(wanted);
        auto const end = m_dialect.write_status(answer.status);
        auto const generation = generation_of(answer);
        if (decode == nullptr || (end != status::ok && end != status::conflict))
            return {end, 0, generation};
        return {end, decode(answer.body), generation};
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

void client::disconnect()
{
    m_http.disconnect();
}

void client::cancel()
{
    m_http.cancel();
}

} // namespace pistachiohub::object_store
