#include "tests/forward/fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace pistachiohub::forward_test
{

// At-most-once requests must be ordered before idempotent ones, and earlier deadlines before later
// ones.
TEST_CASE("waiting_queue_orders_by_kind_then_deadline", "[forward]")
{
    auto const is_ordered = rc::check(
        []()
        {
            auto const drawn = *rc::gen::container<std::vector<std::pair<bool, std::uint8_t>>>(
                rc::gen::arbitrary<std::pair<bool, std::uint8_t>>());
            std::vector<forward::request> requests(drawn.size());
            forward::waiting_queue queue;
            for (std::size_t index = 0; index < drawn.size(); ++index)
            {
                auto& subject = requests[index];
                subject.sequence = index;
                subject.service = drawn[index].first ? "look" : "lock";
                subject.kind = drawn[index].first ? configuration::service_kind::idempotent
                                                  : configuration::service_kind::at_most_once;
                subject.deadline = kernel::monotonic_time{} + drawn[index].second * 1ms;
                forward::push(queue, subject);
            }
            RC_ASSERT(queue.size == drawn.size());
            std::pair<int, kernel::monotonic_time> last{};
            for (auto const& [key, group] : queue.groups)
            {
                for (auto const& [order, subject] : group)
                {
                    std::pair const current{std::get<0>(key), subject->deadline};
                    RC_ASSERT(last <= current);
                    last = current;
                }
            }
            for (auto& subject : requests)
                forward::remove(queue, subject);
            RC_ASSERT(queue.size == 0U);
            RC_ASSERT(queue.groups.empty());
        });
    CHECK(is_ordered);
}

// In an overload the queue must not exceed its limit, and idempotent requests are refused first.
TEST_CASE_METHOD(fixture, "full_queue_refuses_idempotent_request_first", "[forward]")
{
    for (auto& server : world.backend_servers)
        server.slot_share = 0;
    for (std::size_t number = 0; number < forward::max_queued_requests; ++number)
        request("look", "look-" + std::to_string(number));
    CHECK(state.queue.size == forward::max_queued_requests);
    request("lock", "one");
    CHECK(state.queue.size == forward::max_queued_requests);
    REQUIRE(replied(*this, outcome::not_run, reason::daemon_overloaded));
    CHECK(only<events::front_reply>()->service == "look");
}

} // namespace pistachiohub::forward_test
