#include "plugins/backend/server_protocol.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using namespace backend;
using events::attempt_end;

std::string const own_id = "host-1/1024/7/a";

server_answer make_answer(unsigned status)
{
    server_answer answer;
    answer.status = status;
    answer.has_content_length = true;
    answer.request_id = own_id;
    answer.attempt = "2";
    answer.body = "b";
    return answer;
}

attempt_end end_of(server_answer const& answer)
{
    return classify_answer(answer, own_id, "2");
}

} // namespace

// An answer that does not name this attempt belongs to another caller.
TEST_CASE("server_protocol_answer_without_exact_echo_is_broken", "[backend]")
{
    auto answer = make_answer(200);
    CHECK(end_of(answer) == attempt_end::answered);
    answer.request_id = GENERATE("", "host-1/1024/7/b", "host-1/1024/7/a,host-1/1024/7/a");
    CHECK(end_of(answer) == attempt_end::broken);
    answer = make_answer(200);
    answer.attempt = GENERATE("", "1", "02");
    CHECK(end_of(answer) == attempt_end::broken);
    answer = make_answer(200);
    answer.has_content_length = false;
    CHECK(end_of(answer) == attempt_end::broken);
}

// A refusal is proof that nothing ran, so nothing weaker may count as one.
TEST_CASE("server_protocol_only_503_with_not_started_is_refused", "[backend]")
{
    auto answer = make_answer(503);
    answer.not_started = "1";
    CHECK(end_of(answer) == attempt_end::refused);
    answer.request_id.clear();
    answer.attempt.clear();
    CHECK(end_of(answer) == attempt_end::refused);
    answer.attempt = "1";
    CHECK(end_of(answer) == attempt_end::broken);
    answer = make_answer(503);
    answer.not_started = GENERATE("", "0", "true", "1,1");
    CHECK(end_of(answer) == attempt_end::broken);
    answer = make_answer(GENERATE(100U, 201U, 404U, 500U, 504U));
    answer.not_started = "1";
    CHECK(end_of(answer) == attempt_end::broken);
}

TEST_CASE("server_protocol_cancellation_needs_exact_result", "[backend]")
{
    auto answer = make_answer(200);
    answer.body = R"({"result":"cancelled"})";
    CHECK(is_cancelled(answer, own_id, "2"));
    CHECK_FALSE(is_cancelled(answer, own_id, "3"));
    answer.status = 503;
    CHECK_FALSE(is_cancelled(answer, own_id, "2"));
    answer.status = 200;
    answer.body = GENERATE("", "cancelled", R"({"result":"started"})", R"({"result":true})", "[]");
    CHECK_FALSE(is_cancelled(answer, own_id, "2"));
}

// A wrong report would steer traffic to a full or leaving server.
TEST_CASE("server_protocol_reports_are_checked", "[backend]")
{
    auto answer = make_answer(200);
    CHECK_FALSE(read_report(answer));
    answer.load = "3/4";
    CHECK(read_report(answer)->load == 0.75);
    CHECK_FALSE(read_report(answer)->is_leaving);
    answer.server_state = "leaving";
    CHECK(read_report(answer)->is_leaving == true);
    answer.body = R"({"slots":4,"in_flight":1,"state":"live"})";
    CHECK(read_probe(answer)->load == 0.25);
    answer.body = GENERATE(R"({"slots":0,"in_flight":1,"state":"live"})",
                           R"({"slots":4,"in_flight":-1,"state":"live"})",
                           R"({"slots":4,"in_flight":1,"state":"up"})",
                           R"({"slots":"4","in_flight":1,"state":"live"})",
                           "{",
                           "[[[[");
    CHECK_FALSE(read_probe(answer));
    answer = make_answer(200);
    answer.load = GENERATE("", "1", "/", "1/0", "-1/4", "1/4/4", "99999999999/4");
    CHECK_FALSE(read_report(answer));
}

} // namespace pistachiohub
