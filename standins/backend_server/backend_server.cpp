#include "standins/backend_server/backend_server.hpp"

#include "standins/answer.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace pistachiohub::standins
{

namespace
{

namespace json = boost::json;

constexpr double cold_start_factor = 2;
// An exponential draw is bounded, so that one draw does not decide a whole run.
constexpr double largest_exponential_factor = 10;

std::string attempt_key(http_request const& request)
{
    return request.header("request-id") + ' ' + request.header("attempt");
}

bool is_number(std::string const& text)
{
    return !text.empty() && text.size() < 10 &&
           std::all_of(text.begin(),
                       text.end(),
                       [](char character)
                       {
                           return character >= '0' && character <= '9';
                       });
}

http_response make_error(unsigned status, std::string_view message)
{
    return {status, json::serialize(json::object{{"message", message}}), {}, false};
}

} // namespace

backend_server::backend_server(backend_options options,
                               backend_effects effects,
                               kernel::monotonic_time now)
    : m_options(std::move(options))
    , m_effects(std::move(effects))
    , m_cold_until(now + std::chrono::milliseconds(m_options.cold_start_ms))
    , m_random(m_options.seed)
{
}

void backend_server::handle(http_request const& request,
                            kernel::monotonic_time now,
                            http_responder const& respond)
{
    bool const is_post = request.method == "POST";
    if (is_post && request.path == "/run")
        run(request, now, respond);
    else if (is_post && request.path == "/cancel")
        respond(cancel(request));
    else if (request.method == "GET" && request.path == "/load")
        respond(m_is_load_reported ? load_report() : make_error(404, "load is not reported"));
    else if (request.path == "/control")
        respond(handle_control(request, now));
    else
        respond(make_error(404, "unknown path or method"));
}

void backend_server::run(http_request const& request,
                         kernel::monotonic_time now,
                         http_responder const& respond)
{
    bool const is_valid = !request.header("request-id").empty() &&
                          is_number(request.header("attempt")) &&
                          is_number(request.header("deadline-ms"));
    if (!is_valid)
        respond(make_error(400, "Request-Id, Attempt and Deadline-Ms are required"));
    else if (m_is_leaving)
        respond(not_started("leaving"));
    else if (m_tombstones.contains(attempt_key(request)))
        respond(not_started("cancelled before its start"));
    else if (request.header("deadline-ms") == "0")
        respond(not_started("deadline has passed"));
    else if (m_in_flight >= m_options.slots)
        respond(not_started("all slots are in use"));
    else if (std::bernoulli_distribution(m_shed_probability)(m_random))
        respond(not_started("shed"));
    else
        start(request, now, respond);
}

void backend_server::start(http_request const& request,
                           kernel::monotonic_time now,
                           http_responder const& respond)
{
    auto const id = request.header("request-id");
    auto const attempt = request.header("attempt");
    m_started.insert(attempt_key(request));
    ++m_started_count;
    m_effects.log(json::serialize(json::object{{"time_ms", kernel::wall_clock_ms()},
                                               {"server", m_options.name},
                                               {"service", m_options.service},
                                               {"id", id},
                                               {"attempt", std::stoul(attempt)}}) +
                  '\n');
    if (!m_options.crash_marker.empty() &&
        request.body.find(m_options.crash_marker) != std::string::npos)
    {
        m_effects.crash();
        return;
    }
    ++m_in_flight;
    // Started work is not stopped at its deadline: its effect cannot be undone.
    m_effects.after(draw_service_time(now),
                    [this, id, attempt, body = request.body, respond]()
                    {
                        --m_in_flight;
                        http_response response;
                        response.body = make_answer(id, body, m_options.answer_padding);
                        response.headers = {{"Request-Id", id}, {"Attempt", attempt}};
                        add_state(response);
                        respond(std::move(response));
                    });
}

http_response backend_server::cancel(http_request const& request)
{
    if (request.header("request-id").empty() || !is_number(request.header("attempt")))
        return make_error(400, "Request-Id and Attempt are required");
    bool const is_started = m_started.contains(attempt_key(request));
    if (!is_started)
        m_tombstones.insert(attempt_key(request));
    http_response response{
        200, is_started ? R"({"result":"started"})" : R"({"result":"cancelled"})", {}, false};
    add_state(response);
    return response;
}

http_response backend_server::load_report() const
{
    return {200,
            json::serialize(json::object{{"slots", m_options.slots},
                                         {"in_flight", m_in_flight},
                                         {"state", m_is_leaving ? "leaving" : "live"}}),
            {},
            false};
}

http_response backend_server::handle_control(http_request const& request,
                                             kernel::monotonic_time now)
{
    try
    {
        auto const document =
            request.method == "POST" ? json::parse(request.body).as_object() : json::object();
        for (auto const& item : document)
        {
            if (item.key() == "state")
            {
                bool const is_leaving = item.value().as_string() == "leaving";
                if (m_is_leaving && !is_leaving)
                    m_cold_until = now + std::chrono::milliseconds(m_options.cold_start_ms);
                m_is_leaving = is_leaving;
            }
            else if (item.key() == "report_load")
                m_is_load_reported = item.value().as_bool();
            else if (item.key() == "shed")
                m_shed_probability = std::clamp(item.value().to_number<double>(), 0.0, 1.0);
            else if (item.key() == "service_time_ms")
                m_options.mean_service_time_ms = item.value().to_number<double>();
            else
                return make_error(400, "unknown key " + std::string(item.key()));
        }
    }
    catch (std::exception const& failure)
    {
        return make_error(400, failure.what());
    }
    return {200,
            json::serialize(json::object{{"state", m_is_leaving ? "leaving" : "live"},
                                         {"in_flight", m_in_flight},
                                         {"started", m_started_count},
                                         {"shed", m_shed_probability},
                                         {"report_load", m_is_load_reported},
                                         {"service_time_ms", m_options.mean_service_time_ms}}),
            {},
            false};
}

http_response backend_server::not_started(std::string_view message) const
{
    auto response = make_error(503, message);
    response.headers.emplace_back("Not-Started", "1");
    add_state(response);
    return response;
}

void backend_server::add_state(http_response& response) const
{
    response.headers.emplace_back("Server-State", m_is_leaving ? "leaving" : "live");
    if (m_is_load_reported)
        response.headers.emplace_back(
            "Load", std::to_string(m_in_flight) + '/' + std::to_string(m_options.slots));
}

kernel::duration backend_server::draw_service_time(kernel::monotonic_time now)
{
    double factor = 1;
    if (m_options.shape == service_time_shape::uniform)
        factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    else if (m_options.shape == service_time_shape::exponential)
        factor = std::min(largest_exponential_factor,
                          std::exponential_distribution<double>(1)(m_random));
    if (now < m_cold_until)
        factor *= cold_start_factor;
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double, std::milli>(m_options.mean_service_time_ms * factor));
}

} // namespace pistachiohub::standins
