#include "standins/caller/history.hpp"

#include "standins/answer.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace pistachiohub::standins
{

namespace
{

namespace json = boost::json;

std::string_view to_string(caller::exchange_end end)
{
    switch (end)
    {
    case caller::exchange_end::answered:
        return "answered";
    case caller::exchange_end::never_sent:
        return "never_sent";
    case caller::exchange_end::lost:
        return "lost";
    case caller::exchange_end::timed_out:
        return "timed_out";
    }
    return "unknown";
}

json::array make_transmissions(caller::used_id const& used)
{
    json::array result;
    for (auto const& sent : used.transmissions)
    {
        json::object item{
            {"host", sent.host}, {"number", sent.number}, {"end", to_string(sent.end)}};
        if (sent.told)
            item["outcome"] = pistachiohub::to_string(*sent.told);
        if (sent.cause)
            item["reason"] = pistachiohub::to_string(*sent.cause);
        result.push_back(std::move(item));
    }
    return result;
}

json::object make_line(std::string_view type, finished_call const& call)
{
    return {{"type", type},
            {"call", call.name},
            {"service", call.service},
            {"kind", call.kind},
            {"start_ms", call.started_ms},
            {"end_ms", call.ended_ms}};
}

void add_answer(json::object& line, finished_call const& call, caller::used_id const& used)
{
    if (used.told != outcome::ran || used.cause != reason::ok)
        return;
    auto const checked = check_answer(call.result.answer, identity::to_string(used.id), call.body);
    line["digest"] = digest(call.result.answer);
    line["own"] = checked.is_own;
    line["whole"] = checked.is_whole;
}

json::object make_id_line(finished_call const& call, caller::used_id const& used)
{
    auto line = make_line("id", call);
    line["id"] = identity::to_string(used.id);
    line["outcome"] = used.is_never_sent ? "never_sent" : pistachiohub::to_string(used.told);
    line["reason"] = pistachiohub::to_string(used.cause);
    line["transmissions"] = make_transmissions(used);
    add_answer(line, call, used);
    return line;
}

json::object make_call_line(finished_call const& call)
{
    auto line = make_line("call", call);
    line["latency_us"] =
        std::chrono::duration_cast<std::chrono::microseconds>(call.latency).count();
    line["outcome"] = pistachiohub::to_string(call.result.result);
    line["reason"] = pistachiohub::to_string(call.result.cause);
    line["ids"] = call.result.ids.size();
    if (!call.result.ids.empty())
    {
        line["id"] = identity::to_string(call.result.ids.back().id);
        add_answer(line, call, call.result.ids.back());
    }
    return line;
}

// The smallest value that is not exceeded by the given fraction of sorted values.
double quantile(std::vector<double> const& sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    auto const position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

} // namespace

history::history(std::string const& path)
    : m_file(path)
{
    if (!m_file)
        throw history_error("cannot write the history " + path);
}

void history::add(finished_call const& call)
{
    std::string lines;
    for (auto const& used : call.result.ids)
        lines += json::serialize(make_id_line(call, used)) + '\n';
    auto const call_line = make_call_line(call);
    lines += json::serialize(call_line) + '\n';
    std::lock_guard const lock(m_mutex);
    m_file << lines;
    auto const result = call.result.result;
    ++(result == outcome::ran ? m_ran : result == outcome::not_run ? m_not_run : m_unresolved);
    if (result != outcome::ran || call.result.cause != reason::ok)
        return;
    m_latencies_ms.push_back(std::chrono::duration<double, std::milli>(call.latency).count());
    if (!call_line.at("own").as_bool() || !call_line.at("whole").as_bool())
        ++m_wrong_answers;
}

std::string history::summary()
{
    std::lock_guard const lock(m_mutex);
    m_file.flush();
    std::sort(m_latencies_ms.begin(), m_latencies_ms.end());
    return json::serialize(json::object{{"ran", m_ran},
                                        {"not_run", m_not_run},
                                        {"unresolved", m_unresolved},
                                        {"wrong_answers", m_wrong_answers},
                                        {"p50_ms", quantile(m_latencies_ms, 0.5)},
                                        {"p99_ms", quantile(m_latencies_ms, 0.99)},
                                        {"p99_9_ms", quantile(m_latencies_ms, 0.999)}});
}

} // namespace pistachiohub::standins
