#include "plugins/front/answer_builder.hpp"
#include "plugins/front/request_parser.hpp"
#include "tests/support/duty_fixture.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace pistachiohub
{

namespace
{

using namespace front;

reason cause_of(parsed_request const& parsed)
{
    auto const* const refused = std::get_if<refusal>(&parsed);
    return refused == nullptr ? reason::ok : refused->cause;
}

request_head lookup_head(std::string_view target)
{
    return {"GET", target, {}, {}, {}};
}

request_head submit_head()
{
    return {"POST", "/v1/requests/redeem", {"host-1/1024/7/a", 1}, {"900", 1}, {}};
}

} // namespace

TEST_CASE("request_parser_valid_requests_are_read", "[front]")
{
    auto const lookup = parse_request(lookup_head("/v1/lookup?service=balance&client=10.1.2.3"));
    CHECK(std::get<lookup_query>(lookup).service == "balance");
    CHECK(std::get<lookup_query>(lookup).client == 0x0a010203U);
    auto head = submit_head();
    head.transmission = {"2", 1};
    auto const parsed = parse_request(head);
    auto const& submitted = std::get<submission>(parsed);
    CHECK(submitted.service == "redeem");
    CHECK(submitted.id->unique == "a");
    CHECK(submitted.remaining == std::chrono::milliseconds(900));
    CHECK(submitted.transmission == 2);
}

// A lookup for the wrong client or service would send callers to the wrong region.
TEST_CASE("request_parser_bad_query_is_refused", "[front]")
{
    auto const* const query = GENERATE("",
                                       "?",
                                       "?client=10.0.0.1",
                                       "?service=",
                                       "?service=a&service=b",
                                       "?service=a&client=10.0.0.256",
                                       "?service=a&client=10.0.0",
                                       "?service=a&client=::1",
                                       "?service=a&other=1",
                                       "?service=a&client",
                                       "?service=a&client=10.0.0.1&client=10.0.0.1");
    CHECK(cause_of(parse_request(lookup_head(std::string("/v1/lookup") + query))) ==
          reason::bad_query);
}

// A deadline or an id read wrongly would run a request too late, or twice.
TEST_CASE("request_parser_bad_submission_header_is_refused", "[front]")
{
    auto head = submit_head();
    auto const* const deadline = GENERATE("", "0", "60001", "-1", "1.5", "10 ", "99999999999");
    head.deadline_ms = {deadline, 1};
    CHECK(cause_of(parse_request(head)) == reason::bad_deadline);
    head = submit_head();
    head.deadline_ms.occurrences = 2;
    CHECK(cause_of(parse_request(head)) == reason::bad_deadline);
    head = submit_head();
    head.request_id = {"host-1/1024/7", 1};
    CHECK(cause_of(parse_request(head)) == reason::bad_request_id);
    head = submit_head();
    head.request_id.occurrences = 2;
    CHECK(cause_of(parse_request(head)) == reason::bad_request_id);
    head = submit_head();
    head.transmission = {"0", 1};
    CHECK(cause_of(parse_request(head)) == reason::malformed_http);
}

TEST_CASE("request_parser_unknown_path_is_refused", "[front]")
{
    auto const* const target = GENERATE(
        "/", "", "*", "/v1/lookups", "/v1/requests/", "/v1/requests/a/b", "/v1/requests/redeem");
    CHECK(cause_of(parse_request(lookup_head(target))) == reason::unknown_path);
}

// Callers choose every byte of the head.
TEST_CASE("request_parser_any_text_is_parsed_or_refused", "[front]")
{
    CHECK(rc::check(
        [](std::string const& query, std::string const& id, std::string const& deadline)
        {
            static_cast<void>(parse_request(lookup_head("/v1/lookup?" + query)));
            request_head const head{"POST", "/v1/requests/a", {id, 1}, {deadline, 1}, {id, 1}};
            RC_ASSERT(cause_of(parse_request(head)) != reason::ok);
        }));
}

TEST_CASE("answer_builder_lookup_has_every_field_of_the_page", "[front]")
{
    auto const world = support::make_world("host-1", 1024);
    auto const answer = answer_lookup(&world, {"redeem", std::nullopt}, 0);
    CHECK(answer.status == 200);
    CHECK(boost::json::parse(answer.body) ==
          boost::json::parse(
              R"({"service":"redeem","kind":"at_most_once","configuration_version":7,
                  "ttl_ms":2000,"entry_hosts":[{"name":"host-1","address":"127.0.0.1","port":7001,
                  "incarnation":1024,"epoch":3,"failure_domain":"svealand-1"}]})"));
    CHECK(answer_lookup(&world, {"other", std::nullopt}, 0).status == 404);
    CHECK(answer_lookup(nullptr, {"redeem", std::nullopt}, 0).cause == reason::not_ready);
}

// Text with quotes must not break the JSON of an answer.
TEST_CASE("answer_builder_text_is_escaped", "[front]")
{
    auto world = support::make_world("host-1", 1024);
    world.entry_hosts[0].address = "a\"b\\c\n";
    auto const parsed = boost::json::parse(make_lookup_json(world, 0, std::nullopt, 0));
    CHECK(parsed.at("entry_hosts").at(0).at("address") == "a\"b\\c\n");
}

TEST_CASE("answer_builder_reply_status_follows_outcome", "[front]")
{
    auto const world = support::make_world("host-1", 1024);
    events::front_reply reply{
        1, {"host-1", 1024, 7, "a"}, outcome::not_run, reason::draining, "", "redeem", true};
    auto const refused = make_reply(&world, events::front_reply(reply), 0);
    CHECK(refused.status == 503);
    CHECK(refused.request_id == "host-1/1024/7/a");
    CHECK(boost::json::parse(refused.body).at("lookup").at("service") == "redeem");
    reply.result = outcome::unresolved;
    CHECK(make_reply(&world, events::front_reply(reply), 0).status == 504);
    reply.result = outcome::ran;
    reply.cause = reason::ok;
    reply.answer = "raw";
    auto const ran = make_reply(&world, events::front_reply(reply), 0);
    CHECK(ran.status == 200);
    CHECK(ran.body == "raw");
}

// A fenced journal can prove that a request ran, but holds no answer; status 200 with an empty body
// would pass for the whole answer (I3).
TEST_CASE("answer_builder_ran_without_answer_is_gone", "[front]")
{
    events::front_reply reply{
        1, {"host-1", 1024, 7, "a"}, outcome::ran, reason::fenced, "", "redeem", false};
    auto const answer = make_reply(nullptr, std::move(reply), 0);
    CHECK(answer.status == 410);
    CHECK(answer.result == outcome::ran);
    CHECK(boost::json::parse(answer.body).at("reason") == "fenced");
}

// Another entry host may have run an id that this one refuses, so only the caller's statement that
// it is the first transmission proves `not_run` (I4).
TEST_CASE("answer_builder_refusal_of_possible_resend_is_unresolved", "[front]")
{
    submission submitted{"redeem", identity::request_id{"host-1", 1024, 7, "a"}, 0, {}};
    submitted.transmission = GENERATE(0, 1, 2);
    auto const refused = check_submission(nullptr, submitted);
    REQUIRE(refused);
    auto const expected = submitted.transmission == 1 ? outcome::not_run : outcome::unresolved;
    CHECK(make_refusal(*refused).result == expected);
}

} // namespace pistachiohub
