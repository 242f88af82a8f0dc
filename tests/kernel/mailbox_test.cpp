#include "kernel/event_loop.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/snapshot.hpp"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace pistachiohub
{

// A lost wake-up would leave a request waiting until the next message arrives.
TEST_CASE("mailbox_many_producers_lose_no_message", "[kernel][concurrent]")
{
    constexpr int producers = 4;
    constexpr int messages = 5000;
    kernel::mailbox<int> ring;
    kernel::event_loop loop;
    int received = 0;
    loop.consume(ring,
                 [&](int)
                 {
                     if (++received == producers * messages)
                         loop.stop();
                 });
    std::vector<std::thread> threads;
    for (int producer = 0; producer < producers; ++producer)
    {
        threads.emplace_back(
            [&ring]()
            {
                for (int number = 0; number < messages; ++number)
                {
                    while (!ring.try_push(int{number}))
                        std::this_thread::yield();
                }
            });
    }
    loop.run();
    for (auto& thread : threads)
        thread.join();
    CHECK(received == producers * messages);
}

// A producer that blocked on a full ring would stall its own duty.
TEST_CASE("mailbox_full_ring_refuses_message", "[kernel]")
{
    kernel::mailbox<int> ring;
    ring.set_capacity(2);
    CHECK(ring.try_push(1));
    CHECK(ring.try_push(2));
    CHECK_FALSE(ring.try_push(3));
}

TEST_CASE("snapshot_reader_sees_newest_publication", "[kernel]")
{
    kernel::snapshot<int> source;
    kernel::snapshot_reader<int> reader(source);
    CHECK(reader.get() == nullptr);
    source.publish(std::make_shared<int const>(1));
    source.publish(std::make_shared<int const>(2));
    REQUIRE(reader.get() != nullptr);
    CHECK(*reader.get() == 2);
}

} // namespace pistachiohub
