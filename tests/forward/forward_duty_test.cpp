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

/// Runs the forward duty on its own thread. The test reads the mailboxes of the other duties in
/// their place.
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

    void publish_view(bool is_draining = false)
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

    void send_request(std::string_view service)
    {
        events::caller_request content{
            1, own_id("one"), 0, std::string(service), kernel::monotonic_now() + 5s, "body"};
        auto const is_sent = mailbox<events::forward_event>().try_push(std::move(content));
        REQUIRE(is_sent);
    }

    /// Waits up to 5 s for the next message of a mailbox.
    /// @returns the message, or nothing after that time.
    template<class Message>
    std::optional<Message> wait_for_next()
    {
        // One call of drain() may return several messages; the rest are stored for the next call.
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
    publish_view();
    start();
    send_request("lock");
    auto const command = wait_for_next<events::backend_command>();
    REQUIRE(command.has_value());
    auto const dispatch = std::get<events::dispatch_attempt>(*command).dispatch;
    REQUIRE(mailbox<events::forward_event>().try_push(
        events::attempt_result{dispatch, events::attempt_end::answered, "answer"}));
    auto const reply = wait_for_next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->answer == "answer");
    CHECK(wait_for_next<events::control_event>().has_value());
    CHECK(context.own_metrics()
              .find_counter("pistachiohub_outcomes_total", {"outcome", "ran"})
              .value() == 1);
}

// If the mailbox of the backend duty is full, a dispatch cannot be sent. Its request must end as
// `not_run` instead of staying in flight.
TEST_CASE_METHOD(duty_fixture, "full_backend_mailbox_ends_request", "[forward][concurrent]")
{
    mailbox<events::backend_command>().set_capacity(1);
    REQUIRE(mailbox<events::backend_command>().try_push(events::cancel_attempt{}));
    publish_view();
    start();
    send_request("lock");
    auto const reply = wait_for_next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->result == outcome::not_run);
    CHECK(context.own_metrics()
              .find_counter("pistachiohub_refusals_total", {"reason", "retry_budget"})
              .value() == 1);
}

// If the mailbox of the store writer is full, an intent cannot be written. Its request must be
// refused instead of waiting for a confirmation that never comes.
TEST_CASE_METHOD(duty_fixture, "full_store_mailbox_refuses_intent", "[forward][concurrent]")
{
    mailbox<events::store_command>().set_capacity(1);
    REQUIRE(mailbox<events::store_command>().try_push(events::append_intent{}));
    publish_view();
    start();
    send_request("order");
    auto const reply = wait_for_next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->cause == reason::journal_unavailable);
    // The settlement is sent once the mailbox has room again.
    auto const first = wait_for_next<events::store_command>();
    auto const second = wait_for_next<events::store_command>();
    REQUIRE((first.has_value() && second.has_value()));
    CHECK(std::holds_alternative<events::settle_request>(*second));
}

TEST_CASE_METHOD(duty_fixture, "drained_daemon_finishes_after_flush", "[forward][concurrent]")
{
    publish_view(true);
    start();
    auto const command = wait_for_next<events::store_command>();
    REQUIRE(command.has_value());
    CHECK_FALSE(context.is_drained());
    std::get<events::flush_settlement>(*command).flushed();
    CHECK(context.is_drained());
}

TEST_CASE_METHOD(duty_fixture, "request_before_first_view_is_answered", "[forward][concurrent]")
{
    start();
    send_request("lock");
    auto const reply = wait_for_next<events::front_reply>();
    REQUIRE(reply.has_value());
    CHECK(reply->cause == reason::not_ready);
}

} // namespace pistachiohub::forward_test
