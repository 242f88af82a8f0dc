#include "plugins/store/settlement_flush.hpp"

#include "plugins/store/backoff.hpp"

#include <algorithm>

namespace pistachiohub::store
{

namespace
{

// A large settlement is written less often: at most this many bytes a second.
constexpr std::size_t bytes_per_second = std::size_t{64} << 10;

bool has_flush(object_store::read_result const& result, std::uint64_t flush)
{
    try
    {
        return ledger::parse_settlement(result.found.value).flush == flush;
    }
    // A damaged object is replaced by the next write.
    catch (ledger::ledger_error const&)
    {
        return false;
    }
}

} // namespace

settlement_flush::settlement_flush(settlement_ledger& counters, kernel::duration interval)
    : m_ledger(counters)
    , m_interval(interval)
{
}

kernel::duration settlement_flush::interval_for(std::size_t size) const
{
    auto const seconds = static_cast<double>(size) / static_cast<double>(bytes_per_second);
    auto const stretched =
        std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(seconds));
    return std::max(m_interval, stretched);
}

std::optional<due_write> settlement_flush::next_write(kernel::monotonic_time now)
{
    if (m_is_in_doubt || now < m_not_before || is_written())
        return std::nullopt;
    m_attempted_generation = m_ledger.generation();
    due_write write{m_version, m_ledger.text(++m_flush, object_store::largest_value)};
    m_attempted_size = write.text.size();
    return write;
}

bool settlement_flush::must_read_back(kernel::monotonic_time now) const
{
    return m_is_in_doubt && now >= m_not_before;
}

void settlement_flush::delay(kernel::monotonic_time now, double random)
{
    m_not_before = now + backoff_delay(++m_failures, random);
}

void settlement_flush::accept(std::uint64_t version, kernel::monotonic_time now)
{
    m_version = version;
    m_failures = 0;
    m_written_generation = m_attempted_generation;
    m_not_before = now + interval_for(m_attempted_size);
}

void settlement_flush::on_write(object_store::write_result const& result,
                                kernel::monotonic_time now,
                                double random)
{
    using object_store::status;
    if (result.end == status::ok)
    {
        accept(result.version, now);
        return;
    }
    // Only this incarnation writes the object, so a conflict stems from an own write whose answer
    // was lost and which took effect late.
    m_is_in_doubt = result.end != status::over_rate && result.end != status::outage;
    if (!m_is_in_doubt)
        delay(now, random);
}

void settlement_flush::on_read_back(object_store::read_result const& result,
                                    kernel::monotonic_time now,
                                    double random)
{
    using object_store::status;
    if (result.end != status::ok && result.end != status::missing)
    {
        delay(now, random);
        return;
    }
    m_is_in_doubt = false;
    m_version = result.found.version;
    if (result.end == status::ok && has_flush(result, m_flush))
        accept(result.found.version, now);
    else
        delay(now, random);
}

void settlement_flush::hurry()
{
    if (m_failures == 0)
        m_not_before = {};
}

void settlement_flush::hurry_after_failures()
{
    m_not_before = {};
}

void settlement_flush::write_again()
{
    // Nothing was written before the first count.
    if (m_flush == 0)
        return;
    m_written_generation.reset();
    hurry();
}

bool settlement_flush::is_written() const
{
    return m_written_generation == m_ledger.generation();
}

std::optional<kernel::monotonic_time> settlement_flush::next_due() const
{
    if (m_is_in_doubt || !is_written())
        return m_not_before;
    return std::nullopt;
}

} // namespace pistachiohub::store
