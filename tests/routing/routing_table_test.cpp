#include "libraries/routing/routing_table.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

class routing_fixture
{
protected:
    routing::routing_document m_document;

    void add(std::string const& name, std::string const& host, std::string const& prefix)
    {
        routing::route route;
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        route.split = {{"service", 1}};
        m_document.routes.push_back(route);
    }

    [[nodiscard]] std::string find(std::string_view host, std::string_view target) const
    {
        auto const table = routing::make_routing_table(m_document);
        auto const* const found = routing::find_route(*table, host, target);
        return found == nullptr ? "" : found->name;
    }
};

} // namespace

TEST_CASE_METHOD(routing_fixture, "routing_longest_prefix_is_chosen", "[routing]")
{
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    CHECK(find("a.example", "/x/y/z") == "long");
    CHECK(find("a.example", "/x/yy/z") == "short");
    CHECK(find("a.example", "/x/y") == "short");
}

TEST_CASE_METHOD(routing_fixture, "routing_prefix_without_its_slash_does_not_match", "[routing]")
{
    add("only", "a.example", "/x/");
    CHECK(find("a.example", "/x").empty());
    CHECK(find("a.example", "/xy/").empty());
}

TEST_CASE_METHOD(routing_fixture, "routing_query_is_not_part_of_the_path", "[routing]")
{
    add("only", "a.example", "/x/");
    CHECK(find("a.example", "/q?path=/x/").empty());
    CHECK(find("a.example", "/x/?q=/y/") == "only");
}

TEST_CASE_METHOD(routing_fixture, "routing_host_is_compared_without_case_and_port", "[routing]")
{
    add("only", "a.example", "/");
    CHECK(find("A.Example:8080", "/anything") == "only");
    CHECK(find("b.example", "/anything").empty());
}

// Thousands of routes must not slow each request down: the time depends on the path only.
TEST_CASE_METHOD(routing_fixture, "routing_many_routes_each_is_found", "[routing]")
{
    constexpr int routes = 5000;
    for (int number = 0; number < routes; ++number)
        add("r" + std::to_string(number), "a.example", "/p" + std::to_string(number) + "/");
    auto const table = routing::make_routing_table(m_document);
    for (int number = 0; number < routes; ++number)
    {
        auto const target = "/p" + std::to_string(number) + "/object";
        auto const* const found = routing::find_route(*table, "a.example", target);
        REQUIRE(found != nullptr);
        CHECK(found->name == "r" + std::to_string(number));
    }
}

} // namespace pistachiohub
