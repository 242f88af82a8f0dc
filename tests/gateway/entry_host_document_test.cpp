#include "libraries/fleet/entry_host_document.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

fleet::entry_host make_host(std::string const& address)
{
    fleet::entry_host host;
    host.name = "host-2";
    host.callers = {address, 8080};
    host.relay_port = 8081;
    host.failure_domain = "sve-a";
    host.region = "svealand";
    host.report = 3;
    return host;
}

} // namespace

TEST_CASE("entry_host_document_is_read_as_written", "[gateway]")
{
    auto const host = make_host("10.0.0.2");
    auto const read = fleet::parse_entry_host("host-2", fleet::to_document(host));
    CHECK(read.callers == host.callers);
    CHECK(read.relay_port == host.relay_port);
    CHECK(read.report == host.report);
}

TEST_CASE("entry_host_document_keeps_crashes_and_quarantines", "[gateway]")
{
    auto host = make_host("10.0.0.2");
    host.crashes.reports = {{UINT64_MAX, "i-1/5"}};
    host.crashes.quarantines = {{UINT64_MAX, 1'800'000'000'000}};
    CHECK(fleet::parse_entry_host("host-2", fleet::to_document(host)).crashes == host.crashes);
}

// During an upgrade, daemons of the version before write registrations without quarantines.
TEST_CASE("entry_host_document_without_quarantines_is_read", "[gateway]")
{
    auto text = fleet::to_document(make_host("10.0.0.2"));
    std::string const added = ",\"quarantines\":[]";
    REQUIRE(text.find(added) != std::string::npos);
    text.erase(text.find(added), added.size());
    CHECK(fleet::parse_entry_host("host-2", text).crashes.quarantines.empty());
}

TEST_CASE("entry_host_inherits_what_an_earlier_process_found", "[gateway]")
{
    fleet::crash_knowledge own{{{1, "i-1/1"}}, {{1, 5}}};
    fleet::inherit_crashes(own, {{{1, "i-1/1"}, {1, "i-2/1"}}, {{1, 5}, {2, 6}}});
    CHECK(own == fleet::crash_knowledge{{{1, "i-1/1"}, {1, "i-2/1"}}, {{1, 5}, {2, 6}}});
}

// Any client may write to the store. A host without a usable address would be named to callers, and
// other daemons would read the store through it.
TEST_CASE("entry_host_document_without_usable_address_is_refused", "[gateway]")
{
    auto const address = GENERATE(std::string(""),
                                  std::string("localhost"),
                                  std::string("0.0.0.0"),
                                  std::string("255.255.255.255"),
                                  std::string("10.0.0.2:80"));
    CHECK_THROWS_AS(fleet::parse_entry_host("host-2", fleet::to_document(make_host(address))),
                    fleet::entry_host_error);
}

} // namespace pistachiohub
