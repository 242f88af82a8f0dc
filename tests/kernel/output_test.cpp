#include "kernel/bounded_output.hpp"
#include "kernel/daemon_context.hpp"
#include "kernel/log.hpp"
#include "kernel/settings_file.hpp"
#include "kernel/snapshot.hpp"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace pistachiohub
{

namespace
{

class pipe_fixture
{
protected:
    std::array<int, 2> m_ends{};

    pipe_fixture()
    {
        REQUIRE(::pipe2(m_ends.data(), O_CLOEXEC) == 0);
        // Reading an empty pipe returns at once.
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }

    ~pipe_fixture()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    [[nodiscard]] std::string read_available() const
    {
        std::array<char, 65536> bytes{};
        auto const length = ::read(m_ends[0], bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0))};
    }
};

char const* const gateway_text = R"({"name": "edge-1", "failure_domain": "sve-a",
    "address": "10.1.0.34", "store": "10.200.1.7:8541", "gateway": {
        "interface": "platform", "region": "svealand", "failure_domains": {"sve-a": "svealand"},
        "callers": "10.1.0.34:1", "readiness": "10.1.0.34:2", "directory": "10.1.0.34:3",
        "metrics": "10.1.0.34:4", "bounds": {"server_drain_ms": 2000, "shift": 0.15}}})";

std::string replace(std::string text, std::string const& old_part, std::string const& new_part)
{
    text.replace(text.find(old_part), old_part.size(), new_part);
    return text;
}

class settings_file_fixture
{
protected:
    std::filesystem::path m_path =
        std::filesystem::temp_directory_path() /
        ("pistachiohub-settings-" + std::to_string(::getpid()) + ".json");
    kernel::daemon_context m_context{kernel::parse_settings(gateway_text), 1};

    settings_file_fixture()
    {
        write(gateway_text);
    }

    ~settings_file_fixture()
    {
        std::filesystem::remove(m_path);
    }

    void write(std::string const& text) const
    {
        std::ofstream(m_path) << text;
    }
};

} // namespace

// A log reader that stops must not stop the daemon.
TEST_CASE_METHOD(pipe_fixture, "output_stopped_reader_loses_lines_and_is_told", "[kernel]")
{
    kernel::bounded_output output(m_ends[1]);
    std::string const line(999, 'x');
    for (int number = 0; number < 1000; ++number)
        output.write(line + '\n');
    CHECK(output.dropped_lines() > 0);
    for (int number = 0; number < 20; ++number)
    {
        static_cast<void>(read_available());
        output.flush();
    }
    output.write("last\n");
    CHECK(read_available().find("event=log_lines_dropped total=") != std::string::npos);
}

TEST_CASE("log_limiter_bounds_lines_and_counts_the_others", "[kernel]")
{
    kernel::log_limiter limiter(10);
    kernel::monotonic_time now{std::chrono::hours(1)};
    int admitted = 0;
    for (int number = 0; number < 1000; ++number)
        admitted += limiter.admit(now += std::chrono::milliseconds(10)) ? 1 : 0;
    CHECK(admitted >= 100);
    CHECK(admitted <= 112);
    CHECK(limiter.take_suppressed() == static_cast<std::uint64_t>(1000 - admitted));
    CHECK(limiter.take_suppressed() == 0);
}

TEST_CASE("settings_of_a_gateway_are_parsed", "[kernel]")
{
    auto const parsed = kernel::parse_settings(gateway_text);
    REQUIRE(parsed.gateway);
    CHECK(to_string(parsed.store) == "10.200.1.7:8541");
    CHECK(parsed.gateway->callers.port == 1);
    CHECK(parsed.gateway->bounds.server_drain == std::chrono::milliseconds(2000));
    CHECK(parsed.gateway->region_of_domain.at("sve-a") == "svealand");
}

// Guards against a placement that changes for deployments which do not set it, and against a
// misspelt rule that silently has no effect.
TEST_CASE("settings_of_a_gateway_placement_is_by_load_unless_set", "[kernel]")
{
    auto const parse = [](std::string const& member)
    {
        return kernel::parse_settings(
            replace(gateway_text, R"("bounds": {)", member + R"("bounds": {)"));
    };
    CHECK(parse("").gateway->placement == kernel::placement_rule::by_load);
    CHECK(parse(R"("placement": "by_load", )").gateway->placement ==
          kernel::placement_rule::by_load);
    CHECK(parse(R"("placement": "stable", )").gateway->placement == kernel::placement_rule::stable);
    CHECK_THROWS_AS(parse(R"("placement": "Stable", )"), kernel::settings_error);
}

// Guards against a directory that leaves out hosts of deployments which do not ask for it.
TEST_CASE("settings_of_a_gateway_name_all_hosts_unless_set", "[kernel]")
{
    auto const parse = [](std::string const& member)
    {
        return kernel::parse_settings(
                   replace(gateway_text, R"("bounds": {)", member + R"("bounds": {)"))
            .gateway->named_hosts;
    };
    CHECK(parse("") == kernel::directory_rule::all);
    CHECK(parse(R"("named_hosts": "all", )") == kernel::directory_rule::all);
    CHECK(parse(R"("named_hosts": "by_capacity", )") == kernel::directory_rule::by_capacity);
    CHECK(parse(R"("named_hosts": "by_capacity_for_uploads", )") ==
          kernel::directory_rule::by_capacity_for_uploads);
    CHECK_THROWS_AS(parse(R"("named_hosts": "large", )"), kernel::settings_error);
}

TEST_CASE("settings_of_a_gateway_bad_value_names_key_and_range", "[kernel]")
{
    auto const bad = GENERATE(replace(gateway_text, "\"shift\": 0.15", "\"shift\": 1.5"),
                              replace(gateway_text, "10.1.0.34:1", "10.1.0.34"),
                              replace(gateway_text, "\"region\"", "\"place\""),
                              replace(gateway_text, "2000", "\"2000\""));
    CHECK_THROWS_WITH(kernel::parse_settings(bad), Catch::Contains("gateway."));
}

TEST_CASE_METHOD(settings_file_fixture, "settings_file_changed_is_published", "[kernel]")
{
    auto file = kernel::read_settings_file(m_path);
    write(replace(gateway_text, "2000", "1500"));
    kernel::reload_if_changed(file, m_context, true);
    auto const published = m_context.shared<kernel::snapshot<kernel::settings>>().load();
    REQUIRE(published);
    CHECK(published->gateway->bounds.server_drain == std::chrono::milliseconds(1500));
}

TEST_CASE_METHOD(settings_file_fixture, "settings_file_invalid_leaves_those_in_force", "[kernel]")
{
    auto file = kernel::read_settings_file(m_path);
    write("{");
    kernel::reload_if_changed(file, m_context, true);
    CHECK_FALSE(m_context.shared<kernel::snapshot<kernel::settings>>().load());
}

// Failure: a settings file whose reading fails, as that of a directory in its place, ended the
// daemon at its next look with all open requests.
TEST_CASE_METHOD(settings_file_fixture,
                 "settings_file_unreadable_leaves_those_in_force",
                 "[kernel]")
{
    auto file = kernel::read_settings_file(m_path);
    std::filesystem::remove(m_path);
    bool const is_directory = GENERATE(false, true);
    INFO("is a directory: " << is_directory);
    if (is_directory)
        std::filesystem::create_directory(m_path);
    CHECK_NOTHROW(kernel::reload_if_changed(file, m_context, true));
    CHECK_FALSE(m_context.shared<kernel::snapshot<kernel::settings>>().load());
}

} // namespace pistachiohub
