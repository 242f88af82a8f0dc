#include "standins/answer.hpp"
#include "standins/backend_server/backend_server.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace pistachiohub
{

namespace
{

class backend_server_fixture
{
protected:
    std::vector<std::string> m_log;
    std::vector<std::function<void()>> m_running;
    std::vector<kernel::duration> m_service_times;
    int m_crashes = 0;
    kernel::monotonic_time m_now{std::chrono::seconds(1000)};
    standins::backend_server m_server{make_options(), make_effects(), m_now};
    std::vector<standins::http_response> m_responses;

    static standins::backend_options make_options()
    {
        standins::backend_options options;
        options.slots = 2;
        options.cold_start_ms = 100;
        options.crash_marker = "crash";
        return options;
    }

    standins::backend_effects make_effects()
    {
        return {[this](kernel::duration delay, std::function<void()> task)
                {
                    m_service_times.push_back(delay);
                    m_running.push_back(std::move(task));
                },
                [this](std::string_view line)
                {
                    m_log.emplace_back(line);
                },
                [this]()
                {
                    ++m_crashes;
                }};
    }

    void call(std::string const& path, std::string const& id, std::string const& body = "")
    {
        standins::http_request const request{
            "POST", path, {}, {{"request-id", id}, {"attempt", "1"}, {"deadline-ms", "100"}}, body};
        m_server.handle(request,
                        m_now,
                        [this](standins::http_response response)
                        {
                            m_responses.push_back(std::move(response));
                        });
    }
};

} // namespace

TEST_CASE_METHOD(backend_server_fixture,
                 "backend_server_full_slots_shed_before_start",
                 "[standins]")
{
    call("/run", "a");
    call("/run", "b");
    call("/run", "c");
    REQUIRE(m_responses.size() == 1);
    CHECK(m_responses[0].status == 503);
    CHECK(m_responses[0].headers[0].first == "Not-Started");
    CHECK(m_log.size() == 2);
    m_running[0]();
    CHECK(m_responses[1].status == 200);
    CHECK(m_responses[1].headers.back().second == "1/2");
}

// Without the tombstone a dispatch that arrives after its cancellation would still run.
TEST_CASE_METHOD(backend_server_fixture,
                 "backend_server_cancelled_request_is_never_started",
                 "[standins]")
{
    call("/cancel", "a");
    call("/run", "a");
    CHECK(m_responses[0].body == R"({"result":"cancelled"})");
    CHECK(m_responses[1].status == 503);
    call("/run", "b");
    call("/cancel", "b");
    CHECK(m_responses.back().body == R"({"result":"started"})");
    CHECK(m_log.size() == 1);
}

TEST_CASE_METHOD(backend_server_fixture, "backend_server_leaving_server_refuses_work", "[standins]")
{
    call("/control", "", R"({"state": "leaving"})");
    call("/run", "a");
    CHECK(m_responses.back().status == 503);
    CHECK(m_log.empty());
}

// A crash that was not logged first would count as a request that did not run.
TEST_CASE_METHOD(backend_server_fixture,
                 "backend_server_crash_marker_is_logged_first",
                 "[standins]")
{
    call("/run", "a", "please crash");
    CHECK(m_crashes == 1);
    CHECK(m_log.size() == 1);
}

TEST_CASE_METHOD(backend_server_fixture, "backend_server_cold_start_halves_the_speed", "[standins]")
{
    call("/run", "a");
    m_now += std::chrono::milliseconds(101);
    call("/run", "b");
    CHECK(m_service_times[0] == 2 * m_service_times[1]);
}

// A check that passed foreign or cut answers would hide a violation of I3.
TEST_CASE("answer_of_another_request_or_cut_answer_is_found", "[standins]")
{
    auto const answer = standins::make_answer("h/1/2/a", "body", 10);
    CHECK(standins::check_answer(answer, "h/1/2/a", "body").is_own);
    CHECK(standins::check_answer(answer, "h/1/2/a", "body").is_whole);
    CHECK_FALSE(standins::check_answer(answer, "h/1/2/b", "body").is_own);
    CHECK_FALSE(standins::check_answer(answer, "h/1/2/a", "other").is_own);
    auto const cut = answer.substr(0, answer.size() - 1);
    CHECK_FALSE(standins::check_answer(cut, "h/1/2/a", "body").is_whole);
}

} // namespace pistachiohub
