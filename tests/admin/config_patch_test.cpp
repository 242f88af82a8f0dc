#include "plugins/admin/config_patch.hpp"

#include "libraries/configuration/document.hpp"
#include "tests/store/fake_store.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

namespace pistachiohub
{

namespace
{

using admin::patch_end;

constexpr auto document = R"({"version": 1, "patch_id": "initial",
    "regions": {"r": {"failure_domains": {"fd-1": {}}}}, "services": {}})";

class config_patch_fixture
{
protected:
    config_patch_fixture()
    {
        m_store.put("configuration", "current", document);
    }

    tests::fake_store m_store;
    object_store::client m_client{m_store.endpoint()};

    [[nodiscard]] static admin::patch_request
    add_service(std::uint64_t version, std::string const& name, std::string const& id)
    {
        return {version,
                id,
                R"({"services": {")" + name +
                    R"(": {"kind": "idempotent", "slots": 1, "connections": 1}}})"};
    }

    [[nodiscard]] configuration::configuration current() const
    {
        return configuration::parse_configuration(m_store.get("configuration", "current").value);
    }
};

} // namespace

// Merging a patch against a version that its author has not seen would undo another operator.
TEST_CASE_METHOD(config_patch_fixture,
                 "config_patch_stale_version_is_refused",
                 "[admin][concurrent]")
{
    auto const first = admin::apply_to_store(m_client, add_service(1, "a", "p-1"));
    CHECK(first.end == patch_end::accepted);
    CHECK(first.version == 2);
    auto const second = admin::apply_to_store(m_client, add_service(1, "b", "p-2"));
    CHECK(second.end == patch_end::stale);
    CHECK(second.version == 2);
    CHECK(current().services.size() == 1);
}

TEST_CASE_METHOD(config_patch_fixture,
                 "config_patch_same_id_of_another_patch_is_stale",
                 "[admin][concurrent]")
{
    CHECK(admin::apply_to_store(m_client, add_service(1, "a", "p")).end == patch_end::accepted);
    CHECK(admin::apply_to_store(m_client, add_service(1, "b", "p")).end == patch_end::stale);
    CHECK(admin::apply_to_store(m_client, add_service(1, "a", "p")).end == patch_end::accepted);
    CHECK(current().version == 2);
}

TEST_CASE_METHOD(config_patch_fixture,
                 "config_patch_lost_answer_is_applied_once",
                 "[admin][concurrent]")
{
    auto const fault =
        GENERATE(tests::write_fault::lost_after_effect, tests::write_fault::lost_before_effect);
    m_store.fail_writes("configuration", fault, 1);
    auto const result = admin::apply_to_store(m_client, add_service(1, "a", "p-1"));
    CHECK(result.end == patch_end::accepted);
    CHECK(result.version == 2);
    CHECK(current().version == 2);
}

// When another patch hides the lost one, neither acceptance nor refusal may be claimed.
TEST_CASE_METHOD(config_patch_fixture,
                 "config_patch_lost_answer_below_another_patch_is_unknown",
                 "[admin][concurrent]")
{
    m_store.fail_writes("configuration", tests::write_fault::lost_after_effect, 1);
    m_store.after_write = [this](std::string const&)
    {
        auto const text = m_store.get("configuration", "current").value;
        m_store.put("configuration", "current", configuration::apply_patch(text, "{}", 3, "other"));
    };
    CHECK(admin::apply_to_store(m_client, add_service(1, "a", "p-1")).end == patch_end::unknown);
}

TEST_CASE_METHOD(config_patch_fixture,
                 "config_patch_ten_racing_patchers_lose_no_accepted_patch",
                 "[admin][concurrent]")
{
    constexpr int patchers = 10;
    m_store.fail_writes("configuration", tests::write_fault::lost_after_effect, 2);
    std::vector<std::thread> threads;
    std::atomic<int> accepted{0};
    for (int patcher = 0; patcher < patchers; ++patcher)
    {
        threads.emplace_back(
            [this, patcher, &accepted]()
            {
                object_store::client client(m_store.endpoint());
                auto const name = "s-" + std::to_string(patcher);
                admin::patch_result result{patch_end::stale, 1, {}, {}};
                while (result.end == patch_end::stale)
                    result = admin::apply_to_store(client, add_service(result.version, name, name));
                // Only a patch whose answer was lost may stay unknown.
                accepted += result.end == patch_end::accepted ? 1 : 0;
            });
    }
    for (auto& thread : threads)
        thread.join();
    auto const services = current().services.size();
    CHECK(accepted >= patchers - 2);
    CHECK(services >= static_cast<std::size_t>(accepted));
    CHECK(current().version == services + 1);
}

TEST_CASE_METHOD(config_patch_fixture,
                 "config_patch_invalid_or_outage_changes_nothing",
                 "[admin][concurrent]")
{
    auto const invalid = admin::apply_to_store(m_client, {1, "p", R"({"regions": null})"});
    CHECK(invalid.end == patch_end::invalid);
    CHECK(invalid.message.find("regions is (missing)") != std::string::npos);
    m_store.is_down = true;
    CHECK(admin::apply_to_store(m_client, add_service(1, "a", "p")).end == patch_end::unavailable);
    m_store.is_down = false;
    CHECK(current().version == 1);
}

} // namespace pistachiohub
