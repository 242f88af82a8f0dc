#include "kernel/settings.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace pistachiohub
{

namespace
{

class settings_fixture
{
protected:
    std::string m_text = R"({"name": "host-1", "failure_domain": "fd-1", "address": "127.0.0.1",
        "caller_port": 7001, "peer_port": 7002, "admin_port": 7003,
        "store": {"address": "127.0.0.1", "port": 7000},
        "peer_key": "0123456789abcdef", "admin_key": "0123456789abcdef"})";

    void replace(std::string const& old_part, std::string const& new_part)
    {
        m_text.replace(m_text.find(old_part), old_part.size(), new_part);
    }

    [[nodiscard]] std::string failure() const
    {
        try
        {
            static_cast<void>(kernel::parse_settings(m_text));
        }
        catch (kernel::settings_error const& refused)
        {
            return refused.what();
        }
        return "";
    }
};

} // namespace

TEST_CASE_METHOD(settings_fixture, "settings_valid_document_is_parsed", "[kernel]")
{
    auto const parsed = kernel::parse_settings(m_text);
    CHECK(parsed.name == "host-1");
    CHECK(parsed.store.port == 7000);
    CHECK(parsed.seed_peers.empty());
}

TEST_CASE_METHOD(settings_fixture, "settings_bad_port_names_key_value_and_range", "[kernel]")
{
    replace("7001", "70010");
    CHECK(failure() == "setting caller_port is 70010; permitted: an integer from 1 to 65535");
}

TEST_CASE_METHOD(settings_fixture, "settings_unknown_key_is_refused", "[kernel]")
{
    replace("\"port\": 7000", "\"port\": 7000, \"prot\": 1");
    CHECK(failure() == "setting store.prot is 1; permitted: one of the keys address port");
}

TEST_CASE_METHOD(settings_fixture, "settings_missing_key_is_refused", "[kernel]")
{
    replace("\"name\": \"host-1\", ", "");
    CHECK(failure().find("setting name is (missing)") == 0);
}

} // namespace pistachiohub
