#pragma once

/// @file
/// A thread for calls to the store, so that they do not hold up health checks.

#include "libraries/object_store/object_store.hpp"

#include <oneapi/tbb/concurrent_queue.h>

#include <functional>
#include <thread>

namespace pistachiohub::admin
{

/// Runs jobs one after the other on its own thread.
class store_worker
{
public:
    using job = std::function<void(object_store::client&)>;

    explicit store_worker(kernel::endpoint const& store);
    ~store_worker();
    store_worker(store_worker const&) = delete;
    store_worker& operator=(store_worker const&) = delete;

    /// @returns false when too many jobs wait; the job is then not run.
    [[nodiscard]] bool try_run(job wanted);

private:
    void run();

    object_store::client m_client;
    oneapi::tbb::concurrent_bounded_queue<job> m_jobs;
    std::thread m_thread;
};

} // namespace pistachiohub::admin
