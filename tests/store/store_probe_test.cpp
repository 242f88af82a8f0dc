#include "plugins/store/store_probe.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace pistachiohub
{

namespace
{

using std::chrono::milliseconds;

class probe_fixture
{
protected:
    store::probe_state m_state;
    kernel::boot_time m_now{std::chrono::hours(1)};

    probe_fixture()
    {
        m_state.callers["settlement"].role = store::caller_role::writer;
        for (auto const* const kind : {"configuration", "servers", "evacuations", "hosts"})
            m_state.callers[kind];
    }

    [[nodiscard]] bool may_call(std::string_view caller) const
    {
        return m_now >= call_permitted_at(m_state, caller);
    }

    std::vector<std::string> call(std::string_view caller, bool is_answered)
    {
        begin_call(m_state, caller, m_now);
        m_now += milliseconds(5);
        return end_call(m_state, caller, is_answered, 1, m_now);
    }

    void fail_all()
    {
        for (auto const* const kind : {"configuration", "servers", "evacuations", "hosts"})
            call(kind, false);
    }

    /// @returns the number of calls that all callers make in the time.
    std::size_t play(milliseconds time)
    {
        std::size_t calls = 0;
        for (auto const end = m_now + time; m_now < end; m_now += milliseconds(5))
        {
            for (auto const& [name, known] : m_state.callers)
            {
                if (!may_call(name))
                    continue;
                call(name, false);
                ++calls;
            }
        }
        return calls;
    }
};

} // namespace

// Guards against an outage in which each kind repeats its calls.
TEST_CASE_METHOD(probe_fixture, "store_probe_long_outage_has_one_call_a_second", "[store]")
{
    fail_all();
    CHECK_FALSE(may_call("settlement"));
    play(milliseconds(2000));
    CHECK(play(milliseconds(10000)) <= 11);
}

// Guards against kinds that stay out of date after the return of the store.
TEST_CASE_METHOD(probe_fixture, "store_probe_first_answer_resumes_all_callers", "[store]")
{
    fail_all();
    play(milliseconds(5000));
    m_now += milliseconds(1000);
    begin_call(m_state, "servers", m_now);
    CHECK_FALSE(may_call("configuration"));
    m_now += milliseconds(5);
    CHECK(end_call(m_state, "servers", true, 1, m_now).size() == 4);
    for (auto const& [name, known] : m_state.callers)
        CHECK(may_call(name));
}

// Guards against a kind that is refused alone, and keeps others from the store or from a probe.
TEST_CASE_METHOD(probe_fixture, "store_probe_one_refused_kind_does_not_delay_others", "[store]")
{
    call("servers", false);
    CHECK(may_call("configuration"));
    CHECK(call("configuration", true) == std::vector<std::string>{"servers", "settlement"});
    call("servers", false);
    call("configuration", false);
    m_now += milliseconds(200);
    call("servers", false);
    m_now = call_permitted_at(m_state, "configuration");
    CHECK(m_now - m_state.next_probe_at < milliseconds(50));
    CHECK_FALSE(may_call("servers"));
}

// Guards against a host that leaves the directory although the store accepts its reports: the store
// refuses only reads, and the registration is due every 1.5 s and looks every 250 ms.
TEST_CASE_METHOD(probe_fixture, "store_probe_refused_reads_delay_no_report_of_the_host", "[store]")
{
    constexpr auto report_interval = milliseconds(1500);
    constexpr auto check_interval = milliseconds(250);
    constexpr auto longest_gap = milliseconds(3600);
    auto const read_time = GENERATE(milliseconds(45), milliseconds(700), milliseconds(1500));
    m_state.callers["registration"];
    std::map<std::string, kernel::boot_time> reads;
    auto reported_at = m_now;
    auto next_check = m_now;
    milliseconds gap{0};
    for (auto const end = m_now + std::chrono::minutes(2); m_now < end; m_now += milliseconds(5))
    {
        for (auto const* const kind : {"configuration", "servers", "evacuations", "hosts"})
        {
            auto const running = reads.find(kind);
            if (running == reads.end() && may_call(kind))
            {
                begin_call(m_state, kind, m_now);
                reads[kind] = m_now + read_time;
            }
            else if (running != reads.end() && m_now >= running->second)
            {
                end_call(m_state, kind, false, 1, m_now);
                reads.erase(running);
            }
        }
        if (m_now < next_check)
            continue;
        next_check = m_now + check_interval;
        if (m_now - reported_at < report_interval || !may_call("registration"))
            continue;
        gap = std::max(gap, std::chrono::duration_cast<milliseconds>(m_now - reported_at));
        reported_at = m_now;
        begin_call(m_state, "registration", m_now);
        end_call(m_state, "registration", true, 1, m_now);
    }
    gap = std::max(gap, std::chrono::duration_cast<milliseconds>(m_now - reported_at));
    CHECK(gap < longest_gap);
}

} // namespace pistachiohub
