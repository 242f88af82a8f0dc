#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/http/client.hpp"
#include "libraries/view/world_view.hpp"
#include "plugins/admin/bearer_token.hpp"
#include "tests/store/fake_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>

namespace pistachiohub
{

namespace
{

using namespace std::chrono_literals;

constexpr auto document = R"({"version": 1, "patch_id": "initial",
    "regions": {"r": {"failure_domains": {"fd-1": {}}}}, "services": {}})";
constexpr auto patch = R"({"against_version": 1, "patch_id": "p-1",
    "patch": {"services": {"a": {"kind": "idempotent", "slots": 1, "connections": 1}}}})";

std::uint16_t free_port()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor const acceptor(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

class admin_fixture
{
protected:
    admin_fixture()
    {
        m_store.put("configuration", "current", document);
        for (auto const& known : kernel::registered_plugins())
        {
            if (known.name == "admin")
                m_duty = known.create(m_context);
        }
        m_thread = std::thread(
            [this]()
            {
                m_duty->run();
            });
    }

    ~admin_fixture()
    {
        m_duty->request_stop();
        m_thread.join();
    }

    tests::fake_store m_store;
    kernel::daemon_context m_context{make_settings(), 5};
    std::unique_ptr<kernel::duty> m_duty;
    std::thread m_thread;
    http::client m_client{"127.0.0.1", m_context.own_settings().admin_port};

    [[nodiscard]] kernel::settings make_settings() const
    {
        kernel::settings result;
        result.name = "host-1";
        result.failure_domain = "fd-1";
        result.address = "127.0.0.1";
        result.admin_port = free_port();
        result.admin_key = "0123456789abcdef";
        result.store = m_store.endpoint();
        return result;
    }

    [[nodiscard]] http::response get(std::string const& target)
    {
        return m_client.send({"GET", target, {{"Authorization", "Bearer 0123456789abcdef"}}, {}});
    }

    [[nodiscard]] http::response post(std::string const& target, std::string const& body)
    {
        return m_client.send(
            {"POST", target, {{"Authorization", "Bearer 0123456789abcdef"}}, body});
    }

    void publish_view()
    {
        auto world = std::make_shared<view::world_view>();
        auto known = std::make_shared<configuration::configuration>();
        known->version = 4;
        known->services.push_back({"redeem", {}, {}, 1, 1, 2000, {}});
        world->configuration = known;
        world->backend_servers.push_back(
            {"b-1", "127.0.0.1", 9, 0, view::member_state::leaving, -1, {}, {}, 2});
        m_context.shared<kernel::snapshot<view::world_view>>().publish(world);
    }
};

} // namespace

TEST_CASE("bearer_token_only_exact_key_is_authorized", "[admin]")
{
    CHECK(admin::is_authorized("Bearer secret", "secret"));
    CHECK_FALSE(admin::is_authorized("Bearer secre", "secret"));
    CHECK_FALSE(admin::is_authorized("bearer secret", "secret"));
    CHECK_FALSE(admin::is_authorized("", ""));
}

// A daemon that reports ready without a view would be sent callers that it must refuse.
TEST_CASE_METHOD(admin_fixture,
                 "admin_ready_only_with_view_and_not_draining",
                 "[admin][concurrent]")
{
    CHECK(get("/healthz").status == 200);
    CHECK(get("/readyz").status == 503);
    publish_view();
    CHECK(get("/readyz").status == 200);
    CHECK(post("/v1/drain", "").status == 202);
    CHECK(m_context.is_draining());
    CHECK(get("/readyz").status == 503);
}

TEST_CASE_METHOD(admin_fixture, "admin_bad_requests_are_refused_and_counted", "[admin][concurrent]")
{
    CHECK(m_client.send({"GET", "/v1/status", {}, {}}).status == 401);
    CHECK(m_client.send({"POST", "/v1/drain", {{"Authorization", "Bearer x"}}, {}}).status == 401);
    CHECK_FALSE(m_context.is_draining());
    CHECK(get("/v1/nothing").status == 404);
    CHECK(get("/v1/drain").status == 405);
    CHECK(post("/v1/config/patch", "{").status == 422);
    CHECK(post("/v1/quarantine/release", R"({"fingerprint": 1})").status == 400);
    CHECK(post("/v1/config/patch", std::string(1'200'000, ' ')).status == 413);
    CHECK(m_client.send({"GET", "/healthz", {{"X", std::string(9000, 'x')}}, {}}).status == 431);
    CHECK(m_client.send({"GET", "/health z", {}, {}}).status == 400);
    auto const metrics = get("/metrics").body;
    CHECK(metrics.find("pistachiohub_admin_refusals_total{reason=\"unauthorized\"} 2") !=
          std::string::npos);
}

TEST_CASE_METHOD(admin_fixture,
                 "admin_accepted_patch_reaches_control_duty_and_stale_one_is_409",
                 "[admin][concurrent]")
{
    CHECK(post("/v1/config/patch", patch).body == R"({"version":2})");
    std::uint64_t version = 0;
    m_context.shared<kernel::mailbox<events::control_event>>().drain(
        [&version](events::control_event&& event)
        {
            version = std::get<events::configuration_received>(event).document->version;
        });
    CHECK(version == 2);
    std::string other = patch;
    other.replace(other.find("p-1"), 3, "p-2");
    auto const stale = post("/v1/config/patch", other);
    CHECK(stale.status == 409);
    CHECK(stale.body == R"({"reason":"stale_version","version":2})");
    CHECK(get("/v1/config").body.find(R"("patch_id":"p-1")") != std::string::npos);
}

// Health checks that waited for the store would have the platform replace healthy daemons.
TEST_CASE_METHOD(admin_fixture,
                 "admin_slow_store_does_not_delay_health_checks",
                 "[admin][concurrent]")
{
    m_store.delay_ms = 1000;
    std::thread patcher(
        [this]()
        {
            http::client client("127.0.0.1", m_context.own_settings().admin_port);
            static_cast<void>(client.send(
                {"GET", "/v1/config", {{"Authorization", "Bearer 0123456789abcdef"}}, {}}));
        });
    std::this_thread::sleep_for(100ms);
    auto const start = std::chrono::steady_clock::now();
    CHECK(get("/healthz").status == 200);
    CHECK(std::chrono::steady_clock::now() - start < 500ms);
    patcher.join();
}

TEST_CASE_METHOD(admin_fixture, "admin_status_settlement_and_release_answer", "[admin][concurrent]")
{
    publish_view();
    auto const status = get("/v1/status").body;
    CHECK(status.find(R"("configuration_version":4)") != std::string::npos);
    CHECK(status.find(R"("service":"redeem","state":"leaving")") != std::string::npos);
    CHECK(get("/v1/nothing").status == 404);
    CHECK(get("/v1/status").body.find(R"(admin_refusals_total{reason=\"unknown_path\"}":1)") !=
          std::string::npos);
    m_store.put("settlement", "host-1.5", R"({"a":1})");
    CHECK(get("/v1/settlement").body == R"({"settlement":[{"a":1}],"journal":[]})");
    // A value that cannot be used is not left out, and leaves the answer readable.
    m_store.put("settlement", "odd", "null");
    CHECK(get("/v1/settlement").body == R"({"settlement":[{"a":1},null],"journal":[]})");
    CHECK(post("/v1/quarantine/release", R"({"fingerprint": "ff"})").status == 202);
    CHECK(m_context.shared<kernel::mailbox<events::forward_event>>().size() == 1);
    m_store.is_down = true;
    CHECK(get("/v1/settlement").status == 503);
    CHECK(post("/v1/config/patch", patch).status == 503);
}

} // namespace pistachiohub
