#include "plugins/peer/bounded_call.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace pistachiohub::peer
{

namespace
{

/// Shared by the caller and the thread, because either may outlive the other.
struct call_state
{
    std::mutex mutex;
    std::condition_variable has_ended;
    bool is_ended = false;
};

} // namespace

bool ends_within(std::function<void()> work, kernel::duration limit)
{
    auto const state = std::make_shared<call_state>();
    std::thread(
        [state, work = std::move(work)]()
        {
            work();
            std::lock_guard const lock(state->mutex);
            state->is_ended = true;
            state->has_ended.notify_all();
        })
        .detach();
    std::unique_lock lock(state->mutex);
    return state->has_ended.wait_for(lock,
                                     limit,
                                     [&state]()
                                     {
                                         return state->is_ended;
                                     });
}

} // namespace pistachiohub::peer
