#include "kernel/backlog.hpp"
#include "tests/support/duty_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>
#include <variant>

namespace pistachiohub
{

namespace
{

using message = std::variant<int, double>;

} // namespace

// Failure: a message that came while another was taken was lost when the mailbox had filled again.
TEST_CASE("receive_from_full_mailbox_returns_each_message_in_order", "[support][concurrent]")
{
    constexpr int messages = 1000;
    kernel::mailbox<message> source;
    source.set_capacity(1);
    std::thread producer(
        [&source]()
        {
            kernel::backlog<message> results(source);
            for (int number = 0; number < messages; ++number)
                results.push(number);
            while (results.size() != 0)
                results.flush();
        });
    int received = 0;
    while (received < messages && support::receive<int>(source) == received)
        ++received;
    CHECK(received == messages);
    // Lets the producer end after a failure.
    while (support::receive<int>(source, std::chrono::milliseconds(100)))
        ;
    producer.join();
}

TEST_CASE("receive_of_another_kind_leaves_messages_behind_it", "[support]")
{
    kernel::mailbox<message> source;
    support::push(source, 1);
    support::push(source, 0.5);
    support::push(source, 2);
    CHECK(support::receive<double>(source) == 0.5);
    CHECK(support::receive<int>(source) == 2);
}

} // namespace pistachiohub
