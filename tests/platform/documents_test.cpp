#include "libraries/interface/interface.hpp"
#include "platform/documents.hpp"

#include <catch2/catch.hpp>

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

object_store::object make_object(std::string value, std::string observed = "")
{
    return {"i-1", 5, std::move(value), std::move(observed)};
}

std::string replace(std::string text, std::string const& old_part, std::string const& new_part)
{
    text.replace(text.find(old_part), old_part.size(), new_part);
    return text;
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

// A kind that is not known must never be taken as repeatable.
TEST_CASE("platform_configuration_with_unknown_kind_is_refused", "[platform]")
{
    auto const text = replace(configuration_text, "\"idempotent\"", "\"keyed\"");
    CHECK_THROWS_AS(platform::decode_configuration(make_object(text)), document_error);
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
                                 replace(server_value, "\"slots\": 4", "\"slots\": \"4\""),
                                 replace(server_value, "\"slots\": 4", "\"slots\": -1"),
                                 replace(server_value, "\"zone\"", "\"place\""),
                                 replace(server_value, "1700000000123", "1700000000123.5"));
    CHECK_THROWS_AS(platform::decode_backend_server(make_object(forged, server_status)),
                    document_error);
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
