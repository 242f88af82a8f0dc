#include "libraries/interface/interface.hpp"
#include "platform/documents.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace pistachiohub
{

namespace
{

using interface::document_error;

char const* const configuration_text = R"({"version": 7, "routes": {
    "r-1": {"host": "a.example", "path_prefix": "/x/", "kind": "idempotent", "timeout_ms": 1200,
        "target_latency_ms": 400, "priority": 2, "max_attempts": 2, "sticky": true,
        "home_regions": ["dakar"],
        "traffic_split": [{"service": "s-1", "weight": 90}, {"service": "s-2", "weight": 10}]},
    "r-2": {"host": "b.example", "path_prefix": "/y/", "kind": "non_idempotent", "timeout_ms": 800,
        "target_latency_ms": 300, "priority": 0, "service": "s-2", "max_attempts": 1}},
  "services": {
    "s-1": {"health_path": "/health", "max_conns": 360, "cold_start_s": 3.0, "cold_per_s": 5.4},
    "s-2": {"health_path": "/health", "max_conns": 360, "cold_start_s": 3.0, "cold_per_s": 5.4}},
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000}})";

char const* const server_value =
    R"({"addr": "10.128.0.9:8080", "born": 1700000000123,
        "info": {"service": "s-1", "version": "v1", "zone": "sve-a", "slots": 4}})";
char const* const server_status = R"({"state": "ready", "sequence": 4, "cold_left_ms": 250})";

char const* const tenants_text = R"("tenants": {
    "cuka620": {"api_keys": ["2rry", "rbn4"], "priority": 1, "rate_per_s": 923, "burst": 920.5,
        "home_regions": ["dakar"]},
    "other": {"api_keys": ["k-3"]}}, "limits")";

object_store::object make_object(std::string value, std::string observed = "")
{
    return {"i-1", 5, std::move(value), std::move(observed)};
}

/// Removes the member, or replaces its value by one of another type or out of range.
void mutate(boost::json::object& members, std::string const& key)
{
    auto const value = *rc::gen::element<std::string>("",
                                                      "null",
                                                      "true",
                                                      "-1",
                                                      "0.5",
                                                      "4294967296",
                                                      "18446744073709551615",
                                                      "1e308",
                                                      "\"\"",
                                                      "\"unknown\"",
                                                      "[]",
                                                      "[null]",
                                                      "[[]]",
                                                      "{}",
                                                      "[{\"weight\": 1}]");
    if (value.empty())
        members.erase(key);
    else
        members[key] = boost::json::parse(value);
}

std::string replace(std::string text, std::string const& old_part, std::string const& new_part)
{
    text.replace(text.find(old_part), old_part.size(), new_part);
    return text;
}

std::string with_tenants()
{
    return replace(configuration_text, "\"limits\"", tenants_text);
}

} // namespace

TEST_CASE("platform_configuration_is_decoded_into_routes", "[platform]")
{
    auto const decoded = platform::decode_configuration(make_object(configuration_text));
    CHECK(decoded.version == 7);
    REQUIRE(decoded.routes.size() == 2);
    auto const& first = decoded.routes[0];
    CHECK(first.kind == routing::request_kind::idempotent);
    CHECK(first.timeout == std::chrono::milliseconds(1200));
    CHECK(first.target_latency == std::chrono::milliseconds(400));
    CHECK(first.has_affinity);
    CHECK(first.home_regions == std::vector<std::string>{"dakar"});
    REQUIRE(first.split.size() == 2);
    CHECK(first.split[0].weight == 90);
    auto const& second = decoded.routes[1];
    CHECK(second.kind == routing::request_kind::at_most_once);
    CHECK_FALSE(second.has_affinity);
    REQUIRE(second.split.size() == 1);
    CHECK(second.split[0].service == "s-2");
    CHECK(decoded.services.at(0).most_connections == 360);
    CHECK(decoded.limits.idle_time == std::chrono::milliseconds(15000));
}

TEST_CASE("platform_download_is_decoded_as_idempotent", "[platform]")
{
    auto const text = replace(configuration_text, "\"idempotent\"", "\"download\"");
    auto const decoded = platform::decode_configuration(make_object(text));
    CHECK(decoded.routes.at(0).kind == routing::request_kind::idempotent);
    CHECK(decoded.unreadable.empty());
}

TEST_CASE("platform_upload_is_decoded_as_at_most_once", "[platform]")
{
    auto const text = replace(configuration_text, "\"idempotent\"", "\"upload\"");
    auto const decoded = platform::decode_configuration(make_object(text));
    CHECK(decoded.routes.at(0).kind == routing::request_kind::at_most_once);
    CHECK(decoded.routes.at(0).carries_uploads);
    CHECK_FALSE(decoded.routes.at(1).carries_uploads);
    CHECK(decoded.unreadable.empty());
}

TEST_CASE("platform_tenants_are_decoded_into_customers", "[platform][customer]")
{
    CHECK_FALSE(platform::decode_configuration(make_object(configuration_text)).customers);
    auto const decoded = platform::decode_configuration(make_object(with_tenants()));
    CHECK(decoded.unreadable.empty());
    REQUIRE(decoded.customers);
    REQUIRE(decoded.customers->size() == 2);
    auto const& first = decoded.customers->at(0);
    CHECK(first.name == "cuka620");
    CHECK(first.keys == std::vector<std::string>{"2rry", "rbn4"});
    CHECK(first.priority == 1);
    CHECK(first.requests_per_second == 923);
    CHECK(first.burst == 920.5);
    CHECK(first.home_regions == std::vector<std::string>{"dakar"});
    CHECK(first.is_readable);
    auto const& second = decoded.customers->at(1);
    CHECK(second.priority == 0);
    CHECK_FALSE(second.requests_per_second);
    CHECK(second.home_regions.empty());
    CHECK(second.is_readable);
}

TEST_CASE("platform_rate_missing_or_0_is_no_limit", "[platform][customer]")
{
    auto const rate = GENERATE(std::string("\"rate_per_s\": 0"),
                               std::string("\"rate_per_s\": 0.0"),
                               std::string("\"rate_per_s\": null"),
                               std::string("\"speed\": 923"));
    auto const decoded = platform::decode_configuration(
        make_object(replace(with_tenants(), "\"rate_per_s\": 923", rate)));
    CHECK(decoded.unreadable.empty());
    CHECK_FALSE(decoded.customers->at(0).requests_per_second);
    CHECK(decoded.customers->at(0).is_readable);
}

// Only requests with its own keys are refused, and no fault that is logged quotes a key.
TEST_CASE("platform_customer_with_unreadable_terms_keeps_its_keys", "[platform][customer]")
{
    auto const [good, bad] =
        GENERATE(table<std::string, std::string>({{"923", "-1"},
                                                  {"923", "1e300"},
                                                  {"923", "\"secret\""},
                                                  {"920.5", "-0.5"},
                                                  {"920.5", "{}"},
                                                  {"\"priority\": 1", "\"priority\": -1"},
                                                  {"\"priority\": 1", "\"priority\": \"secret\""},
                                                  {"[\"dakar\"]}", "[7, \"secret\"]}"},
                                                  {"[\"dakar\"]}", "\"secret\"}"},
                                                  {"\"cuka620\"", "\"a\\r\\nX-Evil: 1\""},
                                                  {"\"cuka620\"", "\"\""}}));
    auto const decoded =
        platform::decode_configuration(make_object(replace(with_tenants(), good, bad)));
    REQUIRE(decoded.customers->size() == 2);
    auto const& first = decoded.customers->at(0);
    CHECK_FALSE(first.is_readable);
    CHECK(first.has_all_keys);
    CHECK(first.keys == std::vector<std::string>{"2rry", "rbn4"});
    CHECK(decoded.customers->at(1).is_readable);
    REQUIRE(decoded.unreadable.size() == 1);
    CHECK(decoded.unreadable[0].path.starts_with("tenants."));
    CHECK(decoded.unreadable[0].fault.find("secret") == std::string::npos);
}

TEST_CASE("platform_customer_with_unreadable_keys_has_the_others", "[platform][customer]")
{
    auto const [keys, count] = GENERATE(table<std::string, std::size_t>({{"\"secret\"", 0},
                                                                         {"null", 0},
                                                                         {"{\"secret\": 1}", 0},
                                                                         {"[7, \"secret\"]", 1},
                                                                         {"[[\"secret\"]]", 0}}));
    auto const decoded = platform::decode_configuration(
        make_object(replace(with_tenants(), "[\"2rry\", \"rbn4\"]", keys)));
    auto const& first = decoded.customers->at(0);
    CHECK_FALSE(first.is_readable);
    CHECK_FALSE(first.has_all_keys);
    CHECK(first.keys.size() == count);
    CHECK(decoded.customers->at(1).is_readable);
    REQUIRE(decoded.unreadable.size() == 1);
    CHECK(decoded.unreadable[0].fault.find("secret") == std::string::npos);
}

// Read as missing, it would let everybody in.
TEST_CASE("platform_tenants_of_another_type_are_unreadable", "[platform][customer]")
{
    auto const value =
        GENERATE(std::string("null"), std::string("[\"secret\"]"), std::string("\"secret\""));
    auto const text =
        replace(configuration_text, "\"limits\"", "\"tenants\": " + value + ", \"limits\"");
    auto const decoded = platform::decode_configuration(make_object(text));
    REQUIRE(decoded.customers);
    CHECK(decoded.customers->empty());
    CHECK(decoded.are_customers_unreadable);
    REQUIRE(decoded.unreadable.size() == 1);
    CHECK(decoded.unreadable[0].fault.find("secret") == std::string::npos);
}

TEST_CASE("platform_exempt_route_is_decoded", "[platform][customer]")
{
    auto const [word, is_exempt] = GENERATE(table<std::string, bool>(
        {{"true", true}, {"false", false}, {"null", false}, {"\"true\"", false}, {"1", false}}));
    auto const text = replace(
        configuration_text, "\"sticky\": true", "\"sticky\": true, \"auth_exempt\": " + word);
    auto const decoded = platform::decode_configuration(make_object(text));
    CHECK(decoded.routes.at(0).is_key_exempt == is_exempt);
    CHECK(decoded.routes.at(0).is_readable);
    CHECK_FALSE(decoded.routes.at(1).is_key_exempt);
}

// Whatever happens to one value of a customer, no other customer changes, its keys name nobody
// else, and no fault quotes a key.
TEST_CASE("platform_mutated_customer_changes_no_other", "[platform][customer]")
{
    rc::prop("one mutated value of customer cuka620 changes nothing else",
             []()
             {
                 auto document = boost::json::parse(with_tenants()).get_object();
                 auto& tenants = document["tenants"].get_object();
                 bool const is_whole = *rc::gen::arbitrary<bool>();
                 auto& mutated = is_whole ? tenants : tenants.at("cuka620").get_object();
                 auto const position =
                     *rc::gen::inRange<std::size_t>(0, is_whole ? 1 : mutated.size());
                 auto const key = std::string((mutated.begin() + position)->key());
                 mutate(mutated, key);
                 auto const decoded =
                     platform::decode_configuration(make_object(boost::json::serialize(document)));
                 RC_ASSERT(decoded.customers.has_value());
                 RC_ASSERT(!decoded.are_customers_unreadable);
                 RC_ASSERT(decoded.routes.size() == 2U);
                 RC_ASSERT(decoded.routes.front().is_readable);
                 for (auto const& one : *decoded.customers)
                 {
                     if (one.name == "other")
                         RC_ASSERT(one.is_readable && one.keys.size() == 1U);
                     else
                         RC_ASSERT(one.name == "cuka620");
                     RC_ASSERT(one.has_all_keys || !one.is_readable);
                     for (auto const& key_of_one : one.keys)
                         RC_ASSERT(!key_of_one.empty());
                     if (one.requests_per_second)
                         RC_ASSERT(*one.requests_per_second > 0 && *one.requests_per_second <= 1e9);
                     RC_ASSERT(one.burst >= 0 && one.burst <= 1e9);
                 }
                 for (auto const& part : decoded.unreadable)
                     RC_ASSERT(part.fault.find("2rry") == std::string::npos);
             });
}

// A kind that is not known must never be taken as repeatable, and must not take the other routes
// down with it.
TEST_CASE("platform_unknown_kind_is_decoded_as_at_most_once", "[platform]")
{
    auto const unknown = GENERATE(std::string("\"kind\": \"keyed\""),
                                  std::string("\"kind\": 1"),
                                  std::string("\"kind\": null"),
                                  std::string("\"sort\": \"idempotent\""));
    auto const text = replace(configuration_text, "\"kind\": \"idempotent\"", unknown);
    auto const decoded = platform::decode_configuration(make_object(text));
    REQUIRE(decoded.routes.size() == 2);
    CHECK(decoded.routes[0].kind == routing::request_kind::at_most_once);
    CHECK(decoded.routes[0].is_readable);
    CHECK(decoded.routes[1].is_readable);
    REQUIRE(decoded.unreadable.size() == 1);
    CHECK(decoded.unreadable[0].path == "routes.r-1");
    CHECK(decoded.unreadable[0].fault.find("kind") != std::string::npos);
}

TEST_CASE("platform_route_with_unreadable_terms_is_marked", "[platform]")
{
    auto const [good, bad] = GENERATE(
        std::pair<std::string, std::string>("\"timeout_ms\": 1200", "\"timeout_ms\": \"1200\""),
        std::pair<std::string, std::string>("\"timeout_ms\": 1200", "\"timeout_ms\": 1e300"),
        std::pair<std::string, std::string>("\"priority\": 2", "\"priority\": 4294967298"),
        std::pair<std::string, std::string>("\"max_attempts\": 2", "\"max_attempts\": 0"),
        std::pair<std::string, std::string>("[\"dakar\"]", "\"dakar\""),
        std::pair<std::string, std::string>("\"weight\": 10", "\"weight\": -10"),
        std::pair<std::string, std::string>("\"traffic_split\"", "\"traffic\""));
    auto const decoded =
        platform::decode_configuration(make_object(replace(configuration_text, good, bad)));
    REQUIRE(decoded.routes.size() == 2);
    CHECK_FALSE(decoded.routes[0].is_readable);
    CHECK(decoded.routes[0].path_prefix == "/x/");
    CHECK(decoded.routes[1].is_readable);
    CHECK_FALSE(decoded.has_unplaced_route);
    CHECK(decoded.unreadable.size() == 1);
}

TEST_CASE("platform_split_part_without_service_keeps_the_other_parts", "[platform]")
{
    auto const text = replace(configuration_text, "\"service\": \"s-1\"", "\"service\": [\"s-1\"]");
    auto const decoded = platform::decode_configuration(make_object(text));
    auto const& route = decoded.routes.at(0);
    CHECK(route.is_readable);
    REQUIRE(route.split.size() == 2);
    CHECK(route.split[0].service.empty());
    CHECK(route.split[0].weight == 90);
    CHECK(route.split[1].service == "s-2");
}

TEST_CASE("platform_route_without_place_is_left_out", "[platform]")
{
    auto const [good, bad] = GENERATE(
        std::pair<std::string, std::string>("\"host\": \"a.example\"", "\"host\": 7"),
        std::pair<std::string, std::string>("\"path_prefix\": \"/x/\"", "\"path_prefix\": \"/x\""));
    auto const decoded =
        platform::decode_configuration(make_object(replace(configuration_text, good, bad)));
    REQUIRE(decoded.routes.size() == 1);
    CHECK(decoded.routes[0].name == "r-2");
    CHECK(decoded.has_unplaced_route);
}

TEST_CASE("platform_unreadable_service_and_limits_keep_the_rest", "[platform]")
{
    auto text = replace(configuration_text, "\"cold_per_s\": 5.4}", "\"cold_per_s\": \"5\"}");
    text = replace(text, "\"idle_timeout_ms\": 15000", "\"idle_timeout_ms\": -1");
    text = replace(text, "\"max_header_bytes\": 16384", "\"max_header_bytes\": 8192");
    auto const decoded = platform::decode_configuration(make_object(text));
    CHECK_FALSE(decoded.services.at(0).is_readable);
    CHECK(decoded.services.at(1).is_readable);
    CHECK(decoded.limits.idle_time == routing::caller_limits().idle_time);
    CHECK(decoded.limits.header_bytes == 8192);
    CHECK(decoded.unreadable.size() == 2);
}

TEST_CASE("platform_configuration_without_version_is_refused", "[platform]")
{
    auto const text = GENERATE(replace(configuration_text, "\"version\": 7", "\"version\": 7.5"),
                               replace(configuration_text, "\"version\"", "\"edition\""),
                               replace(configuration_text, "\"routes\"", "\"roads\""),
                               std::string(configuration_text).substr(0, 200));
    CHECK_THROWS_AS(platform::decode_configuration(make_object(text)), document_error);
}

// Whatever happens to one value of the document, only what it belongs to is refused: the other
// routes are decoded as before, no route changes its destination, and none becomes repeatable.
TEST_CASE("platform_mutated_configuration_changes_no_other_route", "[platform]")
{
    auto const original = platform::decode_configuration(make_object(configuration_text));
    rc::prop("one mutated value of route r-1 changes nothing else",
             [&original]()
             {
                 auto document = boost::json::parse(configuration_text).get_object();
                 auto& route = document["routes"].at("r-1").get_object();
                 auto const position = *rc::gen::inRange<std::size_t>(0, route.size());
                 auto const key = std::string((route.begin() + position)->key());
                 mutate(route, key);
                 route["later_field"] = "later";
                 auto const decoded =
                     platform::decode_configuration(make_object(boost::json::serialize(document)));
                 auto const& other = decoded.routes.back();
                 RC_ASSERT(other.name == "r-2");
                 RC_ASSERT(other.is_readable);
                 RC_ASSERT(other.split[0].service == "s-2");
                 RC_ASSERT(other.timeout == std::chrono::milliseconds(800));
                 RC_ASSERT(decoded.version == original.version);
                 RC_ASSERT(decoded.services.size() == 2U);
                 if (decoded.routes.size() == 1)
                 {
                     RC_ASSERT(decoded.has_unplaced_route);
                     return;
                 }
                 auto const& first = decoded.routes.front();
                 // A mutated kind may happen to be another permitted word.
                 if (key != "kind")
                     RC_ASSERT(first.kind == routing::request_kind::idempotent);
                 if (first.is_readable && key != "traffic_split")
                     RC_ASSERT(first.split[0].service == "s-1");
             });
    rc::prop("arbitrary bytes in the document are decoded or refused",
             []()
             {
                 std::string text = configuration_text;
                 auto const count = *rc::gen::inRange(1, 6);
                 for (int number = 0; number < count; ++number)
                     text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                         *rc::gen::arbitrary<char>();
                 try
                 {
                     static_cast<void>(platform::decode_configuration(make_object(text)));
                 }
                 catch (document_error const&)
                 {
                     return;
                 }
             });
}

TEST_CASE("platform_server_is_decoded_with_its_start", "[platform]")
{
    auto const decoded = platform::decode_backend_server(make_object(server_value, server_status));
    CHECK(decoded.id == "i-1");
    CHECK(decoded.service == "s-1");
    CHECK(to_string(decoded.address) == "10.128.0.9:8080");
    CHECK(decoded.failure_domain == "sve-a");
    CHECK(decoded.slots == 4);
    CHECK_FALSE(decoded.is_leaving);
    CHECK(decoded.cold_remaining == std::chrono::milliseconds(250));
    CHECK(decoded.started_at_ms == 1700000000123);
}

// Any client may write to the store: a forged or torn entry names no server, and ends nothing.
TEST_CASE("platform_forged_server_is_refused", "[platform]")
{
    auto const forged = GENERATE(std::string("not json"),
                                 std::string("[]"),
                                 std::string("null"),
                                 std::string(R"({"addr": 5, "info": {}})"),
                                 replace(server_value, "10.128.0.9:8080", "10.128.0.9"),
                                 replace(server_value, "10.128.0.9:8080", "10.128.0.9:0"),
                                 replace(server_value, "10.128.0.9:8080", "10.128.0.9:99999"),
                                 replace(server_value, "10.128.0.9:8080", "localhost:8080"),
                                 replace(server_value, "10.128.0.9:8080", ":8080"),
                                 replace(server_value, "10.128.0.9:8080", "0.0.0.0:8080"),
                                 replace(server_value, "10.128.0.9:8080", "224.0.0.1:8080"),
                                 replace(server_value, "\"slots\": 4", "\"slots\": \"4\""),
                                 replace(server_value, "\"slots\": 4", "\"slots\": -1"),
                                 replace(server_value, "\"zone\"", "\"place\""),
                                 replace(server_value, "1700000000123", "1700000000123.5"));
    CHECK_THROWS_AS(platform::decode_backend_server(make_object(forged, server_status)),
                    document_error);
}

// Guards against a name of another writer that is sent to backend servers as the value of a header:
// a line break in it would add headers, or a second request.
TEST_CASE("platform_server_with_an_odd_name_is_refused", "[platform]")
{
    auto odd = make_object(server_value, server_status);
    odd.name = GENERATE(std::string(),
                        std::string("i 1"),
                        std::string("i-1\r\nX-Not-Executed: 1"),
                        std::string("i-1\0", 4),
                        std::string("i-1\x7f"),
                        std::string("i&1"),
                        std::string("i+1"),
                        std::string("i#1"),
                        std::string("i%31"),
                        std::string("caf\xc3\xa9"),
                        std::string(257, 'i'));
    CHECK_THROWS_AS(platform::decode_backend_server(odd), document_error);
}

TEST_CASE("platform_server_in_unknown_state_is_refused", "[platform]")
{
    auto const observed = GENERATE(std::string(R"({"state": "zombie", "cold_left_ms": 0})"),
                                   std::string(R"({"state": 1, "cold_left_ms": 0})"),
                                   std::string(R"({"cold_left_ms": 0})"),
                                   std::string("7"));
    CHECK_THROWS_AS(platform::decode_backend_server(make_object(server_value, observed)),
                    document_error);
}

TEST_CASE("platform_directory_query_is_decoded", "[platform]")
{
    auto const query =
        platform::decode_directory_query("name=a.example&region=dakar&zone=dkr%2Da&more");
    CHECK(query.host == "a.example");
    CHECK(query.region == "dakar");
    CHECK(query.failure_domain == "dkr-a");
    CHECK_THROWS_AS(platform::decode_directory_query("name=%2"), document_error);
    CHECK_THROWS_AS(platform::decode_directory_query("name=%zz"), document_error);
}

TEST_CASE("platform_directory_answer_lists_addresses", "[platform]")
{
    std::vector<kernel::endpoint> const hosts{{"10.1.0.34", 8548}};
    CHECK(platform::encode_directory_answer(hosts, std::chrono::milliseconds(2500)) ==
          R"({"addrs":["10.1.0.34:8548"],"ttl_s":2.5E0})");
}

} // namespace pistachiohub
