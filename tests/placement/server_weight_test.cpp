#include "plugins/placement/server_weight.hpp"

#include <catch2/catch.hpp>

namespace pistachiohub
{

namespace
{

using placement::server_weight;

/// Feeds the same load every 250 ms.
class server_weight_fixture
{
protected:
    server_weight m_weight;
    kernel::monotonic_time m_now{std::chrono::hours(1)};

    void feed(placement::load_sample const& sample, std::chrono::seconds length)
    {
        constexpr auto interval = std::chrono::milliseconds(250);
        for (auto const end = m_now + length; m_now < end; m_now += interval)
            placement::adapt(m_weight, sample, m_now);
    }
};

} // namespace

// Guards against weights that follow noise, which would move objects although nothing changes.
TEST_CASE_METHOD(server_weight_fixture, "server_weight_inside_the_band_stays", "[placement]")
{
    feed({1.05, 0.9}, std::chrono::seconds(60));
    feed({0.75, 0.9}, std::chrono::seconds(60));
    CHECK(m_weight.factor == 1);
}

// Guards against a full server that keeps all its objects, and against a step in which many objects
// move at once.
TEST_CASE_METHOD(server_weight_fixture,
                 "server_weight_of_a_full_server_falls_slowly_to_its_bound",
                 "[placement]")
{
    feed({1.4, 0.9}, std::chrono::seconds(5));
    CHECK(m_weight.factor < 1);
    CHECK(m_weight.factor >= 1 - 5 * placement::max_change_per_second - 1e-9);
    feed({1.4, 0.9}, std::chrono::seconds(60));
    CHECK(m_weight.factor == placement::min_factor);
}

// Guards against a server with room that attracts objects without bound.
TEST_CASE_METHOD(server_weight_fixture,
                 "server_weight_of_an_idle_server_rises_to_its_bound",
                 "[placement]")
{
    feed({0.3, 0.9}, std::chrono::seconds(120));
    CHECK(m_weight.factor == placement::max_factor);
}

// Guards against a weight that swings between two bounds: it stops before the load is even.
TEST_CASE_METHOD(server_weight_fixture,
                 "server_weight_stops_before_the_load_is_even",
                 "[placement]")
{
    feed({1.2, 0.9}, std::chrono::seconds(5));
    feed({0.95, 0.9}, std::chrono::seconds(10));
    auto const settled = m_weight.factor;
    CHECK(settled < 1);
    feed({0.95, 0.9}, std::chrono::seconds(60));
    CHECK(m_weight.factor == settled);
}

// Guards against shares that stay uneven when there are free slots again.
TEST_CASE_METHOD(server_weight_fixture,
                 "server_weight_with_free_slots_returns_to_one",
                 "[placement]")
{
    feed({1.4, 0.9}, std::chrono::seconds(60));
    feed({0.3, 0.3}, std::chrono::seconds(60));
    CHECK(m_weight.factor == Approx(1));
}

// Guards against a jump after a pause of the process, when the load in between is unknown.
TEST_CASE_METHOD(server_weight_fixture, "server_weight_after_a_pause_changes_slowly", "[placement]")
{
    feed({1.4, 0.9}, std::chrono::seconds(5));
    auto const before = m_weight.factor;
    m_now += std::chrono::hours(1);
    placement::adapt(m_weight, {1.4, 0.9}, m_now);
    CHECK(m_weight.factor >= before - placement::max_change_per_second - 1e-9);
}

} // namespace pistachiohub
