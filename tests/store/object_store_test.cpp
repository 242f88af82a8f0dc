#include "libraries/object_store/object_store.hpp"
#include "tests/store/fake_store.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

namespace pistachiohub
{

namespace
{

using object_store::status;

class object_store_fixture
{
protected:
    tests::fake_store m_store;
    object_store::client m_client{m_store.endpoint(),
                                  {std::chrono::milliseconds(500), std::chrono::milliseconds(300)}};
};

} // namespace

TEST_CASE_METHOD(object_store_fixture,
                 "object_store_conditional_update_detects_conflict",
                 "[store][concurrent]")
{
    CHECK(m_client.read("journal", "a").end == status::missing);
    CHECK(m_client.write("journal", "a", 0, R"({"x":1})").version == 1);
    CHECK(m_client.write("journal", "a", 0, R"({"x":2})").end == status::conflict);
    auto const found = m_client.read("journal", "a");
    CHECK(found.found.value == R"({"x":1})");
    CHECK(m_client.list("journal").objects.size() == 1);
}

// Guards against one odd object that makes a whole list unreadable, so that a daemon knows no host.
TEST_CASE("object_store_odd_object_costs_only_itself", "[store]")
{
    auto const& spoken = object_store::native_dialect();
    auto const odd = GENERATE(std::string(R"("caf\ud83d")"),
                              std::string("\"\xff\""),
                              "[" + std::string(40, '[') + std::string(40, ']') + "]",
                              std::string("{broken: []}"));
    auto const entry = R"({"name": "a", "version": 3, "value": )" + odd + "}";
    auto const list = R"({"revision": 9, "objects": [)" + entry +
                      R"(, 5, {"name": 7, "version": 1, "value": 1},
                         {"name": "b", "version": 4, "value": {"x": 1}}]})";
    auto const listed = spoken.decode_list(list);
    CHECK(listed.revision == 9);
    REQUIRE(listed.objects.size() == 4);
    CHECK(listed.objects[0].name == "a");
    CHECK(listed.objects[0].value.empty());
    CHECK(listed.objects[1].name.empty());
    CHECK(listed.objects[2].name.empty());
    CHECK(listed.objects[3].name == "b");
    CHECK(listed.objects[3].value == R"({"x":1})");
    CHECK_THROWS(spoken.decode_object(entry));
    CHECK_THROWS(spoken.decode_list(R"({"revision": 9, "objects": 5})"));
}

// A lost answer reported as an outage would be counted as not written and written twice.
TEST_CASE_METHOD(object_store_fixture,
                 "object_store_each_fault_has_its_status",
                 "[store][concurrent]")
{
    m_store.fail_writes("journal", tests::write_fault::lost_after_effect, 1);
    CHECK(m_client.write("journal", "a", 0, "{}").end == status::lost_answer);
    CHECK(m_client.read("journal", "a").found.version == 1);
    m_store.fail_writes("journal", tests::write_fault::over_rate, 1);
    CHECK(m_client.write("journal", "a", 1, "{}").end == status::over_rate);
    m_store.is_down = true;
    CHECK(m_client.write("journal", "a", 1, "{}").end == status::outage);
    CHECK(m_client.read("journal", "a").end == status::outage);
    m_store.is_down = false;
    m_store.delay_ms = 600;
    CHECK(m_client.write("journal", "a", 1, "{}").end == status::lost_answer);
}

TEST_CASE("object_store_without_server_is_an_outage", "[store]")
{
    object_store::client client(kernel::endpoint{"127.0.0.1", 1});
    CHECK(client.write("journal", "a", 0, "{}").end == status::outage);
}

// A long poll that ignores a stop would hold up the shutdown of the daemon.
TEST_CASE_METHOD(object_store_fixture,
                 "object_store_cancel_ends_long_poll_within_200_ms",
                 "[store][concurrent]")
{
    std::thread canceller(
        [&]()
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            m_client.cancel();
        });
    auto const start = std::chrono::steady_clock::now();
    CHECK(m_client.watch("configuration", {}, std::chrono::seconds(20)).end == status::cancelled);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(250));
    canceller.join();
    CHECK(m_client.read("journal", "a").end == status::cancelled);
}

} // namespace pistachiohub
