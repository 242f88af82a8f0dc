#include "kernel/settings.hpp"
#include "libraries/configuration/document.hpp"
#include "plugins/store/host_list.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace pistachiohub
{

namespace
{

std::string read_file(std::string const& path)
{
    std::ifstream file(std::string(PISTACHIOHUB_SOURCE_DIR "/config/") + path);
    REQUIRE(file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

bool has_service(configuration::configuration const& document, std::string const& name)
{
    return std::any_of(document.services.begin(),
                       document.services.end(),
                       [&name](configuration::service const& service)
                       {
                           return service.name == name;
                       });
}

} // namespace

// A document that the daemon refuses would only be noticed when an operator installs it.
TEST_CASE("deployment_documents_are_valid_and_agree", "[config]")
{
    auto const folder =
        std::string(GENERATE("bokgava", "bokgava/one-machine", "teranga", "teranga/one-machine"));
    CAPTURE(folder);
    CHECK_NOTHROW(static_cast<void>(kernel::parse_settings(read_file(folder + "/settings.json"))));
    auto const document =
        configuration::parse_configuration(read_file(folder + "/configuration.json"));
    CHECK(document.services.size() == 3);
    auto const hosts = boost::json::parse(read_file(folder + "/hosts.json"));
    CHECK(hosts.as_object().size() == document.failure_domains.size());
    std::size_t entry_hosts = 0;
    for (auto const& domain : document.failure_domains)
    {
        CAPTURE(domain.name);
        auto const parsed = store::parse_host_list(
            domain.name, boost::json::serialize(hosts.as_object().at(domain.name)), true);
        auto const& listed = parsed.list;
        CHECK(parsed.skipped == 0);
        CHECK(listed.entry_hosts.size() == domain.entry_hosts);
        entry_hosts += listed.entry_hosts.size();
        for (auto const& server : listed.backend_servers)
            CHECK(has_service(document, server.service));
    }
    CHECK(entry_hosts >= 8);
    CHECK(entry_hosts <= 10);
}

} // namespace pistachiohub
