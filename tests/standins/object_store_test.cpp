#include "standins/object_store/store.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace pistachiohub
{

namespace
{

class object_store_fixture
{
protected:
    standins::object_store m_store{{}, 1};
    kernel::monotonic_time m_now{std::chrono::seconds(1000)};
    std::vector<standins::http_response> m_responses;

    standins::http_response call(std::string const& method,
                                 std::string const& path,
                                 std::string const& body = "",
                                 std::string const& version = "")
    {
        standins::http_request request{method, path, {}, {{"if-match", version}}, body};
        m_store.handle(request,
                       m_now,
                       [this](standins::http_response response, std::uint32_t)
                       {
                           m_responses.push_back(std::move(response));
                       });
        return m_responses.empty() ? standins::http_response{} : m_responses.back();
    }

    void watch(std::string const& after)
    {
        standins::http_request const request{
            "GET", "/watch/hosts", {{"after", after}, {"wait_ms", "1000"}}, {}, ""};
        m_store.handle(request,
                       m_now,
                       [this](standins::http_response response, std::uint32_t)
                       {
                           m_responses.push_back(std::move(response));
                       });
    }
};

} // namespace

// A store that accepted two writers of one version would hide lost patches.
TEST_CASE_METHOD(object_store_fixture,
                 "object_store_write_against_stale_version_is_refused",
                 "[standins]")
{
    CHECK(call("PUT", "/objects/hosts/a", "{}", "0").body == R"({"version":1})");
    auto const refused = call("PUT", "/objects/hosts/a", "{}", "0");
    CHECK(refused.status == 412);
    CHECK(refused.body == R"({"version":1})");
    CHECK(call("PUT", "/objects/hosts/b", "{}", "3").body == R"({"version":0})");
    CHECK(call("GET", "/objects/hosts/b").status == 404);
    CHECK(call("GET", "/objects/hosts/a").body == R"({"name":"a","version":1,"value":{}})");
}

TEST_CASE_METHOD(object_store_fixture,
                 "object_store_watch_is_answered_by_change_or_end_of_wait",
                 "[standins]")
{
    m_store.load(R"({"hosts": {"a": 1}, "configuration": {"current": 2}})");
    watch("2");
    CHECK(m_responses.empty());
    call("PUT", "/objects/configuration/current", "3", "1");
    CHECK(m_responses.size() == 1);
    call("PUT", "/objects/hosts/b", "4", "0");
    REQUIRE(m_responses.size() == 3);
    CHECK(m_responses[1].body ==
          R"({"revision":4,"objects":[{"name":"b","version":1,"value":4}]})");
    watch("4");
    m_store.end_watches(m_now + std::chrono::milliseconds(1001));
    REQUIRE(m_responses.size() == 4);
    CHECK(m_responses.back().body == R"({"revision":4,"objects":[]})");
}

// The answer must be lost after the write took effect, otherwise the fault is not the one asked
// for.
TEST_CASE_METHOD(object_store_fixture,
                 "object_store_lost_answer_comes_after_the_write_took_effect",
                 "[standins]")
{
    CHECK(call("POST", "/control", R"({"lost_answers": 1, "seed": 7})").status == 200);
    CHECK(call("PUT", "/objects/hosts/a", "5", "0").is_lost);
    CHECK(call("GET", "/objects/hosts/a").body == R"({"name":"a","version":1,"value":5})");
}

TEST_CASE_METHOD(object_store_fixture,
                 "object_store_calls_over_rate_and_in_outage_are_refused",
                 "[standins]")
{
    call("POST", "/control", R"({"writes_per_second": 1})");
    CHECK(call("PUT", "/objects/hosts/a", "1", "0").status == 200);
    CHECK(call("PUT", "/objects/hosts/a", "2", "1").status == 429);
    m_now += std::chrono::seconds(1);
    CHECK(call("PUT", "/objects/hosts/a", "2", "1").status == 200);
    call("POST", "/control", R"({"outage": true})");
    CHECK(call("GET", "/objects/hosts/a").status == 503);
    auto const state = call("GET", "/control").body;
    CHECK(state.find(R"("hosts":{"over_rate":1,"put":3})") != std::string::npos);
}

} // namespace pistachiohub
