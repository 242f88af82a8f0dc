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
