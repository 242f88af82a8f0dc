#include "plugins/admin/store_worker.hpp"

namespace pistachiohub::admin
{

namespace
{

// Operators that wait longer than for this many calls are better told at once.
constexpr std::ptrdiff_t most_waiting_jobs = 32;

} // namespace

store_worker::store_worker(kernel::endpoint const& store)
    : m_client(store)
{
    m_jobs.set_capacity(most_waiting_jobs);
    m_thread = std::thread(
        [this]()
        {
            run();
        });
}

store_worker::~store_worker()
{
    m_client.cancel();
    // An empty job ends the thread.
    m_jobs.push({});
    m_thread.join();
}

bool store_worker::try_run(job wanted)
{
    return m_jobs.try_push(std::move(wanted));
}

void store_worker::run()
{
    while (true)
    {
        job next;
        m_jobs.pop(next);
        if (!next)
            return;
        next(m_client);
    }
}

} // namespace pistachiohub::admin
