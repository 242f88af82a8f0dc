#include "plugins/placement/move_sample.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using placement::move_cause;

constexpr std::uint64_t object = 7;

/// One object whose first server is 1, added as the first of two.
class move_sample_fixture
{
protected:
    placement::move_sample m_sample;
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    bool m_is_earlier_available = true;

    move_sample_fixture()
    {
        CHECK(record(1, 1, 1, 2).cause == move_cause::none);
    }

    placement::object_move record(std::uint64_t server,
                                  std::uint64_t first,
                                  std::uint64_t first_added,
                                  std::uint64_t last_added,
                                  std::uint64_t of = object)
    {
        return placement::record_placement(m_sample,
                                           {of, server, first, first_added, last_added, m_now},
                                           [this](std::uint64_t)
                                           {
                                               return m_is_earlier_available;
                                           });
    }
};

} // namespace

// Guards against moves for lack of room that are counted as moves by a change of the servers.
TEST_CASE_METHOD(move_sample_fixture,
                 "move_sample_overflow_and_return_are_told_apart",
                 "[placement]")
{
    CHECK(record(2, 1, 1, 2).cause == move_cause::overflow);
    CHECK(record(2, 1, 1, 2).cause == move_cause::none);
    auto const back = record(1, 1, 1, 2);
    CHECK(back.cause == move_cause::returned);
    CHECK_FALSE(back.is_required);
}

// Guards against a minimum that leaves out objects of a server that joined.
TEST_CASE_METHOD(move_sample_fixture,
                 "move_sample_first_server_that_joined_is_required",
                 "[placement]")
{
    auto const move = record(3, 3, 3, 3);
    CHECK(move.cause == move_cause::joined);
    CHECK(move.is_required);
}

// Guards against a minimum that leaves out objects which overflow while a server joins.
TEST_CASE_METHOD(move_sample_fixture,
                 "move_sample_overflow_during_a_join_is_required_too",
                 "[placement]")
{
    auto const move = record(1, 3, 3, 3);
    CHECK(move.cause == move_cause::none);
    CHECK(move.is_required);
}

// Guards against moves by weights that are excused by a change of the servers.
TEST_CASE_METHOD(move_sample_fixture,
                 "move_sample_first_server_that_left_is_required",
                 "[placement]")
{
    auto const by_weight = record(2, 2, 2, 2);
    CHECK(by_weight.cause == move_cause::weights);
    CHECK_FALSE(by_weight.is_required);
    m_is_earlier_available = false;
    auto const left = record(1, 1, 1, 2);
    CHECK(left.cause == move_cause::left);
    CHECK(left.is_required);
}

// Guards against memory that grows with the number of objects, and against a sample that objects
// which are never requested again fill for good.
TEST_CASE_METHOD(move_sample_fixture, "move_sample_is_bounded_and_renewed", "[placement]")
{
    constexpr auto other = object + placement::sampled_objects;
    std::ignore = record(1, 1, 1, 2, other);
    CHECK(record(2, 1, 1, 2, other).cause == move_cause::none);
    CHECK(m_sample.objects.size() == placement::sampled_objects);
    m_now += placement::sample_retention + std::chrono::seconds(1);
    CHECK(record(1, 1, 1, 2, other).cause == move_cause::none);
    CHECK(record(2, 1, 1, 2, other).cause == move_cause::overflow);
}

} // namespace pistachiohub
