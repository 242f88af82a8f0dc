#pragma once

/// @file
/// An in-process object API for tests, with faults on request.

#include "kernel/settings.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pistachiohub::tests
{

/// What the fake does with the next matching writes.
enum class write_fault
{
    none,
    /// The write takes effect and the connection closes without an answer.
    lost_after_effect,
    /// The connection closes without an answer and without effect.
    lost_before_effect,
    over_rate
};

/// A store on a free port of 127.0.0.1, one thread for each connection.
class fake_store
{
public:
    struct stored_object
    {
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        std::string value;
    };

    fake_store();
    ~fake_store();
    fake_store(fake_store const&) = delete;
    fake_store& operator=(fake_store const&) = delete;

    [[nodiscard]] kernel::endpoint endpoint() const;

    /// Writes without condition, as another client of the store would.
    void put(std::string const& kind, std::string const& name, std::string const& value);

    [[nodiscard]] stored_object get(std::string const& kind, std::string const& name) const;

    /// @returns accepted writes to objects of `kind`.
    [[nodiscard]] int writes(std::string const& kind) const;

    /// The next `count` writes to `kind` have `fault`.
    void fail_writes(std::string const& kind, write_fault fault, int count);

    /// Runs on a server thread after each accepted write, without a lock held.
    std::function<void(std::string const& kind)> after_write;
    std::atomic<bool> is_down{false};
    std::atomic<int> delay_ms{0};

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Waits until `is_true` or 5 s have passed.
/// @returns the last value of `is_true`.
template<class Condition>
[[nodiscard]] bool eventually(Condition&& is_true)
{
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < end)
    {
        if (is_true())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return is_true();
}

} // namespace pistachiohub::tests
