#include "kernel/mailbox.hpp"
#include "kernel/plugin.hpp"
#include "kernel/snapshot.hpp"
#include "tests/forward/fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <thread>

namespace pistachiohub::forward_test
{

namespace
{

/// The duty on its own thread, with the mailboxes of the other duties read by the test.
struct duty_fixture
{
    kernel::daemon_context context{{}, own_incarnation};
    std::unique_ptr<kernel::duty> duty;
    std::thread thread;

    template<class Message>
    kernel::mailbox<Message>& mailbox()
    {
        return context.shared<kernel::mailbox<Message>>();
    }

    void publish(bool is_draining = false)
    {
        auto world = std::make_shared<view::world_view>(make_world());
        world->is_draining = is_draining;
        auto document = make_configuration();
        for (auto& service : document.services)
            service.ttl_ms = 10;
        world->configuration = std::make_shared<configuration::configuration const>(document);
        context.shared<kernel::snapshot<view::world_view>>().publish(world);
    }

    void start()
    {
        auto const plugins = kernel::registered_plugins();
        auto const found = std::find_if(plugins.begin(),
                                        plugins.end(),
                                        [](kernel::plugin const& item)
                                        {
                                            return item.name == "forward";
                                        });
        REQUIRE(found != plugins.end());
        CHECK(found->start_order == 40);
        duty = found->create(context);
        thread = std::thread(
            [this]()
            {
                duty->run();
            });
    }

    void request(std::string_view service)
    {
        events::caller_request content{
            1, own_id("one"), 0, std::string(service), kernel::monotonic_now() + 5s, "body"};
        auto const is_sent = mailbox<events::forward_event>().try_push(std::move(content));
        REQUIRE(is_sent);
    }

    /// Waits for the next message of a mailbox for a few seconds.
    template<class Message>
    std::optional<Message> next()
    {
        // A drain may take several messages at once; the others are kept for the next call.
        auto& received = context.shared<std::deque<Message>>();
        for (int tries = 0; tries < 500 && received.empty(); ++tries)
        {
            mailbox<Message>().drain(
                [&received](Message message)
                {
                    received.push_back(std::move(message));
                });
            if (received.empty())
                std::this_thread::sleep_for(10ms);
        }
        if (received.empty())
            return std::nullopt;
        auto message = std::move(received.front());
        received.pop_front();
        return message;
    }

    ~duty_fixture()
    {
        if (!thread.joinable())
            return;
        duty->request_stop();
        thread.join();
    }
};

} // namespace

TEST_CASE_METHOD(duty_fixture, "duty_answers_request_and_counts_it", "[forward][concurrent]")
{
    publish();
    start();
    request("lock");
    auto const command = next<events::backend_command>();
    REQUIRE(command.has_value());
    auto const dispatch = std::get<events::dispatch_attempt>(*command).dispatch;
    REQUIRE(mailbox<events::forward_event>().try_push(
        events::attempt_result{dispatch, events::attempt_end::answered, "answer"}));
    auto const reply = next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->answer == "answer");
    CHECK(next<events::control_event>().has_value());
    CHECK(context.own_metrics()
              .find_counter("pistachiohub_outcomes_total", {"outcome", "ran"})
              .value() == 1);
}

// A dispatch that the backend duty has no room for must end as `not_run`, not get lost.
TEST_CASE_METHOD(duty_fixture, "full_backend_mailbox_ends_request", "[forward][concurrent]")
{
    mailbox<events::backend_command>().set_capacity(1);
    REQUIRE(mailbox<events::backend_command>().try_push(events::cancel_attempt{}));
    publish();
    start();
    request("lock");
    auto const reply = next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->result == outcome::not_run);
    CHECK(context.own_metrics()
              .find_counter("pistachiohub_refusals_total", {"reason", "retry_budget"})
              .value() == 1);
}

// An intent that never reaches the store writer must not keep its request waiting.
TEST_CASE_METHOD(duty_fixture, "full_store_mailbox_refuses_intent", "[forward][concurrent]")
{
    mailbox<events::store_command>().set_capacity(1);
    REQUIRE(mailbox<events::store_command>().try_push(events::append_intent{}));
    publish();
    start();
    request("order");
    auto const reply = next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->cause == reason::journal_unavailable);
    // The settlement waits for room and is sent then.
    auto const first = next<events::store_command>();
    auto const second = next<events::store_command>();
    REQUIRE((first.has_value() && second.has_value()));
    CHECK(std::holds_alternative<events::settle_request>(*second));
}

TEST_CASE_METHOD(duty_fixture, "drained_daemon_finishes_after_flush", "[forward][concurrent]")
{
    publish(true);
    start();
    auto const command = next<events::store_command>();
    REQUIRE(command.has_value());
    CHECK_FALSE(context.is_drained());
    std::get<events::flush_settlement>(*command).flushed();
    CHECK(context.is_drained());
}

TEST_CASE_METHOD(duty_fixture, "request_before_first_view_is_answered", "[forward][concurrent]")
{
    start();
    request("lock");
    auto const reply = next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->cause == reason::not_ready);
}

} // namespace pistachiohub::forward_test
